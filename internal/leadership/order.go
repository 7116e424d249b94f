package leadership

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// promote finds the new primary, orders it and waits until it shows.
func (h *handover) promote(ctx context.Context) (catalog.Endpoint, uint64, error) {
	if h.from.Ordered != "" && h.from.Phase == Replacing && !sleep(ctx, lateOrder) {
		return catalog.Endpoint{}, 0, trace.Wrap(ctx.Err())
	}
	o := order{h: h}
	deadline := h.c.cfg.Clock() + promoteLimit + catchUpLimit
	for h.c.cfg.Clock() < deadline && ctx.Err() == nil {
		leader, done, err := o.step(ctx, h.survey(ctx))
		if done || err != nil {
			return leader.endpoint, leader.status.Term, err
		}
		sleep(ctx, promotePoll)
	}
	return catalog.Endpoint{}, 0, trace.LimitExceeded("no new primary showed in time")
}

// order is what was asked of the platform.
type order struct {
	h *handover
	// target is the endpoint ordered, at the instant at; above is the newest term
	// before.
	target catalog.Endpoint
	at     time.Duration
	above  uint64
}

// step looks at one survey: it returns the new primary, or orders one.
func (o *order) step(ctx context.Context, found survey) (answer, bool, error) {
	h := o.h
	now := h.c.cfg.Clock()
	if o.target.ID != "" {
		if leader, ok := found.leads(o.target.ID, o.above); ok {
			return leader, true, nil
		}
		if now-o.at < promoteAgain {
			return answer{}, false, nil
		}
		return answer{}, false, o.give(ctx, o.target)
	}
	if leader, ok := found.successor(h.old); ok {
		return leader, true, nil
	}
	if leader, ok := h.returned(found); ok {
		return leader, true, nil
	}
	choice, ok := found.choose(h.old, h.why.planned() && now < h.written+catchUpLimit)
	if !ok {
		return answer{}, false, nil
	}
	o.above = found.newestTerm()
	if err := h.announce(ctx, choice.ID); err != nil {
		return answer{}, false, trace.Wrap(err)
	}
	return answer{}, false, o.give(ctx, choice)
}

// announce records what is about to be ordered, for an instance that may have to
// carry on.
func (h *handover) announce(ctx context.Context, target string) error {
	if h.record.Ordered == target {
		return nil
	}
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.record {
		return trace.CompareFailed("another instance has taken over")
	}
	next := h.record
	next.Ordered, next.Attempt = target, uuid.NewString()
	if err := h.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+h.service, next)}, next); err != nil {
		return trace.Wrap(err)
	}
	h.record = next
	return nil
}

// give orders the promotion. One that the platform refused leaves the choice open.
func (o *order) give(ctx context.Context, target catalog.Endpoint) error {
	o.target, o.at = target, o.h.c.cfg.Clock()
	err := o.h.order(ctx, target)
	if errors.Is(err, errRefused) {
		o.target = catalog.Endpoint{}
		return nil
	}
	return err
}

var errRefused = errors.New("leadership: the platform refused the promotion")

// mayReturn tells whether the old primary may stay: nothing was ordered, here or by
// an earlier holder, and it is not leaving.
func (h *handover) mayReturn() bool {
	return h.why == reasonSilent || h.why == reasonAbandoned && h.from.Ordered == ""
}

// returned finds the old primary answering again before anything was ordered, so
// that nothing that it has acknowledged need be lost.
func (h *handover) returned(found survey) (answer, bool) {
	if !h.mayReturn() {
		return answer{}, false
	}
	for _, a := range found.answers {
		if a.endpoint.ID == h.old && a.status.Primary && !a.endpoint.Draining && a.status.Term == found.newestTerm() {
			return a, true
		}
	}
	return answer{}, false
}

// order asks the platform for the promotion, unless another instance may have
// taken a later fence number: that one waits until this one has stopped, or its
// copy of the rows has lapsed.
func (h *handover) order(ctx context.Context, target catalog.Endpoint) error {
	event.HandoverPromoted.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("endpoint", target.ID),
		zap.Uint64("fence", h.record.Fence), zap.Duration("waited", h.c.cfg.Clock()-h.began))
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if h.superseded.Load() || !h.c.cfg.PrimaryView.unrivalled(h.record) {
		return trace.CompareFailed("another instance may have taken over")
	}
	err := h.c.cfg.Promoter.Promote(ctx, Promotion{
		Service: h.service, Endpoint: target.ID, Holder: h.c.cfg.Self, Fence: h.record.Fence,
	})
	if trace.IsCompareFailed(err) {
		return errRefused
	}
	if err != nil {
		// The order may still take effect: the survey shows.
		h.c.cfg.Log.Info("the platform did not confirm the promotion", zap.String("endpoint", target.ID), zap.Error(err))
	}
	return nil
}
