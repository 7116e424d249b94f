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
	sweepInterval = 10 * time.Second
	// maxSweepPause bounds the pause after sweeps that could prove nothing.
	maxSweepPause = 2 * time.Minute
)

// sweepLoop takes members out that have surely lapsed, before others of their
// failure domain die too and nothing could be proved any more.
func (c *Controller) sweepLoop(ctx context.Context) error {
	pause := sweepInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(time.Duration(float64(pause) * (0.5 + rand.Float64()))):
		}
		pause = sweepInterval
		if !c.membership.HasSuspects() {
			continue
		}
		if err := c.sweep(ctx); err != nil {
			c.cfg.Log.Debug("silent members could not be taken out", zap.Error(err))
			pause = maxSweepPause
		}
	}
}

// sweep asks every member to vouch and deletes the rows of those that have
// surely lapsed. Nothing is staged: one that comes back meanwhile knows that its
// lease had lapsed, and registers again, which makes the commit fail.
func (c *Controller) sweep(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.AcceptTimeout)
	defer cancel()
	found, err := c.readState(ctx, "")
	if err != nil || found.pending.stage != nil {
		return trace.Wrap(err)
	}
	a := &attempt{
		found: found, round: newRound(), deadline: time.Now().Add(c.cfg.AcceptTimeout),
		stage: &peerv1.Stage{Coordinator: c.cfg.ID},
	}
	c.stageRound(ctx, a)
	if refusal := c.judge(ctx, a); refusal != nil {
		return refusal
	}
	if len(a.round.gone) == 0 {
		return nil
	}
	conditions, writes, err := removalWrites(a)
	if err != nil {
		return trace.Wrap(err)
	}
	conditions = append(conditions,
		platform.Condition{Key: membership.EpochRow, Revision: found.epochRow.Revision},
		platform.Condition{Key: pendingRow})
	result, err := c.cfg.Table.Commit(ctx, conditions, writes)
	if err == nil && result.Applied {
		event.MembersRemoved.Emit(c.cfg.Log, zap.Strings("gone", a.round.goneIDs()))
	}
	return trace.Wrap(err)
}
