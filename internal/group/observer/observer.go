// Package observer decides which instances sample which database group continuously.
// It performs no I/O. Instances with the same view of the members make the same
// decisions.
package observer

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
)

// Candidate is an instance that may observe.
type Candidate struct {
	ID            string
	FailureDomain string
}

// Assigner assigns observers among a fixed set of candidates.
type Assigner struct {
	domains  []string
	all      []string
	byDomain map[string]*rendezvous.Rendezvous
}

// NewAssigner returns an assigner for the candidates, in any order.
func NewAssigner(candidates []Candidate) *Assigner {
	members := make(map[string][]string)
	a := &Assigner{byDomain: make(map[string]*rendezvous.Rendezvous)}
	for _, c := range candidates {
		members[c.FailureDomain] = append(members[c.FailureDomain], c.ID)
		a.all = append(a.all, c.ID)
	}
	slices.Sort(a.all)
	for domain, ids := range members {
		slices.Sort(ids)
		a.domains = append(a.domains, domain)
		a.byDomain[domain] = rendezvous.New(ids, xxhash.Sum64String)
	}
	slices.Sort(a.domains)
	return a
}

// Observers returns up to n observers of service in the order in which they act. They
// are in different failure domains as long as there are enough; the domains of the
// service's own servers come first, so that some observer is on the same side of a
// partition as a majority of the servers.
func (a *Assigner) Observers(service string, serverDomains []string, n int) []string {
	preferred, others := a.split(serverDomains)
	domains := append(top(service, preferred, n), top(service, others, n)...)
	var chosen []string
	for _, domain := range domains[:min(n, len(domains))] {
		chosen = append(chosen, a.byDomain[domain].Lookup(service))
	}
	rest := slices.DeleteFunc(slices.Clone(a.all), func(id string) bool { return slices.Contains(chosen, id) })
	return append(chosen, top(service, rest, n-len(chosen))...)
}

// split divides the domains into those in serverDomains and the others.
func (a *Assigner) split(serverDomains []string) (preferred, others []string) {
	for _, domain := range a.domains {
		if slices.Contains(serverDomains, domain) {
			preferred = append(preferred, domain)
		} else {
			others = append(others, domain)
		}
	}
	return preferred, others
}

// top returns the n names that rank highest for key, best first. Each is looked up
// among the remaining names.
func top(key string, names []string, n int) []string {
	rest := slices.Clone(names)
	var best []string
	for len(best) < n && len(rest) > 0 {
		name := rendezvous.New(rest, xxhash.Sum64String).Lookup(key)
		best = append(best, name)
		rest = slices.DeleteFunc(rest, func(other string) bool { return other == name })
	}
	return best
}
