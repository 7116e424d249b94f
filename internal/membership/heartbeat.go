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
			t.Go(func() error { c.exchange(ctx, address); return nil })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-c.beat:
		}
	}
}

// tick does what is due at every heartbeat and returns the addresses to send to.
func (c *Controller) tick() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.noteDraining(now)
	c.holding.settle(now)
	c.holding.domains = c.view.domains()
	c.holding.domains[c.cfg.FailureDomain] = true
	if c.view.alone(c.cfg.ID, c.cfg.FailureDomain) {
		c.holding.renewAlone(now)
	}
	if !c.holding.registered && !c.holding.ended {
		c.wakeTable()
	}
	c.forget(now)
	c.publish(now)
	c.publishMembers(now)
	return c.dueAddresses(now)
}

// forget drops what is no longer needed. The caller holds mu.
func (c *Controller) forget(now time.Duration) {
	c.view.forget(c.cfg.ID, now)
	for id, g := range c.grants {
		if now-g.at > 2*(c.cfg.Limits.Isolation+c.cfg.Limits.Lease+c.cfg.Limits.Margin) {
			delete(c.grants, id)
		}
	}
	for address, state := range c.calls {
		if !state.busy && state.failed && now-state.failedAt > unregisteredKept {
			delete(c.calls, address)
		}
	}
}

// noteDraining marks this instance as leaving once it drains.
func (c *Controller) noteDraining(now time.Duration) {
	if !c.cfg.Board.Draining.Get() || c.self.GetLeaving() {
		return
	}
	c.holding.leaving = true
	c.renewSelf(now, func(m *peerv1.Member) { m.Leaving = true })
}

// renewSelf replaces this instance's own entry. The caller holds mu.
func (c *Controller) renewSelf(now time.Duration, change func(m *peerv1.Member)) {
	m := proto.CloneOf(c.self)
	change(m)
	c.self = m
	if e, ok := c.view.entries[m.GetId()]; ok {
		c.view.set(e, m, now)
		return
	}
	c.view.learn(m, now)
}

// exchange sends one heartbeat and takes the answer into account.
func (c *Controller) exchange(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Limits.Lease/2)
	defer cancel()
	sent, heartbeat := c.compose()
	req := &peerv1.Request{From: c.cfg.ID, Kind: &peerv1.Request_Heartbeat{Heartbeat: heartbeat}}
	res, err := c.cfg.Caller.Call(ctx, address, req)
	c.cfg.Metrics.Counter("membership_heartbeats_total").Add(1)
	c.cfg.Metrics.Counter("membership_heartbeat_bytes_total").Add(int64(proto.Size(req)))
	c.finish(address, err)
	if err != nil || res.GetHeartbeat() == nil {
		return
	}
	c.cfg.Metrics.Counter("membership_heartbeat_bytes_total").Add(int64(proto.Size(res)))
	ack := res.GetHeartbeat()
	c.acked(sent, heartbeat, ack)
	own := c.cfg.Board.Configuration.Get()
	if ack.GetVersion() > own.Version || ack.GetStagedVersion() > max(own.Version, own.StagedVersion) {
		c.ensure(ctx, ack.GetVersion(), ack.GetStagedVersion(), address)
	}
}

func (c *Controller) ensure(ctx context.Context, version, staged uint64, address string) {
	if err := c.cfg.Configuration.Ensure(ctx, version, staged, address); err != nil {
		c.cfg.Log.Debug("the newer configuration could not be fetched", zap.String("address", address), zap.Error(err))
	}
}

// compose makes a heartbeat and notes when it was made.
func (c *Controller) compose() (time.Duration, *peerv1.Heartbeat) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.holding.settle(now)
	own := c.cfg.Board.Configuration.Get()
	return now, &peerv1.Heartbeat{
		Sender: c.self, Version: own.Version, StagedVersion: own.StagedVersion,
		MembersDigest: c.view.digest, Registered: c.holding.registered,
	}
}

func (c *Controller) finish(address string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := c.callTo(address)
	state.busy = false
	now := c.cfg.Clock()
	if err != nil && !state.failed {
		state.failingSince = now
	}
	state.failed = err != nil
	if state.failed {
		state.failedAt = now
	}
}

// HasSuspects tells whether a registered member that this instance sends heartbeats
// to has neither answered nor been heard of for long.
func (c *Controller) HasSuspects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	for id, e := range c.view.entries {
		state, ok := c.calls[e.member.GetPeerAddress()]
		if ok && id != c.cfg.ID && e.member.GetRegistered() && state.failed &&
			now-state.failingSince > suspectAfter && now-e.heard > suspectAfter {
			return true
		}
	}
	return false
}

func (c *Controller) acked(sent time.Duration, told *peerv1.Heartbeat, ack *peerv1.HeartbeatAck) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.cfg.Clock()
	c.learnAll(ack.GetMembers(), now)
	sender := ack.GetResponder()
	if told.GetRegistered() && sender.GetFailureDomain() == c.cfg.FailureDomain {
		c.met[sender.GetId()] = true
	}
	if e, ok := c.view.entries[sender.GetId()]; ok {
		e.heard, e.version = now, ack.GetVersion()
	}
	length := time.Duration(ack.GetLeaseMs()) * time.Millisecond
	if told.GetSender().GetIncarnation() != c.self.GetIncarnation() {
		return
	}
	contacts := make(map[string]time.Duration, len(ack.GetContactMs()))
	for domain, age := range ack.GetContactMs() {
		contacts[domain] = time.Duration(age) * time.Millisecond
	}
	c.holding.acked(now, sent, length, sender.GetFailureDomain(), contacts)
	if length > 0 {
		c.holders[sender.GetId()] = now
	}
	c.publish(now)
}

// learnAll takes up members that a peer told of. The caller holds mu.
func (c *Controller) learnAll(members []*peerv1.Member, now time.Duration) {
	for _, m := range members {
		if m.GetId() != c.cfg.ID {
			c.view.learn(m, now)
			continue
		}
		if m.GetRemoved() && m.GetIncarnation() == c.self.GetIncarnation() {
			c.takenOut(now)
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
		c.ended(sender, now)
		return &peerv1.Response{Kind: &peerv1.Response_Heartbeat{Heartbeat: &peerv1.HeartbeatAck{Responder: c.self}}}
	}
	_, known := c.view.entries[sender.GetId()]
	c.view.learn(sender, now)
	if e, ok := c.view.entries[sender.GetId()]; ok {
		e.heard, e.version = now, heartbeat.GetVersion()
	}
	own := c.cfg.Board.Configuration.Get()
	ack := &peerv1.HeartbeatAck{
		Version: own.Version, StagedVersion: own.StagedVersion,
		MembersDigest: c.view.digest, Responder: c.self,
	}
	if heartbeat.GetMembersDigest() != c.view.digest {
		ack.Members = c.view.news(!known, now)
	}
	c.grantTo(heartbeat, ack, now)
	return &peerv1.Response{Kind: &peerv1.Response_Heartbeat{Heartbeat: ack}}
}

// ended notes that a member has given up its leases. The caller holds mu.
func (c *Controller) ended(member *peerv1.Member, now time.Duration) {
	c.view.remove(member.GetId(), member.GetIncarnation(), now)
	if g, ok := c.grants[member.GetId()]; ok && g.member.GetIncarnation() == member.GetIncarnation() {
		delete(c.grants, member.GetId())
	}
}

// grantTo decides on a lease for the sender and records it. The caller holds mu,
// which makes the decision atomic against Vouching.
func (c *Controller) grantTo(heartbeat *peerv1.Heartbeat, ack *peerv1.HeartbeatAck, now time.Duration) {
	sender := heartbeat.GetSender()
	if e, ok := c.view.entries[sender.GetId()]; ok &&
		(e.member.GetRemoved() || e.member.GetIncarnation() != sender.GetIncarnation()) {
		return
	}
	length := c.holding.grant(now, asker{
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
	ack.ContactMs = make(map[string]int64, len(c.holding.contacts))
	for domain, at := range c.holding.contacts {
		ack.ContactMs[domain] = (now - at).Milliseconds() + 1
	}
}
