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

// lifecycle holds the current process of a server, if it is running.
type lifecycle struct {
	mu      sync.Mutex
	current *process // guarded by mu; nil while the server is down
}

// process simulates the server's operating system process, from a start to the next
// Kill: its listeners, connections and goroutines.
type process struct {
	tomb    *tomb.Tomb
	network *network
	grpc    *grpc.Server

	mu        sync.Mutex
	sessions  map[uint32]*session // guarded by mu; keyed by backend process id
	nextID    uint32              // guarded by mu
	listeners []net.Listener
}

// Restart starts the server on its previous addresses. If it is running, Restart
// kills it first.
func (s *Server) Restart() error {
	s.Kill()
	databaseListener, err := net.Listen("tcp", s.Address())
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	controlListener, err := net.Listen("tcp", s.ControlAddress())
	if err != nil {
		_ = databaseListener.Close()
		return trace.ConvertSystemError(err)
	}
	s.mu.Lock()
	s.address, s.controlAddress = databaseListener.Addr().String(), controlListener.Addr().String()
	s.mu.Unlock()
	s.start(databaseListener, controlListener)
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

// Kill ends the server like a crash: it closes all connections, including those of
// the agent, without notice.
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

// Stop requests every session to end with an administrator shutdown (57P01), then
// kills the server without waiting for the sessions.
func (s *Server) Stop() {
	s.lifecycle.endSessions(errShutdown)
	s.Kill()
}

// Pause suspends the server's process: connections stay open, but nothing is read
// or written until Resume.
func (s *Server) Pause() { s.gate.close() }

// Resume ends a pause.
func (s *Server) Resume() { s.gate.open() }

// BlackholeConnections drops all further bytes of the current connections of clients
// and agents without closing them; new connections work.
func (s *Server) BlackholeConnections() {
	if network := s.lifecycle.network(); network != nil {
		network.blackhole()
	}
}

// network returns the current process's network, or an unused one while the server
// is down.
func (l *lifecycle) network() *network {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current == nil {
		return newNetwork(newGate())
	}
	return l.current.network
}

// endSessions requests every client session to end with err, without waiting for it.
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

// add registers a session under a new backend process id. It reports false if the
// connection limit is reached.
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

// unreservedCount returns how many sessions count against the connection limit.
// Callers must hold mu.
func (p *process) unreservedCount() int {
	count := 0
	for _, session := range p.sessions {
		if !session.reserved {
			count++
		}
	}
	return count
}

// ClientSessions returns the number of client sessions, without those of agents. A session
// that the server ends is counted until the client has been sent the reason.
func (s *Server) ClientSessions() int {
	s.lifecycle.mu.Lock()
	current := s.lifecycle.current
	s.lifecycle.mu.Unlock()
	if current == nil {
		return 0
	}
	current.mu.Lock()
	defer current.mu.Unlock()
	return current.unreservedCount()
}

func (p *process) remove(session *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, session.id)
}

// cancel interrupts the running statement of the session with that id and secret.
func (p *process) cancel(id uint32, secret []byte) {
	p.mu.Lock()
	session := p.sessions[id]
	p.mu.Unlock()
	if session != nil && string(session.secret) == string(secret) {
		session.cancelStatement()
	}
}

// Running reports whether the server is up; a paused server is.
func (s *Server) Running() bool {
	s.lifecycle.mu.Lock()
	defer s.lifecycle.mu.Unlock()
	return s.lifecycle.current != nil
}
