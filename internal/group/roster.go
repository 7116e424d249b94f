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

// of returns the observers of service, the first to act first.
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

// withDeputies returns the observers and further instances, n in all. It is not
// cached, since it costs much more and is seldom asked for.
func (r *roster) withDeputies(service string, domains []string, n int) []string {
	r.mu.Lock()
	assigner := r.assigner
	r.mu.Unlock()
	if assigner == nil {
		return nil
	}
	return assigner.Observers(service, domains, n)
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
	return !m.Leaving && (m.LastHeard.IsZero() || now.Sub(m.LastHeard) < c.cfg.MemberTimeout)
}

// deputiesPerObserver is how many further instances may act for each observer.
const deputiesPerObserver = 3

// rank returns the order in which this instance acts as an observer of service,
// from 0, or -1 when it does not observe it.
func (c *Controller) rank(service string) int {
	return slices.Index(c.observers(service), c.cfg.InstanceID)
}

// deputyRank returns the order in which this instance acts when the observers of
// service seem to have failed too, or -1 when it never does.
func (c *Controller) deputyRank(service string) int {
	n := c.cfg.Observers * (1 + deputiesPerObserver)
	place := slices.Index(c.watch.withDeputies(service, c.serverDomains(service), n), c.cfg.InstanceID)
	if place < 0 {
		return place
	}
	return max(0, place-c.cfg.Observers)
}

// observers returns the instances that sample the group of service steadily.
func (c *Controller) observers(service string) []string {
	return c.watch.of(service, c.serverDomains(service), c.cfg.Observers)
}

func (c *Controller) serverDomains(service string) []string {
	var domains []string
	for _, endpoint := range c.cfg.Board.Configuration.Get().Services[service].GetEndpoints() {
		domains = append(domains, endpoint.GetFailureDomain())
	}
	return domains
}

// otherObservers returns the members that observe service besides this instance.
func (c *Controller) otherObservers(service string) []blackboard.Member {
	var others []blackboard.Member
	for _, id := range c.observers(service) {
		if member, ok := c.cfg.Board.Members.Get(id); ok && id != c.cfg.InstanceID {
			others = append(others, member)
		}
	}
	return others
}
