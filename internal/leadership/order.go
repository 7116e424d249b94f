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
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// MaxOrderDelay is the time within which an order for a promotion has taken effect or never will.
const MaxOrderDelay = earlierOrderDelay

// promote chooses the new primary, orders its promotion and waits until it is visible.
func (r *replacement) promote(ctx context.Context) (catalog.Endpoint, uint64, error) {
	if r.base.Ordered != "" && r.base.Phase == Replacing && !pause.For(ctx, earlierOrderDelay) {
		return catalog.Endpoint{}, 0, trace.Wrap(ctx.Err())
	}
	if r.commitsAreConfirmed() {
		// The set includes every server that has confirmed a commit before the revocation.
		if err := r.readReplicaSet(ctx); err != nil {
			return catalog.Endpoint{}, 0, trace.Wrap(err)
		}
	}
	o := order{r: r}
	deadline := r.c.cfg.Clock() + promotionTimeout + catchUpTimeout
	for r.c.cfg.Clock() < deadline && ctx.Err() == nil {
		// Once a promotion is ordered, the old primary can no longer be kept.
		found := r.survey(ctx, r.mayKeepOldPrimary() && r.record.Ordered == "")
		r.keepResponses(found)
		primary, done, err := o.step(ctx, found)
		if done || err != nil {
			return primary.endpoint, primary.status.Term, err
		}
		pause.For(ctx, promotionPollInterval)
	}
	return catalog.Endpoint{}, 0, trace.LimitExceeded("no new primary appeared before the deadline")
}

// order tracks the promotion that a replacement has ordered from the platform.
type order struct {
	r *replacement
	// target is the endpoint whose promotion was ordered at orderedAt; previousTerm is
	// the newest term before the order. target is zero while nothing is ordered.
	target       catalog.Endpoint
	orderedAt    time.Duration
	previousTerm uint64
}

// step evaluates one survey: it returns the primary if there is one to record, and
// otherwise orders a promotion where one is needed.
func (o *order) step(ctx context.Context, found survey) (response, bool, error) {
	r := o.r
	now := r.c.cfg.Clock()
	if o.target.ID != "" {
		if primary, ok := found.promotedPrimary(o.target.ID, o.previousTerm); ok {
			return primary, true, nil
		}
		if now-o.orderedAt < promotionRetryInterval || r.commitsAreConfirmed() && !r.holdsRequired(found, o.target.ID) {
			return response{}, false, nil
		}
		return response{}, false, o.issue(ctx, o.target)
	}
	if primary, ok := found.successor(r.oldPrimary, r.commitsAreConfirmed()); ok {
		return primary, true, nil
	}
	if primary, ok := r.recoveredOldPrimary(found); ok {
		return primary, true, nil
	}
	choice, ok := r.chooseTarget(found, now)
	if !ok {
		return response{}, false, nil
	}
	o.previousTerm = r.newestTerm(found)
	written, err := r.recordOrder(ctx, choice.ID)
	if err != nil {
		return response{}, false, trace.Wrap(err)
	}
	if written && r.commitsAreConfirmed() {
		// The store may have taken long. The next survey tells whether the server still has its log.
		return response{}, false, nil
	}
	return response{}, false, o.issue(ctx, choice)
}

// recordOrder records the order before it is issued, for an instance that may have to
// continue the replacement. It returns false if the order was recorded before.
func (r *replacement) recordOrder(ctx context.Context, target string) (written bool, err error) {
	if r.record.Ordered == target && !r.record.Required.Less(r.required) {
		return false, nil
	}
	current, rows, err := r.readRecords(ctx)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if current.services[r.service] != r.record {
		return false, trace.CompareFailed("another instance has taken over")
	}
	next := r.record
	next.Ordered, next.Required, next.Attempt = target, r.record.Required.Max(r.required), uuid.NewString()
	if err := r.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+r.service, next)}, next); err != nil {
		return false, trace.Wrap(err)
	}
	r.record = next
	return true, nil
}

// issue orders the promotion. After a refusal by the platform another target may be
// chosen.
func (o *order) issue(ctx context.Context, target catalog.Endpoint) error {
	o.target, o.orderedAt = target, o.r.c.cfg.Clock()
	err := o.r.order(ctx, target)
	if errors.Is(err, errPromotionRefused) {
		o.target = catalog.Endpoint{}
		delete(o.r.responses, incarnationOf(target))
		return nil
	}
	return err
}

var errPromotionRefused = errors.New("leadership: the platform refused the promotion")

// mayKeepOldPrimary reports whether the old primary may be kept: no earlier holder has
// ordered a promotion, and the old primary is neither draining nor unregistered. One whose
// failure domain was evacuated is kept only if that has ended.
func (r *replacement) mayKeepOldPrimary() bool {
	return r.cause == reasonUnresponsive || (r.cause == reasonAbandoned || r.cause == reasonEvacuated) && r.base.Ordered == ""
}

// recoveredOldPrimary returns the old primary if it responds again before a promotion
// was ordered, so that no commit that it has acknowledged is lost.
func (r *replacement) recoveredOldPrimary(found survey) (response, bool) {
	if !r.mayKeepOldPrimary() {
		return response{}, false
	}
	for _, resp := range found.responses {
		if resp.endpoint.ID == r.oldPrimary && resp.status.Primary && resp.endpoint.TakesNewWork() && resp.status.Term == found.newestTerm() {
			return resp, true
		}
	}
	return response{}, false
}

// order asks the platform for the promotion, unless another instance may have taken a
// later fence number. That instance waits until this one has revoked the primary or
// its copy of the rows has expired.
func (r *replacement) order(ctx context.Context, target catalog.Endpoint) error {
	event.PromotionOrdered.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.String("endpoint", target.ID),
		zap.Uint64("fence", r.record.Fence), zap.Duration("waited", r.c.cfg.Clock()-r.startedAt))
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if r.superseded.Load() || !r.c.cfg.PrimaryView.isLatestIntent(r.record, r.generation) {
		return trace.CompareFailed("another instance may have taken over")
	}
	err := r.c.cfg.Promoter.Promote(ctx, Promotion{
		Service: r.service, Endpoint: target.ID, Holder: r.c.cfg.Self, Fence: r.record.Fence,
	})
	if trace.IsCompareFailed(err) {
		return errPromotionRefused
	}
	if err != nil {
		// The order may still take effect; the next survey shows it.
		r.c.cfg.Log.Info("the platform did not confirm the promotion", zap.String("endpoint", target.ID), zap.Error(err))
	}
	return nil
}
