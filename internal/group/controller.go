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

// errStopped is why nothing more is started once Run has ended or not begun.
var errStopped = errors.New("the group controller does not run")

// Controller watches the groups of all configured services.
type Controller struct {
	cfg         Config
	limiter     *rate.Limiter
	counters    counters
	assignments assignmentCache

	// watchers is replaced as a whole, so that request goroutines share no lock.
	watchers atomic.Pointer[map[string]*watcher]
	// sampleInterval is the pause between an observer's samples, in nanoseconds.
	sampleInterval atomic.Int64
	// roundsPerReplicaSample is how many of those samples take in the replicas once.
	roundsPerReplicaSample atomic.Int64
	view                   *fleetconfig.View // belongs to the reconciling goroutine

	mu   sync.RWMutex
	tomb *tomb.Tomb      // guarded by mu; nil while Run is not running
	ctx  context.Context // guarded by mu; ends with the tomb
}

// New returns a controller that does nothing until Run. The error is that of
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

// reconcileInterval is the shortest pause between two looks at the configuration
// and the members.
const reconcileInterval = time.Second

// Run watches until ctx ends and returns nil then.
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

// spawn runs f under the tomb with a context that ends with it. It reports false
// when the controller does not run.
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

// reconcileLoop keeps one watcher per configured service and the assignment of
// observers up to date.
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

// reconcile starts and stops watchers as the configuration calls for.
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

// roundsPerReplicaSample is how many rounds of samples a replica takes part in once, when
// the samples of all groups do not fit into their bound otherwise.
const roundsPerReplicaSample = 4

// maxSampleInterval bounds the pause between an observer's samples of a primary, also
// when the calls then exceed their bound: a failover has to end within 8 s.
const maxSampleInterval = 2 * time.Second

// updateSampleInterval sets the pause between an observer's samples, and how many take in
// the replicas, so that all of them together stay within their bound.
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

// budgetInterval returns the time over which an observer may make that many calls.
func (c *Controller) budgetInterval(calls float64) time.Duration {
	return time.Duration(calls / c.cfg.ObserverCallsPerSecond * float64(time.Second))
}

// observerSampleInterval returns the pause between an observer's samples of a group.
func (c *Controller) observerSampleInterval() time.Duration {
	return time.Duration(c.sampleInterval.Load())
}

// triggerAll lets every watcher look at its part anew.
func (c *Controller) triggerAll() {
	for _, w := range *c.watchers.Load() {
		w.triggerSample()
	}
}

// removeStaleRows removes the rows of endpoints and services no longer configured.
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

// Touch notes that the service has traffic here, so that it is sampled.
func (c *Controller) Touch(service string) {
	if w := c.watcher(service); w != nil {
		w.recordTraffic(time.Now())
	}
}

// ReportFailure tells that the data path saw a connection to the endpoint fail.
// The endpoint's group is sampled at once; the primary is in doubt until then.
func (c *Controller) ReportFailure(endpointID string, _ error) {
	entry, ok := c.cfg.Board.Configuration.Get().Endpoints[endpointID]
	if !ok {
		return
	}
	if w := c.watcher(entry.Service); w != nil {
		w.recordConnectionFailure(endpointID)
	}
}

// noPrimaryRetryAfter is what callers are told who waited for a primary in vain.
const noPrimaryRetryAfter = time.Second

// AwaitPrimary waits until a working primary of the service is known whose term
// differs from notTerm; 0 accepts any. The error is a *verdict.Error NotRun.
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
