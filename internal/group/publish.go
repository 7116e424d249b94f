package group

import (
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Sources from which a primary becomes known, as logged.
const (
	sourceStatus       = "status"
	sourceAnnouncement = "announcement"
	sourcePromotion    = "promotion"
)

// publish writes the assessed state of the group to the blackboard. An observer that
// discovers a new primary by itself announces it, since the proposer may have failed
// before it could.
func (w *watcher) publish(a election.Assessment, electing bool) {
	if a.Condition == election.Healthy {
		status, sampledAt := w.lastStatus(a.Primary.Endpoint)
		if w.learn(a.Term, a.Primary.Endpoint, sourceStatus) && w.c.rank(w.service) >= 0 {
			w.announce(a.Term, a.Primary.Endpoint)
		}
		w.refreshPrimary(a.Term, status, sampledAt)
		return
	}
	if a.Condition == election.Unsettled {
		return
	}
	w.setElecting(electing)
}

func (w *watcher) lastStatus(endpoint string) (platform.ServerStatus, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.observations[endpoint]; s != nil {
		return s.Status, s.sampledAt
	}
	return platform.ServerStatus{}, time.Time{}
}

// learn records the primary of a term and reports whether it is new. A term lower
// than the known one is ignored.
func (w *watcher) learn(term uint64, primary, source string) bool {
	isNew, notify := false, false
	w.c.cfg.Board.Groups.Update(w.service, func(row blackboard.Group, _ bool) (blackboard.Group, bool) {
		if term < row.Term || term == 0 || primary == "" {
			return row, false
		}
		isNew = term > row.Term || row.Primary == ""
		notify = isNew || row.Electing
		row.Service, row.Electing = w.service, false
		if isNew {
			row.Term, row.Primary = term, primary
		}
		return row, notify
	})
	if isNew {
		w.retainPrimary(term, primary)
		event.GroupPrimaryLearned.Emit(w.log, zap.Uint64("term", term), zap.String("primary", primary),
			zap.String("source", source))
	}
	if notify {
		w.notifyPrimaryChange()
	}
	return isNew
}

// retainedTerms is the range of former terms whose primaries are retained for commits
// that still wait for confirmation.
const retainedTerms = 16

// retainPrimary records the primary of a term. A term never has a second one.
func (w *watcher) retainPrimary(term uint64, primary string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.primaries[term] = primary
	for known := range w.primaries {
		if known+retainedTerms < term {
			delete(w.primaries, known)
		}
	}
}

// primaryOf returns the endpoint id of the primary of a term, or "".
func (w *watcher) primaryOf(term uint64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.primaries[term]
}

// refreshPrimary updates the primary's position and history from its status.
func (w *watcher) refreshPrimary(term uint64, status platform.ServerStatus, sampledAt time.Time) {
	w.c.cfg.Board.Groups.Update(w.service, func(row blackboard.Group, _ bool) (blackboard.Group, bool) {
		if row.Term != term || status.PromisedTerm != term || sampledAt.Before(row.SampledAt) {
			return row, false
		}
		row.PrimaryPosition, row.History, row.SampledAt = status.Durable, status.History, sampledAt
		return row, true
	})
}

// setElecting records whether this instance sees no working primary.
func (w *watcher) setElecting(electing bool) {
	changed := false
	w.c.cfg.Board.Groups.Update(w.service, func(row blackboard.Group, _ bool) (blackboard.Group, bool) {
		changed = row.Electing != electing
		row.Service, row.Electing = w.service, electing
		return row, changed
	})
	if changed {
		w.notifyPrimaryChange()
	}
}
