package leadership

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
)

const (
	// confirmThreshold is the age of the copy from which the members are asked to
	// confirm it: a read or two of the store were missed.
	confirmThreshold = 1200 * time.Millisecond
	// confirmInterval is the time between requests: several within RecordLifetime.
	confirmInterval = 400 * time.Millisecond
	// confirmTimeout bounds one request.
	confirmTimeout = 300 * time.Millisecond
	// attestTimeout bounds a request to a member that asks others in turn.
	attestTimeout = confirmTimeout + 100*time.Millisecond
	// attestationLifetime is how long a collection within a failure domain is reused.
	attestationLifetime = 300 * time.Millisecond
	// maxDirectConfirmations is the number of members up to which each is asked directly.
	maxDirectConfirmations = 12
	// maxAttestingMembers is the number of members of a failure domain that are asked for
	// its attestation in turn.
	maxAttestingMembers = 3
)

// KnownEpochs returns the latest epoch of each service that this instance has read or
// revoked the primary for, and false if it cannot confirm anything. A restart loses the
// revoked epochs, so a recently started instance confirms only from rows that were read
// since its start.
func (v *PrimaryView) KnownEpochs() (map[string]uint64, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	knowsAllRevocations := v.clock()-v.startedAt > MaxStoreOutage+leaseExpiryMargin
	if !v.records.loaded || !knowsAllRevocations && v.records.asOf < v.startedAt {
		return nil, false
	}
	epochs := make(map[string]uint64)
	for service, r := range v.records.services {
		epochs[service] = r.Epoch
	}
	for service, s := range v.services {
		epochs[service] = max(epochs[service], s.revokedEpoch)
	}
	return epochs, true
}

// applyConfirmation merges the latest epochs known to the members that answered a request
// sent at sent. An epoch above the cached one revokes the primary at once. If they are a
// majority together with this instance, the record is confirmed as of sent.
func (v *PrimaryView) applyConfirmation(sent time.Duration, answered int, epochs map[string]uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, epoch := range epochs {
		if s := v.stateOf(service); epoch > v.records.services[service].Epoch && s.revokedEpoch < epoch {
			s.revokedEpoch = epoch
			s.drainDeadline = 0
		}
	}
	if 2*(answered+1) > v.records.members.Count {
		v.confirmedAt = max(v.confirmedAt, sent)
	}
}

// untilConfirmation returns the time until the members have to be asked for confirmation, 0
// if that is now.
func (v *PrimaryView) untilConfirmation() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	age := v.clock() - v.records.asOf
	switch {
	case !v.records.loaded || !v.records.members.Listed || age >= MaxStoreOutage:
		return confirmInterval
	case age > confirmThreshold:
		return 0
	default:
		return confirmThreshold - age + time.Millisecond
	}
}

// confirmRecords asks the members for confirmation, at confirmInterval, while the store
// does not serve this instance.
func (c *Controller) confirmRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := c.cfg.PrimaryView.untilConfirmation()
		if wait == 0 {
			began := c.cfg.Clock()
			c.requestConfirmation(ctx)
			wait = max(0, confirmInterval-(c.cfg.Clock()-began))
		}
		sleep(ctx, wait)
	}
	return nil
}

// requestConfirmation asks the members for the latest epochs: each of them in a small fleet,
// otherwise one member of each failure domain, which asks those of its domain.
func (c *Controller) requestConfirmation(ctx context.Context) {
	sent := c.cfg.Clock()
	members := c.cfg.Members()
	var merged Attestation
	if len(members) <= maxDirectConfirmations {
		merged = c.collect(ctx, members)
	} else {
		merged = c.collectFromDomains(ctx, members)
	}
	c.cfg.PrimaryView.applyConfirmation(sent-merged.Age, len(merged.Members), merged.Epochs)
}

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

// collect asks members for the latest epochs that they know, this instance excepted.
func (c *Controller) collect(ctx context.Context, members []Member) Attestation {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	responses := blackboard.NewTable[string, map[string]uint64]()
	for range c.requestAll(ctx, members, func(ctx context.Context, m Member) (bool, error) {
		known, err := c.cfg.Peers.KnownEpochs(ctx, m)
		if err == nil {
			responses.Put(m.Name, known)
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
// a different one at each call, since it may have failed.
func (c *Controller) collectFromDomains(ctx context.Context, members []Member) Attestation {
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
		})
	}
	pending.Wait()
	var merged Attestation
	for _, response := range responses.Snapshot() {
		merged.merge(response, known)
	}
	return merged
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
		collected := c.collect(ctx, members)
		if epochs, ok := c.cfg.PrimaryView.KnownEpochs(); ok {
			collected.merge(Attestation{Epochs: epochs, Members: []string{c.cfg.Self}}, map[string]struct{}{c.cfg.Self: {}})
		}
		c.attested, c.attestedAt = collected, now
	}
	current := c.attested
	current.Age = c.cfg.Clock() - c.attestedAt
	return current
}
