package leadership

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func at(term, offset uint64) position.Position { return position.Position{Term: term, Offset: offset} }

// TestDrainingReplicaWithConfirmedCommits guards against the loss of commits that only a draining
// replica has confirmed when the primary crashes.
func TestDrainingReplicaWithConfirmedCommits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(1070 * time.Millisecond)
		f.set(func() {
			f.confirmCommits(1)
			f.draining["s2"], f.servers["s1"].down = true, true
		})
		time.Sleep(1100 * time.Millisecond)
		require.Len(t, f.ordered(), 1)
		require.Equal(t, "s2", f.ordered()[0].Endpoint, "a replica without an acknowledged commit was promoted")
		f.set(func() {
			f.servers["s2"].status.Received = at(2, 10)
			f.servers["s3"].status = ServerStatus{Term: 2, Received: at(2, 10)}
		})
		time.Sleep(4 * time.Second)
		require.Len(t, f.ordered(), 2)
		require.Equal(t, "s3", f.primary("b"), "the draining primary was not replaced")
	})
}

// TestConfirmedCommitsAreKept guards against promotions by too few answers where replicas confirm
// commits. The primary s1 and the replica s2 hold an acknowledged commit that s3 lacks.
func TestConfirmedCommitsAreKept(t *testing.T) {
	type step struct {
		change  func(*fleet)
		after   time.Duration
		primary string // empty while there is none to use
		orders  int
	}
	crash := func(f *fleet) { f.servers["s1"].down = true }
	return1 := func(f *fleet) { f.servers["s1"].down = false }
	busy := func(is bool) func(*fleet) { return func(f *fleet) { f.servers["s2"].busy = is } }
	down := func(id string) func(*fleet) { return func(f *fleet) { f.servers[id].down = true } }
	both := func(changes ...func(*fleet)) func(*fleet) {
		return func(f *fleet) {
			for _, change := range changes {
				change(f)
			}
		}
	}
	confirming := func(n int) func(*fleet) { return func(f *fleet) { f.syncReplicas = n } }
	registered := func(id string, is bool) func(*fleet) { return func(f *fleet) { f.unregistered[id] = !is } }
	restart := func(f *fleet) { f.servers["s2"].startedAt, f.servers["s2"].status.Received = 7, at(1, 4) }
	restartInstances := func(f *fleet) {
		for name, i := range f.instances {
			i.stop()
			f.instances[name] = f.newInstance(name)
			f.instances[name].start()
		}
	}
	joins := func(f *fleet) {
		f.servers["s1"].status.Received = at(1, 10)
		f.servers["s4"] = &server{status: ServerStatus{Term: 1, Received: at(1, 10)}}
	}
	configured := func(is bool) func(*fleet) { return func(f *fleet) { f.unconfigured = !is } }
	unrecorded := func(f *fleet) { delete(f.rows, replicaSetPrefix+"db") }
	catchUp := func(f *fleet) { f.servers["s3"].status.Received = at(1, 9) }
	for _, c := range []struct {
		name       string
		confirming int // replicas that confirm a commit from the start on, 0 for one
		steps      []step
	}{
		{"the replica with the commit is busy", 0, []step{
			{both(busy(true), crash), 10 * time.Second, "", 0}, {busy(false), 4 * time.Second, "s2", 1},
		}},
		{"the replica with the commit is unreachable until the primary returns", 0, []step{
			{both(down("s2"), crash), 10 * time.Second, "", 0}, {return1, 4 * time.Second, "s1", 0},
		}},
		{"its entry has lapsed, and it is running", 0, []step{
			{registered("s2", false), 5 * time.Second, "s1", 0}, {crash, 10 * time.Second, "", 0}, {registered("s2", true), 4 * time.Second, "s2", 1},
		}},
		{"its entry has lapsed and it is unreachable, before the other has caught up", 0, []step{
			{both(registered("s2", false), down("s2")), 5 * time.Second, "s1", 0}, {crash, 10 * time.Second, "", 0},
		}},
		{"it has gone, and the other has caught up", 0, []step{
			{both(registered("s2", false), down("s2")), 5 * time.Second, "s1", 0}, {catchUp, 2 * time.Second, "s1", 0}, {crash, 3 * time.Second, "s3", 1},
		}},
		{"it has restarted with less", 0, []step{
			{restart, 5 * time.Second, "s1", 0}, {crash, 10 * time.Second, "", 0},
		}},
		{"it has restarted with less, and all have caught up", 0, []step{
			{restart, 2 * time.Second, "s1", 0},
			{both(catchUp, func(f *fleet) { f.servers["s2"].status.Received = at(1, 9) }), 2 * time.Second, "s1", 0},
			{crash, 3 * time.Second, "s2", 1},
		}},
		{"it has restarted and caught up, while the other receives nothing", 0, []step{
			{func(f *fleet) { f.servers["s2"].startedAt = 7 }, 2 * time.Second, "s1", 0}, {both(crash, restartInstances), 4 * time.Second, "s2", 1},
		}},
		{"two replicas confirm each commit, one has restarted, and one of them receives nothing", 2, []step{
			{func(f *fleet) { f.servers["s2"].startedAt = 7 }, 2 * time.Second, "s1", 0}, {crash, 4 * time.Second, "s2", 1},
		}},
		{"it has restarted with nothing, and its entry does not tell yet", 0, []step{
			{both(crash, func(f *fleet) { f.servers["s2"].status.Received = position.Position{} }), 10 * time.Second, "", 0},
		}},
		{"a planned replacement does not give up what a busy replica may hold", 0, []step{
			{both(busy(true), down("s1"), registered("s1", false)), 10 * time.Second, "", 0}, {busy(false), 4 * time.Second, "s2", 1},
		}},
		{"a planned replacement gives up what no replica has received", 0, []step{
			{both(func(f *fleet) { f.servers["s1"].status.Received = at(1, 10); f.draining["s1"] = true }), 6 * time.Second, "s2", 1},
		}},
		{"two replicas confirm each commit: one answer is enough", 2, []step{
			{both(catchUp, down("s2")), 3 * time.Second, "s1", 0}, {crash, 4 * time.Second, "s3", 1},
		}},
		{"more replicas should confirm than there are: one answer is enough", 5, []step{
			{both(catchUp, down("s2")), 3 * time.Second, "s1", 0}, {crash, 4 * time.Second, "s3", 1},
		}},
		{"two replicas confirm since a moment ago: the commit before is at one of them", 0, []step{
			{confirming(1), time.Second, "s1", 0}, {both(confirming(2), down("s2"), crash), 10 * time.Second, "", 0},
		}},
		{"the promoted server crashes before the others have received its log, and the instances restart", 0, []step{
			{crash, 4 * time.Second, "s2", 1},
			{both(down("s2"), registered("s1", false), restartInstances), 15 * time.Second, "", 1},
			{both(registered("s1", true), return1, func(f *fleet) { f.servers["s1"].status.Primary = false }), 8 * time.Second, "s1", 2},
		}},
		{"its entry has lapsed, and all instances restart", 0, []step{
			{both(registered("s2", false), down("s2")), 5 * time.Second, "s1", 0},
			{both(crash, restartInstances), 15 * time.Second, "", 0},
			{return1, 5 * time.Second, "s1", 0},
		}},
		{"its entry is late when the instances start", 0, []step{
			{both(registered("s2", false), crash, restartInstances), 10 * time.Second, "", 0}, {registered("s2", true), 4 * time.Second, "s2", 1},
		}},
		{"it has gone, the other has caught up, and all instances restart", 0, []step{
			{both(registered("s2", false), down("s2"), catchUp), 3 * time.Second, "s1", 0}, {both(crash, restartInstances), 4 * time.Second, "s3", 1},
		}},
		{"a primary that was never replaced is lost with its entry while the instances restart", 0, []step{
			{both(crash, registered("s1", false), restartInstances), 10 * time.Second, "s2", 1},
		}},
		{"so is one, and the replica with the commit is unreachable", 0, []step{
			{both(crash, registered("s1", false), down("s2"), restartInstances), 10 * time.Second, "", 0},
			{func(f *fleet) { f.servers["s2"].down = false }, 5 * time.Second, "s2", 1},
		}},
		{"so is one, and the entry of the replica with the commit is late", 0, []step{
			{both(crash, registered("s1", false), registered("s2", false), restartInstances), 10 * time.Second, "", 0},
			{registered("s2", true), 5 * time.Second, "s2", 1},
		}},
		{"it has restarted with less, and so do all instances", 0, []step{
			{restart, time.Second, "s1", 0}, {both(crash, restartInstances), 10 * time.Second, "", 0},
		}},
		{"the replicas were never recorded, and all instances restart", 0, []step{
			{both(unrecorded, registered("s2", false), crash, restartInstances), 10 * time.Second, "", 0}, {return1, 4 * time.Second, "s1", 0},
		}},
		{"another replica has confirmed a commit alone and left, and all instances restart", 0, []step{
			{joins, time.Second, "s1", 0},
			{both(down("s4"), registered("s4", false), crash, restartInstances), 10 * time.Second, "", 0},
			{return1, 4 * time.Second, "s1", 0},
		}},
		{"another replica has confirmed a commit alone, and was recorded a moment ago", 0, []step{
			{both(joins, func(f *fleet) { f.confirmCommits(1) }, down("s4"), registered("s4", false), crash), 10 * time.Second, "", 0},
		}},
		{"more replicas should confirm than there were until one has joined", 2, []step{
			{func(f *fleet) {
				f.unregistered["s3"] = true
				f.storeReplicas(1, "s1", "s2")
			}, 2 * time.Second, "s1", 0},
			{both(registered("s3", true), down("s2")), 2 * time.Second, "s1", 0},
			{crash, 10 * time.Second, "", 0},
		}},
		{"fewer replicas confirm while no instance runs that knew more", 2, []step{
			{confirming(1), time.Second, "s1", 0}, {both(confirming(2), restartInstances, down("s2"), crash), 10 * time.Second, "", 0},
		}},
		{"the instances have no configuration for a while after their start", 0, []step{
			{both(configured(false), restartInstances), 2 * time.Second, "s1", 0},
			{both(configured(true), restartInstances, crash), 4 * time.Second, "s2", 1},
		}},
		{"the configuration lacks the service while its primary is replaced", 0, []step{
			{both(down("s2"), crash), time.Second, "", 0}, {configured(false), 8 * time.Second, "", 0},
		}},
		{"the operators have not demanded confirmed commits for a while", 0, []step{
			{confirming(0), 2 * time.Second, "s1", 0}, {both(confirming(1), crash, restartInstances), 10 * time.Second, "", 0}, {return1, 4 * time.Second, "s1", 0},
		}},
		{"the operators no longer demand confirmed commits", 0, []step{
			{both(down("s2"), crash), 10 * time.Second, "", 0}, {confirming(0), 4 * time.Second, "s3", 1},
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, "a", "b", "c")
				f.set(func() { f.confirmCommits(max(1, c.confirming)) })
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

// storeless cuts one instance off from the store, and from nothing else.
type storeless string

func (storeless) delay(context.Context)       {}
func (s storeless) lost(from, to string) bool { return from == string(s) && to == "store" }
func (storeless) reaches(string, string) bool { return true }

// TestInstancesTellOfUnrecordedServers guards against a promotion by instances that have restarted,
// while another one knows of a replica that could not be recorded and holds a commit alone.
func TestInstancesTellOfUnrecordedServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		f.confirmCommits(1)
		for _, name := range []string{"a", "b", "c"} {
			f.instances[name] = f.newInstance(name)
		}
		for _, i := range f.instances {
			i.start()
		}
		time.Sleep(1070 * time.Millisecond)
		f.set(func() {
			f.faults, f.storeDown = storeless("c"), true
			f.servers["s1"].status.Received = at(1, 10)
			f.servers["s4"] = &server{status: ServerStatus{Term: 1, Received: at(1, 10)}}
		})
		time.Sleep(time.Second)
		f.set(func() {
			f.storeDown, f.unregistered["s4"], f.servers["s4"].down, f.servers["s1"].down = false, true, true, true
			for _, name := range []string{"a", "b"} {
				f.instances[name].stop()
				f.instances[name] = f.newInstance(name)
				f.instances[name].start()
			}
		})
		time.Sleep(20 * time.Second)
		require.Empty(t, f.ordered(), "a server without an acknowledged commit was promoted")
	})
}

// TestRepeatedOrderNeedsTheLog guards against repeating an order without effect for a server that has
// lost its log since.
func TestRepeatedOrderNeedsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.set(func() { f.confirmCommits(1) })
		time.Sleep(1070 * time.Millisecond)
		f.set(func() { f.servers["s1"].down, f.lostOrders = true, 1 })
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		f.set(func() { f.servers["s2"].startedAt, f.servers["s2"].status.Received = 7, position.Position{} })
		time.Sleep(20 * time.Second)
		require.Len(t, f.ordered(), 1, "a server without an acknowledged commit was ordered again")
		f.set(func() { f.servers["s1"].down, f.servers["s1"].status.Primary = false, false })
		f.set(func() { f.servers["s2"].status.Received = at(1, 9) })
		time.Sleep(10 * time.Second)
		require.Equal(t, "s2", f.primary("a"))
	})
}

// TestOrderedServerStillHoldsTheLog guards against ordering the promotion of a server that has lost its
// log while the order was recorded, for which the store may take seconds.
func TestOrderedServerStillHoldsTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.set(func() { f.confirmCommits(1) })
		time.Sleep(1070 * time.Millisecond)
		f.set(func() {
			f.servers["s1"].down = true
			f.onCommit = func(write platform.Write) {
				if strings.Contains(string(write.Value), `"ordered":"s2"`) {
					f.servers["s2"].startedAt, f.servers["s2"].status.Received = 7, position.Position{}
				}
			}
		})
		time.Sleep(10 * time.Second)
		require.Empty(t, f.ordered(), "a server without an acknowledged commit was promoted")
		f.set(func() {
			f.onCommit, f.servers["s1"].down, f.servers["s2"].status.Received = nil, false, at(1, 9)
		})
		time.Sleep(10 * time.Second)
		require.Equal(t, "s2", f.primary("a"))
	})
}
