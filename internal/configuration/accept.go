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

// Accepted is the result of a change that is in force.
type Accepted struct {
	Version uint64
	// Repeated reports whether the change had been accepted before.
	Repeated bool
}

// attempt is one coordinator's attempt to have a change accepted.
type attempt struct {
	change   *configv1.Change
	deadline time.Time // for sending the commit
	state    *tableState
	next     *configv1.Configuration
	stage    *peerv1.Stage
	pending  platform.Revision // revision of the pending row
	staging  *staging
}

// Accept stages, commits and resolves a change. The error is a *Refusal; unless its
// kind is OutcomeUnknown, the change has no effect, now or later.
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
	earlier, err := c.prepare(ctx, a)
	if earlier != nil || err != nil {
		return acceptedOrZero(earlier), err
	}
	if err := c.writePending(ctx, a); err != nil {
		return Accepted{}, err
	}
	for {
		if err := c.stageEverywhere(ctx, a); err != nil {
			c.abort(ctx, a)
			return Accepted{}, err
		}
		membersChanged, err := c.commit(ctx, a)
		if err != nil {
			return Accepted{}, err
		}
		if !membersChanged {
			break
		}
	}
	c.finishAcceptance(ctx, a)
	return Accepted{Version: a.next.GetVersion()}, nil
}

func acceptedOrZero(earlier *Accepted) Accepted {
	if earlier == nil {
		return Accepted{}
	}
	return *earlier
}

// prepare reads the table and computes the next version. It waits for a change in
// progress. If the change was accepted before, prepare returns that result.
func (c *Controller) prepare(ctx context.Context, a *attempt) (*Accepted, error) {
	for {
		state, err := c.readState(ctx, a.change.GetId())
		if err != nil {
			return nil, refuse(RefusedUnavailable, err, "the platform's table does not answer")
		}
		if earlier, err := c.acceptedBefore(ctx, state, a.change); earlier != nil || err != nil {
			return earlier, err
		}
		if state.head.Version != a.change.GetBaseVersion() {
			return nil, conflict(a.change, state.head.Version)
		}
		if state.pending.stage == nil {
			a.state = state
			return nil, c.computeNext(ctx, a)
		}
		if c.isAbandoned(state.pending) {
			if _, err := c.abortPending(ctx, state.pending); err != nil {
				return nil, refuse(RefusedUnavailable, err, "the platform's table does not answer")
			}
			continue
		}
		if !c.sleepBefore(ctx, a.deadline, retryInterval) {
			return nil, refuse(RefusedBusy, nil, "another change is in progress at instance %s", state.pending.stage.GetCoordinator())
		}
	}
}

func conflict(change *configv1.Change, current uint64) *Refusal {
	r := refuse(RefusedConflict, nil, "the change builds on version %d, but version %d is in force", change.GetBaseVersion(), current)
	r.Version = current
	return r
}

// sleepBefore sleeps for wait. It returns false when ctx ends first, and at once
// when the sleep would pass the deadline.
func (c *Controller) sleepBefore(ctx context.Context, deadline time.Time, wait time.Duration) bool {
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

// acceptedBefore returns the earlier result of the same change, or nil. It refuses
// a different change with the same identifier.
func (c *Controller) acceptedBefore(ctx context.Context, state *tableState, change *configv1.Change) (*Accepted, error) {
	if !state.changeID.Revision.Exists() {
		return nil, nil
	}
	version, err := decodeVersion(state.changeID.Key, state.changeID.Value)
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

func (c *Controller) computeNext(ctx context.Context, a *attempt) error {
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
		Attempt: uuid.NewString(), CreatedUnixMs: a.state.now.UnixMilli(),
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

// writePending writes the pending row. Only one of concurrent coordinators succeeds.
func (c *Controller) writePending(ctx context.Context, a *attempt) error {
	value, err := proto.Marshal(a.stage)
	if err != nil {
		return trace.Wrap(err)
	}
	conditions := []platform.Condition{
		{Key: pendingRow},
		{Key: headRow, Revision: a.state.headRow.Revision},
		{Key: a.state.changeID.Key},
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result, err := c.cfg.Table.Commit(ctx, conditions, []platform.Write{{Key: pendingRow, Value: value}})
	if err != nil {
		return c.recheckPending(ctx, a, err)
	}
	if !result.Applied {
		return refuse(RefusedBusy, nil, "another change came first")
	}
	a.pending = result.Revision
	return nil
}

// recheckPending checks whether the pending row was written although the
// response was lost.
func (c *Controller) recheckPending(ctx context.Context, a *attempt, cause error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), tableTimeout)
	defer cancel()
	p, err := c.readPending(ctx)
	if err != nil || p.stage.GetAttempt() != a.stage.GetAttempt() {
		return refuse(RefusedUnavailable, errors.Join(cause, err), "the platform's table does not answer")
	}
	a.pending = p.row.Revision
	return nil
}

// abort ends an attempt that was not committed: it deletes the pending row and
// notifies all members. They may drop the attempt even if the deletion fails, since
// only this coordinator could commit it.
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
	c.resolveEverywhere(ctx, c.recipients(a), a.stage, false)
}

// recipients returns all known members and those that were sent the attempt.
func (c *Controller) recipients(a *attempt) []*peerv1.Member {
	members := c.membership.Members()
	if a.staging != nil {
		members = append(members, a.staging.contacted()...)
	}
	return members
}

// finishAcceptance puts the accepted version in force here, notifies all members,
// and waits until those that staged it have confirmed it or the time is up.
func (c *Controller) finishAcceptance(ctx context.Context, a *attempt) {
	event.ChangeAccepted.Emit(c.cfg.Log, zap.String("change", a.change.GetId()),
		zap.Uint64("version", a.next.GetVersion()), zap.Strings("gone", a.staging.expiredIDs()))
	c.cfg.Metrics.Counter("configuration_changes_accepted_total").Add(1)
	c.resolve(a.stage.GetAttempt(), true)
	c.adopt(a.next)
	background := context.WithoutCancel(ctx)
	c.background.Go(func() {
		limited, cancel := context.WithTimeout(background, c.cfg.AcceptTimeout)
		defer cancel()
		c.writeSnapshots(limited, a.next)
	})
	remaining := c.recipients(a)
	for len(remaining) > 0 {
		remaining = c.resolveEverywhere(ctx, remaining, a.stage, true)
		if len(remaining) == 0 || !c.sleepBefore(ctx, a.deadline.Add(resolveReserve), restageInterval) {
			return
		}
		remaining = a.staging.filterAcknowledged(remaining)
	}
}
