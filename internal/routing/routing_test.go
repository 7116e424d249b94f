package routing

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
	"github.com/hornbeamlock/hornbeamlock/internal/session"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

var now = time.Unix(1000, 0)

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

func floorAt(p position.Position) session.Floor {
	var f session.Floor
	f.RaiseWritten(p, now.Add(-time.Second))
	return f
}

// testInput returns a read in a group with a primary p and two replicas, "near" in the
// same failure domain and "far" in another one, in term 2, which began at offset 57.
func testInput() Input {
	history := position.History{{Term: 1}, {Term: 2, Offset: 57}}
	row := func(id string, role blackboard.Role, domain string, replayed uint64) Candidate {
		return Candidate{FailureDomain: domain, Endpoint: blackboard.Endpoint{
			ID: id, Role: role, Serving: true, Reachable: true, History: history, Replayed: at(2, replayed),
		}, CatchUp: CatchUp{time.Minute}}
	}
	return Input{
		Read: true, Floor: floorAt(at(2, 60)), Now: now, Arrived: now, FailureDomain: "garmisch",
		Group: blackboard.Group{Term: 2, Primary: "p", History: history},
		Candidates: []Candidate{
			row("p", blackboard.RolePrimary, "garmisch", 70),
			row("far", blackboard.RoleReplica, "oberstdorf", 65),
			row("near", blackboard.RoleReplica, "garmisch", 65),
		},
	}
}

func TestDecide(t *testing.T) {
	cases := []struct {
		name      string
		change    func(*Input)
		action    Action
		endpoints []string
		verify    bool
	}{
		{"near replica first", func(*Input) {}, UseReplica, []string{"near", "far"}, false},
		{"loaded near replica last", func(in *Input) { in.Candidates[2].InFlight = 3 }, UseReplica, []string{"far", "near"}, false},
		{"write", func(in *Input) { in.Read = false }, UsePrimary, []string{"p"}, false},
		{"floor unknown", func(in *Input) { in.Floor.Forget() }, NeedReadIndex, nil, false},
		{"write with unknown floor", func(in *Input) { in.Floor.Forget(); in.Read = false }, UsePrimary, []string{"p"}, false},
		{"replicas behind", func(in *Input) { in.Floor = floorAt(at(2, 66)) }, UsePrimary, []string{"p"}, false},
		{"replicas expected to be there", func(in *Input) {
			in.Floor = floorAt(at(2, 66))
			in.Candidates[1].CatchUp = CatchUp{900 * time.Millisecond}
		}, UseReplica, []string{"far"}, true},
		{"replica nearly there", func(in *Input) {
			in.Floor = floorAt(at(2, 66))
			in.Candidates[1].CatchUp = CatchUp{1005 * time.Millisecond}
			in.WaitBudget = 10 * time.Millisecond
		}, WaitReplica, nil, false},
		{"leaving, suspect and failed replicas", func(in *Input) {
			in.Candidates[1].Leaving = true
			in.Candidates[2].SuspectedUntil = now.Add(time.Second)
		}, UsePrimary, []string{"p"}, false},
		{"replica in an abandoned history", func(in *Input) {
			in.Candidates[2].History = position.History{{Term: 1}}
			in.Candidates[2].Replayed = at(1, 99)
		}, UseReplica, []string{"far"}, false},
		{"floor kept across a promotion", func(in *Input) { in.Floor = floorAt(at(1, 57)) }, UseReplica, []string{"near", "far"}, false},
		{"floor superseded", func(in *Input) { in.Floor = floorAt(at(1, 58)) }, RefuseSuperseded, nil, false},
		{"what was only seen is superseded", func(in *Input) {
			in.Floor = floorAt(at(1, 50))
			in.Floor.ObserveRead(at(1, 58), true, now)
		}, NeedReadIndex, nil, false},
		{"floor of a term not yet known here", func(in *Input) { in.Floor = floorAt(at(3, 71)) }, AwaitPrimary, nil, false},
		{"write while electing", func(in *Input) { in.Read = false; in.Group.Electing = true }, AwaitPrimary, nil, false},
		{"write to a leaving primary", func(in *Input) { in.Read = false; in.Candidates[0].Leaving = true }, AwaitPrimary, nil, false},
		{"bounded without index", func(in *Input) { in.Bounded = true; in.MaxStaleness = time.Second }, NeedReadIndex, nil, false},
		{"bounded by an index in time", func(in *Input) {
			in.Bounded, in.MaxStaleness = true, time.Second
			in.ReadIndexes = []Index{{at(2, 61), now.Add(-2 * time.Second)}, {at(2, 64), now.Add(-time.Second)}, {at(2, 70), now}}
		}, UseReplica, []string{"near", "far"}, false},
		{"bounded, replicas older", func(in *Input) {
			in.Bounded, in.MaxStaleness = true, time.Second
			in.ReadIndexes = []Index{{at(2, 66), now}}
		}, UsePrimary, []string{"p"}, false},
		{"bound of zero by an index since arrival", func(in *Input) {
			in.Bounded, in.Arrived = true, now.Add(-time.Millisecond)
			in.ReadIndexes = []Index{{at(2, 66), now.Add(-time.Millisecond)}}
		}, UsePrimary, []string{"p"}, false},
		{"bounded at a replaced primary", func(in *Input) {
			in.Bounded, in.MaxStaleness = true, time.Second
			in.ReadIndexes = []Index{{at(3, 66), now}}
		}, AwaitPrimary, nil, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := testInput()
			c.change(&in)
			got := Decide(in)
			require.Equal(t, c.action, got.Action)
			require.Equal(t, c.endpoints, got.Endpoints)
			require.Equal(t, c.verify, got.Verify)
		})
	}
}

// TestNeverBelowFloor checks the invariant over random groups: a decision returns no
// endpoint that is leaving, and an unverified one only endpoints that have applied the floor.
func TestNeverBelowFloor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := testInput()
		in.Read = rapid.Bool().Draw(t, "read")
		in.Floor = floorAt(at(rapid.Uint64Range(1, 3).Draw(t, "term"), rapid.Uint64Range(50, 75).Draw(t, "offset")))
		in.WaitBudget = time.Duration(rapid.IntRange(0, 2000).Draw(t, "budget")) * time.Millisecond
		for i := range in.Candidates {
			c := &in.Candidates[i]
			c.Leaving = rapid.Bool().Draw(t, "leaving")
			c.CatchUp = CatchUp{time.Duration(rapid.IntRange(0, 3000).Draw(t, "catch-up")) * time.Millisecond}
			c.Replayed = at(rapid.Uint64Range(1, 2).Draw(t, "replayed term"), rapid.Uint64Range(50, 75).Draw(t, "replayed"))
			if rapid.Bool().Draw(t, "old history") {
				c.History = position.History{{Term: 1}}
			}
		}
		d := Decide(in)
		for _, id := range d.Endpoints {
			for _, c := range in.Candidates {
				if c.ID != id {
					continue
				}
				require.False(t, c.Leaving)
				if d.Action == UseReplica && !d.Verify {
					require.True(t, in.Read && c.History.Contains(in.Floor.Written) && !c.Replayed.Less(in.Floor.Written))
				}
				if d.Action == UsePrimary {
					require.True(t, in.Group.History.Contains(in.Floor.Written))
				}
			}
		}
	})
}

// TestCatchUpConverges checks for several replication lags that the estimate converges to a
// value at which attempts rarely find the replica behind.
func TestCatchUpConverges(t *testing.T) {
	for _, lag := range []time.Duration{5 * time.Millisecond, 200 * time.Millisecond, 2 * time.Second} {
		var c CatchUp
		behind := 0
		const attempts = 2000
		for i := range attempts {
			caughtUp := c.After() >= lag
			c = c.Observe(c.After(), caughtUp)
			if !caughtUp && i > attempts/2 {
				behind++
			}
		}
		require.InDelta(t, lag, c.After(), float64(lag), lag)
		require.Less(t, behind, attempts/2/15)
	}
	stuck := CatchUp{}
	for range 100 {
		stuck = stuck.Observe(time.Hour, false)
	}
	require.Equal(t, maxCatchUp, stuck.After())
}
