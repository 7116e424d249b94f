// Package confirm decides when commits may be acknowledged: it records which servers
// of a group hold which position. It performs no I/O.
//
// Invariant: a position is confirmed only when a majority of the servers holds it
// durably in the term in which it was written.
package confirm

import (
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Outcome is the state of the confirmation of a position.
type Outcome uint8

// Values of Outcome.
const (
	// Pending means that more responses are needed.
	Pending Outcome = iota
	// Confirmed means that a majority holds the position in its term.
	Confirmed
	// Superseded means that so many servers have promised a higher term that no
	// majority can confirm the position any more.
	Superseded
)

// Ledger records the responses of one group's servers. It is not safe for concurrent
// use.
type Ledger struct {
	servers []string
	entries map[string]entry
}

// entry is the latest known state of one server.
type entry struct {
	held     position.Position
	promised uint64
}

// NewLedger returns a ledger for a group without servers.
func NewLedger() *Ledger { return &Ledger{entries: make(map[string]entry)} }

// SetServers replaces the group's servers and drops the state of removed ones.
func (l *Ledger) SetServers(endpoints []string) {
	entries := make(map[string]entry, len(endpoints))
	for _, endpoint := range endpoints {
		entries[endpoint] = l.entries[endpoint]
	}
	l.servers, l.entries = endpoints, entries
}

// RecordHeld records that the server held p durably while p.Term was its promised term.
func (l *Ledger) RecordHeld(endpoint string, p position.Position) {
	l.update(endpoint, entry{held: p, promised: p.Term})
}

// RecordPromise records that the server promised term.
func (l *Ledger) RecordPromise(endpoint string, term uint64) {
	l.update(endpoint, entry{promised: term})
}

func (l *Ledger) update(endpoint string, observed entry) {
	e, known := l.entries[endpoint]
	if !known {
		return
	}
	l.entries[endpoint] = entry{held: e.held.Max(observed.held), promised: max(e.promised, observed.promised)}
}

// Undecided reports whether the server's response about p is still needed.
func (l *Ledger) Undecided(endpoint string, p position.Position) bool {
	e, known := l.entries[endpoint]
	return known && !e.holds(p) && e.promised <= p.Term
}

func (e entry) holds(p position.Position) bool {
	return e.held.Term == p.Term && e.held.Offset >= p.Offset
}

// Outcome judges p. The writer is the primary of p.Term, which reported p after
// making it durable and so counts as holding it; it is empty when unknown.
func (l *Ledger) Outcome(p position.Position, writer string) Outcome {
	holding, undecided := 0, 0
	for _, endpoint := range l.servers {
		switch {
		case endpoint == writer || l.entries[endpoint].holds(p):
			holding++
		case l.entries[endpoint].promised <= p.Term:
			undecided++
		}
	}
	majority := election.Majority(len(l.servers))
	switch {
	case holding >= majority:
		return Confirmed
	case holding+undecided < majority && len(l.servers) > 0:
		return Superseded
	default:
		return Pending
	}
}
