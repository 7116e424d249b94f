package group

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// readIndexRetryInterval separates the rounds of one ReadIndex call until one
// succeeds.
const readIndexRetryInterval = 50 * time.Millisecond

// ReadIndex returns a position at or past everything that was acknowledged for the
// service before the call began: the position of the primary, whose term a majority
// of the servers has meanwhile shown to be current. It retries until ctx ends; the
// error is a *verdict.Error with verdict NotRun.
func (c *Controller) ReadIndex(ctx context.Context, service string) (position.Position, error) {
	c.counters.readIndexes.Add(1)
	w := c.watcher(service)
	if w == nil {
		return position.Position{}, noPrimary(nil)
	}
	ctx, span := c.cfg.Tracer.Start(ctx, "group.read_index",
		oteltrace.WithAttributes(attribute.String("service", service)))
	defer span.End()
	w.recordTraffic(time.Now())
	for {
		p, proven, err := w.readIndex.join(ctx)
		if err != nil {
			return position.Position{}, noPrimary(err)
		}
		if proven {
			return p, nil
		}
		w.triggerSample()
		pause.For(ctx, readIndexRetryInterval)
	}
}

// readIndexer runs the read-index rounds of one group. Callers that arrive during a
// round share the next one, since a round proves nothing about what was acknowledged
// after it began.
type readIndexer struct {
	w *watcher

	mu      sync.Mutex
	running *readIndexRound // guarded by mu
	next    *readIndexRound // guarded by mu
}

// readIndexRound is one status request to all servers of the group.
type readIndexRound struct {
	done     chan struct{}
	position position.Position // set before done is closed
	proven   bool              // set before done is closed
}

// join waits for the outcome of the next round to begin.
func (x *readIndexer) join(ctx context.Context) (position.Position, bool, error) {
	r := x.nextRound()
	if r == nil {
		return position.Position{}, false, errStopped
	}
	select {
	case <-r.done:
		return r.position, r.proven, nil
	case <-ctx.Done():
		return position.Position{}, false, ctx.Err()
	case <-x.w.ctx.Done():
		return position.Position{}, false, errStopped
	}
}

// nextRound returns a round that has yet to begin, or nil when the controller is not
// running.
func (x *readIndexer) nextRound() *readIndexRound {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next != nil {
		return x.next
	}
	r := &readIndexRound{done: make(chan struct{})}
	if x.running != nil {
		x.next = r
		return r
	}
	if !x.w.c.spawn(func(context.Context) { x.run() }) {
		return nil
	}
	x.running = r
	return r
}

// run performs rounds while callers wait for them.
func (x *readIndexer) run() {
	for {
		x.mu.Lock()
		r := x.running
		x.mu.Unlock()
		r.position, r.proven = x.w.provePosition()
		close(r.done)
		x.mu.Lock()
		x.running, x.next = x.next, nil
		more := x.running != nil
		x.mu.Unlock()
		if !more {
			return
		}
	}
}

// provePosition requests the status of all servers and returns the primary's position
// as soon as the responses prove its term current.
func (w *watcher) provePosition() (position.Position, bool) {
	w.c.counters.readIndexRounds.Add(1)
	servers := w.groupServers()
	ctx, cancel := context.WithTimeout(w.ctx, w.c.cfg.StatusTimeout)
	defer cancel()
	responses := make(chan *platform.ServerStatus, len(servers))
	for _, server := range servers {
		if !w.c.spawn(func(context.Context) { responses <- w.statusOrNil(ctx, server) }) {
			return position.Position{}, false
		}
	}
	var statuses []platform.ServerStatus
	for range servers {
		status := <-responses
		if status == nil {
			continue
		}
		statuses = append(statuses, *status)
		if primary, current := election.CurrentPrimary(statuses, len(servers)); current {
			return primary.Durable, true
		}
	}
	return position.Position{}, false
}

func (w *watcher) statusOrNil(ctx context.Context, server election.Server) *platform.ServerStatus {
	status, err := w.status(ctx, server, w.c.cfg.StatusTimeout)
	if err != nil {
		return nil
	}
	return &status
}
