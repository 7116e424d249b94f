package main

import (
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// greyTime and greyShare are how long, and for which share of its requests, a server fails.
	greyTime  = 6 * time.Second
	greyShare = 0.4
	// valueName is the name of the session value that each client sets.
	valueName = "branch"
)

// addIdleServices adds the other services of a small deployment.
func (p *platform) addIdleServices(names ...string) error {
	for n, name := range names {
		g := &group{service: name, promoteTime: p.group.promoteTime, store: p.store, record: p.record}
		for m, zone := range p.zones {
			if _, err := g.addServer(fmt.Sprintf("i-%08x", 0x5b20c7e0+16*n+m), zone, 5, 34, usualWork); err != nil {
				return err
			}
		}
		g.run()
		p.idle = append(p.idle, g)
	}
	return nil
}

// branchClient sets its session value once, and then writes in that session until stop. It
// returns an error if the value was not acknowledged.
func (p *platform) branchClient(at *instance, branch string, stop *atomic.Bool, wrote *atomic.Int64) error {
	s, err := openSession(at.front, hostUser, key)
	if err != nil {
		return err
	}
	defer s.conn.Close()
	r, err := s.query(branch+"set", "SET "+valueName+" "+branch)
	if err != nil || r.code != "" {
		return fmt.Errorf("SET of %s was not acknowledged: %w", branch, err)
	}
	p.record.add("client %s has the value %s=%s acknowledged by %s", branch, valueName, branch, at.name)
	for n := 1; !stop.Load(); n++ {
		id := fmt.Sprintf("%s%06d", branch, n)
		r, err := s.query(id, "WRITE "+id+" v"+id)
		if err != nil {
			p.record.add("client %s gets no answer to %s: %v", branch, id, err)
			return nil
		}
		p.record.add("client %s gets %s%s for WRITE %s", branch, r.signature, r.code, id)
		if r.signature != "" {
			wrote.Add(1)
		}
		time.Sleep(15 * time.Millisecond)
	}
	return nil
}

// foreignValues returns the statements that ran with other session values than their client has
// had acknowledged.
func (g *group) foreignValues() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var found []string
	for _, e := range g.ran {
		branch := strings.TrimRight(e.id, "0123456789")
		if len(e.values) != 1 || e.values[valueName] != branch {
			found = append(found, fmt.Sprintf("%s with %v", e.id, e.values))
		}
	}
	return found
}

// failedSet lets the primary fail a part of its requests for a while, while clients with different
// session values write over the same instance.
func failedSet(r *record, trouble bool) (string, error) {
	p, err := newPlatform(r, 0)
	if err != nil {
		return "", err
	}
	defer p.stop()
	if err := p.newGroup(2, 5, 34, usualWork); err != nil {
		return "", err
	}
	if err := p.addIdleServices("rano52b", "miso77c"); err != nil {
		return "", err
	}
	p.configure(34, 400)
	if err := p.addInstances(6); err != nil {
		return "", err
	}
	if err := p.startAll(); err != nil {
		return "", err
	}
	var stop atomic.Bool
	var wrote atomic.Int64
	ended := make(chan error, 4)
	for _, branch := range []string{"north", "south", "east", "west"} {
		go func() { ended <- p.branchClient(p.instances[1], branch, &stop, &wrote) }()
	}
	time.Sleep(warmUp)
	primary := p.group.servers[0]
	setShare := func(share float64) {
		p.group.mu.Lock()
		primary.failShare = share
		p.group.mu.Unlock()
		r.add("server %s fails a share of %.1f of its requests from now on", primary.id, share)
	}
	if trouble {
		setShare(greyShare)
	}
	time.Sleep(greyTime)
	setShare(0)
	time.Sleep(warmUp / 2)
	stop.Store(true)
	for range cap(ended) {
		if err := <-ended; err != nil {
			return "", err
		}
	}
	r.add("%d writes succeeded", wrote.Load())
	if wrote.Load() == 0 {
		return "", errors.New("no write succeeded")
	}
	if found := p.group.foreignValues(); len(found) > 0 {
		return fmt.Sprintf("PINNED: %d statements ran with session values that differ from those acknowledged to their client, the first %s", len(found), found[0]), nil
	}
	return "", nil
}
