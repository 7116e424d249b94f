package main

import (
	"errors"
	"time"
)

// instancesOfSite is the number of instances of the small site.
const instancesOfSite = 9

// prepare starts the stage and has the operators' side replace the primary as planned work: a new
// server starts, the primary drains, and ends once another one leads.
func prepare(s *stage) error {
	if err := s.start(instancesOfSite); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	first := s.database.primary()
	if _, err := s.database.add("i-d1", first.zone, "127.61.100.4"); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	first.drain()
	if !s.await(10*time.Second, func() bool { p := s.database.primary(); return p != nil && p != first }) {
		return errors.New("the draining primary was not replaced")
	}
	time.Sleep(8 * time.Second)
	first.stop()
	s.store.leave(first.id)
	time.Sleep(6 * time.Second)
	if s.clients.ackedSince(time.Since(s.record.began)-time.Second) == 0 {
		return errors.New("no write is served after the planned replacement")
	}
	if len(s.clients.losses()) > 0 {
		return errors.New("the planned replacement lost writes")
	}
	return nil
}

// Times of playLateEntries, from the beginning of the store's outage.
const (
	outageOfStore     = 4500 * time.Millisecond
	deafFrom          = 500 * time.Millisecond
	deafFor           = 6 * time.Second
	killBeforeReturn  = 400 * time.Millisecond
	restartAfter      = 500 * time.Millisecond
	lateEntryAfter    = 1800 * time.Millisecond
	observationPeriod = 12 * time.Second
)

// playLateEntries has the store down while one replica receives nothing, and one instance killed
// shortly before the store returns. All servers live; their entries are back within two seconds.
func playLateEntries(s *stage, trouble bool) ([]string, error) {
	if err := prepare(s); err != nil {
		return nil, err
	}
	holder, err := s.lastHolder()
	if err != nil {
		return nil, err
	}
	primary, replicas := s.database.primary(), s.database.replicas()
	if len(replicas) != 2 {
		return nil, errors.New("there are not two replicas")
	}
	deaf, current := replicas[0], replicas[1]
	s.record.line("the primary is %s, the replicas are %s and %s, the last holder is %s", primary.id, deaf.id, current.id, holder.name)
	if trouble {
		began := time.Now()
		at := func(d time.Duration) { time.Sleep(time.Until(began.Add(d))) }
		s.record.line("the store is down")
		s.store.setDown(true)
		at(deafFrom)
		deaf.deafen(deafFor)
		at(outageOfStore - killBeforeReturn)
		holder.kill()
		s.database.silence(outageOfStore+lateEntryAfter-time.Since(began), primary, current)
		at(outageOfStore)
		s.record.line("the store is back")
		s.store.setDown(false)
		deaf.beat()
		at(outageOfStore - killBeforeReturn + restartAfter)
		if err := holder.start(); err != nil {
			return nil, err
		}
		at(outageOfStore + lateEntryAfter)
		primary.beat()
		current.beat()
	}
	time.Sleep(observationPeriod)
	if s.clients.ackedSince(time.Since(s.record.began)-2*time.Second) == 0 {
		s.record.line("no write was served in the last two seconds")
	}
	return s.clients.losses(), nil
}

// Times of playDepartedReplica, from the moment at which one replica begins to receive nothing.
const (
	lossAfter        = 500 * time.Millisecond
	entryGoneTimeout = 4500 * time.Millisecond
	crashAfterKill   = 500 * time.Millisecond
	downAfterKill    = time.Second
	crashOfPrimary   = 7 * time.Second
)

// playDepartedReplica has one replica receive nothing for a while and the other one lost for good.
// Then all processes are killed at once, and the primary crashes before they are back. It returns
// with its log.
func playDepartedReplica(s *stage, trouble bool) ([]string, error) {
	if err := prepare(s); err != nil {
		return nil, err
	}
	primary, replicas := s.database.primary(), s.database.replicas()
	if len(replicas) != 2 {
		return nil, errors.New("there are not two replicas")
	}
	deaf, lost := replicas[0], replicas[1]
	s.record.line("the primary is %s, the replicas are %s and %s", primary.id, deaf.id, lost.id)
	if trouble {
		deaf.deafen(deafFor)
		time.Sleep(lossAfter)
		lost.stop()
		if !s.await(entryGoneTimeout, func() bool { return !s.store.has(tableServers, lost.id) }) {
			return nil, errors.New("the entry of the lost replica has not expired")
		}
		for _, i := range s.instances {
			i.kill()
		}
		killed := time.Now()
		time.Sleep(crashAfterKill)
		primary.stop()
		time.Sleep(time.Until(killed.Add(downAfterKill)))
		for _, i := range s.instances {
			if err := i.start(); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Until(killed.Add(crashAfterKill + crashOfPrimary)))
		if err := primary.restart(); err != nil {
			return nil, err
		}
	}
	time.Sleep(observationPeriod)
	return s.clients.losses(), nil
}
