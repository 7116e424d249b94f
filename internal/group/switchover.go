package group

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
)

const (
	// switchoverDelay is how long a leaving primary stays in place, so that open
	// transactions can end. New writes wait in the meantime.
	switchoverDelay = 500 * time.Millisecond
	// switchoverCatchUpTimeout is how long a successor may take to receive the whole
	// log.
	switchoverCatchUpTimeout = 3 * time.Second
	// switchoverMaxMissing is the number of records that a successor may lack after
	// that timeout.
	switchoverMaxMissing = 64
	// switchoverRetryInterval is the interval between switchover attempts, and
	// between the first attempts of observers of successive ranks.
	switchoverRetryInterval = 5 * time.Second
)

// switchOver replaces a working primary that is leaving, once another server has its
// whole log. Observers act in order of rank, in case an earlier one fails to.
func (w *watcher) switchOver(a election.Assessment, rank int, now time.Time) {
	if !a.Primary.Avoid {
		w.loop.leavingSince, w.loop.nextSwitchoverAt = time.Time{}, time.Time{}
		return
	}
	if w.loop.leavingSince.IsZero() {
		w.loop.leavingSince = now
		w.loop.nextSwitchoverAt = now.Add(switchoverDelay + time.Duration(rank)*switchoverRetryInterval)
	}
	maxMissing := uint64(0)
	if now.Sub(w.loop.leavingSince) > switchoverCatchUpTimeout {
		maxMissing = switchoverMaxMissing
	}
	if now.Before(w.loop.nextSwitchoverAt) || !w.successorReady(a, maxMissing) {
		return
	}
	w.loop.nextSwitchoverAt = now.Add(switchoverRetryInterval)
	w.attempt(a, w.groupServers())
}

// successorReady reports whether a server that may be chosen lacks at most maxMissing
// records of the primary's log.
func (w *watcher) successorReady(a election.Assessment, maxMissing uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	primary := w.observations[a.Primary.Endpoint]
	if primary == nil {
		return false
	}
	for _, s := range w.observations {
		if s == primary || !s.Live() || !s.Status.Serving || s.Server.Avoid {
			continue
		}
		durable := s.Status.Durable
		if primary.Status.History.Contains(durable) && durable.Offset+maxMissing >= primary.Status.Durable.Offset {
			return true
		}
	}
	return false
}
