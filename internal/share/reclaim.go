package share

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// liveCheckInterval is the shortest interval between checks of a live member's
	// session.
	liveCheckInterval = 30 * time.Second
	// absentCheckInterval is the shortest interval between checks of the session of
	// an instance that is not a live member.
	absentCheckInterval = 2 * time.Second
)

// findEnded checks the sessions of the holders in the allocation's row, when the
// row has too few free units.
func (u *rowUpdater) findEnded(ctx context.Context, alloc *allocation) {
	now := u.cfg.Clock()
	alloc.mu.Lock()
	short := alloc.goal(now)-alloc.ledger.Units > alloc.cached.row.Ledger.Free.Units
	alloc.mu.Unlock()
	if !short {
		return
	}
	var holders []string
	for _, e := range alloc.cached.row.Ledger.Entries {
		if e.Holder != u.session.holder() && !u.ended[e.Holder] && u.checkDue(e.Holder, now) {
			holders = append(holders, e.Holder)
		}
	}
	if len(holders) > 0 {
		u.checkSessions(ctx, holders)
	}
}

func (u *rowUpdater) checkDue(holder string, now time.Duration) bool {
	interval := min(absentCheckInterval, u.cfg.SessionLease/4)
	id, incarnation := parseHolder(holder)
	if m, ok := u.directory.Load().members[id]; ok && m.Incarnation == incarnation {
		interval = min(liveCheckInterval, u.cfg.SessionLease/4)
	}
	last, seen := u.checkedAt[holder]
	return !seen || now-last >= interval
}

// checkSessions reads the sessions' rows. A session whose row has been removed has
// ended. One that has certainly expired is ended by deleting its row, which fails
// if its owner renewed it after all.
func (u *rowUpdater) checkSessions(ctx context.Context, holders []string) {
	keys := make([]string, len(holders))
	for i, holder := range holders {
		keys[i] = sessionKey(holder)
	}
	rows, err := u.store.get(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		return
	}
	now := u.cfg.Clock()
	for i, stored := range rows {
		u.checkedAt[holders[i]] = now
		if !stored.Revision.Exists() || u.endSession(ctx, holders[i], stored) {
			u.ended[holders[i]] = true
		}
	}
}

// endSession deletes the row of a session that has certainly ended. It reports
// whether it did.
func (u *rowUpdater) endSession(ctx context.Context, holder string, stored platform.Row) bool {
	s, err := decodeSession(stored.Value)
	if err != nil {
		return false
	}
	id, incarnation := parseHolder(holder)
	confirmedEnded := u.cfg.Ended != nil && u.cfg.Ended(id, incarnation)
	if !confirmedEnded && !s.expired(u.store.lastReading().earliest(u.cfg.Clock())) {
		return false
	}
	result, err := u.store.commit(ctx,
		[]platform.Condition{{Key: stored.Key, Revision: stored.Revision}},
		[]platform.Write{{Key: stored.Key, Delete: true}})
	if err != nil || !result.Applied {
		return false
	}
	event.ShareSessionReclaimed.Emit(u.cfg.Log, holderField(holder))
	return true
}
