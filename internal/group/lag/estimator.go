// Package lag estimates how long after its commit at the primary a record becomes
// visible at a replica, from samples of their positions. It performs no I/O. The
// estimates are published on the blackboard; no guarantee and no routing decision
// rests on them.
package lag

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

const (
	// maxPrimarySamples bounds how far back a replica's position can be dated.
	maxPrimarySamples = 128
	// decreaseFactor is the fraction of the difference by which an estimate decreases
	// towards a lower sample. It increases to a higher one at once, since a read that
	// comes too early has to be repeated.
	decreaseFactor = 0.1
	// halfRecord is the fraction of the interval between two records after which the
	// later one is assumed to be written.
	halfRecord = 0.5
)

// primarySample is the primary's position at a point in time.
type primarySample struct {
	at     time.Time
	offset uint64
}

// Estimator estimates the lag of the replicas of one group. It is not safe for
// concurrent use.
type Estimator struct {
	term           uint64
	primarySamples []primarySample // in order of time; offsets do not decrease
	lags           map[string]time.Duration
}

// NewEstimator returns an estimator without samples.
func NewEstimator() *Estimator { return &Estimator{lags: make(map[string]time.Duration)} }

// ObservePrimary records that the primary was at p at the given time.
func (e *Estimator) ObservePrimary(at time.Time, p position.Position) {
	if p.Term != e.term {
		e.term, e.primarySamples = p.Term, nil
	}
	if n := len(e.primarySamples); n > 0 && p.Offset <= e.primarySamples[n-1].offset {
		if p.Offset == e.primarySamples[n-1].offset && (n == 1 || e.primarySamples[n-2].offset < p.Offset) {
			e.primarySamples = append(e.primarySamples, primarySample{at: at, offset: p.Offset})
		} else if p.Offset == e.primarySamples[n-1].offset {
			e.primarySamples[n-1].at = at
		}
		return
	}
	e.primarySamples = append(e.primarySamples, primarySample{at: at, offset: p.Offset})
	if len(e.primarySamples) > maxPrimarySamples {
		e.primarySamples = append(e.primarySamples[:0], e.primarySamples[len(e.primarySamples)-maxPrimarySamples:]...)
	}
}

// ObserveReplica records that reads at a replica reflected p at the given time, and
// returns the estimate, or false while there is none. The estimate does not change
// while the primary does not write.
func (e *Estimator) ObserveReplica(endpoint string, at time.Time, p position.Position) (time.Duration, bool) {
	old, known := e.lags[endpoint]
	measured, ok := e.measured(at, p)
	switch {
	case !ok:
	case !known || measured > old:
		e.lags[endpoint] = measured
	default:
		e.lags[endpoint] = old - time.Duration(decreaseFactor*float64(old-measured))
	}
	lag, known := e.lags[endpoint]
	return lag, known
}

// measured returns the age of the first record that a replica at p lacks. When it
// lacks none, the result is half the mean interval between the latest records.
func (e *Estimator) measured(at time.Time, p position.Position) (time.Duration, bool) {
	n := len(e.primarySamples)
	if p.Term != e.term || n < 2 || p.Offset < e.primarySamples[0].offset {
		return 0, false
	}
	if last := e.primarySamples[n-1]; p.Offset >= last.offset {
		before := e.primarySamples[n-2]
		if before.offset == last.offset {
			return 0, false
		}
		return max(1, time.Duration(halfRecord*float64(last.at.Sub(before.at))/float64(last.offset-before.offset))), true
	}
	for i := n - 1; i > 0; i-- {
		if from := e.primarySamples[i-1]; from.offset <= p.Offset && from.offset < e.primarySamples[i].offset {
			return max(1, at.Sub(interpolate(from, e.primarySamples[i], float64(p.Offset)+halfRecord))), true
		}
	}
	return 0, false
}

// interpolate returns the time at which the primary reached an offset between two
// samples, assuming a constant write rate.
func interpolate(a, b primarySample, offset float64) time.Time {
	fraction := (offset - float64(a.offset)) / float64(b.offset-a.offset)
	return a.at.Add(time.Duration(fraction * float64(b.at.Sub(a.at))))
}
