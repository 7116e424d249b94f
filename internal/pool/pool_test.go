package pool_test

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	id          = "planos-db/caxias"
	waitTimeout = 20 * time.Second
)

// spender is a stub share whose units are set by tests.
type spender struct {
	atomic.Int64
	used    atomic.Int64
	changed chan struct{}
}

// SetUsed records the number of connections in use.
func (u *spender) SetUsed(n int) { u.used.Store(int64(n)) }

func (u *spender) Changed() <-chan struct{} { return u.changed }

func (u *spender) Take(time.Time, float64) (time.Duration, bool) { return 0, true }
func (u *spender) Units(time.Time) int                           { return int(u.Load()) }

// countedConn is a transport that is counted by the fixture while it is open.
type countedConn struct {
	*net.TCPConn
	fixture      *fixture
	once         sync.Once
	unresponsive atomic.Bool
}

// Close decrements the fixture's count at the first call.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.fixture.open.Add(-1)
		if hold := c.fixture.blockNextClose.Swap(nil); hold != nil {
			<-*hold
		}
	})
	return c.TCPConn.Close()
}

// Read discards all data while the connection is unresponsive.
func (c *countedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if err != nil || !c.unresponsive.Load() {
			return n, err
		}
	}
}

type fixture struct {
	board      *blackboard.Board
	metrics    *metrics.Set
	pools      *pool.Pools
	spender    spender
	open, peak atomic.Int64
	// blockNextClose, if set, blocks the next Close until the channel is closed, after
	// the connection was counted as closed.
	blockNextClose atomic.Pointer[chan struct{}]
	mu             sync.Mutex
	conns          []*countedConn
	group          *database.Group
	now            atomic.Int64
}

func (r *fixture) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	open := r.open.Add(1)
	for peak := r.peak.Load(); open > peak && !r.peak.CompareAndSwap(peak, open); peak = r.peak.Load() {
	}
	counted := &countedConn{TCPConn: conn.(*net.TCPConn), fixture: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, counted)
	return counted, nil
}

func newFixture(t testing.TB, limit int64, stub database.Config, change func(*pool.Config)) *fixture {
	t.Helper()
	stub.Servers = []database.ServerConfig{{Endpoint: id}}
	group, err := database.StartGroup(stub)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	r := &fixture{board: blackboard.NewBoard(), metrics: metrics.NewSet(), group: group}
	r.spender.Store(limit)
	r.spender.changed = make(chan struct{})
	r.board.Shares.Put("conn/"+id, blackboard.Share{Spender: &r.spender})
	r.configure(false)
	cfg := pool.Config{
		Board: r.board, Metrics: r.metrics, Dial: r.dial, MaintenanceInterval: 5 * time.Millisecond, ProbeTimeout: 100 * time.Millisecond,
		Now: func() time.Time { return time.Now().Add(time.Duration(r.now.Load())) },
	}
	change(&cfg)
	r.pools, err = pool.New(cfg)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.pools.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
		require.Zero(t, r.open.Load(), "connections were left open")
	})
	return r
}

func (r *fixture) configure(leaving bool) {
	r.board.Configuration.Set(fleetconfig.Compile(&configv1.Configuration{Services: []*configv1.Service{{
		Name: "planos-db", Username: r.group.Username(), Password: r.group.Password(),
		Endpoints: []*configv1.Endpoint{{Id: id, Address: r.group.Primary().Address(), Leaving: leaving}},
	}}}))
}

func (r *fixture) acquire(t testing.TB) *pool.Lease {
	t.Helper()
	lease, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id, Organisation: "alpha"})
	require.NoError(t, err)
	return lease
}

func query(t testing.TB, lease *pool.Lease) {
	t.Helper()
	require.NoError(t, lease.Conn.Probe(waitTimeout))
}

// TestLimitHolds checks that there are never more transports than the share allows,
// while many goroutines release connections that are clean, closed, tainted or within
// a transaction.
func TestLimitHolds(t *testing.T) {
	const limit = 3
	r := newFixture(t, limit, database.Config{ConnectTime: time.Millisecond}, func(c *pool.Config) {
		c.ConnectTimeout = waitTimeout // on a busy machine a login may take longer than the default
	})
	var users sync.WaitGroup
	for seed := range uint64(8) {
		users.Go(func() {
			random := rand.New(rand.NewPCG(1, seed))
			for range 40 {
				lease, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id, Organisation: "alpha"})
				if err != nil {
					t.Error(err)
					return
				}
				switch random.IntN(4) {
				case 0:
					lease.Conn.Close()
				case 1:
					lease.Conn.Taint()
				case 2:
					_, _ = lease.Conn.Send([]byte("Q\x00\x00\x00\x0aBEGIN\x00"), 1)
				}
				lease.Release()
				lease.Release()
			}
		})
	}
	users.Wait()
	require.LessOrEqual(t, r.peak.Load(), int64(limit))
	require.Eventually(t, func() bool { return r.spender.used.Load() == r.open.Load() }, waitTimeout, time.Millisecond)
}

func TestOneLeasePerConnection(t *testing.T) {
	r := newFixture(t, 4, database.Config{}, func(*pool.Config) {})
	held := make(map[any]bool)
	for range 4 {
		lease := r.acquire(t)
		defer lease.Release()
		require.False(t, held[lease.Conn])
		held[lease.Conn] = true
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := r.pools.Acquire(ctx, pool.Request{Endpoint: id})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

func TestGrowingShareDispatchesTheQueue(t *testing.T) {
	r := newFixture(t, 1, database.Config{}, func(c *pool.Config) { c.MaintenanceInterval = time.Hour })
	lease := r.acquire(t)
	defer lease.Release()
	waiting := make(chan error, 1)
	go func() {
		second, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id})
		if err == nil {
			second.Release()
		}
		waiting <- err
	}()
	require.Eventually(t, func() bool { return r.pools.InFlight(id) == 2 }, waitTimeout, time.Millisecond)
	r.spender.Store(2)
	close(r.spender.changed)
	require.NoError(t, <-waiting)
}

func TestShrinkingShare(t *testing.T) {
	r := newFixture(t, 3, database.Config{}, func(*pool.Config) {})
	leases := []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)}
	leases[0].Release()
	r.spender.Store(1)
	require.Eventually(t, func() bool { return r.open.Load() == 2 }, waitTimeout, time.Millisecond)
	leases[1].Release()
	require.EqualValues(t, 1, r.open.Load())
	leases[2].Release()
	require.EqualValues(t, 1, r.open.Load())
	// The closing of a connection is reported after it is done.
	require.Eventually(t, func() bool { return r.spender.used.Load() == 1 }, waitTimeout, time.Millisecond)
	r.spender.Store(0)
	require.Eventually(t, func() bool { return r.open.Load() == 0 }, waitTimeout, time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		lease, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id})
		if err == nil {
			lease.Release()
		}
		waiting <- err
	}()
	require.Eventually(t, func() bool { return r.pools.InFlight(id) == 1 }, waitTimeout, time.Millisecond)
	r.spender.Store(1)
	close(r.spender.changed)
	require.NoError(t, <-waiting)
}

// TestClosingConnectionIsNotSurplus checks that a connection which is being closed no
// longer counts against the limit, so that no other connection is closed because of it.
func TestClosingConnectionIsNotSurplus(t *testing.T) {
	r := newFixture(t, 3, database.Config{}, func(*pool.Config) {})
	leases := []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)}
	hold := make(chan struct{})
	defer close(hold)
	r.blockNextClose.Store(&hold)
	leases[0].Release()
	r.spender.Store(1)
	require.Eventually(t, func() bool { return r.open.Load() == 2 }, waitTimeout, time.Millisecond)
	leases[1].Release()
	leases[2].Release()
	require.EqualValues(t, 1, r.open.Load())
}

func TestLeavingEndpoint(t *testing.T) {
	r := newFixture(t, 2, database.Config{}, func(*pool.Config) {})
	idle, used := r.acquire(t), r.acquire(t)
	idle.Release()
	r.configure(true)
	_, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Eventually(t, func() bool { return r.open.Load() == 1 }, waitTimeout, time.Millisecond)
	query(t, used)
	used.Release()
	require.Zero(t, r.open.Load())
}

// TestUnresponsiveConnections checks that connections that became unresponsive together
// are detected before use, and that new connections to the same endpoint are used.
func TestUnresponsiveConnections(t *testing.T) {
	cases := map[string]func(t *testing.T, r *fixture){
		"idle for long": func(_ *testing.T, r *fixture) { r.now.Store(int64(time.Minute)) },
		"sibling found silent in use": func(t *testing.T, r *fixture) {
			lease := r.acquire(t)
			require.Error(t, lease.Conn.Probe(50*time.Millisecond))
			lease.Release()
		},
	}
	for name, find := range cases {
		t.Run(name, func(t *testing.T) {
			r := newFixture(t, 3, database.Config{}, func(*pool.Config) {})
			for _, lease := range []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)} {
				lease.Release()
			}
			r.mu.Lock()
			for _, conn := range r.conns {
				conn.unresponsive.Store(true)
			}
			r.mu.Unlock()
			find(t, r)
			lease := r.acquire(t)
			query(t, lease)
			lease.Release()
			require.EqualValues(t, 4, r.metrics.Counter("pool_connections_opened_total").Value())
		})
	}
}
