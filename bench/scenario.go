package main

import (
	"context"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/harness"
	"github.com/hornbeamlock/hornbeamlock/internal/load"
	"github.com/hornbeamlock/hornbeamlock/internal/relay"
	standin "github.com/hornbeamlock/hornbeamlock/internal/standin/platform"
)

const (
	// primaryDowntime is the time from the kill to the restart of a primary.
	primaryDowntime = 8 * time.Second
	surgeFactor     = 5
	roamShare       = 0.3
	stopTimeout     = 30 * time.Second
)

// scenario describes the load and the faults of a run.
type scenario struct {
	name string
	// plan, if not nil, changes the load.
	plan func(p *load.Plan, duration time.Duration)
	// injectFaults, if not nil, injects faults until the load ends. Faults of links,
	// the platform and servers need not be removed: the end of the run removes them.
	injectFaults func(ctx context.Context, r *run)
}

var scenarios = map[string]scenario{
	"steady":   {},
	"failover": {injectFaults: killPrimaries},
	"noisy": {plan: func(p *load.Plan, duration time.Duration) {
		p.Organisations[0].Surge = load.Surge{From: duration / 4, To: 3 * duration / 4, Factor: surgeFactor}
	}},
	"partition":  {injectFaults: partitionPrimary},
	"store-down": {injectFaults: failPlatform},
	"rolling":    {injectFaults: restartInstances},
	"roam":       {plan: func(p *load.Plan, _ time.Duration) { p.RoamShare = roamShare }},
	"silent":     {injectFaults: blackholeConnections},
}

func scenarioNames() []string {
	return slices.Sorted(maps.Keys(scenarios))
}

// killPrimaries kills the primary of one group after the other.
func killPrimaries(ctx context.Context, r *run) {
	step := r.opts.duration / time.Duration(len(r.fleet.Groups)+1)
	for i := range r.fleet.Groups {
		if !sleep(ctx, step) {
			return
		}
		go r.killPrimary(ctx, i)
	}
	<-ctx.Done()
}

// killPrimary kills the primary of one group and restarts it later.
func (r *run) killPrimary(ctx context.Context, index int) {
	primary := r.fleet.Groups[index].Primary()
	if primary == nil {
		return
	}
	r.recordFailover(index)
	primary.Kill()
	sleep(ctx, primaryDowntime)
	_ = primary.Restart()
}

// partitionPrimary blocks all links of the failure domain of the first group's
// primary, during the middle half of the load.
func partitionPrimary(ctx context.Context, r *run) {
	if !sleep(ctx, r.opts.duration/4) {
		return
	}
	domain := r.fleet.Groups[0].Primary().FailureDomain()
	for i, group := range r.fleet.Groups {
		if group.Primary().FailureDomain() == domain {
			r.recordFailover(i)
		}
	}
	for _, other := range append([]string{harness.PlatformDomain}, r.opts.deployment.FailureDomains...) {
		if other != domain {
			r.fleet.Links.SetBoth(domain, other, relay.Fault{Blocked: true})
		}
	}
	sleep(ctx, r.opts.duration/2)
	r.fleet.Links.Clear()
	<-ctx.Done()
}

// failPlatform makes the platform unavailable for most of the load and kills a primary
// meanwhile.
func failPlatform(ctx context.Context, r *run) {
	if !sleep(ctx, r.opts.duration/5) {
		return
	}
	r.fleet.Platform.SetFault(standin.Fault{Unavailable: true})
	if sleep(ctx, r.opts.duration*3/10) {
		go r.killPrimary(ctx, 0)
	}
	sleep(ctx, r.opts.duration*3/10)
	r.fleet.Platform.SetFault(standin.Fault{})
	<-ctx.Done()
}

// restartInstances gracefully restarts one instance after the other.
func restartInstances(ctx context.Context, r *run) {
	step := r.opts.duration / time.Duration(r.opts.deployment.InstanceCount+1)
	for i := range r.opts.deployment.InstanceCount {
		next := time.After(step)
		r.policy.restart(ctx, i)
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
	<-ctx.Done()
}

// blackholeConnections blackholes the open connections to each primary's failure
// domain, one group after the other.
func blackholeConnections(ctx context.Context, r *run) {
	step := r.opts.duration / time.Duration(len(r.fleet.Groups)+1)
	for i, group := range r.fleet.Groups {
		if !sleep(ctx, step) {
			return
		}
		primary := group.Primary()
		if primary == nil {
			continue
		}
		r.recordFailover(i)
		for _, other := range r.opts.deployment.FailureDomains {
			r.fleet.Links.BlackholeConnections(relay.Direction{From: other, To: primary.FailureDomain()})
		}
	}
	<-ctx.Done()
}

// restart implements policy. It stops the process gracefully, or kills it if that
// takes too long, and starts it again.
func (h *hornbeamlockPolicy) restart(ctx context.Context, instance int) {
	process := h.fleet.Instances[instance]
	h.addReads(ctx, process)
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if process.Stop(stopCtx, syscall.SIGTERM) != nil {
		_ = process.Stop(context.WithoutCancel(ctx), syscall.SIGKILL)
	}
	if process.Start() == nil {
		_ = process.AwaitReady(stopCtx)
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
