package share

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// batchSize is the most limits that one commit changes.
	batchSize = 64
	// batchAttempts is how often a batch is tried when others write the same
	// rows.
	batchAttempts = 6
	// rowFresh is how long a row with too little left is not read again.
	rowFresh = 500 * time.Millisecond
)

// worker carries out operations on the table's ledgers, many in one commit. It
// is used by one goroutine.
type worker struct {
	*Controller
	ended    map[string]bool          // sessions that are surely over, by holder
	checked  map[string]time.Duration // when a session was last looked at
	sequence uint64
}

// change is one limit's row as a batch would write it.
type change struct {
	part    *part
	next    row
	op      operation
	granted escrow.Amount
}

// serve carries out what is due for the parts given.
func (w *worker) serve(ctx context.Context, parts []*part) error {
	for batch := range slices.Chunk(parts, batchSize) {
		if err := w.serveBatch(ctx, batch); err != nil {
			return trace.Wrap(err)
		}
		for _, p := range batch {
			w.noteShortage(p)
		}
	}
	return nil
}

// serveBatch tries one commit for all parts, and again with smaller batches as
// long as others write the same rows.
func (w *worker) serveBatch(ctx context.Context, parts []*part) error {
	for attempt := range batchAttempts {
		if err := w.load(ctx, parts); err != nil {
			return trace.Wrap(err)
		}
		changes := w.prepareAll(ctx, parts)
		if len(changes) == 0 {
			return nil
		}
		applied, err := w.commit(ctx, changes)
		if err != nil {
			return trace.Wrap(err)
		}
		if applied {
			return nil
		}
		w.conflicts.Add(1)
		if !sleep(ctx, conflictPause(attempt, w.cfg.Random())) {
			return trace.Wrap(ctx.Err())
		}
	}
	if len(parts) == 1 {
		return nil
	}
	half := len(parts) / 2
	if err := w.serveBatch(ctx, parts[:half]); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(w.serveBatch(ctx, parts[half:]))
}

// load reads the rows that are not known.
func (w *worker) load(ctx context.Context, parts []*part) error {
	var missing []*part
	var keys []string
	for _, p := range parts {
		if w.outdated(p) {
			missing = append(missing, p)
			keys = append(keys, rowKey(p.resource))
		}
	}
	if len(missing) == 0 {
		return nil
	}
	rows, err := w.store.get(ctx, keys...)
	if err != nil {
		return trace.Wrap(err)
	}
	for i, p := range missing {
		if i < len(rows) {
			w.refresh(p, rows[i])
		}
	}
	return nil
}

// outdated tells whether a part's row has to be read: it is not known, or it may
// have got more since it had too little.
func (w *worker) outdated(p *part) bool {
	now := w.cfg.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cached == nil || p.stale {
		return true
	}
	missing := p.goal(now) - p.ledger.Units
	return missing > p.cached.row.Ledger.Free.Units && now-p.cached.seen > rowFresh
}

// refresh takes over a row as it is in the table now, and with it the outcome of
// an operation whose answer was lost.
func (w *worker) refresh(p *part, stored platform.Row) {
	version := w.cfg.Board.Configuration.Get().Version
	p.mu.Lock()
	defer p.mu.Unlock()
	decoded, err := decodeRow(stored.Value, p.limit.Units, version)
	if err != nil {
		event.ShareRowUnreadable.Emit(w.cfg.Log, resourceField(p.resource), errorField(err))
		p.cached, p.dirty = nil, false
		p.emptyUntil = w.cfg.Clock() + tableBackoffLast
		return
	}
	p.cached, p.stale = &cachedRow{revision: stored.Revision, seen: w.cfg.Clock(), row: decoded}, false
	entry := decoded.Ledger.Entry(w.session.holder())
	for _, op := range p.pending {
		if op.sequence == entry.Sequence {
			p.finish(op, entry.LastGrant)
			return
		}
	}
}

// finish takes over the outcome of an operation that took effect. The caller
// holds mu.
func (p *part) finish(op operation, granted escrow.Amount) {
	p.pending, p.dirty = nil, false
	p.returning = max(0, p.returning-op.returned)
	p.ledger.Absorb(granted)
	p.recorded = p.ledger.Units
	if p.recorded <= p.ceiling {
		p.ceilingUntil = 0
	}
	if granted.Units > 0 {
		p.emptyCount, p.emptyUntil = 0, 0
	}
	p.wake()
}

// prepareAll computes the changes of a batch and looks for lapsed sessions where
// there is a shortage.
func (w *worker) prepareAll(ctx context.Context, parts []*part) []change {
	var changes []change
	for _, p := range parts {
		if p.cached == nil {
			continue
		}
		w.findEnded(ctx, p)
		if c, write := w.prepare(p); write {
			changes = append(changes, c)
		}
	}
	return changes
}

// prepare computes one row's change. What the instance gives up leaves its own
// ledger here, before the table can know of it.
func (w *worker) prepare(p *part) (change, bool) {
	now, clock := w.cfg.Clock(), w.store.lastSample()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tidy(now)
	next := p.cached.row
	next.Ledger.Entries = slices.Clone(next.Ledger.Entries)
	next.Ledger.Accrue(p.limit, clock.earliest(now), clock.latest(now))
	reclaimed := next.Ledger.Reclaim(func(e escrow.Entry) bool { return w.ended[e.Holder] })
	resized := w.resize(p, &next)
	goal := p.goal(now)
	if next.Ledger.Free.Units < 0 {
		goal = min(goal, p.fairPart(next.Ledger, w.session.holder()))
	}
	p.returning += p.ledger.Withdraw(p.ledger.Units - goal).Tokens
	w.sequence++
	holder := w.session.holder()
	err := next.Ledger.Settle(p.limit, escrow.Request{
		Holder: holder, Sequence: w.sequence, Held: p.ledger.Units, Returned: p.returning, Want: p.demanded(),
	})
	if err != nil {
		w.voided.Store(true)
		return change{}, false
	}
	granted := next.Ledger.Grant(p.limit, holder, min(goal-p.ledger.Units, p.share(next.Ledger, holder)))
	p.missing = goal - p.ledger.Units - granted.Units
	moved := p.recorded != p.ledger.Units || granted.Units > 0 || reclaimed > 0 || resized ||
		p.missing > 0 && wantChanged(p.cached.row.Ledger.Entry(holder).Want, p.demanded())
	if !moved && len(p.pending) == 0 {
		p.dirty = false
		return change{}, false
	}
	op := operation{sequence: w.sequence, returned: p.returning}
	return change{part: p, next: next, op: op, granted: granted}, true
}

// resize adapts the row to a later configuration's number of units. The caller
// holds p.mu.
func (w *worker) resize(p *part, next *row) bool {
	version := w.cfg.Board.Configuration.Get().Version
	if version <= next.Version || next.Ledger.Units == p.limit.Units {
		return false
	}
	next.Version = version
	next.Ledger.Resize(p.limit.Units)
	return true
}

// fairPart is what a holder may keep of a limit that became too small for all:
// as much as an equal level allows. The caller holds mu.
func (p *part) fairPart(l escrow.Ledger, holder string) int64 {
	held := make([]int64, 0, len(l.Entries))
	for _, e := range l.Entries {
		if e.Holder != holder {
			held = append(held, e.Units)
		}
	}
	return escrow.MaxMinLevel(l.Units, append(held, p.ledger.Units))
}

// noteShortage backs off from a row that has no more and asks the instances that
// hold much of it.
func (w *worker) noteShortage(p *part) {
	if p.missing <= 0 || p.cached == nil {
		return
	}
	p.mu.Lock()
	p.emptyCount++
	p.emptyUntil = w.cfg.Clock() + backoff(p.emptyCount, tableBackoffLast, w.cfg.Random())
	want, held := p.ledger.TotalWant(), p.ledger.Units
	p.emptyBase = want <= held
	p.mu.Unlock()
	if want > held {
		w.recallDomains(p, p.cached.row.Ledger, want, held)
	}
	p.missing = 0
}

// share returns how many units the part may take from a row: any for demand, but
// for its base only what no other failure domain is waiting for. The caller
// holds mu.
func (p *part) share(l escrow.Ledger, holder string) int64 {
	open := l.Free.Units
	for _, e := range l.Entries {
		if e.Holder != holder {
			open -= max(0, e.Want-e.Units)
		}
	}
	return max(open, p.ledger.TotalWant()-p.ledger.Units)
}

// wantChanged tells whether a want differs enough from the one in the table for
// others to be told.
func wantChanged(old, now int64) bool {
	return now > old+old/growStep || now < old-old/slack
}

// commit writes the changes. It reports false when a row had changed meanwhile;
// then the rows as they are now have been taken over.
func (w *worker) commit(ctx context.Context, changes []change) (bool, error) {
	conditions := make([]platform.Condition, len(changes))
	writes := make([]platform.Write, len(changes))
	for i, c := range changes {
		value, err := encode(c.next)
		if err != nil {
			return false, trace.Wrap(err)
		}
		key := rowKey(c.part.resource)
		conditions[i] = platform.Condition{Key: key, Revision: c.part.cached.revision}
		writes[i] = platform.Write{Key: key, Value: value}
	}
	result, err := w.store.commit(ctx, conditions, writes)
	if err != nil {
		w.uncertain(changes)
		return false, trace.Wrap(err)
	}
	if !result.Applied {
		w.conflicted(changes, result.Current)
		return false, nil
	}
	for _, c := range changes {
		c.part.mu.Lock()
		c.part.cached = &cachedRow{revision: result.Revision, seen: w.cfg.Clock(), row: c.next}
		c.part.finish(c.op, c.granted)
		c.part.mu.Unlock()
	}
	return true, nil
}

// uncertain remembers operations whose answer was lost.
func (w *worker) uncertain(changes []change) {
	for _, c := range changes {
		c.part.mu.Lock()
		c.part.pending = append(c.part.pending, c.op)
		c.part.cached = nil
		c.part.mu.Unlock()
	}
}

// conflicted takes over the rows that stood in the way of a batch.
func (w *worker) conflicted(changes []change, current []platform.Row) {
	for _, stored := range current {
		for _, c := range changes {
			if rowKey(c.part.resource) == stored.Key {
				w.refresh(c.part, stored)
			}
		}
	}
}

// sleep waits for d; it reports false when ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
