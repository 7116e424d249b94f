package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// shortAgo and longAgo lie on both sides of lease and margin; veryLongAgo is
// beyond the isolation limit.
const (
	shortAgo    = 2 * time.Second
	longAgo     = time.Minute
	veryLongAgo = 11 * time.Minute
)

func vouch(id, domain string, granted time.Duration, met ...string) GrantReport {
	v := GrantReport{ID: id, Domain: domain, Uptime: time.Hour, Fresh: true, Granted: map[string]time.Duration{"u": granted}, Met: map[string]bool{}}
	for _, id := range met {
		v.Met[id] = true
	}
	return v
}

// evidenceOf returns evidence by which u of domain a has surely lapsed, as the
// only one missing there when oneByOne is true, else in isolation.
func evidenceOf(oneByOne bool) Evidence {
	e := Evidence{
		Missing:            []Missing{{ID: "u", Domain: "a", SinceRegistered: time.Hour}},
		Reachable:          []GrantReport{vouch("b1", "b", veryLongAgo)},
		SinceRemoval:       time.Hour,
		SinceDepartedGrant: map[string]time.Duration{"a": time.Hour},
		SinceContact:       map[string]time.Duration{"a": time.Hour},
		DomainAge:          map[string]time.Duration{"a": time.Hour, "b": time.Hour},
	}
	if oneByOne {
		e.Reachable = []GrantReport{vouch("a1", "a", longAgo, "u"), vouch("b1", "b", longAgo)}
	}
	return e
}

func TestEachConditionIsNeeded(t *testing.T) {
	limits := Limits{Lease: DefaultLease, Margin: DefaultMargin, Isolation: DefaultIsolation}
	cases := []struct {
		name     string
		oneByOne bool
		spoil    func(e *Evidence)
	}{
		{"a neighbour granted it a lease lately", true, func(e *Evidence) { e.Reachable[0].Granted["u"] = shortAgo }},
		{"another domain granted it a lease lately", true, func(e *Evidence) { e.Reachable[1].Granted["u"] = shortAgo }},
		{"it does not know its neighbour", true, func(e *Evidence) { e.Reachable[0].Met = nil }},
		{"it has no reachable neighbour", true, func(e *Evidence) { e.Reachable = e.Reachable[1:] }},
		{"a neighbour has just started", true, func(e *Evidence) { e.Reachable[0].Granted, e.Reachable[0].Uptime = nil, shortAgo }},
		{"it has just registered", true, func(e *Evidence) { e.Missing[0].SinceRegistered = shortAgo }},
		{"a member was just taken out", true, func(e *Evidence) { e.SinceRemoval = shortAgo }},
		{"a member that left had just granted there", true, func(e *Evidence) { e.SinceDepartedGrant["a"] = shortAgo }},
		{"another of its domain is missing", true, func(e *Evidence) {
			e.Missing = append(e.Missing, Missing{ID: "v", Domain: "a", SinceRegistered: time.Hour})
		}},
		{"contact within the isolation limit", false, func(e *Evidence) { e.Reachable[0].Granted["u"] = longAgo }},
		{"a witness is younger than the limit and not fresh", false, func(e *Evidence) {
			e.Reachable[0].Granted, e.Reachable[0].Uptime, e.Reachable[0].Fresh = nil, longAgo, false
		}},
		{"it registered within the limit", false, func(e *Evidence) { e.Missing[0].SinceRegistered = longAgo }},
		{"a member was taken out within the limit", false, func(e *Evidence) { e.SinceRemoval = longAgo }},
		{"a member that left granted within the limit", false, func(e *Evidence) { e.SinceDepartedGrant["a"] = longAgo }},
		{"the domain reached the table within the limit", false, func(e *Evidence) { e.SinceContact["a"] = longAgo }},
		{"the reachable domain is new", false, func(e *Evidence) { e.DomainAge["b"] = longAgo }},
		{"the missing domains are more", false, func(e *Evidence) {
			e.Missing = append(e.Missing, Missing{ID: "v", Domain: "c", SinceRegistered: time.Hour})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := evidenceOf(c.oneByOne)
			require.Empty(t, StillServing(e, limits))
			c.spoil(&e)
			require.Contains(t, StillServing(e, limits), "a")
		})
	}
	require.Empty(t, StillServing(Evidence{}, limits))
	fresh := evidenceOf(false)
	fresh.Reachable[0].Granted, fresh.Reachable[0].Uptime = nil, longAgo
	require.Empty(t, StillServing(fresh, limits), "a fresh witness vouches for the time before it started")
}
