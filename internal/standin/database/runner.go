package database

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"gopkg.in/tomb.v2"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

const minKeepaliveInterval = time.Second

// runner holds the present run of a server, if it is up.
type runner struct {
	mu      sync.Mutex
	current *run // guarded by mu; nil while the server is down
}

// run is one life of a server's process: its listeners, connections and goroutines.
type run struct {
	tomb    *tomb.Tomb
	network *network
	grpc    *grpc.Server

	mu        sync.Mutex
	sessions  map[uint32]*session // guarded by mu; by backend process id
	nextID    uint32              // guarded by mu
	listeners []net.Listener
}

// Restart starts the server, or ends it abruptly and starts it again, on the
// addresses that it had before.
func (s *Server) Restart() error {
	s.Kill()
	database, err := net.Listen("tcp", s.Address())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	control, err := net.Listen("tcp", s.ControlAddress())
	if err != nil {
		_ = database.Close()
		return trace.ConvertSystemError(err)
	}
	s.mu.Lock()
	s.address, s.controlAddress = database.Addr().String(), control.Addr().String()
	s.mu.Unlock()
	s.start(database, control)
	return nil
}

func (s *Server) start(database, control net.Listener) {
	t, ctx := tomb.WithContext(context.Background())
	r := &run{
		tomb:    t,
		network: newNetwork(s.gate),
		grpc: grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minKeepaliveInterval, PermitWithoutStream: true,
		})),
		sessions:  make(map[uint32]*session),
		listeners: []net.Listener{database, control},
	}
	platformv1.RegisterGroupServerServiceServer(r.grpc, &agent{server: s})
	standinv1.RegisterReplicationServiceServer(r.grpc, &replication{server: s})
	s.runner.mu.Lock()
	s.runner.current = r
	s.runner.mu.Unlock()
	t.Go(func() error { return s.accept(ctx, r, &faultListener{Listener: database, network: r.network}) })
	t.Go(func() error {
		_ = r.grpc.Serve(&faultListener{Listener: control, network: r.network})
		return nil
	})
	t.Go(func() error { return s.replay(ctx) })
	t.Go(func() error { return s.pull(ctx) })
	t.Go(func() error { return s.announce(ctx) })
}

// Kill ends the server as a crash does: all connections are cut, and its agent
// is gone.
func (s *Server) Kill() {
	s.runner.mu.Lock()
	r := s.runner.current
	s.runner.current = nil
	s.runner.mu.Unlock()
	if r == nil {
		return
	}
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	r.network.closeAll()
	r.tomb.Kill(nil)
	s.gate.open()
	r.grpc.Stop()
	r.network.closeAll()
	_ = r.tomb.Wait()
}

// Stop ends the server in order: connections are told, then closed.
func (s *Server) Stop() {
	s.runner.endSessions(errShutdown)
	s.Kill()
}

// Pause stops the server's process: connections stay open, nothing is read or
// answered until Resume.
func (s *Server) Pause() { s.gate.close() }

// Resume lets a paused server go on.
func (s *Server) Resume() { s.gate.open() }

// Silence makes the present connections of clients and agents silent for good,
// without closing them; new ones work.
func (s *Server) Silence() {
	if network := s.runner.network(); network != nil {
		network.silence()
	}
}

// network returns the present run's; it is a spare one while the server is down.
func (r *runner) network() *network {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return newNetwork(newGate())
	}
	return r.current.network
}

// endSessions ends every connection of a client with the error, without waiting.
func (r *runner) endSessions(err *sqlError) {
	r.mu.Lock()
	current := r.current
	r.mu.Unlock()
	if current == nil {
		return
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	for _, session := range current.sessions {
		session.terminate(err)
	}
}

// add registers a session under a new process id; it is false at the limit.
func (r *run) add(session *session, limit int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !session.reserved && r.countLocked() >= limit {
		return false
	}
	r.nextID++
	session.id = r.nextID
	r.sessions[session.id] = session
	return true
}

// countLocked counts the sessions that are not reserved. The caller holds mu.
func (r *run) countLocked() int {
	count := 0
	for _, session := range r.sessions {
		if !session.reserved {
			count++
		}
	}
	return count
}

func (r *run) remove(session *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.sessions, session.id)
}

// cancel interrupts the statement of the session with that id and secret.
func (r *run) cancel(id uint32, secret []byte) {
	r.mu.Lock()
	session := r.sessions[id]
	r.mu.Unlock()
	if session != nil && string(session.secret) == string(secret) {
		session.cancelStatement()
	}
}

// Running tells whether the server is up, also while it is paused.
func (s *Server) Running() bool {
	s.runner.mu.Lock()
	defer s.runner.mu.Unlock()
	return s.runner.current != nil
}
