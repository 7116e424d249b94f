package backend

import (
	"math"
	"sync"
	"time"

	"github.com/hornbeamlock/hornbeamlock/internal/lease"
)

const (
	// latencyWeight is the weight of the latest statement in an endpoint's mean
	// latency: the last ten or so count.
	latencyWeight = 0.1
	// initialLatency stands for the latency of an endpoint that was never used.
	initialLatency = 20 * time.Millisecond
	// failingRetryInterval is how often a failing endpoint is tried again.
	failingRetryInterval = 150 * time.Millisecond
	// failureWeight is the weight of the latest statement in the part of an endpoint's
	// statements that fail: a few are enough to tell, one is not.
	failureWeight = 0.15
	// failureHalfLife is how fast that part is forgotten while an endpoint is avoided,
	// so that it gets work again by degrees.
	failureHalfLife = 2 * time.Second
)

// Health tells from real traffic how the endpoints answer.
type Health struct {
	clock lease.Clock

	mu        sync.Mutex
	endpoints map[string]*endpointHealth // guarded by mu
}

// endpointHealth is one endpoint's.
type endpointHealth struct {
	lastAnswer    time.Duration
	failingSince  time.Duration // 0 while it answers
	lastTried     time.Duration
	latency       time.Duration // mean of the statements
	failureRate   float64       // part of the statements that fail, as of failureRateAt
	failureRateAt time.Duration
	lastID        uint64
	inFlight      map[uint64]time.Duration // start of each statement
}

// NewHealth returns a Health that knows nothing.
func NewHealth(clock lease.Clock) *Health {
	return &Health{clock: clock, endpoints: make(map[string]*endpointHealth)}
}

// healthOf returns an endpoint's condition. The caller holds mu.
func (h *Health) healthOf(endpoint string) *endpointHealth {
	eh, ok := h.endpoints[endpoint]
	if !ok {
		eh = &endpointHealth{latency: initialLatency, inFlight: make(map[uint64]time.Duration)}
		h.endpoints[endpoint] = eh
	}
	return eh
}

// startStatement notes a statement; the function returned notes its end: err when there was no
// complete answer, and whether the answer was that the endpoint cannot serve.
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

// recordOutcome counts a statement into the part of those that fail.
func (eh *endpointHealth) recordOutcome(failed bool, now time.Duration) {
	eh.failureRate *= math.Exp2(-(now - eh.failureRateAt).Seconds() / failureHalfLife.Seconds())
	eh.failureRateAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	eh.failureRate += failureWeight * (outcome - eh.failureRate)
}

// recordFailure notes a failure. The caller holds mu.
func (h *Health) recordFailure(eh *endpointHealth) {
	now := h.clock()
	eh.lastTried = now
	if eh.failingSince == 0 {
		eh.failingSince = now
	}
}

// recordDial notes the outcome of opening a connection.
func (h *Health) recordDial(endpoint string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	if err != nil {
		h.recordFailure(eh)
		return
	}
	eh.lastAnswer, eh.failingSince = h.clock(), 0
}

// UnresponsiveFor is how long the endpoint has failed to answer, 0 while it answers or
// has nothing to answer.
func (h *Health) UnresponsiveFor(endpoint string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	if !ok {
		return 0
	}
	now := h.clock()
	if eh.failingSince != 0 {
		return now - eh.failingSince
	}
	var unresponsive time.Duration
	for _, startedAt := range eh.inFlight {
		unresponsive = max(unresponsive, now-max(startedAt, eh.lastAnswer))
	}
	return unresponsive
}

// AnsweredWithin tells whether the endpoint has answered in the last d.
func (h *Health) AnsweredWithin(endpoint string, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh, ok := h.endpoints[endpoint]
	return ok && eh.lastAnswer > 0 && h.clock()-eh.lastAnswer < d
}

// Usable tells whether to send statements there that could go elsewhere. An
// endpoint that fails is tried again now and then.
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

// Observe notes a statement that was answered over a connection of another instance.
// It says nothing of whether this instance reaches the endpoint.
func (h *Health) Observe(endpoint string, took time.Duration, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	eh.latency += time.Duration(latencyWeight * float64(took-eh.latency))
	eh.recordOutcome(failed, h.clock())
}

// Load is what an endpoint's statements of this instance show.
type Load struct {
	// Latency is their mean.
	Latency time.Duration
	// UnderWay is how many have no answer yet.
	UnderWay int
	// Failing is the part of the latest that failed, 0 to 1.
	Failing float64
}

// Load returns the endpoint's load.
func (h *Health) Load(endpoint string) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	eh := h.healthOf(endpoint)
	decay := math.Exp2(-(h.clock() - eh.failureRateAt).Seconds() / failureHalfLife.Seconds())
	return Load{Latency: eh.latency, UnderWay: len(eh.inFlight), Failing: eh.failureRate * decay}
}
