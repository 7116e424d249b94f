// Package confirm is the decision core for acknowledging commits: it counts which
// servers of a group hold which position. It performs no I/O.
//
// Invariant: a position is confirmed only when a majority of the servers holds it
// durably in the term in which it was written.
package confirm

import (
	"github.com/hornbeamlock/hornbeamlock/internal/group/election"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Outcome is what is known of a position.
type Outcome uint8

// The outcomes.
const (
	// Pending means that more answers are needed.
	Pending Outcome = iota
	// Confirmed means that a majority holds the position in its term.
	Confirmed
	// Superseded means that so many servers have promised a higher term that no
	// majority will ever confirm the position.
	Superseded
)

// Ledger counts the answers of one group's servers. It is not safe for concurrent
// use.
type Ledger struct {
	servers []string
	entries map[string]entry
}

// entry is the latest known of one server.
type entry struct {
	held     position.Position
	promised uint64
}

// NewLedger returns a ledger for a group without servers.
func NewLedger() *Ledger { return &Ledger{entries: make(map[string]entry)} }

// SetServers replaces the group's servers; what was known of others is dropped.
func (l *Ledger) SetServers(endpoints []string) {
	entries := make(map[string]entry, len(endpoints))
	for _, endpoint := range endpoints {
		entries[endpoint] = l.entries[endpoint]
	}
	l.servers, l.entries = endpoints, entries
}

// RecordHeld notes that the server held p durably while p.Term was its promised term.
func (l *Ledger) RecordHeld(endpoint string, p position.Position) {
	l.update(endpoint, entry{held: p, promised: p.Term})
}

// RecordPromise notes that the server promised term.
func (l *Ledger) RecordPromise(endpoint string, term uint64) {
	l.update(endpoint, entry{promised: term})
}

func (l *Ledger) update(endpoint string, news entry) {
	e, known := l.entries[endpoint]
	if !known {
		return
	}
	l.entries[endpoint] = entry{held: e.held.Max(news.held), promised: max(e.promised, news.promised)}
}

// Undecided tells whether the server's answer about p is still to be asked for.
func (l *Ledger) Undecided(endpoint string, p position.Position) bool {
	e, known := l.entries[endpoint]
	return known && !e.holds(p) && e.promised <= p.Term
}

func (e entry) holds(p position.Position) bool {
	return e.held.Term == p.Term && e.held.Offset >= p.Offset
}

// Outcome judges p. The writer is the primary of p.Term that told p, after it had
// made it durable, so it counts as holding it; empty when unknown.
func (l *Ledger) Outcome(p position.Position, writer string) Outcome {
	holding, open := 0, 0
	for _, endpoint := range l.servers {
		switch {
		case endpoint == writer || l.entries[endpoint].holds(p):
			holding++
		case l.entries[endpoint].promised <= p.Term:
			open++
		}
	}
	majority := election.Majority(len(l.servers))
	switch {
	case holding >= majority:
		return Confirmed
	case holding+open < majority && len(l.servers) > 0:
		return Superseded
	default:
		return Pending
	}
}
