package pipeline

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// newReadPlan returns a plan for a service with a primary p and two replicas, all without
// load, seen from the failure domain of p.
func newReadPlan() readPlan {
	never := func(string) bool { return false }
	always := func(string) bool { return true }
	return readPlan{
		endpoints: []catalog.Endpoint{
			{ID: "p", FailureDomain: "a"}, {ID: "r1", FailureDomain: "a"}, {ID: "r2", FailureDomain: "b"},
		},
		primary: "p", minPosition: position.Position{Term: 1, Offset: 5}, minPositionKnown: true, domain: "a",
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

// TestReadPlacement checks the order of the candidates under each kind of load or fault.
func TestReadPlacement(t *testing.T) {
	for _, c := range []struct {
		pattern string
		change  func(*readPlan)
		want    []string
	}{
		{"no load: the replica in the same failure domain first, the primary last", func(*readPlan) {}, []string{"r1", "r2", "p"}},
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
		{"an open connection is preferred to one that has to be opened", func(p *readPlan) {
			p.idle = func(id string) bool { return id == "r2" }
		}, []string{"r2", "r1", "p"}},
		{"replicas lag", func(p *readPlan) { p.behind = func(id string) bool { return id != "p" } }, []string{"p"}},
		{"the required position is unknown", func(p *readPlan) { p.minPositionKnown = false }, []string{"p"}},
		{"the primary is being replaced: replicas serve reads", func(p *readPlan) { p.primary = "" }, []string{"p", "r1", "r2"}},
		{"an endpoint is leaving", func(p *readPlan) { p.endpoints[1].Draining = true }, []string{"r2", "p"}},
		{"an endpoint is unusable", func(p *readPlan) { p.usable = func(id string) bool { return id != "r1" } }, []string{"r2", "p"}},
		{"the replicas have been tried", func(p *readPlan) { p.tried = []string{"r1", "r2"} }, []string{"p"}},
	} {
		t.Run(c.pattern, func(t *testing.T) {
			p := newReadPlan()
			c.change(&p)
			list := p.candidates()
			require.Equal(t, c.want, ids(list))
			for _, candidate := range list {
				if candidate.endpoint.ID != p.primary {
					require.Equal(t, p.minPosition, candidate.minPosition, "a read at a replica without its position")
				}
			}
		})
	}
}

// TestReadIndexWithinStalenessBound checks that the oldest read index within the bound is
// returned, and never one requested before the bound.
func TestReadIndexWithinStalenessBound(t *testing.T) {
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

func TestReplicaBehindIsSkipped(t *testing.T) {
	f := newFreshness()
	lacked := position.Position{Term: 1, Offset: 5}
	f.noteBehind("r1", lacked, time.Second)
	require.True(t, f.isBehind("r1", lacked, time.Second+behindTTL/2))
	require.False(t, f.isBehind("r1", position.Position{Term: 1, Offset: 4}, time.Second+behindTTL/2))
	require.False(t, f.isBehind("r1", lacked, time.Second+behindTTL))
}
