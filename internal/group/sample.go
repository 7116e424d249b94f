package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// LagUnknown is the lag of an endpoint that cannot be estimated.
const LagUnknown = 365 * 24 * time.Hour

// mark says that everything acknowledged before At lies at or below Position.
type mark struct {
	at       time.Time
	position position.Position
}

// maxMarks bounds how far back lag can be estimated, in samples.
const maxMarks = 256

// sample asks every server of the group for its status, all at once, and records
// the answers.
func (w *watcher) sample(ctx context.Context) {
	sentAt := time.Now()
	servers := w.members()
	var wait sync.WaitGroup
	for _, server := range servers {
		wait.Go(func() { _, _ = w.status(ctx, server, w.c.cfg.StatusTimeout) })
	}
	wait.Wait()
	w.addMark(sentAt)
	w.estimateLag(servers)
}

// status asks one server for its status and records the outcome, unless ctx ended
// meanwhile.
func (w *watcher) status(ctx context.Context, server election.Server, timeout time.Duration) (platform.ServerStatus, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	w.c.meters.statusCalls.Add(1)
	status, err := w.c.cfg.Groups.GroupServer(server.ControlAddress).Status(callCtx)
	switch {
	case err == nil:
		w.record(server, status, sentAt)
	case ctx.Err() == nil:
		w.c.meters.statusFailures.Add(1)
		w.recordFailure(server, sentAt, callCtx.Err() == nil)
	}
	return status, err
}

// record takes over a status that was asked for at sentAt, unless a later one is
// known already.
func (w *watcher) record(server election.Server, status platform.ServerStatus, sentAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sights[server.Endpoint]
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

// endpointRow merges a status into the row. Connections may have raised Replayed
// meanwhile; it falls only when the server's history or term has changed.
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
		PromisedTerm: status.PromisedTerm,
		Durable:      status.Durable,
		Replayed:     replayed,
		History:      status.History,
		Serving:      status.Serving,
		Reachable:    true,
		SampledAt:    sentAt,
		SuspectUntil: row.SuspectUntil,
		Lag:          row.Lag,
	}
}

// recordFailure notes a failed status call sent at sentAt; prompt tells that the
// failure came before the deadline.
func (w *watcher) recordFailure(server election.Server, sentAt time.Time, prompt bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.sights[server.Endpoint]
	if s == nil || s.sampledAt.After(sentAt) {
		return
	}
	if s.FailingSince.IsZero() {
		s.FailingSince = sentAt
	}
	s.Failures++
	s.Refused, s.failedAt = prompt, time.Now()
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

// addMark notes the primary's position if the statuses asked for since sentAt
// prove its term current.
func (w *watcher) addMark(sentAt time.Time) {
	statuses, size := w.statusesSince(sentAt)
	w.mu.Lock()
	w.progress.Observe(statuses, size, time.Now())
	w.mu.Unlock()
	primary, current := election.Current(statuses, size)
	if !current {
		return
	}
	w.loop.marks = append(w.loop.marks, mark{at: sentAt, position: primary.Durable})
	if len(w.loop.marks) > maxMarks {
		w.loop.marks = slices.Delete(w.loop.marks, 0, len(w.loop.marks)-maxMarks)
	}
}

// statusesSince returns the statuses that were asked for at sentAt or later, and
// the size of the group.
func (w *watcher) statusesSince(sentAt time.Time) ([]platform.ServerStatus, int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var statuses []platform.ServerStatus
	for _, s := range w.sights {
		if s.Live() && !s.sampledAt.Before(sentAt) {
			statuses = append(statuses, s.Status)
		}
	}
	return statuses, len(w.servers)
}

// estimateLag sets the age of what reads at each server see, never too low: it
// counts from the latest mark that the server has replayed.
func (w *watcher) estimateLag(servers []election.Server) {
	for _, server := range servers {
		w.c.cfg.Board.Endpoints.Update(server.Endpoint, func(row blackboard.Endpoint, exists bool) (blackboard.Endpoint, bool) {
			lag := w.lagOf(row)
			changed := exists && lag != row.Lag
			row.Lag = lag
			return row, changed
		})
	}
}

func (w *watcher) lagOf(row blackboard.Endpoint) time.Duration {
	for _, m := range slices.Backward(w.loop.marks) {
		if !row.Replayed.Less(m.position) && row.History.Contains(m.position) {
			return max(0, row.SampledAt.Sub(m.at))
		}
	}
	return LagUnknown
}
