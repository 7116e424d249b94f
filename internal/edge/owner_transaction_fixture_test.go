package edge

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pipeline"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// pinningServer is an endpoint that notes which connection each statement has run on, and
// which connections were closed.
type pinningServer struct {
	mu     sync.Mutex
	dials  int
	ran    []string // connection:statement
	closed []string
	// before is called before a statement is answered.
	before func(command request.Command)
	// outside is the text of a statement that runs outside its transaction.
	outside string
	// quiet is true if nobody commits, so that the log stays where it is.
	quiet bool
}

func (s *pinningServer) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dials++
	return &pinningConn{s: s, name: strconv.Itoa(s.dials)}, nil
}

func (s *pinningServer) history() (ran, closed []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...), append([]string(nil), s.closed...)
}

type pinningConn struct {
	s     *pinningServer
	name  string
	state request.Transaction
	// signed counts the signatures on the connection.
	signed int
	log    position.Position // to which each command adds one
}

func (c *pinningConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	for _, command := range commands {
		c.s.mu.Lock()
		c.s.ran = append(c.s.ran, c.name+":"+command.Text)
		before, quiet := c.s.before, c.s.quiet
		c.s.mu.Unlock()
		if before != nil {
			before(command)
		}
		switch command.Kind {
		case request.Begin:
			c.state = request.Open
		case request.Commit, request.Rollback:
			c.state = request.Idle
		}
		if !quiet {
			c.log.Offset++
		}
		answer := request.Answer{Transaction: c.state, Position: c.log}
		if command.Text != "" && command.Text == c.s.outside {
			answer.Transaction = request.Idle
		}
		if command.ID != "" && command.Kind != request.Begin && command.Kind != request.Rollback {
			c.signed++
			answer.Signature = strconv.Itoa(c.signed)
		}
		if !accept(answer) {
			break
		}
	}
	return nil
}

func (c *pinningConn) Reusable() bool { return true }

func (c *pinningConn) Close() {
	c.s.mu.Lock()
	defer c.s.mu.Unlock()
	c.s.closed = append(c.s.closed, c.name)
}

// transactionFixture is an ownerFixture whose endpoint is a primary and pins transactions.
type transactionFixture struct {
	*ownerFixture
	t      *testing.T
	server *pinningServer
	use    *leadership.Use
}

func newTransactionFixture(t *testing.T) *transactionFixture {
	f := &transactionFixture{ownerFixture: newOwnerFixture(t), t: t, server: &pinningServer{}}
	f.endpoint.Role = catalog.RolePrimary
	f.owner.cfg.Ports.Dialer = f.server
	require.NoError(t, f.owner.buildPipeline())
	for _, i := range []*Instance{f.requester, f.owner} {
		i.configuration.Set(&catalog.Configuration{
			Version: 2, TransactionIdle: time.Minute, Services: map[string]catalog.Service{"db": {Name: "db", MaxConnections: 7}},
		})
		i.registry.Set(catalog.NewRegistry([]catalog.Endpoint{f.endpoint}))
		i.primaryView.Apply(follow.Snapshot{AsOf: i.cfg.Clock()}, leadership.Membership{Listed: true, Count: 2})
		members := i.members.Get()
		i.members.Set([]member{
			{Name: "a1", FailureDomain: "a", Address: members[0].Address, Incarnation: f.requester.incarnation},
			{Name: "b1", FailureDomain: "b", Address: members[1].Address, Incarnation: f.owner.incarnation},
		})
		i.assignOwners()
	}
	use, err := f.requester.primaryView.Acquire("db")
	require.NoError(t, err)
	t.Cleanup(use.Release)
	f.use = use
	return f
}

func (f *transactionFixture) path() pipeline.OwnerPath {
	path, ok := f.requester.viaOwner(f.endpoint, "shop", backend.Turn{Priority: 1, Transaction: true})
	require.True(f.t, ok)
	return path
}

func (f *transactionFixture) context() context.Context {
	ctx, cancel := context.WithTimeout(f.t.Context(), 500*time.Millisecond)
	f.t.Cleanup(cancel)
	return ctx
}

func statementOf(kind request.Kind, text string) request.Command {
	return request.Command{Statement: request.Statement{ID: text, Kind: kind, Text: text}}
}

func (f *transactionFixture) begin(first request.Command) (pipeline.Begun, error) {
	return f.path().Begin(f.context(), f.use, statementOf(request.Begin, "BEGIN"), first, backend.Needs{Values: map[string]string{"colour": "red"}})
}

func (f *transactionFixture) run(conn pipeline.TransactionConn, command request.Command) (sent bool, err error) {
	_, sent, err = conn.Run(f.context(), backend.Needs{Values: map[string]string{"colour": "red"}}, command)
	return sent, err
}

func (f *transactionFixture) requireRolledBack() {
	require.Eventually(f.t, func() bool {
		_, closed := f.server.history()
		return len(closed) == 1 && f.owner.transactions.count() == 0
	}, 5*time.Second, time.Millisecond)
}

// evacuateAtOwner evacuates the failure domain of the endpoint, as only the owner knows.
func (f *transactionFixture) evacuateAtOwner(since time.Duration) {
	endpoint := f.endpoint
	endpoint.Evacuated = true
	r := catalog.NewRegistry([]catalog.Endpoint{endpoint})
	r.Evacuated = map[string]time.Duration{endpoint.FailureDomain: since}
	f.owner.registry.Set(r)
}
