// Package routing is the decision core of the data path: which endpoint may
// answer a statement. Decide is a pure function over rows of the blackboard's
// Endpoints and Groups and of the configuration; it performs no I/O. Its
// invariant: it never names an endpoint that may show less than the session's
// floor, that is leaving, or that a later term is known to have replaced.
package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/session"
)

// Action is what the gateway does next.
type Action uint8

// The actions.
const (
	// AwaitPrimary waits until the group has another primary or one at all.
	AwaitPrimary Action = iota
	// UseReplica sends the read to one of Endpoints, in that order.
	UseReplica
	// UsePrimary sends the statement to Endpoints[0], the primary.
	UsePrimary
	// NeedReadIndex asks the group for a read index first.
	NeedReadIndex
	// WaitReplica decides again after Wait, when a replica will be there.
	WaitReplica
	// RefuseSuperseded fails the statement: what the session wrote is lost.
	RefuseSuperseded
)

// Index is a position that a majority has proven current at an instant.
type Index struct {
	Position position.Position
	// At is an instant at or before the proof.
	At time.Time
}

// Candidate is an endpoint of the service.
type Candidate struct {
	blackboard.Endpoint
	FailureDomain string
	// Leaving is true once the endpoint gets no new work.
	Leaving bool
	// InFlight is how many statements this instance has there.
	InFlight int
	// Failed is true when this very statement has failed there.
	Failed bool
	// CatchUp tells when the endpoint is expected to show a position.
	CatchUp CatchUp
}

// Input is what a decision rests on.
type Input struct {
	// Read is true for a statement that a replica may answer.
	Read  bool
	Floor session.Floor
	// Bounded reads show nothing older than MaxStaleness.
	Bounded      bool
	MaxStaleness time.Duration
	// ReadIndexes are the recent read indexes, oldest first.
	ReadIndexes []Index
	// Arrived is when the statement came in: an index taken since serves any bound.
	Arrived       time.Time
	Group         blackboard.Group
	Candidates    []Candidate
	FailureDomain string
	Now           time.Time
	// WaitBudget is how long the statement may still wait for a replica.
	WaitBudget time.Duration
}

// Decision is the outcome.
type Decision struct {
	Action    Action
	Endpoints []string
	// Term is the term of which UsePrimary takes Endpoints[0] for the primary.
	Term uint64
	Wait time.Duration
	// MinPosition is the position that the answer must reflect.
	MinPosition position.Position
	// MinPositionAge is how old Lowest is at least.
	MinPositionAge time.Duration
	// Verify is true when the replicas are expected but not known to be there: the
	// answer counts only if the replica then tells a position at Lowest or later.
	Verify bool
}

// domainCost is how many statements in flight weigh as much as the way to
// another failure domain.
const domainCost = 2

// Decide chooses what to do with a statement.
func Decide(in Input) Decision {
	if in.Group.History.Superseded(in.Floor.Written) {
		return Decision{Action: RefuseSuperseded}
	}
	if !in.Read {
		return in.primary(in.Floor.Written)
	}
	if !in.Floor.Known || in.Group.History.Superseded(in.Floor.Seen) {
		return Decision{Action: NeedReadIndex}
	}
	lowest := in.Floor.Lowest()
	if in.Bounded {
		fresh, ok := in.freshEnough()
		if !ok {
			return Decision{Action: NeedReadIndex}
		}
		lowest = lowest.Max(fresh)
	}
	if d, ok := in.replica(lowest); ok {
		return d
	}
	return in.primary(lowest)
}

// freshEnough returns the position of the oldest index within the bound.
func (in Input) freshEnough() (position.Position, bool) {
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

// primary sends the statement to the primary if it is of the floor's term or of
// a later one.
func (in Input) primary(lowest position.Position) Decision {
	g := in.Group
	if g.Primary == "" || g.Electing || g.Term < lowest.Term || !g.History.Contains(lowest) {
		return Decision{Action: AwaitPrimary}
	}
	for _, c := range in.Candidates {
		if c.ID == g.Primary && !c.Leaving && c.Serving {
			return Decision{Action: UsePrimary, Endpoints: []string{c.ID}, Term: g.Term, MinPosition: lowest}
		}
	}
	return Decision{Action: AwaitPrimary}
}

// replica looks for replicas that are past lowest, then for those that are
// expected to be, then for one worth waiting for.
func (in Input) replica(lowest position.Position) (Decision, bool) {
	var there, expected []Candidate
	wait := time.Duration(-1)
	for _, c := range in.Candidates {
		if !in.usable(c) {
			continue
		}
		if c.History.Contains(lowest) && !c.Replayed.Less(lowest) {
			there = append(there, c)
			continue
		}
		if c.History.Superseded(lowest) {
			continue
		}
		left := c.CatchUp.After() - in.age(lowest)
		if left <= 0 {
			expected = append(expected, c)
		} else if left <= in.WaitBudget && (wait < 0 || left < wait) {
			wait = left
		}
	}
	switch {
	case len(there) > 0:
		return Decision{Action: UseReplica, Endpoints: in.order(there), MinPosition: lowest}, true
	case len(expected) > 0:
		return Decision{Action: UseReplica, Endpoints: in.order(expected), MinPosition: lowest, MinPositionAge: in.age(lowest), Verify: true}, true
	case wait >= 0:
		return Decision{Action: WaitReplica, Wait: wait, MinPosition: lowest}, true
	default:
		return Decision{}, false
	}
}

// age is how old the position is at least: as old as the session knows it, or as
// a sample of the primary that was past it. A bounded read's index counts as new.
func (in Input) age(lowest position.Position) time.Duration {
	if in.Bounded {
		return 0
	}
	known := in.Floor.RaisedAt
	if in.Group.SampledAt.Before(known) && !in.Group.PrimaryPosition.Less(lowest) {
		known = in.Group.SampledAt
	}
	return in.Now.Sub(known)
}

func (in Input) usable(c Candidate) bool {
	return c.Role == blackboard.RoleReplica && c.ID != in.Group.Primary && c.Serving && c.Reachable &&
		!c.Leaving && !c.Failed && !in.Now.Before(c.SuspectUntil)
}

// order sorts replicas by load and distance.
func (in Input) order(candidates []Candidate) []string {
	cost := func(c Candidate) int {
		if c.FailureDomain == in.FailureDomain {
			return c.InFlight
		}
		return c.InFlight + domainCost
	}
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return cmp.Compare(cost(a), cost(b)) })
	ids := make([]string, len(candidates))
	for i, c := range candidates {
		ids[i] = c.ID
	}
	return ids
}
