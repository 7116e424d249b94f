package follow

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
)

const (
	// initialBackoff and longestRetry bound the delay between two calls of one instance to a
	// store that fails. The longest one is how much later than the store's return an
	// instance may learn of it; several hundred instances then make as many calls a
	// second, each of which is paid for.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
)

var errBackingOff = trace.ConnectionProblem(nil, "the store does not serve this instance; it is tried again later")

// Outage is what the followers of one instance share while the store does not serve it:
// one of them tries again after an exponential delay, the others wait for its success.
type Outage struct {
	mu          sync.Mutex
	delays      *backoff.ExponentialBackOff // guarded by mu, as below
	failing     bool
	nextAttempt time.Duration
}

// NewOutage returns an Outage of a store that is taken to serve.
func NewOutage() *Outage {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	return &Outage{delays: delays}
}

// mayTry tells whether to call the store now. While it fails, whoever is told so has
// until the end of its timeout before another one is.
func (o *Outage) mayTry(now, timeout time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failing {
		return true
	}
	if now < o.nextAttempt {
		return false
	}
	o.nextAttempt = now + timeout
	return true
}

// recordResult notes the outcome of a call.
func (o *Outage) recordResult(err error, now time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		o.failing = false
		o.delays.Reset()
		return
	}
	o.failing = true
	o.nextAttempt = now + o.delays.NextBackOff()
}
