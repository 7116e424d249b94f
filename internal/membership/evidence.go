package membership

import (
	"math"
	"slices"
	"time"
)

// Limits are the durations that the serving leases obey.
type Limits struct {
	// Lease is the length of a serving lease.
	Lease time.Duration
	// Margin covers the drift between the clocks of two machines over the
	// longest of these durations.
	Margin time.Duration
	// Isolation is for how long a failure domain without contact serves on.
	Isolation time.Duration
}

// Defaults of Limits.
const (
	DefaultLease     = 3 * time.Second
	DefaultMargin    = time.Second
	DefaultIsolation = 10 * time.Minute
)

// GrantReport is what one reachable member says of the leases that it granted.
type GrantReport struct {
	ID     string
	Domain string
	// Up is how long ago the member started.
	Up time.Duration
	// Fresh is true when no earlier incarnation of it can have granted leases.
	Fresh bool
	// Granted tells for each member how long ago it was last granted a lease.
	Granted map[string]time.Duration
	// Met holds the members of its domain that know that it is registered.
	Met map[string]bool
}

// sinceLastGrant is for how long the member has surely granted id no lease. Unknown
// tells what to assume of the time before the member started.
func (r GrantReport) sinceLastGrant(id string, otherwise time.Duration) time.Duration {
	if age, ok := r.Granted[id]; ok {
		return age
	}
	return otherwise
}

// Missing is a registered member that cannot be reached.
type Missing struct {
	ID     string
	Domain string
	// SinceRegistered is how long ago its row was written.
	SinceRegistered time.Duration
}

// Evidence is what a coordinator knows when some members cannot be reached.
type Evidence struct {
	Reachable []GrantReport
	Missing   []Missing
	// SinceRemoval is how long ago a member was last removed without a goodbye.
	SinceRemoval time.Duration
	// SinceGrant tells for each domain how long ago a member that has said
	// goodbye since then last granted a lease there.
	SinceGrant map[string]time.Duration
	// SinceContact tells for each domain how long ago it last wrote its contact
	// row.
	SinceContact map[string]time.Duration
	// DomainAge tells for each domain how long ago its first member joined.
	DomainAge map[string]time.Duration
}

// Forever stands for the age of what never happened.
const Forever = time.Duration(math.MaxInt64)

func ageOf(ages map[string]time.Duration, key string) time.Duration {
	if age, ok := ages[key]; ok {
		return age
	}
	return Forever
}

// StillServing returns the failure domains whose missing members may still hold
// a serving lease, sorted; none means that the lease of every missing member has
// surely lapsed.
//
// There are two ways to be sure. Either each missing member is the only one
// missing of its domain and its domain has a reachable member that it knows:
// then only reachable members could have renewed its lease, or that of a member
// that renews it, and they have not for the length of a lease. Or nobody has
// renewed any missing member's lease for the time that a domain serves on in
// isolation, and the missing members' domains are too few to hold each other up.
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
		if ageOf(e.SinceGrant, m.Domain) < minAge {
			return false
		}
		for _, r := range e.Reachable {
			if r.sinceLastGrant(m.ID, r.Up) < minAge {
				return false
			}
		}
	}
	return true
}

// knowsDomainPeer tells whether m surely knows of another registered member of
// its domain, so that it does not renew its own lease.
func knowsDomainPeer(e Evidence, m Missing) bool {
	return slices.ContainsFunc(e.Reachable, func(r GrantReport) bool { return r.Domain == m.Domain && r.Met[m.ID] })
}

func expiredInIsolation(e Evidence, l Limits) bool {
	minAge := l.Isolation + l.Lease + l.Margin
	if e.SinceRemoval < minAge || !cannotBeMajority(e, l) {
		return false
	}
	for _, m := range e.Missing {
		age := min(m.SinceRegistered, ageOf(e.SinceGrant, m.Domain), ageOf(e.SinceContact, m.Domain))
		if age < minAge {
			return false
		}
		for _, r := range e.Reachable {
			otherwise := r.Up
			if r.Fresh {
				otherwise = Forever
			}
			if r.sinceLastGrant(m.ID, otherwise) < minAge {
				return false
			}
		}
	}
	return true
}

// cannotBeMajority tells whether the domains of the missing members cannot be a
// majority of the domains that they know. Domains that are new do not count,
// since the missing members may not know them.
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
