package group

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/group/observer"
)

// assignmentCache caches the assignment of observers for the current members.
type assignmentCache struct {
	mu         sync.Mutex
	candidates []observer.Candidate // guarded by mu
	assigner   *observer.Assigner   // guarded by mu
	observers  map[string][]string  // guarded by mu, by service
}

// refresh replaces the candidates, sorted by id, and reports whether they changed.
func (a *assignmentCache) refresh(candidates []observer.Candidate) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.assigner != nil && slices.Equal(candidates, a.candidates) {
		return false
	}
	a.candidates = candidates
	a.assigner = observer.NewAssigner(candidates)
	a.observers = make(map[string][]string)
	return true
}

// forget drops the cached observers of a service whose servers may have changed.
func (a *assignmentCache) forget(service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.observers, service)
}

// observersOf returns the observers of service in the order in which they act.
func (a *assignmentCache) observersOf(service string, domains []string, n int) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.assigner == nil {
		return nil
	}
	ids, known := a.observers[service]
	if !known {
		ids = a.assigner.Observers(service, domains, n)
		a.observers[service] = ids
	}
	return ids
}

// withFallbacks returns the observers followed by fallback observers, n in all. It is
// not cached, since it costs much more and is rarely needed.
func (a *assignmentCache) withFallbacks(service string, domains []string, n int) []string {
	a.mu.Lock()
	assigner := a.assigner
	a.mu.Unlock()
	if assigner == nil {
		return nil
	}
	return assigner.Observers(service, domains, n)
}

// observerCandidates lists this instance and the members that may observe at now.
func (c *Controller) observerCandidates(now time.Time) []observer.Candidate {
	all := []observer.Candidate{{ID: c.cfg.InstanceID, FailureDomain: c.cfg.FailureDomain}}
	for id, member := range c.cfg.Board.Members.Snapshot() {
		if id != c.cfg.InstanceID && c.canObserve(member, now) {
			all = append(all, observer.Candidate{ID: id, FailureDomain: member.FailureDomain})
		}
	}
	slices.SortFunc(all, func(a, b observer.Candidate) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// canObserve reports whether the member is available as an observer. A member that
// was never heard from directly is known through others and counts as available.
func (c *Controller) canObserve(m blackboard.Member, now time.Time) bool {
	return !m.Leaving && (m.LastHeard.IsZero() || now.Sub(m.LastHeard) < c.cfg.MemberTimeout)
}

// fallbacksPerObserver is the number of fallback observers for each observer.
const fallbacksPerObserver = 3

// rank returns the place of this instance, from 0, in the order in which the
// observers of service act, or -1 when it is not an observer.
func (c *Controller) rank(service string) int {
	return slices.Index(c.observers(service), c.cfg.InstanceID)
}

// fallbackRank returns the place of this instance, from 0, in the order in which
// fallback observers act when the observers of service seem to have failed too, or -1
// when it is neither an observer nor a fallback observer.
func (c *Controller) fallbackRank(service string) int {
	n := c.cfg.Observers * (1 + fallbacksPerObserver)
	index := slices.Index(c.assignments.withFallbacks(service, c.serverDomains(service), n), c.cfg.InstanceID)
	if index < 0 {
		return index
	}
	return max(0, index-c.cfg.Observers)
}

// observers returns the instances that sample the group of service continuously.
func (c *Controller) observers(service string) []string {
	return c.assignments.observersOf(service, c.serverDomains(service), c.cfg.Observers)
}

func (c *Controller) serverDomains(service string) []string {
	var domains []string
	for _, endpoint := range c.cfg.Board.Configuration.Get().Services[service].GetEndpoints() {
		domains = append(domains, endpoint.GetFailureDomain())
	}
	return domains
}

// otherObservers returns the observers of service other than this instance.
func (c *Controller) otherObservers(service string) []blackboard.Member {
	var others []blackboard.Member
	for _, id := range c.observers(service) {
		if member, ok := c.cfg.Board.Members.Get(id); ok && id != c.cfg.InstanceID {
			others = append(others, member)
		}
	}
	return others
}
