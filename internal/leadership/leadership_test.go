package leadership

import (
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/follow"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

func TestCrashedPrimaryIsReplacedByTheLongestLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		require.Equal(t, "s1", f.primary("b"))
		f.set(func() { f.servers["s1"].down = true })
		time.Sleep(2 * time.Second)
		require.Equal(t, "s2", f.primary("c"))
		require.Len(t, f.ordered(), 1)
	})
}

// Guards against slow detection in a large fleet, where the only instance with a statement
// at a failed primary is the last one to act.
func TestUnresponsivePrimaryNoticedByOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j")
		time.Sleep(time.Second)
		ranked := f.instances["a"].controller.ranked()
		f.set(func() {
			f.observers = map[string]bool{ranked[len(ranked)-1].Name: true}
			f.servers["s1"].down = true
		})
		time.Sleep(700 * time.Millisecond)
		require.Len(t, f.ordered(), 1)
		require.Equal(t, ranked[0].Name, f.ordered()[0].Holder)
	})
}

// A primary that some instances reach is kept, even if others report it as suspected.
func TestSuspectedPrimaryThatAnswersIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		for _, i := range f.instances {
			i.controller.ReportSuspect("db", "s1")
		}
		time.Sleep(5 * time.Second)
		require.Empty(t, f.ordered())
		require.Equal(t, "s1", f.primary("a"))
		record, _ := f.instances["a"].view.record("db")
		require.Zero(t, record.Epoch, "an intent to replace it was committed")
	})
}

// A failure domain is cut off together with the primary, and one instance outside revokes
// late. The wait for those inside must count from when they lost the majority, which is
// earlier.
func TestLateRevocationByOneInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		ranked := f.instances["a"].controller.ranked()
		slow, cutOff := ranked[2].Name, ranked[4].Name
		f.slow = map[string]time.Duration{slow: 600 * time.Millisecond}
		f.set(func() { f.cut[cutOff], f.servers["s1"].down = true, true })
		var replacingAt time.Time
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			if replacingAt.IsZero() && f.primary(ranked[1].Name) == "" {
				replacingAt = time.Now()
			}
		}
		require.Less(t, time.Since(replacingAt), RecordLifetime+leaseExpiryMargin+400*time.Millisecond)
		require.GreaterOrEqual(t, time.Since(replacingAt), RecordLifetime)
		require.Empty(t, f.primary(cutOff))
	})
}

// TestUnreachableInstanceIsWaitedFor covers a failure domain that is cut off together with
// the primary by a partition that refuses connections: the instances there keep using the
// primary until their records have expired. If a promotion came before that, two primaries
// would be in use at once, and reads at the old one would be stale.
func TestUnreachableInstanceIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(1500 * time.Millisecond)
		f.set(func() { f.cut["c"], f.servers["s1"].down = true, true })
		cutAt := time.Now()
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(cutAt), 10*time.Second)
		}
		require.Empty(t, f.primary("c"), "the instance that is cut off still uses the old primary")
		require.GreaterOrEqual(t, time.Since(cutAt), RecordLifetime-time.Second)
	})
}

func TestPrimaryThatReturnsIsNotReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.cut["c"], f.servers["s1"].down = true, true })
		time.Sleep(RecordLifetime)
		require.Empty(t, f.primary("a"))
		f.set(func() { f.servers["s1"].down = false })
		time.Sleep(time.Second)
		require.Equal(t, "s1", f.primary("a"))
		require.Empty(t, f.ordered())
	})
}

func TestPlannedReplacementWaitsForTheWholeLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		f.set(func() {
			f.servers["s2"].status.Received.Offset = 7
			f.servers["s3"].status.Received.Offset = 7
		})
		time.Sleep(time.Second)
		f.set(func() { f.draining["s1"] = true })
		time.Sleep(time.Second)
		require.Empty(t, f.ordered(), "a replica that lacks commits was promoted")
		f.set(func() { f.servers["s3"].status.Received.Offset = 9 })
		time.Sleep(time.Second)
		require.Equal(t, "s3", f.primary("b"))
		require.Len(t, f.ordered(), 1)
		f.set(func() { require.False(t, f.servers["s1"].status.Primary) })
	})
}

func TestLostAnswerOfTheIntent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.loseNextResponse, f.servers["s1"].down = true, true })
		time.Sleep(4 * time.Second)
		require.Equal(t, "s2", f.primary("a"))
		require.Len(t, f.ordered(), 1)
	})
}

func TestStoreOutageLeavesThePrimaryInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.storeDown = true })
		for range (MaxStoreOutage - 2*time.Second) / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, "s1", f.primary("a"))
		}
		time.Sleep(4 * time.Second)
		require.Empty(t, f.primary("a"), "the record never expires")
		f.set(func() { f.storeDown = false })
		time.Sleep(1100 * time.Millisecond)
		require.Equal(t, "s1", f.primary("a"))
	})
}

// TestMinorityLosesThePrimary covers instances that reach neither the store nor a
// majority: they stop using the primary within the lifetime of their copy.
func TestMinorityLosesThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.cut["c"] = true })
		time.Sleep(RecordLifetime)
		require.Empty(t, f.primary("c"))
		require.Equal(t, "s1", f.primary("a"))
	})
}

// TestJoiningInstancesDoNotMakeAMajority covers a growing fleet in which most of the
// instances that all others know of are cut off together.
func TestJoiningInstancesDoNotMakeAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c", "d", "e")
		time.Sleep(time.Second)
		f.set(func() {
			f.joining = map[string]time.Duration{"a": 2 * time.Hour, "b": 2 * time.Hour}
			f.cut["d"], f.cut["e"], f.servers["s1"].down = true, true, true
		})
		time.Sleep(5 * time.Second)
		require.Empty(t, f.ordered(), "two of three known instances may confirm each other's records")
	})
}

// TestRestartedInstanceDoesNotConfirmFromOldRows covers an instance that may have revoked
// a primary for an epoch before its restart, which it no longer knows.
func TestRestartedInstanceDoesNotConfirmFromOldRows(t *testing.T) {
	now := time.Hour
	view := NewPrimaryView(func() time.Duration { return now }, zap.NewNop(), "a", func() *catalog.Registry { return catalog.NewRegistry(nil) })
	view.Apply(follow.Snapshot{AsOf: now - time.Second}, Membership{Listed: true, Count: 3})
	_, ok := view.KnownEpochs()
	require.False(t, ok)
	view.Apply(follow.Snapshot{AsOf: now}, Membership{Listed: true, Count: 3})
	_, ok = view.KnownEpochs()
	require.True(t, ok)
}

func TestFailedHolderIsFollowedUnderALaterFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() {
			// A failed instance has committed its intent.
			record := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Replacing, Epoch: 1, Holder: "gone", Fence: 1, Ordered: "s2"})
			fence := encodeRow(fenceKey, fenceState{Holder: "gone", Fence: 1})
			for _, w := range []platform.Write{record, fence} {
				f.revision++
				f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
			}
		})
		time.Sleep(5 * time.Second)
		require.NotEmpty(t, f.primary("b"))
		for _, order := range f.ordered() {
			require.Greater(t, order.Fence, uint64(1))
		}
	})
}

func TestRevokedUseIsNotConfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		time.Sleep(time.Second)
		use, err := f.instances["a"].view.Acquire("db")
		require.NoError(t, err)
		require.True(t, use.Valid())
		f.instances["a"].view.Revoke(t.Context(), "db", 1)
		require.False(t, use.Valid())
		use.Release()
	})
}

// TestLapsedUseStaysInvalid covers a statement in flight at an instance that is cut off for longer
// than its record lasts. When it reads the store again, the primary is being replaced, and the
// promotion may have been ordered without waiting for this instance: what is left of the time to
// end statements must not make its use valid again.
func TestLapsedUseStaysInvalid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		view := NewPrimaryView(f.clock, zap.NewNop(), "a", f.registry)
		apply := func(rows ...follow.Row) {
			view.Apply(follow.Snapshot{Rows: rows, AsOf: f.clock()}, Membership{Listed: true, Count: 3})
		}
		apply()
		use, err := view.Acquire("db")
		require.NoError(t, err)
		time.Sleep(RecordLifetime + leaseExpiryMargin)
		require.False(t, use.Valid())
		w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Replacing, Epoch: 1, Holder: "b", Fence: 1, Ordered: "s2"})
		apply(follow.Row{Key: w.Key, Value: w.Value, Version: 1})
		require.False(t, use.Valid(), "after a copy that shows the replacement")

		apply()
		use, err = view.Acquire("db")
		require.NoError(t, err)
		time.Sleep(RecordLifetime + leaseExpiryMargin)
		view.Renew(f.clock())
		require.False(t, use.Valid(), "after a renewal")
	})
}

// TestSecondIntentRestsOnTheSameRecord covers two instances that decide at the same time:
// the second reads the first one's intent before it commits its own, which must then fail.
// Otherwise both would promote a primary.
func TestSecondIntentRestsOnTheSameRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		time.Sleep(time.Second)
		first := &replacement{c: f.instances["a"].controller, service: "db", cause: reasonUnresponsive, oldPrimary: "s1"}
		second := &replacement{c: f.instances["b"].controller, service: "db", cause: reasonUnresponsive, oldPrimary: "s1"}
		require.NoError(t, first.commitIntent(t.Context()))
		require.NoError(t, f.instances["b"].refresh(t.Context()))
		require.ErrorContains(t, second.commitIntent(t.Context()), "another instance was first")
		f.set(func() { require.Len(t, f.rows, 2) })
	})
}

// TestLateOrderOfAnEarlierHolder covers a promotion that takes effect only after its
// holder has failed: ordering another one at once would make two primaries.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b")
		time.Sleep(time.Second)
		f.set(func() {
			w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Replacing, Epoch: 1, Holder: "gone", Fence: 1, Ordered: "s3"})
			f.revision++
			f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
		})
		time.Sleep(2 * time.Second)
		f.set(func() { f.servers["s3"].status.Primary, f.servers["s3"].status.Term = true, 2 })
		time.Sleep(4 * time.Second)
		require.Equal(t, "s3", f.primary("a"))
		require.Empty(t, f.ordered())
	})
}

// TestReplacedPrimaryIsNoSuccessor covers a primary that was cut off while it was replaced, and
// comes back at the moment at which its successor fails: it still takes itself for the primary,
// but lacks what was acknowledged at the successor.
func TestReplacedPrimaryIsNoSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() { f.servers["s1"].down = true })
		time.Sleep(3 * time.Second)
		require.Equal(t, "s2", f.primary("a"))
		f.set(func() {
			f.servers["s1"].down, f.servers["s2"].down = false, true
			f.servers["s3"].status = ServerStatus{Term: 1, Received: position.Position{Term: 2, Offset: 12}}
		})
		time.Sleep(3 * time.Second)
		require.Equal(t, "s3", f.primary("a"))
	})
}

// TestUnorderedReplacementLeavesThePrimary covers a holder that failed for good before it
// ordered a promotion: the healthy primary must come back into use at once. It was once
// unusable for 10 s.
func TestUnorderedReplacementLeavesThePrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a", "b", "c")
		time.Sleep(time.Second)
		f.set(func() {
			w := encodeRow(servicePrefix+"db", Record{Service: "db", Endpoint: "s1", Phase: Replacing, Epoch: 1, Holder: "c", Fence: 1})
			f.revision++
			f.rows[w.Key] = platform.Row{Key: w.Key, Value: w.Value, Revision: f.revision}
			f.cut["c"] = true
		})
		time.Sleep(4 * time.Second)
		require.Equal(t, "s1", f.primary("a"))
		require.Empty(t, f.ordered())
	})
}

// TestUnlistedInstanceUsesNoPrimary covers an instance that others do not wait for.
func TestUnlistedInstanceUsesNoPrimary(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, "a")
		time.Sleep(time.Second)
		synctest.Wait() // what the instance reads at the same instant has been applied
		f.instances["a"].view.Apply(follow.Snapshot{AsOf: f.clock()}, Membership{Count: 1})
		require.Empty(t, f.primary("a"))
	})
}

// Names begin with the failure domain. If the first instances in rank were all of one
// domain, none would act while that domain is cut off.
func TestFirstInRankAreOfSeveralFailureDomains(t *testing.T) {
	var names []string
	for _, domain := range []string{"garmisch", "oberstdorf", "berchtesgaden", "tegernsee"} {
		for n := range 17 {
			names = append(names, "edge-"+domain+"-"+strconv.Itoa(n+1))
		}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, names...)
		time.Sleep(time.Second)
		domains := make(map[string]struct{})
		for _, m := range f.instances[names[0]].controller.ranked()[:maxRanks] {
			domains[strings.Split(m.Name, "-")[1]] = struct{}{}
		}
		require.Greater(t, len(domains), 1)
	})
}
