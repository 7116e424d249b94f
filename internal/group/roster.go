package group

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/group/observer"
)

// roster caches the assignment of observers for the present members.
type roster struct {
	mu         sync.Mutex
	candidates []observer.Candidate // guarded by mu
	assigner   *observer.Assigner   // guarded by mu
	observers  map[string][]string  // guarded by mu, by service
}

// refresh takes over candidates, sorted by id, and reports whether they changed.
func (r *roster) refresh(candidates []observer.Candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner != nil && slices.Equal(candidates, r.candidates) {
		return false
	}
	r.candidates = candidates
	r.assigner = observer.NewAssigner(candidates)
	r.observers = make(map[string][]string)
	return true
}

// forget drops the observers of a service whose servers have changed.
func (r *roster) forget(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.observers, service)
}

// of returns the instances that may promote in the group of service, the first to
// act first. The observers are the first ones.
func (r *roster) of(service string, domains []string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner == nil {
		return nil
	}
	ids, known := r.observers[service]
	if !known {
		ids = r.assigner.Observers(service, domains, n)
		r.observers[service] = ids
	}
	return ids
}

// candidates lists this instance and the members that may observe at now.
func (c *Controller) candidates(now time.Time) []observer.Candidate {
	all := []observer.Candidate{{ID: c.cfg.InstanceID, FailureDomain: c.cfg.FailureDomain}}
	for id, member := range c.cfg.Board.Members.Snapshot() {
		if id != c.cfg.InstanceID && c.countsOn(member, now) {
			all = append(all, observer.Candidate{ID: id, FailureDomain: member.FailureDomain})
		}
	}
	slices.SortFunc(all, func(a, b observer.Candidate) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// countsOn tells whether the member is there to observe. One that was never heard
// directly is known through others and counts.
func (c *Controller) countsOn(m blackboard.Member, now time.Time) bool {
	return !m.Leaving && (m.LastHeard.IsZero() || now.Sub(m.LastHeard) < c.cfg.MemberSilence)
}

// place is the part that this instance has in watching one group.
type place struct {
	// rank is the order in which instances act, from 0; -1 means never.
	rank int
	// observes tells that it samples steadily; one that only has a rank acts
	// when the observers seem to have failed too.
	observes bool
}

// deputiesPerObserver is how many further instances may act for each observer.
const deputiesPerObserver = 3

func (c *Controller) place(service string) place {
	rank := slices.Index(c.ranking(service), c.cfg.InstanceID)
	return place{rank: rank, observes: rank >= 0 && rank < c.cfg.Observers}
}

// ranking returns the observers of service and their deputies.
func (c *Controller) ranking(service string) []string {
	var domains []string
	for _, endpoint := range c.cfg.Board.Configuration.Get().Services[service].GetEndpoints() {
		domains = append(domains, endpoint.GetFailureDomain())
	}
	return c.watch.of(service, domains, c.cfg.Observers*(1+deputiesPerObserver))
}

// otherObservers returns the members that observe service besides this instance.
func (c *Controller) otherObservers(service string) []blackboard.Member {
	var others []blackboard.Member
	ranking := c.ranking(service)
	for _, id := range ranking[:min(c.cfg.Observers, len(ranking))] {
		if member, ok := c.cfg.Board.Members.Get(id); ok && id != c.cfg.InstanceID {
			others = append(others, member)
		}
	}
	return others
}
