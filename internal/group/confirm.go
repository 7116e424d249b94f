package group

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.uber.org/zap"

	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/group/confirm"
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Confirm waits until a majority of the service's servers holds p in p.Term. The
// primary that wrote p counts as holding it. The error is a *verdict.Error with
// verdict MayHaveRun; it is returned at once when the term was superseded, and
// otherwise when ctx ends.
func (c *Controller) Confirm(ctx context.Context, service string, p position.Position) error {
	c.counters.confirms.Add(1)
	w := c.watcher(service)
	if w == nil {
		return unconfirmed("the service has no database group here")
	}
	ctx, span := c.cfg.Tracer.Start(ctx, "group.confirm", oteltrace.WithAttributes(
		attribute.String("service", service), attribute.Stringer("position", p)))
	defer span.End()
	return w.confirm.await(ctx, p)
}

func unconfirmed(reason string) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown,
		"the commit is not known to be held by a majority: %s", reason)
}

// confirmer batches the confirmations of one group: each server has at most one
// outstanding call, for the highest position that is waited for.
type confirmer struct {
	w *watcher

	mu      sync.Mutex
	servers []election.Server          // guarded by mu; the servers in ledger
	ledger  *confirm.Ledger            // guarded by mu
	waiting map[*confirmation]struct{} // guarded by mu
	busy    map[string]bool            // guarded by mu; by endpoint id: servers with an outstanding call
}

// confirmation is one caller's wait for a position.
type confirmation struct {
	position position.Position
	writer   string
	done     chan confirm.Outcome // buffered for one outcome
}

func newConfirmer(w *watcher) *confirmer {
	return &confirmer{
		w: w, ledger: confirm.NewLedger(),
		waiting: make(map[*confirmation]struct{}), busy: make(map[string]bool),
	}
}

func (f *confirmer) await(ctx context.Context, p position.Position) error {
	c := &confirmation{position: p, writer: f.w.primaryOf(p.Term), done: make(chan confirm.Outcome, 1)}
	if !f.add(c) {
		return unconfirmed("this instance is stopping")
	}
	select {
	case outcome := <-c.done:
		return f.result(outcome, p)
	case <-ctx.Done():
		f.remove(c)
		return unconfirmed("the time was up").WithCause(ctx.Err())
	case <-f.w.ctx.Done():
		f.remove(c)
		return unconfirmed("this instance is stopping")
	}
}

func (f *confirmer) result(outcome confirm.Outcome, p position.Position) error {
	if outcome == confirm.Confirmed {
		return nil
	}
	f.w.c.counters.confirmsSuperseded.Add(1)
	event.GroupSuperseded.Emit(f.w.log, zap.Stringer("position", p))
	return unconfirmed("its primary was replaced")
}

// add registers a wait and starts the calls that it needs. It reports false when the
// controller is not running.
func (f *confirmer) add(c *confirmation) bool {
	servers := f.w.groupServers()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(servers, f.servers) {
		f.servers = servers
		f.ledger.SetServers(endpointIDs(servers))
	}
	if outcome := f.ledger.Outcome(c.position, c.writer); outcome != confirm.Pending {
		c.done <- outcome
		return true
	}
	f.waiting[c] = struct{}{}
	for _, server := range servers {
		if f.busy[server.Endpoint] {
			continue
		}
		if _, needed := f.targetLocked(server.Endpoint); !needed {
			continue
		}
		if !f.w.c.spawn(func(ctx context.Context) { f.requestConfirmations(ctx, server) }) {
			delete(f.waiting, c)
			return false
		}
		f.busy[server.Endpoint] = true
	}
	return true
}

func endpointIDs(servers []election.Server) []string {
	ids := make([]string, 0, len(servers))
	for _, server := range servers {
		ids = append(ids, server.Endpoint)
	}
	return ids
}

func (f *confirmer) remove(c *confirmation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiting, c)
}

// completeDecidedLocked ends the waits whose outcome is known.
func (f *confirmer) completeDecidedLocked() {
	for c := range f.waiting {
		if outcome := f.ledger.Outcome(c.position, c.writer); outcome != confirm.Pending {
			c.done <- outcome
			delete(f.waiting, c)
		}
	}
}

// targetLocked returns the highest position whose confirmation by the server is still
// needed.
func (f *confirmer) targetLocked(endpoint string) (position.Position, bool) {
	var highest position.Position
	needed := false
	for c := range f.waiting {
		if c.writer == endpoint || !f.ledger.Undecided(endpoint, c.position) {
			continue
		}
		highest, needed = highest.Max(c.position), true
	}
	return highest, needed
}

// requestConfirmations calls one server repeatedly while waits need its response.
func (f *confirmer) requestConfirmations(ctx context.Context, server election.Server) {
	agent := f.w.c.cfg.Groups.GroupServer(server.ControlAddress)
	for ctx.Err() == nil {
		f.mu.Lock()
		target, needed := f.targetLocked(server.Endpoint)
		f.busy[server.Endpoint] = needed
		f.mu.Unlock()
		if !needed {
			return
		}
		if !f.requestConfirmation(ctx, agent, server.Endpoint, target) {
			pause.For(ctx, callRetryInterval)
		}
	}
}

// requestConfirmation reports whether the call decided whether the server holds
// target.
func (f *confirmer) requestConfirmation(ctx context.Context, agent confirmAgent, endpoint string, target position.Position) bool {
	timeout := f.w.c.cfg.CallTimeout
	ctx, cancel := context.WithTimeout(ctx, timeout+confirmMargin)
	defer cancel()
	f.w.c.counters.confirmCalls.Add(1)
	confirmed, promised, err := agent.Confirm(ctx, target, timeout)
	if err != nil {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if confirmed {
		f.ledger.RecordHeld(endpoint, target)
	}
	f.ledger.RecordPromise(endpoint, promised)
	f.completeDecidedLocked()
	return !f.ledger.Undecided(endpoint, target)
}

// confirmMargin is the time allowed for a server's response after the server's own
// wait has ended.
const confirmMargin = 200 * time.Millisecond

// confirmAgent is the part of platform.GroupServer that confirmations need.
type confirmAgent interface {
	Confirm(ctx context.Context, p position.Position, timeout time.Duration) (bool, uint64, error)
}
