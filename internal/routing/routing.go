// Package routing decides which endpoint may serve a statement. Decide is a pure function
// of the blackboard's Endpoints and Groups rows and of the configuration; it performs no
// I/O.
//
// Invariant: Decide never returns an endpoint that is leaving, that is known to have been
// replaced in a later term, or whose unverified response may lack writes up to the session's
// floor.
package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/session"
)

// Action is the next step of the gateway.
type Action uint8

// The actions.
const (
	// AwaitPrimary waits until the group has a usable primary.
	AwaitPrimary Action = iota
	// UseReplica sends the read to one of Endpoints, in order of preference.
	UseReplica
	// UsePrimary sends the statement to Endpoints[0], the primary.
	UsePrimary
	// NeedReadIndex requests a read index from the group before the next decision.
	NeedReadIndex
	// WaitReplica decides again after Wait, when a replica is expected to have caught up.
	WaitReplica
	// RefuseSuperseded fails the statement because the session's writes have been lost in a
	// failover.
	RefuseSuperseded
)

// Index is a read index: a position that a majority has confirmed as current.
type Index struct {
	Position position.Position
	// At is a time at or before the confirmation.
	At time.Time
}

// Candidate is an endpoint of the service, with its state as known to this instance.
type Candidate struct {
	blackboard.Endpoint
	FailureDomain string
	// Leaving is true once the endpoint receives no new statements.
	Leaving bool
	// InFlight is the number of statements that this instance has in flight there.
	InFlight int
	// Failed is true when this statement has already failed there.
	Failed bool
	// CatchUp estimates when the endpoint will have applied a position.
	CatchUp CatchUp
}

// Input is the input of a decision.
type Input struct {
	// Read is true for a statement that a replica may serve.
	Read  bool
	Floor session.Floor
	// Bounded is true for reads that must not be staler than MaxStaleness.
	Bounded      bool
	MaxStaleness time.Duration
	// ReadIndexes are the recent read indexes, oldest first.
	ReadIndexes []Index
	// Arrived is when the statement arrived. An index taken since then satisfies any bound.
	Arrived       time.Time
	Group         blackboard.Group
	Candidates    []Candidate
	FailureDomain string
	Now           time.Time
	// WaitBudget is the remaining time that the statement may wait for a replica.
	WaitBudget time.Duration
}

// Decision is the result of Decide.
type Decision struct {
	Action    Action
	Endpoints []string
	// Term is the term in which Endpoints[0] is the primary, for UsePrimary.
	Term uint64
	Wait time.Duration
	// MinPosition is the position that the response must reflect.
	MinPosition position.Position
	// MinPositionAge is the minimum age of MinPosition.
	MinPositionAge time.Duration
	// Verify is true when the replicas are expected, but not known, to have applied MinPosition.
	// The response is valid only if the replica then reports a position at or after MinPosition.
	Verify bool
}

// crossDomainCost is the number of statements in flight that cost as much as the distance
// to another failure domain.
const crossDomainCost = 2

// Decide returns the next step for a statement.
func Decide(in Input) Decision {
	if in.Group.History.Superseded(in.Floor.Written) {
		return Decision{Action: RefuseSuperseded}
	}
	if !in.Read {
		return in.choosePrimary(in.Floor.Written)
	}
	if !in.Floor.Known || in.Group.History.Superseded(in.Floor.Seen) {
		return Decision{Action: NeedReadIndex}
	}
	minPosition := in.Floor.MinPosition()
	if in.Bounded {
		fresh, ok := in.oldestFreshIndex()
		if !ok {
			return Decision{Action: NeedReadIndex}
		}
		minPosition = minPosition.Max(fresh)
	}
	if d, ok := in.chooseReplica(minPosition); ok {
		return d
	}
	return in.choosePrimary(minPosition)
}

// oldestFreshIndex returns the position of the oldest index within the staleness bound.
func (in Input) oldestFreshIndex() (position.Position, bool) {
	oldest := in.Now.Add(-in.MaxStaleness)
	if in.Arrived.Before(oldest) {
		oldest = in.Arrived
	}
	for _, index := range in.ReadIndexes {
		if !index.At.Before(oldest) {
			return index.Position, true
		}
	}
	return position.Position{}, false
}

// choosePrimary chooses the primary if its term and history include minPosition; otherwise
// the statement waits for such a primary.
func (in Input) choosePrimary(minPosition position.Position) Decision {
	g := in.Group
	if g.Primary == "" || g.Electing || g.Term < minPosition.Term || !g.History.Contains(minPosition) {
		return Decision{Action: AwaitPrimary}
	}
	for _, c := range in.Candidates {
		if c.ID == g.Primary && !c.Leaving && c.Serving {
			return Decision{Action: UsePrimary, Endpoints: []string{c.ID}, Term: g.Term, MinPosition: minPosition}
		}
	}
	return Decision{Action: AwaitPrimary}
}

// chooseReplica chooses the replicas that have applied minPosition, otherwise those that are
// expected to have applied it, otherwise to wait for one that will soon be expected to. It
// returns false if there is none of these.
func (in Input) chooseReplica(minPosition position.Position) (Decision, bool) {
	var caughtUp, expected []Candidate
	wait := time.Duration(-1)
	for _, c := range in.Candidates {
		if !in.usable(c) {
			continue
		}
		if c.History.Contains(minPosition) && !c.Replayed.Less(minPosition) {
			caughtUp = append(caughtUp, c)
			continue
		}
		if c.History.Superseded(minPosition) {
			continue
		}
		remaining := c.CatchUp.After() - in.age(minPosition)
		if remaining <= 0 {
			expected = append(expected, c)
		} else if remaining <= in.WaitBudget && (wait < 0 || remaining < wait) {
			wait = remaining
		}
	}
	switch {
	case len(caughtUp) > 0:
		return Decision{Action: UseReplica, Endpoints: in.orderByCost(caughtUp), MinPosition: minPosition}, true
	case len(expected) > 0:
		return Decision{Action: UseReplica, Endpoints: in.orderByCost(expected), MinPosition: minPosition, MinPositionAge: in.age(minPosition), Verify: true}, true
	case wait >= 0:
		return Decision{Action: WaitReplica, Wait: wait, MinPosition: minPosition}, true
	default:
		return Decision{}, false
	}
}

// age returns the minimum age of the position: the time since the session first knew it, or
// since an earlier sample of the primary that included it. For a bounded read, whose index
// may be new, it returns 0.
func (in Input) age(minPosition position.Position) time.Duration {
	if in.Bounded {
		return 0
	}
	knownSince := in.Floor.RaisedAt
	if in.Group.SampledAt.Before(knownSince) && !in.Group.PrimaryPosition.Less(minPosition) {
		knownSince = in.Group.SampledAt
	}
	return in.Now.Sub(knownSince)
}

func (in Input) usable(c Candidate) bool {
	return c.Role == blackboard.RoleReplica && c.ID != in.Group.Primary && c.Serving && c.Reachable &&
		!c.Leaving && !c.Failed && !in.Now.Before(c.SuspectedUntil)
}

// orderByCost returns the IDs of the candidates, sorted by load and distance.
func (in Input) orderByCost(candidates []Candidate) []string {
	cost := func(c Candidate) int {
		if c.FailureDomain == in.FailureDomain {
			return c.InFlight
		}
		return c.InFlight + crossDomainCost
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(cost(a), cost(b)) })
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return ids
}
