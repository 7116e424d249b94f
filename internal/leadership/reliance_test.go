package leadership

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/follow"
)

// announcingFleet is a fleet whose instances announce that they rely on confirmations, as they
// do after a few reads of the store.
func announcingFleet(t *testing.T, faults faults, names ...string) *fleet {
	f := newFleet(t)
	f.faults = faults
	f.announces, f.endpointDomain = true, "c"
	for _, name := range names {
		f.instances[name] = f.newInstance(name)
	}
	for _, name := range names {
		f.instances[name].start()
	}
	time.Sleep(3500 * time.Millisecond)
	f.set(func() {
		for _, name := range names {
			require.True(t, f.confirmedOnly[name], "the announcement of %s", name)
		}
	})
	return f
}

// TestPrimaryCutOffWithItsDomain covers a failure domain that is cut off together with a primary:
// what those outside have last confirmed to those inside bounds their use of it, although they
// might read the store.
func TestPrimaryCutOffWithItsDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := announcingFleet(t, nil, "a1", "a2", "b1", "b2", "c1", "c2")
		f.set(func() { f.cut["c1"], f.cut["c2"], f.servers["s1"].down = true, true, true })
		cutAt, lastUse := time.Now(), time.Now()
		for len(f.ordered()) == 0 {
			if f.primary("c1") == "s1" || f.primary("c2") == "s1" {
				lastUse = time.Now()
			}
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(cutAt), RecordLifetime+leaseExpiryMargin+100*time.Millisecond)
		}
		require.GreaterOrEqual(t, time.Since(lastUse), leaseExpiryMargin)
	})
}

// TestPrimaryLostWhileTheStoreIsSilent covers a cut during an outage of the store: at its return
// the records inside the cut have long expired, so that the order follows the intent at once.
func TestPrimaryLostWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := announcingFleet(t, nil, "a1", "a2", "b1", "b2", "c1", "c2")
		f.set(func() { f.storeDown = true })
		time.Sleep(time.Second)
		f.set(func() { f.cut["c1"], f.cut["c2"], f.servers["s1"].down = true, true, true })
		time.Sleep(RecordLifetime + time.Second)
		require.Empty(t, f.ordered())
		f.set(func() { f.storeDown = false })
		returnedAt := time.Now()
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(returnedAt), attemptBackoff+500*time.Millisecond)
		}
	})
}

// TestMinorityThatReadsTheStore covers instances that reach the store but not their fellows: they
// withdraw the announcement before their records expire, and go on using the primary. A
// replacement then waits for what they may have read.
func TestMinorityThatReadsTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cut := &fellowsCut{name: "c1"}
		f := announcingFleet(t, cut, "a1", "a2", "b1", "b2", "c1")
		cut.active.Store(true)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			require.Equal(t, "s1", f.primary("c1"))
		}
		f.set(func() { require.False(t, f.confirmedOnly["c1"]) })
		f.set(func() { f.servers["s1"].down = true })
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		require.Empty(t, f.primary("c1"))
		require.Equal(t, "", f.primary("a1"))
		cut.active.Store(false)
		time.Sleep(steadyPeriod + 3*time.Second)
		f.set(func() { require.True(t, f.confirmedOnly["c1"]) })
	})
}

// fellowsCut cuts one instance off from all others, but not from the store.
type fellowsCut struct {
	name   string
	active atomic.Bool
}

func (c *fellowsCut) delay(context.Context) {}
func (c *fellowsCut) lost(from, to string) bool {
	return c.active.Load() && to != "store" && (from == c.name) != (to == c.name)
}
func (c *fellowsCut) reaches(string, string) bool { return true }

// TestOldCopiesDoNotCountAfterAWithdrawal covers a copy that was read before the announcement was
// withdrawn: a replacement that read the row before does not wait for it.
func TestOldCopiesDoNotCountAfterAWithdrawal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		view := NewPrimaryView(f.clock, zap.NewNop(), "a", f.registry)
		view.RelyOnConfirmations()
		read := func() { view.Apply(follow.Snapshot{AsOf: f.clock()}, Membership{Listed: true, Count: 3}) }
		read()
		_, err := view.Primary("db")
		require.True(t, IsStale(err))
		time.Sleep(time.Millisecond)
		view.RelyOnStore()
		_, err = view.Primary("db")
		require.True(t, IsStale(err), "a copy from before the withdrawal extends the use")
		read()
		_, err = view.Primary("db")
		require.NoError(t, err)
	})
}

// TestAttestationShowsARevocationSinceItsCollection covers a collection that is reused after the
// instance has revoked a primary: the replacement counts on every confirmation since showing it.
func TestAttestationShowsARevocationSinceItsCollection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := announcingFleet(t, nil, "a1", "a2", "b1", "b2", "c1")
		c := f.instances["a1"].controller
		c.Attest(t.Context())
		given, err := c.Revoke(t.Context(), "db", 7)
		require.NoError(t, err)
		require.Less(t, given.Ago["c1"], calmConfirmInterval+10*time.Millisecond)
		require.Equal(t, uint64(7), c.AttestTo(t.Context(), "c1").Epochs["db"])
		given, err = c.Revoke(t.Context(), "db", 7)
		require.NoError(t, err)
		require.Zero(t, given.Ago["c1"])
	})
}

// TestDeadMemberBesideACut covers a member that failed long ago and is of another failure domain,
// so that its records last longer: what those that are cut off got last does not count for it.
func TestDeadMemberBesideACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := announcingFleet(t, nil, "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2")
		f.set(func() { f.remoteLifetime = testRemoteLifetime })
		time.Sleep(2 * time.Second)
		f.set(func() { f.cut["a3"] = true })
		time.Sleep(testRemoteLifetime)
		f.set(func() { f.cut["c1"], f.cut["c2"], f.servers["s1"].down = true, true, true })
		cutAt := time.Now()
		for len(f.ordered()) == 0 {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(cutAt), RecordLifetime+leaseExpiryMargin+100*time.Millisecond)
		}
	})
}

// TestCollectedConfirmationsCountForAll covers a pending member that may have got a confirmation
// through another one.
func TestCollectedConfirmationsCountForAll(t *testing.T) {
	received := time.Hour
	r := &replacement{revocations: []revocation{{received: received, confirmed: Confirmations{
		Ago: map[string]time.Duration{"b": 8 * time.Second, "c": time.Second}, OthersAgo: time.Minute,
		CollectedAgo: map[string]time.Duration{"c": 3 * time.Second},
	}}}}
	require.Equal(t, received-8*time.Second, r.lastConfirmation("b", map[string]Member{"b": {}}))
	require.Equal(t, received-3*time.Second, r.lastConfirmation("b", map[string]Member{"b": {}, "c": {}}))
}

// TestAttestationWithoutOwnRecords covers an instance that has revoked a primary and has not read
// the rows since its start: what it has collected before must not confirm the old one.
func TestAttestationWithoutOwnRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := announcingFleet(t, nil, "a1", "a2", "b1")
		restarted := f.newInstance("a1") // not running, so that it reads nothing
		require.NotEmpty(t, restarted.controller.Attest(t.Context()).Members)
		_, err := restarted.controller.Revoke(t.Context(), "db", 7)
		require.NoError(t, err)
		require.Empty(t, restarted.controller.AttestTo(t.Context(), "b1").Members)
	})
}

// TestExpiryOfPendingRecords covers members that revoke the primary some time after the intent, and
// confirm the records of others until then: neither counts from the intent.
func TestExpiryOfPendingRecords(t *testing.T) {
	committed := time.Hour
	minority := committed + 140*time.Millisecond
	confirmed := Confirmations{Ago: map[string]time.Duration{"x": 50 * time.Millisecond}, OthersAgo: time.Minute}
	for name, c := range map[string]struct {
		member     Member
		revocation revocation
		extendedAt time.Duration
	}{
		"relies on the store":                {Member{Name: "x"}, revocation{received: minority, confirmed: confirmed}, minority},
		"confirmed after the intent":         {Member{Name: "x", ConfirmedOnly: true}, revocation{received: minority, confirmed: confirmed}, minority - 50*time.Millisecond},
		"confirmed a minute ago":             {Member{Name: "y", ConfirmedOnly: true}, revocation{received: minority, confirmed: confirmed}, minority - time.Minute},
		"confirmed by an earlier version":    {Member{Name: "y", ConfirmedOnly: true}, revocation{received: minority}, minority},
		"revoked after they were a majority": {Member{Name: "y", ConfirmedOnly: true}, revocation{received: minority + time.Second}, minority},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				f.endpointDomain = "a"
				controller := f.newInstance("a").controller
				r := &replacement{c: controller, oldPrimary: "s1", committedAt: committed, members: make([]Member, 3), revocations: []revocation{c.revocation}}
				c.member.FailureDomain = "a"
				pending := map[string]Member{c.member.Name: c.member}
				require.Equal(t, c.extendedAt+RecordLifetime+leaseExpiryMargin, r.expiresAt(minority, pending))
				pending["z"] = Member{Name: "z", FailureDomain: "a", ConfirmedOnly: true}
				require.Equal(t, committed+MaxStoreOutage+RecordLifetime+leaseExpiryMargin, r.expiresAt(minority, pending), "of a majority")
			})
		})
	}
}

// TestConfirmationsOfUnknownAge covers members that may have confirmed the records of others
// without a trace: before a restart, for earlier versions, and of earlier versions.
func TestConfirmationsOfUnknownAge(t *testing.T) {
	now := time.Hour
	view := NewPrimaryView(func() time.Duration { return now }, zap.NewNop(), "a", nil)
	now += 10 * time.Second
	view.confirmTo("b", false)
	now += 5 * time.Second
	given := view.confirmations()
	require.Equal(t, now-5*time.Second, given.given("b", now))
	require.Equal(t, time.Hour, given.given("c", now), "since the start")
	view.confirmTo("", false)
	now += time.Second
	require.Equal(t, now-time.Second, view.confirmations().given("c", now), "to an earlier version")
	require.Equal(t, now, Confirmations{}.given("c", now), "of an earlier version")
}
