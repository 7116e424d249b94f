package follow

import (
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
)

const (
	// initialBackoff and maxBackoff bound the delay between two calls of one instance to a
	// failing store. maxBackoff is also how late an instance may notice that the store
	// serves again. With several hundred instances it means as many calls a second, each
	// of which is billed.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = time.Second
)

var errBackingOff = trace.ConnectionProblem(nil, "the store does not serve this instance; it is tried again later")

// Outage is the retry state that the followers of one instance share while the store does
// not serve it: one of them retries after an exponential backoff, the others wait for its
// success.
type Outage struct {
	mu          sync.Mutex
	delays      *backoff.ExponentialBackOff // guarded by mu, as below
	failing     bool
	nextAttempt time.Duration
	failed      chan struct{}
}

// NewOutage returns an Outage for a store that is assumed to serve.
func NewOutage() *Outage {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval, delays.MaxInterval = initialBackoff, maxBackoff
	return &Outage{delays: delays, failed: make(chan struct{}, 1)}
}

// Failed returns a channel that receives a value when a call has failed.
func (o *Outage) Failed() <-chan struct{} { return o.failed }

// Failing reports whether the store did not serve the last call.
func (o *Outage) Failing() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failing
}

// mayTry reports whether the caller may call the store now. While the store fails, the
// next caller is allowed only after the timeout of the previous one.
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

// recordResult records the outcome of a call.
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
	select {
	case o.failed <- struct{}{}:
	default:
	}
}
