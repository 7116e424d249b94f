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
		return s.Answered && !s.Status.Serving
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
// of a lower term is not one.
func Assess(sights []Sight, knownTerm uint64, knownPrimary string, now time.Time, limits Limits) Assessment {
	result := Assessment{Term: knownTerm}
	primary := highestPrimary(sights, knownTerm, knownPrimary)
	if primary != nil {
		result.Primary, result.Term = primary.Server, max(knownTerm, primary.Status.PromisedTerm)
	}
	live, failed := 0, 0
	for _, sight := range sights {
		if sight.Live() {
			live++
		}
		if sight.Failed(now, limits) {
			failed++
			result.Suspects = append(result.Suspects, sight.Server.Endpoint)
		}
	}
	result.Condition = judge(primary, sights, live, failed, result.Term, now, limits)
	return result
}

func judge(primary *Sight, sights []Sight, live, failed int, term uint64, now time.Time, limits Limits) Condition {
	majority := Majority(len(sights))
	works := primary != nil && primary.Live() && primary.Status.Serving &&
		primary.Status.Primary && primary.Status.PromisedTerm >= term
	switch {
	case works && superseding(sights, term) < majority:
		return Healthy
	case primary != nil && !works && !primary.Failed(now, limits) && !demoted(primary, term):
		return Unsettled
	case live >= majority:
		return Headless
	case live+failed < len(sights):
		return Unsettled
	default:
		return Minority
	}
}

// demoted tells whether the server answers and is not the primary of term.
func demoted(s *Sight, term uint64) bool {
	return s.Live() && (!s.Status.Primary || s.Status.PromisedTerm < term)
}

// superseding counts the servers that promised a term above term. They confirm
// nothing of it any more.
func superseding(sights []Sight, term uint64) int {
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
func highestPrimary(sights []Sight, knownTerm uint64, knownPrimary string) *Sight {
	var best *Sight
	term := knownTerm
	for i := range sights {
		sight := &sights[i]
		if sight.Server.Endpoint == knownPrimary && best == nil {
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
