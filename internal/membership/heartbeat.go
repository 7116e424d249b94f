package membership

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

func versionField(b *blackboard.Board) zap.Field {
	return zap.Uint64("version", b.Configuration.Get().Version)
}

func isolatedField(isolated bool) zap.Field { return zap.Bool("isolated", isolated) }

func (c *Controller) heartbeatLoop(ctx context.Context, t *tomb.Tomb) error {
	ticker := time.NewTicker(c.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		for _, address := range c.tick() {
			t.Go(func() error { c.sendHeartbeat(ctx, address); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.heartbeatTrigger:
		}
	}
}

// tick updates the lease and the members before a round of heartbeats and returns the
// addresses to send to.
func (c *Controller) tick() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.markLeavingIfDraining(now)
	c.leaseState.unregisterIfExpired(now)
	c.leaseState.domains = c.view.domains()
	c.leaseState.domains[c.cfg.FailureDomain] = true
	if c.view.isOnlyInDomain(c.cfg.ID, c.cfg.FailureDomain) {
		c.leaseState.renewAsOnlyInDomain(now)
	}
	if !c.leaseState.registered && !c.leaseState.leaseEnded {
		c.triggerPoll()
	}
	c.prune(now)
	c.publishLease(now)
	c.publishMembers(now)
	return c.startCalls(now)
}

// prune drops members, grants and call states that are no longer needed. The caller
// holds mu.
func (c *Controller) prune(now time.Duration) {
	c.view.prune(c.cfg.ID, now)
	for id, g := range c.grants {
		if now-g.at > 2*(c.cfg.Limits.Isolation+c.cfg.Limits.Lease+c.cfg.Limits.Margin) {
			delete(c.grants, id)
		}
	}
	for address, state := range c.calls {
		if !state.inFlight && state.failed && now-state.failedAt > unregisteredRetention {
			delete(c.calls, address)
		}
	}
}

// markLeavingIfDraining marks this instance as leaving once it drains. The caller
// holds mu.
func (c *Controller) markLeavingIfDraining(now time.Duration) {
	if !c.cfg.Board.Draining.Get() || c.self.GetLeaving() {
		return
	}
	c.leaseState.leaving = true
	c.updateSelf(now, func(m *peerv1.Member) { m.Leaving = true })
}

// updateSelf replaces this instance's own entry by a changed copy. The caller
// holds mu.
func (c *Controller) updateSelf(now time.Duration, change func(m *peerv1.Member)) {
	m := proto.CloneOf(c.self)
	change(m)
	c.self = m
	if e, ok := c.view.entries[m.GetId()]; ok {
		c.view.set(e, m, now)
		return
	}
	c.view.update(m, now)
}

// sendHeartbeat sends one heartbeat and applies the answer.
func (c *Controller) sendHeartbeat(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Lease/2)
	defer cancel()
	sent, heartbeat := c.composeHeartbeat()
	req := &peerv1.Request{From: c.cfg.ID, Kind: &peerv1.Request_Heartbeat{Heartbeat: heartbeat}}
	res, err := c.cfg.Caller.Call(ctx, address, req)
	c.cfg.Metrics.Counter("membership_heartbeats_total").Add(1)
	c.cfg.Metrics.Counter("membership_heartbeat_bytes_total").Add(int64(proto.Size(req)))
	c.finishCall(address, err)
	if err != nil || res.GetHeartbeat() == nil {
		return
	}
	c.cfg.Metrics.Counter("membership_heartbeat_bytes_total").Add(int64(proto.Size(res)))
	ack := res.GetHeartbeat()
	c.handleAck(sent, heartbeat, ack)
	own := c.cfg.Board.Configuration.Get()
	if ack.GetVersion() > own.Version || ack.GetStagedVersion() > max(own.Version, own.StagedVersion) {
		c.ensureConfiguration(ctx, ack.GetVersion(), ack.GetStagedVersion(), address)
	}
}

func (c *Controller) ensureConfiguration(ctx context.Context, version, staged uint64, address string) {
	if err := c.cfg.Configuration.Ensure(ctx, version, staged, address); err != nil {
		c.cfg.Log.Debug("fetching a newer configuration failed", zap.String("address", address), zap.Error(err))
	}
}

// composeHeartbeat returns a heartbeat and the time at which it was composed.
func (c *Controller) composeHeartbeat() (time.Duration, *peerv1.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.leaseState.unregisterIfExpired(now)
	own := c.cfg.Board.Configuration.Get()
	return now, &peerv1.Heartbeat{
		Sender: c.self, Version: own.Version, StagedVersion: own.StagedVersion,
		MembersDigest: c.view.digest, Registered: c.leaseState.registered,
	}
}

func (c *Controller) finishCall(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.callStateOf(address)
	state.inFlight = false
	now := c.cfg.Clock()
	if err != nil && !state.failed {
		state.failingSince = now
	}
	state.failed = err != nil
	if state.failed {
		state.failedAt = now
	}
}

// HasSuspects reports whether a registered member to which this instance sends
// heartbeats has neither answered nor sent a message for suspectThreshold.
func (c *Controller) HasSuspects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	for id, e := range c.view.entries {
		state, ok := c.calls[e.member.GetPeerAddress()]
		if ok && id != c.cfg.ID && e.member.GetRegistered() && state.failed &&
			now-state.failingSince > suspectThreshold && now-e.lastHeard > suspectThreshold {
			return true
		}
	}
	return false
}

// handleAck applies the answer to a heartbeat that was composed at sent.
func (c *Controller) handleAck(sent time.Duration, heartbeat *peerv1.Heartbeat, ack *peerv1.HeartbeatAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.updateMembers(ack.GetMembers(), now)
	responder := ack.GetResponder()
	if heartbeat.GetRegistered() && responder.GetFailureDomain() == c.cfg.FailureDomain {
		c.acknowledgedBy[responder.GetId()] = true
	}
	if e, ok := c.view.entries[responder.GetId()]; ok {
		e.lastHeard, e.version = now, ack.GetVersion()
	}
	length := time.Duration(ack.GetLeaseMs()) * time.Millisecond
	if heartbeat.GetSender().GetIncarnation() != c.self.GetIncarnation() {
		return
	}
	contacts := make(map[string]time.Duration, len(ack.GetContactMs()))
	for domain, age := range ack.GetContactMs() {
		contacts[domain] = time.Duration(age) * time.Millisecond
	}
	c.leaseState.handleAck(now, sent, length, responder.GetFailureDomain(), contacts)
	if length > 0 {
		c.grantors[responder.GetId()] = now
	}
	c.publishLease(now)
}

// updateMembers merges the members that a peer reported. The caller holds mu.
func (c *Controller) updateMembers(members []*peerv1.Member, now time.Duration) {
	for _, m := range members {
		if m.GetId() != c.cfg.ID {
			c.view.update(m, now)
			continue
		}
		if m.GetRemoved() && m.GetIncarnation() == c.self.GetIncarnation() {
			c.resetIncarnation(now)
		}
	}
}

// HandleHeartbeat answers a peer's heartbeat; it is a peer.Handler.
func (c *Controller) HandleHeartbeat(_ context.Context, req *peerv1.Request) *peerv1.Response {
	heartbeat := req.GetHeartbeat()
	sender := heartbeat.GetSender()
	if sender.GetId() == "" || sender.GetId() == c.cfg.ID {
		return &peerv1.Response{Error: "the heartbeat names no other instance"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	if sender.GetRemoved() {
		c.handleDeparture(sender, now)
		return &peerv1.Response{Kind: &peerv1.Response_Heartbeat{Heartbeat: &peerv1.HeartbeatAck{Responder: c.self}}}
	}
	_, known := c.view.entries[sender.GetId()]
	c.view.update(sender, now)
	if e, ok := c.view.entries[sender.GetId()]; ok {
		e.lastHeard, e.version = now, heartbeat.GetVersion()
	}
	own := c.cfg.Board.Configuration.Get()
	ack := &peerv1.HeartbeatAck{
		Version: own.Version, StagedVersion: own.StagedVersion,
		MembersDigest: c.view.digest, Responder: c.self,
	}
	if heartbeat.GetMembersDigest() != c.view.digest {
		ack.Members = c.view.membersToSend(!known, now)
	}
	c.grantTo(heartbeat, ack, now)
	return &peerv1.Response{Kind: &peerv1.Response_Heartbeat{Heartbeat: ack}}
}

// handleDeparture removes a member that has given up its leases. The caller holds mu.
func (c *Controller) handleDeparture(member *peerv1.Member, now time.Duration) {
	c.view.remove(member.GetId(), member.GetIncarnation(), now)
	if g, ok := c.grants[member.GetId()]; ok && g.member.GetIncarnation() == member.GetIncarnation() {
		delete(c.grants, member.GetId())
	}
}

// grantTo decides on a lease for the sender and records the grant. The caller
// holds mu, so that ReportGrants sees either both or neither.
func (c *Controller) grantTo(heartbeat *peerv1.Heartbeat, ack *peerv1.HeartbeatAck, now time.Duration) {
	sender := heartbeat.GetSender()
	if e, ok := c.view.entries[sender.GetId()]; ok &&
		(e.member.GetRemoved() || e.member.GetIncarnation() != sender.GetIncarnation()) {
		return
	}
	length := c.leaseState.grant(now, requester{
		domain: sender.GetFailureDomain(), registered: heartbeat.GetRegistered(),
		version: heartbeat.GetVersion(), staged: heartbeat.GetStagedVersion(),
	}, ack.GetVersion(), ack.GetStagedVersion())
	ack.LeaseMs = length.Milliseconds()
	if ack.LeaseMs == 0 {
		return
	}
	c.grants[sender.GetId()] = grantRecord{member: sender, at: now}
	if sender.GetFailureDomain() != c.cfg.FailureDomain {
		return
	}
	ack.ContactMs = make(map[string]int64, len(c.leaseState.contacts))
	for domain, at := range c.leaseState.contacts {
		ack.ContactMs[domain] = (now - at).Milliseconds() + 1
	}
}
