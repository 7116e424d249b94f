package fairqueue

import (
	"context"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// counters are the queue's metrics, by organisation.
type counters struct {
	granted, refused, evicted, expired *expvar.Map
}

func newCounters(set *metrics.Set) counters {
	return counters{
		granted: set.Labelled("fairqueue_granted_total"),
		refused: set.Labelled("fairqueue_refused_total"),
		evicted: set.Labelled("fairqueue_evicted_total"),
		expired: set.Labelled("fairqueue_expired_total"),
	}
}

// grant is a granted request, which holds one slot of the capacity.
type grant struct {
	queue    *Queue
	flow     *flow
	charged  float64 // service time in seconds
	since    time.Time
	released atomic.Bool
}

// grant gives a request of f a slot. The caller holds mu.
func (q *Queue) grant(f *flow) *grant {
	g := &grant{queue: q, flow: f, charged: q.sched.expectedServiceTime(f), since: time.Now()}
	q.sched.begin(f)
	q.counters.granted.Add(f.organisation, 1)
	return g
}

// release frees the slot and grants the next requests.
func (g *grant) release() {
	if g.released.Swap(true) {
		return
	}
	g.queue.mu.Lock()
	defer g.queue.mu.Unlock()
	g.queue.sched.complete(g.flow, g.charged, time.Since(g.since))
	g.queue.dispatch()
}

func newWaiter(ctx context.Context, r Request) *waiter {
	w := &waiter{request: r, result: make(chan error, 1)}
	w.deadline, _ = ctx.Deadline()
	w.cancelled = func() bool { return ctx.Err() != nil }
	return w
}

// expiredError returns the refusal of a request whose context ended while it waited.
func (w *waiter) expiredError() error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections,
		"no place became free before the deadline").WithRetryAfter(initialServiceTime)
}

// makeRoom makes room for w in the queue, by evicting other requests if necessary,
// or returns the refusal of w. The caller holds mu.
func (q *Queue) makeRoom(f *flow, w *waiter, capacity int) error {
	estimatedWait := q.sched.estimatedWait(f, capacity)
	if !w.deadline.IsZero() {
		if left := time.Until(w.deadline); estimatedWait > left {
			return refusal("the queue is longer than the deadline", estimatedWait-left)
		}
	}
	if len(f.waiting) >= q.cfg.MaxWaitingPerOrganisation {
		return refusal("too many requests of the organisation wait", estimatedWait)
	}
	if w.request.Bytes > q.cfg.MaxBytes {
		return refusal("the request is too large to wait", estimatedWait)
	}
	if q.sched.waiting >= q.cfg.MaxWaiting && !q.evict(f, waitingCount, 1) {
		return refusal("too many requests wait", estimatedWait)
	}
	for q.sched.bytes+w.request.Bytes > q.cfg.MaxBytes {
		if !q.evict(f, waitingBytes, w.request.Bytes) {
			return refusal("waiting requests hold too much memory", estimatedWait)
		}
	}
	return nil
}

func waitingCount(f *flow) int { return len(f.waiting) }

func waitingBytes(f *flow) int { return f.bytes }

// evict refuses the newest request of the organisation that occupies most of the
// queue in relation to its weight. It reports false when the arriving organisation
// would occupy as much or more with its new request of the given size: then the
// arriving request is to be refused.
func (q *Queue) evict(arriving *flow, measure func(*flow) int, size int) bool {
	victim := q.sched.largest(measure)
	if victim == nil || victim == arriving {
		return false
	}
	if float64(measure(arriving)+size)/arriving.weight >= float64(measure(victim))/victim.weight {
		return false
	}
	newest := q.sched.remove(victim, len(victim.waiting)-1)
	q.counters.evicted.Add(victim.organisation, 1)
	newest.result <- refusal("the organisation's part of the waiting room is full",
		q.sched.estimatedWait(victim, q.cfg.Capacity()))
	return true
}

// refusal returns a NotRun error with RetryAfter, which is at least
// initialServiceTime.
func refusal(message string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "%s", message).
		WithRetryAfter(max(after, initialServiceTime))
}
