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

// lifecycle holds the present run of a server, if it is up.
type lifecycle struct {
	mu      sync.Mutex
	current *process // guarded by mu; nil while the server is down
}

// process is one life of a server's process: its listeners, connections and goroutines.
type process struct {
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
	p := &process{
		tomb:    t,
		network: newNetwork(s.gate),
		grpc: grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: minKeepaliveInterval, PermitWithoutStream: true,
		})),
		sessions:  make(map[uint32]*session),
		listeners: []net.Listener{database, control},
	}
	platformv1.RegisterGroupServerServiceServer(p.grpc, &agent{server: s})
	standinv1.RegisterReplicationServiceServer(p.grpc, &replication{server: s})
	s.lifecycle.mu.Lock()
	s.lifecycle.current = p
	s.lifecycle.mu.Unlock()
	t.Go(func() error { return s.accept(ctx, p, &faultListener{Listener: database, network: p.network}) })
	t.Go(func() error {
		_ = p.grpc.Serve(&faultListener{Listener: control, network: p.network})
		return nil
	})
	t.Go(func() error { return s.replay(ctx) })
	t.Go(func() error { return s.pull(ctx) })
	t.Go(func() error { return s.announce(ctx) })
}

// Kill ends the server as a crash does: all connections are cut, and its agent
// is gone.
func (s *Server) Kill() {
	s.lifecycle.mu.Lock()
	p := s.lifecycle.current
	s.lifecycle.current = nil
	s.lifecycle.mu.Unlock()
	if p == nil {
		return
	}
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
	p.network.closeAll()
	p.tomb.Kill(nil)
	s.gate.open()
	p.grpc.Stop()
	p.network.closeAll()
	_ = p.tomb.Wait()
}

// Stop ends the server in order: connections are told, then closed.
func (s *Server) Stop() {
	s.lifecycle.endSessions(errShutdown)
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
	if network := s.lifecycle.network(); network != nil {
		network.blackhole()
	}
}

// network returns the present run's; it is a spare one while the server is down.
func (l *lifecycle) network() *network {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return newNetwork(newGate())
	}
	return l.current.network
}

// endSessions ends every connection of a client with the error, without waiting.
func (l *lifecycle) endSessions(err *sqlError) {
	l.mu.Lock()
	current := l.current
	l.mu.Unlock()
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
func (p *process) add(session *session, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !session.reserved && p.unreservedCount() >= limit {
		return false
	}
	p.nextID++
	session.id = p.nextID
	p.sessions[session.id] = session
	return true
}

// unreservedCount counts the sessions that are not reserved. The caller holds mu.
func (p *process) unreservedCount() int {
	count := 0
	for _, session := range p.sessions {
		if !session.reserved {
			count++
		}
	}
	return count
}

func (p *process) remove(session *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, session.id)
}

// cancel interrupts the statement of the session with that id and secret.
func (p *process) cancel(id uint32, secret []byte) {
	p.mu.Lock()
	session := p.sessions[id]
	p.mu.Unlock()
	if session != nil && string(session.secret) == string(secret) {
		session.cancelStatement()
	}
}

// Running tells whether the server is up, also while it is paused.
func (s *Server) Running() bool {
	s.lifecycle.mu.Lock()
	defer s.lifecycle.mu.Unlock()
	return s.lifecycle.current != nil
}
