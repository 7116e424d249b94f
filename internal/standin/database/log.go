package database

import (
	"github.com/hornbeamlock/hornbeamlock/internal/position"

	standinv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/standin/v1"
)

// commitLog is the log of one server: the committed transactions and the offsets at
// which terms began. Callers synchronise access to it.
type commitLog struct {
	history position.History
	records []*standinv1.Record
}

// end returns the offset of the last record.
func (l *commitLog) end() uint64 { return uint64(len(l.records)) }

// position returns the position of the log's end: its offset in the latest term.
func (l *commitLog) position() position.Position {
	return position.Position{Term: l.history.LastTerm(), Offset: l.end()}
}

// positionAt returns the position of an offset: its term is the latest that began at
// or before it.
func (l *commitLog) positionAt(offset uint64) position.Position {
	p := position.Position{Offset: offset}
	for _, start := range l.history {
		if start.Offset <= offset {
			p.Term = start.Term
		}
	}
	return p
}

// holds reports whether the log reaches p's offset and its history contains p.
func (l *commitLog) holds(p position.Position) bool {
	return p.IsZero() || (l.end() >= p.Offset && l.history.Contains(p))
}

// beginTerm starts a term at the end of the log.
func (l *commitLog) beginTerm(term uint64) {
	l.history = append(l.history, position.TermStart{Term: term, Offset: l.end()})
}

func (l *commitLog) append(record *standinv1.Record) position.Position {
	l.records = append(l.records, record)
	return l.position()
}

// replaceFrom truncates the log at start, appends the records, and sets the history
// to the terms of the primary's history that began at or before the log's new end.
func (l *commitLog) replaceFrom(start uint64, records []*standinv1.Record, history position.History) {
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

// sharedOffset returns the offset up to which two logs have the same records.
func sharedOffset(a position.History, aEnd uint64, b position.History, bEnd uint64) uint64 {
	shared := 0
	for shared < len(a) && shared < len(b) && a[shared] == b[shared] {
		shared++
	}
	if shared == 0 {
		return 0
	}
	return min(termsEnd(a, aEnd, shared), termsEnd(b, bEnd, shared))
}

// termsEnd returns the offset at which the first count terms of a log end.
func termsEnd(history position.History, end uint64, count int) uint64 {
	if count < len(history) {
		return history[count].Offset
	}
	return end
}
