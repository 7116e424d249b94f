package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// LagUnknown is the lag of an endpoint without an estimate.
const LagUnknown = 365 * 24 * time.Hour

// sample requests the status of every server of the group in parallel and records the
// responses.
func (w *watcher) sample(ctx context.Context) {
	sentAt := time.Now()
	servers := w.groupServers()
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() { _, _ = w.status(ctx, server, w.c.cfg.StatusTimeout) })
	}
	wait.Wait()
	w.trackReplication(sentAt)
	w.estimateLag(sentAt)
}

// samplePrimary requests the status of the known primary only.
func (w *watcher) samplePrimary(ctx context.Context, primary string) {
	sentAt := time.Now()
	for _, server := range w.groupServers() {
		if server.Endpoint == primary {
			_, _ = w.status(ctx, server, w.c.cfg.StatusTimeout)
		}
	}
	w.estimateLag(sentAt)
}

// status requests the status of one server and records the outcome, unless ctx ended
// in the meantime.
func (w *watcher) status(ctx context.Context, server election.Server, timeout time.Duration) (platform.ServerStatus, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	w.c.counters.statusCalls.Add(1)
	status, err := w.c.cfg.Groups.GroupServer(server.ControlAddress).Status(callCtx)
	switch {
	case err == nil:
		w.record(server, status, sentAt)
	case ctx.Err() == nil:
		w.c.counters.statusFailures.Add(1)
		w.recordFailure(server, sentAt, callCtx.Err() == nil)
	}
	return status, err
}

// record stores a status that was requested at sentAt, unless a more recent one is
// stored already.
func (w *watcher) record(server election.Server, status platform.ServerStatus, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.observations[server.Endpoint]
	if s == nil || s.sampledAt.After(sentAt) {
		return
	}
	s.Status, s.Answered, s.sampledAt = status, true, sentAt
	s.FailingSince, s.Failures = time.Time{}, 0
	switch {
	case status.Serving:
		s.NotServingSince = time.Time{}
	case s.NotServingSince.IsZero():
		s.NotServingSince = sentAt
	}
	w.c.cfg.Board.Endpoints.Update(server.Endpoint, func(row blackboard.Endpoint, _ bool) (blackboard.Endpoint, bool) {
		return w.endpointRow(row, status, server.Endpoint, sentAt), true
	})
}

// endpointRow merges a status into the row. Connections may have raised Replayed in
// the meantime; it decreases only when the server's history or term has changed.
func (w *watcher) endpointRow(row blackboard.Endpoint, status platform.ServerStatus, id string, sentAt time.Time) blackboard.Endpoint {
	replayed := status.Replayed
	if row.PromisedTerm == status.PromisedTerm && slices.Equal(row.History, status.History) {
		replayed = replayed.Max(row.Replayed)
	}
	role := blackboard.RoleReplica
	if status.Primary {
		role = blackboard.RolePrimary
	}
	if row.ID == "" {
		row.Lag = LagUnknown
	}
	return blackboard.Endpoint{
		ID: id, Service: w.service, Role: role,
		PromisedTerm:   status.PromisedTerm,
		Durable:        status.Durable,
		Replayed:       replayed,
		History:        status.History,
		Serving:        status.Serving,
		Reachable:      true,
		SampledAt:      sentAt,
		SuspectedUntil: row.SuspectedUntil,
		Lag:            row.Lag,
	}
}

// recordFailure records a failed status call sent at sentAt; beforeDeadline is set
// when the call failed before its deadline.
func (w *watcher) recordFailure(server election.Server, sentAt time.Time, beforeDeadline bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.observations[server.Endpoint]
	if s == nil || s.sampledAt.After(sentAt) {
		return
	}
	if s.FailingSince.IsZero() {
		s.FailingSince = sentAt
	}
	s.Failures++
	s.Refused, s.failedAt = beforeDeadline, time.Now()
	if !s.Failed(s.failedAt, w.c.cfg.Suspicion) {
		return
	}
	w.c.cfg.Board.Endpoints.Update(server.Endpoint, func(row blackboard.Endpoint, exists bool) (blackboard.Endpoint, bool) {
		changed := !exists || row.Reachable
		row.ID, row.Service, row.Reachable = server.Endpoint, w.service, false
		if !exists {
			row.Lag = LagUnknown
		}
		return row, changed
	})
}

// trackReplication checks, by the statuses requested at sentAt or later, whether a
// majority receives the primary's log.
func (w *watcher) trackReplication(sentAt time.Time) {
	fresh := w.observationsSince(sentAt)
	statuses := make([]platform.ServerStatus, 0, len(fresh))
	for _, s := range fresh {
		statuses = append(statuses, s.Status)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.replication.Observe(statuses, len(w.servers), time.Now())
}

// estimateLag updates the lag estimates with the statuses requested at sentAt or
// later.
func (w *watcher) estimateLag(sentAt time.Time) {
	fresh := w.observationsSince(sentAt)
	for _, s := range fresh {
		if s.Status.Primary {
			w.loop.lag.ObservePrimary(s.sampledAt, s.Status.Durable)
		}
	}
	for _, s := range fresh {
		estimate, known := w.loop.lag.ObserveReplica(s.Server.Endpoint, s.sampledAt, s.Status.Replayed)
		switch {
		case s.Status.Primary:
			estimate = 0
		case !known:
			estimate = LagUnknown
		}
		w.c.cfg.Board.Endpoints.Update(s.Server.Endpoint, func(row blackboard.Endpoint, exists bool) (blackboard.Endpoint, bool) {
			changed := exists && estimate != row.Lag
			row.Lag = estimate
			return row, changed
		})
	}
}

// observationsSince copies the observations of servers that responded to a call sent
// at sentAt or later.
func (w *watcher) observationsSince(sentAt time.Time) []serverObservation {
	w.mu.Lock()
	defer w.mu.Unlock()
	var fresh []serverObservation
	for _, s := range w.observations {
		if s.Live() && !s.sampledAt.Before(sentAt) {
			fresh = append(fresh, *s)
		}
	}
	return fresh
}
