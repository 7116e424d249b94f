// Package position orders positions in the log of a database group. A position is a
// term and an offset; a group's history lists the offsets at which its terms began.
package position

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Position is the position of a record in a group's log.
type Position struct {
	// Term is the term of the primary that wrote the record.
	Term uint64
	// Offset is the number of log records since the group was created.
	Offset uint64
}

// IsZero reports whether p is the position of the empty log, which every server holds.
func (p Position) IsZero() bool { return p == Position{} }

// Compare returns -1, 0 or +1; it orders positions by term, then by offset.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// Less reports whether p is before q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String returns the form "term/offset", which Parse accepts.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Parse parses the form "term/offset". It returns a BadParameter error for any other
// form.
func Parse(text string) (Position, error) {
	termText, offsetText, found := strings.Cut(text, "/")
	if !found {
		return Position{}, trace.BadParameter("position %q lacks a slash", text)
	}
	term, err := strconv.ParseUint(termText, 10, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q has a malformed term", text)
	}
	offset, err := strconv.ParseUint(offsetText, 10, 64)
	if err != nil {
		return Position{}, trace.BadParameter("position %q has a malformed offset", text)
	}
	return Position{Term: term, Offset: offset}, nil
}

// TermStart is the start of a term, whose records have offsets above Offset.
type TermStart struct {
	Term   uint64
	Offset uint64
}

// History lists the terms of one server's log, oldest first.
type History []TermStart

// Contains reports whether a log that has this history and reaches p's offset holds the
// record at p. It returns false if a later term began below p, since that superseded
// the record, and if the history lacks p's term.
func (h History) Contains(p Position) bool {
	if p.IsZero() {
		return true
	}
	for i, start := range h {
		if start.Term != p.Term {
			continue
		}
		if i+1 == len(h) {
			return true
		}
		return p.Offset <= h[i+1].Offset
	}
	return false
}

// Superseded reports whether a later term in the history began below p, so that no
// server with this history will ever hold the record at p.
func (h History) Superseded(p Position) bool {
	for _, start := range h {
		if start.Term > p.Term && start.Offset < p.Offset {
			return true
		}
	}
	return false
}

// LastTerm returns the latest term in the history, or 0 if the history is empty.
func (h History) LastTerm() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}
