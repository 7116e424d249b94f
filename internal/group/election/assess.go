package election

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Observation is what one observer knows of one server.
type Observation struct {
	Server Server
	// Status is the latest answer; Answered is false while there is none.
	Status   platform.ServerStatus
	Answered bool
	// FailingSince is when the first of the latest run of failed calls was
	// sent; zero after a call that was answered.
	FailingSince time.Time
	// Failures counts that run.
	Failures int
	// NotServingSince is since when the server has answered that its database
	// does not serve; zero while it does.
	NotServingSince time.Time
	// Refused is true when the last failure came back before its deadline, as a
	// closed port does.
	Refused bool
}

// FailureThresholds say how much silence makes a server suspect.
type FailureThresholds struct {
	// UnresponsiveFor is how long calls must have gone unanswered.
	UnresponsiveFor time.Duration
	// Refusals is how many failures in a row suffice when they come at once.
	Refusals int
}

// Failed tells whether the server counts as failed at now: it does not answer, or
// its database does not serve.
func (s Observation) Failed(now time.Time, limits FailureThresholds) bool {
	if s.FailingSince.IsZero() {
		return !s.NotServingSince.IsZero() && now.Sub(s.NotServingSince) >= limits.UnresponsiveFor
	}
	if s.Refused && s.Failures >= limits.Refusals {
		return true
	}
	return now.Sub(s.FailingSince) >= limits.UnresponsiveFor
}

// Live tells whether the last call to the server was answered.
func (s Observation) Live() bool { return s.Answered && s.FailingSince.IsZero() }

// Condition is the state of a group in the eyes of one observer.
type Condition uint8

// The conditions.
const (
	// Unsettled means too little is known yet to judge.
	Unsettled Condition = iota
	// Healthy means that a primary works in a term that is not superseded.
	Healthy
	// Headless means that the group needs a primary and a majority can answer.
	Headless
	// Minority means that the group seems to need a primary, but that fewer
	// than a majority of its servers answer here.
	Minority
)

// String returns the name of the condition in lower case.
func (c Condition) String() string {
	return [...]string{"unsettled", "healthy", "headless", "minority"}[c]
}

// Assessment is the outcome of Assess.
type Assessment struct {
	Condition Condition
	// Primary is the server of the highest known primary's term, if any; it may
	// have failed.
	Primary Server
	// Term is that primary's term.
	Term uint64
	// Suspects are the servers that count as failed.
	Suspects []string
}

// Assess judges a group by what one observer sees. knownTerm and knownPrimary are
// the latest primary learned by whatever way; a server that calls itself primary
// of a lower term is not one. A stalled primary, whose log reaches no majority,
// counts as failed.
func Assess(sights []Observation, knownTerm uint64, knownPrimary string, stalled bool, now time.Time, limits FailureThresholds) Assessment {
	result := Assessment{Term: knownTerm}
	primary := highestPrimary(sights, knownTerm, knownPrimary)
	if primary != nil {
		result.Primary, result.Term = primary.Server, max(knownTerm, primary.Status.PromisedTerm)
	}
	c := counts{size: len(sights), superseding: superseding(sights, result.Term)}
	for _, sight := range sights {
		failed := sight.Failed(now, limits)
		if failed {
			result.Suspects = append(result.Suspects, sight.Server.Endpoint)
		}
		switch {
		case sight.Live():
			c.live++
		case failed:
			c.failed++
		default:
			c.undecided++
		}
	}
	result.Condition = c.judge(stateOf(primary, c.undecided, result.Term, stalled, now, limits))
	return result
}

// primaryState is the state of the primary alone.
type primaryState uint8

const (
	primaryGone    primaryState = iota // failed, stalled, demoted or never known
	primaryWorks                       // answers, serves, and is still the primary
	primaryUnknown                     // neither of the two for long enough
)

// stateOf judges the primary. While none is known, each of the undecided servers,
// which neither answer nor count as failed yet, may be it.
func stateOf(primary *Observation, undecided int, term uint64, stalled bool, now time.Time, limits FailureThresholds) primaryState {
	switch {
	case primary == nil && undecided > 0:
		return primaryUnknown
	case primary == nil || stalled || primary.Failed(now, limits) || demoted(primary, term):
		return primaryGone
	case primary.Live() && primary.Status.Serving:
		return primaryWorks
	default:
		return primaryUnknown
	}
}

// counts are numbers of servers of one group. Each one is live, failed or, while
// it may still answer in time, undecided.
type counts struct{ size, live, failed, undecided, superseding int }

// judge derives the group's condition. A primary that works is of no use where a
// majority cannot be asked to confirm its commits.
func (c counts) judge(primary primaryState) Condition {
	majority := Majority(c.size)
	switch {
	case c.live+c.undecided < majority:
		return Minority
	case primary == primaryWorks && c.superseding < majority:
		return Healthy
	case primary == primaryUnknown:
		return Unsettled
	case c.live >= majority:
		return Headless
	default:
		return Unsettled
	}
}

// demoted tells whether the server answers and is not the primary of term.
func demoted(s *Observation, term uint64) bool {
	return s.Live() && (!s.Status.Primary || s.Status.PromisedTerm < term)
}

// superseding counts the servers that promised a term above term. They confirm
// nothing of it any more.
func superseding(sights []Observation, term uint64) int {
	n := 0
	for _, sight := range sights {
		if sight.Answered && sight.Status.PromisedTerm > term {
			n++
		}
	}
	return n
}

// highestPrimary returns the sight of the primary of the highest term, from what
// servers say of themselves and from what is known otherwise.
func highestPrimary(sights []Observation, knownTerm uint64, knownPrimary string) *Observation {
	var best *Observation
	term := knownTerm
	for i := range sights {
		sight := &sights[i]
		if sight.Server.Endpoint == knownPrimary && knownPrimary != "" && best == nil {
			best = sight
		}
		if sight.Answered && sight.Status.Primary && sight.Status.PromisedTerm >= term && sight.Status.PromisedTerm > 0 {
			if sight.Status.PromisedTerm > term || sight.Server.Endpoint == knownPrimary || knownPrimary == "" {
				best, term = sight, sight.Status.PromisedTerm
			}
		}
	}
	return best
}
