package pipeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Costs that are compared when an endpoint is chosen for a read.
const (
	// handshakeCost is the time to open a new connection.
	handshakeCost = 12 * time.Millisecond
	// crossDomainCost is the time of a round trip to another failure domain plus a charge
	// for the traffic.
	crossDomainCost = 5 * time.Millisecond
	// primaryCost keeps reads away from the primary, whose capacity is needed for the
	// statements that only it can serve.
	primaryCost = 15 * time.Millisecond
	// failureCost is the cost of a failed attempt: the time of the attempt and of its
	// repetition elsewhere, several times over because a caller that receives the failure
	// starts again from the beginning.
	failureCost = 300 * time.Millisecond
	// stalenessMargin is subtracted from a route's staleness bound to allow for the time
	// that the request takes to arrive.
	stalenessMargin = 100 * time.Millisecond
)

// candidate is an endpoint that may answer a read.
type candidate struct {
	endpoint catalog.Endpoint
	primary  bool
	// minPosition is the position that the endpoint must have applied, zero at the primary.
	minPosition position.Position
	cost        time.Duration
}

// readPlan is the input for the placement of a read.
type readPlan struct {
	endpoints []catalog.Endpoint
	primary   string // empty when none is known to be usable
	// minPosition is the position that a replica must have applied. Replicas are excluded
	// while it is unknown.
	minPosition      position.Position
	minPositionKnown bool
	tried            []string
	// usable reports whether to send statements to the endpoint, behind whether it recently
	// lacked minPosition, idle whether an open connection to it is free; load returns its
	// load.
	usable func(endpoint string) bool
	behind func(endpoint string) bool
	load   func(endpoint string) backend.Load
	idle   func(endpoint string) bool
	domain string
}

// candidates returns the endpoints that may answer a read, the cheapest first. The cost
// consists of the expected latency and failures as observed by this instance, the opening
// of a connection, the distance, and the preference for replicas.
func (p readPlan) candidates() []candidate {
	var list []candidate
	for _, e := range p.endpoints {
		isPrimary := e.ID == p.primary
		if !e.TakesNewWork() || slices.Contains(p.tried, e.ID) || !isPrimary && (!p.minPositionKnown || p.behind(e.ID)) || !p.usable(e.ID) {
			continue
		}
		c := candidate{endpoint: e, primary: isPrimary, cost: p.cost(e)}
		if isPrimary {
			c.cost += primaryCost
		} else {
			c.minPosition = p.minPosition
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
		cost += crossDomainCost
	}
	return cost
}

// planRead collects the input for the placement of a read.
func (s *Session) planRead(r catalog.Route, organisation string, tried []string) readPlan {
	cfg := &s.p.cfg
	now := cfg.Clock()
	plan := readPlan{
		endpoints: s.endpointsForRead(r, organisation, now), tried: tried, domain: cfg.FailureDomain,
		load: cfg.Health.Load,
	}
	viaOwner := func(endpoint string) bool {
		_, ok := s.viaOwner(organisation, cfg.Registry().Endpoints[endpoint], s.turn(r, now))
		return ok
	}
	plan.usable = func(endpoint string) bool { return viaOwner(endpoint) || cfg.Health.Usable(endpoint) }
	plan.idle = func(endpoint string) bool { return viaOwner(endpoint) || cfg.Pools.HasIdle(endpoint, organisation) }
	if current, err := cfg.PrimaryView.Primary(r.Service); err == nil {
		plan.primary = current.Endpoint
	}
	plan.minPosition, plan.minPositionKnown = s.requiredPosition(r, now)
	plan.behind = func(endpoint string) bool { return s.p.fresh.isBehind(endpoint, plan.minPosition, now) }
	return plan
}

// requiredPosition returns the position that a replica must have applied to serve a read on
// the route. It returns false when only the primary may serve it.
func (s *Session) requiredPosition(r catalog.Route, now time.Duration) (position.Position, bool) {
	if r.Consistency == catalog.PrimaryReads {
		return position.Position{}, false
	}
	var requiredPosition position.Position
	if r.Consistency == catalog.ReadYourWrites {
		requiredPosition = s.floor
	}
	if r.MaxStaleness > 0 {
		p, ok := s.p.fresh.within(r.Service, now-r.MaxStaleness+stalenessMargin)
		if !ok {
			return position.Position{}, false
		}
		requiredPosition = requiredPosition.Max(p)
	} else if r.Consistency == catalog.BoundedStaleness {
		return position.Position{}, false
	}
	return requiredPosition, true
}
