package pipeline

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

const (
	// RestorePeriod is the time after the end of an evacuation in which the share of the reads
	// that may go to the failure domain rises to all.
	RestorePeriod = 10 * time.Second
	// minRestoredShare is that share at the beginning, so that the endpoints begin to warm
	// their caches.
	minRestoredShare = 0.1
	// defaultTransactionGrace is the default of Config.TransactionGrace.
	defaultTransactionGrace = 3 * time.Second
	// evacuationRetryAfter is the retry delay suggested to callers whose primary is in an
	// evacuated failure domain or outside their home regions: the time of a planned
	// replacement.
	evacuationRetryAfter = 500 * time.Millisecond
)

// Labels of the refusals because of an evacuation.
const (
	evacuatedStatement   = "statement"
	evacuatedTransaction = "transaction"
)

// endpointsForRead returns the endpoints of the service that may serve a read now: those in
// the home regions. Endpoints of a failure domain whose evacuation has ended recently are left
// out of a part of the reads, if there are others.
func (s *Session) endpointsForRead(r catalog.Route, organisation string, now time.Duration) []catalog.Endpoint {
	registry := s.p.cfg.Registry()
	endpoints := registry.ByService[r.Service]
	if s.p.cfg.Configuration().HasHomeRegions {
		endpoints = slices.DeleteFunc(slices.Clone(endpoints), func(e catalog.Endpoint) bool { return !s.p.isHome(r, organisation, e) })
	}
	if len(registry.Restored) == 0 {
		return endpoints
	}
	isRestored := func(e catalog.Endpoint) bool { _, ok := registry.Restored[e.FailureDomain]; return ok }
	if !slices.ContainsFunc(endpoints, func(e catalog.Endpoint) bool { return e.TakesNewWork() && !isRestored(e) }) {
		return endpoints
	}
	return slices.DeleteFunc(slices.Clone(endpoints), func(e catalog.Endpoint) bool {
		return isRestored(e) && rand.Float64() >= restoredShare(now-registry.Restored[e.FailureDomain])
	})
}

// restoredShare returns the share of the reads that may go to a failure domain at a time after
// the end of its evacuation.
func restoredShare(after time.Duration) float64 {
	return max(minRestoredShare, after.Seconds()/RestorePeriod.Seconds())
}

// isHome reports whether requests of the organisation on the route may be sent to the endpoint.
func (p *Pipeline) isHome(r catalog.Route, organisation string, e catalog.Endpoint) bool {
	c := p.cfg.Configuration()
	return !c.HasHomeRegions || c.IsHome(r, organisation, p.cfg.Region(e.FailureDomain))
}

// checkEndpoint returns a refusal if the statement may not be sent to the endpoint, which is
// the primary or was chosen a while ago.
func (e *execution) checkEndpoint(r catalog.Route, organisation string, endpoint catalog.Endpoint) error {
	if !e.s.p.isHome(r, organisation, endpoint) {
		return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "no endpoint that can run the statement is in a home region").
			WithRetryAfter(evacuationRetryAfter)
	}
	if _, evacuated := e.s.p.cfg.Registry().Evacuated[endpoint.FailureDomain]; evacuated {
		e.s.p.requestLog.evacuated.Add(evacuatedStatement, 1)
		return verdict.New(verdict.NotRun, verdict.CodeCannotConnectNow, "the failure domain of the endpoint is evacuated").
			WithRetryAfter(evacuationRetryAfter)
	}
	return nil
}

// checkConnected returns a refusal if the statement may not be sent to the endpoint, now that
// there is a connection to it.
func (e *execution) checkConnected(ctx context.Context, r catalog.Route, organisation string, endpoint catalog.Endpoint, at attempt) error {
	if err := e.checkEndpoint(r, organisation, endpoint); err != nil {
		return err
	}
	return e.s.p.cfg.AdmitToEndpoint(ctx, endpoint, at.use != nil)
}

// checkTransaction returns a refusal, and rolls the transaction back without a message to its
// endpoint, if nothing may be sent on its connection: the failure domain of the endpoint was
// evacuated, or the endpoint warms up and has the statements that it may get now. The
// connection owner counts the statements that it sends.
func (e *execution) checkTransaction(ctx context.Context) error {
	if e.s.evacuationEndsTransaction() {
		return e.abortEvacuated()
	}
	if e.s.tx.conn == nil || e.s.tx.viaOwner {
		return nil
	}
	err := e.s.p.cfg.AdmitToEndpoint(ctx, e.s.tx.endpoint, true)
	if err == nil {
		return nil
	}
	e.s.failTransaction()
	if e.st.Kind == request.Commit {
		e.s.endTransaction()
	}
	return aborted("no statement of the transaction may be sent").WithCause(err)
}

// evacuationEndsTransaction reports whether nothing may be sent on the transaction's connection
// any more, because the failure domain of its endpoint was evacuated.
func (s *Session) evacuationEndsTransaction() bool {
	evacuated := s.p.cfg.Registry().Evacuated
	if len(evacuated) == 0 || s.tx.conn == nil {
		return false
	}
	since, ok := evacuated[s.tx.endpoint.FailureDomain]
	return ok && s.p.cfg.Clock()-since >= s.p.cfg.TransactionGrace
}

// abortEvacuated rolls the transaction back without a message to its endpoint, and ends it if
// the statement is a COMMIT.
func (e *execution) abortEvacuated() error {
	e.s.failTransaction()
	if e.st.Kind == request.Commit {
		e.s.endTransaction()
	}
	e.s.p.requestLog.evacuated.Add(evacuatedTransaction, 1)
	return aborted("the failure domain of the transaction's endpoint is evacuated")
}
