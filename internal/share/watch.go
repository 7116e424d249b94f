package share

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
)

const (
	ratePrefix       = "rate/"
	connectionPrefix = "conn/"
	// renewalInterval is the shortest interval between requests for one limit while
	// no caller waits.
	renewalInterval = 250 * time.Millisecond
	// growthDivisor sets by how much the want must exceed what is held before the
	// tick requests more: by more than 1/growthDivisor of what is held.
	growthDivisor = 10
)

// RateResource returns the resource name of an organisation's rate limit.
func RateResource(organisation string) string { return ratePrefix + organisation }

// ConnectionResource returns the resource name of an endpoint's connection limit.
func ConnectionResource(endpoint string) string { return connectionPrefix + endpoint }

// watch applies changes of the configuration and the members until ctx ends.
func (c *Controller) watch(ctx context.Context) error {
	for {
		configuration := c.cfg.Board.Configuration.Changed()
		members := c.cfg.Board.Members.Changed()
		c.refreshMembers()
		c.refreshLimits()
		select {
		case <-configuration:
		case <-members:
			// Heartbeats change the members all the time, so refresh at most once
			// per interval.
			if !pause.For(ctx, renewalInterval) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// refreshMembers updates the directory from the live members.
func (c *Controller) refreshMembers() {
	c.directory.Store(newDirectory(c.cfg.Self, c.cfg.Board.Members.Snapshot()))
}

// refreshLimits applies the configuration: an account and an allocation for each
// limit, and the base of each allocation.
func (c *Controller) refreshLimits() {
	now := c.cfg.Clock()
	limits := c.limits()
	c.mu.Lock()
	defer c.mu.Unlock()
	for resource, limit := range limits {
		a, ok := c.accounts[resource]
		if !ok {
			a = newAccount(resource, limit, c.cfg.Clock)
			c.accounts[resource] = a
			if c.allocations[resource] == nil {
				c.allocations[resource] = newAllocation(resource, limit)
			}
			c.allocations[resource].stopDraining()
			c.cfg.Board.Shares.Put(resource, blackboard.Share{Resource: resource, Spender: a})
		}
		a.setLimit(limit)
		c.allocations[resource].setLimit(now, limit)
		c.allocations[resource].setBase(c.base(resource, limit))
		if c.minUnits(resource) > 0 {
			c.activate(a)
		}
	}
	for resource, a := range c.accounts {
		if _, ok := limits[resource]; !ok {
			a.clear()
			c.allocations[resource].drain(now)
			delete(c.accounts, resource)
			c.cfg.Board.Shares.Delete(resource)
		}
	}
	c.trigger()
}

// base returns how many units of a limit this instance leases as the allocator of
// its failure domain even without demand, so that the domain can serve when it is
// cut off or the table is down: an equal part for each domain.
func (c *Controller) base(resource string, limit escrow.Limit) int64 {
	d := c.directory.Load()
	if c.cfg.Peers != nil && d.allocator(d.self.FailureDomain, resource) != c.cfg.Self.ID {
		return 0
	}
	domains := int64(max(1, len(d.domains)))
	if c.cfg.Peers == nil {
		domains = int64(d.size())
	}
	if strings.HasPrefix(resource, connectionPrefix) && limit.Units >= int64(d.size()) {
		return max(int64(len(d.local)), limit.Units/domains)
	}
	return limit.Units / domains
}

// minUnits returns how many units the instance holds without demand: one connection
// to each endpoint that has enough for all instances.
func (c *Controller) minUnits(resource string) int64 {
	if !strings.HasPrefix(resource, connectionPrefix) {
		return 0
	}
	entry, ok := c.cfg.Board.Configuration.Get().Endpoints[strings.TrimPrefix(resource, connectionPrefix)]
	if !ok || int(entry.Endpoint.GetConnections()) < c.directory.Load().size() {
		return 0
	}
	return 1
}

func (alloc *allocation) setBase(base int64) {
	alloc.mu.Lock()
	defer alloc.mu.Unlock()
	alloc.base = base
}

// due reports whether a renewal of the account is due now, or whether the account
// holds nothing and is not in use.
func (a *Account) due(now, holdingLease time.Duration, minimum int64) (due, idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.demand.update(now)
	want := a.want(now, minimum)
	if len(a.holdings) == 0 && want == 0 {
		return false, a.demand.idle(now)
	}
	held := a.held(now).Units
	shortage := now < a.shortageUntil && a.shouldReturnSurplus(held, want)
	if a.renewing || now < a.nextRenewal && !shortage {
		return false, false
	}
	switch {
	case want > held+held/growthDivisor && now >= a.backoffUntil, a.shouldReturnSurplus(held, want):
		return true, false
	}
	for _, h := range a.holdings {
		if !h.orphaned && (h.ceiling >= 0 || h.lease.Remaining(now) < holdingLease*2/3) {
			return true, false
		}
	}
	return false, false
}

// SetUsed implements blackboard.UseReporter. A user of units calls it before it
// takes one more into use and then reads Units, so that the unit is not returned in
// between.
func (a *Account) SetUsed(units int) {
	now := a.clock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.demand.used, a.demand.reported = int64(units), true
	if units > 0 {
		a.demand.lastUse = now
	}
}
