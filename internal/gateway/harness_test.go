package gateway_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"flag"
	"net"
	"net/http/httptest"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/fleetconfig"
	"github.com/hornbeamlock/hornbeamlock/internal/gateway"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/standin/database"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("test.fuzz").Value.String() != "" {
		os.Exit(m.Run())
	}
	goleak.VerifyTestMain(m)
}

const (
	patience = 20 * time.Second
	service  = "pass-ledger"
	key      = "hbl_k1_secretsecretsecret"
)

// groups stands in for the group controller: it looks at the servers directly.
type groups struct {
	board    *blackboard.Board
	group    *database.Group
	indexes  atomic.Int64
	failures sync.Map
	// confirm replaces Confirm when set.
	confirm func(ctx context.Context, p position.Position) error
}

func (g *groups) Confirm(ctx context.Context, _ string, p position.Position) error {
	if g.confirm != nil {
		return g.confirm(ctx, p)
	}
	for {
		holders := 0
		for _, s := range g.group.Servers() {
			status := s.Status()
			if status.PromisedTerm == p.Term && !status.Durable.Less(p) {
				holders++
			}
		}
		if holders > len(g.group.Servers())/2 {
			return nil
		}
		select {
		case <-ctx.Done():
			return verdict.New(verdict.MayHaveRun, verdict.CodeCompletionUnknown, "not confirmed")
		case <-time.After(time.Millisecond):
		}
	}
}

func (g *groups) ReadIndex(context.Context, string) (position.Position, error) {
	g.indexes.Add(1)
	if g.group == nil {
		return position.Position{}, verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "no group")
	}
	return g.group.Primary().Status().Durable, nil
}

func (g *groups) ReportFailure(id string, err error) { g.failures.Store(id, err) }

func (g *groups) AwaitPrimary(ctx context.Context, service string, notTerm uint64) (blackboard.Group, error) {
	for {
		changed := g.board.Groups.Changed()
		row, _ := g.board.Groups.Get(service)
		if row.Primary != "" && !row.Electing && row.Term != notTerm {
			return row, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return row, ctx.Err()
		}
	}
}

func (g *groups) Touch(string) {}

// admission admits everything unless told otherwise.
type admission struct {
	admitted atomic.Int64
	refuse   atomic.Bool
	// onRetry runs before a repetition is allowed, if set.
	onRetry func()
}

func (a *admission) Admit(context.Context, string) error {
	if a.refuse.Load() {
		return verdict.New(verdict.NotRun, verdict.CodeConfigurationLimit, "over the rate").WithRetryAfter(time.Second)
	}
	a.admitted.Add(1)
	return nil
}

func (a *admission) AllowRetry(string) bool {
	if a.onRetry != nil {
		a.onRetry()
	}
	return true
}

// units is a share of a fixed size.
type units int

func (u units) Take(time.Time, float64) (time.Duration, bool) { return 0, true }
func (u units) Units(time.Time) int                           { return int(u) }

// rig is a gateway in front of a group of stand-in servers.
type rig struct {
	t         testing.TB
	group     *database.Group
	board     *blackboard.Board
	groups    *groups
	admission *admission
	pools     *pool.Pools
	server    *gateway.Server
	metrics   *metrics.Set
	address   string
	now       atomic.Int64 // lease clock
	dials     *dialer
	// pausedServers is how many servers, from the first, answer nothing.
	pausedServers int
}

// dialer keeps the transports to the endpoints, so that tests can break them.
type dialer struct {
	mu    sync.Mutex
	conns []net.Conn
	wrap  func(net.Conn) net.Conn
}

func (d *dialer) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wrap != nil {
		conn = d.wrap(conn)
	}
	d.conns = append(d.conns, conn)
	return conn, nil
}

type options struct {
	database database.Config
	gateway  func(*gateway.Config)
	pool     func(*pool.Config)
	units    int
}

func newRig(t testing.TB, o options) *rig {
	t.Helper()
	o.database.Service = service
	if o.database.Schema == nil {
		o.database.Schema = []string{"CREATE TABLE passes (id INTEGER PRIMARY KEY, holder TEXT NOT NULL)"}
	}
	group, err := database.StartGroup(o.database)
	require.NoError(t, err)
	t.Cleanup(group.Close)
	r := &rig{t: t, group: group, board: blackboard.NewBoard(), admission: &admission{}, metrics: metrics.NewSet(), dials: &dialer{}}
	r.groups = &groups{board: r.board, group: group}
	if o.units == 0 {
		o.units = 8
	}
	r.configure(func(*configv1.Configuration) {})
	for _, s := range group.Servers() {
		resource := "conn/" + s.Endpoint()
		r.board.Shares.Put(resource, blackboard.Share{Resource: resource, Spender: units(o.units)})
	}
	r.sample()
	r.now.Store(int64(time.Hour))
	r.board.Lease.Set(blackboard.ServingLease{Lease: lease.StartingAt(time.Hour, time.Hour)})
	r.start(o)
	return r
}

// start runs the pools and the gateway until the test ends.
func (r *rig) start(o options) {
	poolConfig := pool.Config{Board: r.board, Dial: r.dials.dial, MaintenanceInterval: 10 * time.Millisecond, Metrics: r.metrics, ReportFailure: r.groups.ReportFailure}
	if o.pool != nil {
		o.pool(&poolConfig)
	}
	var err error
	r.pools, err = pool.New(poolConfig)
	require.NoError(r.t, err)
	cfg := gateway.Config{
		Board: r.board, Groups: r.groups, Pools: r.pools, Admission: r.admission, Metrics: r.metrics,
		Clock: func() time.Duration { return time.Duration(r.now.Load()) },
	}
	if o.gateway != nil {
		o.gateway(&cfg)
	}
	r.server, err = gateway.New(cfg)
	require.NoError(r.t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(r.t, err)
	r.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	poolsDone, served := make(chan error, 1), make(chan error, 1)
	poolsCtx, cancelPools := context.WithCancel(context.Background())
	go func() { poolsDone <- r.pools.Run(poolsCtx) }()
	go func() { served <- r.server.Serve(ctx, listener) }()
	r.t.Cleanup(func() {
		cancel()
		require.NoError(r.t, <-served)
		cancelPools()
		require.NoError(r.t, <-poolsDone)
	})
}

// configure puts a configuration in force, after change.
func (r *rig) configure(change func(*configv1.Configuration)) {
	digest := sha256.Sum256([]byte(key))
	c := &configv1.Configuration{
		Version: 1,
		Services: []*configv1.Service{{
			Name: service, Username: r.group.Username(), Password: r.group.Password(),
		}},
		Organisations: []*configv1.Organisation{{Name: "alpha"}, {Name: "beta"}},
		Keys:          []*configv1.Key{{Id: "k1", Organisation: "alpha", Sha256: digest[:]}},
	}
	for _, s := range r.group.Servers() {
		c.Services[0].Endpoints = append(c.Services[0].Endpoints, &configv1.Endpoint{Id: s.Endpoint(), Address: s.Address(), FailureDomain: s.FailureDomain()})
	}
	change(c)
	r.board.Configuration.Set(fleetconfig.Compile(c))
}

// sample writes what the servers say of themselves to the blackboard.
func (r *rig) sample() {
	for _, s := range r.group.Servers() {
		status := s.Status()
		row := blackboard.Endpoint{
			ID: s.Endpoint(), Service: service, Role: blackboard.RoleReplica, PromisedTerm: status.PromisedTerm,
			Durable: status.Durable, Replayed: status.Replayed, History: status.History,
			Serving: status.Serving, Reachable: true, SampledAt: time.Now(),
		}
		if status.Primary {
			row.Role = blackboard.RolePrimary
			r.board.Groups.Put(service, blackboard.Group{
				Service: service, Term: status.PromisedTerm, Primary: s.Endpoint(), History: status.History,
				PrimaryPosition: status.Durable, SampledAt: time.Now(),
			})
		}
		r.board.Endpoints.Put(s.Endpoint(), row)
	}
}

// dsn is a connection string of organisation alpha.
func (r *rig) dsn(extra string) string {
	host, port, err := net.SplitHostPort(r.address)
	require.NoError(r.t, err)
	return "host=" + host + " port=" + port + " user=alpha password=" + key + " dbname=" + service + " sslmode=disable " + extra
}

func (r *rig) connect(extra string) *pgx.Conn {
	r.t.Helper()
	conn, err := pgx.Connect(context.Background(), r.dsn(extra))
	require.NoError(r.t, err)
	r.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func exec(t testing.TB, conn *pgx.Conn, sql string, args ...any) {
	t.Helper()
	_, err := conn.Exec(context.Background(), sql, args...)
	require.NoError(t, err, sql)
}

func count(t testing.TB, conn *pgx.Conn) (n int) {
	t.Helper()
	require.NoError(t, conn.QueryRow(context.Background(), "SELECT count(*) FROM passes").Scan(&n))
	return n
}

// refused requires an error of the SQLSTATE and verdict given.
func refused(t testing.TB, err error, code string, v verdict.Verdict) *pgconn.PgError {
	t.Helper()
	var reported *pgconn.PgError
	require.ErrorAs(t, err, &reported)
	require.Equal(t, code, reported.Code, reported.Message)
	require.Equal(t, "verdict: "+v.String(), reported.Detail)
	return reported
}

func (r *rig) counter(name string) int64 { return r.metrics.Counter(name).Value() }

// primary is the id of the primary that the blackboard knows.
func (r *rig) primary() string {
	row, _ := r.board.Groups.Get(service)
	return row.Primary
}

// awaitInFlight waits until the endpoints have that many leases in all.
func (r *rig) awaitInFlight(n int) {
	r.t.Helper()
	require.Eventually(r.t, func() bool {
		sum := 0
		for _, s := range r.group.Servers() {
			sum += r.pools.InFlight(s.Endpoint())
		}
		return sum == n
	}, patience, time.Millisecond)
}

// awaitCallers waits until that many callers are connected.
func (r *rig) awaitCallers(n int) {
	r.t.Helper()
	require.Eventually(r.t, func() bool { return r.gauge("gateway_callers") == n }, patience, time.Millisecond)
}

// gauge reads one number of the metrics.
func (r *rig) gauge(name string) int {
	var vars map[string]json.RawMessage
	recorder := httptest.NewRecorder()
	r.metrics.ServeHTTP(recorder, nil)
	require.NoError(r.t, json.Unmarshal(recorder.Body.Bytes(), &vars))
	n, err := strconv.Atoi(string(vars[name]))
	require.NoError(r.t, err, name)
	return n
}
