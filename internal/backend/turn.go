package backend

import (
	"context"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
)

// All statements of a fleet at an endpoint with a connection owner pass through one pool. It
// lets hardly more of them run at once than the endpoint has slots, so that the order in which
// the others follow is decided here and not by their arrival at the endpoint.

const (
	// spareSlots is the number of statements beyond the endpoint's slots that are on the way.
	spareSlots = 1
	// defaultTarget is the latency target of a statement without one, for each step of priority.
	defaultTarget = 100 * time.Millisecond
	// lateShare is the number of statements of which one at least is the one that is due for
	// longest, although it is late.
	lateShare = 4
	// maxMovableWait is the expected wait for a connection to a full endpoint from which a
	// statement that another endpoint may run is refused.
	maxMovableWait = 50 * time.Millisecond
	// noExpiry stands for a statement without a deadline.
	noExpiry = time.Duration(1<<63 - 1)
)

// Turn decides the order in which statements get connections.
type Turn struct {
	// Priority orders statements without a latency target, 0 first.
	Priority int
	// DueAt is when the statement misses the latency target of its operation, 0 if it has none.
	DueAt time.Duration
	// Transaction is true if the connection is for a transaction, which occupies no slot while
	// it is idle.
	Transaction bool
	// Movable is true if another endpoint may run the statement as well.
	Movable bool
}

func (t *Turn) setDefault(now time.Duration) {
	if t.DueAt == 0 {
		t.DueAt = now + time.Duration(1+max(0, t.Priority))*defaultTarget
	}
}

// claim is a statement's request for a connection.
type claim struct {
	organisation string
	turn         Turn
	// occupies is true if the statement counts among those that occupy a slot.
	occupies       bool
	share, maxOpen int
	// expires is the time after which the statement is given up.
	expires time.Duration
	// notified is true if the statement has waited and was notified.
	notified bool
}

// expiryOf returns the deadline of a context by the clock whose time is now.
func expiryOf(ctx context.Context, now time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return noExpiry
	}
	return now + time.Until(deadline)
}

// waiter is a statement that waits for a connection.
type waiter struct {
	turn   Turn
	notify chan struct{}
	// dropped is true, once notify has a value, if the statement is refused.
	dropped bool
}

// hasSlot reports whether another statement may run, besides those that were notified. The
// caller holds mu.
func (q *pool) hasSlot(e catalog.Endpoint) bool {
	return e.Slots <= 0 || q.busy+q.notified-spareSlots < e.Slots
}

// occupy counts a slot as occupied; pooled is nil if the connection is yet to be opened. The
// caller holds mu.
func (q *pool) occupy(pooled *PooledConn) {
	q.busy++
	if pooled != nil {
		pooled.occupies = true
	}
}

// vacate ends the occupation of a slot by the connection, if it counts. The caller holds mu.
func (q *pool) vacate(pc *PooledConn) {
	if pc.occupies {
		pc.occupies = false
		q.busy--
	}
}

// latency returns the time for which a statement usually occupies a slot.
func (q *pool) latency() time.Duration { return q.health.Load(q.id).Latency }

// waitBehind returns the expected wait behind a number of statements, of which parallel run at once.
func (q *pool) waitBehind(ahead, parallel int) time.Duration {
	return time.Duration(ahead+1) * q.latency() / time.Duration(parallel)
}

// enqueue queues a statement. A full queue drops the statement that is due last. It returns nil if
// that is this one, or if the statements that are due before it would take all of its time. The
// caller holds mu.
func (q *pool) enqueue(e catalog.Endpoint, c claim) *waiter {
	at, _ := slices.BinarySearchFunc(q.waiters, c.turn, func(w *waiter, t Turn) int {
		if w.turn.DueAt <= t.DueAt {
			return -1
		}
		return 1
	})
	if at >= maxWaiters {
		return nil
	}
	now := q.pools.cfg.Clock()
	if c.turn.Movable && now < q.nextDialAt && (q.open == 0 || q.waitBehind(at, q.open) > maxMovableWait) {
		return nil
	}
	if c.occupies && e.Slots > 0 && now+q.waitBehind(at, e.Slots) > c.expires {
		return nil
	}
	w := &waiter{turn: c.turn, notify: make(chan struct{}, 1)}
	q.waiters = slices.Insert(q.waiters, at, w)
	if len(q.waiters) > maxWaiters {
		last := q.waiters[maxWaiters]
		q.waiters = q.waiters[:maxWaiters]
		last.dropped = true
		last.notify <- struct{}{}
	}
	return w
}

// notifyFirst dequeues a waiter and lets it try again: the one that is due first among those
// that can still meet their target, and one time in lateShare among all. The caller holds mu.
func (q *pool) notifyFirst() {
	if len(q.waiters) == 0 {
		return
	}
	next := 0
	if q.wakes++; q.wakes%lateShare != 0 {
		possible := q.pools.cfg.Clock() + q.latency()
		next = max(0, slices.IndexFunc(q.waiters, func(w *waiter) bool { return w.turn.DueAt >= possible }))
	}
	q.notified++
	q.waiters[next].notify <- struct{}{}
	q.waiters = slices.Delete(q.waiters, next, next+1)
}

// removeWaiter removes a waiter from the queue. If it was already notified, the next waiter
// is notified in its place.
func (q *pool) removeWaiter(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if i := slices.Index(q.waiters, w); i >= 0 {
		q.waiters = slices.Delete(q.waiters, i, i+1)
		return
	}
	if w.dropped {
		return
	}
	q.notified--
	q.notifyFirst()
}
