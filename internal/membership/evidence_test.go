package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortAgo is below and longAgo above the sum of lease and margin; veryLongAgo is
// above the isolation limit.
const (
	shortAgo    = 2 * time.Second
	longAgo     = time.Minute
	veryLongAgo = 11 * time.Minute
)

func grantReport(id, domain string, granted time.Duration, acknowledgedBy ...string) GrantReport {
	r := GrantReport{ID: id, Domain: domain, Uptime: time.Hour, Fresh: true, Granted: map[string]time.Duration{"u": granted}, Met: map[string]bool{}}
	for _, id := range acknowledgedBy {
		r.Met[id] = true
	}
	return r
}

// expiredEvidence returns evidence that the lease of u in domain a has expired:
// individually, as the only one missing there, or else in isolation.
func expiredEvidence(individually bool) Evidence {
	e := Evidence{
		Missing:            []Missing{{ID: "u", Domain: "a", SinceRegistered: time.Hour}},
		Reachable:          []GrantReport{grantReport("b1", "b", veryLongAgo)},
		SinceRemoval:       time.Hour,
		SinceDepartedGrant: map[string]time.Duration{"a": time.Hour},
		SinceContact:       map[string]time.Duration{"a": time.Hour},
		DomainAge:          map[string]time.Duration{"a": time.Hour, "b": time.Hour},
	}
	if individually {
		e.Reachable = []GrantReport{grantReport("a1", "a", longAgo, "u"), grantReport("b1", "b", longAgo)}
	}
	return e
}

func TestEveryExpiryConditionIsRequired(t *testing.T) {
	limits := Limits{Lease: DefaultLease, Margin: DefaultMargin, Isolation: DefaultIsolation}
	cases := []struct {
		name         string
		individually bool
		invalidate   func(e *Evidence)
	}{
		{"a domain peer recently granted it a lease", true, func(e *Evidence) { e.Reachable[0].Granted["u"] = shortAgo }},
		{"another domain recently granted it a lease", true, func(e *Evidence) { e.Reachable[1].Granted["u"] = shortAgo }},
		{"it does not know its domain peer", true, func(e *Evidence) { e.Reachable[0].Met = nil }},
		{"it has no reachable domain peer", true, func(e *Evidence) { e.Reachable = e.Reachable[1:] }},
		{"a domain peer has just started", true, func(e *Evidence) { e.Reachable[0].Granted, e.Reachable[0].Uptime = nil, shortAgo }},
		{"it has just registered", true, func(e *Evidence) { e.Missing[0].SinceRegistered = shortAgo }},
		{"a member was just removed", true, func(e *Evidence) { e.SinceRemoval = shortAgo }},
		{"a member that left had just granted a lease there", true, func(e *Evidence) { e.SinceDepartedGrant["a"] = shortAgo }},
		{"another of its domain is missing", true, func(e *Evidence) {
			e.Missing = append(e.Missing, Missing{ID: "v", Domain: "a", SinceRegistered: time.Hour})
		}},
		{"contact within the isolation limit", false, func(e *Evidence) { e.Reachable[0].Granted["u"] = longAgo }},
		{"a reporting member started within the limit and may have granted before", false, func(e *Evidence) {
			e.Reachable[0].Granted, e.Reachable[0].Uptime, e.Reachable[0].Fresh = nil, longAgo, false
		}},
		{"it registered within the limit", false, func(e *Evidence) { e.Missing[0].SinceRegistered = longAgo }},
		{"a member was removed within the limit", false, func(e *Evidence) { e.SinceRemoval = longAgo }},
		{"a member that left granted a lease within the limit", false, func(e *Evidence) { e.SinceDepartedGrant["a"] = longAgo }},
		{"the domain reached the table within the limit", false, func(e *Evidence) { e.SinceContact["a"] = longAgo }},
		{"the reachable domain is new", false, func(e *Evidence) { e.DomainAge["b"] = longAgo }},
		{"missing domains outnumber reachable ones", false, func(e *Evidence) {
			e.Missing = append(e.Missing, Missing{ID: "v", Domain: "c", SinceRegistered: time.Hour})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := expiredEvidence(c.individually)
			require.Empty(t, StillServing(e, limits))
			c.invalidate(&e)
			require.Contains(t, StillServing(e, limits), "a")
		})
	}
	require.Empty(t, StillServing(Evidence{}, limits))
	fresh := expiredEvidence(false)
	fresh.Reachable[0].Granted, fresh.Reachable[0].Uptime = nil, longAgo
	require.Empty(t, StillServing(fresh, limits), "a member without earlier grants also reports on the time before its start")
}
