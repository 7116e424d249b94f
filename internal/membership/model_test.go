package membership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, standard := range map[string]string{"rapid.seed": "1", "rapid.checks": "30", "rapid.steps": "120"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, standard)
		}
	}
	code := m.Run()
	if err := goleak.Find(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// model drives real controllers without goroutines. The test controls time, links,
// the table and the acceptance of changes.
type model struct {
	t        *rapid.T
	now      time.Duration
	limits   Limits
	rows     map[string]platform.Row
	revision platform.Revision
	nodes    map[string]*node
	started  int
	cutLinks map[string]bool // cut links between two nodes, or a node and the table
	change   *modelChange
	delayed  []func()
	removed  int // members removed by accepted changes
}

// node is one instance; a frozen one does nothing but may hold a lease.
type node struct {
	c            *Controller
	m            *model
	poll         pollState
	frozen       bool
	deregisterAt time.Duration // when its row may be deleted; 0 while it is not leaving
}

type modelChange struct {
	next        uint64
	epoch       platform.Revision
	head        platform.Revision
	removals    map[string]platform.Revision
	contacts    map[string]platform.Revision
	staged      map[string]bool
	removalOnly bool // nothing is staged, only members with an expired lease are removed
}

var errModel = errors.New("no answer")

func (m *model) Get(_ context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = m.rows[key]
		rows[i].Key = key
	}
	return rows, m.wall(), nil
}

func (m *model) List(_ context.Context, prefix string) ([]platform.Row, time.Time, error) {
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(m.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, m.rows[key])
		}
	}
	return rows, m.wall(), nil
}

func (m *model) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	for _, c := range conditions {
		if m.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}, nil
		}
	}
	m.revision++
	for _, w := range writes {
		if w.Delete {
			delete(m.rows, w.Key)
			continue
		}
		m.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: m.revision}
	}
	return platform.CommitResult{Applied: true, Revision: m.revision, Now: m.wall()}, nil
}

func (m *model) wall() time.Time { return time.UnixMilli(0).Add(m.now + 1000*time.Hour) }

func (m *model) head() uint64 {
	head, err := fleetconfig.DecodeHead(m.rows[HeadRow].Value)
	require.NoError(m.t, err)
	return head.Version
}

// Call is never used: the model delivers heartbeats itself.
func (n *node) Call(context.Context, string, *peerv1.Request) (*peerv1.Response, error) {
	return nil, errModel
}

// Ensure brings the node to the table's version; versions of peers are applied by
// exchange.
func (n *node) Ensure(_ context.Context, version, _ uint64, _ string) error {
	if n.version() < version {
		n.setConfiguration(n.m.head(), 0)
	}
	return nil
}

func (n *node) version() uint64 { return n.c.cfg.Board.Configuration.Get().Version }
func (n *node) staged() uint64  { return n.c.cfg.Board.Configuration.Get().StagedVersion }

func (n *node) setConfiguration(version, staged uint64) {
	view := fleetconfig.Compile(&configv1.Configuration{Version: version})
	view.StagedVersion = staged
	n.c.cfg.Board.Configuration.Set(view)
}

func (n *node) valid() bool { return n.c.leaseState.current().Valid(n.m.now) }

func (m *model) start(id, domain string) {
	n := &node{m: m}
	c, err := New(Config{
		ID: id, FailureDomain: domain, PeerAddress: id, Board: blackboard.NewBoard(), Table: m, Caller: n,
		Configuration: n, Limits: m.limits, Clock: func() time.Duration { return m.now },
	})
	require.NoError(m.t, err)
	m.started++
	c.self.Incarnation = uint64(m.started)
	n.c = c
	m.nodes[id] = n
}

func linkKey(a, b string) string { return min(a, b) + "|" + max(a, b) }

func (m *model) linked(a, b string) bool { return !m.cutLinks[linkKey(a, b)] }

func (m *model) ids() []string { return slices.Sorted(maps.Keys(m.nodes)) }

func (m *model) pick(label string) *node {
	if len(m.nodes) == 0 {
		m.t.Skip("no instance")
	}
	return m.nodes[rapid.SampledFrom(m.ids()).Draw(m.t, label)]
}

// exchange delivers one heartbeat; its answer may be delayed or lost.
func (m *model) exchange(a, b *node, fate int) {
	if a == b || a.frozen || b.frozen || !m.linked(a.c.cfg.ID, b.c.cfg.ID) {
		return
	}
	sent, heartbeat := a.c.composeHeartbeat()
	res := b.c.HandleHeartbeat(context.Background(), &peerv1.Request{Kind: &peerv1.Request_Heartbeat{Heartbeat: heartbeat}})
	ack := res.GetHeartbeat()
	if ack == nil {
		return
	}
	deliver := func() {
		a.c.handleAck(sent, heartbeat, ack)
		if b.valid() && (b.version() > a.version() || b.version() == a.version() && b.staged() > a.staged()) {
			a.setConfiguration(b.version(), b.staged())
		}
	}
	switch fate {
	case 0:
		m.delayed = append(m.delayed, deliver)
	case 1:
	default:
		deliver()
	}
}

func (m *model) tick() {
	for _, id := range m.ids() {
		n := m.nodes[id]
		if n.frozen {
			continue
		}
		n.c.tick()
		if m.linked(id, "table") {
			n.pollTable()
		}
	}
}

func (n *node) pollTable() {
	n.c.pollTable(context.Background(), &n.poll)
	if change := n.m.change; n.staged() > n.version() && (change == nil || change.next != n.staged()) {
		if n.m.head() >= n.staged() {
			n.setConfiguration(n.m.head(), 0)
		} else {
			n.setConfiguration(n.version(), 0)
		}
	}
	if n.deregisterAt != 0 && n.m.now >= n.deregisterAt {
		if done, _ := n.c.deleteOwnRow(context.Background()); done {
			delete(n.m.nodes, n.c.cfg.ID)
		}
	}
}

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

// check fails unless every instance with a valid lease serves by the accepted
// version, or by what its own and the accepted version both allow.
func (m *model) check() {
	for id, n := range m.nodes {
		if n.valid() && n.version() < m.head() && n.staged() != m.head() {
			m.t.Fatalf("%s serves version %d staged %d while %d is accepted, at %v", id, n.version(), n.staged(), m.head(), m.now)
		}
	}
}

func (m *model) advance(d time.Duration) {
	for end := m.now + d; m.now < end; {
		m.now = min(m.now+time.Second, end)
		m.tick()
		m.exchangeAll()
		m.check()
	}
}

func (m *model) exchangeAll() {
	for _, a := range m.ids() {
		for _, b := range m.ids() {
			if m.nodes[a] != nil && m.nodes[b] != nil {
				m.exchange(m.nodes[a], m.nodes[b], 2)
			}
		}
	}
}

func newModel(t *rapid.T, domains []string, perDomain int) *model {
	m := &model{
		t: t, limits: Limits{Lease: DefaultLease, Margin: DefaultMargin, Isolation: 20 * time.Second},
		rows: make(map[string]platform.Row), nodes: make(map[string]*node), cutLinks: make(map[string]bool),
		now: time.Hour,
	}
	for _, domain := range domains {
		for k := range perDomain {
			m.start(fmt.Sprintf("%s%d", domain, k), domain)
		}
	}
	return m
}

func (m *model) steps(domains []string) map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        func(*rapid.T) { m.check() },
		"advance": func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond) },
		"wait":    func(t *rapid.T) { m.advance(time.Duration(rapid.IntRange(6, 60).Draw(t, "s")) * time.Second) },
		"skip": func(t *rapid.T) { // all instances are paused
			m.now += time.Duration(rapid.IntRange(1, 5000).Draw(t, "ms")) * time.Millisecond
		},
		"exchange": func(t *rapid.T) {
			m.exchange(m.pick("from"), m.pick("to"), rapid.IntRange(0, 3).Draw(t, "fate"))
		},
		"deliver late": func(*rapid.T) {
			for _, deliver := range m.delayed {
				deliver()
			}
			m.delayed = nil
		},
		"cut pair":  func(*rapid.T) { m.cutLinks[linkKey(m.pick("a").c.cfg.ID, m.pick("b").c.cfg.ID)] = true },
		"cut table": func(*rapid.T) { m.cutLinks[linkKey(m.pick("a").c.cfg.ID, "table")] = true },
		"cut apart": func(t *rapid.T) { m.cutApart(t, domains) },
		"heal":      func(*rapid.T) { m.cutLinks = make(map[string]bool) },
		"freeze":    func(*rapid.T) { m.pick("a").frozen = true },
		"thaw":      func(*rapid.T) { m.pick("a").frozen = false },
		"crash":     func(*rapid.T) { delete(m.nodes, m.pick("a").c.cfg.ID) },
		"join":      func(t *rapid.T) { m.join(t, domains) },
		"leave":     func(*rapid.T) { n := m.pick("a"); n.deregisterAt = m.now + n.c.endLease() },
		"begin":     func(*rapid.T) { m.begin(m.pick("coordinator"), false) },
		"sweep":     func(*rapid.T) { m.begin(m.pick("coordinator"), true) },
		"commit":    func(*rapid.T) { m.commit() },
		"accept":    func(*rapid.T) { m.begin(m.pick("coordinator"), false); m.commit() },
		"resolve":   func(*rapid.T) { m.resolve(m.pick("a")) },
		"resolve all": func(*rapid.T) {
			for _, id := range m.ids() {
				m.resolve(m.nodes[id])
			}
		},
	}
}

// cutApart cuts a set of domains off from the others and optionally the table.
func (m *model) cutApart(t *rapid.T, domains []string) {
	inside := make(map[string]bool)
	for _, domain := range domains {
		inside[domain] = rapid.Bool().Draw(t, domain)
	}
	table := rapid.Bool().Draw(t, "table")
	for _, a := range m.ids() {
		for _, b := range m.ids() {
			if inside[m.nodes[a].c.cfg.FailureDomain] != inside[m.nodes[b].c.cfg.FailureDomain] {
				m.cutLinks[linkKey(a, b)] = true
			}
		}
		if table && inside[m.nodes[a].c.cfg.FailureDomain] {
			m.cutLinks[linkKey(a, "table")] = true
		}
	}
}

func (m *model) join(t *rapid.T, domains []string) {
	domain := rapid.SampledFrom(domains).Draw(t, "domain")
	id := fmt.Sprintf("%s%d", domain, rapid.IntRange(0, 4).Draw(t, "n"))
	if _, runs := m.nodes[id]; !runs {
		m.start(id, domain)
	}
}

func TestNoOlderVersionIsServedAfterAcceptance(t *testing.T) {
	for _, shape := range []struct {
		domains   []string
		perDomain int
	}{
		{[]string{"a"}, 3},
		{[]string{"a", "b"}, 2},
		{[]string{"a", "b", "c"}, 1},
		{[]string{"a", "b", "c"}, 3},
		{[]string{"a", "b", "c", "d", "e"}, 2},
	} {
		t.Run(fmt.Sprintf("%d domains of %d", len(shape.domains), shape.perDomain), func(t *testing.T) {
			accepted, removed := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				m := newModel(t, shape.domains, shape.perDomain)
				m.advance(5 * time.Second)
				t.Repeat(m.steps(shape.domains))
				accepted += int(m.head())
				removed += m.removed
			})
			require.Positive(t, accepted)
			require.Positive(t, removed)
			t.Logf("%d changes accepted, %d members removed", accepted, removed)
		})
	}
}
