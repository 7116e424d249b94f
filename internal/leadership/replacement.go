package leadership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Times of one replacement.
const (
	// leaseExpiryMargin is added to the lifetime of the copies of instances that do not
	// answer: stopGrace, and the lateness of their timers.
	leaseExpiryMargin = 400 * time.Millisecond
	// retryInterval spaces questions to an instance that has not stopped yet.
	retryInterval = 150 * time.Millisecond
	// expiryPollInterval is how often it is looked whether the others have lapsed.
	expiryPollInterval = 50 * time.Millisecond
	// oldPrimaryPollInterval spaces looks for an old primary that may come back.
	oldPrimaryPollInterval = 300 * time.Millisecond
	// statusTimeout bounds a question to a server.
	statusTimeout = 300 * time.Millisecond
	// statusGracePeriod is how much later than the first server the others may answer: a
	// busy server's slots free up within it.
	statusGracePeriod = 120 * time.Millisecond
	// catchUpTimeout is how long a planned replacement waits for a replica to
	// receive all that the old primary has.
	catchUpTimeout = 2 * time.Second
	// promotionTimeout is how long the platform's promotion may take to show: 1 s at
	// most on the known deployments.
	promotionTimeout = 4 * time.Second
	// earlierOrderDelay is how long an order of an earlier holder may take to show: its
	// call and the promotion itself.
	earlierOrderDelay = 2500 * time.Millisecond
	// promotionPollInterval spaces the questions whether it shows.
	promotionPollInterval = 50 * time.Millisecond
	// promotionRetryInterval is after how long without effect the order is repeated.
	promotionRetryInterval = 1500 * time.Millisecond
	// orderTimeout bounds the call to the platform.
	orderTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// maxCommitAttempts bounds the repetitions of a commit whose answer was lost.
	maxCommitAttempts = 6
	// maxStepDownAttempts is how often the old primary is told to step down.
	maxStepDownAttempts = 4
)

// replacement is one replacement.
type replacement struct {
	c         *Controller
	service   string
	cause     reason
	startedAt time.Duration
	// base is the record on which the decision rests, zero if there is none.
	base Record
	// epoch is that of the committed intent, 0 before.
	epoch atomic.Uint64
	// superseded is true once this instance has stopped for a later epoch.
	superseded atomic.Bool

	record Record // as committed
	// committedAt is an instant after which every reader of the store sees the intent.
	committedAt time.Duration
	oldPrimary  string
	members     []Member
}

// run goes through all steps.
func (r *replacement) run(ctx context.Context) error {
	if err := r.commitIntent(ctx); err != nil {
		return trace.Wrap(err, "writing the intent")
	}
	event.HandoverBegun.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.String("from", r.oldPrimary),
		zap.Uint64("epoch", r.record.Epoch), zap.Uint64("fence", r.record.Fence), zap.String("reason", string(r.cause)))
	recovered, err := r.revokeAll(ctx)
	if err != nil {
		return trace.Wrap(err, "stopping the use of the primary")
	}
	if recovered != nil {
		return trace.Wrap(r.settle(ctx, recovered.endpoint, recovered.status.Term), "writing that the primary stays")
	}
	target, term, err := r.promote(ctx)
	if err != nil {
		return trace.Wrap(err, "promoting")
	}
	return trace.Wrap(r.settle(ctx, target, term), "writing the outcome")
}

// settle records the new primary and tells everybody.
func (r *replacement) settle(ctx context.Context, target catalog.Endpoint, term uint64) error {
	current, rows, err := r.readRecords(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[r.service] != r.record {
		return trace.CompareFailed("another instance has taken over")
	}
	next := r.record
	next.Endpoint, next.Term, next.Phase, next.Ordered, next.Attempt = target.ID, term, Settled, "", uuid.NewString()
	if err := r.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+r.service, next)}, next); err != nil {
		return trace.Wrap(err)
	}
	event.HandoverDone.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.String("endpoint", target.ID),
		zap.Uint64("term", term), zap.Uint64("epoch", next.Epoch), zap.Duration("took", r.c.cfg.Clock()-r.startedAt))
	r.notifyAll(ctx)
	r.stepDownOldPrimary(ctx, target, term)
	return nil
}

// notifyAll makes every instance read the outcome now.
func (r *replacement) notifyAll(ctx context.Context) {
	if err := r.c.cfg.Refresh(ctx); err != nil {
		r.c.cfg.Log.Info("the outcome is read again later", zap.Error(err))
	}
	for range r.c.requestAll(ctx, r.members, func(ctx context.Context, m Member) (bool, error) {
		return true, r.c.cfg.Peers.NotifySettled(ctx, m)
	}) {
		continue
	}
}

// stepDownOldPrimary makes the old primary a replica where it can be reached.
func (r *replacement) stepDownOldPrimary(ctx context.Context, target catalog.Endpoint, term uint64) {
	e, ok := r.c.cfg.Registry().Endpoints[r.oldPrimary]
	if !ok || r.oldPrimary == target.ID {
		return
	}
	for range maxStepDownAttempts {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		err := r.c.cfg.Servers.StepDown(callCtx, e, term)
		cancel()
		if err == nil || !sleep(ctx, retryInterval) {
			return
		}
	}
}

// sleep waits for d. It reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
