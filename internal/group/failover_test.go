package group

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/pause"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// writeInterval is the interval between the writes of one caller.
const writeInterval = 50 * time.Millisecond

// callers simulates callers that write through the instances, in one goroutine each,
// and records the acknowledged positions.
type callers struct {
	mu    sync.Mutex
	acked []position.Position // guarded by mu
}

func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.acked)
}

// run writes through one instance until ctx ends.
func (c *callers) run(ctx context.Context, cl *cluster, instance string) {
	controller := cl.controllers[instance]
	for ; ctx.Err() == nil; pause.For(ctx, writeInterval) {
		group, err := controller.AwaitPrimary(ctx, testService, 0)
		if err != nil {
			continue
		}
		cl.mu.Lock()
		reaches := cl.faults(instance, group.Primary, "write") == faultNone
		cl.mu.Unlock()
		p, ok := position.Position{}, false
		if reaches {
			p, ok = cl.write(group.Primary)
		}
		if !ok {
			controller.ReportFailure(group.Primary, errRefused)
			continue
		}
		confirmCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		if controller.Confirm(confirmCtx, testService, p) == nil {
			c.mu.Lock()
			c.acked = append(c.acked, p)
			c.mu.Unlock()
		}
		cancel()
	}
}

// scenario is a group under load to which a fault is applied.
type scenario struct {
	*cluster
	initial blackboard.Group
	// firstObserver is the instance that acts first on the group.
	firstObserver  string
	otherInstances []string
}

// setFaults applies faults to calls by link and name; links are from an instance or a
// server to a server.
func (s *scenario) setFaults(f func(from, to, call string) fault) { s.update(func() { s.faults = f }) }

// crashAfter crashes firstObserver once it has sent a number of calls of one kind.
// The last call takes effect only if effect is set; its response is lost.
func (s *scenario) crashAfter(kind string, calls int, effect bool) {
	crashed := false
	s.setFaults(func(from, _, call string) fault {
		switch {
		case from != s.firstObserver:
			return faultNone
		case crashed:
			return faultHang
		case call == kind:
			calls--
			crashed = calls <= 0
			if crashed && !effect {
				return faultHang
			}
			if crashed {
				return faultResponseLost
			}
		}
		return faultNone
	})
	s.update(func() {
		s.peerCut = func(from, to string) bool { return crashed && (from == s.firstObserver || to == s.firstObserver) }
	})
}

// loseResponses loses the first responses to one kind of call on each link.
func (s *scenario) loseResponses(kind string, each int) {
	left := map[string]int{}
	s.setFaults(func(from, to, call string) fault {
		key := from + to + call
		if _, known := left[key]; !known {
			left[key] = each
		}
		if call == kind && left[key] > 0 {
			left[key]--
			return faultResponseLost
		}
		return faultNone
	})
}

// isolate cuts off a set of servers and instances from all others.
func (s *scenario) isolate(names ...string) {
	crosses := func(a, b string) bool { return slices.Contains(names, a) != slices.Contains(names, b) }
	s.setFaults(func(from, to, _ string) fault {
		if crosses(from, to) {
			return faultHang
		}
		return faultNone
	})
	s.update(func() { s.peerCut = crosses })
}

func (s *scenario) kill(id string) { s.down(id) }

func (s *scenario) restart(id string) { s.update(func() { s.servers[id].up = true }) }

func TestFailover(t *testing.T) {
	const kept, replaced = false, true
	cases := map[string]struct {
		instances int
		fault     func(s *scenario)
		replaced  bool
	}{
		"primary killed":                   {fault: func(s *scenario) { s.kill(s.initial.Primary) }, replaced: replaced},
		"primary unresponsive":             {fault: func(s *scenario) { s.isolate(s.initial.Primary) }, replaced: replaced},
		"primary on the minority side":     {fault: func(s *scenario) { s.isolate(s.initial.Primary, s.firstObserver) }, replaced: replaced},
		"primary's log reaches no replica": {fault: func(s *scenario) { s.blockLog(s.initial.Primary) }, replaced: replaced},
		"primary's database stops":         {fault: func(s *scenario) { s.update(func() { s.servers[s.initial.Primary].serving = false }) }, replaced: replaced},
		"one observer's link is broken":    {fault: func(s *scenario) { s.cutLink(s.firstObserver, s.initial.Primary) }, replaced: kept},
		"a replica killed":                 {fault: func(s *scenario) { s.kill(s.others(s.initial.Primary)[0]) }, replaced: kept},
		"primary comes back": {fault: func(s *scenario) {
			s.kill(s.initial.Primary)
			time.Sleep(5 * time.Second)
			s.restart(s.initial.Primary)
		}, replaced: replaced},
		"primary comes back during the promotion": {fault: func(s *scenario) {
			s.kill(s.initial.Primary)
			time.Sleep(300 * time.Millisecond)
			s.restart(s.initial.Primary)
		}, replaced: replaced},
		"successor killed too, first one back": {fault: func(s *scenario) {
			s.kill(s.initial.Primary)
			second := s.await(s.otherInstances[0], s.initial.Term)
			s.kill(second.Primary)
			time.Sleep(3 * time.Second)
			s.restart(s.initial.Primary)
		}, replaced: replaced},
		"successor killed during the promotion, back later": {fault: func(s *scenario) {
			s.kill(s.initial.Primary)
			time.Sleep(350 * time.Millisecond)
			other := s.others(s.initial.Primary)[0]
			s.kill(other)
			time.Sleep(3 * time.Second)
			s.restart(other)
		}, replaced: replaced},
		"competing proposers without contact": {fault: func(s *scenario) {
			s.update(func() { s.peerCut = func(string, string) bool { return true } })
			s.kill(s.initial.Primary)
		}, replaced: replaced},
		"proposer crashes before any promise": {fault: func(s *scenario) { s.crashAfter("prepare", 1, false); s.kill(s.initial.Primary) }, replaced: replaced},
		"proposer crashes with one promise":   {fault: func(s *scenario) { s.crashAfter("prepare", 1, true); s.kill(s.initial.Primary) }, replaced: replaced},
		"proposer crashes with all promises":  {fault: func(s *scenario) { s.crashAfter("prepare", 3, true); s.kill(s.initial.Primary) }, replaced: replaced},
		"proposer crashes before promotion":   {fault: func(s *scenario) { s.crashAfter("promote", 1, false); s.kill(s.initial.Primary) }, replaced: replaced},
		"proposer crashes after promotion":    {fault: func(s *scenario) { s.crashAfter("promote", 1, true); s.kill(s.initial.Primary) }, replaced: replaced},
		"proposer crashes before follow":      {fault: func(s *scenario) { s.crashAfter("follow", 1, false); s.kill(s.initial.Primary) }, replaced: replaced},
		"responses to prepare lost":           {fault: func(s *scenario) { s.loseResponses("prepare", 2); s.kill(s.initial.Primary) }, replaced: replaced},
		"responses to promote lost":           {fault: func(s *scenario) { s.loseResponses("promote", 2); s.kill(s.initial.Primary) }, replaced: replaced},
		"all responses to promote lost":       {fault: func(s *scenario) { s.loseResponses("promote", 1000); s.kill(s.initial.Primary) }, replaced: replaced},
		"responses to follow lost":            {fault: func(s *scenario) { s.loseResponses("follow", 3); s.kill(s.initial.Primary) }, replaced: replaced},
		"responses to confirm lost":           {fault: func(s *scenario) { s.loseResponses("confirm", 3) }, replaced: kept},
		"paused proposer resumes": {fault: func(s *scenario) {
			s.setFaults(func(from, _, call string) fault {
				if from == s.firstObserver && (call == "prepare" || call == "promote" || call == "follow") {
					return faultLateEffect
				}
				return faultNone
			})
			s.kill(s.initial.Primary)
		}, replaced: replaced},
		"primary is leaving":   {fault: func(s *scenario) { s.setLeaving(s.initial.Primary) }, replaced: replaced},
		"a replica is leaving": {fault: func(s *scenario) { s.setLeaving(s.others(s.initial.Primary)[0]) }, replaced: kept},
		"all observers failed": {instances: 6, fault: func(s *scenario) {
			observers := s.observers()
			s.isolate(observers...)
			s.kill(s.initial.Primary)
		}, replaced: replaced},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { failOver(t, max(3, tc.instances), tc.fault, tc.replaced) })
		})
	}
}

// failOver applies a fault to a group under load, waits until the group works again,
// and checks that no acknowledged write is lost.
func failOver(t *testing.T, instanceCount int, fault func(s *scenario), replaced bool) {
	names := []string{"i1", "i2", "i3", "i4", "i5", "i6"}[:instanceCount]
	cl := newCluster(t, servers...)
	defer cl.start(names...)()
	s := &scenario{cluster: cl, initial: cl.awaitStable("i1")}
	s.firstObserver = cl.controllers["i1"].observers(testService)[0]
	s.otherInstances = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == s.firstObserver })

	ctx, cancel := context.WithCancel(t.Context())
	var load callers
	var running sync.WaitGroup
	for _, name := range names {
		running.Go(func() { load.run(ctx, cl, name) })
	}
	time.Sleep(time.Second)
	before := load.count()
	require.Positive(t, before)
	fault(s)
	time.Sleep(20 * time.Second)
	require.Greater(t, load.count(), before+100, "writes are no longer acknowledged")
	cancel()
	running.Wait()
	s.checkAcknowledged(&load, replaced)
}

// checkAcknowledged checks that the latest primary has every acknowledged write.
func (s *scenario) checkAcknowledged(load *callers, replaced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last *server
	for _, server := range s.servers {
		if server.primary && (last == nil || server.promised > last.promised) {
			last = server
		}
	}
	require.Equal(s.t, replaced, last.promised > s.initial.Term, "term %d after %d", last.promised, s.initial.Term)
	for _, p := range load.acked {
		require.True(s.t, uint64(len(last.log)) >= p.Offset && last.log[p.Offset-1] == p.Term, "%v is lost", p)
	}
	terms := make(map[string]bool)
	for _, promotion := range s.promotions {
		term := promotion[:slices.Index([]byte(promotion), ':')]
		require.False(s.t, terms[term], "two primaries in term %s", term)
		terms[term] = true
	}
}

func (s *scenario) observers() []string { return s.controllers["i1"].observers(testService) }

// cutLink cuts the link of one instance to one server.
func (s *scenario) cutLink(instance, id string) {
	s.setFaults(func(from, to, _ string) fault {
		if from == instance && to == id {
			return faultHang
		}
		return faultNone
	})
}

// setLeaving marks a server as leaving in the configuration of every instance.
func (s *scenario) setLeaving(id string) {
	view := s.view()
	view.Endpoints[id].Endpoint.Leaving = true
	for _, controller := range s.controllers {
		controller.cfg.Board.Configuration.Set(view)
	}
}
