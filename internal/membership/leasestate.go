package membership

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// leaseState is the state of this instance's own serving lease, a state machine
// without locks or I/O. Times are by the boot-time clock.
type leaseState struct {
	limits Limits
	domain string
	// registered is true while this instance's row is certain to be in the table.
	registered bool
	// domainLease was granted by a registered peer of the same domain, by the
	// table, or by the instance itself as the only registered one of its domain.
	domainLease lease.Lease
	// outsideLease was granted by peers of other domains.
	outsideLease lease.Lease
	// contacts holds the time of this domain's last contact with each other
	// domain, and with the table under the empty name.
	contacts map[string]time.Duration
	// domains are the failure domains with registered members.
	domains map[string]bool
	// A leaving instance grants no leases; after leaseEnded it accepts none either.
	leaving    bool
	leaseEnded bool
}

func newLeaseState(limits Limits, domain string) *leaseState {
	return &leaseState{limits: limits, domain: domain, contacts: make(map[string]time.Duration), domains: map[string]bool{domain: true}}
}

// current returns the lease that expires last.
func (s *leaseState) current() lease.Lease { return s.domainLease.Later(s.outsideLease) }

// unregisterIfExpired clears registered once the lease has expired: the row may
// have been removed since, so that the table has to confirm it again.
func (s *leaseState) unregisterIfExpired(now time.Duration) {
	if !s.current().Valid(now) {
		s.registered = false
	}
}

// isolated reports whether the domain has had no contact within the isolation
// limit, neither with the table nor with enough domains to form a majority.
func (s *leaseState) isolated(now time.Duration) bool {
	if s.contactedRecently("", now) {
		return false
	}
	return !s.hasMajority(now)
}

func (s *leaseState) contactedRecently(domain string, now time.Duration) bool {
	at, ok := s.contacts[domain]
	return ok && now-at <= s.limits.Isolation
}

// hasMajority reports whether this domain and those in contact with it are more
// than half of all domains.
func (s *leaseState) hasMajority(now time.Duration) bool {
	inContact := 0
	for domain := range s.domains {
		if domain == s.domain || s.contactedRecently(domain, now) {
			inContact++
		}
	}
	return 2*inContact > len(s.domains)
}

// recordContact records a contact with a domain at the given time, unless a later one is
// known.
func (s *leaseState) recordContact(domain string, at time.Duration) {
	if known, ok := s.contacts[domain]; !ok || at > known {
		s.contacts[domain] = at
	}
}

// handleAck applies a lease of the given length that a peer granted; sent is the
// time at which the heartbeat was sent. A peer of the same domain also reports the
// ages of the domain's contacts.
func (s *leaseState) handleAck(now, sent, length time.Duration, domain string, contacts map[string]time.Duration) {
	s.unregisterIfExpired(now)
	if length <= 0 || s.leaseEnded {
		return
	}
	if domain != s.domain {
		s.recordContact(domain, sent)
	}
	for other, age := range contacts {
		s.recordContact(other, sent-age)
	}
	if s.isolated(now) {
		return
	}
	granted := lease.StartingAt(sent, min(length, s.limits.Lease))
	if domain == s.domain {
		s.domainLease = s.domainLease.Later(granted)
		return
	}
	s.outsideLease = s.outsideLease.Later(granted)
}

// confirmRegistration grants a lease after this instance has written its row to
// the table and has brought its version up to the table's. The lease starts at
// sent, the time at which the first read of the registration was sent.
func (s *leaseState) confirmRegistration(sent time.Duration) {
	s.recordContact("", sent)
	s.registered = true
	s.domainLease = s.domainLease.Later(lease.StartingAt(sent, s.limits.Lease))
}

// renewAsOnlyInDomain renews the lease of the only registered instance of a domain.
func (s *leaseState) renewAsOnlyInDomain(now time.Duration) {
	s.unregisterIfExpired(now)
	if s.registered && !s.isolated(now) {
		s.domainLease = s.domainLease.Later(lease.StartingAt(now, s.limits.Lease))
	}
}

// release gives up the lease and the registration.
func (s *leaseState) release() {
	s.registered = false
	s.domainLease, s.outsideLease = lease.Lease{}, lease.Lease{}
}

// requester is a member that requests a lease.
type requester struct {
	domain     string
	registered bool
	version    uint64
	staged     uint64
}

// grant returns the length of the lease for the requester, 0 for none. The
// arguments version and staged are the grantor's. An instance grants only to
// members that serve by a version at least as new as its own, including a staged
// change.
func (s *leaseState) grant(now time.Duration, r requester, version, staged uint64) time.Duration {
	s.unregisterIfExpired(now)
	if !s.registered || s.leaving || s.isolated(now) {
		return 0
	}
	if r.version < version || staged > r.version && r.staged < staged {
		return 0
	}
	if r.domain != s.domain {
		return min(s.domainLease.Remaining(now), s.limits.Lease)
	}
	if !r.registered {
		return min(s.current().Remaining(now), s.limits.Lease)
	}
	return s.limits.Lease
}
