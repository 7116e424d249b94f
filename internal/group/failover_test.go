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
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// writeInterval is the pause between the writes of one caller.
const writeInterval = 50 * time.Millisecond

// callers write through instances, one goroutine each, and keep what was
// acknowledged.
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
func (c *callers) run(ctx context.Context, w *world, instance string) {
	node := w.nodes[instance]
	for ; ctx.Err() == nil; sleep(ctx, writeInterval) {
		group, err := node.AwaitPrimary(ctx, testService, 0)
		if err != nil {
			continue
		}
		w.mu.Lock()
		reaches := w.faults(instance, group.Primary, "write") == faultNone
		w.mu.Unlock()
		p, ok := position.Position{}, false
		if reaches {
			p, ok = w.write(group.Primary)
		}
		if !ok {
			node.ReportFailure(group.Primary, errRefused)
			continue
		}
		confirmCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		if node.Confirm(confirmCtx, testService, p) == nil {
			c.mu.Lock()
			c.acked = append(c.acked, p)
			c.mu.Unlock()
		}
		cancel()
	}
}

// scene is a group under load when its fault strikes.
type scene struct {
	*world
	first blackboard.Group
	// actor is the instance that acts first on the group.
	actor string
	rest  []string
}

// only lets a fault befall some calls; links are from an instance or a server to a
// server.
func (s *scene) only(f func(from, to, call string) fault) { s.change(func() { s.faults = f }) }

// dieAfter kills the actor once it has sent a number of calls of one kind. The
// last one takes effect or not; its answer never arrives.
func (s *scene) dieAfter(kind string, calls int, effect bool) {
	dead := false
	s.only(func(from, _, call string) fault {
		switch {
		case from != s.actor:
			return faultNone
		case dead:
			return faultSilent
		case call == kind:
			calls--
			dead = calls <= 0
			if dead && !effect {
				return faultSilent
			}
			if dead {
				return faultAnswerLost
			}
		}
		return faultNone
	})
	s.change(func() { s.peerCut = func(from, to string) bool { return dead && (from == s.actor || to == s.actor) } })
}

// loseAnswers lets the first answers to each kind of call get lost.
func (s *scene) loseAnswers(kind string, each int) {
	left := map[string]int{}
	s.only(func(from, to, call string) fault {
		key := from + to + call
		if _, known := left[key]; !known {
			left[key] = each
		}
		if call == kind && left[key] > 0 {
			left[key]--
			return faultAnswerLost
		}
		return faultNone
	})
}

// isolate cuts off a set of servers and instances from all others.
func (s *scene) isolate(names ...string) {
	crosses := func(a, b string) bool { return slices.Contains(names, a) != slices.Contains(names, b) }
	s.only(func(from, to, _ string) fault {
		if crosses(from, to) {
			return faultSilent
		}
		return faultNone
	})
	s.change(func() { s.peerCut = crosses })
}

func (s *scene) kill(id string) { s.down(id) }

func (s *scene) restart(id string) { s.change(func() { s.servers[id].up = true }) }

func TestFailover(t *testing.T) {
	const stays, moves = false, true
	cases := map[string]struct {
		instances int
		fault     func(s *scene)
		moves     bool
	}{
		"primary killed":                {fault: func(s *scene) { s.kill(s.first.Primary) }, moves: moves},
		"primary silent":                {fault: func(s *scene) { s.isolate(s.first.Primary) }, moves: moves},
		"primary on the minority side":  {fault: func(s *scene) { s.isolate(s.first.Primary, s.actor) }, moves: moves},
		"primary's log reaches nobody":  {fault: func(s *scene) { s.muteLog(s.first.Primary) }, moves: moves},
		"primary's database stops":      {fault: func(s *scene) { s.change(func() { s.servers[s.first.Primary].serving = false }) }, moves: moves},
		"one observer's link is broken": {fault: func(s *scene) { s.cutLink(s.actor, s.first.Primary) }, moves: stays},
		"a replica killed":              {fault: func(s *scene) { s.kill(s.others(s.first.Primary)[0]) }, moves: stays},
		"primary comes back": {fault: func(s *scene) {
			s.kill(s.first.Primary)
			time.Sleep(5 * time.Second)
			s.restart(s.first.Primary)
		}, moves: moves},
		"primary comes back in mid-promotion": {fault: func(s *scene) {
			s.kill(s.first.Primary)
			time.Sleep(300 * time.Millisecond)
			s.restart(s.first.Primary)
		}, moves: moves},
		"successor killed too, first one back": {fault: func(s *scene) {
			s.kill(s.first.Primary)
			second := s.await(s.rest[0], s.first.Term)
			s.kill(second.Primary)
			time.Sleep(3 * time.Second)
			s.restart(s.first.Primary)
		}, moves: moves},
		"successor killed during the promotion, back later": {fault: func(s *scene) {
			s.kill(s.first.Primary)
			time.Sleep(350 * time.Millisecond)
			other := s.others(s.first.Primary)[0]
			s.kill(other)
			time.Sleep(3 * time.Second)
			s.restart(other)
		}, moves: moves},
		"racing promoters that hear nothing of each other": {fault: func(s *scene) {
			s.change(func() { s.peerCut = func(string, string) bool { return true } })
			s.kill(s.first.Primary)
		}, moves: moves},
		"promoter dies before any promise": {fault: func(s *scene) { s.dieAfter("prepare", 1, false); s.kill(s.first.Primary) }, moves: moves},
		"promoter dies with one promise":   {fault: func(s *scene) { s.dieAfter("prepare", 1, true); s.kill(s.first.Primary) }, moves: moves},
		"promoter dies with all promises":  {fault: func(s *scene) { s.dieAfter("prepare", 3, true); s.kill(s.first.Primary) }, moves: moves},
		"promoter dies before promotion":   {fault: func(s *scene) { s.dieAfter("promote", 1, false); s.kill(s.first.Primary) }, moves: moves},
		"promoter dies after promotion":    {fault: func(s *scene) { s.dieAfter("promote", 1, true); s.kill(s.first.Primary) }, moves: moves},
		"promoter dies before following":   {fault: func(s *scene) { s.dieAfter("follow", 1, false); s.kill(s.first.Primary) }, moves: moves},
		"answers to prepare lost":          {fault: func(s *scene) { s.loseAnswers("prepare", 2); s.kill(s.first.Primary) }, moves: moves},
		"answers to promote lost":          {fault: func(s *scene) { s.loseAnswers("promote", 2); s.kill(s.first.Primary) }, moves: moves},
		"all answers to promote lost":      {fault: func(s *scene) { s.loseAnswers("promote", 1000); s.kill(s.first.Primary) }, moves: moves},
		"answers to follow lost":           {fault: func(s *scene) { s.loseAnswers("follow", 3); s.kill(s.first.Primary) }, moves: moves},
		"answers to confirm lost":          {fault: func(s *scene) { s.loseAnswers("confirm", 3) }, moves: stays},
		"paused promoter resumes": {fault: func(s *scene) {
			s.only(func(from, _, call string) fault {
				if from == s.actor && (call == "prepare" || call == "promote" || call == "follow") {
					return faultLateEffect
				}
				return faultNone
			})
			s.kill(s.first.Primary)
		}, moves: moves},
		"primary is leaving":   {fault: func(s *scene) { s.setLeaving(s.first.Primary) }, moves: moves},
		"a replica is leaving": {fault: func(s *scene) { s.setLeaving(s.others(s.first.Primary)[0]) }, moves: stays},
		"all observers dead": {instances: 6, fault: func(s *scene) {
			observers := s.observers()
			s.isolate(observers...)
			s.kill(s.first.Primary)
		}, moves: moves},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { failOver(t, max(3, tc.instances), tc.fault, tc.moves) })
		})
	}
}

// failOver strikes a group under load with a fault, waits until the group works
// again, and checks every acknowledged write.
func failOver(t *testing.T, size int, fault func(s *scene), moves bool) {
	names := []string{"i1", "i2", "i3", "i4", "i5", "i6"}[:size]
	w := newWorld(t, servers...)
	defer w.start(names...)()
	s := &scene{world: w, first: w.settled("i1")}
	s.actor = w.nodes["i1"].observers(testService)[0]
	s.rest = slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == s.actor })

	ctx, cancel := context.WithCancel(t.Context())
	var load callers
	var running sync.WaitGroup
	for _, name := range names {
		running.Go(func() { load.run(ctx, w, name) })
	}
	time.Sleep(time.Second)
	before := load.count()
	require.Positive(t, before)
	fault(s)
	time.Sleep(20 * time.Second)
	require.Greater(t, load.count(), before+100, "no writes are acknowledged any more")
	cancel()
	running.Wait()
	s.checkAcknowledged(&load, moves)
}

// checkAcknowledged looks for every acknowledged write at the latest primary.
func (s *scene) checkAcknowledged(load *callers, moves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last *server
	for _, server := range s.servers {
		if server.primary && (last == nil || server.promised > last.promised) {
			last = server
		}
	}
	require.Equal(s.t, moves, last.promised > s.first.Term, "term %d after %d", last.promised, s.first.Term)
	for _, p := range load.acked {
		require.True(s.t, uint64(len(last.log)) >= p.Offset && last.log[p.Offset-1] == p.Term, "%v is lost", p)
	}
	terms := make(map[string]bool)
	for _, promotion := range s.seen {
		term := promotion[:slices.Index([]byte(promotion), ':')]
		require.False(s.t, terms[term], "two primaries in term %s", term)
		terms[term] = true
	}
}

func (s *scene) observers() []string { return s.nodes["i1"].observers(testService) }

// cutLink breaks the link of one instance to one server.
func (s *scene) cutLink(instance, id string) {
	s.only(func(from, to, _ string) fault {
		if from == instance && to == id {
			return faultSilent
		}
		return faultNone
	})
}

// setLeaving changes the configuration of every instance.
func (s *scene) setLeaving(id string) {
	view := s.view()
	view.Endpoints[id].Endpoint.Leaving = true
	for _, node := range s.nodes {
		node.cfg.Board.Configuration.Set(view)
	}
}
