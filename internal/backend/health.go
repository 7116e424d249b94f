package backend

import (
	"math"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

const (
	// latencyWeight is the weight of the latest statement in an endpoint's moving average
	// of the latency, which thus covers about the last ten statements.
	latencyWeight = 0.1
	// initialLatency is the assumed latency of an endpoint that was never used.
	initialLatency = 20 * time.Millisecond
	// failingRetryInterval is the interval between retries of a failing endpoint.
	failingRetryInterval = 150 * time.Millisecond
	// failureWeight is the weight of the latest statement in an endpoint's failure rate. A
	// few failures raise the rate noticeably, a single one does not.
	failureWeight = 0.15
	// failureHalfLife is the half-life of the failure rate, so that an endpoint that is
	// avoided gradually receives statements again.
	failureHalfLife = 2 * time.Second
	// suspicionLifetime is how long a failure counts as evidence that an endpoint is
	// unresponsive. Without a newer one, nothing is known of the endpoint any more.
	suspicionLifetime = 2 * time.Second
)

// Health tracks the health of endpoints from the statements sent to them.
type Health struct {
	clock lease.Clock

	mu        sync.Mutex
	endpoints map[string]*endpointHealth // guarded by mu
}

// endpointHealth is the observed health of one endpoint.
type endpointHealth struct {
	lastAnswer   time.Duration
	failingSince time.Duration // 0 while it answers
	lastFailure  time.Duration
	// connectFailedAt is when opening a connection last failed.
	connectFailedAt time.Duration
	lastTried       time.Duration // the latest failure or retry
	latency         time.Duration // moving average over the statements
	failureRate     float64       // fraction of the statements that fail, as of failureRateAt
	failureRateAt   time.Duration
	lastID          uint64
	inFlight        map[uint64]time.Duration // start time of each statement, by ID
}

// NewHealth returns a Health without observations.
func NewHealth(clock lease.Clock) *Health {
	return &Health{clock: clock, endpoints: make(map[string]*endpointHealth)}
}

// healthOf returns an endpoint's health, creating it if needed. The caller holds mu.
func (h *Health) healthOf(endpoint string) *endpointHealth {
	eh, ok := h.endpoints[endpoint]
	if !ok {
		eh = &endpointHealth{latency: initialLatency, inFlight: make(map[uint64]time.Duration)}
		h.endpoints[endpoint] = eh
	}
	return eh
}

// startStatement records the start of a statement. The returned function records its end:
// err is set if no complete answer was received, failed if the endpoint answered that it
// cannot serve the statement.
func (h *Health) startStatement(endpoint string) func(err error, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	eh.lastID++
	id, startedAt := eh.lastID, h.clock()
	eh.inFlight[id] = startedAt
	return func(err error, failed bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(eh.inFlight, id)
		eh.recordOutcome(err != nil || failed, h.clock())
		if err != nil {
			h.recordFailure(eh)
			return
		}
		now := h.clock()
		eh.latency += time.Duration(latencyWeight * float64(now-startedAt-eh.latency))
		eh.lastAnswer, eh.failingSince = now, 0
	}
}

// recordOutcome updates the failure rate with a statement's outcome.
func (eh *endpointHealth) recordOutcome(failed bool, now time.Duration) {
	eh.failureRate *= math.Exp2(-(now - eh.failureRateAt).Seconds() / failureHalfLife.Seconds())
	eh.failureRateAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	eh.failureRate += failureWeight * (outcome - eh.failureRate)
}

// recordFailure records that the endpoint did not answer. The caller holds mu.
func (h *Health) recordFailure(eh *endpointHealth) {
	now := h.clock()
	if !eh.suspected(now) {
		eh.failingSince = now
	}
	eh.lastTried, eh.lastFailure = now, now
}

// suspected reports whether a recent failure shows that the endpoint does not answer.
func (eh *endpointHealth) suspected(now time.Duration) bool {
	return eh.failingSince != 0 && now-eh.lastFailure <= suspicionLifetime
}

// ObserveProbe records the result of a probe of the endpoint: err is nil if it answered.
func (h *Health) ObserveProbe(endpoint string, err error) { h.recordDial(endpoint, err) }

// recordDial records the result of opening a connection: err is nil if the endpoint answered.
func (h *Health) recordDial(endpoint string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	if err != nil {
		h.recordFailure(eh)
		eh.connectFailedAt = eh.lastFailure
		return
	}
	eh.lastAnswer, eh.failingSince = h.clock(), 0
}

// UnresponsiveFor returns how long the endpoint has failed to answer: the time since the
// first failure after its latest answer, or how long statements in flight have gone without
// any answer. It is 0 while the endpoint answers, and while nothing is in flight unless an
// attempt has failed within suspicionLifetime.
func (h *Health) UnresponsiveFor(endpoint string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	if !ok {
		return 0
	}
	now := h.clock()
	if eh.suspected(now) {
		return now - eh.failingSince
	}
	var unresponsive time.Duration
	for _, startedAt := range eh.inFlight {
		unresponsive = max(unresponsive, now-max(startedAt, eh.lastAnswer))
	}
	return unresponsive
}

// AnsweredWithin reports whether the endpoint has answered within the last d.
func (h *Health) AnsweredWithin(endpoint string, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	return ok && eh.lastAnswer > 0 && h.clock()-eh.lastAnswer < d
}

// ConnectFailedWithin reports whether opening a connection to the endpoint has failed within
// the last d, without an answer since. Statements that fail on an open connection do not
// count: the connection may have gone silent while the endpoint is well.
func (h *Health) ConnectFailedWithin(endpoint string, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	return ok && eh.failingSince != 0 && eh.connectFailedAt > eh.lastAnswer && h.clock()-eh.connectFailedAt < d
}

// Usable reports whether to send statements to the endpoint that could go elsewhere. For a
// failing endpoint it returns true once per failingRetryInterval, so that one caller retries
// the endpoint.
func (h *Health) Usable(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	if !ok || eh.failingSince == 0 {
		return true
	}
	now := h.clock()
	if now-eh.lastTried < failingRetryInterval {
		return false
	}
	eh.lastTried = now
	return true
}

// ObserveViaOwner records a statement that was answered over a connection of the connection
// owner. It does not show whether this instance reaches the endpoint.
func (h *Health) ObserveViaOwner(endpoint string, took time.Duration, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	eh.latency += time.Duration(latencyWeight * float64(took-eh.latency))
	eh.recordOutcome(failed, h.clock())
}

// Load is the load of an endpoint as observed by this instance.
type Load struct {
	// Latency is the moving average of the statement latency.
	Latency time.Duration
	// InFlight is the number of statements in flight.
	InFlight int
	// FailureRate is the fraction of recent statements that failed, 0 to 1.
	FailureRate float64
}

// Load returns the endpoint's load.
func (h *Health) Load(endpoint string) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	decay := math.Exp2(-(h.clock() - eh.failureRateAt).Seconds() / failureHalfLife.Seconds())
	return Load{Latency: eh.latency, InFlight: len(eh.inFlight), FailureRate: eh.failureRate * decay}
}
