package main

import (
	"net"
	"time"
)

// server is a stand-in of a database server. Its fields are guarded by the database's mu.
type server struct {
	d       *database
	id      string
	zone    string
	address string
	// slots holds a token for each statement that may run at once.
	slots chan struct{}

	role, state string
	term        uint64
	log         []commit
	receivedAt  []time.Time
	ledSince    time.Time
	deafUntil   time.Time
	silentUntil time.Time // it sends no beats until then
	born        int64
	sequence    int
	down        bool
	listener    net.Listener
	conns       map[net.Conn]struct{}
}

// entry is what a server says of itself in the store.
type entry struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Capacity int    `json:"capacity"`
	State    string `json:"state"`
	Warmup   int    `json:"warmup-left-ms"`
	Role     string `json:"db-role"`
	Sequence int    `json:"sequence"`
	Born     int64  `json:"born"`
}

// slotsOfServer is the number of statements that a server runs at once, workOfStatement how long
// one takes.
const (
	slotsOfServer   = 5
	workOfStatement = 4 * time.Millisecond
)

// add starts a server; the first one is the primary.
func (d *database) add(id, zone, host string) (*server, error) {
	s := &server{d: d, id: id, zone: zone, slots: make(chan struct{}, slotsOfServer), role: roleReplica, state: stateReady, term: 1}
	d.mu.Lock()
	if len(d.servers) == 0 {
		s.role, s.ledSince = rolePrimary, time.Now()
	} else if p := d.leader(); p != nil {
		s.term = p.term
	}
	d.servers = append(d.servers, s)
	d.mu.Unlock()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.run(listener)
	go s.keepBeating()
	return s, nil
}

// run begins to serve.
func (s *server) run(listener net.Listener) {
	s.d.mu.Lock()
	s.down, s.listener, s.conns, s.born, s.sequence = false, listener, make(map[net.Conn]struct{}), time.Now().UnixMilli(), 0
	s.d.mu.Unlock()
	go s.accept(listener)
	s.beat()
}

func (s *server) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.d.mu.Lock()
		if s.down {
			conn.Close()
		} else {
			s.conns[conn] = struct{}{}
		}
		s.d.mu.Unlock()
		c := &serverSession{s: s, lines: newLines(conn)}
		go c.serve()
	}
}

// keepBeating writes the server's entry regularly.
func (s *server) keepBeating() {
	for {
		time.Sleep(beatInterval)
		s.d.mu.Lock()
		ended := s.d.ended
		s.d.mu.Unlock()
		if ended {
			return
		}
		s.beat()
	}
}

// beat writes the server's entry now, unless the server is down or does not reach the store.
func (s *server) beat() {
	s.d.mu.Lock()
	quiet := s.down || time.Now().Before(s.silentUntil)
	s.sequence++
	e := entry{
		Service: s.d.name, Address: s.address, Zone: s.zone, Version: "v1", Capacity: slotsOfServer, State: s.state,
		Role: s.role, Sequence: s.sequence, Born: s.born,
	}
	s.d.mu.Unlock()
	if !quiet {
		s.d.store.beat(s.id, e)
	}
}

// drain reports that the server leaves.
func (s *server) drain() {
	s.d.mu.Lock()
	s.state = stateDraining
	s.d.record.line("server %s is draining", s.id)
	s.d.mu.Unlock()
	s.beat()
}

// stop ends the server without a word: its connections close.
func (s *server) stop() {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	if s.down {
		return
	}
	s.down = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	s.d.received.Broadcast()
	s.d.record.line("server %s (%s) ends with its log up to %s", s.id, s.role, s.end())
}

// restart brings a crashed server back with its log.
func (s *server) restart() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.d.mu.Lock()
	if p := s.d.leader(); p != nil && p != s {
		s.becomeReplica()
	}
	s.d.record.line("server %s (%s) is back with its log up to %s", s.id, s.role, s.end())
	s.d.mu.Unlock()
	s.run(listener)
	return nil
}

// end returns the end of the log that the server has received; the caller holds mu.
func (s *server) end() position {
	if len(s.log) == 0 {
		return position{term: 1}
	}
	return s.log[len(s.log)-1].at
}

// applied returns how many commits the server has applied; the caller holds mu.
func (s *server) applied() int {
	if s.role == rolePrimary {
		return len(s.log)
	}
	n := len(s.log)
	for n > 0 && time.Since(s.receivedAt[n-1]) < applyLag {
		n--
	}
	return n
}

// appliedEnd returns the end of what the server has applied; the caller holds mu.
func (s *server) appliedEnd() position {
	if n := s.applied(); n > 0 {
		return s.log[n-1].at
	}
	return position{term: 1}
}

// becomeReplica makes a primary a replica; the caller holds mu.
func (s *server) becomeReplica() { s.role = roleReplica }

// deafen makes a replica receive nothing for a while.
func (s *server) deafen(d time.Duration) {
	s.d.mu.Lock()
	defer s.d.mu.Unlock()
	s.deafUntil = time.Now().Add(d)
	s.d.record.line("server %s receives nothing for %s; its log ends at %s", s.id, d, s.end())
}

// holds reports whether the log has the write of a statement; the caller holds mu.
func (s *server) holds() map[string]struct{} {
	held := make(map[string]struct{})
	for _, c := range s.log {
		for _, id := range c.ids {
			held[id] = struct{}{}
		}
	}
	return held
}

// silence keeps servers from writing their entries for a while.
func (d *database) silence(length time.Duration, servers ...*server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range servers {
		s.silentUntil = time.Now().Add(length)
	}
}
