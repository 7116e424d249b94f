// Package lag estimates how long after a commit at the primary a replica shows it,
// from samples of their positions. It performs no I/O. The estimates serve the
// choice and the waiting for replicas; no promise rests on them.
package lag

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// maxMarks bounds how far back a replica's position can be dated.
	maxMarks = 128
	// fall is the part of the way that an estimate falls towards a lower sample;
	// towards a higher one it goes at once, since a read that comes too early has
	// to be repeated.
	fall = 0.1
	// half is where between two records the time of the later one is assumed.
	half = 0.5
)

// mark is the primary's position at an instant.
type mark struct {
	at     time.Time
	offset uint64
}

// Estimator follows the replicas of one group. It is not safe for concurrent use.
type Estimator struct {
	term  uint64
	marks []mark // by time; the offsets rise
	lags  map[string]time.Duration
}

// NewEstimator returns an estimator that knows nothing.
func NewEstimator() *Estimator { return &Estimator{lags: make(map[string]time.Duration)} }

// ObservePrimary takes over that the primary was at p at an instant.
func (e *Estimator) ObservePrimary(at time.Time, p position.Position) {
	if p.Term != e.term {
		e.term, e.marks = p.Term, nil
	}
	if n := len(e.marks); n > 0 && p.Offset <= e.marks[n-1].offset {
		if p.Offset == e.marks[n-1].offset && (n == 1 || e.marks[n-2].offset < p.Offset) {
			e.marks = append(e.marks, mark{at: at, offset: p.Offset})
		} else if p.Offset == e.marks[n-1].offset {
			e.marks[n-1].at = at
		}
		return
	}
	e.marks = append(e.marks, mark{at: at, offset: p.Offset})
	if len(e.marks) > maxMarks {
		e.marks = append(e.marks[:0], e.marks[len(e.marks)-maxMarks:]...)
	}
}

// ObserveReplica takes over that reads at a replica reflected p at an instant, and returns
// the estimate, or false while there is none. Nothing is learned while the primary
// does not write.
func (e *Estimator) ObserveReplica(endpoint string, at time.Time, p position.Position) (time.Duration, bool) {
	old, known := e.lags[endpoint]
	sample, ok := e.sample(at, p)
	switch {
	case !ok:
	case !known || sample > old:
		e.lags[endpoint] = sample
	default:
		e.lags[endpoint] = old - time.Duration(fall*float64(old-sample))
	}
	lag, known := e.lags[endpoint]
	return lag, known
}

// sample dates the first record that a replica at p lacks, or the last one that it
// has when it lacks none.
func (e *Estimator) sample(at time.Time, p position.Position) (time.Duration, bool) {
	n := len(e.marks)
	if p.Term != e.term || n < 2 || p.Offset < e.marks[0].offset {
		return 0, false
	}
	if last := e.marks[n-1]; p.Offset >= last.offset {
		before := e.marks[n-2]
		if before.offset == last.offset {
			return 0, false
		}
		return max(1, time.Duration(half*float64(last.at.Sub(before.at))/float64(last.offset-before.offset))), true
	}
	for i := n - 1; i > 0; i-- {
		if from := e.marks[i-1]; from.offset <= p.Offset && from.offset < e.marks[i].offset {
			return max(1, at.Sub(between(from, e.marks[i], float64(p.Offset)+half))), true
		}
	}
	return 0, false
}

// between dates an offset between two marks, as if the primary wrote evenly.
func between(a, b mark, offset float64) time.Time {
	part := (offset - float64(a.offset)) / float64(b.offset-a.offset)
	return a.at.Add(time.Duration(part * float64(b.at.Sub(a.at))))
}
