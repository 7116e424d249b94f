package database

import (
	"math/rand/v2"
	"sync"
	"time"
)

// pendingRecord is a log record that a replica has received but not applied yet.
type pendingRecord struct {
	offset     uint64
	receivedAt time.Time
	// lagFraction is the record's place within the range of lags, from 0 to 1.
	lagFraction float64
}

// lagSource draws the replay lag of each record.
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

// newPendingRecord draws the lag of a record that was received at now.
func (l *lagSource) newPendingRecord(offset uint64, now time.Time) pendingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return pendingRecord{offset: offset, receivedAt: now, lagFraction: l.random.Float64()}
}

// dueAt returns when the record becomes visible, given the current range of lags.
func (l *lagSource) dueAt(record pendingRecord) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return record.receivedAt.Add(l.minimum + time.Duration(record.lagFraction*float64(l.maximum-l.minimum)))
}
