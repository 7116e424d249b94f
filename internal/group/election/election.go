// Package election makes the decisions for promotions in a database group: when a
// primary counts as failed, which server may take over, and the steps of one attempt
// to promote it. It performs no I/O and reads no clock.
//
// Invariant: a server is only ever promoted when a majority of the group's servers
// has promised the attempt's term and holds nothing beyond that server's log. An
// acknowledged write is held by a majority that confirmed it in the term in which it
// was written; the two majorities share a server, so the promoted server holds the
// write.
package election

import (
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Server is one database server of a group.
type Server struct {
	// Endpoint is the server's id.
	Endpoint string
	// ControlAddress is where the server's agent listens.
	ControlAddress string
	// Avoid marks a server that is chosen only when no other qualifies: one that is
	// leaving, or whose log does not reach the others.
	Avoid bool
}

// Majority returns the smallest number of servers such that any two sets of that many
// servers, out of size, intersect. A group without servers has no majority: the
// result then exceeds its size.
func Majority(size int) int { return size/2 + 1 }

// Grant is a server's promise of a term, with the server's state at that time.
type Grant struct {
	Server Server
	Status platform.ServerStatus
}

// Choose returns the server to promote among those that granted a term to one
// proposer, in a group of size servers. A server qualifies when it serves and when a
// majority of the group granted the term while holding nothing beyond its log. The
// most advanced server is chosen, and one marked Avoid only when no other qualifies;
// among equals the preferred endpoint is chosen.
func Choose(grants []Grant, size int, preferred string) (Server, bool) {
	var best Grant
	found := false
	for _, candidate := range grants {
		if !candidate.Status.Serving || countCovered(grants, candidate.Status.Durable) < Majority(size) {
			continue
		}
		if !found || better(candidate, best, preferred) {
			best, found = candidate, true
		}
	}
	return best.Server, found
}

// countCovered counts the grants that hold nothing beyond p.
func countCovered(grants []Grant, p position.Position) int {
	n := 0
	for _, grant := range grants {
		if !p.Less(grant.Status.Durable) {
			n++
		}
	}
	return n
}

func better(a, b Grant, preferred string) bool {
	if a.Server.Avoid != b.Server.Avoid {
		return b.Server.Avoid
	}
	if order := a.Status.Durable.Compare(b.Status.Durable); order != 0 {
		return order > 0
	}
	if (a.Server.Endpoint == preferred) != (b.Server.Endpoint == preferred) {
		return a.Server.Endpoint == preferred
	}
	return a.Server.Endpoint < b.Server.Endpoint
}

// NextTerm returns a term above known and every term in the statuses.
func NextTerm(known uint64, statuses []platform.ServerStatus) uint64 {
	highest := known
	for _, status := range statuses {
		highest = max(highest, status.PromisedTerm, status.Durable.Term, status.History.LastTerm())
	}
	return highest + 1
}
