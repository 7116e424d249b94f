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

// tableSnapshot holds what a registration reads from the table.
type tableSnapshot struct {
	sent      time.Duration // when the first read was sent, by the boot-time clock
	tableTime time.Time     // the table's clock at that read
	epoch     platform.Row
	own       platform.Row
	head      platform.Row
	members   []*peerv1.Member
}

// register writes this instance's row and brings the configuration up to the
// accepted version. The lease starts at the first read, because the coordinator
// of a change that is accepted after that read has seen the new row.
func (c *Controller) register(ctx context.Context) error {
	snapshot, err := c.readTableSnapshot(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	head, err := fleetconfig.DecodeHead(snapshot.head.Value)
	if err != nil {
		return trace.Wrap(err)
	}
	self := c.Self()
	conditions, writes, joined, err := registrationWrites(self, snapshot)
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
	c.completeRegistration(snapshot, self, joined)
	return nil
}

func (c *Controller) readTableSnapshot(ctx context.Context) (tableSnapshot, error) {
	snapshot := tableSnapshot{sent: c.cfg.Clock()}
	rows, tableTime, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID), HeadRow)
	if err != nil {
		return snapshot, trace.Wrap(err)
	}
	snapshot.tableTime, snapshot.epoch, snapshot.own, snapshot.head = tableTime, rows[0], rows[1], rows[2]
	snapshot.members, err = c.listMembers(ctx)
	return snapshot, trace.Wrap(err)
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

// registrationWrites returns the conditions and writes that register self, and
// whether this is a join. A row of the same incarnation is only rewritten; all
// other registrations are joins, and replacing the row of another incarnation
// also counts as a removal without Deregister.
func registrationWrites(self *peerv1.Member, snapshot tableSnapshot) ([]platform.Condition, []platform.Write, bool, error) {
	row := proto.CloneOf(self)
	row.Registered = true
	row.RegisteredUnixMs = snapshot.tableTime.UnixMilli()
	value, err := EncodeMember(row)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	conditions := []platform.Condition{
		{Key: HeadRow, Revision: snapshot.head.Revision},
		{Key: snapshot.own.Key, Revision: snapshot.own.Revision},
	}
	writes := []platform.Write{{Key: snapshot.own.Key, Value: value}}
	if snapshot.own.Revision.Exists() {
		previous, err := DecodeMember(snapshot.own.Key, snapshot.own.Value)
		if err == nil && previous.GetIncarnation() == self.GetIncarnation() {
			return conditions, writes, false, nil
		}
	}
	epoch, err := DecodeEpoch(snapshot.epoch.Value)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	epoch.Count++
	if snapshot.own.Revision.Exists() {
		epoch.RemovedUnixMs = max(epoch.GetRemovedUnixMs(), snapshot.tableTime.UnixMilli())
	}
	if !snapshot.hasDomainPeer(self) {
		epoch.DomainSinceUnixMs[self.GetFailureDomain()] = snapshot.tableTime.UnixMilli()
	}
	value, err = EncodeEpoch(epoch)
	if err != nil {
		return nil, nil, false, trace.Wrap(err)
	}
	conditions = append(conditions, platform.Condition{Key: EpochRow, Revision: snapshot.epoch.Revision})
	return conditions, append(writes, platform.Write{Key: EpochRow, Value: value}), true, nil
}

// hasDomainPeer reports whether the failure domain of self has other members.
func (s tableSnapshot) hasDomainPeer(self *peerv1.Member) bool {
	return slices.ContainsFunc(s.members, func(m *peerv1.Member) bool {
		return m.GetFailureDomain() == self.GetFailureDomain() && m.GetId() != self.GetId()
	})
}

// completeRegistration applies a registration that was committed to the table.
func (c *Controller) completeRegistration(snapshot tableSnapshot, self *peerv1.Member, joined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if c.self.GetIncarnation() != self.GetIncarnation() || c.leaseState.leaseEnded {
		return
	}
	if joined {
		c.noEarlierGrants = !snapshot.own.Revision.Exists() && (c.noEarlierGrants || !c.joined)
		c.joined = true
	}
	c.updateSelf(now, func(m *peerv1.Member) { m.Registered = true })
	c.view.reconcile(append(snapshot.members, c.self), now)
	c.leaseState.domains = c.view.domains()
	c.leaseState.confirmRegistration(snapshot.sent)
	c.publishLease(now)
	notify(c.heartbeatTrigger)
	event.MemberRegistered.Emit(c.cfg.Log, zap.Uint64("incarnation", self.GetIncarnation()), zap.Int("members", len(snapshot.members)))
}

// resetIncarnation gives up the lease and starts a new incarnation, which has to
// register again. It is called when this instance's row is missing or replaced,
// or a peer reports it removed. The caller holds mu.
func (c *Controller) resetIncarnation(now time.Duration) {
	event.RegistrationLost.Emit(c.cfg.Log)
	c.leaseState.release()
	c.acknowledgedBy = make(map[string]bool)
	c.updateSelf(now, func(m *peerv1.Member) {
		m.Incarnation = max(m.GetIncarnation()+1, uint64(time.Now().UnixNano()))
		m.Registered, m.Removed = false, false
	})
	c.publishLease(now)
	c.triggerPoll()
}

// Deregister gives up the lease, waits until the leases that this instance granted
// have expired, and deletes its row, so that no configuration change waits for
// it. The instance must have stopped serving.
func (c *Controller) Deregister(ctx context.Context) error {
	if err := c.waitForGrantExpiry(ctx); err != nil {
		return trace.Wrap(err)
	}
	for {
		done, err := c.deleteOwnRow(ctx)
		if done {
			c.announceDeparture(ctx)
			event.MemberLeft.Emit(c.cfg.Log)
			return nil
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err(), "the row could not be deleted: %v", err)
		case <-time.After(c.jittered(registerRetryInterval)):
		}
	}
}

// announceDeparture notifies the peers that may have granted leases to this
// instance that it has given them up, so that no change waits for their expiry.
func (c *Controller) announceDeparture(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Lease/2)
	defer cancel()
	c.mu.Lock()
	c.updateSelf(c.cfg.Clock(), func(m *peerv1.Member) { m.Removed, m.Registered = true, false })
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

// waitForGrantExpiry gives up the lease and waits until every granted lease has
// expired.
func (c *Controller) waitForGrantExpiry(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return trace.Wrap(ctx.Err())
	case <-time.After(c.endLease()):
		return nil
	}
}

// endLease stops granting, gives up this instance's lease, and returns the time
// until every granted lease has expired.
func (c *Controller) endLease() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.leaseState.leaving, c.leaseState.leaseEnded = true, true
	c.leaseState.release()
	c.publishLease(now)
	wait := time.Duration(0)
	for _, g := range c.grants {
		wait = max(wait, g.at+c.cfg.Limits.Lease+c.cfg.Limits.Margin-now)
	}
	return wait
}

// deleteOwnRow deletes this instance's row and reports whether the table holds
// no row of this incarnation any more.
func (c *Controller) deleteOwnRow(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, now, err := c.cfg.Table.Get(ctx, EpochRow, MemberRow(c.cfg.ID))
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !rows[1].Revision.Exists() {
		return true, nil
	}
	previous, err := DecodeMember(rows[1].Key, rows[1].Value)
	if err != nil {
		return false, trace.Wrap(err)
	}
	if previous.GetIncarnation() != c.Self().GetIncarnation() {
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

// recordGrants records in the epoch row when this instance last granted a lease
// to each domain, since it cannot report its grants once it has left.
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
