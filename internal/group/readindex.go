package group

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// readIndexRetryPause separates the rounds of one ReadIndex that prove nothing.
const readIndexRetryPause = 50 * time.Millisecond

// ReadIndex returns a position at or past everything that was acknowledged for
// the service before the call began: the primary's position, with its term proven
// current at a majority of the servers meanwhile. It tries until ctx ends; the
// error is a *verdict.Error NotRun.
func (c *Controller) ReadIndex(ctx context.Context, service string) (position.Position, error) {
	c.meters.readIndexes.Add(1)
	w := c.watcher(service)
	if w == nil {
		return position.Position{}, noPrimary(nil)
	}
	ctx, span := c.cfg.Tracer.Start(ctx, "group.read_index",
		oteltrace.WithAttributes(attribute.String("service", service)))
	defer span.End()
	w.touch(time.Now())
	for {
		p, proven, err := w.index.join(ctx)
		if err != nil {
			return position.Position{}, noPrimary(err)
		}
		if proven {
			return p, nil
		}
		w.nudge()
		sleep(ctx, readIndexRetryPause)
	}
}

// indexer runs the rounds of one group's read indexes. Callers that arrive during
// a round share the next one, since a round proves nothing about what was
// acknowledged after it began.
type indexer struct {
	w *watcher

	mu      sync.Mutex
	running *round // guarded by mu
	next    *round // guarded by mu
}

// round is one question to all servers of the group.
type round struct {
	done     chan struct{}
	position position.Position // set before done is closed
	proven   bool              // set before done is closed
}

// join takes part in the next round that begins.
func (x *indexer) join(ctx context.Context) (position.Position, bool, error) {
	r := x.enter()
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

func (x *indexer) enter() *round {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.next != nil {
		return x.next
	}
	r := &round{done: make(chan struct{})}
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

// run carries out rounds while there are callers for them.
func (x *indexer) run() {
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

// provePosition asks all servers and returns as soon as the answers prove a
// primary's term current.
func (w *watcher) provePosition() (position.Position, bool) {
	w.c.meters.readIndexRounds.Add(1)
	servers := w.members()
	ctx, cancel := context.WithTimeout(w.ctx, w.c.cfg.StatusTimeout)
	defer cancel()
	answers := make(chan *platform.ServerStatus, len(servers))
	for _, server := range servers {
		if !w.c.spawn(func(context.Context) { answers <- w.statusOrNil(ctx, server) }) {
			return position.Position{}, false
		}
	}
	var statuses []platform.ServerStatus
	for range servers {
		status := <-answers
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
