package leadership

import (
	"context"
	"errors"
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
	syncReplicas      int
	cut               map[string]bool // instances that reach only servers
	loseNextResponse  bool            // the response to the next commit is lost
	otherReplacements int             // replacements of other services that take fence numbers first
	// observers are the instances that notice servers being down, nil for all; slow holds
	// the extra time that instances take to revoke a primary.
	observers map[string]bool
	slow      map[string]time.Duration
	storeDown bool
	joining   map[string]time.Duration
	orders    []Promotion
	instances map[string]*instance
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
}

type server struct {
	status ServerStatus
	down   bool
}

type instance struct {
	f          *fleet
	name       string
	view       *PrimaryView
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
		draining: make(map[string]bool), evacuated: make(map[string]bool), cut: make(map[string]bool), instances: make(map[string]*instance),
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for _, name := range names {
		i := &instance{f: f, name: name}
		i.view = NewPrimaryView(f.clock, zap.NewNop(), domainOf(name), f.registry)
		controller, err := New(Config{
			Self: name, FailureDomain: domainOf(name), PrimaryView: i.view, Refresh: i.refresh, Registry: f.registry,
			Members: f.members, FreshMembers: func(context.Context) ([]Member, error) { return f.members(), i.reach("store") },
			SyncReplicas: func(string) int { return f.syncReplicas },
			Table:        i, Servers: i, Promoter: i, Peers: i, Health: i, Clock: f.clock,
			Reaches: func(_ context.Context, endpoint string) bool {
				return f.isUp(endpoint) && !f.probeIsUnanswered(endpoint)
			},
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
				pause.For(ctx, time.Second)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f
}

// domainOf returns the failure domain of an instance: the first letter of its name.
func domainOf(name string) string { return name[:1] }

func (f *fleet) announced() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.remoteLifetime
}

func (f *fleet) members() []Member {
	var list []Member
	for name := range f.instances {
		list = append(list, Member{Name: name, FailureDomain: domainOf(name), JoiningUntil: f.joining[name], RemoteLifetime: f.announced()})
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
		list = append(list, catalog.Endpoint{ID: id, Service: "db", Role: role, Draining: f.draining[id], FailureDomain: f.endpointDomain, Evacuated: f.evacuated[id]})
	}
	return catalog.NewRegistry(list)
}

// reach fails if the instance or the other side is cut off.
func (i *instance) reach(other string) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.cut[i.name] || i.f.cut[other] || other == "store" && i.f.storeDown {
		return errUnreachable
	}
	return nil
}

func (i *instance) refresh(ctx context.Context) error {
	sent := i.f.clock()
	rows, _, err := i.List(ctx, RowPrefix)
	if err != nil {
		return err
	}
	s := follow.Snapshot{AsOf: sent}
	for _, row := range rows {
		s.Rows = append(s.Rows, follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision})
	}
	i.view.Apply(s, Membership{Listed: true, Count: len(i.f.instances), RemoteLifetime: i.f.announced()})
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
	if i.f.otherReplacements > 0 {
		i.f.otherReplacements--
		i.f.revision++
		row := i.f.rows[fenceKey]
		row.Key, row.Value, row.Revision = fenceKey, []byte(`{"holder":"c","fence":7}`), i.f.revision
		i.f.rows[fenceKey] = row
	}
	for _, c := range conditions {
		if i.f.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}, nil
		}
	}
	i.f.revision++
	for _, w := range writes {
		i.f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: i.f.revision}
	}
	if i.f.loseNextResponse {
		i.f.loseNextResponse = false
		return platform.CommitResult{}, errUnreachable
	}
	return platform.CommitResult{Applied: true, Revision: i.f.revision}, nil
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

func (i *instance) Status(ctx context.Context, e catalog.Endpoint) (ServerStatus, error) {
	i.f.mu.Lock()
	s := *i.f.servers[e.ID]
	i.f.mu.Unlock()
	if !s.down {
		return s.status, nil
	}
	return ServerStatus{}, i.f.unanswered(ctx, errUnreachable)
}

func (i *instance) StepDown(_ context.Context, e catalog.Endpoint, term uint64) error {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	s := i.f.servers[e.ID]
	if s.down {
		return errUnreachable
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

func (i *instance) Revoke(ctx context.Context, m Member, service string, epoch uint64) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	if err := i.f.instances[m.Name].controller.Revoke(ctx, service, epoch); err != nil {
		return err
	}
	pause.For(ctx, i.f.slow[m.Name])
	return ctx.Err()
}

func (i *instance) NotifySettled(ctx context.Context, m Member) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	return i.f.instances[m.Name].refresh(ctx)
}

func (i *instance) Reaches(ctx context.Context, m Member, endpoint string) (bool, error) {
	if err := i.reach(m.Name); err != nil {
		return false, i.f.unanswered(ctx, err)
	}
	i.f.set(func() { i.f.reachRequests++ })
	return i.f.isUp(endpoint), nil
}

func (i *instance) ReportSuspect(_ context.Context, m Member, service, endpoint string) error {
	if err := i.reach(m.Name); err != nil {
		return err
	}
	i.f.instances[m.Name].controller.ReportSuspect(service, endpoint)
	return nil
}

func (f *fleet) isUp(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.servers[endpoint].down
}

func (f *fleet) probeIsUnanswered(endpoint string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ownProbes++
	return f.busy == endpoint
}

func (i *instance) IsReplacing(_ context.Context, m Member, service string, epoch uint64) (bool, error) {
	if err := i.reach(m.Name); err != nil {
		return false, err
	}
	return i.f.instances[m.Name].controller.IsReplacing(service, epoch), nil
}

func (i *instance) KnownEpochs(_ context.Context, m Member) (map[string]uint64, error) {
	if err := i.reach(m.Name); err != nil {
		return nil, err
	}
	i.f.set(func() { i.f.epochRequests++ })
	epochs, ok := i.f.instances[m.Name].view.KnownEpochs()
	if !ok {
		return nil, errUnreachable
	}
	return epochs, nil
}

func (i *instance) Attest(ctx context.Context, m Member) (Attestation, error) {
	if err := i.reach(m.Name); err != nil {
		return Attestation{}, err
	}
	i.f.set(func() { i.f.epochRequests++ })
	return i.f.instances[m.Name].controller.Attest(ctx), nil
}

func (i *instance) UnresponsiveFor(endpoint string) time.Duration {
	i.f.mu.Lock()
	defer i.f.mu.Unlock()
	if i.f.busy == endpoint {
		return time.Second
	}
	if i.f.servers[endpoint].down && (i.f.observers == nil || i.f.observers[i.name]) {
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

func (f *fleet) primary(name string) string {
	primary, err := f.instances[name].view.Primary("db")
	if err != nil {
		return ""
	}
	return primary.Endpoint
}
