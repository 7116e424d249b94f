package database

import (
	"github.com/hornbeamlock/hornbeamlock/internal/position"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// commitLog is the log of one server: committed transactions and the offsets at
// which its terms began. It does no locking.
type commitLog struct {
	history position.History
	records []*standinv1.Record
}

// end is the offset of the last record.
func (l *commitLog) end() uint64 { return uint64(len(l.records)) }

// position is the end of the log in the latest term that began at or before it.
func (l *commitLog) position() position.Position {
	return position.Position{Term: l.history.LastTerm(), Offset: l.end()}
}

// positionAt returns the place of an offset in the history: the latest term that
// had begun there.
func (l *commitLog) positionAt(offset uint64) position.Position {
	p := position.Position{Offset: offset}
	for _, start := range l.history {
		if start.Offset <= offset {
			p.Term = start.Term
		}
	}
	return p
}

// holds tells whether the log reaches p in p's own term.
func (l *commitLog) holds(p position.Position) bool {
	return p.IsZero() || (l.end() >= p.Offset && l.history.Contains(p))
}

// beginTerm opens a term at the end of the log.
func (l *commitLog) beginTerm(term uint64) {
	l.history = append(l.history, position.TermStart{Term: term, Offset: l.end()})
}

func (l *commitLog) append(record *standinv1.Record) position.Position {
	l.records = append(l.records, record)
	return l.position()
}

// adopt cuts the log at start, appends the records, and takes over as much of
// the primary's history as the log now reaches.
func (l *commitLog) adopt(start uint64, records []*standinv1.Record, history position.History) {
	l.records = append(l.records[:start:start], records...)
	l.history = trimHistory(history, l.end())
}

// trimHistory returns the terms that began at or before end.
func trimHistory(history position.History, end uint64) position.History {
	var trimmed position.History
	for _, start := range history {
		if start.Offset <= end {
			trimmed = append(trimmed, start)
		}
	}
	return trimmed
}

// sharedOffset returns the offset up to which two logs hold the same records.
func sharedOffset(a position.History, aEnd uint64, b position.History, bEnd uint64) uint64 {
	shared := 0
	for shared < len(a) && shared < len(b) && a[shared] == b[shared] {
		shared++
	}
	if shared == 0 {
		return 0
	}
	return min(segmentEnd(a, aEnd, shared), segmentEnd(b, bEnd, shared))
}

// segmentEnd is where the first count terms of a log end.
func segmentEnd(history position.History, end uint64, count int) uint64 {
	if count < len(history) {
		return history[count].Offset
	}
	return end
}
