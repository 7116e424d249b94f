package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

// Kind is the kind of a violation, by the guarantee that it breaks.
type Kind string

// The kinds of violations.
const (
	// StaleRead is a read that missed a write which had been acknowledged to the
	// same session before the read began.
	StaleRead Kind = "stale read"
	// BackwardRead is a read that saw less than an earlier read of its session,
	// although the row seen earlier was not undone.
	BackwardRead Kind = "backward read"
	// UndoneRead is a read of a row that is missing at the end. It is allowed when
	// the write was never acknowledged, as a failover may undo such a write.
	UndoneRead Kind = "undone read"
	// LostWrite is an acknowledged write whose row is missing at the end.
	LostWrite Kind = "lost write"
	// DoubledWrite is a write whose row is stored more than once.
	DoubledWrite Kind = "doubled write"
	// UntrueRefusal is a write with the verdict "not run" whose row is stored.
	UntrueRefusal Kind = "untrue refusal"
	// ForeignRow is a row of another organisation, seen by a read or stored
	// under a write's ID.
	ForeignRow Kind = "foreign row"
	// UnknownRow is a row that nobody wrote.
	UnknownRow Kind = "unknown row"
)

// Violation is one broken guarantee.
type Violation struct {
	Kind   Kind
	Detail string
}

// String formats the violation for a report.
func (v Violation) String() string { return string(v.Kind) + ": " + v.Detail }

// Check returns the violations in a history, given the rows that are stored at its end.
func Check(h History, rows []Row) []Violation {
	violations := checkReads(h, rows)
	return append(violations, checkRows(h.Writes, rows)...)
}

// Count returns how many violations are of the kind.
func Count(violations []Violation, kind Kind) int {
	count := 0
	for _, v := range violations {
		if v.Kind == kind {
			count++
		}
	}
	return count
}

// sessionKey is a key as used by one session: the unit for which reads are checked.
type sessionKey struct {
	session, key string
}

// observation is a number of a key that a session had written or read at an instant.
type observation struct {
	at     time.Time
	number int64
}

// numberedKey identifies a row by its key and number.
type numberedKey struct {
	key    string
	number int64
}

// checkReads compares each read with what its session had written and read before
// the read began.
func checkReads(h History, rows []Row) []Violation {
	survived := make(map[numberedKey]bool, len(rows))
	for _, row := range rows {
		survived[numberedKey{row.Key, row.Number}] = true
	}
	written := make(map[sessionKey][]observation)
	for _, w := range h.Writes {
		if w.Outcome == verdict.Ran {
			k := sessionKey{w.Session, w.Key}
			written[k] = append(written[k], observation{w.End, w.Number})
		}
	}
	read := make(map[sessionKey][]observation)
	var violations []Violation
	for _, r := range h.Reads {
		if r.Highest > 0 && !survived[numberedKey{r.Key, r.Highest}] {
			violations = append(violations, Violation{UndoneRead, fmt.Sprintf("session %s read %d of %s, which was undone", r.Session, r.Highest, r.Key)})
			continue
		}
		k := sessionKey{r.Session, r.Key}
		read[k] = append(read[k], observation{r.End, r.Highest})
	}
	runningMaximum(written)
	runningMaximum(read)
	for _, r := range h.Reads {
		k := sessionKey{r.Session, r.Key}
		if own := highestAt(written[k], r.Start); r.Highest < own {
			violations = append(violations, Violation{StaleRead, fmt.Sprintf("session %s read %d of %s at %s after writing %d", r.Session, r.Highest, r.Key, r.Start.Format(time.StampMicro), own)})
		}
		if seen := highestAt(read[k], r.Start); r.Highest < seen {
			violations = append(violations, Violation{BackwardRead, fmt.Sprintf("session %s read %d of %s at %s after reading %d", r.Session, r.Highest, r.Key, r.Start.Format(time.StampMicro), seen)})
		}
		if r.Owner != "" && r.Owner != r.Organisation {
			violations = append(violations, Violation{ForeignRow, fmt.Sprintf("session %s of %s read a row of %s", r.Session, r.Organisation, r.Owner)})
		}
	}
	return violations
}

// runningMaximum sorts the observations by time and replaces each number by the
// highest so far.
func runningMaximum(all map[sessionKey][]observation) {
	for _, list := range all {
		slices.SortFunc(list, func(a, b observation) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number)) })
		for i := 1; i < len(list); i++ {
			list[i].number = max(list[i].number, list[i-1].number)
		}
	}
}

// highestAt returns the highest number observed up to an instant, 0 for none.
func highestAt(list []observation, at time.Time) int64 {
	later, _ := slices.BinarySearchFunc(list, at, func(o observation, at time.Time) int {
		if o.at.After(at) {
			return 1
		}
		return -1
	})
	if later == 0 {
		return 0
	}
	return list[later-1].number
}

// writeAttempts summarises the attempts at one write.
type writeAttempts struct {
	write        Write
	acknowledged bool
	// refused is true if every attempt had the verdict "not run".
	refused bool
}

func checkRows(writes []Write, rows []Row) []Violation {
	byID := make(map[string]*writeAttempts, len(writes))
	for _, w := range writes {
		a, ok := byID[w.ID]
		if !ok {
			a = &writeAttempts{write: w, refused: true}
			byID[w.ID] = a
		}
		a.acknowledged = a.acknowledged || w.Outcome == verdict.Ran
		a.refused = a.refused && w.Outcome == verdict.NotRun
	}
	count := make(map[string]int, len(rows))
	var violations []Violation
	for _, row := range rows {
		count[row.ID]++
		violations = append(violations, checkRow(row, byID[row.ID], count[row.ID])...)
	}
	for _, w := range writes {
		a := byID[w.ID]
		if a.acknowledged && count[w.ID] == 0 {
			a.acknowledged = false // reported once
			violations = append(violations, Violation{LostWrite, "row " + w.ID + " of session " + w.Session})
		}
	}
	return violations
}

// checkRow checks one row against the attempts at writing it. seen is the number of
// rows with its ID so far, including this one.
func checkRow(row Row, a *writeAttempts, seen int) []Violation {
	switch {
	case a == nil:
		return []Violation{{UnknownRow, "row " + row.ID}}
	case seen == 2:
		return []Violation{{DoubledWrite, "row " + row.ID + " of session " + a.write.Session}}
	case seen > 2:
		return nil
	case a.refused:
		return []Violation{{UntrueRefusal, "row " + row.ID + " of session " + a.write.Session}}
	case row.Organisation != a.write.Organisation || row.Key != a.write.Key || row.Number != a.write.Number:
		return []Violation{{ForeignRow, "row " + row.ID + " differs from what session " + a.write.Session + " wrote"}}
	}
	return nil
}
