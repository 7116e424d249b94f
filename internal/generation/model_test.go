package generation_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/generation"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

var (
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the model test")
	seeds     = flag.Uint64("seeds", 10, "number of seeds of the model test")
)

const (
	service    = "db"
	fleetSize  = 5
	modelSteps = 60
	// maxCopies is the number of copies, taken at each step, from which the store may return.
	maxCopies = 8
	// settleTime is the time without faults after which all instances must agree.
	settleTime = time.Minute
)

var errUnreachable = errors.New("unreachable")

// model is a fleet that replaces the primary of one service, over a store that returns from older
// copies of itself.
type model struct {
	t      *testing.T
	random *rand.Rand // guarded by mu, as below
	began  time.Time

	mu         sync.Mutex
	rows       map[string]platform.Row // revisions without the generation
	number     uint64
	generation uint64
	copies     []modelCopy
	delayNext  bool // the next commit is performed late and not answered
	storeDown  bool
	cut        map[string]bool
	draining   map[string]bool
	primary    string // of the newest term
	terms      map[string]uint64
	orders     []leadership.Promotion
	violation  string
	instances  map[string]*modelInstance
	running    sync.WaitGroup
}

type modelCopy struct {
	rows   map[string]platform.Row
	number uint64
}

type modelInstance struct {
	m          *model
	name       string
	view       *leadership.PrimaryView
	controller *leadership.Controller
	guard      *generation.Guard
	follower   *follow.Follower
	stop       context.CancelFunc
	// registered is true once the instance has read the store itself; before, it serves nobody.
	registered atomic.Bool
}

func (m *model) clock() time.Duration { return time.Since(m.began) + time.Hour }

func (m *model) set(change func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	change()
}

// start starts an instance that remembers nothing.
func (m *model) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	i := &modelInstance{m: m, name: name, stop: cancel, view: leadership.NewPrimaryView(m.clock, zap.NewNop(), "a", m.registry)}
	i.guard = generation.NewGuard(i, i)
	var err error
	i.follower, err = follow.New(follow.Config{Set: "fleet", Source: i.guard, Peers: i.rowsOfPeers, Clock: m.clock, Apply: func(s follow.Snapshot) {
		i.guard.MarkRestored(s.Version.Generation())
		i.view.Apply(s, leadership.Membership{Listed: true, Count: fleetSize})
	}})
	require.NoError(m.t, err)
	i.controller, err = leadership.New(leadership.Config{
		Self: name, FailureDomain: "a", PrimaryView: i.view, Refresh: i.follower.Refresh, Registry: m.registry, Members: m.members,
		FreshMembers: func(context.Context) ([]leadership.Member, error) { return m.members(), i.reach("store") },
		Reaches:      func(context.Context, string) bool { return true },
		Table:        i.guard, Servers: i, Promoter: i, Peers: i, Health: i, Clock: m.clock,
	})
	require.NoError(m.t, err)
	restorer, err := generation.NewRestorer(generation.Config{
		Guard: i.guard, Collect: i.collect, Members: func() int { return fleetSize }, IsDecisive: leadership.IsRecordKey, Clock: m.clock,
		UncertainDelay: leadership.RecordLifetime + leadership.MaxOrderDelay, Plan: func(r generation.Restoration) ([]follow.Row, error) {
			return leadership.PlanRestoration(r, m.registry())
		},
	})
	require.NoError(m.t, err)
	m.set(func() { m.instances[name] = i })
	for _, run := range []func(context.Context) error{i.follower.Run, i.controller.Run, restorer.Run, i.register} {
		m.running.Go(func() { _ = run(ctx) })
	}
}

func (i *modelInstance) register(ctx context.Context) error {
	for ctx.Err() == nil && i.follower.Refresh(ctx) != nil {
		time.Sleep(100 * time.Millisecond)
	}
	i.registered.Store(ctx.Err() == nil)
	return nil
}

func (m *model) instance(name string) *modelInstance {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.instances[name]
}

func (m *model) members() []leadership.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []leadership.Member
	for _, name := range slices.Sorted(maps.Keys(m.instances)) {
		list = append(list, leadership.Member{Name: name, FailureDomain: "a"})
	}
	return list
}

func (m *model) registry() *catalog.Registry {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []catalog.Endpoint
	for id, term := range m.terms {
		e := catalog.Endpoint{ID: id, Service: service, Role: catalog.RoleReplica, Draining: m.draining[id]}
		if term > 0 {
			e.Role = catalog.RolePrimary
		}
		list = append(list, e)
	}
	return catalog.NewRegistry(list)
}

// reach fails if this instance or the other side is cut off or has been restarted.
func (i *modelInstance) reach(other string) error {
	i.m.mu.Lock()
	defer i.m.mu.Unlock()
	if i.m.cut[i.name] || i.m.cut[other] || i.m.instances[i.name] != i || other == "store" && i.m.storeDown {
		return errUnreachable
	}
	return nil
}

// step causes one fault, or several.
func (m *model) step() {
	m.mu.Lock()
	all := []string{"a", "b", "c", "d", "e"}
	fault, name := m.random.IntN(12), all[m.random.IntN(len(all))]
	var restarted []string
	duration := time.Duration(m.random.IntN(4000)) * time.Millisecond
	m.copies = append(m.copies, modelCopy{maps.Clone(m.rows), m.number})
	m.copies = m.copies[max(0, len(m.copies)-maxCopies):]
	switch fault {
	case 0: // the store is away for a moment and returns
		returned := m.copies[m.random.IntN(len(m.copies))]
		m.storeDown = true
		if m.random.IntN(3) == 0 {
			restarted = all
		}
		time.AfterFunc(duration/10, func() {
			m.set(func() {
				m.rows, m.number, m.storeDown = maps.Clone(returned.rows), returned.number, false
				m.generation++
			})
		})
	case 1, 2:
		m.cut[name] = true
		time.AfterFunc(duration, func() { m.set(func() { delete(m.cut, name) }) })
	case 3, 4:
		m.delayNext = true
	case 5, 6, 7, 8, 9, 10: // the primary leaves, so that it is replaced
		leaving := m.primary
		m.draining[leaving] = true
		time.AfterFunc(duration, func() { m.set(func() { delete(m.draining, leaving) }) })
	default:
		restarted = all[:1+m.random.IntN(len(all))]
	}
	m.mu.Unlock()
	for _, name := range restarted {
		m.instance(name).stop()
		m.start(name)
	}
}

// Guards against the use of a replaced primary, a fence number that is used twice or falls, and a
// fleet that does not recover, when the store returns from older copies of itself beside lost and
// late commits, cuts, restarts and replacements.
func TestModelOfStoreReturns(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runModel(t, seed) })
		})
	}
}

func runModel(t *testing.T, seed uint64) {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), rows: make(map[string]platform.Row), cut: make(map[string]bool),
		draining: make(map[string]bool), primary: "s1", terms: map[string]uint64{"s1": 1, "s2": 0, "s3": 0}, instances: make(map[string]*modelInstance),
	}
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		m.start(name)
	}
	watch := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
			m.check()
		}
	}
	watch(12 * time.Second)
	for range modelSteps {
		m.step()
		watch(time.Duration(m.random.IntN(1500)) * time.Millisecond)
	}
	watch(settleTime)
	for _, member := range m.members() {
		if _, err := m.instance(member.Name).view.Primary(service); err != nil && m.violation == "" {
			m.violation = fmt.Sprintf("%s has no primary in generation %d: %v", member.Name, m.generation, err)
		}
	}
	for _, i := range m.instances {
		i.stop()
	}
	m.running.Wait()
	t.Logf("%d returns, %d orders, %d commits", m.generation, len(m.orders), m.number)
	require.Empty(t, m.violation)
}
