package leadership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReplacementsOfOtherServicesDoNotDelay covers the loss or evacuation of a failure domain
// with several primaries, whose replacements take their fence numbers from one row.
func TestReplacementsOfOtherServicesDoNotDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.draining["s1"], f.otherReplacements = true, 6 })
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, "s2", f.primary("b"))
		require.Len(t, f.ordered(), 1)
	})
}

// TestEvacuatedPrimary checks what becomes of the primary s1 and its replicas s2 and s3, of
// which s3 is one commit behind, around evacuations.
func TestEvacuatedPrimary(t *testing.T) {
	type step struct {
		change  func(*fleet)
		after   time.Duration
		primary string // empty while there is none to use
		orders  int
	}
	evacuate := func(ids ...string) func(*fleet) {
		return func(f *fleet) {
			clear(f.evacuated)
			for _, id := range ids {
				f.evacuated[id] = true
			}
		}
	}
	behind := func(change func(*fleet)) func(*fleet) {
		return func(f *fleet) {
			f.servers["s2"].status.Received.Offset = 8
			change(f)
		}
	}
	crash := func(syncReplicas int) func(*fleet) {
		return func(f *fleet) {
			if syncReplicas > 0 {
				f.confirmCommits(syncReplicas)
			}
			f.servers["s1"].down, f.evacuated["s2"] = true, true
		}
	}
	catchUp := func(f *fleet) { f.servers["s2"].status.Received.Offset = 9 }
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"it moves to the replica with its whole log", []step{{evacuate("s1"), 2 * time.Second, "s2", 1}}},
		{"it moves to no replica that is evacuated as well", []step{
			{func(f *fleet) { f.servers["s3"].status.Received.Offset = 9; evacuate("s1", "s2")(f) }, 2 * time.Second, "s3", 1},
		}},
		{"no endpoint is left: it stays until the evacuation ends", []step{
			{evacuate("s1", "s2", "s3"), 5 * time.Second, "s1", 0}, {evacuate(), time.Second, "s1", 0},
		}},
		{"no replica has its whole log: none is promoted", []step{
			{behind(evacuate("s1")), 20 * time.Second, "", 0}, {catchUp, 4 * time.Second, "s2", 1},
		}},
		{"taken back while a replica is waited for: it is kept", []step{
			{behind(evacuate("s1")), time.Second, "", 0}, {evacuate(), time.Second, "s1", 0},
		}},
		{"taken back after the order: the replacement is completed, and nothing moves back", []step{
			{evacuate("s1"), 2 * time.Second, "s2", 1}, {evacuate(), 10 * time.Second, "s2", 1},
		}},
		{"twice in a row", []step{
			{evacuate("s1"), 3 * time.Second, "s2", 1},
			{func(f *fleet) {
				for _, s := range f.servers {
					s.status.Term, s.status.Received = f.servers["s2"].status.Term, f.servers["s2"].status.Received
				}
				evacuate("s1", "s2")(f)
			}, 3 * time.Second, "s3", 2},
		}},
		{"the store is down meanwhile", []step{
			{func(f *fleet) { f.storeDown = true; evacuate("s1")(f) }, 5 * time.Second, "s1", 0},
			{func(f *fleet) { f.storeDown = false }, 4 * time.Second, "s2", 1},
		}},
		{"the primary dies while it is evacuated", []step{
			{func(f *fleet) { evacuate("s1")(f); f.servers["s1"].down = true }, 5 * time.Second, "s2", 1},
		}},
		{"the primary dies, the longest log is evacuated, replicas confirm commits", []step{
			{crash(1), 10 * time.Second, "", 0}, {evacuate(), 10 * time.Second, "s2", 1},
		}},
		{"the primary dies, the longest log is evacuated, commits are not confirmed", []step{{crash(0), 5 * time.Second, "s3", 1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				// The steps are between the refreshes of the fixture, which have no order.
				time.Sleep(1070 * time.Millisecond)
				for i, s := range c.steps {
					f.set(func() { s.change(f) })
					time.Sleep(s.after)
					require.Equal(t, s.primary, f.primary("b"), "step %d", i)
					require.Len(t, f.ordered(), s.orders, "step %d", i)
				}
			})
		})
	}
}

// TestTargetRestsOnTheRegistryOfTheSurvey covers an evacuation that ends between the look at the
// servers, by which the primary was not kept, and the choice of its successor: a replica that is
// behind must not be promoted.
func TestTargetRestsOnTheRegistryOfTheSurvey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		synctest.Wait() // tomb.WithContext must not run while its context is cancelled
		f.set(func() { f.evacuated["s1"], f.servers["s2"].status.Received.Offset = true, 8 })
		r := &replacement{c: f.instances["a"].controller, service: "db", cause: reasonEvacuated, oldPrimary: "s1"}
		found := r.survey(t.Context(), true)
		f.set(func() { f.evacuated["s1"] = false })
		_, ok := r.chooseTarget(found, r.committedAt+2*catchUpTimeout)
		require.False(t, ok)
	})
}
