package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Durations of the cases with replicas that confirm commits.
const (
	warmUp = 4 * time.Second
	// replacement is the time in which a primary is replaced.
	replacement = 20 * time.Second
	// slowLink is how far one of the replicas is behind the primary.
	slowLink = 20 * time.Millisecond
)

// writer writes items one after another, each in a statement of its own, and keeps the ids of
// those that were answered with success.
type writer struct {
	p     *platform
	at    *instance
	mu    sync.Mutex
	acked []string
	// onAck, if set, is called at the next success.
	onAck atomic.Pointer[func(id string)]
	stop  atomic.Bool
}

func (w *writer) run(prefix string) {
	var s *session
	for n := 1; !w.stop.Load(); n++ {
		id := fmt.Sprintf("%s%06d", prefix, n)
		if s == nil {
			var err error
			if s, err = openSession(w.at.front, hostSale, key); err != nil {
				s = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		w.p.record.add("client sends %s WRITE to %s", id, w.at.name)
		r, err := s.query(id, "WRITE "+id+" v"+id)
		switch {
		case err != nil:
			w.p.record.add("client gets no answer to %s: %v", id, err)
			s.conn.Close()
			s = nil
		case r.signature != "":
			w.p.record.add("client gets COMPLETE %s for %s", r.signature, id)
			w.mu.Lock()
			w.acked = append(w.acked, id)
			w.mu.Unlock()
			if f := w.onAck.Swap(nil); f != nil {
				(*f)(id)
			}
		default:
			w.p.record.add("client gets ERROR %s for %s", r.code, id)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if s != nil {
		s.conn.Close()
	}
}

// lostBy returns the acknowledged commits that the log of a server lacks.
func (w *writer) lostBy(s *server) []string {
	s.g.mu.Lock()
	defer s.g.mu.Unlock()
	has := make(map[string]bool)
	for _, c := range s.log {
		has[c.id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var lost []string
	for _, id := range w.acked {
		if !has[id] {
			lost = append(lost, id)
		}
	}
	return lost
}

// crashAtNextAck crashes a server when a client is told the next success.
func (w *writer) crashAtNextAck(s *server) {
	done := make(chan struct{})
	crash := func(id string) {
		w.p.record.add("the primary crashes right after the success of %s", id)
		s.crash()
		close(done)
	}
	w.onAck.Store(&crash)
	<-done
}

// awaitPrimary waits until another server than old leads, and returns it; nil if none does.
func (p *platform) awaitPrimary(old *server) *server {
	for deadline := time.Now().Add(replacement); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		p.group.mu.Lock()
		current := p.group.primary
		p.group.mu.Unlock()
		if current != old {
			return current
		}
	}
	return nil
}

// verdictOnLoss tells which acknowledged commits the promoted server lacks.
func (w *writer) verdictOnLoss(promoted *server, before int) (string, error) {
	if before == 0 {
		return "", errors.New("no commit was acknowledged")
	}
	if promoted == nil {
		w.p.record.add("no server was promoted")
		return "", nil
	}
	if lost := w.lostBy(promoted); len(lost) > 0 {
		return fmt.Sprintf("LOST: the log of the promoted server %s lacks %d acknowledged commits: %s", promoted.id, len(lost), strings.Join(lost, " ")), nil
	}
	return "", nil
}

func (w *writer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

// newGroup adds a primary and replicas to the platform, of which only the first is close to it.
func (p *platform) newGroup(replicas, slots, maxConns int, work func(string) time.Duration) error {
	for n := range replicas + 1 {
		s, err := p.group.addServer(fmt.Sprintf("i-%08x", 0x7f3a91c0+n), p.zones[n%len(p.zones)], slots, maxConns, work)
		if err != nil {
			return err
		}
		if n > 1 {
			s.linkDelay = slowLink
		}
	}
	p.group.run()
	return nil
}

// usualWork is the time for which statements of the deployment occupy a slot.
func usualWork(string) time.Duration { return 11 * time.Millisecond }

// drainingReplica crashes a primary while the replica that confirms its commits is being
// replaced: it reports draining, and goes on receiving.
func drainingReplica(r *record, trouble bool) (string, error) {
	p, err := newPlatform(r, 1)
	if err != nil {
		return "", err
	}
	defer p.stop()
	// The fourth server is the one that replaces the second.
	if err := p.newGroup(3, 5, 34, usualWork); err != nil {
		return "", err
	}
	p.configure(34, 400)
	if err := p.addInstances(6); err != nil {
		return "", err
	}
	if err := p.startAll(); err != nil {
		return "", err
	}
	w := &writer{p: p, at: p.instances[2]}
	go w.run("a")
	defer w.stop.Store(true)
	time.Sleep(warmUp)
	old, near := p.group.servers[0], p.group.servers[1]
	if trouble {
		near.drain()
	}
	time.Sleep(warmUp)
	before := w.count()
	w.crashAtNextAck(old)
	promoted := p.awaitPrimary(old)
	return w.verdictOnLoss(promoted, before)
}

// reader reads items without a pause, on a route whose reads replicas serve.
func (p *platform) reader(at *instance, prefix string, stop *atomic.Bool, answered, failed *atomic.Int64) {
	var s *session
	for n := 1; !stop.Load(); n++ {
		if s == nil {
			var err error
			if s, err = openSession(at.front, hostUser, key); err != nil {
				s = nil
				time.Sleep(200 * time.Millisecond)
				continue
			}
		}
		r, err := s.query(fmt.Sprintf("%s%06d", prefix, n), fmt.Sprintf("READ item%d", n%50))
		switch {
		case err != nil:
			s.conn.Close()
			s = nil
			failed.Add(1)
		case r.signature == "":
			failed.Add(1)
			time.Sleep(50 * time.Millisecond)
		default:
			answered.Add(1)
		}
	}
	if s != nil {
		s.conn.Close()
	}
}

const (
	readers = 48
	// deafTime is how long a replica receives nothing before the primary crashes.
	deafTime = 3 * time.Second
	readWork = 40 * time.Millisecond
)

// busyReplica crashes a primary while one of its replicas has received nothing for a while. The
// other one, which confirms the commits, serves the users' reads, so that it may answer BUSY to a
// request for its status.
func busyReplica(r *record, trouble bool) (string, error) {
	p, err := newPlatform(r, 1)
	if err != nil {
		return "", err
	}
	defer p.stop()
	work := func(text string) time.Duration {
		if strings.HasPrefix(text, "READ") {
			return readWork
		}
		return usualWork(text)
	}
	if err := p.newGroup(2, 5, 34, work); err != nil {
		return "", err
	}
	p.configure(34, 3000)
	if err := p.addInstances(6); err != nil {
		return "", err
	}
	if err := p.startAll(); err != nil {
		return "", err
	}
	w := &writer{p: p, at: p.instances[2]}
	go w.run("a")
	defer w.stop.Store(true)
	var stop atomic.Bool
	var answered, failed atomic.Int64
	defer stop.Store(true)
	for n := range readers {
		go p.reader(p.instances[n%len(p.instances)], fmt.Sprintf("b%02x", n), &stop, &answered, &failed)
	}
	time.Sleep(2 * warmUp)
	r.add("%d reads were answered, %d failed", answered.Load(), failed.Load())
	old, before := p.group.servers[0], w.count()
	if !trouble {
		time.Sleep(deafTime)
		return w.verdictOnLoss(old, before)
	}
	p.group.mu.Lock()
	p.group.servers[2].cutOff = true
	p.group.mu.Unlock()
	r.add("server %s receives nothing from now on", p.group.servers[2].id)
	time.Sleep(deafTime)
	w.crashAtNextAck(old)
	promoted := p.awaitPrimary(old)
	r.add("%d reads were answered, %d failed", answered.Load(), failed.Load())
	return w.verdictOnLoss(promoted, before)
}
