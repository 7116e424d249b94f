package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Times of the clients.
const (
	connectTimeout  = 2 * time.Second
	answerTimeout   = 1200 * time.Millisecond
	pauseOfClient   = 40 * time.Millisecond
	retryAfterClose = 100 * time.Millisecond
)

// clients write to the database all the time, each over sessions of its own.
type clients struct {
	s       *stage
	stopped chan struct{}
	running sync.WaitGroup

	mu    sync.Mutex
	acked []ack // in the order of the answers; guarded by mu
	// lost holds what the promotions lost; guarded by mu.
	lost []string
}

// ack is a write that the client was told to be done.
type ack struct {
	id string
	at time.Duration
}

func newClients(s *stage) *clients { return &clients{s: s, stopped: make(chan struct{})} }

func (c *clients) start() {
	for n := range c.s.instances {
		c.running.Go(func() { c.work(n) })
	}
}

func (c *clients) stop() {
	close(c.stopped)
	c.running.Wait()
}

func (c *clients) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// work runs one client: a session at an instance until it breaks, then one at the next.
func (c *clients) work(n int) {
	for session := 0; !c.isStopped(); session++ {
		c.session(n, session, c.s.instances[(n+session)%len(c.s.instances)])
		time.Sleep(retryAfterClose)
	}
}

func (c *clients) session(n, session int, i *instance) {
	conn, err := net.DialTimeout("tcp", i.front, connectTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	l := newLines(conn)
	if l.send("CONNECT "+databaseName+" "+tenantKey) != nil {
		return
	}
	if word, _, err := l.next(connectTimeout); err != nil || word != "READY" {
		return
	}
	for count := 0; !c.isStopped(); count++ {
		id := fmt.Sprintf("c%02d%03d%06d", n, session, count)
		if !c.write(l, i, id) {
			return
		}
		time.Sleep(pauseOfClient)
	}
}

// write sends one write and reports whether the session goes on.
func (c *clients) write(l *lines, i *instance, id string) bool {
	r := c.s.record
	r.line("client sends %s to %s", id, i.name)
	if l.send("QUERY "+id+" WRITE it"+id+" da"+id) != nil {
		return false
	}
	for done := false; ; {
		word, rest, err := l.next(answerTimeout)
		switch {
		case err != nil:
			r.line("client gets no answer to %s: %v", id, err)
			return false
		case word == "COMPLETE":
			done = true
			r.line("client is told that %s is done, signature %s", id, rest)
		case word == "ERROR":
			r.line("client is told that %s failed: %s", id, rest)
		case word == "READY":
			if done {
				c.mu.Lock()
				c.acked = append(c.acked, ack{id, time.Since(r.began)})
				c.mu.Unlock()
			}
			return strings.HasPrefix(rest, "I")
		}
	}
}

// ackedSince returns how many writes were acknowledged since a time of the record.
func (c *clients) ackedSince(t time.Duration) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.acked {
		if a.at >= t {
			n++
		}
	}
	return n
}

// checkPromoted checks LOST: the log of a server that is promoted holds each commit that was
// acknowledged. The caller holds the database's mu.
func (c *clients) checkPromoted(target *server) {
	held := target.holds()
	c.mu.Lock()
	defer c.mu.Unlock()
	missing, first, last := 0, ack{}, ack{}
	for _, a := range c.acked {
		if _, ok := held[a.id]; !ok {
			if missing++; missing == 1 {
				first = a
			}
			last = a
		}
	}
	if missing > 0 {
		c.lost = append(c.lost, fmt.Sprintf(
			"LOST: server %s is promoted without %d acknowledged writes, from %s (told at %.3f s) to %s (told at %.3f s)",
			target.id, missing, first.id, first.at.Seconds(), last.id, last.at.Seconds()))
	}
}

func (c *clients) losses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lost
}
