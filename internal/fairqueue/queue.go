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

// Default bounds of the waiting requests.
const (
	defaultMaxWaiting = 1024
	defaultMaxBytes   = 64 << 20
)

// Config sets up a Queue.
type Config struct {
	// Capacity returns how many requests may be granted at once, 0 or more. It
	// is called under the queue's lock and must not use the queue. Required.
	Capacity func() int
	// MaxWaiting bounds the number of waiting requests; 0 means 1,024.
	MaxWaiting int
	// MaxWaitingPerOrganisation bounds the waiting requests of one organisation; 0
	// means half of MaxWaiting.
	MaxWaitingPerOrganisation int
	// MaxBytes bounds the memory held by waiting requests; 0 means 64 MiB.
	MaxBytes int
	// Metrics receives the counters; nil discards them.
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

// Request describes a request for a slot.
type Request struct {
	// Organisation is empty on routes open to all.
	Organisation string
	// Weight is the organisation's relative share of the capacity; 0 means 1.
	Weight uint32
	// Bytes is the memory that the request holds while it waits.
	Bytes int
}

// Stats is a snapshot of a queue.
type Stats struct {
	Running int
	Waiting int
	Bytes   int
	// MeanServiceTime is the mean time for which a request holds its slot.
	MeanServiceTime time.Duration
}

// Queue shares one capacity among organisations. It is safe for concurrent use.
type Queue struct {
	cfg      Config
	counters counters

	mu    sync.Mutex
	sched *scheduler // guarded by mu
}

// New returns a queue. It panics if CheckAndSetDefaults rejects the configuration.
func New(cfg Config) *Queue {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		panic(err.Error())
	}
	return &Queue{cfg: cfg, counters: newCounters(cfg.Metrics), sched: newScheduler()}
}

// Acquire waits until the request is granted a slot and returns a function that
// releases it; calling that again does nothing. A request that cannot be granted
// before the deadline of ctx is refused at once. Refusals are *verdict.Error with
// NotRun: 53300 with RetryAfter when the queue is full or the deadline cannot be
// met, 57014 when ctx was cancelled.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(), err error) {
	if ctx.Err() != nil {
		return nil, q.contextError(ctx, r)
	}
	grant, w, err := q.grantOrEnqueue(ctx, r)
	if err != nil {
		q.counters.refused.Add(r.Organisation, 1)
		return nil, err
	}
	if grant != nil {
		return grant.release, nil
	}
	select {
	case err := <-w.result:
		return q.waitResult(r, w, err)
	case <-ctx.Done():
		return q.abandon(ctx, r, w)
	}
}

// waitResult converts the outcome of a wait to the results of Acquire.
func (q *Queue) waitResult(r Request, w *waiter, err error) (func(), error) {
	if err != nil {
		q.counters.refused.Add(r.Organisation, 1)
		return nil, err
	}
	return w.grant.release, nil
}

// abandon removes a waiting request whose context has ended. A request that has
// been granted or refused in the meantime keeps that outcome.
func (q *Queue) abandon(ctx context.Context, r Request, w *waiter) (func(), error) {
	q.mu.Lock()
	f := q.sched.flows[r.Organisation]
	if f != nil {
		if i := q.sched.find(f, w); i >= 0 {
			q.sched.remove(f, i)
			q.mu.Unlock()
			return nil, q.contextError(ctx, r)
		}
	}
	q.mu.Unlock()
	return q.waitResult(r, w, <-w.result)
}

// contextError returns the refusal of a request whose context has ended.
func (q *Queue) contextError(ctx context.Context, r Request) error {
	q.counters.expired.Add(r.Organisation, 1)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return verdict.New(verdict.NotRun, verdict.CodeTooManyConnections,
			"no place became free before the deadline").WithRetryAfter(max(q.Stats().MeanServiceTime, initialServiceTime))
	}
	return verdict.New(verdict.NotRun, verdict.CodeQueryCanceled, "cancelled while waiting for a place")
}

// grantOrEnqueue grants the request at once, adds it to the queue, or refuses it.
func (q *Queue) grantOrEnqueue(ctx context.Context, r Request) (*grant, *waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.sched.flowOf(r.Organisation, r.Weight)
	capacity := q.cfg.Capacity()
	if q.sched.waiting == 0 && q.sched.running < capacity {
		return q.grant(f), nil, nil
	}
	w := newWaiter(ctx, r)
	if refusal := q.makeRoom(f, w, capacity); refusal != nil {
		return nil, nil, refusal
	}
	q.sched.push(f, w)
	q.dispatch()
	return nil, w, nil
}

// NotifyCapacity grants waiting requests as far as the capacity allows. Call it after
// the capacity has grown.
func (q *Queue) NotifyCapacity() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch()
}

// dispatch grants waiting requests while there is capacity, and refuses those at
// the head whose context has ended. The caller holds mu.
func (q *Queue) dispatch() {
	capacity := q.cfg.Capacity()
	for {
		f, w := q.sched.peek()
		if w == nil {
			return
		}
		if w.cancelled() {
			q.sched.remove(f, 0)
			w.result <- w.expiredError()
			continue
		}
		if q.sched.running >= capacity {
			return
		}
		w.grant = q.grant(f)
		q.sched.remove(f, 0)
		w.result <- nil
	}
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return Stats{
		Running: q.sched.running, Waiting: q.sched.waiting, Bytes: q.sched.bytes,
		MeanServiceTime: time.Duration(q.sched.serviceTime.value * float64(time.Second)),
	}
}
