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
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Timing of one replacement.
const (
	// leaseExpiryMargin is added to the lifetime of the records of instances that do
	// not respond: it covers drainTimeout and late timers.
	leaseExpiryMargin = 400 * time.Millisecond
	// retryInterval is the wait before a failed revocation, commit or step-down is
	// repeated.
	retryInterval = 150 * time.Millisecond
	// expiryPollInterval is the time between checks whether the records of the
	// remaining members have expired.
	expiryPollInterval = 50 * time.Millisecond
	// oldPrimaryPollInterval is the time between checks whether the old primary
	// responds again.
	oldPrimaryPollInterval = 300 * time.Millisecond
	// statusTimeout bounds a request to a server.
	statusTimeout = 300 * time.Millisecond
	// statusGracePeriod is how long after the first response the other servers may
	// respond: a busy server's slots free up within it.
	statusGracePeriod = 120 * time.Millisecond
	// queuedStatusTimeout bounds a request to a server whose answer a replacement cannot do
	// without: it waits in a full queue like any statement.
	queuedStatusTimeout = time.Second
	// catchUpTimeout is how long a planned replacement waits for a replica to receive
	// the old primary's whole log.
	catchUpTimeout = 2 * time.Second
	// promotionTimeout is how long the platform's promotion may take to become visible:
	// at most 1 s on the known deployments.
	promotionTimeout = 4 * time.Second
	// earlierOrderDelay is the wait before a new order when an earlier holder may have
	// issued one: for its call and the promotion itself.
	earlierOrderDelay = 2500 * time.Millisecond
	// promotionPollInterval is the time between checks whether the promotion is visible.
	promotionPollInterval = 50 * time.Millisecond
	// promotionRetryInterval is the time after which an order without effect is
	// repeated.
	promotionRetryInterval = 1500 * time.Millisecond
	// orderTimeout bounds the call to the platform.
	orderTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// maxCommitAttempts limits the attempts at a commit whose response was lost.
	maxCommitAttempts = 6
	// maxStepDownAttempts limits the requests to the old primary to step down.
	maxStepDownAttempts = 4
)

// replacement is one attempt to replace a service's primary.
type replacement struct {
	c         *Controller
	service   string
	cause     reason
	startedAt time.Duration
	// base is the record that the decision was based on, zero if there was none.
	base Record
	// epoch is the epoch of the committed intent, 0 before the commit.
	epoch atomic.Uint64
	// superseded is true once this instance has revoked the primary for a later epoch.
	superseded atomic.Bool

	record Record // as committed
	// generation is the generation of the store in which the intent was committed.
	generation uint64
	// committedAt is a time after which every reader of the store sees the intent.
	committedAt time.Duration
	oldPrimary  string
	members     []Member
	// responses are the latest statuses since all instances have stopped using the old primary,
	// where replicas confirm commits; required is how far the log of the chosen target must reach.
	responses map[incarnation]response
	required  position.Position
	// waitedFor are the servers of the last wait that was logged.
	waitedFor []string
	// revocations are the responses of the members that have revoked the old primary.
	revocations []revocation
}

// run performs all steps of the replacement.
func (r *replacement) run(ctx context.Context) error {
	if err := r.commitIntent(ctx); err != nil {
		return trace.Wrap(err, "committing the intent")
	}
	event.ReplacementBegun.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.String("from", r.oldPrimary),
		zap.Uint64("epoch", r.record.Epoch), zap.Uint64("fence", r.record.Fence), zap.String("reason", string(r.cause)))
	recovered, err := r.revokeAll(ctx)
	if err != nil {
		return trace.Wrap(err, "revoking the old primary")
	}
	if recovered != nil {
		return trace.Wrap(r.settle(ctx, recovered.endpoint, recovered.status.Term), "recording that the old primary is kept")
	}
	target, term, err := r.promote(ctx)
	if err != nil {
		return trace.Wrap(err, "promoting")
	}
	return trace.Wrap(r.settle(ctx, target, term), "recording the new primary")
}

// settle records the primary and notifies all instances.
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
	event.ReplacementDone.Emit(r.c.cfg.Log, zap.String("service", r.service), zap.String("endpoint", target.ID),
		zap.Uint64("term", term), zap.Uint64("epoch", next.Epoch), zap.Duration("took", r.c.cfg.Clock()-r.startedAt))
	r.notifyAll(ctx)
	r.stepDownOldPrimary(ctx, target, term)
	return nil
}

// notifyAll makes every instance read the rows now.
func (r *replacement) notifyAll(ctx context.Context) {
	if err := r.c.cfg.Refresh(ctx); err != nil {
		r.c.cfg.Log.Info("could not read the rows after a replacement; they are read again later", zap.Error(err))
	}
	for range r.c.requestAll(ctx, r.members, func(ctx context.Context, m Member) (bool, error) {
		return true, r.c.cfg.Peers.NotifySettled(ctx, m)
	}) {
		continue
	}
}

// stepDownOldPrimary demotes the old primary to a replica if it can be reached.
func (r *replacement) stepDownOldPrimary(ctx context.Context, target catalog.Endpoint, term uint64) {
	e, ok := r.c.cfg.Registry().Endpoints[r.oldPrimary]
	if !ok || r.oldPrimary == target.ID {
		return
	}
	for range maxStepDownAttempts {
		callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
		err := r.c.cfg.Servers.StepDown(callCtx, e, term)
		cancel()
		if err == nil || !pause.For(ctx, retryInterval) {
			return
		}
	}
}
