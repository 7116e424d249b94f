package election

import (
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// ReplicationProgress follows whether a majority of a group takes the primary's log. The zero
// value has seen nothing.
type ReplicationProgress struct {
	term  uint64
	held  position.Position
	since time.Time // zero while a majority holds all that the primary had
}

// Observe takes over one round of statuses of a group of size servers, seen at now.
func (p *ReplicationProgress) Observe(statuses []platform.ServerStatus, size int, now time.Time) {
	primary, current := CurrentPrimary(statuses, size)
	if !current {
		*p = ReplicationProgress{}
		return
	}
	held := heldByMajority(statuses, primary, size)
	switch {
	case !held.Less(primary.Durable):
		p.since = time.Time{}
	case p.since.IsZero() || held != p.held || primary.PromisedTerm != p.term:
		p.since = now
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

// StalledFor returns for how long, at now, a majority has taken nothing although
// there was something to take.
func (p *ReplicationProgress) StalledFor(now time.Time) time.Duration {
	if p.since.IsZero() {
		return 0
	}
	return now.Sub(p.since)
}
