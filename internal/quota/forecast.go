package quota

import "time"

const (
	// maxUnknownWait bounds the wait while it is not known whether other instances have
	// tokens. It allows for several rounds of borrowing.
	maxUnknownWait = 150 * time.Millisecond
	// maxRetryAfter bounds the time to retry after.
	maxRetryAfter = time.Second
	// targetShare is the fraction of the latency target that an operation may wait for a
	// token.
	targetShare = 0.25
)

// Request describes an operation that needs a token.
type Request struct {
	Organisation string
	// Priority orders waiting operations, 0 first.
	Priority int
	// TargetLatency is the latency target of the operation, 0 if it has none.
	TargetLatency time.Duration
	// Timeout bounds the operation, 0 if it has no timeout.
	Timeout time.Duration
}

// unknownWait returns the bound of the wait without evidence.
func (r Request) unknownWait() time.Duration {
	if r.Timeout > 0 {
		return min(r.Timeout, maxUnknownWait)
	}
	return maxUnknownWait
}

// maxWait returns the bound of the wait with evidence.
func (r Request) maxWait() time.Duration {
	if r.TargetLatency > 0 {
		return min(time.Duration(targetShare*float64(r.TargetLatency)), r.unknownWait())
	}
	return r.unknownWait()
}

// forecast holds what is known about the next token of a waiting operation.
type forecast struct {
	request Request
	waited  time.Duration
	// refill is the time until the instance's own bucket has a token for the operation.
	refill time.Duration
	// exhausted is true if no holder had enough tokens when all that respond were asked
	// repeatedly, and they are asked again only after nextRound.
	exhausted bool
	nextRound time.Duration
}

// next returns the time until the operation may get a token.
func (f forecast) next() time.Duration {
	if f.exhausted {
		return min(f.refill, f.nextRound)
	}
	return min(f.refill, initialBackoff)
}

// refuse reports whether the operation is refused: no token can come in its time, or it has
// waited for the longest time without evidence of that.
func (f forecast) refuse() bool {
	if f.waited >= f.request.unknownWait() {
		return true
	}
	return f.exhausted && f.next() > f.request.maxWait()-f.waited
}

// wait returns the time until the operation is decided on again.
func (f forecast) wait() time.Duration {
	return max(minWait, min(f.refill, f.request.unknownWait()-f.waited))
}

// backlog describes the operations of an organisation that an instance refuses.
type backlog struct {
	// refused is the number of operations refused recently.
	refused float64
	// rate is the number of tokens per second that the instance can expect.
	rate float64
}

// retryAfter returns the time to retry after for an operation that is refused. The times are
// spread over the refill of the backlog by random, a number in [0, 1): more urgent classes
// return first, and within a class those that have waited longest.
func (b backlog) retryAfter(f forecast, random float64) time.Duration {
	next := min(max(f.next(), minWait), maxRetryAfter/2)
	spread := maxRetryAfter - next
	if b.rate > 0 {
		spread = min(spread, time.Duration(min(1, (1+b.refused)/b.rate)*float64(time.Second)))
	}
	waited := min(1, float64(f.waited)/float64(maxUnknownWait))
	position := (float64(classOf(f.request.Priority)) + random*(1-waited/2)) / classes
	return next + time.Duration(position*float64(spread))
}
