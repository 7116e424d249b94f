package fairqueue

import (
	"container/heap"
	"time"
)

// waiter is a waiting request.
type waiter struct {
	request  Request
	deadline time.Time // zero for none
	grant    *grant    // set before nil is sent to result
	// result receives nil when the request is granted, or the refusal.
	result chan error
	// cancelled reports whether the request's context has ended.
	cancelled func() bool
}

// flow is the scheduling state of one organisation. Its virtual times are service
// time in seconds divided by weight.
type flow struct {
	organisation string
	weight       float64
	waiting      []*waiter // oldest first
	bytes        int       // sum over waiting
	running      int
	// start is the virtual start time of the oldest waiting request.
	start float64
	// finish is the virtual finish time of the last granted request.
	finish float64
	// serviceTime is the mean time for which a request of this organisation holds
	// its slot, in seconds.
	serviceTime ewma
	index       int // in the backlog heap; -1 when not in it
}

// idle reports whether the flow has no waiting or running request.
func (f *flow) idle() bool { return len(f.waiting) == 0 && f.running == 0 }

// backlog is a heap of the flows with waiting requests, ordered by start.
type backlog []*flow

// Len implements heap.Interface.
func (b backlog) Len() int { return len(b) }

// Less implements heap.Interface.
func (b backlog) Less(i, j int) bool { return b[i].start < b[j].start }

// Swap implements heap.Interface.
func (b backlog) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}

// Push implements heap.Interface.
func (b *backlog) Push(x any) {
	f, _ := x.(*flow)
	f.index = len(*b)
	*b = append(*b, f)
}

// Pop implements heap.Interface.
func (b *backlog) Pop() any {
	last := len(*b) - 1
	f := (*b)[last]
	(*b)[last] = nil
	*b = (*b)[:last]
	f.index = -1
	return f
}

// scheduler implements start-time fair queueing, without locks, clocks or
// notifications: it picks the next request and the flow to evict from.
type scheduler struct {
	flows       map[string]*flow
	backlog     backlog
	virtualTime float64 // virtual start time of the last granted request
	maxFinish   float64 // upper bound of all flows' finish
	running     int
	waiting     int
	bytes       int
	serviceTime ewma // over all organisations, in seconds
}

func newScheduler() *scheduler { return &scheduler{flows: make(map[string]*flow)} }

// flowOf returns the flow of an organisation, created if necessary, and updates its
// weight.
func (s *scheduler) flowOf(organisation string, weight uint32) *flow {
	f, ok := s.flows[organisation]
	if !ok {
		s.pruneIdle()
		f = &flow{organisation: organisation, index: -1, finish: s.virtualTime}
		s.flows[organisation] = f
	}
	f.weight = float64(max(weight, 1))
	return f
}

// pruneIdle removes idle flows once there are many flows. It removes only those
// whose finish the virtual time has reached: a new flow would start at the same
// virtual time.
func (s *scheduler) pruneIdle() {
	if len(s.flows) < idleFlowThreshold || len(s.flows) < 2*(len(s.backlog)+s.running) {
		return
	}
	for name, f := range s.flows {
		if f.idle() && f.finish <= s.virtualTime {
			delete(s.flows, name)
		}
	}
}

// begin marks one request of the flow as running and charges it in advance.
func (s *scheduler) begin(f *flow) {
	start := max(s.virtualTime, f.finish)
	if len(f.waiting) > 0 {
		start = f.start
	}
	s.virtualTime = max(s.virtualTime, start)
	f.finish = start + s.expectedServiceTime(f)/f.weight
	s.maxFinish = max(s.maxFinish, f.finish)
	f.running++
	s.running++
}

// expectedServiceTime returns the service time in seconds that a flow is charged
// when a request is granted, before the actual one is known.
func (s *scheduler) expectedServiceTime(f *flow) float64 {
	if f.serviceTime.hasSamples() {
		return f.serviceTime.value
	}
	if s.serviceTime.hasSamples() {
		return s.serviceTime.value
	}
	return initialServiceTime.Seconds()
}

// complete marks a request as finished and corrects the charge to the time for which
// it held its slot. charged is the value of expectedServiceTime when it was granted.
func (s *scheduler) complete(f *flow, charged float64, held time.Duration) {
	f.running--
	s.running--
	correction := (held.Seconds() - charged) / f.weight
	f.finish += correction
	s.maxFinish = max(s.maxFinish, f.finish)
	if f.index >= 0 {
		f.start += correction
		heap.Fix(&s.backlog, f.index)
	}
	f.serviceTime.add(held.Seconds())
	s.serviceTime.add(held.Seconds())
	if s.running == 0 && s.waiting == 0 {
		s.virtualTime = s.maxFinish
	}
}

// push appends a waiting request to its flow.
func (s *scheduler) push(f *flow, w *waiter) {
	f.waiting = append(f.waiting, w)
	f.bytes += w.request.Bytes
	s.waiting++
	s.bytes += w.request.Bytes
	if f.index < 0 {
		f.start = max(s.virtualTime, f.finish)
		heap.Push(&s.backlog, f)
	}
}

// peek returns the next request and its flow, without removing it; nil when none
// waits.
func (s *scheduler) peek() (*flow, *waiter) {
	if len(s.backlog) == 0 {
		return nil, nil
	}
	f := s.backlog[0]
	return f, f.waiting[0]
}

// remove removes the i-th waiting request of the flow and returns it.
func (s *scheduler) remove(f *flow, i int) *waiter {
	w := f.waiting[i]
	f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
	f.bytes -= w.request.Bytes
	s.waiting--
	s.bytes -= w.request.Bytes
	switch {
	case len(f.waiting) == 0:
		heap.Remove(&s.backlog, f.index)
	case i == 0:
		f.start = max(f.start, f.finish)
		heap.Fix(&s.backlog, f.index)
	}
	return w
}

// find returns the index of w among the waiting requests of the flow; -1 when it no
// longer waits.
func (s *scheduler) find(f *flow, w *waiter) int {
	for i, other := range f.waiting {
		if other == w {
			return i
		}
	}
	return -1
}

// largest returns the backlogged flow with the largest measure in relation to its
// weight.
func (s *scheduler) largest(measure func(*flow) int) *flow {
	var candidate *flow
	for _, f := range s.backlog {
		if candidate == nil || float64(measure(f))/f.weight > float64(measure(candidate))/candidate.weight {
			candidate = f
		}
	}
	return candidate
}

// backloggedWeight returns the sum of the weights of f and of all flows with waiting
// requests.
func (s *scheduler) backloggedWeight(f *flow) float64 {
	sum := 0.0
	for _, other := range s.backlog {
		sum += other.weight
	}
	if f.index < 0 {
		sum += f.weight
	}
	return sum
}

// estimatedWait returns how long a new request of f would wait at the given
// capacity; 0 when that is unknown.
func (s *scheduler) estimatedWait(f *flow, capacity int) time.Duration {
	if !s.serviceTime.hasSamples() || capacity <= 0 {
		return 0
	}
	own := float64(len(f.waiting) + 1)
	ahead := min(float64(s.waiting+1), own*s.backloggedWeight(f)/f.weight)
	return time.Duration(ahead * s.serviceTime.value / float64(capacity) * float64(time.Second))
}
