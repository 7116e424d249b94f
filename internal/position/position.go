// Package position orders places in the history of a database group. A place is
// a term and an offset; a group's history is the list of the offsets at which
// its terms began.
package position

import (
	"cmp"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// Position is a place in a group's history.
type Position struct {
	// Term is the term of the primary that wrote the record.
	Term uint64
	// Offset counts log records from the group's beginning.
	Offset uint64
}

// IsZero tells whether p is the empty history, which every server holds.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by offset: -1, 0 or +1.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// Less tells whether p comes before q.
func (p Position) Less(q Position) bool { return p.Compare(q) < 0 }

// Max returns the later of p and q.
func (p Position) Max(q Position) Position {
	if p.Less(q) {
		return q
	}
	return p
}

// String returns the form "term/offset" that Parse reads.
func (p Position) String() string {
	return strconv.FormatUint(p.Term, 10) + "/" + strconv.FormatUint(p.Offset, 10)
}

// Parse reads the form "term/offset". It returns a BadParameter error for
// anything else.
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

// TermStart says where a term began: its records have offsets above Offset.
type TermStart struct {
	Term   uint64
	Offset uint64
}

// History lists the terms of one server's log, oldest first.
type History []TermStart

// Contains tells whether a log with this history that reaches p's offset holds
// the very record at p. It is false when a later term began below p, which means
// that the record was superseded, and when p's term is unknown.
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

// Superseded tells whether a later term in the history began below p, so that
// no server of this history will ever hold the record at p.
func (h History) Superseded(p Position) bool {
	for _, start := range h {
		if start.Term > p.Term && start.Offset < p.Offset {
			return true
		}
	}
	return false
}

// LastTerm returns the latest term of the history, or 0 when it is empty.
func (h History) LastTerm() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}
