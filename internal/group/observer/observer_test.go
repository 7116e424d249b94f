package observer_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/group/observer"
)

func fleet(instances, domains int) (candidates []observer.Candidate, domainOf map[string]string) {
	domainOf = make(map[string]string)
	for i := range instances {
		c := observer.Candidate{ID: fmt.Sprint("i", i), FailureDomain: fmt.Sprint("d", i%domains)}
		candidates = append(candidates, c)
		domainOf[c.ID] = c.FailureDomain
	}
	return candidates, domainOf
}

func TestObserversSpreadOverServerDomains(t *testing.T) {
	cases := map[string]struct{ instances, domains, observers, want, apart int }{
		"one instance":            {1, 1, 3, 1, 1},
		"one domain":              {5, 1, 3, 3, 1},
		"two domains":             {5, 2, 3, 3, 2},
		"today's size":            {9, 4, 3, 3, 3},
		"with fallback observers": {9, 4, 12, 9, 4},
		"planned size":            {430, 7, 3, 3, 3},
		"more than all instances": {2, 2, 3, 2, 2},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			candidates, domainOf := fleet(tc.instances, tc.domains)
			a := observer.NewAssigner(candidates)
			for service := range 50 {
				servers := []string{fmt.Sprint("d", service%tc.domains), fmt.Sprint("d", (service+1)%tc.domains), "elsewhere"}
				chosen := a.Observers(fmt.Sprint("s", service), servers, tc.observers)
				require.Len(t, chosen, tc.want)
				apart := make(map[string]bool)
				for _, id := range chosen {
					apart[domainOf[id]] = true
				}
				require.Len(t, apart, tc.apart)
				require.Contains(t, servers, domainOf[chosen[0]], "the first observer is in the failure domain of a server")
			}
		})
	}
}

// TestLossOfAnInstanceMovesOnlyItsGroups checks that the assignment is balanced, and
// that groups which the lost instance did not observe keep their observers.
func TestLossOfAnInstanceMovesOnlyItsGroups(t *testing.T) {
	const groups = 860
	candidates, _ := fleet(430, 7)
	before, after := observer.NewAssigner(candidates), observer.NewAssigner(candidates[1:])
	load := make(map[string]int)
	for g := range groups {
		service := fmt.Sprint("s", g)
		servers := []string{fmt.Sprint("d", g%7), fmt.Sprint("d", (g+1)%7), fmt.Sprint("d", (g+2)%7)}
		old := before.Observers(service, servers, 3)
		for _, id := range old {
			load[id]++
		}
		if !slices.Contains(old, candidates[0].ID) {
			require.Equal(t, old, after.Observers(service, servers, 3))
		}
	}
	for id, n := range load {
		require.Less(t, n, 4*3*groups/430, "instance %s", id)
	}
}
