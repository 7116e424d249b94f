package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the database servers, as the site's page tells them.
const (
	networkDelay   = time.Millisecond
	applyLag       = 20 * time.Millisecond
	stepDownAfter  = time.Second
	replicateEvery = 2 * time.Millisecond
)

// Roles and states of a server.
const (
	rolePrimary   = "primary"
	roleReplica   = "replica"
	stateReady    = "ready"
	stateDraining = "draining"
)

// position is a place in a log.
type position struct{ term, number uint64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(other position) bool {
	return p.term < other.term || p.term == other.term && p.number < other.number
}

func parsePosition(text string) (position, bool) {
	term, number, ok := strings.Cut(text, ".")
	t, termErr := strconv.ParseUint(term, 10, 64)
	n, numberErr := strconv.ParseUint(number, 10, 64)
	return position{t, n}, ok && termErr == nil && numberErr == nil
}

// commit is one entry of a log.
type commit struct {
	at     position
	ids    []string // of the statements that wrote
	writes map[string]string
}

// database is one service: its servers, and who follows whom.
type database struct {
	record *record
	store  *store
	name   string
	// sync is the number of replicas that receive a commit before it is acknowledged; promote is
	// how long a promotion takes.
	sync    int
	promote time.Duration
	// promoted is called, with mu held, when a promotion takes effect.
	promoted func(target *server)

	mu       sync.Mutex
	received *sync.Cond
	term     uint64
	servers  []*server
	runs     uint64 // of statements, for signatures
	ended    bool
}

func newDatabase(r *record, s *store, name string, confirming int, promote time.Duration) *database {
	d := &database{record: r, store: s, name: name, sync: confirming, promote: promote, term: 1}
	d.received = sync.NewCond(&d.mu)
	go d.replicate()
	return d
}

// replicate sends the logs on until the database is closed.
func (d *database) replicate() {
	for {
		time.Sleep(replicateEvery)
		d.mu.Lock()
		if d.ended {
			d.mu.Unlock()
			return
		}
		if p := d.leader(); p != nil {
			for _, s := range d.servers {
				if s != p && !s.down {
					d.follow(p, s)
				}
			}
			d.received.Broadcast()
		}
		d.mu.Unlock()
	}
}

// leader returns the running primary of the newest term, nil if there is none. The caller holds mu.
func (d *database) leader() *server {
	var newest *server
	for _, s := range d.servers {
		if s.role == rolePrimary && !s.down && (newest == nil || newest.term < s.term) {
			newest = s
		}
	}
	return newest
}

// follow brings a replica, or a primary of an earlier term, in line with the primary. The caller
// holds mu.
func (d *database) follow(p, s *server) {
	if s.role == rolePrimary {
		if time.Since(p.ledSince) < stepDownAfter {
			return
		}
		d.record.line("server %s is a replica of %s from now on", s.id, p.id)
		s.becomeReplica()
	}
	if time.Now().Before(s.deafUntil) {
		return
	}
	common := 0
	for common < len(s.log) && common < len(p.log) && s.log[common].at == p.log[common].at {
		common++
	}
	if common == len(p.log) && common == len(s.log) {
		s.term = p.term
		return
	}
	s.log, s.receivedAt = s.log[:common], s.receivedAt[:common]
	for _, c := range p.log[common:] {
		s.log = append(s.log, c)
		s.receivedAt = append(s.receivedAt, time.Now())
	}
	s.term = p.term
}

// find returns a server, nil if there is none; the caller holds mu.
func (d *database) find(id string) *server {
	for _, s := range d.servers {
		if s.id == id {
			return s
		}
	}
	return nil
}

// primary returns the running primary of the newest term.
func (d *database) primary() *server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.leader()
}

// replicas returns the running servers that are not the primary.
func (d *database) replicas() []*server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*server
	for _, s := range d.servers {
		if s != d.leader() && !s.down {
			list = append(list, s)
		}
	}
	return list
}

// order begins a promotion, and reports whether the server runs.
func (d *database) order(id string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.find(id)
	if s == nil || s.down {
		return false
	}
	if s == d.leader() {
		return true
	}
	time.AfterFunc(d.promote, func() { d.lead(s) })
	return true
}

// lead makes a server the primary of the next term, with what it has received.
func (d *database) lead(s *server) {
	d.mu.Lock()
	if s.down || s == d.leader() {
		d.mu.Unlock()
		return
	}
	d.term++
	s.role, s.term, s.ledSince = rolePrimary, d.term, time.Now()
	d.record.line("server %s leads term %d with its log up to %s", s.id, s.term, s.end())
	if d.promoted != nil {
		d.promoted(s)
	}
	d.mu.Unlock()
	s.beat()
}

// signature returns a new signature; the caller holds mu.
func (d *database) signature(s *server) string {
	d.runs++
	return fmt.Sprintf("%d.%s.%x", s.term, s.id, d.runs*0x9e3779b97f4a7c15)
}

func (d *database) close() {
	d.mu.Lock()
	d.ended = true
	servers := d.servers
	d.received.Broadcast()
	d.mu.Unlock()
	for _, s := range servers {
		s.stop()
	}
}
