package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

const (
	// longAfter is when, after the SIGTERM, a client sends a statement that takes longWork.
	longAfter = 3400 * time.Millisecond
	longWork  = 2300 * time.Millisecond
	longItem  = "settlement"
	// lossSlack is loss-slack-ms.
	lossSlack = 200 * time.Millisecond
)

// endingInstance sends SIGTERM to an instance whose clients send one statement after another, the
// last of which takes long, but ends within the grace period.
func endingInstance(r *record, trouble bool) (string, error) {
	p, err := newPlatform(r, 0)
	if err != nil {
		return "", err
	}
	defer p.stop()
	work := func(text string) time.Duration {
		if strings.HasPrefix(text, "WRITE "+longItem) {
			return longWork
		}
		return usualWork(text)
	}
	if err := p.newGroup(2, 5, 34, work); err != nil {
		return "", err
	}
	p.configure(34, 400)
	if err := p.addInstances(6); err != nil {
		return "", err
	}
	if err := p.startAll(); err != nil {
		return "", err
	}
	time.Sleep(warmUp)
	at := p.instances[0]
	s, err := openSession(at.front, hostSale, key)
	if err != nil {
		return "", err
	}
	defer s.conn.Close()
	began := time.Now()
	if trouble {
		p.signal(at, syscall.SIGTERM)
		time.AfterFunc(grace, func() { p.signal(at, syscall.SIGKILL) })
	}
	for n := 1; time.Since(began) < longAfter; n++ {
		id := fmt.Sprintf("e%06d", n)
		answer, err := s.query(id, "WRITE "+id+" v"+id)
		if err != nil {
			r.add("the session was closed before %s was answered: %v", id, err)
			return "", nil
		}
		if answer.signature == "" {
			r.add("client gets ERROR %s for %s", answer.code, id)
		}
	}
	sent := time.Since(began)
	r.add("client sends elong WRITE, %d ms after the signal", sent.Milliseconds())
	answer, err := s.query("elong", "WRITE "+longItem+" v")
	took := time.Since(began) - sent
	ran := p.group.hasRun("elong")
	if err == nil {
		r.add("client gets %s%s for elong after %d ms", answer.signature, answer.code, took.Milliseconds())
		return "", nil
	}
	r.add("client gets no complete answer to elong after %d ms: %v", took.Milliseconds(), err)
	time.Sleep(longWork)
	if ran && took > lossSlack {
		return fmt.Sprintf("LOST: the connection ended without an answer to elong, %d ms after it was sent; it was passed on to a server, where it is committed: %t",
			took.Milliseconds(), p.group.servers[0].hasCommit("elong")), nil
	}
	return "", nil
}

// hasRun reports whether a server runs or has run a statement.
func (g *group) hasRun(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.ran {
		if e.id == id {
			return true
		}
	}
	return false
}

// hasCommit reports whether the log has the commit of a statement.
func (s *server) hasCommit(id string) bool {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	for _, c := range s.log {
		if c.id == id {
			return true
		}
	}
	return false
}
