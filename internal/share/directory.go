package share

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

// directory is an immutable view of the live instances.
type directory struct {
	self    blackboard.Member
	members map[string]blackboard.Member // including self
	domains []string                     // own domain first
	byHash  map[string]*rendezvous.Rendezvous
	local   []string // instances of the own failure domain, sorted by id
}

func newDirectory(self blackboard.Member, others map[string]blackboard.Member) *directory {
	d := &directory{
		self: self, members: map[string]blackboard.Member{self.ID: self},
		byHash: make(map[string]*rendezvous.Rendezvous),
	}
	for id, m := range others {
		d.members[id] = m
	}
	instances := make(map[string][]string)
	for id, m := range d.members {
		if !m.Leaving || id == self.ID {
			instances[m.FailureDomain] = append(instances[m.FailureDomain], id)
		}
	}
	for domain, ids := range instances {
		slices.Sort(ids)
		d.byHash[domain] = rendezvous.New(ids, xxhash.Sum64String)
		if domain != self.FailureDomain {
			d.domains = append(d.domains, domain)
		}
	}
	slices.Sort(d.domains)
	d.domains = slices.Insert(d.domains, 0, self.FailureDomain)
	d.local = instances[self.FailureDomain]
	return d
}

// allocator returns the allocator of a resource in a failure domain, or an empty
// string if no instance of the domain is live.
func (d *directory) allocator(domain, resource string) string {
	if r, ok := d.byHash[domain]; ok {
		return r.Lookup(resource)
	}
	return ""
}

// fallback returns the allocator of a resource in the own failure domain, leaving
// out the instances for which avoid reports true.
func (d *directory) fallback(resource string, avoid func(id string) bool) string {
	rest := slices.DeleteFunc(slices.Clone(d.local), avoid)
	return rendezvous.New(rest, xxhash.Sum64String).Lookup(resource)
}

// size returns the number of live instances.
func (d *directory) size() int { return len(d.members) }
