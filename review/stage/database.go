package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

// commit is one entry of a server's log.
type commit struct {
	term, number uint64
	id           string // of the statement that committed
	writes       map[string]string
	at           time.Time // when the primary wrote it
}

// group is one service: its servers and what they share with their platform.
type group struct {
	service string
	// syncReplicas is the number of replicas that must have received a commit before it is
	// acknowledged: 0 or 1.
	syncReplicas int
	promoteTime  time.Duration
	store        *store
	record       *record
	servers      []*server

	mu      sync.Mutex
	primary *server // the one that leads the newest term; guarded by mu, as all state of servers
	term    uint64
	changed chan struct{} // closed when a log has changed
	ran     []execution
}

// execution is a statement of a client that a server ran.
type execution struct {
	at                       time.Time
	server, tenant, id, text string
	values                   map[string]string // of the connection
}

// server is one database server.
type server struct {
	g                 *group
	id, zone, address string
	// slots bounds the statements that run at once, queue those that wait for that, and
	// maxConns the connections. linkDelay is the time for which a commit is on its way here,
	// and applyDelay the further time until reads see it.
	slots, queue, maxConns int
	linkDelay, applyDelay  time.Duration
	work                   func(text string) time.Duration
	free                   chan struct{}

	listener  net.Listener
	alive     bool
	leads     bool
	draining  bool
	cutOff    bool    // receives nothing from the primary
	failShare float64 // the share of requests that fail, while the status is good
	term      uint64
	log       []commit
	applied   []time.Time // when the entries of log take effect
	waiting   int
	conns     map[net.Conn]struct{}
	signature int
	sequence  int
	born      int64
}

// addServer adds a server that listens on a free port.
func (g *group) addServer(id, zone string, slots, maxConns int, work func(string) time.Duration) (*server, error) {
	s := &server{
		g: g, id: id, zone: zone, slots: slots, queue: 24, maxConns: maxConns, work: work,
		linkDelay: time.Millisecond, applyDelay: 20 * time.Millisecond, free: make(chan struct{}, slots),
		alive: true, term: 1, conns: make(map[net.Conn]struct{}), born: time.Now().UnixMilli(),
	}
	for range slots {
		s.free <- struct{}{}
	}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.address = s.listener.Addr().String()
	if len(g.servers) == 0 {
		s.leads, g.primary, g.term = true, s, 1
	}
	g.servers = append(g.servers, s)
	return s, nil
}

// run serves connections, replicates and reports to the store until the process ends.
func (g *group) run() {
	for _, s := range g.servers {
		s.report()
		go s.accept()
		go s.follow()
		go func() {
			for range time.Tick(heartbeat) {
				s.report()
			}
		}()
	}
}

const (
	heartbeat = 1200 * time.Millisecond
	// expiry is the time after which the store drops the entry of a server that is silent.
	expiry = 3 * heartbeat
	// handshake is the time for which a new connection occupies a slot.
	handshake = 12 * time.Millisecond
)

// report writes the server's entry in the store.
func (s *server) report() {
	s.g.mu.Lock()
	if !s.alive {
		s.g.mu.Unlock()
		return
	}
	s.sequence++
	entry := map[string]any{
		"service": s.g.service, "address": s.address, "zone": s.zone, "version": "v1", "capacity": s.slots,
		"state": map[bool]string{true: "draining", false: "ready"}[s.draining], "warmup-left-ms": 0,
		"db-role": s.role(), "sequence": s.sequence, "born": s.born,
	}
	s.g.mu.Unlock()
	s.g.store.put("servers", s.id, entry)
}

func (s *server) role() string {
	if s.leads {
		return "primary"
	}
	return "replica"
}

// drain reports that the server is about to leave.
func (s *server) drain() {
	s.g.mu.Lock()
	s.draining = true
	s.g.mu.Unlock()
	s.report()
	s.g.record.add("server %s reports draining, and its entry is accepted by the store", s.id)
}

// crash ends the server as a kill does. The store drops its entry later.
func (s *server) crash() {
	s.g.mu.Lock()
	s.alive = false
	s.listener.Close()
	for c := range s.conns {
		c.Close()
	}
	s.notify()
	s.g.mu.Unlock()
	s.g.record.add("server %s crashed; end of its log: %s", s.id, s.end())
	time.AfterFunc(expiry, func() { s.g.store.remove("servers", s.id) })
}

// notify wakes those that wait for a change. The caller holds mu.
func (s *server) notify() {
	if s.g.changed != nil {
		close(s.g.changed)
	}
	s.g.changed = make(chan struct{})
}

// end returns the last position of the log as text.
func (s *server) end() string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	return s.endLocked()
}

func (s *server) endLocked() string { return positionOf(s.log) }

func positionOf(log []commit) string {
	if len(log) == 0 {
		return "1.0"
	}
	last := log[len(log)-1]
	return fmt.Sprintf("%d.%d", last.term, last.number)
}

// appliedLog returns the part of the log that reads see. The caller holds mu.
func (s *server) appliedLog() []commit {
	n := len(s.log)
	for n > 0 && !s.leads && time.Now().Before(s.applied[n-1]) {
		n--
	}
	return s.log[:n]
}

// follow copies the primary's log, as a replica.
func (s *server) follow() {
	for range time.Tick(time.Millisecond) {
		s.g.mu.Lock()
		if p := s.g.primary; s.alive && p != s && p.alive && !s.cutOff && s.term <= p.term {
			s.copyFrom(p)
		}
		s.g.mu.Unlock()
	}
}

// copyFrom takes over what the primary wrote linkDelay ago, and rolls back what it lacks. The
// caller holds mu.
func (s *server) copyFrom(p *server) {
	same := 0
	for same < len(s.log) && same < len(p.log) && s.log[same].term == p.log[same].term && s.log[same].id == p.log[same].id {
		same++
	}
	s.log, s.applied = slices.Clip(s.log[:same]), slices.Clip(s.applied[:same])
	s.term, s.leads = p.term, false
	received := false
	for _, c := range p.log[same:] {
		if time.Since(c.at) < s.linkDelay {
			break
		}
		s.log, s.applied = append(s.log, c), append(s.applied, time.Now().Add(s.applyDelay))
		received = true
	}
	if received {
		s.notify()
	}
}

// write appends a commit and waits until enough replicas have received it. It returns false
// if the server has crashed or lost the lead before.
func (s *server) write(id string, writes map[string]string) bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	if !s.alive || !s.leads {
		return false
	}
	c := commit{term: s.term, number: uint64(len(s.log) + 1), id: id, writes: writes, at: time.Now()}
	s.log, s.applied = append(s.log, c), append(s.applied, time.Now())
	index := len(s.log) - 1
	for s.g.syncReplicas > 0 && !s.isReceived(index, id) {
		if !s.alive || !s.leads {
			return false
		}
		if s.g.changed == nil {
			s.g.changed = make(chan struct{})
		}
		changed := s.g.changed
		s.g.mu.Unlock()
		<-changed
		s.g.mu.Lock()
	}
	return s.alive
}

// isReceived reports whether a replica has a commit. The caller holds mu.
func (s *server) isReceived(index int, id string) bool {
	return slices.ContainsFunc(s.g.servers, func(r *server) bool {
		return r != s && r.alive && len(r.log) > index && r.log[index].id == id
	})
}

// promote makes a server the primary of the next term, as the platform does.
func (g *group) promote(s *server) {
	time.Sleep(g.promoteTime)
	g.mu.Lock()
	if !s.alive || g.primary == s {
		g.mu.Unlock()
		return
	}
	old := g.primary
	g.term++
	s.term, s.leads, g.primary = g.term, true, s
	g.record.add("server %s leads term %d with its log up to %s", s.id, g.term, s.endLocked())
	s.notify()
	g.mu.Unlock()
	s.report()
	time.AfterFunc(time.Second, func() { old.stepDown(g.term) })
}

// stepDown makes a primary of a lower term a replica.
func (s *server) stepDown(term uint64) {
	s.g.mu.Lock()
	if s.leads && s.term < term {
		s.leads = false
		s.notify()
	}
	s.g.mu.Unlock()
	s.report()
}
