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

// pause spreads a duration over a half to one and a half times its length.
func (c *Controller) pause(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + c.cfg.Jitter()))
}

// tableLoop registers this instance and looks at the table from time to time.
func (c *Controller) tableLoop(ctx context.Context) error {
	watch := &tableWatch{}
	for {
		wait := c.pause(c.cfg.PollInterval)
		if !c.lookAtTable(ctx, watch) {
			wait = c.pause(min(registerPause<<min(watch.failures, 4), c.cfg.PollInterval))
		}
		if !c.sleep(ctx, wait, watch.failures > 0) {
			return nil
		}
	}
}

// sleep waits, but not longer than until somebody asks for a look at the table;
// after a failure it waits in full. It reports false once ctx has ended.
func (c *Controller) sleep(ctx context.Context, wait time.Duration, inFull bool) bool {
	wake := c.wake
	if inFull {
		wake = nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}

// tableWatch is what the table loop remembers between two looks.
type tableWatch struct {
	epoch    uint64 // revision of the epoch row when the members were last listed
	listedAt time.Duration
	failures int
}

func (c *Controller) lookAtTable(ctx context.Context, watch *tableWatch) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	c.mu.Lock()
	registered, ended := c.holding.registered, c.holding.ended
	c.mu.Unlock()
	var err error
	switch {
	case registered:
		err = c.check(ctx, watch)
	case !ended:
		err = c.register(ctx)
	}
	if err == nil {
		watch.failures = 0
		return true
	}
	watch.failures++
	if watch.failures == 1 && !registered {
		event.RegistrationFailed.Emit(c.cfg.Log, zap.Error(err))
	}
	return false
}

// check compares what the table holds with what this instance believes.
func (c *Controller) check(ctx context.Context, watch *tableWatch) error {
	sent := c.cfg.Clock()
	rows, now, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID), HeadRow)
	if err != nil {
		return trace.Wrap(err)
	}
	if !c.ownRowStands(rows[1]) {
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
	if rows[0].Revision != watch.epoch || sent-watch.listedAt > relistAfter {
		if err := c.relist(ctx); err != nil {
			return trace.Wrap(err)
		}
		watch.epoch, watch.listedAt = rows[0].Revision, sent
	}
	return trace.Wrap(c.keepContact(ctx, sent, now, rows[2]))
}

// ownRowStands tells whether the row is this instance's own; else the instance
// begins anew.
func (c *Controller) ownRowStands(row platform.Row) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if row.Revision != 0 {
		m, err := DecodeMember(row.Key, row.Value)
		if err == nil && m.GetIncarnation() == c.self.GetIncarnation() {
			return true
		}
	}
	if c.holding.registered {
		c.takenOut(c.cfg.Clock())
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

// keepContact writes the domain's contact row while the domain is cut off from
// most others, so that a coordinator elsewhere sees that it may still serve. The
// write is conditional on the head, so that it fails once a change is accepted.
func (c *Controller) keepContact(ctx context.Context, sent time.Duration, now time.Time, head platform.Row) error {
	c.mu.Lock()
	last, known := c.holding.contacts[""]
	due := !c.holding.majority(sent) && (!known || sent-last > c.cfg.Limits.Isolation/4)
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
	c.holding.contact("", sent)
	return nil
}

// listLoop reads the platform's list of instances, for peers to ask when no
// known member answers.
func (c *Controller) listLoop(ctx context.Context) error {
	if c.cfg.Instances == nil {
		return nil
	}
	for {
		c.readList(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(c.pause(c.cfg.ListInterval)):
		}
	}
}

func (c *Controller) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	instances, err := c.cfg.Instances.Instances(ctx)
	if err != nil {
		return
	}
	listed := make(map[string]*peerv1.Member, len(instances))
	for _, i := range instances {
		listed[i.ID] = &peerv1.Member{Id: i.ID, FailureDomain: i.FailureDomain, PeerAddress: i.PeerAddress, Leaving: i.Leaving}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listed = listed
}
