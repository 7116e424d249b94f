package group

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
)

const (
	// switchoverSlack is by how many records a successor may be behind when a
	// planned change of primary begins.
	switchoverSlack = 64
	// switchoverCatchUp bounds the wait for the successor to have everything
	// once the former primary takes no more writes.
	switchoverCatchUp = 300 * time.Millisecond
	// switchoverPause separates planned changes that did not succeed.
	switchoverPause = 5 * time.Second
	// catchUpInterval is the pause between looks at the successors.
	catchUpInterval = 10 * time.Millisecond
)

// switchOver replaces a working primary that is leaving, once another server has
// nearly all of its log.
func (w *watcher) switchOver(a election.Assessment, rank int) {
	now := time.Now()
	if !a.Primary.Avoid || now.Before(w.loop.switchAfter) || !w.successorReady(a, switchoverSlack) {
		return
	}
	first := w.loop.switchAfter.IsZero()
	w.loop.switchAfter = now.Add(switchoverPause * time.Duration(rank+1))
	if first && rank > 0 {
		return
	}
	w.attempt(a, w.members())
}

// successorReady tells whether a server that is not leaving lacks at most slack
// records of the primary's log.
func (w *watcher) successorReady(a election.Assessment, slack uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	primary := w.sights[a.Primary.Endpoint]
	if primary == nil {
		return false
	}
	for _, s := range w.sights {
		if s == primary || !s.Live() || !s.Status.Serving || s.Server.Avoid {
			continue
		}
		durable := s.Status.Durable
		if primary.Status.History.Contains(durable) && durable.Offset+slack >= primary.Status.Durable.Offset {
			return true
		}
	}
	return false
}

// drainPrimary stops the writes at a working primary that is being replaced, and
// waits for a successor to take the rest of its log. It is a courtesy to commits
// in flight: the attempt is as safe without it.
func (w *watcher) drainPrimary(ctx context.Context, attempt *election.Attempt, a election.Assessment) {
	ctx, cancel := context.WithTimeout(ctx, switchoverCatchUp)
	defer cancel()
	agent := w.c.cfg.Groups.GroupServer(a.Primary.ControlAddress)
	granted, status, err := agent.Prepare(ctx, attempt.Term(), attempt.Proposer())
	if err != nil || !granted {
		return
	}
	w.record(a.Primary, status, time.Now())
	for ctx.Err() == nil && !w.successorReady(a, 0) {
		sleep(ctx, catchUpInterval)
		w.sample(ctx)
	}
}
