package share

import (
	"context"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// liveCheck is how often, at most, the session of a live member is looked at.
	liveCheck = 30 * time.Second
	// goneCheck is how often that of an instance is that is not seen any more.
	goneCheck = 2 * time.Second
)

// findEnded looks for holders of the part's row that have surely lapsed, when
// the row has too little left.
func (w *worker) findEnded(ctx context.Context, p *part) {
	now := w.cfg.Clock()
	p.mu.Lock()
	short := p.goal(now)-p.ledger.Units > p.cached.row.Ledger.Free.Units
	p.mu.Unlock()
	if !short {
		return
	}
	var holders []string
	for _, e := range p.cached.row.Ledger.Entries {
		if e.Holder != w.session.holder() && !w.ended[e.Holder] && w.checkDue(e.Holder, now) {
			holders = append(holders, e.Holder)
		}
	}
	if len(holders) > 0 {
		w.checkSessions(ctx, holders)
	}
}

func (w *worker) checkDue(holder string, now time.Duration) bool {
	every := min(goneCheck, w.cfg.SessionLease/4)
	id, incarnation := parseHolder(holder)
	if m, ok := w.directory.Load().members[id]; ok && m.Incarnation == incarnation {
		every = min(liveCheck, w.cfg.SessionLease/4)
	}
	last, seen := w.checked[holder]
	return !seen || now-last >= every
}

// checkSessions reads the sessions' rows. A session whose row is gone is over;
// one that has surely lapsed is ended by deleting its row, which fails if its
// owner renewed it after all.
func (w *worker) checkSessions(ctx context.Context, holders []string) {
	keys := make([]string, len(holders))
	for i, holder := range holders {
		keys[i] = sessionKey(holder)
	}
	rows, err := w.store.get(ctx, keys...)
	if err != nil || len(rows) != len(keys) {
		return
	}
	now := w.cfg.Clock()
	for i, stored := range rows {
		w.checked[holders[i]] = now
		if stored.Revision == 0 || w.endSession(ctx, holders[i], stored) {
			w.ended[holders[i]] = true
		}
	}
}

func (w *worker) endSession(ctx context.Context, holder string, stored platform.Row) bool {
	s, err := decodeSession(stored.Value)
	if err != nil {
		return false
	}
	id, incarnation := parseHolder(holder)
	vouched := w.cfg.Ended != nil && w.cfg.Ended(id, incarnation)
	if !vouched && !s.lapsed(w.store.lastSample().earliest(w.cfg.Clock())) {
		return false
	}
	result, err := w.store.commit(ctx,
		[]platform.Condition{{Key: stored.Key, Revision: stored.Revision}},
		[]platform.Write{{Key: stored.Key, Delete: true}})
	if err != nil || !result.Applied {
		return false
	}
	event.ShareSessionReclaimed.Emit(w.cfg.Log, holderField(holder))
	return true
}
