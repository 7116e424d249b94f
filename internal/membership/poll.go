package membership

import (
	"context"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// jittered scales a duration by a random factor from 0.5 to 1.5.
func (c *Controller) jittered(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.cfg.Jitter()))
}

// tableLoop registers this instance and polls the table.
func (c *Controller) tableLoop(ctx context.Context) error {
	state := &pollState{}
	for {
		wait := c.jittered(c.cfg.PollInterval)
		if !c.pollTable(ctx, state) {
			wait = c.jittered(min(registerRetryInterval<<min(state.failures, 4), c.cfg.PollInterval))
		}
		if !c.sleepUnlessTriggered(ctx, wait, state.failures > 0) {
			return nil
		}
	}
}

// sleepUnlessTriggered waits for the given time, or until a poll is triggered. With
// ignoreTrigger, as after a failure, it always waits for the whole time. It returns
// false when ctx ends first.
func (c *Controller) sleepUnlessTriggered(ctx context.Context, wait time.Duration, ignoreTrigger bool) bool {
	pollTrigger := c.pollTrigger
	if ignoreTrigger {
		pollTrigger = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-pollTrigger:
	}
	return true
}

// pollState is the state of the table loop between two polls.
type pollState struct {
	listedEpoch platform.Revision // revision of the epoch row when the members were last listed
	listedAt    time.Duration
	failures    int
}

// pollTable checks the registration, or registers this instance, and reports
// whether that succeeded.
func (c *Controller) pollTable(ctx context.Context, state *pollState) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.mu.Lock()
	registered, leaseEnded := c.leaseState.registered, c.leaseState.leaseEnded
	c.mu.Unlock()
	var err error
	switch {
	case registered:
		err = c.checkTable(ctx, state)
	case !leaseEnded:
		err = c.register(ctx)
	}
	if err == nil {
		state.failures = 0
		return true
	}
	state.failures++
	if state.failures == 1 && !registered {
		event.RegistrationFailed.Emit(c.cfg.Log, zap.Error(err))
	}
	return false
}

// checkTable brings the configuration and the members up to what the table holds,
// if this instance's row is still there.
func (c *Controller) checkTable(ctx context.Context, state *pollState) error {
	sent := c.cfg.Clock()
	rows, now, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID), HeadRow)
	if err != nil {
		return trace.Wrap(err)
	}
	if !c.verifyOwnRow(rows[1]) {
		return nil
	}
	head, err := fleetconfig.DecodeHead(rows[2].Value)
	if err != nil {
		return trace.Wrap(err)
	}
	if head.Version > c.cfg.Board.Configuration.Get().Version {
		if err := c.cfg.Configuration.Ensure(ctx, head.Version, 0, ""); err != nil {
			return trace.Wrap(err)
		}
	}
	if rows[0].Revision != state.listedEpoch || sent-state.listedAt > relistInterval {
		if err := c.relist(ctx); err != nil {
			return trace.Wrap(err)
		}
		state.listedEpoch, state.listedAt = rows[0].Revision, sent
	}
	return trace.Wrap(c.maintainContactRow(ctx, sent, now, rows[2]))
}

// verifyOwnRow reports whether the row belongs to this incarnation of this
// instance. If not, a registered instance starts a new incarnation.
func (c *Controller) verifyOwnRow(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Revision.Exists() {
		m, err := DecodeMember(row.Key, row.Value)
		if err == nil && m.GetIncarnation() == c.self.GetIncarnation() {
			return true
		}
	}
	if c.leaseState.registered {
		c.resetIncarnation(c.cfg.Clock())
	}
	return false
}

func (c *Controller) relist(ctx context.Context) error {
	members, err := c.listMembers(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view.reconcile(members, c.cfg.Clock())
	return nil
}

// maintainContactRow writes the domain's contact row while the domain is cut off
// from most others, so that a coordinator in another domain sees that it may
// still serve. The write is conditional on the head row, so that it fails once a
// change is accepted.
func (c *Controller) maintainContactRow(ctx context.Context, sent time.Duration, now time.Time, head platform.Row) error {
	c.mu.Lock()
	last, known := c.leaseState.contacts[""]
	due := !c.leaseState.hasMajority(sent) && (!known || sent-last > c.cfg.Limits.Isolation/4)
	c.mu.Unlock()
	if !due {
		return nil
	}
	stamp := strconv.FormatInt(now.UnixMilli(), 10)
	result, err := c.cfg.Table.Commit(ctx,
		[]platform.Condition{{Key: HeadRow, Revision: head.Revision}},
		[]platform.Write{{Key: ContactRow(c.cfg.FailureDomain), Value: []byte(stamp)}})
	if err != nil || !result.Applied {
		return trace.Wrap(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaseState.recordContact("", sent)
	return nil
}

// instanceListLoop reads the platform's list of instances, whose addresses get
// heartbeats while no known member answers.
func (c *Controller) instanceListLoop(ctx context.Context) error {
	if c.cfg.Instances == nil {
		return nil
	}
	for {
		c.readInstanceList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.jittered(c.cfg.ListInterval)):
		}
	}
}

func (c *Controller) readInstanceList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	instances, err := c.cfg.Instances.Instances(ctx)
	if err != nil {
		return
	}
	listedInstances := make(map[string]*peerv1.Member, len(instances))
	for _, i := range instances {
		listedInstances[i.ID] = &peerv1.Member{Id: i.ID, FailureDomain: i.FailureDomain, PeerAddress: i.PeerAddress, Leaving: i.Leaving}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedInstances = listedInstances
}
