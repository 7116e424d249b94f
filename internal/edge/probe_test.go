package edge

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// probedServers is an endpoint whose open connections stay silent, and that responds to a
// probe after a delay with err.
type probedServers struct {
	stubPorts
	delay  time.Duration
	err    error
	probes atomic.Int64
}

func (s *probedServers) Status(ctx context.Context, _ catalog.Endpoint) (leadership.ServerStatus, error) {
	s.probes.Add(1)
	if !pause.For(ctx, s.delay) {
		return leadership.ServerStatus{}, ctx.Err()
	}
	return leadership.ServerStatus{Primary: true}, s.err
}

func (s *probedServers) Dial(context.Context, catalog.Endpoint, string) (backend.Conn, error) {
	return silentConn{}, nil
}

// silentConn is a connection that the path between its ends has lost track of.
type silentConn struct{}

func (silentConn) Exchange(ctx context.Context, _ []request.Command, _ func(request.Answer) (more bool)) error {
	<-ctx.Done()
	return ctx.Err()
}

func (silentConn) Reusable() bool { return true }
func (silentConn) Close()         {}

// newProbingInstance returns an instance with the endpoint db-1 and a connection to it.
func newProbingInstance(t *testing.T, servers *probedServers) (*Instance, *backend.PooledConn) {
	registry := &fakeRows{rows: []follow.Row{{Key: "db-1", Version: 1}}, version: 1}
	began := time.Now()
	i := newInstance(t, &fakeRows{}, registry, &fakeRows{}, func() time.Duration { return time.Since(began) + time.Hour })
	i.cfg.Ports.Servers = servers
	require.NoError(t, i.followers[registrySet].Refresh(t.Context()))
	pools, err := backend.NewPools(backend.Config{
		Dialer: servers, Health: i.health, Clock: i.cfg.Clock, Members: func() int { return 1 },
		MaxConnections: func(string) int { return 5 }, Registry: i.registry.Get,
	})
	require.NoError(t, err)
	conn, err := pools.Acquire(t.Context(), i.registry.Get().Endpoints["db-1"], "shop", backend.Turn{})
	require.NoError(t, err)
	return i, conn
}

// TestSilentConnectionsAreNoEvidence covers open connections that go silent for good while
// the endpoint is well: statements on them are unanswered, or have failed, at every
// instance. The endpoint is probed over a new connection before it counts as unreachable.
func TestSilentConnectionsAreNoEvidence(t *testing.T) {
	cases := []struct {
		name    string
		servers *probedServers
		reached bool
	}{
		{name: "answers a probe", servers: &probedServers{delay: 20 * time.Millisecond}, reached: true},
		{name: "is full", servers: &probedServers{err: trace.Wrap(verdict.New(verdict.NotRun, verdict.CodeTooManyConnections, "full"))}, reached: true},
		{name: "another server has its address", servers: &probedServers{err: verdict.New(verdict.NotRun, verdict.CodeMisrouted, "s2")}},
		{name: "refuses connections", servers: &probedServers{err: errors.New("refused")}},
		{name: "does not answer", servers: &probedServers{delay: time.Minute}},
	}
	for _, c := range cases {
		for _, failed := range []bool{false, true} {
			name := c.name + ", statements in flight"
			if failed {
				name = c.name + ", statements failed"
			}
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					i, conn := newProbingInstance(t, c.servers)
					timeout := time.Second
					if failed {
						timeout = 500 * time.Millisecond
					}
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					go func() {
						_, _, err := conn.Run(ctx, backend.Needs{}, request.Command{})
						if err == nil {
							t.Error("a silent connection has answered")
						}
					}()
					time.Sleep(600 * time.Millisecond)
					require.Greater(t, i.health.UnresponsiveFor("db-1"), 90*time.Millisecond)
					require.Equal(t, c.reached, i.reaches(t.Context(), "db-1"))
				})
			})
		}
	}
}

// TestConcurrentQuestionsShareOneProbe covers a fleet in which many instances ask about an
// endpoint at the same time.
func TestConcurrentQuestionsShareOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		servers := &probedServers{delay: 200 * time.Millisecond, err: errors.New("refused")}
		i, _ := newProbingInstance(t, servers)
		time.Sleep(time.Second) // the connection to it was opened too long ago
		var asking sync.WaitGroup
		for range 20 {
			asking.Go(func() {
				if i.reaches(t.Context(), "db-1") {
					t.Error("an endpoint that refuses connections counts as reached")
				}
			})
		}
		asking.Wait()
		require.False(t, i.reaches(t.Context(), "db-1"), "just after the probe")
		require.EqualValues(t, 1, servers.probes.Load())
		time.Sleep(recentEvidence)
		require.False(t, i.reaches(t.Context(), "db-1"))
		require.EqualValues(t, 2, servers.probes.Load())
	})
}
