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
	// retryFailing is how often a failing endpoint is tried again.
	retryFailing = 150 * time.Millisecond
	// failingWeight is the weight of the latest statement in the part of an endpoint's
	// statements that fail: a few are enough to tell, one is not.
	failingWeight = 0.15
	// failingHalfLife is how fast that part is forgotten while an endpoint is avoided,
	// so that it gets work again by degrees.
	failingHalfLife = 2 * time.Second
)

// Health tells from real traffic how the endpoints answer.
type Health struct {
	clock lease.Clock

	mu        sync.Mutex
	endpoints map[string]*condition // guarded by mu
}

// condition is one endpoint's.
type condition struct {
	lastAnswer   time.Duration
	failingSince time.Duration // 0 while it answers
	triedAt      time.Duration
	latency      time.Duration // mean of the statements
	failing      float64       // part of the statements that fail, as of failingAt
	failingAt    time.Duration
	nextUse      uint64
	underWay     map[uint64]time.Duration // start of each statement
}

// NewHealth returns a Health that knows nothing.
func NewHealth(clock lease.Clock) *Health {
	return &Health{clock: clock, endpoints: make(map[string]*condition)}
}

// of returns an endpoint's condition. The caller holds mu.
func (h *Health) of(endpoint string) *condition {
	c, ok := h.endpoints[endpoint]
	if !ok {
		c = &condition{latency: initialLatency, underWay: make(map[uint64]time.Duration)}
		h.endpoints[endpoint] = c
	}
	return c
}

// begin notes a statement; the function returned notes its end: err when there was no
// complete answer, and whether the answer was that the endpoint cannot serve.
func (h *Health) begin(endpoint string) func(err error, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(endpoint)
	c.nextUse++
	use, began := c.nextUse, h.clock()
	c.underWay[use] = began
	return func(err error, failed bool) {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(c.underWay, use)
		c.judge(err != nil || failed, h.clock())
		if err != nil {
			h.fail(c)
			return
		}
		now := h.clock()
		c.latency += time.Duration(latencyWeight * float64(now-began-c.latency))
		c.lastAnswer, c.failingSince = now, 0
	}
}

// judge counts a statement into the part of those that fail.
func (c *condition) judge(failed bool, now time.Duration) {
	c.failing *= math.Exp2(-(now - c.failingAt).Seconds() / failingHalfLife.Seconds())
	c.failingAt = now
	outcome := 0.0
	if failed {
		outcome = 1
	}
	c.failing += failingWeight * (outcome - c.failing)
}

// fail notes a failure. The caller holds mu.
func (h *Health) fail(c *condition) {
	now := h.clock()
	c.triedAt = now
	if c.failingSince == 0 {
		c.failingSince = now
	}
}

// reached notes the outcome of opening a connection.
func (h *Health) reached(endpoint string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(endpoint)
	if err != nil {
		h.fail(c)
		return
	}
	c.lastAnswer, c.failingSince = h.clock(), 0
}

// UnresponsiveFor is how long the endpoint has failed to answer, 0 while it answers or
// has nothing to answer.
func (h *Health) UnresponsiveFor(endpoint string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.endpoints[endpoint]
	if !ok {
		return 0
	}
	now := h.clock()
	if c.failingSince != 0 {
		return now - c.failingSince
	}
	var silent time.Duration
	for _, began := range c.underWay {
		silent = max(silent, now-max(began, c.lastAnswer))
	}
	return silent
}

// AnsweredWithin tells whether the endpoint has answered in the last d.
func (h *Health) AnsweredWithin(endpoint string, d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.endpoints[endpoint]
	return ok && c.lastAnswer > 0 && h.clock()-c.lastAnswer < d
}

// Usable tells whether to send statements there that could go elsewhere. An
// endpoint that fails is tried again now and then.
func (h *Health) Usable(endpoint string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := h.endpoints[endpoint]
	if !ok || c.failingSince == 0 {
		return true
	}
	now := h.clock()
	if now-c.triedAt < retryFailing {
		return false
	}
	c.triedAt = now
	return true
}

// ObserveViaOwner notes a statement that was answered over a connection of another instance.
// It says nothing of whether this instance reaches the endpoint.
func (h *Health) ObserveViaOwner(endpoint string, took time.Duration, failed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(endpoint)
	c.latency += time.Duration(latencyWeight * float64(took-c.latency))
	c.judge(failed, h.clock())
}

// Load is what an endpoint's statements of this instance show.
type Load struct {
	// Latency is their mean.
	Latency time.Duration
	// InFlight is how many have no answer yet.
	InFlight int
	// FailureRate is the part of the latest that failed, 0 to 1.
	FailureRate float64
}

// Load returns the endpoint's load.
func (h *Health) Load(endpoint string) Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.of(endpoint)
	faded := math.Exp2(-(h.clock() - c.failingAt).Seconds() / failingHalfLife.Seconds())
	return Load{Latency: c.latency, InFlight: len(c.underWay), FailureRate: c.failing * faded}
}
