package fairqueue

import (
	"container/heap"
	"time"
)

// waiter is one request in the queue.
type waiter struct {
	request  Request
	deadline time.Time // zero for none
	grant    *grant    // set before result gets nil
	// result gets nil when the request is granted, or the refusal.
	result chan error
	// cancelled tells whether the caller has given up.
	cancelled func() bool
}

// flow is the state of one organisation. Its virtual times are in seconds of
// service divided by weight.
type flow struct {
	organisation string
	weight       float64
	waiting      []*waiter // oldest first
	bytes        int       // of all waiting
	running      int
	// start is the virtual start time of the oldest waiting request.
	start float64
	// finish is the virtual finish time of the last granted request.
	finish float64
	// serviceTime is the mean time that a request of this organisation held its
	// place, in seconds.
	serviceTime ewma
	index       int // in the heap of backlogged flows, -1 when not there
}

// idle tells whether nothing of the flow waits or runs.
func (f *flow) idle() bool { return len(f.waiting) == 0 && f.running == 0 }

// backlog is a heap of the flows with waiting requests, least start first.
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

// scheduler is the pure part of the queue: whose turn it is and who has to go.
type scheduler struct {
	flows       map[string]*flow
	backlog     backlog
	virtualTime float64 // virtual time: start of the last granted request
	maxFinish   float64 // no flow's finish is later
	running     int
	waiting     int
	bytes       int
	serviceTime ewma // over all organisations, in seconds
}

func newScheduler() *scheduler { return &scheduler{flows: make(map[string]*flow)} }

// flowOf returns the flow of an organisation and brings its weight up to date.
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

// pruneIdle forgets idle flows that would start afresh anyway, once many are kept.
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

// begin charges the flow for one request that starts now.
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

// expectedServiceTime returns the service time, in seconds, that a flow is charged before
// the true one is known.
func (s *scheduler) expectedServiceTime(f *flow) float64 {
	if f.serviceTime.hasSamples() {
		return f.serviceTime.value
	}
	if s.serviceTime.hasSamples() {
		return s.serviceTime.value
	}
	return initialServiceTime.Seconds()
}

// complete takes a finished request off and corrects the charge to the time that it
// truly held its place. charged is what expected returned when it was granted.
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

// push adds a request at the end of its flow.
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

// peek takes the request whose turn it is, or nil when none waits.
func (s *scheduler) peek() (*flow, *waiter) {
	if len(s.backlog) == 0 {
		return nil, nil
	}
	f := s.backlog[0]
	return f, f.waiting[0]
}

// remove takes the i-th waiting request off its flow.
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

// find returns the place of w in its flow, -1 when it no longer waits.
func (s *scheduler) find(f *flow, w *waiter) int {
	for i, other := range f.waiting {
		if other == w {
			return i
		}
	}
	return -1
}

// largest returns the flow that fills most of the waiting room for its weight,
// by the measure given.
func (s *scheduler) largest(measure func(*flow) int) *flow {
	var candidate *flow
	for _, f := range s.backlog {
		if candidate == nil || float64(measure(f))/f.weight > float64(measure(candidate))/candidate.weight {
			candidate = f
		}
	}
	return candidate
}

// backloggedWeight sums the weights of the flows that wait, with f among them.
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

// estimatedWait estimates how long the next request of f would wait at a capacity.
func (s *scheduler) estimatedWait(f *flow, capacity int) time.Duration {
	if !s.serviceTime.hasSamples() || capacity <= 0 {
		return 0
	}
	own := float64(len(f.waiting) + 1)
	ahead := min(float64(s.waiting+1), own*s.backloggedWeight(f)/f.weight)
	return time.Duration(ahead * s.serviceTime.value / float64(capacity) * float64(time.Second))
}
