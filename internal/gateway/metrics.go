package gateway

import (
	"expvar"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// counters holds the gateway's metrics.
type counters struct {
	loginsRefused, unconfirmed, retries, superseded, readsVerified, readsBehind *expvar.Int
	// Executed statements, by class and by where they ran.
	replicaReads, primaryReads, writes *expvar.Int
	// refused counts the errors that the proxy itself reported, by verdict.
	refused *expvar.Map
}

func newCounters(set *metrics.Set, s *Server) counters {
	set.Gauge("gateway_callers", func() any { return s.callers.count() })
	set.Gauge("gateway_waiting_for_primary", func() any { return s.waitingForPrimary.Load() })
	return counters{
		loginsRefused: set.Counter("gateway_logins_refused_total"),
		unconfirmed:   set.Counter("gateway_commits_unconfirmed_total"),
		retries:       set.Counter("gateway_retries_total"),
		superseded:    set.Counter("gateway_floors_superseded_total"),
		readsVerified: set.Counter("gateway_reads_verified_total"),
		readsBehind:   set.Counter("gateway_reads_behind_total"),
		replicaReads:  set.Counter("gateway_replica_reads_total"),
		primaryReads:  set.Counter("gateway_primary_reads_total"),
		writes:        set.Counter("gateway_writes_total"),
		refused:       set.Labelled("gateway_errors_total"),
	}
}
