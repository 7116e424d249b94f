package group

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/verdict"
)

var (
	servers   = []string{"a", "b", "c"}
	instances = []string{"i1", "i2", "i3"}
)

// run starts a group of three servers and three instances inside a bubble.
func run(t *testing.T, body func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, servers...)
		stop := w.start(instances...)
		defer stop()
		body(t, w)
	})
}

func TestFirstPrimaryIsElectedAndConfirms(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		group := w.settled("i1")
		require.Equal(t, group.Primary, w.await("i2", 0).Primary)
		p, ok := w.write(group.Primary)
		require.True(t, ok)
		require.NoError(t, w.nodes["i2"].Confirm(t.Context(), testService, p))
		index, err := w.nodes["i3"].ReadIndex(t.Context(), testService)
		require.NoError(t, err)
		require.Equal(t, p, index)
	})
}

func TestPrimaryDeathKeepsAcknowledgedWrites(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		first := w.settled("i1")
		p, _ := w.write(first.Primary)
		require.NoError(t, w.nodes["i1"].Confirm(t.Context(), testService, p))
		w.change(func() { w.servers[first.Primary].up = false })
		for _, instance := range instances {
			second := w.await(instance, first.Term)
			require.Greater(t, second.Term, first.Term)
			require.NotEqual(t, first.Primary, second.Primary)
			require.True(t, w.servers[second.Primary].history().Contains(p))
		}
	})
}

func TestConfirmSaysMayHaveRun(t *testing.T) {
	const deadline = 30 * time.Second
	cases := map[string]struct {
		fault  func(w *world, primary string)
		atOnce bool
	}{
		"replicas down until the deadline": {fault: func(w *world, primary string) { w.down(w.others(primary)...) }},
		"log reaches no replica":           {fault: func(w *world, primary string) { w.muteLog(primary) }, atOnce: true},
		"primary dies with the only copy": {fault: func(w *world, primary string) {
			w.muteLog(primary)
			time.AfterFunc(50*time.Millisecond, func() { w.down(primary) })
		}, atOnce: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			run(t, func(t *testing.T, w *world) {
				group := w.settled("i1")
				tc.fault(w, group.Primary)
				p, ok := w.write(group.Primary)
				require.True(t, ok)
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				began := time.Now()
				err := w.nodes["i1"].Confirm(ctx, testService, p)
				var verdictErr *verdict.Error
				require.ErrorAs(t, err, &verdictErr)
				require.Equal(t, verdict.MayHaveRun, verdictErr.Verdict)
				require.Equal(t, verdict.CodeCompletionUnknown, verdictErr.Code)
				require.Equal(t, tc.atOnce, time.Since(began) < deadline, "superseded is told at once")
			})
		})
	}
}

func TestUnknownServiceIsNotRun(t *testing.T) {
	run(t, func(t *testing.T, w *world) {
		_, err := w.nodes["i1"].AwaitPrimary(t.Context(), "nowhere", 0)
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		_, err = w.nodes["i1"].ReadIndex(t.Context(), "nowhere")
		require.Equal(t, verdict.NotRun, verdict.Of(err))
		require.Equal(t, verdict.MayHaveRun, verdict.Of(w.nodes["i1"].Confirm(t.Context(), "nowhere", position.Position{})))
	})
}

// TestHealthyGroupIsLeftAlone writes for a while and looks for calls that only
// broken groups need, with and without room for all samples.
func TestHealthyGroupIsLeftAlone(t *testing.T) {
	for name, callsPerSecond := range map[string]float64{"all samples fit": 100, "few samples fit": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, servers...)
				w.adjust = func(cfg *Config) { cfg.ObserverCallsPerSecond = callsPerSecond }
				defer w.start(instances...)()
				group := w.settled("i1")
				count := func() (calls, follows, elections int64) {
					for _, node := range w.nodes {
						calls += node.meters.statusCalls.Value()
						follows += node.meters.follows.Value()
						elections += node.meters.elections.Value()
					}
					return calls, follows, elections
				}
				callsBefore, follows, elections := count()
				const seconds = 30
				for range seconds * 100 {
					_, ok := w.write(group.Primary)
					require.True(t, ok)
					time.Sleep(10 * time.Millisecond)
				}
				calls, followsAfter, electionsAfter := count()
				require.Equal(t, follows, followsAfter)
				require.Equal(t, elections, electionsAfter)
				require.LessOrEqual(t, float64(calls-callsBefore), 1.15*callsPerSecond*seconds*float64(len(instances)))
			})
		})
	}
}
