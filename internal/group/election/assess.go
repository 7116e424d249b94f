package election

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Observation is what one observer knows of one server.
type Observation struct {
	Server Server
	// Status is the latest response; Answered is false while there is none.
	Status   platform.ServerStatus
	Answered bool
	// FailingSince is when the first of the latest consecutive failed calls was sent;
	// zero after a successful call.
	FailingSince time.Time
	// Failures is the number of those failed calls.
	Failures int
	// NotServingSince is when the server was first seen not to serve; zero while it
	// serves.
	NotServingSince time.Time
	// Refused is set when the last failed call failed before its deadline, as with a
	// closed port.
	Refused bool
}

// FailureThresholds are the thresholds at which a server counts as failed.
type FailureThresholds struct {
	// UnresponsiveFor is how long the server must be unresponsive, or its database not
	// serving.
	UnresponsiveFor time.Duration
	// Refusals is the number of consecutive failures that suffice when the last one
	// came before its deadline.
	Refusals int
}

// Failed reports whether the server counts as failed at now: it is unresponsive, or
// its database does not serve.
func (s Observation) Failed(now time.Time, thresholds FailureThresholds) bool {
	if s.FailingSince.IsZero() {
		return !s.NotServingSince.IsZero() && now.Sub(s.NotServingSince) >= thresholds.UnresponsiveFor
	}
	if s.Refused && s.Failures >= thresholds.Refusals {
		return true
	}
	return now.Sub(s.FailingSince) >= thresholds.UnresponsiveFor
}

// Live reports whether the last call to the server was answered.
func (s Observation) Live() bool { return s.Answered && s.FailingSince.IsZero() }

// Condition is the state of a group as seen by one observer.
type Condition uint8

// Values of Condition.
const (
	// Unsettled means too little is known yet to judge.
	Unsettled Condition = iota
	// Healthy means that a primary works in a term that is not superseded.
	Healthy
	// Headless means that the group needs a primary and that a majority of its
	// servers responds.
	Headless
	// Minority means that fewer than a majority of the servers can respond to this
	// observer, so that no primary can be elected or have its commits confirmed.
	Minority
)

// String returns the name of the condition in lower case.
func (c Condition) String() string {
	return [...]string{"unsettled", "healthy", "headless", "minority"}[c]
}

// Assessment is the result of Assess.
type Assessment struct {
	Condition Condition
	// Primary is the primary of the highest known term, if any; it may have failed.
	Primary Server
	// Term is that primary's term.
	Term uint64
	// Superseded is set when a majority has promised a higher term than Term.
	Superseded bool
	// Suspects are the endpoint ids of the servers that count as failed.
	Suspects []string
}

// Assess judges a group by the observations of one observer. knownTerm and
// knownPrimary are the latest primary learned from any source; a server that reports
// itself as primary of a lower term is not one. A stalled primary, whose log reaches
// no majority, counts as failed.
func Assess(observations []Observation, knownTerm uint64, knownPrimary string, stalled bool, now time.Time, thresholds FailureThresholds) Assessment {
	result := Assessment{Term: knownTerm}
	primary := highestPrimary(observations, knownTerm, knownPrimary)
	if primary != nil {
		result.Primary = primary.Server
	}
	if primary != nil && primary.Status.Primary {
		// What a former primary has promised since is a proposer's term, not its own.
		result.Term = max(knownTerm, primary.Status.PromisedTerm)
	}
	c := serverCounts{size: len(observations), superseding: superseding(observations, result.Term)}
	for _, observation := range observations {
		failed := observation.Failed(now, thresholds)
		if failed {
			result.Suspects = append(result.Suspects, observation.Server.Endpoint)
		}
		switch {
		case observation.Live():
			c.live++
		case failed:
			c.failed++
		default:
			c.undecided++
		}
	}
	result.Superseded = c.size > 0 && c.superseding >= Majority(c.size)
	result.Condition = c.condition(primaryStateOf(primary, c.undecided, result.Term, stalled, now, thresholds))
	return result
}

// primaryState is the state of the primary alone.
type primaryState uint8

const (
	primaryUnavailable primaryState = iota // failed, stalled, demoted, or none is known
	primaryWorking                         // responds, serves, and is still the primary
	primaryUndecided                       // not known to be either yet
)

// primaryStateOf judges the primary. While none is known, each undecided server,
// which neither responds nor counts as failed yet, may be the primary.
func primaryStateOf(primary *Observation, undecided int, term uint64, stalled bool, now time.Time, thresholds FailureThresholds) primaryState {
	switch {
	case primary == nil && undecided > 0:
		return primaryUndecided
	case primary == nil || stalled || primary.Failed(now, thresholds) || demoted(primary, term):
		return primaryUnavailable
	case primary.Live() && primary.Status.Serving:
		return primaryWorking
	default:
		return primaryUndecided
	}
}

// serverCounts are numbers of servers of one group. Each server is live, failed, or
// undecided while it may still respond in time.
type serverCounts struct{ size, live, failed, undecided, superseding int }

// condition derives the group's condition. A working primary is of no use when no
// majority can respond to confirm its commits.
func (c serverCounts) condition(primary primaryState) Condition {
	majority := Majority(c.size)
	switch {
	case c.live+c.undecided < majority:
		return Minority
	case primary == primaryWorking && c.superseding < majority:
		return Healthy
	case primary == primaryUndecided:
		return Unsettled
	case c.live >= majority:
		return Headless
	default:
		return Unsettled
	}
}

// demoted reports whether the server responds and is not the primary of term.
func demoted(s *Observation, term uint64) bool {
	return s.Live() && (!s.Status.Primary || s.Status.PromisedTerm < term)
}

// superseding counts the servers that promised a higher term than term. They no
// longer confirm anything of term.
func superseding(observations []Observation, term uint64) int {
	n := 0
	for _, observation := range observations {
		if observation.Answered && observation.Status.PromisedTerm > term {
			n++
		}
	}
	return n
}

// highestPrimary returns the observation of the primary of the highest term, taken
// from the servers' own statuses and from the known primary.
func highestPrimary(observations []Observation, knownTerm uint64, knownPrimary string) *Observation {
	var best *Observation
	term := knownTerm
	for i := range observations {
		observation := &observations[i]
		if observation.Server.Endpoint == knownPrimary && knownPrimary != "" && best == nil {
			best = observation
		}
		if observation.Answered && observation.Status.Primary && observation.Status.PromisedTerm >= term && observation.Status.PromisedTerm > 0 {
			if observation.Status.PromisedTerm > term || observation.Server.Endpoint == knownPrimary || knownPrimary == "" {
				best, term = observation, observation.Status.PromisedTerm
			}
		}
	}
	return best
}
