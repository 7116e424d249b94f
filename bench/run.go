package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/history"
	"github.com/hornbeamlock/hornbeamlock/internal/load"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	idleWindow = 5 * time.Second
	// settleAfterReady lets the traffic of the start-up end before the fleet is
	// measured idle.
	settleAfterReady = 2 * time.Second
	// failoverGapWindow is the time after a fault in which the failover gap is
	// measured.
	failoverGapWindow = 15 * time.Second
	responseDeadline  = time.Second
)

// policy is the proxy layer under test between callers and databases.
type policy interface {
	// adapt directs the load of the plan to the policy.
	adapt(p *load.Plan)
	// restart stops one of its instances gracefully and starts it again.
	restart(ctx context.Context, instance int)
	// replicaReadShare returns the fraction of the reads that replicas served.
	replicaReadShare(ctx context.Context) float64
	// measureIdle measures the cost of the control plane in a fleet without load.
	measureIdle(ctx context.Context, into *result) error
	close()
}

// run is one run of one policy.
type run struct {
	opts   options
	fleet  *harness.Fleet
	policy policy

	mu        sync.Mutex
	failovers []failover // guarded by mu
}

// failover is the loss of a service's primary.
type failover struct {
	service string
	at      time.Time
}

// recordFailover records that the group with that index loses its primary now.
func (r *run) recordFailover(index int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failovers = append(r.failovers, failover{r.opts.deployment.Services[index], time.Now()})
}

// measure runs the policies in turn.
func measure(ctx context.Context, opts options) (*report, error) {
	directory, err := makeWorkDirectory(opts.keep)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if opts.keep == "" {
		defer os.RemoveAll(directory) //nolint:errcheck // a temporary directory
	}
	rep := &report{
		Deployment: opts.deployment.Name, Scenario: opts.scenario.name,
		Seed: opts.seed, Seconds: opts.duration.Seconds(),
	}
	for _, name := range opts.policies {
		_, _ = fmt.Fprintf(os.Stderr, "%s %s %s for %v\n", opts.deployment.Name, opts.scenario.name, name, opts.duration)
		res, err := runPolicy(ctx, opts, name, directory)
		if err != nil {
			return nil, trace.Wrap(err, "%s", name)
		}
		if name == policyBaseline {
			rep.Baseline = res
		} else {
			rep.Hornbeamlock = res
		}
	}
	rep.computeRatios()
	return rep, nil
}

func makeWorkDirectory(keep string) (string, error) {
	if keep == "" {
		return os.MkdirTemp("", "hornbeamlock-bench-")
	}
	return filepath.Abs(keep)
}

func runPolicy(ctx context.Context, opts options, name, directory string) (*result, error) {
	fleet, err := harness.Start(ctx, harness.Config{
		Deployment: opts.deployment, Directory: directory, Seed: opts.seed,
		WithoutInstances: name == policyBaseline,
	})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer fleet.Close()
	r := &run{opts: opts, fleet: fleet}
	if name == policyBaseline {
		r.policy, err = newBaseline(opts, fleet)
		if err != nil {
			return nil, trace.Wrap(err)
		}
	} else {
		r.policy = &hornbeamlockPolicy{fleet: fleet}
	}
	defer r.policy.close()
	res := &result{Policy: name}
	if err := r.policy.measureIdle(ctx, res); err != nil {
		return nil, trace.Wrap(err)
	}
	return res, trace.Wrap(r.execute(ctx, res))
}

// execute generates the load, then removes all faults and checks the history.
func (r *run) execute(ctx context.Context, res *result) error {
	plan := r.plan()
	var recorder history.Recorder
	plan.Recorder = &recorder
	score := load.NewScore(responseDeadline)
	before := countTableCalls(r.fleet.Platform)
	loadCtx, cancel := context.WithTimeout(ctx, r.opts.duration)
	defer cancel()
	var t tomb.Tomb
	t.Go(func() error { return load.Drive(loadCtx, plan, score) })
	if r.opts.scenario.injectFaults != nil {
		t.Go(func() error {
			r.opts.scenario.injectFaults(loadCtx, r)
			return nil
		})
	}
	err := t.Wait()
	ended := time.Now()
	if err != nil {
		return trace.Wrap(err)
	}
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	after := countTableCalls(r.fleet.Platform)
	res.LoadedTableWrites = float64(after.writes-before.writes) / r.opts.duration.Seconds()
	res.LoadedTableReads = float64(after.reads-before.reads) / r.opts.duration.Seconds()
	res.ReplicaReadShare = r.policy.replicaReadShare(ctx)
	res.KeyLeaks = r.fleet.KeyLeaks()
	r.score(score, ended, res)
	return r.checkHistory(ctx, recorder.History(), plan, res)
}

func (r *run) plan() load.Plan {
	d := r.opts.deployment
	plan := load.Plan{
		Services:  d.Services,
		ReadShare: d.ReadShare,
		RoamShare: d.RoamShare,
		Deadline:  responseDeadline,
		RoundTrip: 2 * d.CallerLatency,
		Seed:      r.opts.seed,
	}
	for _, o := range d.Organisations {
		plan.Organisations = append(plan.Organisations, load.Organisation{
			Name: o.Name, Key: r.fleet.Keys[o.Name], OfferedRate: o.Demand, Rate: o.Rate, Burst: o.Burst,
		})
	}
	r.policy.adapt(&plan)
	if r.opts.scenario.plan != nil {
		r.opts.scenario.plan(&plan, r.opts.duration)
	}
	return plan
}

// score adds the callers' results to res.
func (r *run) score(score *load.Score, ended time.Time, res *result) {
	sum := score.Summary()
	res.Requests = sum.Requests
	res.WorstOrganisationShare = sum.WorstShare
	res.Failures = sum.Failures
	res.P50Millis, res.P99Millis, res.P999 = millis(sum.P50), millis(sum.P99), millis(sum.P999)
	if sum.Entitled > 0 {
		res.WrongfulRefusals = float64(sum.Wrongful) / float64(sum.Entitled)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var gaps []float64
	for _, f := range r.failovers {
		to := f.at.Add(failoverGapWindow)
		if to.After(ended) {
			to = ended
		}
		gaps = append(gaps, score.LongestWriteGap(f.service, f.at, to).Seconds())
	}
	if len(gaps) > 0 {
		slices.Sort(gaps)
		res.FailoverGap = gap{Median: gaps[len(gaps)/2], Max: gaps[len(gaps)-1]}
	}
}

// checkHistory removes all faults and compares the history with the stored rows.
func (r *run) checkHistory(ctx context.Context, h history.History, plan load.Plan, res *result) error {
	r.fleet.Links.Clear()
	r.fleet.Platform.SetFault(standin.Fault{})
	for _, group := range r.fleet.Groups {
		for _, server := range group.Servers() {
			if !server.Running() {
				if err := server.Restart(); err != nil {
					return trace.Wrap(err)
				}
			}
		}
	}
	rows, err := r.fleet.Rows(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	violations := history.Check(h, rows)
	for _, v := range violations[:min(len(violations), maxShownViolations)] {
		_, _ = fmt.Fprintln(os.Stderr, v)
	}
	res.AcknowledgedLost = history.Count(violations, history.LostWrite)
	res.Doubled = history.Count(violations, history.DoubledWrite)
	res.StaleReads = history.Count(violations, history.StaleRead)
	res.BackwardReads = history.Count(violations, history.BackwardRead)
	res.UndoneReads = history.Count(violations, history.UndoneRead)
	res.UntrueRefusals = history.Count(violations, history.UntrueRefusal)
	res.ForeignRows = history.Count(violations, history.ForeignRow) + history.Count(violations, history.UnknownRow)
	for _, o := range plan.Organisations {
		res.OverRate = max(res.OverRate, history.RateExcess(executedBy(h, o.Name), o.Rate, o.Burst))
	}
	return nil
}

const maxShownViolations = 10

// executedBy returns the intervals in which the organisation's requests were executed.
func executedBy(h history.History, organisation string) []history.Interval {
	var executed []history.Interval
	for _, w := range h.Writes {
		if w.Organisation == organisation && w.Outcome == verdict.Ran {
			executed = append(executed, history.Interval{Start: w.Start, End: w.End})
		}
	}
	for _, read := range h.Reads {
		if read.Organisation == organisation {
			executed = append(executed, history.Interval{Start: read.Start, End: read.End})
		}
	}
	return executed
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// tableCalls counts calls to the platform's table.
type tableCalls struct {
	reads, writes uint64
}

func countTableCalls(p *standin.Server) tableCalls {
	return tableCalls{
		reads:  p.Counters(standin.TableGet).Calls + p.Counters(standin.TableList).Calls,
		writes: p.Counters(standin.TableCommit).Calls,
	}
}
