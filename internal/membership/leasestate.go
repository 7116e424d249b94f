package membership

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// leaseState is the state of one instance's own serving lease. Times are by the
// boot-time clock. It is a state machine without locks or I/O.
type leaseState struct {
	limits Limits
	domain string
	// registered is true while this instance's row surely stands in the table.
	registered bool
	// domainLease was granted by a registered peer of the same domain, by the table,
	// or by itself as the only registered instance of the domain.
	domainLease lease.Lease
	// outsideLease was granted by peers of other domains.
	outsideLease lease.Lease
	// contacts tells when this domain last had contact with another domain, or
	// with the table under the empty name.
	contacts map[string]time.Duration
	// domains are the failure domains with registered members.
	domains map[string]bool
	// leaving instances grant nothing any more; ended ones also take no lease.
	leaving    bool
	leaseEnded bool
}

func newLeaseState(limits Limits, domain string) *leaseState {
	return &leaseState{limits: limits, domain: domain, contacts: make(map[string]time.Duration), domains: map[string]bool{domain: true}}
}

// current returns the lease that lasts longest.
func (s *leaseState) current() lease.Lease { return s.domainLease.Later(s.outsideLease) }

// unregisterIfExpired notices a lapse: an instance whose lease has lapsed may have been taken
// out of the table, so it counts as unregistered until the table confirms it.
func (s *leaseState) unregisterIfExpired(now time.Duration) {
	if !s.current().Valid(now) {
		s.registered = false
	}
}

// isolated tells whether the domain has had no contact for the isolation limit:
// neither with the table nor with enough domains to make a majority with it.
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

// hasMajority tells whether the domains in contact are more than half of all.
func (s *leaseState) hasMajority(now time.Duration) bool {
	inContact := 0
	for domain := range s.domains {
		if domain == s.domain || s.contactedRecently(domain, now) {
			inContact++
		}
	}
	return 2*inContact > len(s.domains)
}

// recordContact notes a contact that happened at the given time or later.
func (s *leaseState) recordContact(domain string, at time.Duration) {
	if known, ok := s.contacts[domain]; !ok || at > known {
		s.contacts[domain] = at
	}
}

// handleAck takes a grant of a peer into account. Sent is when the heartbeat was
// sent. A peer of the same domain also passes on the domain's contacts.
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
	granted := lease.Granted(sent, min(length, s.limits.Lease))
	if domain == s.domain {
		s.domainLease = s.domainLease.Later(granted)
		return
	}
	s.outsideLease = s.outsideLease.Later(granted)
}

// confirmRegistration takes into account that the table was seen to hold this instance's
// row, newly written, and the version in force. Sent is when the first read of
// the exchange was sent.
func (s *leaseState) confirmRegistration(sent time.Duration) {
	s.recordContact("", sent)
	s.registered = true
	s.domainLease = s.domainLease.Later(lease.Granted(sent, s.limits.Lease))
}

// renewAsOnlyInDomain renews the lease of the only registered instance of its domain.
func (s *leaseState) renewAsOnlyInDomain(now time.Duration) {
	s.unregisterIfExpired(now)
	if s.registered && !s.isolated(now) {
		s.domainLease = s.domainLease.Later(lease.Granted(now, s.limits.Lease))
	}
}

// release gives up the lease and the registration.
func (s *leaseState) release() {
	s.registered = false
	s.domainLease, s.outsideLease = lease.Lease{}, lease.Lease{}
}

// requester is a member that asks for a lease.
type requester struct {
	domain     string
	registered bool
	version    uint64
	staged     uint64
}

// grant returns the length of the lease for the asker; 0 grants none. Version
// and staged are the grantor's own. An instance grants only to those that serve
// by a version at least as new as its own, a staged change included.
func (s *leaseState) grant(now time.Duration, r requester, version, staged uint64) time.Duration {
	s.unregisterIfExpired(now)
	if !s.registered || s.leaving || s.isolated(now) {
		return 0
	}
	if r.version < version || staged > r.version && r.staged < staged {
		return 0
	}
	if r.domain != s.domain {
		return min(s.domainLease.Left(now), s.limits.Lease)
	}
	if !r.registered {
		return min(s.current().Left(now), s.limits.Lease)
	}
	return s.limits.Lease
}
