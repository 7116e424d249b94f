package database

import (
	"math/rand/v2"
	"sync"
	"time"
)

// pendingRecord is a record that a replica holds and has not run.
type pendingRecord struct {
	offset     uint64
	receivedAt time.Time
	// lagFraction places the record's lag in the range, from 0 to 1.
	lagFraction float64
}

// lagSource gives the replay lag of each record.
type lagSource struct {
	mu               *sync.Mutex
	random           *rand.Rand // guarded by mu
	minimum, maximum time.Duration
}

func newLagSource(seed uint64, minimum, maximum time.Duration) lagSource {
	return lagSource{
		mu:      &sync.Mutex{},
		random:  rand.New(rand.NewPCG(seed, seed)),
		minimum: minimum,
		maximum: maximum,
	}
}

func (l *lagSource) set(minimum, maximum time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.minimum, l.maximum = minimum, maximum
}

// newPendingRecord notes a record that came at now.
func (l *lagSource) newPendingRecord(offset uint64, now time.Time) pendingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return pendingRecord{offset: offset, receivedAt: now, lagFraction: l.random.Float64()}
}

// dueAt is when the record becomes visible under the present range.
func (l *lagSource) dueAt(a pendingRecord) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.receivedAt.Add(l.minimum + time.Duration(a.lagFraction*float64(l.maximum-l.minimum)))
}
