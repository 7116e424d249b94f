package leadership

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

var errCut = errors.New("no way there")

// fleet is a store, three servers of one service, and instances that use and
// replace their primary.
type fleet struct {
	t     *testing.T
	began time.Time

	mu       sync.Mutex
	rows     map[string]platform.Row
	revision uint64
	servers  map[string]*server
	draining map[string]bool
	cut      map[string]bool // instances that reach nothing but servers
	loseNext bool            // the answer of the next commit is lost
	// noticing are the instances that have statements at servers, nil for all; slow are
	// those that take long to stop.
	noticing  map[string]bool
	slow      map[string]time.Duration
	storeDown bool
	newcomers map[string]time.Duration
	orders    []Promotion
	instances map[string]*instance
}

type server struct {
	status ServerStatus
	down   bool
}

type instance struct {
	f          *fleet
	name       string
	beliefs    *Beliefs
	controller *Controller
}

func (f *fleet) clock() time.Duration { return time.Since(f.began) }

func newFleet(t *testing.T, names ...string) *fleet {
	f := &fleet{
		t: t, began: time.Now().Add(-time.Hour), rows: make(map[string]platform.Row),
		servers: map[string]*server{
			"s1": {status: ServerStatus{Primary: true, Term: 1, Received: position.Position{Term: 1, Offset: 9}}},
			"s2": {status: ServerStatus{Term: 1, Received: position.Position{Term: 1, Offset: 9}}},
			"s3": {status: ServerStatus{Term: 1, Received: position.Position{Term: 1, Offset: 8}}},
		},
		draining: make(map[string]bool), cut: make(map[string]bool), instances: make(map[string]*instance),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		i := &instance{f: f, name: name}
		i.beliefs = NewBeliefs(f.clock, zap.NewNop(), f.registry)
		controller, err := New(Config{
			Self: name, Beliefs: i.beliefs, Refresh: i.refresh, Registry: f.registry,
			Members: f.members, FreshMembers: func(context.Context) ([]Member, error) { return f.members(), i.reach("store") },
			Table: i, Servers: i, Promoter: i, Peers: i, Health: i, Clock: f.clock,
			Reaches: func(_ context.Context, endpoint string) bool { return f.up(endpoint) },
		})
		require.NoError(t, err)
		i.controller = controller
		f.instances[name] = i
	}
	for _, i := range f.instances {
		running.Go(func() { _ = i.controller.Run(ctx) })
		running.Go(func() {
			for ctx.Err() == nil {
				_ = i.refresh(ctx)
				sleep(ctx, time.Second)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

func (f *fleet) members() []Member {
	var list []Member
	for name := range f.instances {
		list = append(list, Member{Name: name, NewcomerUntil: f.newcomers[name]})
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func (f *fleet) registry() *catalog.Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []catalog.Endpoint
	for _, id := range []string{"s1", "s2", "s3"} {
		role := catalog.RoleReplica
		if f.servers[id].status.Primary {
			role = catalog.RolePrimary
		}
		list = append(list, catalog.Endpoint{ID: id, Service: "db", Role: role, Draining: f.draining[id]})
	}
	return catalog.NewRegistry(list)
}

// reach fails where the instance or the other side is cut off.
func (i *instance) reach(other string) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.cut[i.name] || i.f.cut[other] || other == "store" && i.f.storeDown {
		return errCut
	}
	return nil
}

func (i *instance) refresh(ctx context.Context) error {
	sent := i.f.clock()
	rows, _, err := i.List(ctx, RowPrefix)
	if err != nil {
		return err
	}
	s := follow.State{AsOf: sent}
	for _, row := range rows {
		s.Rows = append(s.Rows, follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision})
	}
	i.beliefs.Apply(s, Membership{Listed: true, Count: len(i.f.instances)})
	return nil
}

func (i *instance) Get(_ context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	var list []platform.Row
	for _, key := range keys {
		row := i.f.rows[key]
		row.Key = key
		list = append(list, row)
	}
	return list, time.Time{}, nil
}

func (i *instance) List(_ context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := i.reach("store"); err != nil {
		return nil, time.Time{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	var list []platform.Row
	for key, row := range i.f.rows {
		if strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	return list, time.Time{}, nil
}

func (i *instance) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := i.reach("store"); err != nil {
		return platform.CommitResult{}, err
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	for _, c := range conditions {
		if i.f.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}, nil
		}
	}
	i.f.revision++
	for _, w := range writes {
		i.f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: i.f.revision}
	}
	if i.f.loseNext {
		i.f.loseNext = false
		return platform.CommitResult{}, errCut
	}
	return platform.CommitResult{Applied: true, Revision: i.f.revision}, nil
}

func (i *instance) Status(_ context.Context, e catalog.Endpoint) (ServerStatus, error) {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if s := i.f.servers[e.ID]; !s.down {
		return s.status, nil
	}
	return ServerStatus{}, errCut
}

func (i *instance) StepDown(_ context.Context, e catalog.Endpoint, term uint64) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	s := i.f.servers[e.ID]
	if s.down {
		return errCut
	}
	if s.status.Term < term {
		s.status.Primary, s.status.Term = false, term
	}
	return nil
}

func (i *instance) Promote(_ context.Context, p Promotion) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	i.f.orders = append(i.f.orders, p)
	s := i.f.servers[p.Endpoint]
	s.status.Primary = true
	for _, other := range i.f.servers {
		s.status.Term = max(s.status.Term, other.status.Term)
	}
	s.status.Term++
	return nil
}

func (i *instance) Stop(ctx context.Context, m Member, service string, epoch uint64) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	i.f.instances[m.Name].controller.Stop(ctx, service, epoch)
	sleep(ctx, i.f.slow[m.Name])
	return ctx.Err()
}

func (i *instance) Settled(ctx context.Context, m Member) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	return i.f.instances[m.Name].refresh(ctx)
}

func (i *instance) Reaches(_ context.Context, m Member, endpoint string) (bool, error) {
	if err := i.reach(m.Name); err != nil {
		return false, err
	}
	return i.f.up(endpoint), nil
}

func (i *instance) Suspect(_ context.Context, m Member, service, endpoint string) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	i.f.instances[m.Name].controller.Suspect(service, endpoint)
	return nil
}

func (f *fleet) up(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.servers[endpoint].down
}

func (i *instance) Replacing(_ context.Context, m Member, service string, epoch uint64) (bool, error) {
	if err := i.reach(m.Name); err != nil {
		return false, err
	}
	return i.f.instances[m.Name].controller.Replacing(service, epoch), nil
}

func (i *instance) Vouch(_ context.Context, m Member) (map[string]uint64, error) {
	if err := i.reach(m.Name); err != nil {
		return nil, err
	}
	epochs, ok := i.f.instances[m.Name].beliefs.Vouch()
	if !ok {
		return nil, errCut
	}
	return epochs, nil
}

func (i *instance) SilentFor(endpoint string) time.Duration {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.servers[endpoint].down && (i.f.noticing == nil || i.f.noticing[i.name]) {
		return time.Second
	}
	return 0
}

func (f *fleet) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fleet) ordered() []Promotion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.orders)
}

func (f *fleet) leader(name string) string {
	leader, err := f.instances[name].beliefs.Leader("db")
	if err != nil {
		return ""
	}
	return leader.Endpoint
}

func TestCrashedPrimaryIsReplacedByTheLongestLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		require.Equal(t, "s1", f.leader("b"))
		f.set(func() { f.servers["s1"].down = true })
		time.Sleep(2 * time.Second)
		require.Equal(t, "s2", f.leader("c"))
		require.Len(t, f.ordered(), 1)
	})
}

// The pattern: a large fleet, in which one instance alone has a statement at the primary
// that goes dark, and that one is the last to act.
func TestSilenceThatOneInstanceNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		time.Sleep(time.Second)
		ranked := f.instances["a"].controller.ranked()
		f.set(func() {
			f.noticing = map[string]bool{ranked[len(ranked)-1].Name: true}
			f.servers["s1"].down = true
		})
		time.Sleep(700 * time.Millisecond)
		require.Len(t, f.ordered(), 1)
		require.Equal(t, ranked[0].Name, f.ordered()[0].Holder)
	})
}

// A primary that some instances reach stays, whatever others say of it.
func TestSuspectThatAnswersStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		for _, i := range f.instances {
			i.controller.Suspect("db", "s1")
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, f.ordered())
		require.Equal(t, "s1", f.leader("a"))
		require.Zero(t, f.instances["a"].beliefs.records.services["db"].Epoch, "nobody has intended to replace it")
	})
}

// The pattern: a failure domain is cut off with the primary inside, and one of the
// instances outside stops late. Those inside have no majority long before.
func TestLateStopOfOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		ranked := f.instances["a"].controller.ranked()
		slow, away := ranked[2].Name, ranked[4].Name
		f.slow = map[string]time.Duration{slow: 600 * time.Millisecond}
		f.set(func() { f.cut[away], f.servers["s1"].down = true, true })
		var movedAt time.Time
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			if movedAt.IsZero() && f.leader(ranked[1].Name) == "" {
				movedAt = time.Now()
			}
		}
		require.Less(t, time.Since(movedAt), EvidenceLifetime+lapseSlack+400*time.Millisecond)
		require.GreaterOrEqual(t, time.Since(movedAt), EvidenceLifetime)
		require.Empty(t, f.leader(away))
	})
}

// TestUnreachableInstanceIsWaitedFor covers a zone that is cut off with the primary
// inside, where connections are refused at the cut: the instances there go on using
// it until their copies have lapsed (zanettin scale-2: ONE 11, STALE 53).
func TestUnreachableInstanceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(1500 * time.Millisecond)
		f.set(func() { f.cut["c"], f.servers["s1"].down = true, true })
		cutAt := time.Now()
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(cutAt), 10*time.Second)
		}
		require.Empty(t, f.leader("c"), "the instance that is cut off still uses the old primary")
		require.GreaterOrEqual(t, time.Since(cutAt), EvidenceLifetime-time.Second)
	})
}

func TestPrimaryThatReturnsIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.cut["c"], f.servers["s1"].down = true, true })
		time.Sleep(EvidenceLifetime)
		require.Empty(t, f.leader("a"))
		f.set(func() { f.servers["s1"].down = false })
		time.Sleep(time.Second)
		require.Equal(t, "s1", f.leader("a"))
		require.Empty(t, f.ordered())
	})
}

func TestPlannedReplacementWaitsForTheWholeLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.set(func() {
			f.servers["s2"].status.Received.Offset = 7
			f.servers["s3"].status.Received.Offset = 7
		})
		time.Sleep(time.Second)
		f.set(func() { f.draining["s1"] = true })
		time.Sleep(time.Second)
		require.Empty(t, f.ordered(), "a replica that lacks commits was promoted")
		f.set(func() { f.servers["s3"].status.Received.Offset = 9 })
		time.Sleep(time.Second)
		require.Equal(t, "s3", f.leader("b"))
		require.Len(t, f.ordered(), 1)
		f.set(func() { require.False(t, f.servers["s1"].status.Primary) })
	})
}

func TestLostAnswerOfTheIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.loseNext, f.servers["s1"].down = true, true })
		time.Sleep(4 * time.Second)
		require.Equal(t, "s2", f.leader("a"))
		require.Len(t, f.ordered(), 1)
	})
}

func TestStoreOutageLeavesThePrimaryInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.storeDown = true })
		for range (LongestOutage - 2*time.Second) / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, "s1", f.leader("a"))
		}
		time.Sleep(4 * time.Second)
		require.Empty(t, f.leader("a"), "evidence never lapses")
		f.set(func() { f.storeDown = false })
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, "s1", f.leader("a"))
	})
}

// TestMinorityLosesThePrimary covers instances cut off with the primary: they have
// neither the store nor a majority, and lose it within the lifetime of their copy.
func TestMinorityLosesThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.cut["c"] = true })
		time.Sleep(EvidenceLifetime)
		require.Empty(t, f.leader("c"))
		require.Equal(t, "s1", f.leader("a"))
	})
}

// TestNewcomersDoNotMakeAMajority covers a fleet that grows while most of the
// instances that the others know are cut off together.
func TestNewcomersDoNotMakeAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		f.set(func() {
			f.newcomers = map[string]time.Duration{"a": 2 * time.Hour, "b": 2 * time.Hour}
			f.cut["d"], f.cut["e"], f.servers["s1"].down = true, true, true
		})
		time.Sleep(5 * time.Second)
		require.Empty(t, f.ordered(), "two of three known instances may vouch for one another")
	})
}

// TestRestartedInstanceDoesNotVouchFromOldRows: it may have stopped for an epoch that
// it no longer remembers.
func TestRestartedInstanceDoesNotVouchFromOldRows(t *testing.T) {
	now := time.Hour
	b := NewBeliefs(func() time.Duration { return now }, zap.NewNop(), func() *catalog.Registry { return catalog.NewRegistry(nil) })
	b.Apply(follow.State{AsOf: now - time.Second}, Membership{Listed: true, Count: 3})
	_, ok := b.Vouch()
	require.False(t, ok)
	b.Apply(follow.State{AsOf: now}, Membership{Listed: true, Count: 3})
	_, ok = b.Vouch()
	require.True(t, ok)
}

func TestHolderThatDiesIsFollowedUnderALaterFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() {
			// An instance that is no more has written its intent.
			record := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Moving, Epoch: 1, Holder: "gone", Fence: 1, Ordered: "s2"})
			taken := encodeRow(dutyKey, duty{Holder: "gone", Fence: 1})
			for _, w := range []platform.Write{record, taken} {
				f.revision++
				f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
			}
		})
		time.Sleep(5 * time.Second)
		require.NotEmpty(t, f.leader("b"))
		for _, order := range f.ordered() {
			require.Greater(t, order.Fence, uint64(1))
		}
	})
}

func TestRevokedUseIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		time.Sleep(time.Second)
		use, err := f.instances["a"].beliefs.Enter("db")
		require.NoError(t, err)
		require.True(t, use.Valid())
		f.instances["a"].beliefs.Stop(t.Context(), "db", 1)
		require.False(t, use.Valid())
		use.Exit()
	})
}

// TestSecondIntentRestsOnTheSameRecord covers two instances that decide at the same
// time: the later one has learned of the first one's intent before it writes its
// own (zanettin hunt-7474-19: ONE 10).
func TestSecondIntentRestsOnTheSameRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		time.Sleep(time.Second)
		first := &handover{c: f.instances["a"].controller, service: "db", why: reasonSilent, old: "s1"}
		second := &handover{c: f.instances["b"].controller, service: "db", why: reasonSilent, old: "s1"}
		require.NoError(t, first.commitIntent(t.Context()))
		require.NoError(t, f.instances["b"].refresh(t.Context()))
		require.ErrorContains(t, second.commitIntent(t.Context()), "another instance was first")
		require.Len(t, f.rows, 2)
	})
}

// TestLateOrderOfAnEarlierHolder covers a promotion that shows only after its
// holder has gone: ordering another one at once would make two primaries.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		time.Sleep(time.Second)
		f.set(func() {
			w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Moving, Epoch: 1, Holder: "gone", Fence: 1, Ordered: "s3"})
			f.revision++
			f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		})
		time.Sleep(2 * time.Second)
		f.set(func() { f.servers["s3"].status.Primary, f.servers["s3"].status.Term = true, 2 })
		time.Sleep(4 * time.Second)
		require.Equal(t, "s3", f.leader("a"))
		require.Empty(t, f.ordered())
	})
}

// TestUnorderedReplacementLeavesThePrimary covers a holder that died before it
// ordered anything, while one instance is gone for good (alpenpass trouble-3: 10 s
// without a primary that was healthy).
func TestUnorderedReplacementLeavesThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() {
			w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Moving, Epoch: 1, Holder: "c", Fence: 1})
			f.revision++
			f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
			f.cut["c"] = true
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, "s1", f.leader("a"))
		require.Empty(t, f.ordered())
	})
}

// TestUnlistedInstanceUsesNoPrimary: others do not wait for it.
func TestUnlistedInstanceUsesNoPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		time.Sleep(time.Second)
		synctest.Wait() // what the instance reads at the same instant has been applied
		f.instances["a"].beliefs.Apply(follow.State{AsOf: f.clock()}, Membership{Count: 1})
		require.Empty(t, f.leader("a"))
	})
}

// The pattern: names begin with those of failure domains, and one of them is cut off.
func TestFirstInRankAreOfSeveralFailureDomains(t *testing.T) {
	var names []string
	for _, domain := range []string{"garmisch", "oberstdorf", "berchtesgaden", "tegernsee"} {
		for n := range 17 {
			names = append(names, "edge-"+domain+"-"+strconv.Itoa(n+1))
		}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, names...)
		time.Sleep(time.Second)
		domains := make(map[string]struct{})
		for _, m := range f.instances[names[0]].controller.ranked()[:maxRanks] {
			domains[strings.Split(m.Name, "-")[1]] = struct{}{}
		}
		require.Greater(t, len(domains), 1)
	})
}
