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

// store is the platform's table with bounded calls and an estimate of its clock.
type store struct {
	table   platform.Table
	clock   lease.Clock
	timeout time.Duration
	writes  *expvar.Int
	reads   *expvar.Int

	mu   sync.Mutex
	seen sample // guarded by mu
}

// sample is one reading of the table's clock.
type sample struct {
	table          time.Duration // since 1970
	sent, received time.Duration // by the instance's clock
}

// earliest and latest bound the table's clock at an instant of the own clock.
func (s sample) earliest(now time.Duration) time.Duration { return s.table + now - s.received }

func (s sample) latest(now time.Duration) time.Duration { return s.table + now - s.sent }

// lastSample returns the latest reading of the table's clock.
func (s *store) lastSample() sample {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen
}

func (s *store) observe(sent time.Duration, table time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = sample{table: time.Duration(table.UnixNano()), sent: sent, received: s.clock()}
}

// known tells whether the table has ever answered.
func (s *store) known() bool { return s.lastSample() != sample{} }

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
	s.observe(sent, now)
	return rows, nil
}

// commit writes rows under conditions. After an error the outcome is unknown.
func (s *store) commit(ctx context.Context, conditions []platform.Condition, writes []platform.Write) (platform.CommitResult, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	s.writes.Add(int64(len(writes)))
	sent := s.clock()
	result, err := s.table.Commit(ctx, conditions, writes)
	if err != nil {
		return result, trace.Wrap(err)
	}
	s.observe(sent, result.Now)
	return result, nil
}
