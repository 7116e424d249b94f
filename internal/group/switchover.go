package group

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
)

const (
	// switchoverQuiet is how long a leaving primary keeps its place, so that
	// open transactions can end. New writes wait meanwhile.
	switchoverQuiet = 500 * time.Millisecond
	// switchoverPatience is how long a successor may take to get all of the log.
	switchoverPatience = 3 * time.Second
	// switchoverSlack is by how many records a successor may be behind after that.
	switchoverSlack = 64
	// switchoverPause separates planned changes that did not succeed.
	switchoverPause = 5 * time.Second
)

// switchOver replaces a working primary that is leaving, once another server has
// all of its log. The observers take turns by rank in case one of them fails to.
func (w *watcher) switchOver(a election.Assessment, rank int, now time.Time) {
	if !a.Primary.Avoid {
		w.loop.leavingSince, w.loop.switchAfter = time.Time{}, time.Time{}
		return
	}
	if w.loop.leavingSince.IsZero() {
		w.loop.leavingSince = now
		w.loop.switchAfter = now.Add(switchoverQuiet + time.Duration(rank)*switchoverPause)
	}
	slack := uint64(0)
	if now.Sub(w.loop.leavingSince) > switchoverPatience {
		slack = switchoverSlack
	}
	if now.Before(w.loop.switchAfter) || !w.successorReady(a, slack) {
		return
	}
	w.loop.switchAfter = now.Add(switchoverPause)
	w.attempt(a, w.members())
}

// successorReady tells whether a server that may be chosen lacks at most slack
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
