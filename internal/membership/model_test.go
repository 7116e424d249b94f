package membership

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
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
