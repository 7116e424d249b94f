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
	// lapseSlack is added to the lifetime of the copies of instances that do not
	// answer: stopGrace, and the lateness of their timers.
	lapseSlack = 400 * time.Millisecond
	// stopRetry spaces questions to an instance that has not stopped yet.
	stopRetry = 150 * time.Millisecond
	// lapsePoll is how often it is looked whether the others have lapsed.
	lapsePoll = 50 * time.Millisecond
	// watchInterval spaces looks for an old primary that may come back.
	watchInterval = 300 * time.Millisecond
	// statusTimeout bounds a question to a server.
	statusTimeout = 300 * time.Millisecond
	// statusSpread is how much later than the first server the others may answer: a
	// busy server's slots free up within it.
	statusSpread = 120 * time.Millisecond
	// catchUpLimit is how long a planned replacement waits for a replica to
	// receive all that the old primary has.
	catchUpLimit = 2 * time.Second
	// promoteLimit is how long the platform's promotion may take to show: 1 s at
	// most on the known deployments.
	promoteLimit = 4 * time.Second
	// lateOrder is how long an order of an earlier holder may take to show: its
	// call and the promotion itself.
	lateOrder = 2500 * time.Millisecond
	// promotePoll spaces the questions whether it shows.
	promotePoll = 50 * time.Millisecond
	// promoteAgain is after how long without effect the order is repeated.
	promoteAgain = 1500 * time.Millisecond
	// orderTimeout bounds the call to the platform.
	orderTimeout = 1500 * time.Millisecond
	// storeTimeout bounds one call to the store.
	storeTimeout = 1500 * time.Millisecond
	// storeAttempts bounds the repetitions of a commit whose answer was lost.
	storeAttempts = 6
	// stepDownTries is how often the old primary is told to step down.
	stepDownTries = 4
)

// handover is one replacement.
type handover struct {
	c       *Controller
	service string
	why     reason
	began   time.Duration
	// from is the record on which the decision rests, zero if there is none.
	from Record
	// epoch is that of the committed intent, 0 before.
	epoch atomic.Uint64
	// superseded is true once this instance has stopped for a later epoch.
	superseded atomic.Bool

	record Record // as committed
	// written is an instant after which every reader of the store sees the intent.
	written time.Duration
	old     string
	members []Member
}

// run goes through all steps.
func (h *handover) run(ctx context.Context) error {
	if err := h.commitIntent(ctx); err != nil {
		return trace.Wrap(err, "writing the intent")
	}
	event.HandoverBegun.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("from", h.old),
		zap.Uint64("epoch", h.record.Epoch), zap.Uint64("fence", h.record.Fence), zap.String("reason", string(h.why)))
	returned, err := h.stopMembers(ctx)
	if err != nil {
		return trace.Wrap(err, "stopping the use of the primary")
	}
	if returned != nil {
		return trace.Wrap(h.settle(ctx, returned.endpoint, returned.status.Term), "writing that the primary stays")
	}
	target, term, err := h.promote(ctx)
	if err != nil {
		return trace.Wrap(err, "promoting")
	}
	return trace.Wrap(h.settle(ctx, target, term), "writing the outcome")
}

// settle records the new primary and tells everybody.
func (h *handover) settle(ctx context.Context, target catalog.Endpoint, term uint64) error {
	current, rows, err := h.read(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if current.services[h.service] != h.record {
		return trace.CompareFailed("another instance has taken over")
	}
	next := h.record
	next.Endpoint, next.Term, next.Phase, next.Ordered, next.Attempt = target.ID, term, Settled, "", uuid.NewString()
	if err := h.commit(ctx, rows, []platform.Write{encodeRow(servicePrefix+h.service, next)}, next); err != nil {
		return trace.Wrap(err)
	}
	event.HandoverDone.Emit(h.c.cfg.Log, zap.String("service", h.service), zap.String("endpoint", target.ID),
		zap.Uint64("term", term), zap.Uint64("epoch", next.Epoch), zap.Duration("took", h.c.cfg.Clock()-h.began))
	h.tellAll(ctx)
	h.stepDownOld(ctx, target, term)
	return nil
}

// tellAll makes every instance read the outcome now.
func (h *handover) tellAll(ctx context.Context) {
	if err := h.c.cfg.Refresh(ctx); err != nil {
		h.c.cfg.Log.Info("the outcome is read again later", zap.Error(err))
	}
	for range h.c.ask(ctx, h.members, func(ctx context.Context, m Member) (bool, error) {
		return true, h.c.cfg.Peers.NotifySettled(ctx, m)
	}) {
		continue
	}
}

// stepDownOld makes the old primary a replica where it can be reached.
func (h *handover) stepDownOld(ctx context.Context, target catalog.Endpoint, term uint64) {
	e, ok := h.c.cfg.Registry().Endpoints[h.old]
	if !ok || h.old == target.ID {
		return
	}
	for range stepDownTries {
		asking, cancel := context.WithTimeout(ctx, statusTimeout)
		err := h.c.cfg.Servers.StepDown(asking, e, term)
		cancel()
		if err == nil || !sleep(ctx, stopRetry) {
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
