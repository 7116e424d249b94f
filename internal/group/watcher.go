package group

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// watcher follows one group. Its loop is a single goroutine; the rest of the
// fields is shared with callers.
type watcher struct {
	c       *Controller
	service string
	log     *zap.Logger
	ctx     context.Context // ends with the watcher
	stop    context.CancelFunc
	wake    chan struct{} // holds one token: sample at once
	confirm *confirmer
	index   *indexer

	mu      sync.Mutex
	servers []election.Server // guarded by mu, in the order of the configuration
	sights  map[string]*sight // guarded by mu, by endpoint id
	touched time.Time         // guarded by mu
	doubted time.Time         // guarded by mu; when a failure was reported that no sample has settled
	changed chan struct{}     // guarded by mu; closed when the primary changes
	writers map[uint64]string // guarded by mu; the primaries of recent terms

	// The fields below belong to the loop.
	headlessSince time.Time
	strandedSince time.Time
	lastCondition election.Condition
	retry         *backoff.ExponentialBackOff
	pause         time.Duration // until the next attempt, after a lost one
	marks         []mark
}

// sight is a server as this instance sees it.
type sight struct {
	election.Sight
	sampledAt time.Time
	// needsSince is since when the server has needed to be told whom to follow.
	needsSince time.Time
	// idleAt is the durable position at the last look.
	idleAt position.Position
}

func newWatcher(ctx context.Context, c *Controller, service string) *watcher {
	w := &watcher{
		c: c, service: service,
		log:     c.cfg.Log.With(zap.String("service", service)),
		wake:    make(chan struct{}, 1),
		sights:  make(map[string]*sight),
		changed: make(chan struct{}),
		writers: make(map[uint64]string),
		retry:   backoff.NewExponentialBackOff(),
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.retry.InitialInterval = attemptBackoffInitial
	w.retry.MaxInterval = attemptBackoffMax
	w.retry.RandomizationFactor = attemptBackoffSpread
	w.confirm = newConfirmer(w)
	w.index = &indexer{w: w}
	return w
}

// Pauses between the attempts of one instance, spread so that racing instances
// get out of each other's way.
const (
	attemptBackoffInitial = 200 * time.Millisecond
	attemptBackoffMax     = time.Second
	attemptBackoffSpread  = 0.7
)

// configure takes over the group's servers.
func (w *watcher) configure(service *configv1.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = w.servers[:0:0]
	sights := make(map[string]*sight)
	for _, endpoint := range service.GetEndpoints() {
		server := election.Server{
			Endpoint:       endpoint.GetId(),
			ControlAddress: endpoint.GetControlAddress(),
			Leaving:        endpoint.GetLeaving(),
		}
		w.servers = append(w.servers, server)
		s := w.sights[server.Endpoint]
		if s == nil || s.Server.ControlAddress != server.ControlAddress {
			s = &sight{}
		}
		s.Server = server
		sights[server.Endpoint] = s
	}
	w.sights = sights
}

// members returns the group's servers.
func (w *watcher) members() []election.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers
}

// touch notes traffic, and wakes the loop when there had been none.
func (w *watcher) touch(now time.Time) {
	w.mu.Lock()
	idle := now.Sub(w.touched) > w.c.cfg.TrafficWindow
	w.touched = now
	w.mu.Unlock()
	if idle {
		w.nudge()
	}
}

// doubt notes that the data path saw the endpoint fail.
func (w *watcher) doubt(endpoint string) {
	if group, _ := w.c.cfg.Board.Groups.Get(w.service); group.Primary == endpoint || group.Primary == "" {
		w.mu.Lock()
		w.doubted = time.Now()
		w.mu.Unlock()
	}
	w.nudge()
}

// settle ends the doubt about failures that were reported before sentAt.
func (w *watcher) settle(sentAt time.Time) {
	w.mu.Lock()
	settled := !w.doubted.IsZero() && !w.doubted.After(sentAt)
	if settled {
		w.doubted = time.Time{}
	}
	w.mu.Unlock()
	if settled {
		w.broadcast()
	}
}

// nudge lets the loop sample at once.
func (w *watcher) nudge() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// primary returns what is known of the primary, whether it works, and a channel
// that is closed when that may have changed.
func (w *watcher) primary() (changed <-chan struct{}, group blackboard.Group, working bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group, _ = w.c.cfg.Board.Groups.Get(w.service)
	return w.changed, group, group.Primary != "" && !group.Electing && w.doubted.IsZero()
}

// broadcast wakes those who wait for the primary to change.
func (w *watcher) broadcast() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}

// run samples and acts until the watcher stops.
func (w *watcher) run() {
	for {
		delay := w.step(time.Now())
		timer := time.NewTimer(delay)
		select {
		case <-w.ctx.Done():
			timer.Stop()
			return
		case <-w.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// step samples once if it is this instance's turn, acts on the outcome, and
// returns the pause until the next step.
func (w *watcher) step(now time.Time) time.Duration {
	rank := w.c.rank(w.service)
	if rank < 0 && !w.hasTraffic(now) {
		return w.c.cfg.TrafficWindow
	}
	sentAt := time.Now()
	w.sample(w.ctx)
	assessment := w.assess(time.Now())
	w.note(assessment)
	if assessment.Condition != election.Unsettled {
		w.settle(sentAt)
	}
	w.act(assessment, rank)
	return w.nextPause(assessment.Condition, rank)
}

func (w *watcher) hasTraffic(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.doubted.IsZero() || now.Sub(w.touched) <= w.c.cfg.TrafficWindow
}

func (w *watcher) nextPause(condition election.Condition, rank int) time.Duration {
	cfg := &w.c.cfg
	switch {
	case w.pause > 0:
		return w.pause
	case condition == election.Unsettled:
		return cfg.RecheckInterval
	case rank >= 0 || condition != election.Healthy:
		return cfg.SampleInterval
	default:
		calls := len(w.members())
		return max(cfg.TrafficSampleInterval, w.c.limiter.ReserveN(time.Now(), min(calls, w.c.limiter.Burst())).Delay())
	}
}

// assess judges the group by the latest samples.
func (w *watcher) assess(now time.Time) election.Assessment {
	known, _ := w.c.cfg.Board.Groups.Get(w.service)
	return election.Assess(w.view(), known.Term, known.Primary, now, w.c.cfg.Suspicion)
}

// view copies the sights in the order of the configuration.
func (w *watcher) view() []election.Sight {
	w.mu.Lock()
	defer w.mu.Unlock()
	view := make([]election.Sight, 0, len(w.servers))
	for _, server := range w.servers {
		view = append(view, w.sights[server.Endpoint].Sight)
	}
	return view
}

// note logs a change of the group's condition and writes it to the blackboard.
func (w *watcher) note(a election.Assessment) {
	headless := a.Condition == election.Headless || a.Condition == election.Minority
	if a.Condition != w.lastCondition && headless {
		logged := event.GroupSuspected
		if a.Condition == election.Minority {
			logged = event.GroupMinority
		}
		logged.Emit(w.log, zap.Uint64("term", a.Term), zap.String("primary", a.Primary.Endpoint),
			zap.Strings("suspects", a.Suspects))
	}
	w.lastCondition = a.Condition
	switch {
	case !headless:
		w.headlessSince = time.Time{}
	case w.headlessSince.IsZero():
		w.headlessSince = time.Now()
		w.c.meters.phase(phaseDetect, w.failingFor(a.Primary.Endpoint))
	}
	w.publish(a, headless)
}

// failingFor returns for how long the calls to endpoint have failed.
func (w *watcher) failingFor(endpoint string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.sights[endpoint]; s != nil && !s.FailingSince.IsZero() {
		return time.Since(s.FailingSince)
	}
	return 0
}

// act does what the assessment calls for.
func (w *watcher) act(a election.Assessment, rank int) {
	w.pause = 0
	switch a.Condition {
	case election.Healthy:
		w.retry.Reset()
		if rank >= 0 {
			w.attach(a, rank)
			w.rescueStranded(a, rank)
		}
	case election.Headless:
		if rank < 0 && time.Since(w.headlessSince) < w.c.cfg.FallbackDelay {
			return
		}
		w.elect(a, max(rank, 0))
	default:
	}
}
