package leadership

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// testJoiningPeriod is how long an instance is joining after its registration: copies of the rows
// that lack it expire, and with them the last use that they allow.
const testJoiningPeriod = MaxStoreOutage + MaxRemoteLifetime + 2*time.Second

var errUnreachable = errors.New("the instance or server is unreachable")

// fleet is a fixture of a store, three servers of one service, and instances that use
// and replace their primary.
type fleet struct {
	t     *testing.T
	began time.Time

	mu                sync.Mutex
	rows              map[string]platform.Row
	revision          platform.Revision
	servers           map[string]*server
	draining          map[string]bool
	evacuated         map[string]bool // endpoints whose failure domain is evacuated
	unregistered      map[string]bool
	oldRegistry       *catalog.Registry // the copy of all instances until one refreshes it, if set
	syncReplicas      int
	unconfigured      bool                 // the instances have no configuration
	cut               map[string]bool      // instances that reach only servers
	loseNextResponse  bool                 // the response to the next commit is lost
	onCommit          func(platform.Write) // is called for each write of a commit, if set
	otherReplacements int                  // replacements of other services that take fence numbers first
	// observers are the instances that notice servers being down, nil for all; slow holds
	// the extra time that instances take to revoke a primary.
	observers map[string]bool
	slow      map[string]time.Duration
	storeDown bool
	// joining holds the time until which copies of the rows may lack an instance. The rows of
	// retired instances are marked, those of removed ones deleted; both register again once they
	// read that, but not those that have left.
	joining                map[string]time.Duration
	retired, removed, left map[string]bool
	orders                 []Promotion
	// lostOrders is the number of further orders that the platform accepts without effect.
	lostOrders int
	instances  map[string]*instance
	// remoteLifetime is what all instances announce; endpointDomain is the failure domain of
	// all servers.
	remoteLifetime time.Duration
	// silent is true if what is cut off or down does not answer until the caller's timeout.
	silent         bool
	endpointDomain string
	// busy is an endpoint that leaves statements and the probes of a suspecting instance
	// unanswered, but responds to others. ownProbes counts the questions whether the asking
	// instance itself reaches an endpoint, reachRequests the requests to others.
	busy          string
	ownProbes     int
	epochRequests int
	reachRequests int
	// announces is true if instances announce what they rely on; confirmedOnly holds what their
	// rows tell.
	announces     bool
	confirmedOnly map[string]bool
	// faults, if set, decides which messages arrive, and how late.
	faults  faults
	running sync.WaitGroup
	ended   context.Context
}

// faults decides what becomes of the messages of a fleet.
type faults interface {
	// delay is called before a request is handled, and before its response is received.
	delay(ctx context.Context)
	// lost reports whether a message between instances, or to the "store", is lost.
	lost(from, to string) bool
	// reaches reports whether an instance reaches a server.
	reaches(instance, endpoint string) bool
}

type server struct {
	status    ServerStatus
	down      bool
	busy      bool // refuses to report its status
	service   string
	startedAt int64
}

type instance struct {
	f          *fleet
	name       string
	view       *PrimaryView
	controller *Controller
	stop       context.CancelFunc
	// copied are the members that are not retired, as read at copiedAt; guarded by f.mu.
	copied   []Member
	copiedAt time.Duration
	// applying is held while a copy is applied: copies are applied in the order of their reads.
	applying sync.Mutex
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
		draining: make(map[string]bool), evacuated: make(map[string]bool), unregistered: make(map[string]bool), cut: make(map[string]bool), instances: make(map[string]*instance),
	}
	f.confirmedOnly, f.joining = make(map[string]bool), make(map[string]time.Duration)
	f.retired, f.removed, f.left = make(map[string]bool), make(map[string]bool), make(map[string]bool)
	ctx, cancel := context.WithCancel(context.Background())
	f.ended = ctx
	for _, name := range names {
		f.instances[name] = f.newInstance(name)
	}
	for _, i := range f.instances {
		i.start()
	}
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
	})
	return f
}

func (f *fleet) newInstance(name string) *instance {
	i := &instance{f: f, name: name}
	i.view = NewPrimaryView(f.clock, zap.NewNop(), domainOf(name), f.registry)
	cfg := Config{
		Self: name, FailureDomain: domainOf(name), PrimaryView: i.view, Refresh: i.refresh, Registry: f.registry,
		Members: i.members, FreshMembers: func(context.Context) ([]Member, error) { return f.members(), i.reach("store") },
		IsConfigured: func(service string) bool { return service == "db" && f.configured() },
		SyncReplicas: func(string) int { return f.confirming() },
		Table:        i, Servers: i, Promoter: i, Peers: i, Health: i, Clock: f.clock,
		RegistryComplete: func() bool { return i.reach("store") == nil }, RefreshRegistry: i.refreshRegistry,
		Reaches: func(_ context.Context, endpoint string) bool {
			return f.isUp(name, endpoint) && !f.probeIsUnanswered(endpoint)
		},
	}
	if f.announces {
		cfg.Announce = i.announce
		i.view.RelyOnConfirmations()
	}
	controller, err := New(cfg)
	require.NoError(f.t, err)
	i.controller = controller
	return i
}

func (i *instance) start() {
	ctx, cancel := context.WithCancel(i.f.ended)
	i.stop = cancel
	i.f.running.Go(func() { _ = i.controller.Run(ctx) })
	i.f.running.Go(func() {
		for ctx.Err() == nil {
			_ = i.refresh(ctx)
			if !i.isListed() {
				_ = i.register(ctx)
			}
			pause.For(ctx, time.Second)
		}
	})
}

// instance returns the instance that runs under a name.
func (f *fleet) instance(name string) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[name]
}

// announce implements Config.Announce.
func (i *instance) announce(_ context.Context, confirmedOnly bool) error {
	if err := i.reach("store"); err != nil {
		return err
	}
	i.f.set(func() { i.f.confirmedOnly[i.name] = confirmedOnly })
	return i.reach("store")
}

// domainOf returns the failure domain of an instance: the first letter of its name.
func domainOf(name string) string { return name[:1] }

// configured reports whether the instances have read a configuration.
func (f *fleet) configured() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.unconfigured
}

// confirming returns the number of confirming replicas by the configuration, 0 if none was read.
func (f *fleet) confirming() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unconfigured {
		return 0
	}
	return f.syncReplicas
}

// confirmCommits makes replicas confirm commits, as they have for long: the stored replica set lists
// all servers. The caller holds f.mu.
func (f *fleet) confirmCommits(syncReplicas int) {
	f.syncReplicas = syncReplicas
	f.storeReplicas(min(syncReplicas, len(f.servers)-1), slices.Sorted(maps.Keys(f.servers))...)
}

// storeReplicas stores a replica set. The caller holds f.mu.
func (f *fleet) storeReplicas(confirming int, ids ...string) {
	set := replicaSet{Confirming: confirming}
	for _, id := range ids {
		set.Runs = append(set.Runs, ServerRun{ID: id, StartedAt: f.servers[id].startedAt, Primary: f.servers[id].status.Primary})
	}
	f.revision++
	w := encodeRow(replicaSetPrefix+"db", set)
	f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
}

// members returns the stored rows of the members, also of retired ones.
func (f *fleet) members() []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storedMembers()
}

// storedMembers is members for a caller that holds mu.
func (f *fleet) storedMembers() []Member {
	var list []Member
	for name := range f.instances {
		if f.left[name] || f.removed[name] {
			continue
		}
		list = append(list, Member{
			Name: name, FailureDomain: domainOf(name), JoiningUntil: f.joining[name], RemoteLifetime: f.remoteLifetime, ConfirmedOnly: f.confirmedOnly[name],
		})
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// isListed reports whether the instance has read its row and found it not to be retired.
func (i *instance) isListed() bool {
	return slices.ContainsFunc(i.members(), func(m Member) bool { return m.Name == i.name })
}

// members implements Config.Members.
func (i *instance) members() []Member {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.copiedAt == 0 {
		_, stored := i.f.membership(i.name)
		return stored
	}
	return i.copied
}

// refreshRegistry implements Config.RefreshRegistry.
func (i *instance) refreshRegistry(context.Context) error {
	if err := i.reach("store"); err != nil {
		return err
	}
	i.f.set(func() { i.f.oldRegistry = nil })
	return nil
}

func (f *fleet) registry() *catalog.Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.oldRegistry != nil {
		return f.oldRegistry
	}
	return f.currentRegistry()
}

// currentRegistry returns the registered servers. The caller holds mu.
func (f *fleet) currentRegistry() *catalog.Registry {
	var list []catalog.Endpoint
	for _, id := range slices.Sorted(maps.Keys(f.servers)) {
		if f.unregistered[id] {
			continue
		}
		role := catalog.RoleReplica
		if f.servers[id].status.Primary {
			role = catalog.RolePrimary
		}
		list = append(list, catalog.Endpoint{ID: id, Service: cmp.Or(f.servers[id].service, "db"), Role: role, Draining: f.draining[id], FailureDomain: f.endpointDomain, Evacuated: f.evacuated[id], StartedAt: f.servers[id].startedAt})
	}
	return catalog.NewRegistry(list)
}

// reach fails if the instance or the other side is cut off.
func (i *instance) reach(other string) error {
	if i.f.faults != nil && i.f.faults.lost(i.name, other) {
		return errUnreachable
	}
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.cut[i.name] || i.f.cut[other] || other == "store" && i.f.storeDown {
		return errUnreachable
	}
	return nil
}

func (i *instance) refresh(ctx context.Context) error {
	sent := i.f.clock()
	i.f.delay(ctx)
	if err := i.reach("store"); err != nil {
		return err
	}
	snapshot := follow.Snapshot{AsOf: sent}
	var membership Membership
	var copied []Member
	i.f.set(func() {
		snapshot.Rows = i.f.storedRows()
		membership, copied = i.f.membership(i.name)
	})
	readAt := i.f.clock()
	i.f.delay(ctx)
	i.applying.Lock()
	defer i.applying.Unlock()
	if readAt < i.copiedAt {
		return nil
	}
	i.view.Apply(snapshot, membership)
	i.f.set(func() { i.copied, i.copiedAt = copied, readAt })
	return nil
}

// storedRows returns the rows of the services. The caller holds mu.
func (f *fleet) storedRows() []follow.Row {
	var rows []follow.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, RowPrefix) {
			rows = append(rows, follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision})
		}
	}
	return rows
}

// membership returns what a copy of the stored rows tells an instance. The caller holds mu.
func (f *fleet) membership(name string) (Membership, []Member) {
	copied := slices.DeleteFunc(f.storedMembers(), func(m Member) bool { return f.retired[m.Name] })
	listed := slices.ContainsFunc(copied, func(m Member) bool { return m.Name == name })
	return Membership{Listed: listed, Count: len(copied), RemoteLifetime: f.remoteLifetime, ConfirmedOnly: f.confirmedOnly[name]}, copied
}

// register registers an instance again that was retired, and reads the rows afterwards.
func (i *instance) register(ctx context.Context) error {
	i.f.delay(ctx)
	if err := i.reach("store"); err != nil {
		return err
	}
	registers := false
	i.f.set(func() {
		if registers = i.f.instances[i.name] == i && !i.f.left[i.name]; registers {
			delete(i.f.retired, i.name)
			delete(i.f.removed, i.name)
			i.f.joining[i.name] = i.f.clock() + testJoiningPeriod
		}
	})
	if !registers {
		return nil
	}
	return i.refresh(ctx)
}

// unanswered returns err, once ctx ends if the fleet is silent.
func (f *fleet) unanswered(ctx context.Context, err error) error {
	f.mu.Lock()
	silent := f.silent
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	return err
}

// isUp reports whether an instance reaches an endpoint.
func (f *fleet) isUp(instance, endpoint string) bool {
	if f.faults != nil && !f.faults.reaches(instance, endpoint) {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.servers[endpoint].down
}

// delay passes the time that a message takes.
func (f *fleet) delay(ctx context.Context) {
	if f.faults != nil {
		f.faults.delay(ctx)
	}
}

// deliver passes the time of a request to another instance, and fails if it is lost.
func (i *instance) deliver(ctx context.Context, m Member) error {
	if i.f.delay(ctx); ctx.Err() != nil {
		return ctx.Err()
	}
	return i.reach(m.Name)
}

// returned passes the time of a response, and fails if it is lost.
func (i *instance) returned(ctx context.Context, m Member) error {
	i.f.delay(ctx)
	if i.f.faults != nil && i.f.faults.lost(m.Name, i.name) {
		return errUnreachable
	}
	return ctx.Err()
}

func (f *fleet) probeIsUnanswered(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownProbes++
	return f.busy == endpoint
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

func (f *fleet) primary(name string) string {
	primary, err := f.instances[name].view.Primary("db")
	if err != nil {
		return ""
	}
	return primary.Endpoint
}
