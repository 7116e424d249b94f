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
	c         *Controller
	service   string
	log       *zap.Logger
	ctx       context.Context // ends with the watcher
	stop      context.CancelFunc
	trigger   chan struct{} // holds one token: sample at once
	confirm   *confirmer
	readIndex *readIndexer

	lastTraffic atomic.Int64 // when there was traffic last, as Unix nanoseconds

	mu                sync.Mutex
	servers           []election.Server             // guarded by mu, in the order of the configuration
	observations      map[string]*serverObservation // guarded by mu, by endpoint id
	failureReportedAt time.Time                     // guarded by mu; when a failure was reported that no sample has settled
	changed           chan struct{}                 // guarded by mu; closed when the primary changes
	primaries         map[uint64]string             // guarded by mu; the primaries of recent terms
	replication       election.Progress             // guarded by mu

	loop loopState
}

// serverObservation is a server as this instance sees it.
type serverObservation struct {
	election.Sight
	sampledAt time.Time
	// failedAt is when the latest failed call ended.
	failedAt time.Time
	// needsFollowSince is since when the server has needed to be told whom to follow.
	needsFollowSince time.Time
	// lastDurable is the durable position at the last look, and lookedAt the sample.
	lastDurable   position.Position
	checkedSample time.Time
}

func newWatcher(ctx context.Context, c *Controller, service string) *watcher {
	w := &watcher{
		c: c, service: service,
		log:          c.cfg.Log.With(zap.String("service", service)),
		trigger:      make(chan struct{}, 1),
		observations: make(map[string]*serverObservation),
		changed:      make(chan struct{}),
		primaries:    make(map[uint64]string),
		loop:         newLoopState(),
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	w.confirm = newConfirmer(w)
	w.readIndex = &readIndexer{w: w}
	return w
}

// configure takes over the group's servers.
func (w *watcher) configure(service *configv1.Service) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = w.servers[:0:0]
	observations := make(map[string]*serverObservation)
	for _, endpoint := range service.GetEndpoints() {
		server := election.Server{
			Endpoint:       endpoint.GetId(),
			ControlAddress: endpoint.GetControlAddress(),
			Avoid:          endpoint.GetLeaving(),
		}
		w.servers = append(w.servers, server)
		s := w.observations[server.Endpoint]
		if s == nil || s.Server.ControlAddress != server.ControlAddress {
			s = &serverObservation{}
		}
		s.Server = server
		observations[server.Endpoint] = s
	}
	w.observations = observations
}

// groupServers returns the group's servers.
func (w *watcher) groupServers() []election.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.servers
}

// trafficTimeResolution is how exactly the time of the latest traffic is kept, so that
// request goroutines seldom write to it.
const trafficTimeResolution = time.Second

// recordTraffic notes traffic, and wakes the loop when there had been none.
func (w *watcher) recordTraffic(now time.Time) {
	last := w.lastTraffic.Load()
	if now.UnixNano()-last < int64(trafficTimeResolution) {
		return
	}
	w.lastTraffic.Store(now.UnixNano())
	if now.UnixNano()-last > int64(w.c.cfg.TrafficWindow) {
		w.triggerSample()
	}
}

// recordConnectionFailure notes that the data path saw the endpoint fail.
func (w *watcher) recordConnectionFailure(endpoint string) {
	if group, _ := w.c.cfg.Board.Groups.Get(w.service); group.Primary == endpoint || group.Primary == "" {
		w.mu.Lock()
		w.failureReportedAt = time.Now()
		w.mu.Unlock()
	}
	w.triggerSample()
}

// clearFailureReport ends the doubt about failures that were reported before sentAt.
func (w *watcher) clearFailureReport(sentAt time.Time) {
	w.mu.Lock()
	cleared := !w.failureReportedAt.IsZero() && !w.failureReportedAt.After(sentAt)
	if cleared {
		w.failureReportedAt = time.Time{}
	}
	w.mu.Unlock()
	if cleared {
		w.notifyPrimaryChange()
	}
}

// triggerSample lets the loop sample at once.
func (w *watcher) triggerSample() {
	select {
	case w.trigger <- struct{}{}:
	default:
	}
}

// primary returns what is known of the primary, whether it works, and a channel
// that is closed when that may have changed.
func (w *watcher) primary() (changed <-chan struct{}, group blackboard.Group, working bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group, _ = w.c.cfg.Board.Groups.Get(w.service)
	return w.changed, group, group.Primary != "" && !group.Electing && w.failureReportedAt.IsZero()
}

// notifyPrimaryChange wakes those who wait for the primary to change.
func (w *watcher) notifyPrimaryChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}
