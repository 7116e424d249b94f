package rendezvous

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

func names(n int) []string {
	var list []string
	for i := range n {
		list = append(list, fmt.Sprintf("edge-garmisch-%d", i))
	}
	return list
}

// TestLightestAgreesWithSorting compares with the definition: instances of an earlier version
// sort all members by the hash of item/member, and must choose the same ones.
func TestLightestAgreesWithSorting(t *testing.T) {
	for _, n := range []int{1, 11, 12, 13, 60, 195} {
		members := names(n)
		for i := range 50 {
			item := fmt.Sprintf("organisation-%d", i)
			sorted := slices.Clone(members)
			slices.SortFunc(sorted, func(a, b string) int {
				return cmp.Or(cmp.Compare(xxhash.Sum64String(item+"/"+a), xxhash.Sum64String(item+"/"+b)), cmp.Compare(a, b))
			})
			chosen := NewWeigher(item).Lightest(members, 12)
			if n <= 12 {
				require.Equal(t, members, chosen)
				continue
			}
			require.Equal(t, sorted[:12], chosen, "%s of %d members", item, n)
		}
	}
}

// TestFewChoicesChangeWhenAMemberLeaves checks that only choices of the member that has left
// are made anew.
func TestFewChoicesChangeWhenAMemberLeaves(t *testing.T) {
	members := names(60)
	remaining := slices.Delete(slices.Clone(members), 7, 8)
	for i := range 100 {
		w := NewWeigher(fmt.Sprintf("organisation-%d", i))
		before, after := w.Lightest(members, 12), w.Lightest(remaining, 12)
		kept := slices.DeleteFunc(slices.Clone(before), func(m string) bool { return m == members[7] })
		require.Equal(t, kept, after[:len(kept)])
	}
}

// BenchmarkLightest measures the choice for each of 140 organisations in a fleet.
func BenchmarkLightest(b *testing.B) {
	for _, n := range []int{30, 100, 300} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			members := names(n)
			var items []string
			for i := range 140 {
				items = append(items, fmt.Sprintf("organisation-%d", i))
			}
			w := NewWeigher("")
			for b.Loop() {
				for _, item := range items {
					w.SetItem(item)
					w.Lightest(members, 12)
				}
			}
		})
	}
}
