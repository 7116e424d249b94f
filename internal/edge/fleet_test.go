package edge

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
)

// memoryStore is a store in memory, with the latency of one call.
type memoryStore struct {
	stubPorts
	latency time.Duration

	mu      sync.Mutex
	rows    map[string]platform.Row // guarded by mu, as below
	version platform.Revision
	reads   int
	writes  int
	// refuseCommits makes all commits fail.
	refuseCommits bool
}

func (s *memoryStore) setRefusing(refusing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseCommits = refusing
}

func (s *memoryStore) Get(_ context.Context, keys ...string) ([]platform.Row, time.Time, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var list []platform.Row
	for _, key := range keys {
		row := s.rows[key]
		row.Key = key
		list = append(list, row)
	}
	return list, time.Now(), nil
}

func (s *memoryStore) List(_ context.Context, prefix string) ([]platform.Row, time.Time, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	var list []platform.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return list, time.Now(), nil
}

func (s *memoryStore) Commit(_ context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.refuseCommits {
		return platform.CommitResult{}, errStub
	}
	for _, c := range conditions {
		if s.rows[c.Key].Revision != c.Revision {
			return platform.CommitResult{}, nil
		}
	}
	s.version++
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, w.Key)
			continue
		}
		s.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: s.version}
	}
	return platform.CommitResult{Applied: true, Revision: s.version}, nil
}

// storedRows is a follow.Source of the rows with a prefix.
type storedRows struct {
	store  *memoryStore
	prefix string
	isCut  func() bool
}

func (s storedRows) Read(ctx context.Context) ([]follow.Row, platform.Revision, error) {
	if s.isCut() {
		time.Sleep(storeDialTimeout)
		return nil, 0, errStub
	}
	list, _, err := s.store.List(ctx, s.prefix)
	var rows []follow.Row
	for _, row := range list {
		rows = append(rows, follow.Row{Key: row.Key, Value: row.Value, Version: row.Revision})
	}
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	return rows, s.store.version, err
}

// memoryNetwork connects instances through pipes, by address.
type memoryNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener // guarded by mu, as below
	domains   map[string]string          // failure domain by address
	cut       string                     // failure domain that is cut off from the others and the store
	storeOpen bool                       // the cut leaves the path to the store
	conns     []domainConn
}

// domainConn is a connection with the failure domains of both ends.
type domainConn struct {
	net.Conn
	from, to string
}

// isCut reports whether the path between two failure domains is cut; "" is the store's.
func (n *memoryNetwork) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if to == "" && n.storeOpen {
		return false
	}
	return n.cut != "" && from != to && (from == n.cut || to == n.cut)
}

type memoryListener struct {
	address  string
	accepted chan net.Conn
	closed   chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, io.EOF
	}
}

func (l *memoryListener) Close() error   { close(l.closed); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.UnixAddr{Name: l.address} }

// dialFrom returns the dial function of the instances of a failure domain.
func (n *memoryNetwork) dialFrom(domain string) DialFunc {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, ok := n.listeners[address]
		to := n.domains[address]
		n.mu.Unlock()
		if n.isCut(domain, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !ok {
			return nil, fmt.Errorf("nobody listens at %s", address)
		}
		conn, err := l.connect(ctx)
		if err == nil {
			n.mu.Lock()
			n.conns = append(n.conns, domainConn{conn, domain, to})
			n.mu.Unlock()
		}
		return conn, err
	}
}

// connect opens a connection to the listener.
func (l *memoryListener) connect(ctx context.Context) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	ours, theirs := net.Pipe()
	select {
	case l.accepted <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, io.EOF
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *memoryNetwork) listen(address, domain string) *memoryListener {
	l := &memoryListener{address: address, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address], n.domains[address] = l, domain
	return l
}

// memoryFleet is a fleet of instances in one process, over a store and a network in memory.
type memoryFleet struct {
	t         *testing.T
	store     *memoryStore
	network   *memoryNetwork
	instances []*Instance
	running   sync.WaitGroup
	stop      context.CancelFunc
	// stopOne stops single instances, by name, without deregistering them.
	stopOne map[string]context.CancelFunc
	began   time.Time
	ctx     context.Context // ends with the fleet
	// configure, if set, changes the configuration of an instance before it starts, and wrap the
	// handler of its peers' requests.
	configure func(*Config)
	wrap      func(name string, h http.Handler) http.Handler
}

// startFleet starts n instances in six failure domains at the same time.
func startFleet(t *testing.T, n int) *memoryFleet {
	f := newFleet(t)
	for k := range n {
		domain := string(rune('a' + k%6))
		f.instances = append(f.instances, f.start(fmt.Sprintf("edge-%s-%d", domain, k), domain, fmt.Sprintf("10.0.%d.%d:1", k/250, k%250)))
	}
	return f
}

// newFleet returns a fleet without instances.
func newFleet(t *testing.T) *memoryFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &memoryFleet{
		t: t, store: &memoryStore{latency: 4 * time.Millisecond, rows: make(map[string]platform.Row)},
		network: &memoryNetwork{listeners: make(map[string]*memoryListener), domains: make(map[string]string)}, stop: cancel,
		stopOne: make(map[string]context.CancelFunc), began: time.Now(), ctx: ctx,
	}
	f.store.rows["config"] = platform.Row{Key: "config", Revision: 1, Value: []byte("x")}
	f.store.version = 1
	return f
}

// start starts an instance.
func (f *memoryFleet) start(name, domain, address string) *Instance {
	config := Config{
		Name: name, FailureDomain: domain, PeerAddress: address,
		Allowance: quota.Allowance{Window: time.Second}, Dial: f.network.dialFrom(domain), Log: zap.NewNop(), Metrics: metrics.NewSet(),
		Clock: func() time.Duration { return time.Since(f.began) + time.Hour },
		Ports: Ports{
			Configuration: f.rowsFor(domain, "config"), Registry: f.rowsFor(domain, "server/"), Fleet: fleetRows{f.rowsFor(domain, "")},
			DecodeConfiguration: func([]follow.Row) (*catalog.Configuration, error) {
				return &catalog.Configuration{Version: 1, Organisations: map[string]catalog.Organisation{"shop": {Name: "shop", Rate: 100, Burst: 100}}}, nil
			},
			DecodeRegistry: func([]follow.Row, func(string, error)) *catalog.Registry { return catalog.NewRegistry(nil) },
			Table:          f.store, Dialer: stubPorts{}, Servers: stubPorts{}, Promoter: stubPorts{},
		},
	}
	if f.configure != nil {
		f.configure(&config)
	}
	i, err := New(config)
	require.NoError(f.t, err)
	ctx, stopOne := context.WithCancel(f.ctx)
	f.stopOne[name] = stopOne
	server := &http.Server{Handler: i.Handler()}
	if f.wrap != nil {
		server.Handler = f.wrap(name, i.Handler())
	}
	listener := f.network.listen(address, domain)
	f.running.Go(func() { _ = server.Serve(listener) })
	f.running.Go(func() { _ = i.Run(ctx) })
	f.running.Go(func() {
		<-ctx.Done()
		_ = server.Close()
	})
	return i
}

// restart starts an instance again in place of an earlier process, which leaves its row.
func (f *memoryFleet) restart(earlier *Instance) *Instance {
	f.stopOne[earlier.cfg.Name]()
	time.Sleep(100 * time.Millisecond)
	earlier.client.CloseIdle()
	i := f.start(earlier.cfg.Name, earlier.cfg.FailureDomain, earlier.cfg.PeerAddress)
	f.instances[slices.Index(f.instances, earlier)] = i
	return i
}

// storeDialTimeout is the time after which a connection to the store fails in a cut.
const storeDialTimeout = 250 * time.Millisecond

// rowsFor returns the rows with a prefix as the instances of a failure domain read them.
func (f *memoryFleet) rowsFor(domain, prefix string) storedRows {
	return storedRows{store: f.store, prefix: prefix, isCut: func() bool { return f.network.isCut(domain, "") }}
}

// cutOff cuts a failure domain off from the store and the other failure domains. Open
// connections across the cut are closed, which an instance notices as it would a timeout.
func (f *memoryFleet) cutOff(domain string) {
	n := f.network
	n.mu.Lock()
	n.cut = domain
	conns := slices.Clone(n.conns)
	n.mu.Unlock()
	for _, c := range conns {
		if n.isCut(c.from, c.to) {
			c.Close()
		}
	}
}

// heal ends a cut.
func (f *memoryFleet) heal() {
	f.network.mu.Lock()
	defer f.network.mu.Unlock()
	f.network.cut = ""
}

// cutOffExceptStore cuts a failure domain off from the other failure domains only.
func (f *memoryFleet) cutOffExceptStore(domain string) {
	f.network.mu.Lock()
	f.network.storeOpen = true
	f.network.mu.Unlock()
	f.cutOff(domain)
}

// fleetRows is a follow.Source of the rows that the instances write.
type fleetRows struct{ storedRows }

func (s fleetRows) Read(ctx context.Context) ([]follow.Row, platform.Revision, error) {
	rows, version, err := s.storedRows.Read(ctx)
	return slices.DeleteFunc(rows, func(r follow.Row) bool { return r.Key == "config" }), version, err
}

func (f *memoryFleet) close() {
	f.stop()
	f.running.Wait()
	for _, i := range f.instances {
		i.client.CloseIdle()
	}
}

// admitted returns the number of instances that take part in the division of limits.
func (f *memoryFleet) admitted() int {
	count := 0
	for _, i := range f.instances {
		if i.joining.isAdmitted() {
			count++
		}
	}
	return count
}

// requests returns the number of requests between instances since the start, by kind.
func (f *memoryFleet) requests() map[string]int64 {
	kinds := make(map[string]int64)
	for _, i := range f.instances {
		for kind, n := range peerRequests(i) {
			kinds[kind] += n
		}
	}
	return kinds
}

// peerRequests returns the number of requests that an instance has sent, by kind.
func peerRequests(i *Instance) map[string]int64 {
	kinds := make(map[string]int64)
	i.cfg.Metrics.Labelled("peer_requests_total").Do(func(kv expvar.KeyValue) {
		kinds[kv.Key] = kv.Value.(*expvar.Int).Value()
	})
	return kinds
}

func sum(counts map[string]int64) int64 {
	var total int64
	for _, n := range counts {
		total += n
	}
	return total
}

// TestCostOfAFleetGrowsWithItsSizeOnly starts fleets of several sizes at once and lets them
// idle: what an instance sends and what it asks the store must not depend on the number of
// the others.
func TestCostOfAFleetGrowsWithItsSizeOnly(t *testing.T) {
	const startTime, idleTime = 10 * time.Second, 60 * time.Second
	type cost struct{ startRequests, idleRequests, startCalls, idleCalls float64 }
	costs := make(map[int]cost)
	sizes := []int{30, 120}
	for _, n := range sizes {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, n)
			defer f.close()
			time.Sleep(startTime)
			require.Equal(t, n, f.admitted(), "instances admitted to the division of limits")
			requests, calls := f.requests(), f.store.calls()
			time.Sleep(idleTime)
			t.Logf("%d instances, requests at the start: %v", n, requests)
			perInstance := func(count int64) float64 { return float64(count) / float64(n) }
			costs[n] = cost{
				startRequests: perInstance(sum(requests)), idleRequests: perInstance(sum(f.requests())-sum(requests)) / idleTime.Seconds(),
				startCalls: perInstance(calls), idleCalls: perInstance(f.store.calls()-calls) / idleTime.Seconds(),
			}
		})
		t.Logf("%d instances, for each: %.1f requests and %.1f calls of the store at the start, %.2f and %.3f a second after it",
			n, costs[n].startRequests, costs[n].startCalls, costs[n].idleRequests, costs[n].idleCalls)
	}
	small, large := costs[sizes[0]], costs[sizes[1]]
	require.Less(t, large.startRequests, 2*small.startRequests)
	require.Less(t, large.startCalls, 1.5*small.startCalls)
	require.Less(t, large.idleRequests, 1.2*small.idleRequests)
	require.LessOrEqual(t, large.idleCalls, small.idleCalls)
}

func (s *memoryStore) calls() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.reads + s.writes)
}
