package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// registration is what the table held when this instance looked.
type registration struct {
	sent    time.Duration // when the first read was sent, boot time
	now     time.Time     // the table's clock at that read
	epoch   platform.Row
	own     platform.Row
	head    platform.Row
	members []*peerv1.Member
}

// register writes this instance's row and brings the configuration up to the
// accepted version. The lease that follows counts from the first read: if a
// change is accepted after that, its coordinator has seen the new row.
func (c *Controller) register(ctx context.Context) error {
	found, err := c.readRegistration(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	head, err := fleetconfig.DecodeHead(found.head.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	self := c.Self()
	conditions, writes, rejoins, err := registrationWrites(self, found)
	if err != nil {
		return trace.Wrap(err)
	}
	result, err := c.cfg.Table.Commit(ctx, conditions, writes)
	if err != nil {
		return trace.Wrap(err)
	}
	if !result.Applied {
		return trace.CompareFailed("the table changed meanwhile")
	}
	if err := c.cfg.Configuration.Ensure(ctx, head.Version, 0, ""); err != nil {
		return trace.Wrap(err)
	}
	c.registered(found, self, rejoins)
	return nil
}

func (c *Controller) readRegistration(ctx context.Context) (registration, error) {
	found := registration{sent: c.cfg.Clock()}
	rows, now, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID), HeadRow)
	if err != nil {
		return found, trace.Wrap(err)
	}
	found.now, found.epoch, found.own, found.head = now, rows[0], rows[1], rows[2]
	found.members, err = c.listMembers(ctx)
	return found, trace.Wrap(err)
}

func (c *Controller) listMembers(ctx context.Context) ([]*peerv1.Member, error) {
	rows, _, err := c.cfg.Table.List(ctx, memberPrefix)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	members := make([]*peerv1.Member, 0, len(rows))
	for _, row := range rows {
		m, err := DecodeMember(row.Key, row.Value)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		members = append(members, m)
	}
	return members, nil
}

// registrationWrites returns the commit that registers self. A row of the same
// incarnation is only confirmed; any other counts as a join, and replacing one
// as a removal without goodbye.
func registrationWrites(self *peerv1.Member, found registration) ([]platform.Condition, []platform.Write, bool, error) {
	stamped := proto.CloneOf(self)
	stamped.Registered = true
	stamped.RegisteredUnixMs = found.now.UnixMilli()
	value, err := EncodeMember(stamped)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	conditions := []platform.Condition{
		{Key: HeadRow, Revision: found.head.Revision},
		{Key: found.own.Key, Revision: found.own.Revision},
	}
	writes := []platform.Write{{Key: found.own.Key, Value: value}}
	if found.own.Revision != 0 {
		before, err := DecodeMember(found.own.Key, found.own.Value)
		if err == nil && before.GetIncarnation() == self.GetIncarnation() {
			return conditions, writes, false, nil
		}
	}
	epoch, err := DecodeEpoch(found.epoch.Value)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	epoch.Count++
	if found.own.Revision != 0 {
		epoch.RemovedUnixMs = max(epoch.GetRemovedUnixMs(), found.now.UnixMilli())
	}
	if !found.peopled(self) {
		epoch.DomainSinceUnixMs[self.GetFailureDomain()] = found.now.UnixMilli()
	}
	value, err = EncodeEpoch(epoch)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	conditions = append(conditions, platform.Condition{Key: EpochRow, Revision: found.epoch.Revision})
	return conditions, append(writes, platform.Write{Key: EpochRow, Value: value}), true, nil
}

// peopled tells whether the failure domain of self has other members.
func (r registration) peopled(self *peerv1.Member) bool {
	return slices.ContainsFunc(r.members, func(m *peerv1.Member) bool {
		return m.GetFailureDomain() == self.GetFailureDomain() && m.GetId() != self.GetId()
	})
}

func (c *Controller) registered(found registration, self *peerv1.Member, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if c.self.GetIncarnation() != self.GetIncarnation() || c.holding.ended {
		return
	}
	if joined {
		c.fresh = found.own.Revision == 0 && (c.fresh || !c.joined)
		c.joined = true
	}
	c.renewSelf(now, func(m *peerv1.Member) { m.Registered = true })
	c.view.reconcile(append(found.members, c.self), now)
	c.holding.domains = c.view.domains()
	c.holding.confirmed(found.sent)
	c.publish(now)
	signal(c.beat)
	event.MemberRegistered.Emit(c.cfg.Log, zap.Uint64("incarnation", self.GetIncarnation()), zap.Int("members", len(found.members)))
}

// takenOut starts anew under another incarnation, after this instance's row was
// found missing or replaced. The caller holds mu.
func (c *Controller) takenOut(now time.Duration) {
	event.MemberTakenOut.Emit(c.cfg.Log)
	c.holding.drop()
	c.met = make(map[string]bool)
	c.renewSelf(now, func(m *peerv1.Member) {
		m.Incarnation = max(m.GetIncarnation()+1, uint64(time.Now().UnixNano()))
		m.Registered, m.Removed = false, false
	})
	c.publish(now)
	c.wakeTable()
}

// Deregister deletes this instance's row, so that no change of the configuration
// waits for it. The instance must have stopped serving; its lease ends here. It
// waits until the leases that it granted have lapsed.
func (c *Controller) Deregister(ctx context.Context) error {
	if err := c.waitForGrants(ctx); err != nil {
		return trace.Wrap(err)
	}
	for {
		done, err := c.tryGoodbye(ctx)
		if done {
			c.announceEnd(ctx)
			event.MemberLeft.Emit(c.cfg.Log)
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "the row could not be deleted: %v", err)
		case <-time.After(c.pause(registerPause)):
		}
	}
}

// announceEnd tells the peers that may have granted leases that this instance
// has given them up, so that no change waits for the leases to lapse.
func (c *Controller) announceEnd(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Lease/2)
	defer cancel()
	c.mu.Lock()
	c.renewSelf(c.cfg.Clock(), func(m *peerv1.Member) { m.Removed, m.Registered = true, false })
	req := &peerv1.Request{From: c.cfg.ID, Kind: &peerv1.Request_Heartbeat{Heartbeat: &peerv1.Heartbeat{Sender: c.self}}}
	var addresses []string
	for address, state := range c.calls {
		if !state.failed {
			addresses = append(addresses, address)
		}
	}
	c.mu.Unlock()
	var calls sync.WaitGroup
	for _, address := range addresses {
		calls.Go(func() { _, _ = c.cfg.Caller.Call(ctx, address, req) })
	}
	calls.Wait()
}

// waitForGrants ends the lease and waits until every granted lease has lapsed.
func (c *Controller) waitForGrants(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(c.endLease()):
		return nil
	}
}

// endLease stops granting, gives up the own lease, and returns after how long
// every granted lease has lapsed.
func (c *Controller) endLease() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.holding.leaving, c.holding.ended = true, true
	c.holding.drop()
	c.publish(now)
	wait := time.Duration(0)
	for _, g := range c.grants {
		wait = max(wait, g.at+c.cfg.Limits.Lease+c.cfg.Limits.Margin-now)
	}
	return wait
}

func (c *Controller) tryGoodbye(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, now, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID))
	if err != nil {
		return false, trace.Wrap(err)
	}
	if rows[1].Revision == 0 {
		return true, nil
	}
	before, err := DecodeMember(rows[1].Key, rows[1].Value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if before.GetIncarnation() != c.Self().GetIncarnation() {
		return true, nil
	}
	epoch, err := DecodeEpoch(rows[0].Value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	c.recordGrants(epoch, now)
	epoch.Count++
	value, err := EncodeEpoch(epoch)
	if err != nil {
		return false, trace.Wrap(err)
	}
	result, err := c.cfg.Table.Commit(ctx,
		[]platform.Condition{{Key: EpochRow, Revision: rows[0].Revision}, {Key: rows[1].Key, Revision: rows[1].Revision}},
		[]platform.Write{{Key: EpochRow, Value: value}, {Key: rows[1].Key, Delete: true}})
	return err == nil && result.Applied, trace.Wrap(err)
}

// recordGrants leaves behind when this instance last granted a lease to each
// domain, since nobody can ask it later.
func (c *Controller) recordGrants(epoch *peerv1.MemberEpoch, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clock := c.cfg.Clock()
	for _, g := range c.grants {
		domain := g.member.GetFailureDomain()
		at := now.Add(g.at - clock).UnixMilli()
		epoch.GrantedUnixMs[domain] = max(epoch.GetGrantedUnixMs()[domain], at)
	}
}
