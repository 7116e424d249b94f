package group

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"
	"gopkg.in/tomb.v2"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// errStopped is the cause of errors returned while Run is not running.
var errStopped = errors.New("the group controller does not run")

// Controller monitors the groups of all configured services.
type Controller struct {
	cfg         Config
	limiter     *rate.Limiter
	counters    counters
	assignments assignmentCache

	// watchers is replaced as a whole, so that request goroutines share no lock.
	watchers atomic.Pointer[map[string]*watcher]
	// sampleInterval is the current interval between an observer's samples of a
	// group, in nanoseconds.
	sampleInterval atomic.Int64
	// roundsPerReplicaSample is the number of those samples of which one includes the
	// replicas: 1 or, to limit the calls, the constant of the same name.
	roundsPerReplicaSample atomic.Int64
	view                   *fleetconfig.View // used by reconcileLoop only

	mu   sync.RWMutex
	tomb *tomb.Tomb      // guarded by mu; nil while Run is not running
	ctx  context.Context // guarded by mu; ends with the tomb
}

// New returns a controller that is inactive until Run. The error is that of
// Config.CheckAndSetDefaults.
func New(cfg Config) (*Controller, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	calls := int(max(1, cfg.TrafficCallsPerSecond))
	c := &Controller{
		cfg:      cfg,
		limiter:  rate.NewLimiter(rate.Limit(cfg.TrafficCallsPerSecond), calls),
		counters: newCounters(cfg.Metrics),
	}
	c.watchers.Store(&map[string]*watcher{})
	c.sampleInterval.Store(int64(cfg.SampleInterval))
	c.roundsPerReplicaSample.Store(1)
	return c, nil
}

// reconcileInterval is how often the members are checked. A new configuration is
// applied at once.
const reconcileInterval = time.Second

// Run monitors the groups until ctx ends and then returns nil.
func (c *Controller) Run(ctx context.Context) error {
	t, tombCtx := tomb.WithContext(ctx)
	c.mu.Lock()
	if c.tomb != nil {
		c.mu.Unlock()
		return trace.BadParameter("group: Run is called twice")
	}
	c.tomb, c.ctx = t, tombCtx
	c.mu.Unlock()
	t.Go(func() error {
		c.reconcileLoop(tombCtx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.tomb = nil
		c.watchers.Store(&map[string]*watcher{})
		return nil
	})
	err := t.Wait()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// spawn runs f under the tomb, with a context that ends with it. It reports false
// when the controller is not running.
func (c *Controller) spawn(f func(ctx context.Context)) bool {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.tomb == nil || c.ctx.Err() != nil {
		return false
	}
	ctx := c.ctx
	c.tomb.Go(func() error {
		f(ctx)
		return nil
	})
	return true
}

// reconcileLoop keeps one watcher per configured service and updates the assignment
// of observers.
func (c *Controller) reconcileLoop(ctx context.Context) {
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		configured := c.cfg.Board.Configuration.Changed()
		reassigned := c.assignments.refresh(c.observerCandidates(time.Now()))
		view := c.cfg.Board.Configuration.Get()
		if view != c.view {
			c.reconcile(ctx, view)
		}
		if reassigned || view != c.view {
			c.updateSampleInterval()
			c.triggerAll()
		}
		c.view = view
		select {
		case <-ctx.Done():
			return
		case <-configured:
		case <-ticker.C:
		}
	}
}

// reconcile starts and stops watchers to match the configuration.
func (c *Controller) reconcile(ctx context.Context, view *fleetconfig.View) {
	current := *c.watchers.Load()
	next := make(map[string]*watcher, len(view.Services))
	var started []*watcher
	for name, service := range view.Services {
		w, exists := current[name]
		if !exists {
			w = newWatcher(ctx, c, name)
			started = append(started, w)
		}
		w.configure(service)
		c.assignments.forget(name)
		next[name] = w
	}
	c.watchers.Store(&next)
	for _, w := range started {
		c.spawn(func(context.Context) { w.run() })
	}
	for name, w := range current {
		if next[name] == nil {
			w.stop()
		}
	}
	c.removeStaleRows(view)
}

// roundsPerReplicaSample is the number of rounds per sample of a replica when
// sampling every server in each round would exceed ObserverCallsPerSecond.
const roundsPerReplicaSample = 4

// maxSampleInterval bounds the interval between an observer's samples of a primary,
// even when the calls then exceed ObserverCallsPerSecond: a failover has to complete
// within 8 s.
const maxSampleInterval = 2 * time.Second

// updateSampleInterval sets the interval between an observer's samples, and how many
// of them include the replicas, to stay within ObserverCallsPerSecond.
func (c *Controller) updateSampleInterval() {
	servers, groups := 0, 0
	for name, w := range *c.watchers.Load() {
		if c.rank(name) >= 0 {
			servers += len(w.groupServers())
			groups++
		}
	}
	rounds := 1
	if c.budgetInterval(float64(servers)) > c.cfg.SampleInterval {
		rounds = roundsPerReplicaSample
	}
	calls := float64(groups) + float64(servers-groups)/float64(rounds)
	c.roundsPerReplicaSample.Store(int64(rounds))
	c.sampleInterval.Store(int64(min(max(c.cfg.SampleInterval, c.budgetInterval(calls)), maxSampleInterval)))
}

// budgetInterval returns the shortest time in which ObserverCallsPerSecond allows
// that many calls.
func (c *Controller) budgetInterval(calls float64) time.Duration {
	return time.Duration(calls / c.cfg.ObserverCallsPerSecond * float64(time.Second))
}

// observerSampleInterval returns the current interval between an observer's samples
// of a group.
func (c *Controller) observerSampleInterval() time.Duration {
	return time.Duration(c.sampleInterval.Load())
}

// triggerAll triggers a step of every watcher, so that changed assignments take
// effect.
func (c *Controller) triggerAll() {
	for _, w := range *c.watchers.Load() {
		w.triggerSample()
	}
}

// removeStaleRows removes the rows of endpoints and services that are no longer
// configured.
func (c *Controller) removeStaleRows(view *fleetconfig.View) {
	for id := range c.cfg.Board.Endpoints.Snapshot() {
		if _, exists := view.Endpoints[id]; !exists {
			c.cfg.Board.Endpoints.Delete(id)
		}
	}
	for name := range c.cfg.Board.Groups.Snapshot() {
		if _, exists := view.Services[name]; !exists {
			c.cfg.Board.Groups.Delete(name)
		}
	}
}

// watcher returns the watcher of service, or nil for an unknown one.
func (c *Controller) watcher(service string) *watcher {
	return (*c.watchers.Load())[service]
}

// Touch records traffic of the service at this instance, so that its group is
// sampled.
func (c *Controller) Touch(service string) {
	if w := c.watcher(service); w != nil {
		w.recordTraffic(time.Now())
	}
}

// ReportFailure records that a connection of the data path to the endpoint failed.
// The endpoint's group is sampled at once. If the endpoint is the primary, it does
// not count as working until samples show its state.
func (c *Controller) ReportFailure(endpointID string, _ error) {
	entry, ok := c.cfg.Board.Configuration.Get().Endpoints[endpointID]
	if !ok {
		return
	}
	if w := c.watcher(entry.Service); w != nil {
		w.recordConnectionFailure(endpointID)
	}
}

// noPrimaryRetryAfter is the retry delay suggested to callers when no primary is
// available.
const noPrimaryRetryAfter = time.Second

// AwaitPrimary waits until a working primary of the service is known whose term
// differs from notTerm; 0 accepts any. The error is a *verdict.Error with verdict
// NotRun.
func (c *Controller) AwaitPrimary(ctx context.Context, service string, notTerm uint64) (blackboard.Group, error) {
	w := c.watcher(service)
	if w == nil {
		return blackboard.Group{}, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow,
			"the service has no database group here yet").WithRetryAfter(noPrimaryRetryAfter)
	}
	w.recordTraffic(time.Now())
	for {
		changed, group, working := w.primary()
		if working && group.Term != notTerm {
			return group, nil
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return group, noPrimary(w.ctx.Err())
		case <-ctx.Done():
			return group, noPrimary(ctx.Err())
		}
	}
}

func noPrimary(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow,
		"the database group has no primary at present").WithRetryAfter(noPrimaryRetryAfter).WithCause(cause)
}
