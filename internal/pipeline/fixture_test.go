package pipeline

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// fixture is a pipeline over fakes: a service "db" with the primary p and the replicas r1
// and r2. Tests use it inside a synctest bubble.
type fixture struct {
	*Pipeline
	t           testing.TB
	clock       func() time.Duration
	admission   *fakeAdmission
	servers     *fakeServers
	logged      *observer.ObservedLogs
	primaryView *leadership.PrimaryView
}

// fakeAdmission counts tokens. It admits everything unless refusal is set.
type fakeAdmission struct {
	mu              sync.Mutex
	spent, refunded int
	isolated        bool
	refusal         error
}

func (a *fakeAdmission) Isolated() bool { return a.isolated }

func (a *fakeAdmission) Admit(context.Context, quota.Request) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spent++
	return a.refusal
}

func (a *fakeAdmission) Refund(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refunded++
}

// behaviour is how a fake endpoint answers a command.
type behaviour func(ctx context.Context, command request.Command) (request.Answer, error)

// fakeServers holds the behaviour of the endpoints and counts the statements received.
type fakeServers struct {
	mu       sync.Mutex
	answers  map[string]behaviour
	received map[string]int
	// dialling, if set, is called before a connection is opened.
	dialling func()
	// opened counts the open connections.
	opened atomic.Int64
}

func (s *fakeServers) Dial(_ context.Context, e catalog.Endpoint, _ string) (backend.Conn, error) {
	if s.dialling != nil {
		s.dialling()
	}
	s.opened.Add(1)
	return &fakeConn{servers: s, endpoint: e.ID}, nil
}

// count returns how many statements the endpoint has received.
func (s *fakeServers) count(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[endpoint]
}

type fakeConn struct {
	servers  *fakeServers
	endpoint string
	state    request.Transaction
}

func (c *fakeConn) Exchange(ctx context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	for _, command := range commands {
		c.servers.mu.Lock()
		answer, ok := c.servers.answers[c.endpoint]
		c.servers.received[c.endpoint]++
		c.servers.mu.Unlock()
		if !ok {
			answer = served
		}
		a, err := answer(ctx, command)
		if err != nil {
			return err
		}
		if a.Err == nil {
			c.state = stateAfter(command.Kind, c.state)
			a.Transaction = c.state
		}
		if !accept(a) {
			break
		}
	}
	return nil
}

func (c *fakeConn) Reusable() bool { return true }
func (c *fakeConn) Close()         { c.servers.opened.Add(-1) }

// stateAfter returns the transaction state after a statement that succeeded.
func stateAfter(kind request.Kind, before request.Transaction) request.Transaction {
	switch kind {
	case request.Begin:
		return request.Open
	case request.Commit, request.Rollback:
		return request.Idle
	default:
		return before
	}
}

// signatures counts the signatures of all endpoints.
var signatures atomic.Int64

// served answers successfully after the duration of an ordinary statement.
func served(_ context.Context, command request.Command) (request.Answer, error) {
	time.Sleep(20 * time.Millisecond)
	answer := request.Answer{Position: oneCommit}
	switch command.Kind {
	case request.Read, request.Write, request.Execute, request.Commit:
		answer.Signature = fmt.Sprint(signatures.Add(1))
	}
	return answer, nil
}

// neverAnswers accepts the statement and never answers.
func neverAnswers(ctx context.Context, _ request.Command) (request.Answer, error) {
	<-ctx.Done()
	return request.Answer{}, ctx.Err()
}

// refuses returns a behaviour that answers with a *verdict.Error as the endpoint's own
// error, and fails the connection with any other error.
func refuses(err error) behaviour {
	return func(context.Context, request.Command) (request.Answer, error) {
		time.Sleep(5 * time.Millisecond)
		answer := request.Answer{}
		if !errors.As(err, &answer.Err) {
			return answer, err
		}
		return answer, nil
	}
}

// fixtureRoutes are the routes of the fixture, all to the same service.
var fixtureRoutes = map[string]catalog.Route{
	"own":     {Database: "own", Service: "db", Consistency: catalog.ReadYourWrites, Timeout: time.Second, Public: false},
	"primary": {Database: "primary", Service: "db", Consistency: catalog.PrimaryReads, Timeout: time.Second},
}

func newFixture(t testing.TB) *fixture {
	began := time.Now()
	f := &fixture{t: t, admission: &fakeAdmission{}}
	f.clock = func() time.Duration { return time.Since(began) + time.Hour }
	f.servers = &fakeServers{answers: make(map[string]behaviour), received: make(map[string]int)}
	core, logged := observer.New(zap.InfoLevel)
	f.logged = logged
	registry := catalog.NewRegistry([]catalog.Endpoint{
		{ID: "p", Service: "db", FailureDomain: "a", Slots: 3, Role: catalog.RolePrimary},
		{ID: "r1", Service: "db", FailureDomain: "a", Slots: 3, Role: catalog.RoleReplica},
		{ID: "r2", Service: "db", FailureDomain: "b", Slots: 3, Role: catalog.RoleReplica},
	})
	current := func() *catalog.Registry { return registry }
	configuration := &catalog.Configuration{
		Routes: fixtureRoutes, Services: map[string]catalog.Service{"db": {Name: "db", MaxConnections: 20}},
		KeyOwners: map[catalog.KeyHash]string{catalog.HashKey("key"): "lifts"},
	}
	f.primaryView = leadership.NewPrimaryView(f.clock, zap.NewNop(), "", current)
	health := backend.NewHealth(f.clock)
	pools, err := backend.NewPools(backend.Config{
		Dialer: f.servers, Health: health, Clock: f.clock, Registry: current,
		Members: func() int { return 1 }, MaxConnections: func(string) int { return 20 },
	})
	require.NoError(t, err)
	f.Pipeline, err = New(Config{
		FailureDomain: "a", Configuration: func() *catalog.Configuration { return configuration }, Registry: current,
		PrimaryView: f.primaryView, Admission: f.admission, Pools: pools, Health: health, Clock: f.clock, Log: zap.New(core),
	})
	require.NoError(t, err)
	f.refreshPrimary()
	return f
}

// refreshPrimary renews the primary view as of now.
func (f *fixture) refreshPrimary() {
	f.primaryView.Apply(follow.Snapshot{AsOf: f.clock()}, leadership.Membership{Listed: true, Count: 1})
}

func (f *fixture) open(database string) *Session {
	s, err := f.Open(database, catalog.HashKey("key"))
	require.NoError(f.t, err)
	return s
}

func readOf(id string) request.Statement {
	return request.Statement{ID: id, Kind: request.Read, Text: "READ 1"}
}

func writeOf(id string) request.Statement {
	return request.Statement{ID: id, Kind: request.Write, Text: "WRITE 1 x"}
}

// oneCommit is the position that the fixture's endpoints report.
var oneCommit = position.Position{Term: 1, Offset: 1}

// eventField returns the log field that every line of an event has.
func eventField(number int) zap.Field { return zap.Int("event", number) }
