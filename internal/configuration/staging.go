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

// staging is the state of staging one attempt at all members.
type staging struct {
	mu      sync.Mutex
	members map[string]*peerv1.Member   // guarded by mu; all that must stage the attempt
	acks    map[string]*peerv1.StageAck // guarded by mu; the latest of each member that staged it
	reasons map[string]string           // guarded by mu; why the other members did not

	expired   []memberRow    // members whose lease has provably expired
	contacts  []platform.Row // contact rows that the proof relies on
	removedAt time.Time      // table time by which the expired members held no lease
}

func newStaging() *staging {
	return &staging{members: make(map[string]*peerv1.Member)}
}

// contacted returns all members that may know of the attempt.
func (st *staging) contacted() []*peerv1.Member {
	st.mu.Lock()
	defer st.mu.Unlock()
	all := make([]*peerv1.Member, 0, len(st.members))
	for _, m := range st.members {
		all = append(all, m)
	}
	return all
}

// filterAcknowledged returns those of the members that acknowledged the attempt.
func (st *staging) filterAcknowledged(members []*peerv1.Member) []*peerv1.Member {
	st.mu.Lock()
	defer st.mu.Unlock()
	var staged []*peerv1.Member
	for _, m := range members {
		if _, ok := st.acks[m.GetId()]; ok {
			staged = append(staged, m)
		}
	}
	return staged
}

func (st *staging) expiredIDs() []string {
	ids := make([]string, 0, len(st.expired))
	for _, m := range st.expired {
		ids = append(ids, m.member.GetId())
	}
	return ids
}

// stageEverywhere stages the attempt at all registered members and at all holders
// of leases that they granted. It repeats this until each has staged the attempt
// or provably has no lease.
func (c *Controller) stageEverywhere(ctx context.Context, a *attempt) error {
	if a.staging == nil {
		a.staging = newStaging()
	}
	for {
		c.stageRound(ctx, a)
		refusal := c.checkComplete(ctx, a)
		if refusal == nil {
			return nil
		}
		if !c.sleepBefore(ctx, a.deadline, restageInterval) {
			return refusal
		}
	}
}

// stageRound sends the attempt to every member again, so that all grant reports
// are from this round, and then to the lease holders that the responses name.
func (c *Controller) stageRound(ctx context.Context, a *attempt) {
	st := a.staging
	st.mu.Lock()
	st.acks, st.reasons = make(map[string]*peerv1.StageAck), make(map[string]string)
	waiting := make([]*peerv1.Member, 0, len(a.state.members))
	for _, m := range a.state.members {
		st.members[m.member.GetId()] = m.member
		waiting = append(waiting, m.member)
	}
	st.mu.Unlock()
	contacted := make(map[string]bool)
	if self := c.membership.Self(); st.members[self.GetId()] == nil {
		waiting = append(waiting, self)
	}
	for len(waiting) > 0 {
		for _, m := range waiting {
			contacted[m.GetId()] = true
		}
		c.stageAtMembers(ctx, a, waiting)
		waiting = st.uncontactedHolders(contacted)
	}
}

// uncontactedHolders returns the lease holders that have not been contacted yet.
func (st *staging) uncontactedHolders(contacted map[string]bool) []*peerv1.Member {
	st.mu.Lock()
	defer st.mu.Unlock()
	holders := make(map[string]*peerv1.Member)
	for _, ack := range st.acks {
		for _, m := range ack.GetLeaseHolders() {
			if !contacted[m.GetId()] {
				holders[m.GetId()] = m
			}
		}
	}
	list := make([]*peerv1.Member, 0, len(holders))
	for id, m := range holders {
		if st.members[id] == nil {
			st.members[id] = m
		}
		list = append(list, m)
	}
	return list
}

func (c *Controller) stageAtMembers(ctx context.Context, a *attempt, members []*peerv1.Member) {
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(c.cfg.StageConcurrency)
	for _, m := range members {
		group.Go(func() error {
			ack, reason := c.stageAtMember(ctx, a.stage, m)
			a.staging.record(m.GetId(), ack, reason)
			return nil
		})
	}
	_ = group.Wait()
}

func (c *Controller) stageAtMember(ctx context.Context, s *peerv1.Stage, m *peerv1.Member) (*peerv1.StageAck, string) {
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

func (st *staging) record(id string, ack *peerv1.StageAck, reason string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if ack.GetStaged() {
		st.acks[id] = ack
		return
	}
	st.reasons[id] = reason
}

// checkComplete returns nil if every member has staged the attempt or its lease
// has provably expired, and otherwise a refusal that names the failure domains
// that could still serve by the older version.
func (c *Controller) checkComplete(ctx context.Context, a *attempt) *Refusal {
	st := a.staging
	st.expired, st.contacts = nil, nil
	missing, unregistered := st.missing(a.state.members)
	if len(unregistered) > 0 {
		return refuseStillServing("instances without a row could still serve by the older version, in", unregistered, st)
	}
	if len(missing) == 0 {
		return nil
	}
	// Renews the grant reports of the members that staged the attempt.
	c.stageAtMembers(ctx, a, st.filterAcknowledged(st.contacted()))
	evidence, contacts, now, err := c.evidence(ctx, a, missing)
	if err != nil {
		return refuse(RefusedUnavailable, err, "the platform's table does not answer")
	}
	domains := membership.StillServing(evidence, c.membership.Limits())
	if len(domains) > 0 {
		return refuseStillServing("instances that cannot be reached could still serve by the older version, in", domains, st)
	}
	st.expired, st.contacts, st.removedAt = missing, contacts, now
	return nil
}

// refuseStillServing returns a refusal that names the domains. Its cause is the reason of
// one of the members that did not stage the attempt.
func refuseStillServing(message string, domains []string, st *staging) *Refusal {
	refusal := refuse(RefusedUnavailable, nil, "%s", message)
	refusal.Domains = domains
	for id, reason := range st.reasons {
		refusal.Cause = refuse(RefusedUnavailable, nil, "instance %s: %s", id, reason)
		break
	}
	return refusal
}

// missing returns the registered members that have not staged the attempt, and
// the failure domains of unregistered lease holders that have not.
func (st *staging) missing(rows []memberRow) (missing []memberRow, unregistered []string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	registered := make(map[string]bool, len(rows))
	for _, row := range rows {
		registered[row.member.GetId()] = true
		if _, ok := st.acks[row.member.GetId()]; !ok {
			missing = append(missing, row)
		}
	}
	holders := make(map[string]bool)
	for _, ack := range st.acks {
		for _, m := range ack.GetLeaseHolders() {
			id := m.GetId()
			if _, ok := st.acks[id]; !ok && !registered[id] && !holders[id] {
				holders[id] = true
				unregistered = append(unregistered, m.GetFailureDomain())
			}
		}
	}
	return missing, unregistered
}
