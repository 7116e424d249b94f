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
	// Uptime is how long ago the member started.
	Uptime time.Duration
	// Fresh is true when no earlier incarnation of it can have granted leases.
	Fresh bool
	// Granted tells for each member how long ago it was last granted a lease.
	Granted map[string]time.Duration
	// Met holds the members of its domain that know that it is registered.
	Met map[string]bool
}

// silent is for how long the member has surely granted id no lease. Unknown
// tells what to assume of the time before the member started.
func (v GrantReport) silent(id string, unknown time.Duration) time.Duration {
	if age, ok := v.Granted[id]; ok {
		return age
	}
	return unknown
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
	// SinceDepartedGrant tells for each domain how long ago a member that has said
	// goodbye since then last granted a lease there.
	SinceDepartedGrant map[string]time.Duration
	// SinceContact tells for each domain how long ago it last wrote its contact
	// row.
	SinceContact map[string]time.Duration
	// DomainAge tells for each domain how long ago its first member joined.
	DomainAge map[string]time.Duration
}

// Forever stands for the age of what never happened.
const Forever = time.Duration(math.MaxInt64)

func since(ages map[string]time.Duration, key string) time.Duration {
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
	if len(e.Missing) == 0 || lapsedOneByOne(e, l) || lapsedInIsolation(e, l) {
		return nil
	}
	var domains []string
	for _, m := range e.Missing {
		domains = append(domains, m.Domain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

func lapsedOneByOne(e Evidence, l Limits) bool {
	enough := l.Lease + l.Margin
	if e.SinceRemoval < enough {
		return false
	}
	seen := make(map[string]bool)
	for _, m := range e.Missing {
		if seen[m.Domain] || m.SinceRegistered < enough || !knownNeighbour(e, m) {
			return false
		}
		seen[m.Domain] = true
		if since(e.SinceDepartedGrant, m.Domain) < enough {
			return false
		}
		for _, v := range e.Reachable {
			if v.silent(m.ID, v.Uptime) < enough {
				return false
			}
		}
	}
	return true
}

// knownNeighbour tells whether m surely knows of another registered member of
// its domain, so that it does not renew its own lease.
func knownNeighbour(e Evidence, m Missing) bool {
	return slices.ContainsFunc(e.Reachable, func(v GrantReport) bool { return v.Domain == m.Domain && v.Met[m.ID] })
}

func lapsedInIsolation(e Evidence, l Limits) bool {
	enough := l.Isolation + l.Lease + l.Margin
	if e.SinceRemoval < enough || !outnumbered(e, l) {
		return false
	}
	for _, m := range e.Missing {
		ages := min(m.SinceRegistered, since(e.SinceDepartedGrant, m.Domain), since(e.SinceContact, m.Domain))
		if ages < enough {
			return false
		}
		for _, v := range e.Reachable {
			unknown := v.Uptime
			if v.Fresh {
				unknown = Forever
			}
			if v.silent(m.ID, unknown) < enough {
				return false
			}
		}
	}
	return true
}

// outnumbered tells whether the domains of the missing members cannot be a
// majority of the domains that they know. Domains that are new do not count,
// since the missing members may not know them.
func outnumbered(e Evidence, l Limits) bool {
	missing, others := make(map[string]bool), make(map[string]bool)
	for _, m := range e.Missing {
		missing[m.Domain] = true
	}
	for _, v := range e.Reachable {
		if !missing[v.Domain] && since(e.DomainAge, v.Domain) >= 2*l.Isolation {
			others[v.Domain] = true
		}
	}
	return len(others) >= len(missing)
}
