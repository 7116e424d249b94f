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

// refresh takes over candidates, sorted by id, if they have changed.
func (r *roster) refresh(candidates []observer.Candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner != nil && slices.Equal(candidates, r.candidates) {
		return
	}
	r.candidates = candidates
	r.assigner = observer.NewAssigner(candidates)
	r.observers = make(map[string][]string)
}

// of returns the observers of service, the first to act first.
func (r *roster) of(service string, n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.assigner == nil {
		return nil
	}
	ids, known := r.observers[service]
	if !known {
		ids = r.assigner.Observers(service, n)
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

// rank returns this instance's place among the observers of service, from 0, or
// -1 when it is none of them.
func (c *Controller) rank(service string) int {
	return slices.Index(c.watch.of(service, c.cfg.Observers), c.cfg.InstanceID)
}

// otherObservers returns the members that observe service besides this instance.
func (c *Controller) otherObservers(service string) []blackboard.Member {
	var others []blackboard.Member
	for _, id := range c.watch.of(service, c.cfg.Observers) {
		if member, ok := c.cfg.Board.Members.Get(id); ok && id != c.cfg.InstanceID {
			others = append(others, member)
		}
	}
	return others
}
