package configuration

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	removalInterval = 10 * time.Second
	// removalRetryInterval applies after a failed removal, for example when the expiry
	// could not be proven.
	removalRetryInterval = 2 * time.Minute
)

// removalLoop removes members whose lease has provably expired, without waiting for
// the next change: once further members of their failure domain fail, the expiry may
// no longer be provable.
func (c *Controller) removalLoop(ctx context.Context) error {
	interval := removalInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration(float64(interval) * (0.5 + rand.Float64()))):
		}
		interval = removalInterval
		if !c.membership.HasSuspects() {
			continue
		}
		if err := c.removeExpiredMembers(ctx); err != nil {
			c.cfg.Log.Debug("unresponsive members could not be removed", zap.Error(err))
			interval = removalRetryInterval
		}
	}
}

// removeExpiredMembers collects the grant reports of all members and deletes the rows
// of those whose lease has provably expired. It stages no change; its
// Stage requests only ask for the reports. A member that returns meanwhile knows that its
// lease has expired and registers again, which makes the commit fail.
func (c *Controller) removeExpiredMembers(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AcceptTimeout)
	defer cancel()
	state, err := c.readState(ctx, "")
	if err != nil || state.pending.stage != nil {
		return trace.Wrap(err)
	}
	a := &attempt{
		state: state, staging: newStaging(), deadline: time.Now().Add(c.cfg.AcceptTimeout),
		stage: &peerv1.Stage{Coordinator: c.cfg.ID},
	}
	c.stageRound(ctx, a)
	if refusal := c.checkComplete(ctx, a); refusal != nil {
		return refusal
	}
	if len(a.staging.expired) == 0 {
		return nil
	}
	conditions, writes, err := removalWrites(a)
	if err != nil {
		return trace.Wrap(err)
	}
	conditions = append(conditions,
		platform.Condition{Key: membership.EpochRow, Revision: state.epochRow.Revision},
		platform.Condition{Key: pendingRow})
	result, err := c.cfg.Table.Commit(ctx, conditions, writes)
	if err == nil && result.Applied {
		event.MembersRemoved.Emit(c.cfg.Log, zap.Strings("gone", a.staging.expiredIDs()))
	}
	return trace.Wrap(err)
}
