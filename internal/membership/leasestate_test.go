package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

// grantor returns the state of a registered instance of domain a at time 0, with
// leases of the given lengths and in contact with the table.
func grantor(domainLease, outsideLease time.Duration) *leaseState {
	s := newLeaseState(Limits{Lease: DefaultLease, Margin: DefaultMargin, Isolation: DefaultIsolation}, "a")
	s.registered = true
	s.domainLease, s.outsideLease = lease.StartingAt(0, domainLease), lease.StartingAt(0, outsideLease)
	s.recordContact("", 0)
	return s
}

func TestGrants(t *testing.T) {
	domainPeer := requester{domain: "a", registered: true, version: 5}
	otherDomainPeer := requester{domain: "b", registered: true, version: 5}
	unregisteredPeer := requester{domain: "a", version: 5}
	cases := []struct {
		name                      string
		domainLease, outsideLease time.Duration
		change                    func(s *leaseState)
		requester                 requester
		version, staged           uint64
		want                      time.Duration
	}{
		{"a registered domain peer gets a whole lease", time.Second, 0, nil, domainPeer, 5, 0, DefaultLease},
		{"another domain gets the remaining time", time.Second, 0, nil, otherDomainPeer, 5, 0, time.Second},
		{"another domain gets nothing from an outside lease", time.Second, 2 * time.Second, nil, otherDomainPeer, 5, 0, time.Second},
		{"an unregistered domain peer gets the remaining time", time.Second, 2 * time.Second, nil, unregisteredPeer, 5, 0, 2 * time.Second},
		{"a grantor whose lease has expired grants nothing", 0, 0, nil, domainPeer, 5, 0, 0},
		{"an unregistered grantor grants nothing", time.Second, 0, func(s *leaseState) { s.registered = false }, domainPeer, 5, 0, 0},
		{"a leaving grantor grants nothing", time.Second, 0, func(s *leaseState) { s.leaving = true }, domainPeer, 5, 0, 0},
		{"an isolated grantor grants nothing", time.Second, 0, func(s *leaseState) {
			delete(s.contacts, "")
			s.domains = map[string]bool{"a": true, "b": true}
		}, domainPeer, 5, 0, 0},
		{"an older version gets no lease", time.Second, 0, nil, domainPeer, 6, 0, 0},
		{"without the staged change no lease", time.Second, 0, nil, domainPeer, 5, 6, 0},
		{"with the staged change a lease", time.Second, 0, nil, requester{domain: "a", registered: true, version: 5, staged: 6}, 5, 6, DefaultLease},
		{"with the accepted change a lease", time.Second, 0, nil, requester{domain: "a", registered: true, version: 6}, 5, 6, DefaultLease},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := grantor(c.domainLease, c.outsideLease)
			if c.change != nil {
				c.change(s)
			}
			require.Equal(t, c.want, s.grant(0, c.requester, c.version, c.staged))
		})
	}
}

func TestExpiredInstanceIsUnregisteredUntilTableConfirms(t *testing.T) {
	s := grantor(time.Second, 0)
	s.handleAck(2*time.Second, 2*time.Second, DefaultLease, "a", nil)
	require.False(t, s.registered)
	require.True(t, s.current().Valid(3*time.Second), "it may serve by a lease from its peers")
	require.Zero(t, s.grant(3*time.Second, requester{domain: "a", registered: true}, 0, 0))
	s.confirmRegistration(3 * time.Second)
	require.Equal(t, DefaultLease, s.grant(3*time.Second, requester{domain: "a", registered: true}, 0, 0))
}

func TestMajorityOfDomainsPreventsIsolation(t *testing.T) {
	s := grantor(time.Second, 0)
	delete(s.contacts, "")
	s.domains = map[string]bool{"a": true, "b": true, "c": true}
	require.True(t, s.isolated(0))
	s.handleAck(time.Millisecond, 0, time.Second, "b", nil)
	require.False(t, s.isolated(DefaultIsolation))
	require.True(t, s.isolated(DefaultIsolation+time.Second))
	s.domains["d"] = true
	require.True(t, s.isolated(0), "half of the domains are no majority")
}
