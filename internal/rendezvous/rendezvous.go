// Package rendezvous chooses members for an item by rendezvous hashing: all instances with
// the same members choose the same ones, and few choices change when a member joins or
// leaves. It has no I/O and no state.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weigher computes the weights of members for one item. It reuses its buffer and must be
// used by one goroutine at a time.
type Weigher struct {
	buffer []byte
	prefix int
}

// NewWeigher returns a Weigher for an item.
func NewWeigher(item string) *Weigher {
	w := &Weigher{}
	w.SetItem(item)
	return w
}

// SetItem makes the Weigher compute the weights for another item.
func (w *Weigher) SetItem(item string) {
	w.buffer = append(append(w.buffer[:0], item...), '/')
	w.prefix = len(w.buffer)
}

// Weight returns the weight of a member for the item.
func (w *Weigher) Weight(member string) uint64 {
	w.buffer = append(w.buffer[:w.prefix], member...)
	return xxhash.Sum64(w.buffer)
}

// Score returns the score of a member that is to be chosen in proportion to the given share
// among members with others: the highest score wins. With equal shares, the member with the
// highest weight wins.
func (w *Weigher) Score(member string, share float64) float64 {
	const fractionBits = 53
	h := (float64(w.Weight(member)>>(64-fractionBits)) + 0.5) / (1 << fractionBits)
	return -share / math.Log(h)
}

// weighted is a member with its weight.
type weighted struct {
	member string
	weight uint64
}

func compareWeighted(a, b weighted) int {
	return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.member, b.member))
}

// Lightest returns the n members with the lowest weights, lowest first, or all members in the
// given order if there are no more than n.
func (w *Weigher) Lightest(members []string, n int) []string {
	if len(members) <= n {
		return members
	}
	lightest := make([]weighted, 0, n+1)
	for _, m := range members {
		candidate := weighted{member: m, weight: w.Weight(m)}
		if len(lightest) == n && compareWeighted(candidate, lightest[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(lightest, candidate, compareWeighted)
		lightest = slices.Insert(lightest, at, candidate)[:min(n, len(lightest)+1)]
	}
	names := make([]string, len(lightest))
	for i, l := range lightest {
		names[i] = l.member
	}
	return names
}
