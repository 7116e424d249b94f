package edge

import (
	"slices"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/rendezvous"
)

// assignOwners chooses the connection owner of each endpoint by weighted rendezvous hashing,
// so that instances with the same members choose the same one. Instances of the endpoint's
// failure domain are preferred, because they are cut off only together with it. Those that
// are known to be leaving are not chosen.
func (i *Instance) assignOwners() {
	i.ownersMu.Lock()
	defer i.ownersMu.Unlock()
	owners := make(map[string]member)
	members := i.members.Get()
	i.forgetLeft(members)
	weigher := rendezvous.NewWeigher("")
	for id, e := range i.registry.Get().Endpoints {
		weigher.SetItem(id)
		if i.maxConnections(e.Service) >= minConnectionsPerInstance*len(members) {
			continue // each instance has its own connections
		}
		var best member
		var bestScore float64
		bestSameDomain := false
		for _, m := range members {
			if m.Retired || m.Address == "" || i.isLeaving(m) || !i.mayForward(m.FailureDomain, e.FailureDomain) {
				continue
			}
			sameDomain, score := m.FailureDomain == e.FailureDomain, weigher.Score(m.Name, m.weight())
			if best.Name == "" || sameDomain && !bestSameDomain || sameDomain == bestSameDomain && score > bestScore {
				best, bestScore, bestSameDomain = m, score, sameDomain
			}
		}
		if best.Name != "" {
			owners[id] = best
		}
	}
	i.owners.Set(owners)
}

// isLeaving reports whether the member is known to be leaving.
func (i *Instance) isLeaving(m member) bool {
	if m.Name == i.cfg.Name {
		return i.draining.Load()
	}
	return m.Incarnation != "" && slices.Contains(i.leaving.Get(), m.Incarnation)
}

// noteLeaving records incarnations that take no new work as connection owners, and assigns
// their endpoints to others.
func (i *Instance) noteLeaving(incarnations ...string) {
	i.ownersMu.Lock()
	known := i.leaving.Get()
	for _, incarnation := range incarnations {
		if slices.Contains(known, incarnation) || !isIncarnationOf(i.members.Get(), incarnation) {
			continue
		}
		known = append(slices.Clip(known), incarnation)
		event.ConnectionOwnerLeaving.Emit(i.cfg.Log, zap.String("incarnation", incarnation))
	}
	changed := len(known) != len(i.leaving.Get())
	i.leaving.Set(known)
	i.ownersMu.Unlock()
	if changed {
		i.assignOwners()
	}
}

// forgetLeft removes incarnations that are no members any more. The caller holds ownersMu.
func (i *Instance) forgetLeft(members []member) {
	known := i.leaving.Get()
	if len(known) == 0 {
		return
	}
	i.leaving.Set(slices.DeleteFunc(slices.Clone(known), func(incarnation string) bool { return !isIncarnationOf(members, incarnation) }))
}

func isIncarnationOf(members []member, incarnation string) bool {
	return incarnation != "" && slices.ContainsFunc(members, func(m member) bool { return m.Incarnation == incarnation })
}
