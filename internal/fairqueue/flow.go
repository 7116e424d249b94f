package fairqueue

import (
	"container/heap"
	"time"
)

// waiter is one request in the queue.
type waiter struct {
	request  Request
	deadline time.Time // zero for none
	place    *place    // set before result gets nil
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
	// service is the mean time that a request of this organisation held its
	// place, in seconds.
	service mean
	index   int // in the heap of backlogged flows, -1 when not there
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
	flows   map[string]*flow
	backlog backlog
	virtual float64 // virtual time: start of the last granted request
	horizon float64 // no flow's finish is later
	running int
	waiting int
	bytes   int
	service mean // over all organisations, in seconds
}

func newScheduler() *scheduler { return &scheduler{flows: make(map[string]*flow)} }

// flowOf returns the flow of an organisation and brings its weight up to date.
func (s *scheduler) flowOf(organisation string, weight uint32) *flow {
	f, ok := s.flows[organisation]
	if !ok {
		s.sweep()
		f = &flow{organisation: organisation, index: -1, finish: s.virtual}
		s.flows[organisation] = f
	}
	f.weight = float64(max(weight, 1))
	return f
}

// sweep forgets idle flows that would start afresh anyway, once many are kept.
func (s *scheduler) sweep() {
	if len(s.flows) < idleFlows || len(s.flows) < 2*(len(s.backlog)+s.running) {
		return
	}
	for name, f := range s.flows {
		if f.idle() && f.finish <= s.virtual {
			delete(s.flows, name)
		}
	}
}

// grant charges the flow for one request that starts now.
func (s *scheduler) grant(f *flow) {
	start := max(s.virtual, f.finish)
	if len(f.waiting) > 0 {
		start = f.start
	}
	s.virtual = max(s.virtual, start)
	f.finish = start + s.expected(f)/f.weight
	s.horizon = max(s.horizon, f.finish)
	f.running++
	s.running++
}

// expected returns the service time, in seconds, that a flow is charged before
// the true one is known.
func (s *scheduler) expected(f *flow) float64 {
	if f.service.known() {
		return f.service.value
	}
	if s.service.known() {
		return s.service.value
	}
	return firstService.Seconds()
}

// done takes a finished request off and corrects the charge to the time that it
// truly held its place. charged is what expected returned when it was granted.
func (s *scheduler) done(f *flow, charged float64, held time.Duration) {
	f.running--
	s.running--
	correction := (held.Seconds() - charged) / f.weight
	f.finish += correction
	s.horizon = max(s.horizon, f.finish)
	if f.index >= 0 {
		f.start += correction
		heap.Fix(&s.backlog, f.index)
	}
	f.service.add(held.Seconds())
	s.service.add(held.Seconds())
	if s.running == 0 && s.waiting == 0 {
		s.virtual = s.horizon
	}
}

// push adds a request at the end of its flow.
func (s *scheduler) push(f *flow, w *waiter) {
	f.waiting = append(f.waiting, w)
	f.bytes += w.request.Bytes
	s.waiting++
	s.bytes += w.request.Bytes
	if f.index < 0 {
		f.start = max(s.virtual, f.finish)
		heap.Push(&s.backlog, f)
	}
}

// next takes the request whose turn it is, or nil when none waits.
func (s *scheduler) next() (*flow, *waiter) {
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
	var worst *flow
	for _, f := range s.backlog {
		if worst == nil || float64(measure(f))/f.weight > float64(measure(worst))/worst.weight {
			worst = f
		}
	}
	return worst
}

// weights sums the weights of the flows that wait, with f among them.
func (s *scheduler) weights(f *flow) float64 {
	sum := 0.0
	for _, other := range s.backlog {
		sum += other.weight
	}
	if f.index < 0 {
		sum += f.weight
	}
	return sum
}

// wait estimates how long the next request of f would wait at a capacity.
func (s *scheduler) wait(f *flow, capacity int) time.Duration {
	if !s.service.known() || capacity <= 0 {
		return 0
	}
	own := float64(len(f.waiting) + 1)
	ahead := min(float64(s.waiting+1), own*s.weights(f)/f.weight)
	return time.Duration(ahead * s.service.value / float64(capacity) * float64(time.Second))
}
