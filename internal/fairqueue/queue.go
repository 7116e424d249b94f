package fairqueue

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Defaults of the waiting room.
const (
	defaultMaxWaiting = 1024
	defaultMaxBytes   = 64 << 20
)

// Config sets up a Queue.
type Config struct {
	// Capacity returns how many requests may be granted at once, 0 or more. It
	// is called under the queue's lock and must not use the queue. Required.
	Capacity func() int
	// MaxWaiting bounds the waiting requests; 0 means 1,024.
	MaxWaiting int
	// MaxWaitingPerOrganisation bounds those of one organisation; 0 means half
	// of MaxWaiting.
	MaxWaitingPerOrganisation int
	// MaxBytes bounds the memory held by waiting requests; 0 means 64 MiB.
	MaxBytes int
	// Metrics gets the counters; nil means none are kept.
	Metrics *metrics.Set
}

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.Capacity == nil {
		return trace.BadParameter("fairqueue: Capacity is missing")
	}
	if c.MaxWaiting < 0 || c.MaxWaitingPerOrganisation < 0 || c.MaxBytes < 0 {
		return trace.BadParameter("fairqueue: bounds must not be negative")
	}
	if c.MaxWaiting == 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.MaxWaitingPerOrganisation == 0 {
		c.MaxWaitingPerOrganisation = max(1, c.MaxWaiting/2)
	}
	if c.MaxBytes == 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return nil
}

// Request is what a caller of Acquire brings.
type Request struct {
	// Organisation is empty on routes open to all.
	Organisation string
	// Weight is the organisation's part of the capacity; 0 means 1.
	Weight uint32
	// Bytes is the memory that the request holds while it waits.
	Bytes int
}

// Stats describes a queue at one instant.
type Stats struct {
	Running int
	Waiting int
	Bytes   int
	// MeanServiceTime is the mean time that a request holds its place.
	MeanServiceTime time.Duration
}

// Queue shares one capacity. Its methods may be called from any goroutine.
type Queue struct {
	cfg      Config
	counters counters

	mu    sync.Mutex
	sched *scheduler // guarded by mu
}

// New returns a queue. It panics on a configuration that CheckAndSetDefaults
// refuses.
func New(cfg Config) *Queue {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		panic(err.Error())
	}
	return &Queue{cfg: cfg, counters: newCounters(cfg.Metrics), sched: newScheduler()}
}

// Acquire waits until the request's turn comes and returns a function that gives
// the place back; calling it again does nothing. A request that cannot be
// granted before the deadline of ctx is refused at once. Refusals are
// *verdict.Error with NotRun: 53300 with RetryAfter when there is no room, 57014
// when ctx was cancelled.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, q.ended(ctx, r)
	}
	place, w, err := q.enter(ctx, r)
	if err != nil {
		q.counters.refused.Add(r.Organisation, 1)
		return nil, err
	}
	if place != nil {
		return place.release, nil
	}
	select {
	case err := <-w.result:
		return q.settle(r, w, err)
	case <-ctx.Done():
		return q.abandon(ctx, r, w)
	}
}

// settle turns the outcome of a wait into the results of Acquire.
func (q *Queue) settle(r Request, w *waiter, err error) (func(), error) {
	if err != nil {
		q.counters.refused.Add(r.Organisation, 1)
		return nil, err
	}
	return w.place.release, nil
}

// abandon takes a request off whose caller gave up. One that was granted or
// refused meanwhile keeps that outcome.
func (q *Queue) abandon(ctx context.Context, r Request, w *waiter) (func(), error) {
	q.mu.Lock()
	f := q.sched.flows[r.Organisation]
	if f != nil {
		if i := q.sched.find(f, w); i >= 0 {
			q.sched.remove(f, i)
			q.mu.Unlock()
			return nil, q.ended(ctx, r)
		}
	}
	q.mu.Unlock()
	return q.settle(r, w, <-w.result)
}

// ended is the refusal of a request whose context has ended.
func (q *Queue) ended(ctx context.Context, r Request) error {
	q.counters.expired.Add(r.Organisation, 1)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections,
			"no place became free before the deadline").WithRetryAfter(max(q.Stats().MeanServiceTime, firstService))
	}
	return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "cancelled while waiting for a place")
}

// enter grants the request at once, or puts it in the waiting room, or refuses.
func (q *Queue) enter(ctx context.Context, r Request) (*place, *waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.sched.flowOf(r.Organisation, r.Weight)
	capacity := q.cfg.Capacity()
	if q.sched.waiting == 0 && q.sched.running < capacity {
		return q.place(f), nil, nil
	}
	w := newWaiter(ctx, r)
	if refusal := q.admit(f, w, capacity); refusal != nil {
		return nil, nil, refusal
	}
	q.sched.push(f, w)
	q.dispatch()
	return nil, w, nil
}

// NotifyCapacity grants waiting requests after the capacity has grown.
func (q *Queue) NotifyCapacity() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// dispatch grants requests while there is capacity. The caller holds mu.
func (q *Queue) dispatch() {
	capacity := q.cfg.Capacity()
	for {
		f, w := q.sched.next()
		if w == nil {
			return
		}
		if w.cancelled() {
			q.sched.remove(f, 0)
			w.result <- w.expiry()
			continue
		}
		if q.sched.running >= capacity {
			return
		}
		w.place = q.place(f)
		q.sched.remove(f, 0)
		w.result <- nil
	}
}

// Stats returns the state of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Running: q.sched.running, Waiting: q.sched.waiting, Bytes: q.sched.bytes,
		MeanServiceTime: time.Duration(q.sched.service.value * float64(time.Second)),
	}
}
