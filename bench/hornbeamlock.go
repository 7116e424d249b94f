package main

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/load"
)

const (
	replicaReadsMetric = "gateway_replica_reads_total"
	primaryReadsMetric = "gateway_primary_reads_total"
	mebibyte           = 1 << 20 // the unit of control_memory_mb
)

// hornbeamlockPolicy is the fleet of hornbeamlockd processes.
type hornbeamlockPolicy struct {
	fleet *harness.Fleet

	mu                         sync.Mutex
	replicaReads, primaryReads float64 // guarded by mu; totals of addReads
}

// adapt implements policy.
func (h *hornbeamlockPolicy) adapt(p *load.Plan) { p.Instances = h.fleet.CallersAddresses() }

// addReads adds the read counters of a process to the totals. It is called before a
// process is stopped, as its counters restart at 0, and at the end of the run.
func (h *hornbeamlockPolicy) addReads(ctx context.Context, process *harness.Process) {
	metrics, err := process.Metrics(ctx)
	if err != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicaReads += metrics[replicaReadsMetric]
	h.primaryReads += metrics[primaryReadsMetric]
}

// replicaReadShare implements policy.
func (h *hornbeamlockPolicy) replicaReadShare(ctx context.Context) float64 {
	for _, process := range h.fleet.Instances {
		h.addReads(ctx, process)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.replicaReads+h.primaryReads == 0 {
		return 0
	}
	return h.replicaReads / (h.replicaReads + h.primaryReads)
}

// measureIdle implements policy.
func (h *hornbeamlockPolicy) measureIdle(ctx context.Context, into *result) error {
	if !sleep(ctx, settleAfterReady) {
		return trace.Wrap(ctx.Err())
	}
	tableBefore, bytesBefore := countTableCalls(h.fleet.Platform), h.fleet.ControlBytes()
	processorBefore, _, err := h.usage()
	if err != nil {
		return trace.Wrap(err)
	}
	start := time.Now()
	if !sleep(ctx, idleWindow) {
		return trace.Wrap(ctx.Err())
	}
	seconds := time.Since(start).Seconds()
	processorAfter, resident, err := h.usage()
	if err != nil {
		return trace.Wrap(err)
	}
	instances := float64(len(h.fleet.Instances))
	tableAfter := countTableCalls(h.fleet.Platform)
	into.ControlCPU = (processorAfter - processorBefore).Seconds() / seconds / instances
	into.ControlBytes = float64(h.fleet.ControlBytes()-bytesBefore) / seconds / instances
	into.ControlMemory = float64(resident) / mebibyte / instances
	into.TableWritesRate = float64(tableAfter.writes-tableBefore.writes) / seconds
	into.TableReadsRate = float64(tableAfter.reads-tableBefore.reads) / seconds
	return nil
}

// usage returns the total resource usage of all processes.
func (h *hornbeamlockPolicy) usage() (processor time.Duration, resident int64, err error) {
	for _, process := range h.fleet.Instances {
		usage, err := process.Usage()
		if err != nil {
			return 0, 0, trace.Wrap(err)
		}
		processor += usage.Processor
		resident += usage.ResidentBytes
	}
	return processor, resident, nil
}

func (h *hornbeamlockPolicy) close() {}
