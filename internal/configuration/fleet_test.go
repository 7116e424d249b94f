package configuration

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

var errDown = errors.New("no answer")

// fakeTable is an in-memory transactional table with a latency, which can be down or
// lose requests and responses.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision platform.Revision
	down     bool
	reads    int
	writes   int
	// onCommit, if set, returns the fault of a commit.
	onCommit func(writes []platform.Write) fault
	// onApplied, if set, is called after an applied commit, with the lock held.
	onApplied func(writes []platform.Write)
}

type fault int

const (
	faultNone fault = iota
	faultLoseRequest
	faultLoseResponse
)

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

const tableLatency = 2 * time.Millisecond

func (f *fakeTable) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(tableLatency):
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return errDown
	}
	return nil
}

func (f *fakeTable) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := f.wait(ctx); err != nil {
		return nil, time.Time{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	rows := make([]platform.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, time.Now(), nil
}

func (f *fakeTable) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := f.wait(ctx); err != nil {
		return nil, time.Time{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	var rows []platform.Row
	for _, key := range slices.Sorted(maps.Keys(f.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, f.rows[key])
		}
	}
	return rows, time.Now(), nil
}

func (f *fakeTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := f.wait(ctx); err != nil {
		return platform.CommitResult{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	outcome := faultNone
	if f.onCommit != nil {
		outcome = f.onCommit(writes)
	}
	if outcome == faultLoseRequest {
		return platform.CommitResult{}, errDown
	}
	result := f.apply(conditions, writes)
	if outcome == faultLoseResponse {
		return platform.CommitResult{}, errDown
	}
	return result, nil
}

func (f *fakeTable) apply(conditions []platform.Condition, writes []platform.Write) platform.CommitResult {
	f.writes++
	result := platform.CommitResult{Applied: true, Now: time.Now()}
	for _, c := range conditions {
		row := f.rows[c.Key]
		row.Key = c.Key
		result.Current = append(result.Current, row)
		result.Applied = result.Applied && row.Revision == c.Revision
	}
	if !result.Applied {
		return result
	}
	f.revision++
	result.Revision = f.revision
	defer func() {
		if f.onApplied != nil {
			f.onApplied(writes)
		}
	}()
	for _, w := range writes {
		if w.Delete {
			delete(f.rows, w.Key)
			continue
		}
		f.rows[w.Key] = platform.Row{Key: w.Key, Value: slices.Clone(w.Value), Revision: f.revision}
	}
	return result
}

func (f *fakeTable) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeTable) head(t require.TestingT) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	head, err := decodeHeadRow(f.rows[headRow])
	require.NoError(t, err)
	return head
}

type fakeObjects struct {
	mu   sync.Mutex
	data map[string][]byte
}

func (f *fakeObjects) Put(_ context.Context, name string, data []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.data[name] = data
	return nil
}

func (f *fakeObjects) Get(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if data, ok := f.data[name]; ok {
		return data, nil
	}
	return nil, trace.NotFound("no object %s", name)
}

// instance is one simulated entry instance.
type instance struct {
	id, domain string
	board      *blackboard.Board
	config     *Controller
	members    *membership.Controller
	cancel     context.CancelFunc
	done       sync.WaitGroup
	killed     atomic.Bool // goroutines that still run reach neither peers nor the table
}

// fleet is a set of instances on one in-memory network, in one synctest bubble.
type fleet struct {
	t       *testing.T
	base    time.Time
	table   *fakeTable
	objects *fakeObjects

	mu        sync.Mutex
	instances map[string]*instance // guarded by mu; running instances by address
	cut       func(from, to *instance) bool
	noTable   func(from *instance) bool
	calls     int
	bytes     int

	historyKept uint64     // for instances started from now on; 0 selects the default
	rng         *rand.Rand // guarded by mu
}

// testIsolation is the isolation limit in tests, shorter than the default so that
// fewer heartbeats are simulated.
const testIsolation = time.Minute

func newFleet(t *testing.T) *fleet {
	return &fleet{
		t: t, base: time.Now(), table: newFakeTable(), objects: &fakeObjects{data: make(map[string][]byte)},
		instances: make(map[string]*instance), rng: rand.New(rand.NewPCG(1, 1)),
	}
}

func (f *fleet) jitter() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *fleet) clock() time.Duration { return time.Since(f.base) + time.Hour }

// network is the Caller of one instance.
type network struct {
	fleet *fleet
	from  *instance
}

const networkLatency = 500 * time.Microsecond

func (n network) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	if err := n.transit(ctx, address); err != nil {
		return nil, err
	}
	n.fleet.mu.Lock()
	to := n.fleet.instances[address]
	n.fleet.calls++
	n.fleet.mu.Unlock()
	res := to.handle(ctx, proto.CloneOf(req))
	if err := n.transit(ctx, address); err != nil {
		return nil, err
	}
	n.fleet.mu.Lock()
	n.fleet.bytes += proto.Size(req) + proto.Size(res)
	n.fleet.mu.Unlock()
	if res.GetError() != "" {
		return nil, errors.New(res.GetError())
	}
	return proto.CloneOf(res), nil
}

// transit waits for the latency. If the destination cannot be reached, it waits for
// the end of ctx.
func (n network) transit(ctx context.Context, address string) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(networkLatency):
	}
	n.fleet.mu.Lock()
	to, cut := n.fleet.instances[address], n.fleet.cut
	n.fleet.mu.Unlock()
	if to == nil || n.from.killed.Load() || cut != nil && cut(n.from, to) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (i *instance) handle(ctx context.Context, req *peerv1.Request) *peerv1.Response {
	switch req.GetKind().(type) {
	case *peerv1.Request_Heartbeat:
		return i.members.HandleHeartbeat(ctx, req)
	case *peerv1.Request_Stage:
		return i.config.HandleStage(ctx, req)
	case *peerv1.Request_Resolve:
		return i.config.HandleResolve(ctx, req)
	case *peerv1.Request_FetchConfiguration:
		return i.config.HandleFetch(ctx, req)
	default:
		return &peerv1.Response{Error: "no handler"}
	}
}

// instanceTable is the table as seen by one instance.
type instanceTable struct {
	*fakeTable
	fleet *fleet
	from  *instance
}

// blocked returns nil if the instance reaches the table; otherwise it waits until ctx ends
// and returns its error.
func (c instanceTable) blocked(ctx context.Context) error {
	c.fleet.mu.Lock()
	noTable := c.fleet.noTable
	c.fleet.mu.Unlock()
	if c.from.killed.Load() || noTable != nil && noTable(c.from) {
		<-ctx.Done()
		return ctx.Err()
	}
	return nil
}

func (c instanceTable) Get(ctx context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	if err := c.blocked(ctx); err != nil {
		return nil, time.Time{}, err
	}
	return c.fakeTable.Get(ctx, keys...)
}

func (c instanceTable) List(ctx context.Context, prefix string) ([]platform.Row, time.Time, error) {
	if err := c.blocked(ctx); err != nil {
		return nil, time.Time{}, err
	}
	return c.fakeTable.List(ctx, prefix)
}

func (c instanceTable) Commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	if err := c.blocked(ctx); err != nil {
		return platform.CommitResult{}, err
	}
	return c.fakeTable.Commit(ctx, conditions, writes)
}

func addressOf(id string) string { return id + ":1" }

// start runs one instance.
func (f *fleet) start(id, domain string) *instance {
	i := &instance{id: id, domain: domain, board: blackboard.NewBoard()}
	table := instanceTable{fakeTable: f.table, fleet: f, from: i}
	var err error
	i.config, err = New(Config{
		ID: id, Board: i.board, Table: table, Objects: f.objects, Caller: network{f, i}, Clock: f.clock,
		HistoryKept: f.historyKept,
	})
	require.NoError(f.t, err)
	f.mu.Lock()
	seeds := slices.Sorted(maps.Keys(f.instances))
	f.mu.Unlock()
	i.members, err = membership.New(membership.Config{
		ID: id, FailureDomain: domain, PeerAddress: addressOf(id), Board: i.board, Table: table,
		Caller: network{f, i}, Configuration: i.config, Clock: f.clock, Seeds: seeds, Jitter: f.jitter,
		Limits: membership.Limits{Isolation: testIsolation},
	})
	require.NoError(f.t, err)
	i.config.SetMembership(i.members)
	ctx, cancel := context.WithCancel(context.Background())
	i.cancel = cancel
	f.mu.Lock()
	f.instances[addressOf(id)] = i
	f.mu.Unlock()
	i.done.Go(func() { require.NoError(f.t, i.members.Run(ctx)) })
	i.done.Go(func() { require.NoError(f.t, i.config.Run(ctx)) })
	return i
}

// kill stops an instance without an announced departure.
func (f *fleet) kill(i *instance) {
	i.killed.Store(true)
	f.mu.Lock()
	delete(f.instances, addressOf(i.id))
	f.mu.Unlock()
	i.cancel()
	i.done.Wait()
}

func (f *fleet) stopAll() {
	for _, i := range f.all() {
		f.kill(i)
	}
}

func (f *fleet) all() []*instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []*instance
	for _, address := range slices.Sorted(maps.Keys(f.instances)) {
		all = append(all, f.instances[address])
	}
	return all
}

// startMany starts n instances, distributed over the domains, and waits until all
// serve.
func (f *fleet) startMany(n int, domains ...string) []*instance {
	var all []*instance
	for k := range n {
		domain := domains[k%len(domains)]
		all = append(all, f.start(fmt.Sprintf("%s-%d", domain, k/len(domains)), domain))
	}
	f.waitServing(all...)
	return all
}

func (f *fleet) waitServing(all ...*instance) {
	f.waitFor("every instance serves and knows all others", func() bool {
		for _, i := range all {
			if !f.serving(i) || !i.members.Self().GetRegistered() || i.board.Members.Len() != len(f.all())-1 {
				return false
			}
		}
		return true
	})
}

// waitFor polls a condition by the bubble's clock until it is true.
func (f *fleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for range 20_000 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	require.Fail(f.t, "condition was never met: "+what)
}

// serving reports whether the instance may serve now.
func (f *fleet) serving(i *instance) bool { return i.board.Lease.Get().Lease.Valid(f.clock()) }

// staleInstance describes an instance that may serve what only a version older than
// the accepted one allows; empty for none.
func (f *fleet) staleInstance(head uint64) string {
	for _, i := range f.all() {
		view := i.board.Configuration.Get()
		if f.serving(i) && view.Version < head && view.StagedVersion < head {
			return fmt.Sprintf("%s serves version %d staged %d while %d is accepted", i.id, view.Version, view.StagedVersion, head)
		}
	}
	return ""
}

// watchStep is the time between two checks. The moment of acceptance itself is checked
// in the table's commit.
const watchStep = 20 * time.Millisecond

// watch checks until stop is called that no instance serves by a version older than
// the accepted one.
func (f *fleet) watch() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	f.table.onApplied = func(writes []platform.Write) {
		for _, w := range writes {
			if w.Key != headRow {
				continue
			}
			head, err := decodeHeadRow(platform.Row{Value: w.Value})
			if stale := f.staleInstance(head); err != nil || stale != "" {
				f.t.Errorf("at the acceptance at %v: %s", time.Since(f.base), stale)
			}
		}
	}
	done.Go(func() {
		for ctx.Err() == nil {
			if stale := f.staleInstance(f.table.head(f.t)); stale != "" {
				f.t.Errorf("at %v: %s", time.Since(f.base), stale)
				return
			}
			time.Sleep(watchStep)
		}
	})
	return func() {
		cancel()
		done.Wait()
	}
}

func putOrganisation(id string, base uint64, name string) *configv1.Change {
	return &configv1.Change{Id: id, BaseVersion: base, Author: "test", Operations: []*configv1.Operation{{
		Kind: &configv1.Operation_PutOrganisation{PutOrganisation: &configv1.Organisation{Name: name, Rate: 1, Burst: 1}},
	}}}
}

// inBubble runs a test with a fleet and checks throughout that no instance serves
// by an older version.
func inBubble(t *testing.T, test func(t *testing.T, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		stop := f.watch()
		defer func() {
			stop()
			f.stopAll()
		}()
		test(t, f)
	})
}
