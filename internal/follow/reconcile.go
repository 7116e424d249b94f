package follow

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Reconciler decides which rows to use after the store has returned from an older copy of itself,
// until their writers have written them again. What the store has returned with and what this
// instance knows come from one sequence of commits, so that the higher number is the newer row.
// It is used by one goroutine at a time.
type Reconciler struct {
	// Clock is the boot-time clock.
	Clock lease.Clock
	// Period is the time after the first read of a generation from which the store's rows are
	// used as they are.
	Period time.Duration
	// KeepMissing keeps rows that the store lacks during the period.
	KeepMissing bool
	// Ended is called at the end of the period, with the rows to be read again; nil if they are
	// read often anyway.
	Ended func()

	generation uint64
	since      time.Duration
	// first is the version of the first read of the generation: a row with a higher one was
	// written after the return.
	first platform.Revision
	// before is the last version known of an earlier generation, 0 if there is none.
	before platform.Revision
}

// Rows returns the rows to use; it implements Config.Reconcile. Both copies are ordered by key.
func (r *Reconciler) Rows(known, read Snapshot) []Row {
	now := r.Clock()
	if generation := read.Version.Generation(); generation != r.generation {
		r.begin(known.Version, read.Version, now)
	}
	if now-r.since >= r.Period {
		return read.Rows
	}
	rows := make([]Row, 0, len(read.Rows))
	remaining := known.Rows
	for _, row := range read.Rows {
		for len(remaining) > 0 && remaining[0].Key < row.Key {
			rows = r.appendMissing(rows, remaining[0])
			remaining = remaining[1:]
		}
		switch {
		case len(remaining) > 0 && remaining[0].Key == row.Key:
			rows = append(rows, r.newer(remaining[0], row))
			remaining = remaining[1:]
		case !r.wasRemoved(row):
			rows = append(rows, row)
		}
	}
	for _, row := range remaining {
		rows = r.appendMissing(rows, row)
	}
	return rows
}

// begin begins the period of a generation.
func (r *Reconciler) begin(known, read platform.Revision, now time.Duration) {
	r.generation, r.since, r.first, r.before = read.Generation(), now, read, 0
	if known.Generation() < r.generation {
		r.before = known
	}
	if r.Ended != nil {
		time.AfterFunc(r.Period, r.Ended)
	}
}

// newer returns the newer one of a known row and the same row as read.
func (r *Reconciler) newer(known, read Row) Row {
	if r.isCarried(known) && read.Version <= r.first && known.Version.Number() > read.Version.Number() {
		return known
	}
	return read
}

// wasRemoved reports whether a row that is not known was removed before the return.
func (r *Reconciler) wasRemoved(read Row) bool {
	return read.Version <= r.first && read.Version.Number() <= r.before.Number()
}

func (r *Reconciler) appendMissing(rows []Row, known Row) []Row {
	if r.KeepMissing && r.isCarried(known) {
		return append(rows, known)
	}
	return rows
}

// isCarried reports whether a known row is of an earlier generation.
func (r *Reconciler) isCarried(known Row) bool { return known.Version.Generation() < r.generation }
