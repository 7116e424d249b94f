package membership

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// holding is the state of one instance's own serving lease. Times are by the
// boot-time clock. It is a state machine without locks or I/O.
type holding struct {
	limits Limits
	domain string
	// registered is true while this instance's row surely stands in the table.
	registered bool
	// backed was granted by a registered peer of the same domain, by the table,
	// or by itself as the only registered instance of the domain.
	backed lease.Lease
	// outside was granted by peers of other domains.
	outside lease.Lease
	// contacts tells when this domain last had contact with another domain, or
	// with the table under the empty name.
	contacts map[string]time.Duration
	// domains are the failure domains with registered members.
	domains map[string]bool
	// leaving instances grant nothing any more; ended ones also take no lease.
	leaving bool
	ended   bool
}

func newHolding(limits Limits, domain string) *holding {
	return &holding{limits: limits, domain: domain, contacts: make(map[string]time.Duration), domains: map[string]bool{domain: true}}
}

// current returns the lease that lasts longest.
func (h *holding) current() lease.Lease { return h.backed.Later(h.outside) }

// settle notices a lapse: an instance whose lease has lapsed may have been taken
// out of the table, so it counts as unregistered until the table confirms it.
func (h *holding) settle(now time.Duration) {
	if !h.current().Valid(now) {
		h.registered = false
	}
}

// isolated tells whether the domain has had no contact for the isolation limit:
// neither with the table nor with enough domains to make a majority with it.
func (h *holding) isolated(now time.Duration) bool {
	if h.recent("", now) {
		return false
	}
	return !h.majority(now)
}

func (h *holding) recent(domain string, now time.Duration) bool {
	at, ok := h.contacts[domain]
	return ok && now-at <= h.limits.Isolation
}

// majority tells whether the domains in contact are more than half of all.
func (h *holding) majority(now time.Duration) bool {
	inContact := 0
	for domain := range h.domains {
		if domain == h.domain || h.recent(domain, now) {
			inContact++
		}
	}
	return 2*inContact > len(h.domains)
}

// contact notes a contact that happened at the given time or later.
func (h *holding) contact(domain string, at time.Duration) {
	if known, ok := h.contacts[domain]; !ok || at > known {
		h.contacts[domain] = at
	}
}

// acked takes a grant of a peer into account. Sent is when the heartbeat was
// sent. A peer of the same domain also passes on the domain's contacts.
func (h *holding) acked(now, sent, length time.Duration, domain string, contacts map[string]time.Duration) {
	h.settle(now)
	if length <= 0 || h.ended {
		return
	}
	if domain != h.domain {
		h.contact(domain, sent)
	}
	for other, age := range contacts {
		h.contact(other, sent-age)
	}
	if h.isolated(now) {
		return
	}
	granted := lease.StartingAt(sent, min(length, h.limits.Lease))
	if domain == h.domain {
		h.backed = h.backed.Later(granted)
		return
	}
	h.outside = h.outside.Later(granted)
}

// confirmed takes into account that the table was seen to hold this instance's
// row, newly written, and the version in force. Sent is when the first read of
// the exchange was sent.
func (h *holding) confirmed(sent time.Duration) {
	h.contact("", sent)
	h.registered = true
	h.backed = h.backed.Later(lease.StartingAt(sent, h.limits.Lease))
}

// renewAlone renews the lease of the only registered instance of its domain.
func (h *holding) renewAlone(now time.Duration) {
	h.settle(now)
	if h.registered && !h.isolated(now) {
		h.backed = h.backed.Later(lease.StartingAt(now, h.limits.Lease))
	}
}

// drop gives up the lease and the registration.
func (h *holding) drop() {
	h.registered = false
	h.backed, h.outside = lease.Lease{}, lease.Lease{}
}

// asker is a member that asks for a lease.
type asker struct {
	domain     string
	registered bool
	version    uint64
	staged     uint64
}

// grant returns the length of the lease for the asker; 0 grants none. Version
// and staged are the grantor's own. An instance grants only to those that serve
// by a version at least as new as its own, a staged change included.
func (h *holding) grant(now time.Duration, a asker, version, staged uint64) time.Duration {
	h.settle(now)
	if !h.registered || h.leaving || h.isolated(now) {
		return 0
	}
	if a.version < version || staged > a.version && a.staged < staged {
		return 0
	}
	if a.domain != h.domain {
		return min(h.backed.Remaining(now), h.limits.Lease)
	}
	if !a.registered {
		return min(h.current().Remaining(now), h.limits.Lease)
	}
	return h.limits.Lease
}
