package group

import (
	"expvar"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// counters are the metrics of the controller. The microseconds of each phase are a
// sum; divided by the entries of the phase they give the mean.
type counters struct {
	statusCalls, statusFailures     *expvar.Int
	elections, electionsLost        *expvar.Int
	promotions, disagreements       *expvar.Int
	follows                         *expvar.Int
	confirms, confirmCalls          *expvar.Int
	confirmsSuperseded              *expvar.Int
	readIndexes, readIndexRounds    *expvar.Int
	phaseMicroseconds, phaseEntries *expvar.Map
}

func newCounters(set *metrics.Set) counters {
	return counters{
		statusCalls:        set.Counter("group_status_calls_total"),
		statusFailures:     set.Counter("group_status_failures_total"),
		elections:          set.Counter("group_elections_total"),
		electionsLost:      set.Counter("group_elections_lost_total"),
		promotions:         set.Counter("group_promotions_total"),
		disagreements:      set.Counter("group_disagreements_total"),
		follows:            set.Counter("group_follows_total"),
		confirms:           set.Counter("group_confirms_total"),
		confirmCalls:       set.Counter("group_confirm_calls_total"),
		confirmsSuperseded: set.Counter("group_confirms_superseded_total"),
		readIndexes:        set.Counter("group_read_indexes_total"),
		readIndexRounds:    set.Counter("group_read_index_rounds_total"),
		phaseMicroseconds:  set.Labelled("group_phase_microseconds_total"),
		phaseEntries:       set.Labelled("group_phase_entries_total"),
	}
}

// Timed phases of a failover.
const (
	phaseDetect  = "detect"
	phaseAgree   = "agree"
	phasePrepare = "prepare"
	phasePromote = "promote"
	phaseLearn   = "learn"
)

func (c *counters) addPhase(name string, took time.Duration) {
	c.phaseMicroseconds.Add(name, took.Microseconds())
	c.phaseEntries.Add(name, 1)
}
