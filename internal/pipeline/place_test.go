package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// plan is a service of a primary p and two replicas, all at rest, seen from the
// failure domain of p.
func plan() readPlan {
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	return readPlan{
		endpoints: []catalog.Endpoint{
			{ID: "p", FailureDomain: "a"}, {ID: "r1", FailureDomain: "a"}, {ID: "r2", FailureDomain: "b"},
		},
		primary: "p", after: position.Position{Term: 1, Offset: 5}, afterKnown: true, domain: "a",
		usable: always, behind: never, idle: always,
		load: func(string) backend.Load { return backend.Load{Latency: 20 * time.Millisecond} },
	}
}

func ids(list []candidate) []string {
	var names []string
	for _, c := range list {
		names = append(names, c.endpoint.ID)
	}
	return names
}

// TestWhereReadsGo names the load that each rule answers.
func TestWhereReadsGo(t *testing.T) {
	for _, c := range []struct {
		pattern string
		change  func(*readPlan)
		want    []string
	}{
		{"a quiet day: the near replica first, the primary last", func(*readPlan) {}, []string{"r1", "r2", "p"}},
		{"one replica is busy", func(p *readPlan) {
			p.load = func(id string) backend.Load {
				if id == "r1" {
					return backend.Load{Latency: 40 * time.Millisecond, InFlight: 2}
				}
				return backend.Load{Latency: 20 * time.Millisecond}
			}
		}, []string{"r2", "p", "r1"}},
		{"a replica fails part of its statements though it answers", func(p *readPlan) {
			p.load = func(id string) backend.Load {
				load := backend.Load{Latency: 20 * time.Millisecond}
				if id == "r1" {
					load.FailureRate = 0.4
				}
				return load
			}
		}, []string{"r2", "p", "r1"}},
		{"few connections: one that is open beats one that has to be opened", func(p *readPlan) {
			p.idle = func(id string) bool { return id == "r2" }
		}, []string{"r2", "r1", "p"}},
		{"replicas lag", func(p *readPlan) { p.behind = func(id string) bool { return id != "p" } }, []string{"p"}},
		{"nothing proves how old replicas may be", func(p *readPlan) { p.afterKnown = false }, []string{"p"}},
		{"the primary is being replaced: replicas go on", func(p *readPlan) { p.primary = "" }, []string{"p", "r1", "r2"}},
		{"an endpoint is leaving", func(p *readPlan) { p.endpoints[1].Draining = true }, []string{"r2", "p"}},
		{"an endpoint fails", func(p *readPlan) { p.usable = func(id string) bool { return id != "r1" } }, []string{"r2", "p"}},
		{"it has been tried there", func(p *readPlan) { p.tried = []string{"r1", "r2"} }, []string{"p"}},
	} {
		t.Run(c.pattern, func(t *testing.T) {
			p := plan()
			c.change(&p)
			list := p.candidates()
			require.Equal(t, c.want, ids(list))
			for _, candidate := range list {
				if candidate.endpoint.ID != p.primary {
					require.Equal(t, p.after, candidate.after, "a read at a replica without its position")
				}
			}
		})
	}
}

// TestIndexCoversWhatItMust: the oldest position within the bound, never one that was
// asked for before it.
func TestIndexCoversWhatItMust(t *testing.T) {
	f := newFreshness()
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	f.add("db", at(1000), position.Position{Term: 1, Offset: 1})
	f.add("db", at(2000), position.Position{Term: 1, Offset: 2})
	f.add("db", at(2010), position.Position{Term: 1, Offset: 3}) // too close to keep
	p, ok := f.within("db", at(900))
	require.True(t, ok)
	require.Equal(t, uint64(1), p.Offset)
	p, ok = f.within("db", at(1500))
	require.True(t, ok)
	require.Equal(t, uint64(2), p.Offset)
	_, ok = f.within("db", at(2005))
	require.False(t, ok)
	_, ok = f.within("other", 0)
	require.False(t, ok)
}

func TestReplicaThatLackedAPositionIsPassedOver(t *testing.T) {
	f := newFreshness()
	lacked := position.Position{Term: 1, Offset: 5}
	f.noteBehind("r1", lacked, time.Second)
	require.True(t, f.isBehind("r1", lacked, time.Second+behindLife/2))
	require.False(t, f.isBehind("r1", position.Position{Term: 1, Offset: 4}, time.Second+behindLife/2))
	require.False(t, f.isBehind("r1", lacked, time.Second+behindLife))
}
