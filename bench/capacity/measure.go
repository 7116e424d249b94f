package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/jackc/pgx/v5"

	"github.com/hornbeamlock/hornbeamlock/internal/deployment"
	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/settings"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

const (
	defaultInstances = 9
	defaultGroups    = 3
	spareConnections = 100
	connectBatchSize = 50
)

// Point is one measurement of an idle fleet. Rates and shares are means over the
// window; those per instance are also means over the instances.
type Point struct {
	Instances     int `json:"instances"`
	Groups        int `json:"groups"`
	Organisations int `json:"organisations"`
	// Connections is the number of idle callers connected to the first instance.
	Connections int `json:"connections"`
	// CoreShare is the processor usage per instance in cores.
	CoreShare float64 `json:"core_share_per_instance"`
	// ControlBytes is the control traffic per instance, in bytes per second.
	ControlBytes float64 `json:"control_bytes_per_s_per_instance"`
	// ResidentBytes is the resident memory per instance.
	ResidentBytes float64 `json:"resident_bytes_per_instance"`
	// TableReads and TableWrites are the table calls of the whole fleet per second.
	TableReads  float64 `json:"table_reads_per_s"`
	TableWrites float64 `json:"table_writes_per_s"`
}

// measure measures each fleet and passes its point to emit.
func measure(ctx context.Context, o options, emit func(Point) error) error {
	for _, p := range plans(o) {
		measured, err := measureOne(ctx, o, p)
		if err != nil {
			return trace.Wrap(err, "instances %d, groups %d, organisations %d, connections %d",
				p.Instances, p.Groups, p.Organisations, p.Connections)
		}
		if err := emit(measured); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// plans returns the fleets to measure as points with only the sizes set.
func plans(o options) []Point {
	organisations := len(deployment.Alpenpass().Organisations)
	var all []Point
	for _, n := range o.fleets {
		all = append(all, Point{Instances: n, Organisations: organisations})
	}
	for _, n := range o.groups {
		all = append(all, Point{Instances: defaultInstances, Groups: n, Organisations: organisations})
	}
	for _, n := range o.organisations {
		all = append(all, Point{Instances: defaultInstances, Groups: defaultGroups, Organisations: n})
	}
	for _, n := range o.connections {
		all = append(all, Point{Instances: 1, Groups: 1, Organisations: 1, Connections: n})
	}
	return all
}

func measureOne(ctx context.Context, o options, p Point) (Point, error) {
	directory, err := os.MkdirTemp("", "hornbeamlock-capacity-")
	if err != nil {
		return p, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(directory) //nolint:errcheck // a temporary directory
	fleet, err := harness.Start(ctx, harness.Config{
		Deployment:     deploymentFor(p),
		Directory:      directory,
		Seed:           1,
		AdjustSettings: func(s *settings.Settings) { s.Callers.MaxConnections = p.Connections + spareConnections },
	})
	if err != nil {
		return p, trace.Wrap(err)
	}
	defer fleet.Close()
	callers, err := connectIdle(ctx, fleet, p.Connections)
	defer closeAll(callers)
	if err != nil {
		return p, trace.Wrap(err)
	}
	return measureWindow(ctx, o, fleet, p)
}

// deploymentFor returns a deployment with the sizes of a point.
func deploymentFor(p Point) deployment.Deployment {
	d := deployment.Alpenpass()
	d.InstanceCount = p.Instances
	d.Services = nil
	for n := range p.Groups {
		d.Services = append(d.Services, fmt.Sprintf("pass-ledger-%d", n+1))
	}
	template := d.Organisations[len(d.Organisations)-1]
	d.Organisations = nil
	for n := range p.Organisations {
		template.Name = fmt.Sprintf("partner-%d", n+1)
		d.Organisations = append(d.Organisations, template)
	}
	return d
}

// connectIdle opens idle callers' connections to the first instance.
func connectIdle(ctx context.Context, fleet *harness.Fleet, count int) ([]*pgx.Conn, error) {
	var callers []*pgx.Conn
	for len(callers) < count {
		batch := min(connectBatchSize, count-len(callers))
		for range batch {
			caller, err := pgx.Connect(ctx, fmt.Sprintf("postgres://partner-1:%s@%s/pass-ledger-1?sslmode=disable",
				fleet.Keys["partner-1"], fleet.CallersAddresses()[0]))
			if err != nil {
				return callers, trace.Wrap(err)
			}
			callers = append(callers, caller)
		}
	}
	return callers, nil
}

func closeAll(callers []*pgx.Conn) {
	for _, caller := range callers {
		_ = caller.Close(context.Background())
	}
}

// totals are the fleet's cumulative counters and its current memory at one instant.
type totals struct {
	processor      time.Duration
	resident       int64
	bytes          int64
	reads, commits uint64
}

func measureWindow(ctx context.Context, o options, fleet *harness.Fleet, p Point) (Point, error) {
	if err := sleep(ctx, o.settle); err != nil {
		return p, err
	}
	before, err := readTotals(fleet)
	if err != nil {
		return p, trace.Wrap(err)
	}
	if err := sleep(ctx, o.window); err != nil {
		return p, err
	}
	after, err := readTotals(fleet)
	if err != nil {
		return p, trace.Wrap(err)
	}
	seconds := o.window.Seconds()
	instances := float64(p.Instances)
	p.CoreShare = (after.processor - before.processor).Seconds() / seconds / instances
	p.ControlBytes = float64(after.bytes-before.bytes) / seconds / instances
	p.ResidentBytes = float64(after.resident) / instances
	p.TableReads = float64(after.reads-before.reads) / seconds
	p.TableWrites = float64(after.commits-before.commits) / seconds
	return p, nil
}

func readTotals(fleet *harness.Fleet) (totals, error) {
	t := totals{
		bytes:   fleet.ControlBytes(),
		reads:   fleet.Platform.Counters(platform.TableGet).Calls + fleet.Platform.Counters(platform.TableList).Calls,
		commits: fleet.Platform.Counters(platform.TableCommit).Calls,
	}
	for _, process := range fleet.Instances {
		usage, err := process.Usage()
		if err != nil {
			return t, trace.Wrap(err)
		}
		t.processor += usage.Processor
		t.resident += usage.ResidentBytes
	}
	return t, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(d):
		return nil
	}
}
