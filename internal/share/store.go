package share

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// store accesses the platform's table with a timeout for each call, and tracks the
// table's clock.
type store struct {
	table   platform.Table
	clock   lease.Clock
	timeout time.Duration
	writes  *expvar.Int
	reads   *expvar.Int

	mu       sync.Mutex
	lastRead clockReading // guarded by mu
}

// clockReading is one reading of the table's clock.
type clockReading struct {
	tableTime      time.Duration // since 1970
	sent, received time.Duration // by this instance's clock
}

// earliest and latest bound the time on the table's clock, given the time on this
// instance's clock.
func (s clockReading) earliest(now time.Duration) time.Duration {
	return s.tableTime + now - s.received
}

func (s clockReading) latest(now time.Duration) time.Duration { return s.tableTime + now - s.sent }

// lastReading returns the latest reading of the table's clock.
func (s *store) lastReading() clockReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastRead
}

func (s *store) recordReading(sent time.Duration, tableTime time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastRead = clockReading{tableTime: time.Duration(tableTime.UnixNano()), sent: sent, received: s.clock()}
}

// hasReading reports whether the table has ever responded.
func (s *store) hasReading() bool { return s.lastReading() != clockReading{} }

// get reads rows by key.
func (s *store) get(ctx context.Context, keys ...string) ([]platform.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.reads.Add(1)
	sent := s.clock()
	rows, now, err := s.table.Get(ctx, keys...)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.recordReading(sent, now)
	return rows, nil
}

// commit writes rows under conditions. If it returns an error, the outcome is
// unknown.
func (s *store) commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.writes.Add(int64(len(writes)))
	sent := s.clock()
	result, err := s.table.Commit(ctx, conditions, writes)
	if err != nil {
		return result, trace.Wrap(err)
	}
	s.recordReading(sent, result.Now)
	return result, nil
}
