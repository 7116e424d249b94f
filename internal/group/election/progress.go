package election

import (
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// ReplicationProgress tracks whether a majority of a group receives the primary's log.
// The zero value has no observations.
type ReplicationProgress struct {
	term         uint64
	held         position.Position
	stalledSince time.Time // last advance of the majority's position; zero if it lacks no records
}

// Observe evaluates one round of statuses of a group of size servers, received at
// now.
func (p *ReplicationProgress) Observe(statuses []platform.ServerStatus, size int, now time.Time) {
	primary, current := CurrentPrimary(statuses, size)
	if !current {
		*p = ReplicationProgress{}
		return
	}
	held := heldByMajority(statuses, primary, size)
	switch {
	case !held.Less(primary.Durable):
		p.stalledSince = time.Time{}
	case p.stalledSince.IsZero() || held != p.held || primary.PromisedTerm != p.term:
		p.stalledSince = now
	}
	p.term, p.held = primary.PromisedTerm, held
}

// heldByMajority returns the highest position that a majority holds.
func heldByMajority(statuses []platform.ServerStatus, primary platform.ServerStatus, size int) position.Position {
	var held []position.Position
	for _, status := range statuses {
		if primary.History.Contains(status.Durable) {
			held = append(held, status.Durable)
		}
	}
	slices.SortFunc(held, func(a, b position.Position) int { return b.Compare(a) })
	if len(held) < Majority(size) {
		return position.Position{}
	}
	return held[Majority(size)-1]
}

// StalledFor returns how long, at now, no majority has received new records although
// the primary had more.
func (p *ReplicationProgress) StalledFor(now time.Time) time.Duration {
	if p.stalledSince.IsZero() {
		return 0
	}
	return now.Sub(p.stalledSince)
}
