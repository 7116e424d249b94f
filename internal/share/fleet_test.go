package share

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/admission"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// node is one instance of an in-memory fleet.
type node struct {
	fleet      *fleet
	member     blackboard.Member
	board      *blackboard.Board
	controller *Controller
	admit      *admission.Controller
	stop       context.CancelFunc
	done       chan struct{}

	mu     sync.Mutex
	paused chan struct{} // nil while running; guarded by mu
	failed bool          // guarded by mu; calls from and to it have no effect
}

// gate blocks while the instance is paused. It reports false when the instance has
// failed.
func (n *node) gate() bool {
	n.mu.Lock()
	paused := n.paused
	n.mu.Unlock()
	if paused != nil {
		<-paused
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.failed
}

func (n *node) pause() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused = make(chan struct{})
}

func (n *node) resume() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused)
	n.paused = nil
}

// fleet consists of instances, a table and the network between them, in virtual
// time.
type fleet struct {
	t           *testing.T
	table       *memoryTable
	startedAt   time.Time
	view        *fleetconfig.View
	configure   func(*Config)
	random      *rand.Rand
	loadContext context.Context // ends with the load
	// equalShares is the number of equal parts that limits are divided into,
	// without a share controller; 0 for none.
	equalShares int

	mu     sync.Mutex
	nodes  map[string]*node
	killed []*node
	// cut reports whether the link from one place to another is cut; places are
	// failure domains or "table".
	cut          func(from, to string) bool
	admitted     map[string][]time.Time // by organisation
	offered      map[string]int
	refused      map[string]int
	idealBuckets map[string]*idealBucket
	wrongful     map[string]int
}

// idealBucket is the organisation's limit as one bucket for the whole fleet.
type idealBucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *idealBucket) advance(now time.Time) {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
}

func newFleet(t *testing.T, view *fleetconfig.View, configure func(*Config)) *fleet {
	return &fleet{
		t: t, table: newMemoryTable(), startedAt: time.Now(), view: view, configure: configure,
		random: rand.New(rand.NewPCG(1, 2)),
		nodes:  make(map[string]*node), cut: func(string, string) bool { return false },
		admitted: make(map[string][]time.Time), offered: make(map[string]int),
		refused: make(map[string]int), wrongful: make(map[string]int), idealBuckets: make(map[string]*idealBucket),
	}
}

func (f *fleet) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

func (f *fleet) isCut(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut(from, to) || f.cut(to, from)
}

// start adds an instance to the fleet.
func (f *fleet) start(id, domain string, incarnation uint64) *node {
	n := &node{
		fleet: f, board: blackboard.NewBoard(), done: make(chan struct{}),
		member: blackboard.Member{ID: id, FailureDomain: domain, Incarnation: incarnation, PeerAddress: id},
	}
	n.board.Configuration.Set(f.view)
	cfg := Config{
		Self: n.member, Board: n.board, Table: nodeTable{n}, Peers: nodePeers{n},
		Clock:  func() time.Duration { return time.Since(f.startedAt) + time.Hour },
		Random: func() float64 { f.mu.Lock(); defer f.mu.Unlock(); return f.random.Float64() },
	}
	if f.configure != nil {
		f.configure(&cfg)
	}
	f.mu.Lock()
	for _, other := range f.nodes {
		other.board.Members.Put(id, n.member)
		n.board.Members.Put(other.member.ID, other.member)
	}
	f.mu.Unlock()
	var err error
	n.controller, err = New(cfg)
	require.NoError(f.t, err)
	n.admit, err = admission.New(admission.Config{Board: n.board, ReportDemand: n.controller.ReportDemand})
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	if f.equalShares > 0 {
		f.assignEqualShare(n)
		close(n.done)
		return n
	}
	go func() {
		defer close(n.done)
		if err := n.controller.Run(ctx); err != nil {
			f.t.Error(err)
		}
	}()
	return n
}

// assignEqualShare gives an instance a fixed, equal share of every rate.
func (f *fleet) assignEqualShare(n *node) {
	for name, o := range f.view.Organisations {
		resource := RateResource(name)
		limit := escrow.Limit{Units: int64(f.equalShares), Rate: o.GetRate(), Burst: o.GetBurst()}
		share := &staticShare{startedAt: f.startedAt}
		share.bucket.SetLimit(0, limit)
		share.bucket.Absorb(0, escrow.Amount{Units: 1, Tokens: limit.Burst})
		n.board.Shares.Put(resource, blackboard.Share{Resource: resource, Spender: share})
	}
}

// staticShare is a share that never changes.
type staticShare struct {
	startedAt time.Time
	mu        sync.Mutex
	bucket    escrow.Bucket
}

func (s *staticShare) Take(now time.Time, n float64) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bucket.Take(now.Sub(s.startedAt), n)
}

func (s *staticShare) Units(time.Time) int { return 1 }

// startAll starts n instances spread over the failure domains.
func (f *fleet) startAll(n, domains int) []*node {
	all := make([]*node, n)
	for i := range all {
		all[i] = f.start(fmt.Sprintf("i%d", i), fmt.Sprintf("d%d", i%domains), 1)
	}
	return all
}

// kill stops an instance without a shutdown. The others notice after delay.
func (f *fleet) kill(n *node, delay time.Duration) {
	n.pause()
	n.mu.Lock()
	n.failed = true
	n.mu.Unlock()
	f.mu.Lock()
	delete(f.nodes, n.member.ID)
	f.killed = append(f.killed, n)
	f.mu.Unlock()
	time.AfterFunc(delay, func() { f.removeMember(n.member.ID) })
}

// removeMember removes an instance from the members of all others.
func (f *fleet) removeMember(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.nodes {
		other.board.Members.Delete(id)
	}
}

// shutdown ends an instance gracefully.
func (f *fleet) shutdown(n *node) {
	f.removeMember(n.member.ID)
	n.stop()
	<-n.done
	f.mu.Lock()
	delete(f.nodes, n.member.ID)
	f.mu.Unlock()
}

func (f *fleet) shutdownAll() {
	f.mu.Lock()
	all := make([]*node, 0, len(f.nodes))
	for _, n := range f.nodes {
		all = append(all, n)
	}
	f.mu.Unlock()
	for _, n := range all {
		n.stop()
	}
	for _, n := range all {
		<-n.done
	}
	for _, n := range f.killed {
		n.resume()
		n.stop()
		<-n.done
	}
	time.Sleep(time.Second) // for messages in flight
}

// nodeTable is the table as reached by one instance.
type nodeTable struct{ n *node }

func (t nodeTable) reach(ctx context.Context) error {
	if !t.n.gate() || t.n.fleet.isCut(t.n.member.FailureDomain, "table") {
		<-ctx.Done()
		return errOutage
	}
	return nil
}

func (t nodeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := t.reach(ctx); err != nil {
		return nil, time.Time{}, err
	}
	rows, now, err := t.n.fleet.table.Get(ctx, keys...)
	return rows, now, errors.Join(err, t.reach(ctx))
}

func (t nodeTable) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := t.reach(ctx); err != nil {
		return nil, time.Time{}, err
	}
	return t.n.fleet.table.List(ctx, prefix)
}

func (t nodeTable) Commit(ctx context.Context, c []platform.Condition, w []platform.Write) (platform.CommitResult, error) {
	if err := t.reach(ctx); err != nil {
		return platform.CommitResult{}, err
	}
	result, err := t.n.fleet.table.Commit(ctx, c, w)
	return result, errors.Join(err, t.reach(ctx))
}

// nodePeers is the network as reached by one instance.
type nodePeers struct{ n *node }

func (p nodePeers) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	alive := p.n.gate()
	f := p.n.fleet
	f.mu.Lock()
	to := f.nodes[address]
	f.mu.Unlock()
	if !alive || to == nil || f.isCut(p.n.member.FailureDomain, to.member.FailureDomain) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	delay := 100 * time.Microsecond
	if to.member.FailureDomain != p.n.member.FailureDomain {
		delay = 500 * time.Microsecond
	}
	response := make(chan *peerv1.Response, 1)
	go func() {
		time.Sleep(delay)
		if !to.gate() {
			return
		}
		grant := to.controller.HandleShareRequest(ctx, req.GetFrom(), req.GetShareRequest())
		time.Sleep(delay)
		if !f.isCut(p.n.member.FailureDomain, to.member.FailureDomain) {
			response <- &peerv1.Response{Kind: &peerv1.Response_ShareGrant{ShareGrant: grant}}
		}
	}()
	select {
	case r := <-response:
		p.n.gate()
		return r, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// request offers one statement to an instance and records the outcome.
func (f *fleet) request(n *node, organisation string) {
	if !n.gate() {
		return
	}
	err := n.admit.Admit(context.Background(), organisation)
	n.gate()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.offered[organisation]++
	b := f.idealBuckets[organisation]
	b.advance(time.Now())
	if err == nil {
		b.tokens--
		f.admitted[organisation] = append(f.admitted[organisation], time.Now())
		return
	}
	if verdict.Of(err) != verdict.NotRun {
		f.t.Errorf("refusal without NotRun: %v", err)
	}
	f.refused[organisation]++
	if b.tokens >= 1 {
		f.wrongful[organisation]++
	}
}

// trackEntitlement starts an ideal bucket for an organisation, by which refusals
// are judged wrongful.
func (f *fleet) trackEntitlement(organisation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idealBuckets[organisation] == nil {
		o := f.view.Organisations[organisation]
		f.idealBuckets[organisation] = &idealBucket{rate: o.GetRate(), burst: o.GetBurst(), tokens: o.GetBurst(), at: time.Now()}
	}
}

// drive offers Poisson arrivals at the instance that at returns, until ctx ends.
func (f *fleet) drive(ctx context.Context, organisation string, perSecond float64, at func() *node) {
	f.trackEntitlement(organisation)
	f.mu.Lock()
	random := rand.New(rand.NewPCG(7, uint64(len(organisation))+uint64(perSecond)))
	f.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			if n := at(); n != nil {
				go f.request(n, organisation)
			}
		}
	}()
}

// requireWithinLimit checks that in every window the fleet together admitted at
// most rate*window + burst.
func (f *fleet) requireWithinLimit(organisation string, rate, burst float64) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	times := f.admitted[organisation]
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	if excess, at := windowExcess(times, rate, burst); excess > 1e-6 {
		f.t.Errorf("%s: %.3f statements too many at %v", organisation, excess, at.Sub(f.startedAt))
	}
}

// windowExcess returns by how much the worst window exceeds rate*window + burst:
// a bucket that starts full goes below zero exactly when some window does.
func windowExcess(times []time.Time, rate, burst float64) (worst float64, at time.Time) {
	tokens, last := burst, time.Time{}
	for i, now := range times {
		if i > 0 {
			tokens = min(burst, tokens+rate*now.Sub(last).Seconds())
		}
		last = now
		tokens--
		if -tokens > worst {
			worst, at = -tokens, now
		}
	}
	return worst, at
}

// outcomes counts an organisation's statements by outcome.
type outcomes struct{ offered, admitted, refused, wrongful int }

func (f *fleet) outcomes(organisation string) outcomes {
	f.mu.Lock()
	defer f.mu.Unlock()
	return outcomes{
		offered: f.offered[organisation], admitted: len(f.admitted[organisation]),
		refused: f.refused[organisation], wrongful: f.wrongful[organisation],
	}
}

func testView(version uint64, organisations ...*configv1.Organisation) *fleetconfig.View {
	return fleetconfig.Compile(&configv1.Configuration{Version: version, Organisations: organisations})
}

func TestWindowExcess(t *testing.T) {
	base := time.Unix(0, 0)
	times := []time.Time{base, base, base, base.Add(time.Second), base.Add(time.Second)}
	excess, _ := windowExcess(times, 1, 3)
	require.InDelta(t, 1, excess, 1e-9)
	excess, _ = windowExcess(times, 2, 3)
	require.Zero(t, excess)
}
