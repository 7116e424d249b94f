package backend

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// fakeEndpoint is an endpoint with a limit on its connections.
type fakeEndpoint struct {
	mu    sync.Mutex
	open  int
	limit int
	dials int
	sent  []request.Command
	// signed counts the signatures of the endpoint.
	signed int
	fail   error
	// refuses is a kind of statement that the endpoint answers with an error, 0 for none. A refused
	// PREPARE is carried out nevertheless if prepares is true, as FAILED allows.
	refuses  request.Kind
	prepares bool
	// panics makes the next exchange panic after its commands were sent.
	panics bool
	// log is the endpoint's position, to which each command adds one unless quiet is true.
	log   uint64
	quiet bool
}

type fakeConn struct {
	e      *fakeEndpoint
	closed bool
}

func (e *fakeEndpoint) Dial(_ context.Context, _ catalog.Endpoint, _ string) (Conn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dials++
	if e.open >= e.limit {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "full")
	}
	e.open++
	return &fakeConn{e: e}, nil
}

func (c *fakeConn) Exchange(_ context.Context, commands []request.Command, accept func(request.Answer) (more bool)) error {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	if c.e.fail != nil {
		return c.e.fail
	}
	c.e.sent = append(c.e.sent, commands...)
	if c.e.panics {
		c.e.panics = false
		panic("unexpected")
	}
	for _, command := range commands {
		if !c.e.quiet {
			c.e.log++
		}
		answer := request.Answer{Position: position.Position{Term: 1, Offset: c.e.log}}
		if isBarrier(command) {
			answer.Err = verdict.New(verdict.NotRun, verdict.CodeBehind, "behind")
		}
		if command.Kind.IsSigned() {
			c.e.signed++
			answer.Signature = strconv.Itoa(c.e.signed)
		}
		if c.e.refuses != 0 && command.Kind == c.e.refuses {
			answer.Err = verdict.New(verdict.Ran, verdict.CodeStatementFailed, "failed")
		}
		if c.e.refuses == request.Prepare && !c.e.prepares && command.Kind == request.Execute {
			answer.Err = verdict.New(verdict.NotRun, verdict.CodeUndefinedPreparedStmt, "no such name")
		}
		if !accept(answer) {
			break
		}
	}
	return nil
}

func (c *fakeConn) Reusable() bool { return !c.closed }

func (c *fakeConn) Close() {
	c.e.mu.Lock()
	defer c.e.mu.Unlock()
	if !c.closed {
		c.closed = true
		c.e.open--
	}
}

var testEndpoint = catalog.Endpoint{ID: "s1", Service: "db", Slots: 3}

func newPools(t *testing.T, e *fakeEndpoint, members int) *Pools {
	began := time.Now()
	clock := func() time.Duration { return time.Since(began) + time.Hour }
	p, err := NewPools(Config{
		Dialer: e, Health: NewHealth(clock), Clock: clock, Members: func() int { return members },
		MaxConnections: func(string) int { return e.limit },
		Registry:       func() *catalog.Registry { return catalog.NewRegistry([]catalog.Endpoint{testEndpoint}) },
	})
	require.NoError(t, err)
	return p
}

func read() request.Command {
	return request.Command{Statement: request.Statement{ID: "x", Kind: request.Read, Text: "READ 1"}}
}

// TestIdleConnectionOfAnotherOrganisationIsEvicted checks that an idle connection is reused
// only by its own organisation and closed when another organisation needs the slot.
func TestIdleConnectionOfAnotherOrganisationIsEvicted(t *testing.T) {
	e := &fakeEndpoint{limit: 1}
	p := newPools(t, e, 1)
	for _, organisation := range []string{"a", "a", "b", "a"} {
		pooled, err := p.Acquire(t.Context(), testEndpoint, organisation, Turn{})
		require.NoError(t, err)
		require.Equal(t, organisation, pooled.Organisation)
		pooled.Release()
	}
	require.Equal(t, 3, e.dials)
	require.Equal(t, 1, e.open)
}

// TestFullEndpointIsNotFlooded covers an endpoint whose connections are all held by others:
// many waiting statements together dial it only a few times a second.
func TestFullEndpointIsNotFlooded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEndpoint{limit: 0}
		p := newPools(t, e, 1)
		e.limit = 0
		var pending sync.WaitGroup
		for range 10 {
			pending.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, err := p.Acquire(ctx, testEndpoint, "a", Turn{})
				require.Equal(t, verdict.NotRun, verdict.Of(err))
			})
		}
		pending.Wait()
		require.LessOrEqual(t, e.dials, 12)
	})
}

// TestWaitingStatementGetsTheReleasedConnection checks that a released connection goes to a
// waiting statement, and that a lower priority number goes first.
func TestWaitingStatementGetsTheReleasedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEndpoint{limit: 1}
		p := newPools(t, e, 1)
		held, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		order := make(chan int, 2)
		for _, priority := range []int{2, 1} {
			go func() {
				pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{Priority: priority})
				require.NoError(t, err)
				order <- priority
				pooled.Release()
			}()
			synctest.Wait()
		}
		held.Release()
		require.Equal(t, 1, <-order)
		require.Equal(t, 2, <-order)
	})
}

// TestValuesAreThoseOfTheSession checks that values which a session lacks are cleared first,
// and that a connection which was acquired but not used records no new values. Otherwise a
// later statement runs without the values of its own session.
func TestValuesAreThoseOfTheSession(t *testing.T) {
	e := &fakeEndpoint{limit: 1}
	p := newPools(t, e, 1)
	run := func(values map[string]string) []request.Kind {
		pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		defer pooled.Release()
		e.sent = nil
		_, _, err = pooled.Run(t.Context(), Needs{Values: values}, read())
		require.NoError(t, err)
		var kinds []request.Kind
		for _, c := range e.sent {
			kinds = append(kinds, c.Kind)
		}
		return kinds
	}
	require.Equal(t, []request.Kind{request.Set, request.Begin, request.Read}, run(map[string]string{"colour": "red"}))
	require.Equal(t, []request.Kind{request.Read}, run(map[string]string{"colour": "red"}))
	require.Equal(t, []request.Kind{request.Set, request.Begin, request.Read}, run(map[string]string{"colour": "blue"}))
	require.Equal(t, []request.Kind{request.Reset, request.Begin, request.Read}, run(nil))
	pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
	require.NoError(t, err)
	pooled.Release() // acquired, and nothing sent
	require.Equal(t, []request.Kind{request.Set, request.Begin, request.Read}, run(map[string]string{"colour": "red"}))
}

// TestStatementDoesNotRunWithoutItsSession guards against a statement that an endpoint runs although it
// has failed the SET or RESET before, with the values of the connection's last session.
func TestStatementDoesNotRunWithoutItsSession(t *testing.T) {
	execute := request.Command{Statement: request.Statement{ID: "x", Kind: request.Execute, Name: "p", Prepared: request.Prepared{Shape: "READ q"}}}
	needs := Needs{Values: map[string]string{"branch": "north"}}
	prepared := Needs{Values: needs.Values, Prepared: &execute.Prepared}
	for _, c := range []struct {
		name    string
		refuses request.Kind
		needs   Needs
		command request.Command
	}{
		{"SET", request.Set, needs, read()},
		{"SET of another session", request.Set, Needs{Values: map[string]string{"branch": "south"}}, read()},
		{"RESET", request.Reset, Needs{}, read()},
		{"SET before PREPARE", request.Set, prepared, execute},
		{"PREPARE", request.Prepare, prepared, execute},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEndpoint{limit: 1}
			p := newPools(t, e, 1)
			pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
			require.NoError(t, err)
			if c.refuses == request.Reset || c.needs.Values["branch"] == "south" {
				_, _, err = pooled.Run(t.Context(), needs, read())
				require.NoError(t, err)
			}
			e.refuses, e.sent = c.refuses, nil
			_, sent, err := pooled.Run(t.Context(), c.needs, c.command)
			require.Equal(t, verdict.NotRun, verdict.Of(err))
			require.False(t, sent)
			require.False(t, wasSent(e.sent, c.command.Kind), "the statement was sent")
			pooled.Release()
			require.Zero(t, e.open, "the connection is kept, with values of no session")
		})
	}
}

// TestStatementMayRunAfterAFailedPrepare guards against telling that a statement has not run, and sending
// it again, where the endpoint has carried out the PREPARE that it has answered with an error.
func TestStatementMayRunAfterAFailedPrepare(t *testing.T) {
	execute := request.Command{Statement: request.Statement{ID: "x", Kind: request.Execute, Name: "p", Prepared: request.Prepared{Shape: "WRITE q", Writes: true}}}
	e := &fakeEndpoint{limit: 1, refuses: request.Prepare, prepares: true}
	pooled, err := newPools(t, e, 1).Acquire(t.Context(), testEndpoint, "a", Turn{})
	require.NoError(t, err)
	_, sent, err := pooled.Run(t.Context(), Needs{Prepared: &execute.Prepared}, execute)
	require.Error(t, err)
	require.True(t, sent)
	require.NotEqual(t, verdict.NotRun, verdict.Of(err))
	pooled.Release()
	require.Zero(t, e.open)
}

func TestFailedConnectionIsNotReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEndpoint{limit: 2, fail: errors.New("reset")}
		p := newPools(t, e, 1)
		pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		_, sent, err := pooled.Run(t.Context(), Needs{}, read())
		require.Error(t, err)
		require.True(t, sent)
		pooled.Release()
		require.Zero(t, e.open)
		require.False(t, p.cfg.Health.Usable("s1"))
		time.Sleep(time.Second)
		require.Equal(t, time.Second, p.cfg.Health.UnresponsiveFor("s1"))
		e.fail = nil
		again, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		defer again.Release()
		require.Equal(t, 2, e.dials)
	})
}

// TestConnectionOfAPanicIsClosed guards against the reuse of a connection whose answer is still to
// come, and an endpoint that is held for unresponsive, after a panic that ended one request only.
func TestConnectionOfAPanicIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEndpoint{limit: 1, panics: true}
		p := newPools(t, e, 1)
		pooled, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		require.Panics(t, func() { _, _, _ = pooled.Run(t.Context(), Needs{}, read()) })
		pooled.Release()
		require.Zero(t, e.open)
		time.Sleep(time.Minute)
		require.True(t, p.cfg.Health.Usable("s1"))
		again, err := p.Acquire(t.Context(), testEndpoint, "a", Turn{})
		require.NoError(t, err)
		defer again.Release()
		_, _, err = again.Run(t.Context(), Needs{}, read())
		require.NoError(t, err)
	})
}
