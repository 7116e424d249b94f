package share

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/escrow"
)

// accountAt returns an account of a limit of ten units, which holds five of them
// for 10 s.
func accountAt(t *testing.T, now *time.Duration, limit escrow.Limit) *Account {
	t.Helper()
	a := newAccount("limit", limit, func() time.Duration { return *now })
	r := a.request(*now, "allocator", 5, 1)
	a.applyGrant(*now, *now, "allocator", r, &peerv1.ShareGrant{
		Granted: &peerv1.ShareAmount{Units: 5, Tokens: 5}, LeaseMs: 10_000, Sequence: 1,
	})
	return a
}

func TestExpiredHoldingIsNotSpent(t *testing.T) {
	now := time.Hour
	a := accountAt(t, &now, escrow.Limit{Units: 10, Rate: 10, Burst: 10})
	_, ok := a.Take(time.Now(), 1)
	require.True(t, ok)
	require.Equal(t, 5, a.Units(time.Now()))
	now += 10 * time.Second // a pause that the account did not observe
	wait, ok := a.Take(time.Now(), 1)
	require.False(t, ok)
	require.Equal(t, escrow.Never, wait)
	require.Zero(t, a.Units(time.Now()))
	require.Zero(t, a.Rate())
}

// TestHoldingsAreSpentTogether covers an organisation whose units come from several
// allocators, each with less than a token: with a separate whole token for each, their rate
// would be lost as long as the holdings stay apart, as while the table is down.
func TestHoldingsAreSpentTogether(t *testing.T) {
	now := time.Hour
	limit := escrow.Limit{Units: 100, Rate: 100, Burst: 50}
	a := newAccount("limit", limit, func() time.Duration { return now })
	for n, allocator := range []string{"a", "b", "c"} {
		sequence := uint64(n + 1)
		r := a.request(now, allocator, 1, sequence)
		a.applyGrant(now, now, allocator, r, &peerv1.ShareGrant{
			Granted: &peerv1.ShareAmount{Units: 1}, LeaseMs: 60_000, Sequence: sequence,
		})
	}
	// Each holding has one unit: a token per second, and room for half a token.
	taken := 0
	for range 100 {
		wait, ok := a.Take(time.Now(), 1)
		if ok {
			taken++
			continue
		}
		require.Less(t, wait, time.Second)
		now += wait
	}
	elapsed := (now - time.Hour).Seconds()
	require.InDelta(t, 3*elapsed, taken, 1, "after %v s", elapsed)
	require.Greater(t, taken, 30)
	require.LessOrEqual(t, float64(taken), 3*elapsed+1e-6)
}

func TestLateGrantsAreIgnored(t *testing.T) {
	limit := escrow.Limit{Units: 10, Rate: 10, Burst: 10}
	cases := map[string]struct {
		grant *peerv1.ShareGrant
		held  int64
	}{
		"other request": {&peerv1.ShareGrant{Granted: &peerv1.ShareAmount{Units: 9}, LeaseMs: 9000, Sequence: 1}, 5},
		"no lease":      {&peerv1.ShareGrant{Granted: &peerv1.ShareAmount{Units: 9}, Sequence: 2}, 5},
		"unknown":       {&peerv1.ShareGrant{Unknown: true, Sequence: 2}, 5},
		"in time":       {&peerv1.ShareGrant{Granted: &peerv1.ShareAmount{Units: 9}, LeaseMs: 9000, Sequence: 2}, 9},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Hour
			a := accountAt(t, &now, limit)
			r := a.request(now, "allocator", 9, 2)
			a.applyGrant(now, now, "allocator", r, c.grant)
			require.EqualValues(t, c.held, a.Units(time.Now()))
		})
	}
}

func TestUnitsInUseAreNotReturned(t *testing.T) {
	now := time.Hour
	a := accountAt(t, &now, escrow.Limit{Units: 10})
	a.SetUsed(4)
	r := a.request(now, "allocator", 5, 2)
	a.applyGrant(now, now, "allocator", r, &peerv1.ShareGrant{
		Granted: &peerv1.ShareAmount{Units: 1}, LeaseMs: 10_000, Sequence: 2,
	})
	require.Equal(t, 1, a.Units(time.Now()), "the user has to do with less")
	r = a.request(now, "allocator", 5, 3)
	require.True(t, r.GetGive())
	require.EqualValues(t, 4, r.GetWant().GetUnits(), "what is in use stays")
	a.SetUsed(2)
	r = a.request(now, "allocator", 5, 4)
	require.EqualValues(t, 2, r.GetWant().GetUnits())
}

func TestUnreportedUnitsAreKept(t *testing.T) {
	now := time.Hour
	a := accountAt(t, &now, escrow.Limit{Units: 10})
	require.EqualValues(t, 5, a.updateDemand(now+time.Second, 1))
	a.SetUsed(0)
	require.EqualValues(t, 1, a.updateDemand(now+2*time.Second, 1))
}

func TestHolderNames(t *testing.T) {
	id, incarnation := parseHolder(holderName("a/b", 7, 3))
	require.Equal(t, "a/b", id)
	require.EqualValues(t, 7, incarnation)
	for _, bad := range []string{"", "a", "a/x"} {
		_, incarnation := parseHolder(bad)
		require.Zero(t, incarnation)
	}
}

// TestTokensAreBorrowedAheadWhileDemandRises guards against borrowing too few
// tokens when demand moves to another failure domain. If borrowing stops at the
// first allocator that lends anything, and most have a token or less, the instance
// gets one token in 20 ms and rarely asks the one that has sixty.
func TestTokensAreBorrowedAheadWhileDemandRises(t *testing.T) {
	const rate = 160.0
	limit := escrow.Limit{Units: escrow.RateUnits, Rate: 200, Burst: 100}
	var d demand
	now := time.Hour
	for n := range int(rate / 4) {
		d.recordUnmet(now+time.Duration(float64(n)/rate*float64(time.Second)), 1, limit)
	}
	now += 250 * time.Millisecond
	require.InDelta(t, rate*borrowHorizon.Seconds(), d.tokensAhead(now), rate*borrowHorizon.Seconds()/2)
	require.Zero(t, d.tokensAhead(now+2*recentRateTime), "demand that no longer rises is served from its own holding")
}

// TestReturnAfterTokensIsNoFailure covers a renewal that brings tokens of the own domain's
// allocator and then returns borrowed units to another one, whose response brings nothing:
// callers whose demand exceeds the rate of the units held go on waiting for the next renewal.
func TestReturnAfterTokensIsNoFailure(t *testing.T) {
	now := time.Hour
	a := accountAt(t, &now, escrow.Limit{Units: 10, Rate: 10, Burst: 10})
	a.demand.recordUnmet(now, 20, a.limit)
	for n := range uint64(maxUnsuccessfulRequests) {
		now += callerRenewalInterval
		want := a.updateDemand(now, 0)
		own := a.request(now, "allocator", want, 2*n+2)
		a.applyGrant(now, now, "allocator", own, &peerv1.ShareGrant{
			Granted: &peerv1.ShareAmount{Units: 5, Tokens: 1}, LeaseMs: 10_000, Sequence: 2*n + 2,
		})
		lent := a.request(now, "lender", 1, 2*n+3)
		a.applyGrant(now, now, "lender", lent, &peerv1.ShareGrant{LeaseMs: 10_000, Sequence: 2*n + 3})
		a.demand.recordUnmet(now, 1, a.limit)
		a.finishRenewal(now, want, nil, 1)
	}
	_, more := a.CanGrow()
	require.True(t, more)
	require.Equal(t, now+callerRenewalInterval, a.backoffUntil)
}

// TestStoppedDemandKeepsNothing covers demand that rose and then moved away within a second:
// during a shortage elsewhere the rise is no reason to keep units that nobody uses.
func TestStoppedDemandKeepsNothing(t *testing.T) {
	limit := escrow.Limit{Units: 1000, Rate: 200, Burst: 100}
	now := time.Hour
	var d demand
	for range 12 { // 160 tokens per second for 600 ms
		for range 8 {
			d.recordUnmet(now, 1, limit)
			now += 50 * time.Millisecond / 8
		}
		d.update(now)
	}
	d.missing = 0 // as after a renewal
	require.True(t, d.rising(now))
	require.Greater(t, d.wantRate(now, limit, true), limit.UnitsForRate(100))
	now += 150 * time.Millisecond
	d.update(now)
	require.True(t, d.stopped(now))
	require.True(t, d.rising(now))
	require.LessOrEqual(t, d.wantRate(now, limit, true), limit.UnitsForTokens(wholeToken))
}
