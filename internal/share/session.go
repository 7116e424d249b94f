package share

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// session is the lease on which everything hangs that the instance has from the
// table. When it lapses, or its row is gone, all of that is void and a new
// session begins under a new name.
type session struct {
	store *store
	self  blackboard.Member
	// serving returns the serving lease; nil when it does not matter.
	serving func() lease.Lease

	mu       sync.Mutex
	number   int         // guarded by mu
	revision uint64      // guarded by mu; 0 while there is no row
	lease    lease.Lease // guarded by mu
	covered  lease.Lease // guarded by mu; until when it served without a gap
}

// holder returns the name of the session.
func (s *session) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name()
}

func (s *session) name() string { return holderName(s.self.ID, s.self.Incarnation, s.number) }

// left returns for how long the instance may grant parts; 0 when it may not.
func (s *session) left(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving == nil {
		return s.lease.Remaining(now)
	}
	if !s.covered.Valid(now) {
		return 0
	}
	s.covered = s.covered.Later(s.serving())
	return s.lease.Remaining(now)
}

// lost tells whether the session has begun and may no longer be used.
func (s *session) lost(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.revision == 0 || s.lease == (lease.Lease{}) {
		return false
	}
	if !s.lease.Valid(now) {
		return true
	}
	if s.serving == nil {
		return false
	}
	if !s.covered.Valid(now) {
		return true
	}
	s.covered = s.covered.Later(s.serving())
	return false
}

// reset ends the session locally and returns the row to delete.
func (s *session) reset() (key string, revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, revision = sessionKey(s.name()), s.revision
	s.number++
	s.revision, s.lease, s.covered = 0, lease.Lease{}, lease.Lease{}
	return key, revision
}

// renewal is the outcome of a renewal whose answer arrived.
type renewal uint8

const (
	// renewed means that the lease lasts longer now.
	renewed renewal = iota
	// repeat means that an earlier renewal, whose answer was lost, stood in the
	// way; the next one will succeed.
	repeat
	// gone means that the session's row has been taken away.
	gone
)

// renew begins the session or makes its lease last longer.
func (s *session) renew(ctx context.Context, length time.Duration) (renewal, error) {
	if !s.store.known() {
		if _, err := s.store.get(ctx, sessionKey(s.holder())); err != nil {
			return repeat, trace.Wrap(err)
		}
	}
	now := s.store.clock()
	s.mu.Lock()
	key, revision := sessionKey(s.name()), s.revision
	if s.serving != nil && revision == 0 {
		s.covered = s.serving()
	}
	s.mu.Unlock()
	value, err := encode(sessionRow{
		Format: rowFormat, GrantedAt: s.store.lastSample().latest(now), Lease: length,
	})
	if err != nil {
		return repeat, trace.Wrap(err)
	}
	result, err := s.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}},
		[]platform.Write{{Key: key, Value: value}})
	if err != nil {
		return repeat, trace.Wrap(err)
	}
	return s.settle(result, revision, lease.StartingAt(now, length)), nil
}

// settle takes over the outcome of a renewal.
func (s *session) settle(result platform.CommitResult, revision uint64, granted lease.Lease) renewal {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Applied {
		s.revision, s.lease = result.Revision, s.lease.Later(granted)
		return renewed
	}
	for _, current := range result.Current {
		if current.Revision != 0 {
			s.revision = current.Revision
			return repeat
		}
	}
	if revision == 0 {
		return repeat
	}
	return gone
}
