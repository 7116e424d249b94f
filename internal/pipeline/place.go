package pipeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Weights of the choice between endpoints.
const (
	// handshakeCost is the time that a new connection takes.
	handshakeCost = 12 * time.Millisecond
	// distanceCost is a round trip to another failure domain, and what its bytes
	// are worth.
	distanceCost = 5 * time.Millisecond
	// primaryCost keeps room at the primary for what only the primary can serve.
	primaryCost = 15 * time.Millisecond
	// failureCost is what an attempt that fails costs the caller: its time at a usual
	// endpoint, and the same again elsewhere, several times over, since a caller that
	// is told of the failure starts from the beginning.
	failureCost = 300 * time.Millisecond
	// stalenessMargin is taken off a route's bound for the way of the request.
	stalenessMargin = 100 * time.Millisecond
)

// candidate is an endpoint that may answer a read.
type candidate struct {
	endpoint catalog.Endpoint
	primary  bool
	// after is the position that the endpoint must have applied.
	after position.Position
	cost  time.Duration
}

// readPlan is what a placement of a read rests on.
type readPlan struct {
	endpoints []catalog.Endpoint
	primary   string // empty when none may be used
	// after is the position that a replica must have applied; replicas are out of
	// the question while it is unknown.
	after      position.Position
	afterKnown bool
	tried      []string
	// usable, behind and load tell of an endpoint.
	usable func(endpoint string) bool
	behind func(endpoint string) bool
	load   func(endpoint string) backend.Load
	idle   func(endpoint string) bool
	domain string
}

// candidates orders the endpoints that may answer a read, the cheapest first:
// the expected wait and the failures by what this instance has seen, a new
// connection, the way.
func (p readPlan) candidates() []candidate {
	var list []candidate
	for _, e := range p.endpoints {
		isPrimary := e.ID == p.primary
		if e.Draining || slices.Contains(p.tried, e.ID) || !isPrimary && (!p.afterKnown || p.behind(e.ID)) || !p.usable(e.ID) {
			continue
		}
		c := candidate{endpoint: e, primary: isPrimary, cost: p.cost(e)}
		if isPrimary {
			c.cost += primaryCost
		} else {
			c.after = p.after
		}
		list = append(list, c)
	}
	slices.SortStableFunc(list, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	return list
}

func (p readPlan) cost(e catalog.Endpoint) time.Duration {
	load := p.load(e.ID)
	cost := load.Latency*time.Duration(1+load.InFlight) + time.Duration(load.FailureRate*float64(failureCost))
	if !p.idle(e.ID) {
		cost += handshakeCost
	}
	if e.FailureDomain != p.domain {
		cost += distanceCost
	}
	return cost
}

// planRead collects what the placement of a read rests on.
func (s *Session) planRead(r catalog.Route, organisation string, tried []string) readPlan {
	cfg := &s.p.cfg
	now := cfg.Clock()
	plan := readPlan{
		endpoints: cfg.Registry().ByService[r.Service], tried: tried, domain: cfg.FailureDomain,
		load: cfg.Health.Load,
	}
	borrows := func(endpoint string) bool {
		_, ok := cfg.ReadViaOwner(cfg.Registry().Endpoints[endpoint], organisation, r.Priority)
		return ok && s.tx == nil
	}
	plan.usable = func(endpoint string) bool { return borrows(endpoint) || cfg.Health.Usable(endpoint) }
	plan.idle = func(endpoint string) bool { return borrows(endpoint) || cfg.Pools.HasIdle(endpoint, organisation) }
	if leader, err := cfg.PrimaryView.Primary(r.Service); err == nil {
		plan.primary = leader.Endpoint
	}
	plan.after, plan.afterKnown = s.lowest(r, now)
	plan.behind = func(endpoint string) bool { return s.p.fresh.isBehind(endpoint, plan.after, now) }
	return plan
}

// lowest returns the position that a read at a replica must see, false when only
// the primary will do.
func (s *Session) lowest(r catalog.Route, now time.Duration) (position.Position, bool) {
	if r.Consistency == catalog.PrimaryReads {
		return position.Position{}, false
	}
	var lowest position.Position
	if r.Consistency == catalog.ReadYourWrites {
		lowest = s.floor
	}
	if r.MaxStaleness > 0 {
		p, ok := s.p.fresh.within(r.Service, now-r.MaxStaleness+stalenessMargin)
		if !ok {
			return position.Position{}, false
		}
		lowest = lowest.Max(p)
	} else if r.Consistency == catalog.BoundedStaleness {
		return position.Position{}, false
	}
	return lowest, true
}
