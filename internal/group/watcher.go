package group

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
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

	touched atomic.Int64 // when there was traffic last, as Unix nanoseconds

	mu       sync.Mutex
	servers  []election.Server            // guarded by mu, in the order of the configuration
	sights   map[string]*sight            // guarded by mu, by endpoint id
	doubted  time.Time                    // guarded by mu; when a failure was reported that no sample has settled
	changed  chan struct{}                // guarded by mu; closed when the primary changes
	writers  map[uint64]string            // guarded by mu; the primaries of recent terms
	progress election.ReplicationProgress // guarded by mu

	loop loopState
}

// sight is a server as this instance sees it.
type sight struct {
	election.Observation
	sampledAt time.Time
	// failedAt is when the latest failed call ended.
	failedAt time.Time
	// needsSince is since when the server has needed to be told whom to follow.
	needsSince time.Time
	// idleAt is the durable position at the last look, and lookedAt the sample.
	idleAt   position.Position
	lookedAt time.Time
}

func newWatcher(ctx context.Context, c *Controller, service string) *watcher {
	w := &watcher{
		c: c, service: service,
		log:     c.cfg.Log.With(zap.String("service", service)),
		wake:    make(chan struct{}, 1),
		sights:  make(map[string]*sight),
		changed: make(chan struct{}),
		writers: make(map[uint64]string),
		loop:    newLoopState(),
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.confirm = newConfirmer(w)
	w.index = &indexer{w: w}
	return w
}

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
			Avoid:          endpoint.GetLeaving(),
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

// touchGrain is how exactly the time of the latest traffic is kept, so that
// request goroutines seldom write to it.
const touchGrain = time.Second

// touch notes traffic, and wakes the loop when there had been none.
func (w *watcher) touch(now time.Time) {
	last := w.touched.Load()
	if now.UnixNano()-last < int64(touchGrain) {
		return
	}
	w.touched.Store(now.UnixNano())
	if now.UnixNano()-last > int64(w.c.cfg.TrafficWindow) {
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
