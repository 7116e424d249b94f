package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// Fanout limits the number of peers to which an instance sends heartbeats.
type Fanout struct {
	// Own is the number of peers in the instance's own failure domain.
	Own int
	// Other is the number of peers in each other failure domain.
	Other int
}

// Defaults of Fanout.
const (
	DefaultOwnFanout   = 4
	DefaultOtherFanout = 2
)

// targets chooses the peers to send heartbeats to, by rendezvous hashing over
// the unordered pair, so that two instances mostly choose each other. Peers that
// do not answer are chosen only if there are too few others.
func targets(self *peerv1.Member, members []*peerv1.Member, isResponsive func(id string) bool, fanout Fanout) []*peerv1.Member {
	byDomain := make(map[string][]*peerv1.Member)
	for _, m := range members {
		if m.GetId() != self.GetId() && !m.GetRemoved() {
			byDomain[m.GetFailureDomain()] = append(byDomain[m.GetFailureDomain()], m)
		}
	}
	var chosen []*peerv1.Member
	for domain, candidates := range byDomain {
		limit := fanout.Other
		if domain == self.GetFailureDomain() {
			limit = fanout.Own
		}
		chosen = append(chosen, chooseInDomain(self.GetId(), candidates, isResponsive, limit)...)
	}
	slices.SortFunc(chosen, func(a, b *peerv1.Member) int { return cmp.Compare(a.GetId(), b.GetId()) })
	return chosen
}

func chooseInDomain(self string, candidates []*peerv1.Member, isResponsive func(id string) bool, limit int) []*peerv1.Member {
	slices.SortFunc(candidates, func(a, b *peerv1.Member) int {
		first, second := rank(a, isResponsive), rank(b, isResponsive)
		return cmp.Or(cmp.Compare(first, second),
			cmp.Compare(pairHash(self, b.GetId()), pairHash(self, a.GetId())), cmp.Compare(a.GetId(), b.GetId()))
	})
	return candidates[:min(limit, len(candidates))]
}

// rank orders candidates: registered members that answer come first, then
// unregistered and leaving ones, then those that do not answer.
func rank(m *peerv1.Member, isResponsive func(id string) bool) int {
	switch {
	case !isResponsive(m.GetId()):
		return 2
	case !m.GetRegistered() || m.GetLeaving():
		return 1
	default:
		return 0
	}
}

func pairHash(a, b string) uint64 {
	if b < a {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "\x00" + b)
}
