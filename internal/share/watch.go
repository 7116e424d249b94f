package share

import (
	"context"
	"strings"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

const (
	ratePrefix       = "rate/"
	connectionPrefix = "conn/"
	// askEvery is the shortest time between requests for one limit that no
	// request of a caller is waiting for.
	askEvery = 250 * time.Millisecond
	// growStep is the part of the want that must be missing before the tick asks.
	growStep = 10
)

// RateResource names the limit of an organisation's statements.
func RateResource(organisation string) string { return ratePrefix + organisation }

// ConnectionResource names the limit of an endpoint's connections.
func ConnectionResource(endpoint string) string { return connectionPrefix + endpoint }

// watch follows the configuration and the members.
func (c *Controller) watch(ctx context.Context) error {
	for {
		configuration := c.cfg.Board.Configuration.Changed()
		members := c.cfg.Board.Members.Changed()
		c.refreshMembers()
		c.refreshLimits()
		select {
		case <-configuration:
		case <-members:
			// Heartbeats change the table all the time; look at it now and then.
			if !sleep(ctx, askEvery) {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// refreshMembers takes over the live instances.
func (c *Controller) refreshMembers() {
	c.directory.Store(newDirectory(c.cfg.Self, c.cfg.Board.Members.Snapshot()))
}

// refreshLimits takes over the configuration: an account and a part for each
// limit, and the base of each part.
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
			if c.parts[resource] == nil {
				c.parts[resource] = newPart(resource, limit)
			}
			c.parts[resource].unwind()
			c.cfg.Board.Shares.Put(resource, blackboard.Share{Resource: resource, Spender: a})
		}
		a.setLimit(limit)
		c.parts[resource].setLimit(now, limit)
		c.parts[resource].setBase(c.base(resource, limit))
		if c.leastUnits(resource) > 0 {
			c.activate(a)
		}
	}
	for resource, a := range c.accounts {
		if _, ok := limits[resource]; !ok {
			a.clear()
			c.parts[resource].wind(now)
			delete(c.accounts, resource)
			c.cfg.Board.Shares.Delete(resource)
		}
	}
	c.kick()
}

// base is how many units of a limit this instance leases as the allocator of its
// failure domain even without demand, so that the domain can serve when it is
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

// leastUnits is how many units the instance holds without demand: one
// connection to each endpoint that has enough for all instances.
func (c *Controller) leastUnits(resource string) int64 {
	if !strings.HasPrefix(resource, connectionPrefix) {
		return 0
	}
	entry, ok := c.cfg.Board.Configuration.Get().Endpoints[strings.TrimPrefix(resource, connectionPrefix)]
	if !ok || int(entry.Endpoint.GetConnections()) < c.directory.Load().size() {
		return 0
	}
	return 1
}

func (p *part) setBase(base int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.base = base
}

// due tells whether the account's allocator has to be asked at now, or whether
// the account holds nothing and is not in use.
func (a *Account) due(now, length time.Duration, least int64) (due, idle bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	a.demand.update(now)
	want := a.want(now, least)
	if len(a.holdings) == 0 && want == 0 {
		return false, a.demand.idle(now)
	}
	held := a.held(now).Units
	pressed := now < a.pressedUntil && a.excess(held, want)
	if a.asking || now < a.nextAsk && !pressed {
		return false, false
	}
	switch {
	case want > held+held/growStep && now >= a.emptyUntil, a.excess(held, want):
		return true, false
	}
	for _, h := range a.holdings {
		if !h.orphaned && (h.ceiling >= 0 || h.lease.Remaining(now) < length*2/3) {
			return true, false
		}
	}
	return false, false
}

// SetUsed implements blackboard.UseReporter. A user of units reports before it
// takes one more into use and then reads Units, so that none is handed back in
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
