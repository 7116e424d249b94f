package membership

import (
	"context"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// begin stages a change at all instances that the coordinator reaches and aborts
// it if any other instance may still serve.
func (m *model) begin(coordinator *node, removalOnly bool) {
	if m.change != nil || coordinator.frozen || !m.linked(coordinator.c.cfg.ID, "table") {
		return
	}
	change := &modelChange{
		next: m.head() + 1, epoch: m.rows[EpochRow].Revision, head: m.rows[HeadRow].Revision,
		removals: make(map[string]platform.Revision), contacts: make(map[string]platform.Revision), staged: make(map[string]bool),
		removalOnly: removalOnly,
	}
	if removalOnly {
		change.next = math.MaxUint64
	}
	m.change = change
	members := m.registered()
	e, ok := m.stageAll(coordinator, change, members)
	if !ok || len(StillServing(e, m.limits)) > 0 {
		m.abort()
		return
	}
	for _, missing := range e.Missing {
		change.removals[missing.ID] = m.rows[MemberRow(missing.ID)].Revision
		change.contacts[ContactRow(missing.Domain)] = m.rows[ContactRow(missing.Domain)].Revision
	}
}

func (m *model) registered() []*peerv1.Member {
	rows, _, _ := m.List(context.Background(), memberPrefix)
	var members []*peerv1.Member
	for _, row := range rows {
		member, err := DecodeMember(row.Key, row.Value)
		require.NoError(m.t, err)
		members = append(members, member)
	}
	return members
}

// stage stages the change at one instance and returns its grant report and the
// holders of its grants.
func (m *model) stage(coordinator *node, id string, change *modelChange) (GrantReport, []*peerv1.Member, bool) {
	n, ok := m.nodes[id]
	if !ok || n.frozen || n != coordinator && !m.linked(id, coordinator.c.cfg.ID) {
		return GrantReport{}, nil, false
	}
	if change.removalOnly {
		report, holders := n.c.ReportGrants()
		return report, holders, true
	}
	if n.version() != change.next-1 && !m.linked(id, "table") {
		return GrantReport{}, nil, false
	}
	n.setConfiguration(change.next-1, change.next)
	change.staged[id] = true
	report, holders := n.c.ReportGrants()
	return report, holders, true
}

func (m *model) stageAll(coordinator *node, change *modelChange, members []*peerv1.Member) (Evidence, bool) {
	e := m.evidence()
	holders := make(map[string]bool)
	isMember := make(map[string]bool)
	for _, member := range members {
		isMember[member.GetId()] = true
		report, granted, ok := m.stage(coordinator, member.GetId(), change)
		if !ok {
			e.Missing = append(e.Missing, Missing{
				ID: member.GetId(), Domain: member.GetFailureDomain(),
				SinceRegistered: m.wall().Sub(time.UnixMilli(member.GetRegisteredUnixMs())),
			})
			continue
		}
		e.Reachable = append(e.Reachable, report)
		for _, holder := range granted {
			holders[holder.GetId()] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(holders)) {
		if isMember[id] {
			continue
		}
		if _, _, ok := m.stage(coordinator, id, change); !ok {
			return e, false
		}
	}
	return e, true
}

func (m *model) evidence() Evidence {
	epoch, err := DecodeEpoch(m.rows[EpochRow].Value)
	require.NoError(m.t, err)
	age := func(at int64) time.Duration { return m.wall().Sub(time.UnixMilli(at)) }
	e := Evidence{
		SinceRemoval: Forever, SinceDepartedGrant: map[string]time.Duration{},
		SinceContact: map[string]time.Duration{}, DomainAge: map[string]time.Duration{},
	}
	if epoch.GetRemovedUnixMs() != 0 {
		e.SinceRemoval = age(epoch.GetRemovedUnixMs())
	}
	for domain, at := range epoch.GetGrantedUnixMs() {
		e.SinceDepartedGrant[domain] = age(at)
	}
	for domain, at := range epoch.GetDomainSinceUnixMs() {
		e.DomainAge[domain] = age(at)
	}
	for key, row := range m.rows {
		if strings.HasPrefix(key, contactPrefix) {
			at, err := strconv.ParseInt(string(row.Value), 10, 64)
			require.NoError(m.t, err)
			e.SinceContact[ContactDomain(key)] = age(at)
		}
	}
	return e
}

func (m *model) abort() {
	for _, n := range m.nodes {
		if n.staged() == m.change.next {
			n.setConfiguration(n.version(), 0)
		}
	}
	m.change = nil
}

// commit accepts the change if the rows that it relies on are unchanged.
func (m *model) commit() bool {
	change := m.change
	if change == nil {
		return false
	}
	if change.removalOnly && len(change.removals) == 0 {
		m.change = nil
		return false
	}
	conditions := []platform.Condition{{Key: EpochRow, Revision: change.epoch}, {Key: HeadRow, Revision: change.head}}
	head, _, err := fleetconfig.Encode(&configv1.Configuration{Version: change.next})
	require.NoError(m.t, err)
	writes := []platform.Write{{Key: HeadRow, Value: head}}
	if change.removalOnly {
		conditions, writes = conditions[:1], nil
	}
	for key, revision := range change.contacts {
		conditions = append(conditions, platform.Condition{Key: key, Revision: revision})
	}
	for id, revision := range change.removals {
		conditions = append(conditions, platform.Condition{Key: MemberRow(id), Revision: revision})
		writes = append(writes, platform.Write{Key: MemberRow(id), Delete: true})
	}
	if len(change.removals) > 0 {
		epoch, err := DecodeEpoch(m.rows[EpochRow].Value)
		require.NoError(m.t, err)
		epoch.Count++
		epoch.RemovedUnixMs = m.wall().UnixMilli()
		value, err := EncodeEpoch(epoch)
		require.NoError(m.t, err)
		writes = append(writes, platform.Write{Key: EpochRow, Value: value})
	}
	if result, _ := m.Commit(context.Background(), conditions, writes); !result.Applied {
		m.abort()
		return false
	}
	m.change = nil
	m.removed += len(change.removals)
	return true
}

// resolve reports the accepted change to an instance that staged it.
func (m *model) resolve(n *node) {
	if !n.frozen && n.staged() == m.head() {
		n.setConfiguration(m.head(), 0)
	}
}
