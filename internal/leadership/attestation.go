package leadership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

const (
	// attestTimeout bounds a request to a member that asks others in turn.
	attestTimeout = confirmTimeout + 100*time.Millisecond
	// attestationLifetime is how long a collection within a failure domain is reused.
	attestationLifetime = 400 * time.Millisecond
	// maxAttestingMembers is the number of members of a failure domain that are asked for
	// its attestation in turn.
	maxAttestingMembers = 3
)

// Attestation is what some members together know of the latest epochs.
type Attestation struct {
	// Epochs holds the latest epoch of each service.
	Epochs map[string]uint64 `json:"epochs"`
	// Members names the members that have answered.
	Members []string `json:"members"`
	// Age is the time since the first of them was asked.
	Age time.Duration `json:"age_ns"`
}

// merge adds what another attestation says of the members in known.
func (a *Attestation) merge(other Attestation, known map[string]struct{}) {
	if a.Epochs == nil {
		a.Epochs = make(map[string]uint64)
	}
	for service, epoch := range other.Epochs {
		a.Epochs[service] = max(a.Epochs[service], epoch)
	}
	for _, name := range other.Members {
		if _, ok := known[name]; ok && !slices.Contains(a.Members, name) {
			a.Members = append(a.Members, name)
		}
	}
	a.Age = max(a.Age, other.Age)
}

// collect asks members for the latest epochs that they know, this instance excepted; with
// forOthers, on behalf of other instances as well. It calls answered for each that responds.
func (c *Controller) collect(ctx context.Context, members []Member, forOthers bool, answered func(Member)) Attestation {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	responses := blackboard.NewTable[string, map[string]uint64]()
	for range c.requestAll(ctx, members, func(ctx context.Context, m Member) (bool, error) {
		known, err := c.cfg.Peers.KnownEpochs(ctx, m, forOthers)
		if err == nil {
			responses.Put(m.Name, known)
			answered(m)
		}
		return true, err
	}) {
		continue
	}
	var merged Attestation
	for name, epochs := range responses.Snapshot() {
		merged.merge(Attestation{Epochs: epochs, Members: []string{name}}, map[string]struct{}{name: {}})
	}
	return merged
}

// collectFromDomains asks one member of each failure domain for the attestation of its domain,
// a different one at each call, since it may have failed. It calls answered for each that responds.
func (c *Controller) collectFromDomains(ctx context.Context, members []Member, answered func(Member)) Attestation {
	ctx, cancel := context.WithTimeout(ctx, attestTimeout)
	defer cancel()
	known := make(map[string]struct{})
	byDomain := make(map[string][]Member)
	for _, m := range members {
		if m.Name != c.cfg.Self {
			known[m.Name] = struct{}{}
		}
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	attempt := int(c.confirmations.Add(1))
	responses := blackboard.NewTable[string, Attestation]()
	var pending sync.WaitGroup
	for domain, list := range byDomain {
		m := list[attempt%min(len(list), maxAttestingMembers)]
		pending.Go(func() {
			var response Attestation
			var err error
			if m.Name == c.cfg.Self {
				response = c.Attest(ctx)
			} else {
				response, err = c.cfg.Peers.Attest(ctx, m)
			}
			if err != nil {
				c.cfg.Log.Debug("a failure domain was not confirmed", zap.String("member", m.Name), zap.Error(err))
				return
			}
			responses.Put(domain, response)
			answered(m)
		})
	}
	pending.Wait()
	var merged Attestation
	for _, response := range responses.Snapshot() {
		merged.merge(response, known)
	}
	return merged
}

// Confirm returns the latest epochs known to this instance to another one that asks for the
// confirmation of its records or, with collecting, of those of others as well.
func (c *Controller) Confirm(name string, collecting bool) (map[string]uint64, bool) {
	return c.cfg.PrimaryView.confirmTo(name, collecting)
}

// AttestTo is Attest for another instance that asks for the confirmation of its records. It returns
// nothing while this instance can confirm nothing: its own revocations would be missing.
func (c *Controller) AttestTo(ctx context.Context, name string) Attestation {
	collected := c.Attest(ctx)
	epochs, ok := c.Confirm(name, false)
	if !ok {
		return Attestation{}
	}
	// The collection may be older than a revocation by this instance.
	own := Attestation{Epochs: maps.Clone(collected.Epochs), Members: slices.Clone(collected.Members), Age: collected.Age}
	own.merge(Attestation{Epochs: epochs, Members: []string{c.cfg.Self}}, map[string]struct{}{c.cfg.Self: {}})
	return own
}

// Attest returns what this instance and the others of its failure domain know. Calls within
// attestationLifetime share one collection.
func (c *Controller) Attest(ctx context.Context) Attestation {
	select {
	case c.attesting <- struct{}{}:
	case <-ctx.Done():
		return Attestation{}
	}
	defer func() { <-c.attesting }()
	now := c.cfg.Clock()
	if c.attestedAt == 0 || now-c.attestedAt > attestationLifetime {
		members := slices.DeleteFunc(slices.Clone(c.cfg.Members()), func(m Member) bool { return m.FailureDomain != c.cfg.FailureDomain })
		collected := c.collect(ctx, members, true, func(Member) {})
		if epochs, ok := c.cfg.PrimaryView.KnownEpochs(); ok {
			collected.merge(Attestation{Epochs: epochs, Members: []string{c.cfg.Self}}, map[string]struct{}{c.cfg.Self: {}})
		}
		c.attested, c.attestedAt = collected, now
	}
	current := c.attested
	current.Age = c.cfg.Clock() - c.attestedAt
	return current
}
