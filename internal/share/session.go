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

// session is the lease under which the instance leases allocations from the table.
// When it expires, or its row is removed, all of them are void and a new session
// begins under a new name.
type session struct {
	store *store
	self  blackboard.Member
	// serving returns the serving lease; nil if holdings do not depend on it.
	serving func() lease.Lease

	mu              sync.Mutex
	number          int               // guarded by mu
	revision        platform.Revision // guarded by mu; 0 while there is no row
	lease           lease.Lease       // guarded by mu
	unbrokenServing lease.Lease       // guarded by mu; serving lease, extended only without a gap
}

// holder returns the name of the session.
func (s *session) holder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name()
}

// name is holder for a caller that holds mu.
func (s *session) name() string { return holderName(s.self.ID, s.self.Incarnation, s.number) }

// left returns how long the instance may still grant units under the session; 0
// when it may not.
func (s *session) left(now time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.serving == nil {
		return s.lease.Remaining(now)
	}
	if !s.unbrokenServing.Valid(now) {
		return 0
	}
	s.unbrokenServing = s.unbrokenServing.Later(s.serving())
	return s.lease.Remaining(now)
}

// lost reports whether the session has begun and may no longer be used.
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
	if !s.unbrokenServing.Valid(now) {
		return true
	}
	s.unbrokenServing = s.unbrokenServing.Later(s.serving())
	return false
}

// reset ends the session locally and returns the row to delete.
func (s *session) reset() (key string, revision platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key, revision = sessionKey(s.name()), s.revision
	s.number++
	s.revision, s.lease, s.unbrokenServing = 0, lease.Lease{}, lease.Lease{}
	return key, revision
}

// renewalOutcome is the outcome of a renewal that the table responded to.
type renewalOutcome uint8

const (
	// renewed means that the lease was extended.
	renewed renewalOutcome = iota
	// renewalConflicted means that an earlier renewal, whose response was lost, had
	// changed the row; the next renewal will succeed.
	renewalConflicted
	// sessionRowRemoved means that another instance has deleted the session's row.
	sessionRowRemoved
)

// renew begins the session or extends its lease.
func (s *session) renew(ctx context.Context, length time.Duration) (renewalOutcome, error) {
	if !s.store.hasReading() {
		if _, err := s.store.get(ctx, sessionKey(s.holder())); err != nil {
			return renewalConflicted, trace.Wrap(err)
		}
	}
	now := s.store.clock()
	s.mu.Lock()
	key, revision := sessionKey(s.name()), s.revision
	if s.serving != nil && revision == 0 {
		s.unbrokenServing = s.serving()
	}
	s.mu.Unlock()
	value, err := encode(sessionRow{
		Format: rowFormat, GrantedAt: s.store.lastReading().latest(now), Lease: length,
	})
	if err != nil {
		return renewalConflicted, trace.Wrap(err)
	}
	result, err := s.store.commit(ctx,
		[]platform.Condition{{Key: key, Revision: revision}},
		[]platform.Write{{Key: key, Value: value}})
	if err != nil {
		return renewalConflicted, trace.Wrap(err)
	}
	return s.applyRenewal(result, revision, lease.StartingAt(now, length)), nil
}

// applyRenewal applies the outcome of a renewal.
func (s *session) applyRenewal(result platform.CommitResult, revision platform.Revision, granted lease.Lease) renewalOutcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	if result.Applied {
		s.revision, s.lease = result.Revision, s.lease.Later(granted)
		return renewed
	}
	for _, current := range result.Current {
		if current.Revision.Exists() {
			s.revision = current.Revision
			return renewalConflicted
		}
	}
	if revision == 0 {
		return renewalConflicted
	}
	return sessionRowRemoved
}
