package backend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
)

// TestOwnConnectionsFitBesideTheOwner covers a connection owner that every other instance
// bypasses at once: what all of them may open stays within the endpoint's limit, as far as each
// has one connection.
func TestOwnConnectionsFitBesideTheOwner(t *testing.T) {
	for _, c := range []struct{ limit, members int }{{34, 9}, {74, 12}, {300, 9}} {
		sum := 0
		for n := range c.members {
			ownership := OwnedElsewhere
			if n == 0 {
				ownership = OwnedHere
			}
			pools, err := NewPools(Config{
				Dialer: struct{ Dialer }{}, Health: NewHealth(func() time.Duration { return time.Hour }),
				Members: func() int { return c.members }, MaxConnections: func(string) int { return c.limit },
				Registry:  func() *catalog.Registry { return catalog.NewRegistry(nil) },
				Ownership: func(catalog.Endpoint) Ownership { return ownership },
			})
			require.NoError(t, err)
			_, maxOpen, _ := pools.limits(catalog.Endpoint{ID: "s1", Service: "db", Slots: 5})
			sum += maxOpen
		}
		require.LessOrEqual(t, sum, max(c.limit, int(float64(c.limit)*ownerShare)+c.members-1))
	}
}
