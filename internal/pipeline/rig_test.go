package pipeline

import (
	"context"
	"errors"
	"sync"
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
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// rig is a pipeline over stand-ins: a service "db" with the primary p and the
// replicas r1 and r2. Use it inside a synctest bubble.
type rig struct {
	*Pipeline
	t       testing.TB
	clock   func() time.Duration
	admit   *admissionStandin
	servers *serversStandin
	logged  *observer.ObservedLogs
	beliefs *leadership.PrimaryView
}

// admissionStandin counts tokens and refuses nothing.
type admissionStandin struct {
	mu              sync.Mutex
	spent, refunded int
	isolated        bool
	refuses         error
}

func (a *admissionStandin) Isolated() bool { return a.isolated }

func (a *admissionStandin) Admit(context.Context, string, time.Duration) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.spent++
	return a.refuses
}

func (a *admissionStandin) Refund(string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refunded++
}

// behaviour is how an endpoint answers a command.
type behaviour func(ctx context.Context, command request.Command) (request.Answer, error)

// serversStandin is the endpoints.
type serversStandin struct {
	mu       sync.Mutex
	answers  map[string]behaviour
	received map[string]int
}

func (s *serversStandin) Dial(_ context.Context, e catalog.Endpoint, _ string) (backend.Conn, error) {
	return &linkStandin{servers: s, endpoint: e.ID}, nil
}

// count returns how many statements the endpoint has received.
func (s *serversStandin) count(endpoint string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.received[endpoint]
}

type linkStandin struct {
	servers  *serversStandin
	endpoint string
}

func (c *linkStandin) Exchange(ctx context.Context, commands []request.Command) ([]request.Answer, error) {
	answers := make([]request.Answer, 0, len(commands))
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
			return nil, err
		}
		answers = append(answers, a)
	}
	return answers, nil
}

func (c *linkStandin) Reusable() bool { return true }
func (c *linkStandin) Close()         {}

// served answers after the time of a usual statement.
func served(context.Context, request.Command) (request.Answer, error) {
	time.Sleep(20 * time.Millisecond)
	return request.Answer{Signature: "signed", Position: oneCommit}, nil
}

// silent takes the statement and never answers.
func silent(ctx context.Context, _ request.Command) (request.Answer, error) {
	<-ctx.Done()
	return request.Answer{}, ctx.Err()
}

// refuses answers with an error of the endpoint's own.
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

// routes of the rig, all to the same service.
var rigRoutes = map[string]catalog.Route{
	"own":     {Database: "own", Service: "db", Consistency: catalog.ReadYourWrites, Timeout: time.Second, Public: false},
	"primary": {Database: "primary", Service: "db", Consistency: catalog.PrimaryReads, Timeout: time.Second},
}

func newRig(t testing.TB) *rig {
	began := time.Now()
	r := &rig{t: t, admit: &admissionStandin{}}
	r.clock = func() time.Duration { return time.Since(began) + time.Hour }
	r.servers = &serversStandin{answers: make(map[string]behaviour), received: make(map[string]int)}
	core, logged := observer.New(zap.InfoLevel)
	r.logged = logged
	registry := catalog.NewRegistry([]catalog.Endpoint{
		{ID: "p", Service: "db", FailureDomain: "a", Slots: 3, Role: catalog.RolePrimary},
		{ID: "r1", Service: "db", FailureDomain: "a", Slots: 3, Role: catalog.RoleReplica},
		{ID: "r2", Service: "db", FailureDomain: "b", Slots: 3, Role: catalog.RoleReplica},
	})
	current := func() *catalog.Registry { return registry }
	configuration := &catalog.Configuration{
		Routes: rigRoutes, Services: map[string]catalog.Service{"db": {Name: "db", MaxConnections: 20}},
		KeyOwners: map[catalog.KeyHash]string{catalog.HashKey("key"): "lifts"},
	}
	r.beliefs = leadership.NewPrimaryView(r.clock, zap.NewNop(), current)
	health := backend.NewHealth(r.clock)
	pools, err := backend.NewPools(backend.Config{
		Dialer: r.servers, Health: health, Clock: r.clock, Registry: current,
		Members: func() int { return 1 }, MaxConnections: func(string) int { return 20 },
	})
	require.NoError(t, err)
	r.Pipeline, err = New(Config{
		FailureDomain: "a", Configuration: func() *catalog.Configuration { return configuration }, Registry: current,
		PrimaryView: r.beliefs, Admission: r.admit, Pools: pools, Health: health, Clock: r.clock, Log: zap.New(core),
	})
	require.NoError(t, err)
	r.renew()
	return r
}

// renew makes the evidence for the primary fresh.
func (r *rig) renew() {
	r.beliefs.Apply(follow.Snapshot{AsOf: r.clock()}, leadership.Membership{Listed: true, Count: 1})
}

func (r *rig) open(database string) *Session {
	s, err := r.Open(database, catalog.HashKey("key"))
	require.NoError(r.t, err)
	return s
}

func readOf(id string) request.Statement {
	return request.Statement{ID: id, Kind: request.Read, Text: "READ 1"}
}

func writeOf(id string) request.Statement {
	return request.Statement{ID: id, Kind: request.Write, Text: "WRITE 1 x"}
}

// oneCommit is the position of the rig's endpoints.
var oneCommit = position.Position{Term: 1, Offset: 1}

// inTransaction answers as served, with a transaction open.
func inTransaction(ctx context.Context, command request.Command) (request.Answer, error) {
	answer, err := served(ctx, command)
	answer.Transaction = request.Open
	return answer, err
}

// zapNumber is the field that every line of an event carries.
func zapNumber(number int) zap.Field { return zap.Int("event", number) }
