package database

import (
	"math/rand/v2"
	"sync"
	"time"
)

// arrival is a record that a replica holds and has not run.
type arrival struct {
	offset uint64
	at     time.Time
	// draw places the record's lag in the range, from 0 to 1.
	draw float64
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

// arrive notes a record that came at now.
func (l *lagSource) arrive(offset uint64, now time.Time) arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return arrival{offset: offset, at: now, draw: l.random.Float64()}
}

// due is when the record becomes visible under the present range.
func (l *lagSource) due(a arrival) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return a.at.Add(l.minimum + time.Duration(a.draw*float64(l.maximum-l.minimum)))
}
