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

// place is one granted request.
type place struct {
	queue    *Queue
	flow     *flow
	charged  float64 // seconds of service
	since    time.Time
	released atomic.Bool
}

// place grants a request of f. The caller holds mu.
func (q *Queue) place(f *flow) *place {
	p := &place{queue: q, flow: f, charged: q.sched.expected(f), since: time.Now()}
	q.sched.grant(f)
	q.counters.granted.Add(f.organisation, 1)
	return p
}

// release gives the place back and grants who is next.
func (p *place) release() {
	if p.released.Swap(true) {
		return
	}
	p.queue.mu.Lock()
	defer p.queue.mu.Unlock()
	p.queue.sched.done(p.flow, p.charged, time.Since(p.since))
	p.queue.dispatch()
}

func newWaiter(ctx context.Context, r Request) *waiter {
	w := &waiter{request: r, result: make(chan error, 1)}
	w.deadline, _ = ctx.Deadline()
	w.cancelled = func() bool { return ctx.Err() != nil }
	return w
}

// expiry is the refusal of a request whose caller gave up before its turn.
func (w *waiter) expiry() error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections,
		"no place became free before the deadline").WithRetryAfter(firstService)
}

// admit makes room for w, or returns its refusal. The caller holds mu.
func (q *Queue) admit(f *flow, w *waiter, capacity int) error {
	wait := q.sched.wait(f, capacity)
	if !w.deadline.IsZero() {
		if left := time.Until(w.deadline); wait > left {
			return refusal("the queue is longer than the deadline", wait-left)
		}
	}
	if len(f.waiting) >= q.cfg.MaxWaitingPerOrganisation {
		return refusal("too many requests of the organisation wait", wait)
	}
	if w.request.Bytes > q.cfg.MaxBytes {
		return refusal("the request is too large to wait", wait)
	}
	if q.sched.waiting >= q.cfg.MaxWaiting && !q.evict(f, countOf, 1) {
		return refusal("too many requests wait", wait)
	}
	for q.sched.bytes+w.request.Bytes > q.cfg.MaxBytes {
		if !q.evict(f, bytesOf, w.request.Bytes) {
			return refusal("waiting requests hold too much memory", wait)
		}
	}
	return nil
}

func countOf(f *flow) int { return len(f.waiting) }

func bytesOf(f *flow) int { return f.bytes }

// evict refuses the newest request of the organisation that fills most of the
// waiting room for its weight. It reports false when the arriving organisation,
// with its request of that size counted, would fill as much or more: then the
// arriving request is the one to go.
func (q *Queue) evict(arriving *flow, measure func(*flow) int, size int) bool {
	worst := q.sched.largest(measure)
	if worst == nil || worst == arriving {
		return false
	}
	if float64(measure(arriving)+size)/arriving.weight >= float64(measure(worst))/worst.weight {
		return false
	}
	newest := q.sched.remove(worst, len(worst.waiting)-1)
	q.counters.evicted.Add(worst.organisation, 1)
	newest.result <- refusal("the organisation's part of the waiting room is full",
		q.sched.wait(worst, q.cfg.Capacity()))
	return true
}

// refusal is a NotRun error with a time to come back, at least firstService.
func refusal(message string, after time.Duration) error {
	return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "%s", message).
		WithRetryAfter(max(after, firstService))
}
