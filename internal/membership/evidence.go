package membership

import (
	"math"
	"slices"
	"time"
)

// Limits holds the durations that govern serving leases.
type Limits struct {
	// Lease is the length of a serving lease.
	Lease time.Duration
	// Margin is the lease expiry margin. It covers the drift between the clocks of
	// two machines over the longest of these durations.
	Margin time.Duration
	// Isolation is the time for which a failure domain without contact continues
	// to serve.
	Isolation time.Duration
}

// Defaults of Limits.
const (
	DefaultLease     = 3 * time.Second
	DefaultMargin    = time.Second
	DefaultIsolation = 10 * time.Minute
)

// GrantReport is the report of one reachable member on the leases that it granted.
type GrantReport struct {
	ID     string
	Domain string
	// Uptime is the time since the member started.
	Uptime time.Duration
	// Fresh is true if no earlier incarnation of the member can have granted leases.
	Fresh bool
	// Granted holds the time since the last lease granted to each member.
	Granted map[string]time.Duration
	// Met holds the members of the same domain that acknowledged a heartbeat in
	// which this member reported that it is registered.
	Met map[string]bool
}

// sinceLastGrant returns the time for which the member has certainly granted no
// lease to id. It is ageWithoutGrant if the member reports no grant to id.
func (r GrantReport) sinceLastGrant(id string, ageWithoutGrant time.Duration) time.Duration {
	if age, ok := r.Granted[id]; ok {
		return age
	}
	return ageWithoutGrant
}

// Missing is a registered member that the coordinator cannot reach.
type Missing struct {
	ID     string
	Domain string
	// SinceRegistered is the time since its row was written.
	SinceRegistered time.Duration
}

// Evidence is what a coordinator knows about the leases of unreachable members.
type Evidence struct {
	Reachable []GrantReport
	Missing   []Missing
	// SinceRemoval is the time since a member was last removed without Deregister.
	SinceRemoval time.Duration
	// SinceDepartedGrant holds for each domain the time since a member that has since left
	// with Deregister last granted a lease to a member of that domain.
	SinceDepartedGrant map[string]time.Duration
	// SinceContact holds for each domain the time since it last wrote its contact
	// row.
	SinceContact map[string]time.Duration
	// DomainAge holds for each domain the time since it has had members without
	// interruption.
	DomainAge map[string]time.Duration
}

// Forever is the age of an event that never happened.
const Forever = time.Duration(math.MaxInt64)

// ageOf returns the age under key, or Forever if there is none.
func ageOf(ages map[string]time.Duration, key string) time.Duration {
	if age, ok := ages[key]; ok {
		return age
	}
	return Forever
}

// StillServing returns the failure domains whose missing members may still hold
// a serving lease, sorted. If it returns none, the lease of every missing member
// has certainly expired.
//
// Either of two conditions is enough. First, each missing member is the only one
// missing in its domain, and the domain has a reachable member that it knows.
// Then only reachable members could have renewed its lease, or that of a member
// that renews it, and they have not done so for the length of a lease. Second, no
// lease of a missing member was renewed for the isolation limit and the length of
// a lease, and the domains of the missing members are too few to renew each
// other's leases as a majority.
func StillServing(e Evidence, l Limits) []string {
	if len(e.Missing) == 0 || expiredIndividually(e, l) || expiredInIsolation(e, l) {
		return nil
	}
	var domains []string
	for _, m := range e.Missing {
		domains = append(domains, m.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// expiredIndividually checks the first condition of StillServing.
func expiredIndividually(e Evidence, l Limits) bool {
	minAge := l.Lease + l.Margin
	if e.SinceRemoval < minAge {
		return false
	}
	seen := make(map[string]bool)
	for _, m := range e.Missing {
		if seen[m.Domain] || m.SinceRegistered < minAge || !knowsDomainPeer(e, m) {
			return false
		}
		seen[m.Domain] = true
		if ageOf(e.SinceDepartedGrant, m.Domain) < minAge {
			return false
		}
		for _, r := range e.Reachable {
			if r.sinceLastGrant(m.ID, r.Uptime) < minAge {
				return false
			}
		}
	}
	return true
}

// knowsDomainPeer reports whether m certainly knows another registered member of
// its domain, so that it does not renew its lease by itself.
func knowsDomainPeer(e Evidence, m Missing) bool {
	return slices.ContainsFunc(e.Reachable, func(r GrantReport) bool { return r.Domain == m.Domain && r.Met[m.ID] })
}

// expiredInIsolation checks the second condition of StillServing.
func expiredInIsolation(e Evidence, l Limits) bool {
	minAge := l.Isolation + l.Lease + l.Margin
	if e.SinceRemoval < minAge || !cannotBeMajority(e, l) {
		return false
	}
	for _, m := range e.Missing {
		age := min(m.SinceRegistered, ageOf(e.SinceDepartedGrant, m.Domain), ageOf(e.SinceContact, m.Domain))
		if age < minAge {
			return false
		}
		for _, r := range e.Reachable {
			ageWithoutGrant := r.Uptime
			if r.Fresh {
				ageWithoutGrant = Forever
			}
			if r.sinceLastGrant(m.ID, ageWithoutGrant) < minAge {
				return false
			}
		}
	}
	return true
}

// cannotBeMajority reports whether the domains of the missing members cannot be a
// majority of the domains that they know. New domains do not count, since the
// missing members may not know them.
func cannotBeMajority(e Evidence, l Limits) bool {
	missing, others := make(map[string]bool), make(map[string]bool)
	for _, m := range e.Missing {
		missing[m.Domain] = true
	}
	for _, r := range e.Reachable {
		if !missing[r.Domain] && ageOf(e.DomainAge, r.Domain) >= 2*l.Isolation {
			others[r.Domain] = true
		}
	}
	return len(others) >= len(missing)
}
