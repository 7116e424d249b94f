package configuration

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Accepted is the answer to a change that is in force.
type Accepted struct {
	Version uint64
	// Repeated is true when the change had been accepted before.
	Repeated bool
}

// attempt is one coordinator's attempt to have a change accepted.
type attempt struct {
	change   *configv1.Change
	deadline time.Time // until when the commit may be sent
	found    *tableState
	next     *configv1.Configuration
	stage    *peerv1.Stage
	pending  uint64 // revision of the pending row
	round    *round
}

// Accept carries a change through to acceptance. The error is a *Refusal; unless
// its kind is OutcomeUnknown, nothing changed and nothing will.
func (c *Controller) Accept(ctx context.Context, change *configv1.Change) (Accepted, error) {
	ctx, span := c.cfg.Tracer.Start(ctx, "configuration.accept",
		oteltrace.WithAttributes(attribute.String("change.id", change.GetId())))
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AcceptTimeout)
	defer cancel()
	accepted, err := c.accept(ctx, change)
	if err == nil {
		return accepted, nil
	}
	refusal := AsRefusal(err)
	if refusal == nil {
		refusal = refuse(RefusedUnavailable, err, "the change could not be carried out")
	}
	if refusal.Kind == OutcomeUnknown {
		event.ChangeOutcomeUnknown.Emit(c.cfg.Log, zap.String("change", change.GetId()), zap.Error(refusal))
	} else {
		event.ChangeRefused.Emit(c.cfg.Log, zap.String("change", change.GetId()), zap.Error(refusal))
	}
	return Accepted{}, refusal
}

func (c *Controller) accept(ctx context.Context, change *configv1.Change) (Accepted, error) {
	a := &attempt{change: proto.CloneOf(change), deadline: time.Now().Add(c.cfg.AcceptTimeout - resolveReserve)}
	before, err := c.prepare(ctx, a)
	if before != nil || err != nil {
		return accepted(before), err
	}
	if err := c.announce(ctx, a); err != nil {
		return Accepted{}, err
	}
	for {
		if err := c.stageEverywhere(ctx, a); err != nil {
			c.abort(ctx, a)
			return Accepted{}, err
		}
		joined, err := c.commit(ctx, a)
		if err != nil {
			return Accepted{}, err
		}
		if !joined {
			break
		}
	}
	c.finishAcceptance(ctx, a)
	return Accepted{Version: a.next.GetVersion()}, nil
}

func accepted(before *Accepted) Accepted {
	if before == nil {
		return Accepted{}
	}
	return *before
}

// prepare reads the table and works out the next version. It returns an answer
// when the change was accepted before. It waits for a change in progress.
func (c *Controller) prepare(ctx context.Context, a *attempt) (*Accepted, error) {
	for {
		found, err := c.readState(ctx, a.change.GetId())
		if err != nil {
			return nil, refuse(RefusedUnavailable, err, "the platform's table does not answer")
		}
		if before, err := c.acceptedBefore(ctx, found, a.change); before != nil || err != nil {
			return before, err
		}
		if found.head.Version != a.change.GetBaseVersion() {
			return nil, conflict(a.change, found.head.Version)
		}
		if found.pending.stage == nil {
			a.found = found
			return nil, c.workOut(ctx, a)
		}
		if c.late(found.pending) {
			if _, err := c.abortPending(ctx, found.pending); err != nil {
				return nil, refuse(RefusedUnavailable, err, "the platform's table does not answer")
			}
			continue
		}
		if !c.pauseUntil(ctx, a.deadline, retryPause) {
			return nil, refuse(RefusedBusy, nil, "another change is in progress at instance %s", found.pending.stage.GetCoordinator())
		}
	}
}

func conflict(change *configv1.Change, current uint64) *Refusal {
	r := refuse(RefusedConflict, nil, "the change builds on version %d, but version %d is in force", change.GetBaseVersion(), current)
	r.Version = current
	return r
}

// pauseUntil waits, unless the deadline is nearer.
func (c *Controller) pauseUntil(ctx context.Context, deadline time.Time, wait time.Duration) bool {
	if time.Now().Add(wait).After(deadline) {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// acceptedBefore finds the earlier acceptance of the same change.
func (c *Controller) acceptedBefore(ctx context.Context, found *tableState, change *configv1.Change) (*Accepted, error) {
	if found.changeID.Revision == 0 {
		return nil, nil
	}
	version, err := decodeVersion(found.changeID.Key, found.changeID.Value)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	entry, err := c.HistoryEntry(ctx, version)
	if err != nil {
		return nil, refuse(RefusedUnavailable, err, "the platform's table does not answer")
	}
	if !proto.Equal(entry.GetChange(), change) {
		return nil, refuse(RefusedInvalid, &fleetconfig.FieldError{Path: "change.id", Reason: "another change with this identifier was accepted"}, "the change is not valid")
	}
	return &Accepted{Version: version, Repeated: true}, nil
}

func (c *Controller) workOut(ctx context.Context, a *attempt) error {
	base := a.change.GetBaseVersion()
	if err := c.Ensure(ctx, base, 0, ""); err != nil {
		return refuse(RefusedUnavailable, err, "version %d cannot be read", base)
	}
	current := c.Current()
	if current.GetVersion() != base {
		return conflict(a.change, current.GetVersion())
	}
	next, err := fleetconfig.Apply(current, a.change)
	if err != nil {
		return refuse(RefusedInvalid, prefixField(err), "the change is not valid")
	}
	a.next = next
	a.stage = &peerv1.Stage{
		Change: a.change, Version: next.GetVersion(), Coordinator: c.cfg.ID,
		Attempt: uuid.NewString(), CreatedUnixMs: a.found.now.UnixMilli(),
	}
	return nil
}

func prefixField(err error) error {
	field := fleetconfig.AsFieldError(err)
	if field == nil {
		return err
	}
	return &fleetconfig.FieldError{Path: "change." + field.Path, Reason: field.Reason}
}

// announce writes the pending row; of racing coordinators one wins.
func (c *Controller) announce(ctx context.Context, a *attempt) error {
	value, err := proto.Marshal(a.stage)
	if err != nil {
		return trace.Wrap(err)
	}
	conditions := []platform.Condition{
		{Key: pendingRow},
		{Key: headRow, Revision: a.found.headRow.Revision},
		{Key: a.found.changeID.Key},
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result, err := c.cfg.Table.Commit(ctx, conditions, []platform.Write{{Key: pendingRow, Value: value}})
	if err != nil {
		return c.announcedAfterAll(ctx, a, err)
	}
	if !result.Applied {
		return refuse(RefusedBusy, nil, "another change came first")
	}
	a.pending = result.Revision
	return nil
}

// announcedAfterAll looks whether the pending row was written although the
// answer was lost.
func (c *Controller) announcedAfterAll(ctx context.Context, a *attempt, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()
	p, err := c.readPending(ctx)
	if err != nil || p.stage.GetAttempt() != a.stage.GetAttempt() {
		return refuse(RefusedUnavailable, errors.Join(cause, err), "the platform's table does not answer")
	}
	a.pending = p.row.Revision
	return nil
}

// abort gives the attempt up: it deletes the pending row and tells every staged
// instance. Only this coordinator could have committed it.
func (c *Controller) abort(ctx context.Context, a *attempt) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()
	_, err := c.cfg.Table.Commit(ctx,
		[]platform.Condition{{Key: pendingRow, Revision: a.pending}},
		[]platform.Write{{Key: pendingRow, Delete: true}})
	if err != nil {
		c.cfg.Log.Debug("the pending row could not be deleted", zap.Error(err))
	}
	c.resolve(a.stage.GetAttempt(), false)
	c.resolveEverywhere(ctx, c.everyone(a), a.stage, false)
}

// everyone lists the members that were told of the attempt, and all others known.
func (c *Controller) everyone(a *attempt) []*peerv1.Member {
	members := c.membership.Members()
	if a.round != nil {
		members = append(members, a.round.told()...)
	}
	return members
}

// finishAcceptance puts the accepted version in force here, tells everyone, and
// waits until all have confirmed it or the time is over.
func (c *Controller) finishAcceptance(ctx context.Context, a *attempt) {
	event.ChangeAccepted.Emit(c.cfg.Log, zap.String("change", a.change.GetId()),
		zap.Uint64("version", a.next.GetVersion()), zap.Strings("gone", a.round.goneIDs()))
	c.cfg.Metrics.Counter("configuration_changes_accepted_total").Add(1)
	c.resolve(a.stage.GetAttempt(), true)
	c.adopt(a.next)
	background := context.WithoutCancel(ctx)
	c.background.Go(func() {
		limited, cancel := context.WithTimeout(background, c.cfg.AcceptTimeout)
		defer cancel()
		c.writeSnapshots(limited, a.next)
	})
	remaining := c.everyone(a)
	for len(remaining) > 0 {
		remaining = c.resolveEverywhere(ctx, remaining, a.stage, true)
		if len(remaining) == 0 || !c.pauseUntil(ctx, a.deadline.Add(resolveReserve), restagePause) {
			return
		}
		remaining = a.round.stagedOf(remaining)
	}
}
