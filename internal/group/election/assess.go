package election

import (
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Sight is what one observer knows of one server.
type Sight struct {
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

// Limits say how much silence makes a server suspect.
type Limits struct {
	// Silence is how long calls must have gone unanswered.
	Silence time.Duration
	// Refusals is how many failures in a row suffice when they come at once.
	Refusals int
}

// Failed tells whether the server counts as failed at now: it does not answer, or
// its database does not serve.
func (s Sight) Failed(now time.Time, limits Limits) bool {
	if s.FailingSince.IsZero() {
		return !s.NotServingSince.IsZero() && now.Sub(s.NotServingSince) >= limits.Silence
	}
	if s.Refused && s.Failures >= limits.Refusals {
		return true
	}
	return now.Sub(s.FailingSince) >= limits.Silence
}

// Live tells whether the last call to the server was answered.
func (s Sight) Live() bool { return s.Answered && s.FailingSince.IsZero() }

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
func Assess(observations []Sight, knownTerm uint64, knownPrimary string, stalled bool, now time.Time, limits Limits) Assessment {
	result := Assessment{Term: knownTerm}
	primary := highestPrimary(observations, knownTerm, knownPrimary)
	if primary != nil {
		result.Primary, result.Term = primary.Server, max(knownTerm, primary.Status.PromisedTerm)
	}
	c := serverCounts{size: len(observations), superseding: superseding(observations, result.Term)}
	for _, observation := range observations {
		failed := observation.Failed(now, limits)
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
	result.Condition = c.condition(primaryStateOf(primary, c.undecided, result.Term, stalled, now, limits))
	return result
}

// primaryState is the state of the primary alone.
type primaryState uint8

const (
	primaryUnavailable primaryState = iota // failed, stalled, demoted or never known
	primaryWorking                         // answers, serves, and is still the primary
	primaryUndecided                       // neither of the two for long enough
)

// primaryStateOf judges the primary. While none is known, each of the undecided servers,
// which neither answer nor count as failed yet, may be it.
func primaryStateOf(primary *Sight, undecided int, term uint64, stalled bool, now time.Time, limits Limits) primaryState {
	switch {
	case primary == nil && undecided > 0:
		return primaryUndecided
	case primary == nil || stalled || primary.Failed(now, limits) || demoted(primary, term):
		return primaryUnavailable
	case primary.Live() && primary.Status.Serving:
		return primaryWorking
	default:
		return primaryUndecided
	}
}

// serverCounts are numbers of servers of one group. Each one is live, failed or, while
// it may still answer in time, undecided.
type serverCounts struct{ size, live, failed, undecided, superseding int }

// condition derives the group's condition. A primary that works is of no use where a
// majority cannot be asked to confirm its commits.
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

// demoted tells whether the server answers and is not the primary of term.
func demoted(s *Sight, term uint64) bool {
	return s.Live() && (!s.Status.Primary || s.Status.PromisedTerm < term)
}

// superseding counts the servers that promised a term above term. They confirm
// nothing of it any more.
func superseding(observations []Sight, term uint64) int {
	n := 0
	for _, observation := range observations {
		if observation.Answered && observation.Status.PromisedTerm > term {
			n++
		}
	}
	return n
}

// highestPrimary returns the sight of the primary of the highest term, from what
// servers say of themselves and from what is known otherwise.
func highestPrimary(observations []Sight, knownTerm uint64, knownPrimary string) *Sight {
	var best *Sight
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
