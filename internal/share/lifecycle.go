package share

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	// renewals is how often a session is renewed within its lease.
	renewals = 3
	// failureBackoffLast bounds the pause after a failed call of the table.
	failureBackoffLast = 5 * time.Second
	// sweepEvery is how often the worker looks for due parts without a kick.
	sweepEvery = 250 * time.Millisecond
	// releaseTimeout bounds the handing back at the end.
	releaseTimeout = 2 * time.Second
)

// lessor is the loop that keeps the session and works for the parts.
type lessor struct {
	*worker
	renewAt  time.Duration
	serveAt  time.Duration
	failures int
	begun    bool
}

// lease keeps the session and leases parts until ctx ends.
func (c *Controller) lease(ctx context.Context) error {
	l := &lessor{worker: &worker{
		Controller: c, ended: make(map[string]bool), checked: make(map[string]time.Duration),
	}}
	for ctx.Err() == nil {
		l.step(ctx)
		timer := time.NewTimer(sweepEvery)
		select {
		case <-c.kicked:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	l.release(last)
	return nil
}

// step renews the session when it is due and serves the parts that are.
func (l *lessor) step(ctx context.Context) {
	now := l.cfg.Clock()
	if l.session.lost(now) || l.voided.Swap(false) {
		l.void(ctx)
	}
	if now >= l.renewAt {
		l.renew(ctx)
	}
	if l.session.left(l.cfg.Clock()) == 0 || l.cfg.Clock() < l.serveAt {
		return
	}
	parts := l.dueParts()
	if len(parts) == 0 {
		return
	}
	if err := l.serve(ctx, parts); err != nil {
		l.failed(ctx, err)
		return
	}
	l.answered()
}

// void gives up everything that hung on the session, and its row, which nobody
// needs to wait for any more.
func (l *lessor) void(ctx context.Context) {
	event.ShareSessionLost.Emit(l.cfg.Log, holderField(l.session.holder()))
	for _, p := range l.allParts() {
		p.reset()
	}
	key, revision := l.session.reset()
	l.begun, l.renewAt = false, 0
	_, _ = l.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Delete: true}})
}

func (l *lessor) renew(ctx context.Context) {
	if l.session.serving != nil && !l.session.serving().Valid(l.cfg.Clock()) {
		return
	}
	outcome, err := l.session.renew(ctx, l.cfg.SessionLease)
	switch {
	case err != nil:
		l.failed(ctx, err)
		l.renewAt = l.serveAt
	case outcome == gone:
		l.voided.Store(true)
		l.kick()
	case outcome == repeat:
		l.renewAt = 0
		l.kick()
	default:
		l.answered()
		every := float64(l.cfg.SessionLease) / renewals
		l.renewAt = l.cfg.Clock() + time.Duration(every*(0.75+l.cfg.Random()/2))
		if !l.begun {
			l.begun = true
			event.ShareSessionBegun.Emit(l.cfg.Log, holderField(l.session.holder()))
		}
	}
}

// failed backs off from the table.
func (l *lessor) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if l.failures == 0 {
		event.ShareTableFailing.Emit(l.cfg.Log, errorField(err),
			zap.Duration("lease_left", l.session.left(l.cfg.Clock())))
	}
	l.failures++
	l.tableAnswers.Store(false)
	l.serveAt = l.cfg.Clock() + backoff(l.failures+2, failureBackoffLast, l.cfg.Random())
}

func (l *lessor) answered() {
	if l.failures > 0 {
		event.ShareTableBack.Emit(l.cfg.Log)
	}
	l.failures, l.serveAt = 0, 0
	l.tableAnswers.Store(true)
}

// release hands back what is free at the end of the instance's life. What other
// instances still hold returns when their leases have lapsed, for which the
// session stays that long.
func (l *lessor) release(ctx context.Context) {
	if l.session.left(l.cfg.Clock()) == 0 {
		return
	}
	l.handBackHoldings(ctx)
	parts := l.allParts()
	held := false
	for _, p := range parts {
		held = p.wind(l.cfg.Clock()) || held
	}
	parts = slices.DeleteFunc(parts, func(p *part) bool { return p.idle() })
	if l.serve(ctx, parts) != nil {
		return
	}
	if held {
		_, _ = l.session.renew(ctx, l.cfg.HoldingLease)
		return
	}
	key, revision := l.session.reset()
	_, _ = l.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}}, []platform.Write{{Key: key, Delete: true}})
}

// handBackHoldings returns what this instance uses to the allocators.
func (l *lessor) handBackHoldings(ctx context.Context) {
	for _, a := range l.activeAccounts() {
		for _, allocator := range a.others("") {
			_ = l.ask(ctx, a, allocator, 0)
		}
		a.clear()
	}
}

// wind has the part hand back to the table whatever is or becomes free. It
// reports whether instances still hold some of it.
func (p *part) wind(now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tidy(now)
	p.winding = true
	return p.ledger.Free.Units < p.ledger.Units
}

// unwind undoes wind: the limit is in use again.
func (p *part) unwind() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.winding = false
}

// idle tells whether the table has nothing of the part on record.
func (p *part) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recorded == 0 && len(p.pending) == 0
}

// dueParts lists the parts for which the table has to be asked.
func (l *lessor) dueParts() []*part {
	now := l.cfg.Clock()
	return slices.DeleteFunc(l.allParts(), func(p *part) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tidy(now)
		return !p.due(now)
	})
}

func (c *Controller) allParts() []*part {
	c.mu.RLock()
	defer c.mu.RUnlock()
	all := make([]*part, 0, len(c.parts))
	for _, p := range c.parts {
		all = append(all, p)
	}
	return all
}

func holderField(holder string) zap.Field { return zap.String("holder", holder) }

func resourceField(resource string) zap.Field { return zap.String("resource", resource) }

func errorField(err error) zap.Field { return zap.String("error", err.Error()) }
