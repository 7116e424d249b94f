package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// grantor returns a registered instance of domain a with leases that last as
// given at time 0, in contact with the table.
func grantor(backed, outside time.Duration) *holding {
	h := newHolding(Limits{Lease: DefaultLease, Margin: DefaultMargin, Isolation: DefaultIsolation}, "a")
	h.registered = true
	h.backed, h.outside = lease.StartingAt(0, backed), lease.StartingAt(0, outside)
	h.contact("", 0)
	return h
}

func TestGrants(t *testing.T) {
	neighbour := asker{domain: "a", registered: true, version: 5}
	stranger := asker{domain: "b", registered: true, version: 5}
	newcomer := asker{domain: "a", version: 5}
	cases := []struct {
		name            string
		backed, outside time.Duration
		change          func(h *holding)
		asker           asker
		version, staged uint64
		want            time.Duration
	}{
		{"a registered neighbour gets a whole lease", time.Second, 0, nil, neighbour, 5, 0, DefaultLease},
		{"another domain gets what is left", time.Second, 0, nil, stranger, 5, 0, time.Second},
		{"another domain gets nothing of an outside lease", time.Second, 2 * time.Second, nil, stranger, 5, 0, time.Second},
		{"an unregistered neighbour gets what is left", time.Second, 2 * time.Second, nil, newcomer, 5, 0, 2 * time.Second},
		{"a lapsed grantor gives nothing", 0, 0, nil, neighbour, 5, 0, 0},
		{"an unregistered grantor gives nothing", time.Second, 0, func(h *holding) { h.registered = false }, neighbour, 5, 0, 0},
		{"a leaving grantor gives nothing", time.Second, 0, func(h *holding) { h.leaving = true }, neighbour, 5, 0, 0},
		{"an isolated grantor gives nothing", time.Second, 0, func(h *holding) {
			delete(h.contacts, "")
			h.domains = map[string]bool{"a": true, "b": true}
		}, neighbour, 5, 0, 0},
		{"an older version gets nothing", time.Second, 0, nil, neighbour, 6, 0, 0},
		{"without the staged change nothing", time.Second, 0, nil, neighbour, 5, 6, 0},
		{"with the staged change a lease", time.Second, 0, nil, asker{domain: "a", registered: true, version: 5, staged: 6}, 5, 6, DefaultLease},
		{"with the accepted change a lease", time.Second, 0, nil, asker{domain: "a", registered: true, version: 6}, 5, 6, DefaultLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := grantor(c.backed, c.outside)
			if c.change != nil {
				c.change(h)
			}
			require.Equal(t, c.want, h.grant(0, c.asker, c.version, c.staged))
		})
	}
}

func TestLapsedInstanceIsUnregisteredUntilTheTableConfirms(t *testing.T) {
	h := grantor(time.Second, 0)
	h.acked(2*time.Second, 2*time.Second, DefaultLease, "a", nil)
	require.False(t, h.registered)
	require.True(t, h.current().Valid(3*time.Second), "it may serve by its peers' word")
	require.Zero(t, h.grant(3*time.Second, asker{domain: "a", registered: true}, 0, 0))
	h.confirmed(3 * time.Second)
	require.Equal(t, DefaultLease, h.grant(3*time.Second, asker{domain: "a", registered: true}, 0, 0))
}

func TestMajorityOfDomainsPreventsIsolation(t *testing.T) {
	h := grantor(time.Second, 0)
	delete(h.contacts, "")
	h.domains = map[string]bool{"a": true, "b": true, "c": true}
	require.True(t, h.isolated(0))
	h.acked(time.Millisecond, 0, time.Second, "b", nil)
	require.False(t, h.isolated(DefaultIsolation))
	require.True(t, h.isolated(DefaultIsolation+time.Second))
	h.domains["d"] = true
	require.True(t, h.isolated(0), "half is no majority")
}
