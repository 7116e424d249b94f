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

// watcher monitors one group. Its loop is a single goroutine and owns the field loop;
// the other fields are shared with callers.
type watcher struct {
	c         *Controller
	service   string
	log       *zap.Logger
	ctx       context.Context // ends with the watcher
	stop      context.CancelFunc
	trigger   chan struct{} // buffered for one token; requests a sample
	confirm   *confirmer
	readIndex *readIndexer

	lastTraffic atomic.Int64 // time of the latest traffic, as Unix nanoseconds

	mu                sync.Mutex
	servers           []election.Server             // guarded by mu, in the order of the configuration
	observations      map[string]*serverObservation // guarded by mu, by endpoint id
	failureReportedAt time.Time                     // guarded by mu; a failure report not yet cleared by a sample; else zero
	changed           chan struct{}                 // guarded by mu; closed when the primary changes
	primaries         map[uint64]string             // guarded by mu; endpoint ids of the primaries of recent terms
	replication       election.ReplicationProgress  // guarded by mu

	loop loopState
}

// serverObservation is this instance's observation of a server.
type serverObservation struct {
	election.Observation
	sampledAt time.Time
	// failedAt is when the latest failed call ended.
	failedAt time.Time
	// needsFollowSince is when the server began to need a Follow call or was last due
	// for one; zero if it needs none.
	needsFollowSince time.Time
	// lastDurable and checkedSample are the durable position and the time of the
	// sample that needsAttach checked last.
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

// configure applies the group's configured servers.
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

// trafficTimeResolution is the resolution of lastTraffic, so that request goroutines
// rarely write to it.
const trafficTimeResolution = time.Second

// recordTraffic records traffic, and triggers a sample when there was none within
// TrafficWindow.
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

// recordConnectionFailure records that a connection of the data path to the endpoint
// failed.
func (w *watcher) recordConnectionFailure(endpoint string) {
	if group, _ := w.c.cfg.Board.Groups.Get(w.service); group.Primary == endpoint || group.Primary == "" {
		w.mu.Lock()
		w.failureReportedAt = time.Now()
		w.mu.Unlock()
	}
	w.triggerSample()
}

// clearFailureReport clears a failure report that was made at or before sentAt.
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

// triggerSample makes the loop sample soon, without waiting for its next step.
func (w *watcher) triggerSample() {
	select {
	case w.trigger <- struct{}{}:
	default:
	}
}

// primary returns the known state of the group, whether its primary works, and a
// channel that is closed when that may have changed.
func (w *watcher) primary() (changed <-chan struct{}, group blackboard.Group, working bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	group, _ = w.c.cfg.Board.Groups.Get(w.service)
	return w.changed, group, group.Primary != "" && !group.Electing && w.failureReportedAt.IsZero()
}

// notifyPrimaryChange wakes the callers that wait for the primary to change.
func (w *watcher) notifyPrimaryChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.changed)
	w.changed = make(chan struct{})
}
