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
	id       = "planos-db/caxias"
	patience = 20 * time.Second
)

// units is a share that tests change. It hands back only what is out of use.
type units struct {
	atomic.Int64
	used    atomic.Int64
	changed chan struct{}
}

// SetUsed notes the connections in use.
func (u *units) SetUsed(n int) { u.used.Store(int64(n)) }

func (u *units) Changed() <-chan struct{} { return u.changed }

func (u *units) Take(time.Time, float64) (time.Duration, bool) { return 0, true }
func (u *units) Units(time.Time) int                           { return int(u.Load()) }

// countedConn counts how many transports are open.
type countedConn struct {
	*net.TCPConn
	rig    *rig
	once   sync.Once
	silent atomic.Bool
}

// Close counts down once.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.rig.open.Add(-1)
		if hold := c.rig.slowClose.Swap(nil); hold != nil {
			<-*hold
		}
	})
	return c.TCPConn.Close()
}

// Read gives nothing while the connection is silent.
func (c *countedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

type rig struct {
	board      *blackboard.Board
	metrics    *metrics.Set
	pools      *pool.Pools
	units      units
	open, peak atomic.Int64
	// slowClose holds up the next close after its connection has ended.
	slowClose atomic.Pointer[chan struct{}]
	mu        sync.Mutex
	conns     []*countedConn
	group     *database.Group
	now       atomic.Int64
}

func (r *rig) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	open := r.open.Add(1)
	for peak := r.peak.Load(); open > peak && !r.peak.CompareAndSwap(peak, open); peak = r.peak.Load() {
	}
	counted := &countedConn{TCPConn: conn.(*net.TCPConn), rig: r}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, counted)
	return counted, nil
}

func newRig(t testing.TB, limit int64, stub database.Config, change func(*pool.Config)) *rig {
	t.Helper()
	stub.Servers = []database.ServerConfig{{Endpoint: id}}
	group, err := database.StartGroup(stub)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	r := &rig{board: blackboard.NewBoard(), metrics: metrics.NewSet(), group: group}
	r.units.Store(limit)
	r.units.changed = make(chan struct{})
	r.board.Shares.Put("conn/"+id, blackboard.Share{Spender: &r.units})
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

func (r *rig) configure(leaving bool) {
	r.board.Configuration.Set(fleetconfig.Compile(&configv1.Configuration{Services: []*configv1.Service{{
		Name: "planos-db", Username: r.group.Username(), Password: r.group.Password(),
		Endpoints: []*configv1.Endpoint{{Id: id, Address: r.group.Primary().Address(), Leaving: leaving}},
	}}}))
}

func (r *rig) acquire(t testing.TB) *pool.Lease {
	t.Helper()
	lease, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id, Organisation: "alpha"})
	require.NoError(t, err)
	return lease
}

func query(t testing.TB, lease *pool.Lease) {
	t.Helper()
	require.NoError(t, lease.Conn.Probe(patience))
}

// TestLimitHolds uses and abuses connections from many goroutines and holds that
// there are never more transports than the share.
func TestLimitHolds(t *testing.T) {
	const limit = 3
	r := newRig(t, limit, database.Config{ConnectTime: time.Millisecond}, func(*pool.Config) {})
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
	require.Eventually(t, func() bool { return r.units.used.Load() == r.open.Load() }, patience, time.Millisecond)
}

func TestOneLeasePerConnection(t *testing.T) {
	r := newRig(t, 4, database.Config{}, func(*pool.Config) {})
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

func TestGrowingShareWakesTheQueue(t *testing.T) {
	r := newRig(t, 1, database.Config{}, func(c *pool.Config) { c.MaintenanceInterval = time.Hour })
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
	require.Eventually(t, func() bool { return r.pools.InFlight(id) == 2 }, patience, time.Millisecond)
	r.units.Store(2)
	close(r.units.changed)
	require.NoError(t, <-waiting)
}

func TestShrinkingShare(t *testing.T) {
	r := newRig(t, 3, database.Config{}, func(*pool.Config) {})
	leases := []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)}
	leases[0].Release()
	r.units.Store(1)
	require.Eventually(t, func() bool { return r.open.Load() == 2 }, patience, time.Millisecond)
	leases[1].Release()
	require.EqualValues(t, 1, r.open.Load())
	leases[2].Release()
	require.EqualValues(t, 1, r.open.Load())
	// The end of a connection is reported after it.
	require.Eventually(t, func() bool { return r.units.used.Load() == 1 }, patience, time.Millisecond)
	r.units.Store(0)
	require.Eventually(t, func() bool { return r.open.Load() == 0 }, patience, time.Millisecond)
	waiting := make(chan error, 1)
	go func() {
		lease, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id})
		if err == nil {
			lease.Release()
		}
		waiting <- err
	}()
	require.Eventually(t, func() bool { return r.pools.InFlight(id) == 1 }, patience, time.Millisecond)
	r.units.Store(1)
	close(r.units.changed)
	require.NoError(t, <-waiting)
}

// TestClosingConnectionTakesNoPlace holds that a connection which is being closed is
// not taken for one too many, for which another one would have to go.
func TestClosingConnectionTakesNoPlace(t *testing.T) {
	r := newRig(t, 3, database.Config{}, func(*pool.Config) {})
	leases := []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)}
	hold := make(chan struct{})
	defer close(hold)
	r.slowClose.Store(&hold)
	leases[0].Release()
	r.units.Store(1)
	require.Eventually(t, func() bool { return r.open.Load() == 2 }, patience, time.Millisecond)
	leases[1].Release()
	leases[2].Release()
	require.EqualValues(t, 1, r.open.Load())
}

func TestLeavingEndpoint(t *testing.T) {
	r := newRig(t, 2, database.Config{}, func(*pool.Config) {})
	idle, used := r.acquire(t), r.acquire(t)
	idle.Release()
	r.configure(true)
	_, err := r.pools.Acquire(context.Background(), pool.Request{Endpoint: id})
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Eventually(t, func() bool { return r.open.Load() == 1 }, patience, time.Millisecond)
	query(t, used)
	used.Release()
	require.Zero(t, r.open.Load())
}

// TestSilentConnections holds that connections that went silent together are
// found before they get work, while new ones to the same endpoint are used.
func TestSilentConnections(t *testing.T) {
	cases := map[string]func(t *testing.T, r *rig){
		"idle for long": func(_ *testing.T, r *rig) { r.now.Store(int64(time.Minute)) },
		"sibling found silent in use": func(t *testing.T, r *rig) {
			lease := r.acquire(t)
			require.Error(t, lease.Conn.Probe(50*time.Millisecond))
			lease.Release()
		},
	}
	for name, find := range cases {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 3, database.Config{}, func(*pool.Config) {})
			for _, lease := range []*pool.Lease{r.acquire(t), r.acquire(t), r.acquire(t)} {
				lease.Release()
			}
			r.mu.Lock()
			for _, conn := range r.conns {
				conn.silent.Store(true)
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
