package configuration

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// round is the state of staging one attempt at all members.
type round struct {
	mu      sync.Mutex
	members map[string]*peerv1.Member   // guarded by mu; everyone to be staged
	acks    map[string]*peerv1.StageAck // guarded by mu; the latest of those that staged
	reasons map[string]string           // guarded by mu; why the others did not

	gone      []memberRow    // members whose lease has surely lapsed
	contacts  []platform.Row // contact rows that were relied on
	removedAt time.Time      // table time after which the gone ones held no lease
}

func newRound() *round {
	return &round{members: make(map[string]*peerv1.Member)}
}

// told lists everyone who may have been told of the attempt.
func (r *round) told() []*peerv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*peerv1.Member, 0, len(r.members))
	for _, m := range r.members {
		all = append(all, m)
	}
	return all
}

// stagedOf keeps the members that have acknowledged the attempt.
func (r *round) stagedOf(members []*peerv1.Member) []*peerv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var staged []*peerv1.Member
	for _, m := range members {
		if _, ok := r.acks[m.GetId()]; ok {
			staged = append(staged, m)
		}
	}
	return staged
}

func (r *round) goneIDs() []string {
	ids := make([]string, 0, len(r.gone))
	for _, m := range r.gone {
		ids = append(ids, m.member.GetId())
	}
	return ids
}

// stageEverywhere stages the attempt at all registered members and at all that
// hold leases of them, until each has staged it or has surely no lease.
func (c *Controller) stageEverywhere(ctx context.Context, a *attempt) error {
	if a.round == nil {
		a.round = newRound()
	}
	for {
		c.stageRound(ctx, a)
		missing := c.judge(ctx, a)
		if missing == nil {
			return nil
		}
		if !c.pauseUntil(ctx, a.deadline, restagePause) {
			return missing
		}
	}
}

// stageRound asks everyone afresh, so that all vouching is of this round, and
// follows the lease holders that the answers name.
func (c *Controller) stageRound(ctx context.Context, a *attempt) {
	r := a.round
	r.mu.Lock()
	r.acks, r.reasons = make(map[string]*peerv1.StageAck), make(map[string]string)
	waiting := make([]*peerv1.Member, 0, len(a.found.members))
	for _, m := range a.found.members {
		r.members[m.member.GetId()] = m.member
		waiting = append(waiting, m.member)
	}
	r.mu.Unlock()
	asked := make(map[string]bool)
	if self := c.membership.Self(); r.members[self.GetId()] == nil {
		waiting = append(waiting, self)
	}
	for len(waiting) > 0 {
		for _, m := range waiting {
			asked[m.GetId()] = true
		}
		c.stageAt(ctx, a, waiting)
		waiting = r.holdersNotIn(asked)
	}
}

// holdersNotIn lists the lease holders that nobody has asked yet.
func (r *round) holdersNotIn(asked map[string]bool) []*peerv1.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make(map[string]*peerv1.Member)
	for _, ack := range r.acks {
		for _, m := range ack.GetLeaseHolders() {
			if !asked[m.GetId()] {
				found[m.GetId()] = m
			}
		}
	}
	list := make([]*peerv1.Member, 0, len(found))
	for id, m := range found {
		if r.members[id] == nil {
			r.members[id] = m
		}
		list = append(list, m)
	}
	return list
}

func (c *Controller) stageAt(ctx context.Context, a *attempt, members []*peerv1.Member) {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(c.cfg.StageConcurrency)
	for _, m := range members {
		group.Go(func() error {
			ack, reason := c.stageOne(ctx, a.stage, m)
			a.round.note(m.GetId(), ack, reason)
			return nil
		})
	}
	_ = group.Wait()
}

func (c *Controller) stageOne(ctx context.Context, s *peerv1.Stage, m *peerv1.Member) (*peerv1.StageAck, string) {
	if m.GetId() == c.cfg.ID {
		ack := c.stage(ctx, s)
		return ack, ack.GetReason()
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	res, err := c.cfg.Caller.Call(ctx, m.GetPeerAddress(), &peerv1.Request{
		From: c.cfg.ID, Kind: &peerv1.Request_Stage{Stage: s},
	})
	if err != nil {
		return nil, err.Error()
	}
	return res.GetStage(), res.GetStage().GetReason()
}

func (r *round) note(id string, ack *peerv1.StageAck, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ack.GetStaged() {
		r.acks[id] = ack
		return
	}
	r.reasons[id] = reason
}

// judge decides whether everyone has staged the attempt or has surely lapsed.
// It returns nil then, and else the refusal that names the failure domains.
func (c *Controller) judge(ctx context.Context, a *attempt) *Refusal {
	r := a.round
	r.gone, r.contacts = nil, nil
	missing, unregistered := r.missing(a.found.members)
	if len(unregistered) > 0 {
		return stillServing("instances without a row could still serve by the older version, in", unregistered, r)
	}
	if len(missing) == 0 {
		return nil
	}
	c.stageAt(ctx, a, r.stagedOf(r.told()))
	evidence, contacts, now, err := c.evidence(ctx, a, missing)
	if err != nil {
		return refuse(RefusedUnavailable, err, "the platform's table does not answer")
	}
	domains := membership.StillServing(evidence, c.membership.Limits())
	if len(domains) > 0 {
		return stillServing("instances that cannot be reached could still serve by the older version, in", domains, r)
	}
	r.gone, r.contacts, r.removedAt = missing, contacts, now
	return nil
}

func stillServing(message string, domains []string, r *round) *Refusal {
	refusal := refuse(RefusedUnavailable, nil, "%s", message)
	refusal.Domains = domains
	for id, reason := range r.reasons {
		refusal.Cause = refuse(RefusedUnavailable, nil, "instance %s: %s", id, reason)
		break
	}
	return refusal
}

// missing returns the registered members that have not staged the attempt, and
// the domains of lease holders without a row that have not.
func (r *round) missing(rows []memberRow) (missing []memberRow, unregistered []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	registered := make(map[string]bool, len(rows))
	for _, row := range rows {
		registered[row.member.GetId()] = true
		if _, ok := r.acks[row.member.GetId()]; !ok {
			missing = append(missing, row)
		}
	}
	holders := make(map[string]bool)
	for _, ack := range r.acks {
		for _, m := range ack.GetLeaseHolders() {
			id := m.GetId()
			if _, ok := r.acks[id]; !ok && !registered[id] && !holders[id] {
				holders[id] = true
				unregistered = append(unregistered, m.GetFailureDomain())
			}
		}
	}
	return missing, unregistered
}
