package escrow

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func TestBucketRefillsInProportionToUnits(t *testing.T) {
	limit := Limit{Units: 100, Rate: 50, Burst: 20}
	var b Bucket
	b.SetLimit(0, limit)
	b.Absorb(0, Amount{Units: 10, Tokens: 100})
	require.Equal(t, Amount{Units: 10, Tokens: 2}, b.Amount(0))
	_, ok := b.Take(0, 2)
	require.True(t, ok)
	wait, ok := b.Take(0, 1)
	require.False(t, ok)
	require.InDelta(t, 200*time.Millisecond, wait, 2)
	_, ok = b.Take(wait, 1)
	require.True(t, ok)
	wait, _ = b.Take(wait, 3)
	require.Equal(t, Never, wait)
}

func TestLimitInUnits(t *testing.T) {
	limit := Limit{Units: RateUnits, Rate: 300, Burst: 7}
	for _, tokens := range []float64{0.1, 1, 2.5, 7, 8} {
		require.GreaterOrEqual(t, limit.CapacityOf(limit.UnitsForTokens(tokens)), min(tokens, 7)-1e-9)
	}
	require.Equal(t, RateUnits, limit.UnitsForRate(301))
	require.Zero(t, Limit{}.RateOf(5))
}

func TestMaxMinLevel(t *testing.T) {
	cases := []struct {
		total int64
		wants []int64
		level int64
	}{
		{10, nil, 10},
		{10, []int64{3, 4}, 10},
		{10, []int64{20, 2}, 8},
		{10, []int64{9, 9, 9}, 3},
		{0, []int64{1}, 0},
		{-5, []int64{1}, 0},
	}
	for _, c := range cases {
		require.Equal(t, c.level, MaxMinLevel(c.total, c.wants), "%v", c)
	}
}

func TestMaxMinAndProportionalAllocation(t *testing.T) {
	l := Ledger{Entries: []Entry{{Holder: "a", Want: 9}, {Holder: "b", Want: 1}, {Holder: "c", Want: 9}}}
	for holder, want := range map[string]int64{"a": 4, "b": 1, "c": 3, "unknown": 0} {
		require.Equal(t, want, l.MaxMinAllocation(holder, 8), holder)
	}
	require.EqualValues(t, 9, l.MaxMinAllocation("c", 30))
	for holder, want := range map[string]int64{"a": 4, "b": 0, "c": 4, "unknown": 0} {
		require.Equal(t, want, l.ProportionalAllocation(holder, 9), holder)
	}
	require.EqualValues(t, 1, l.ProportionalAllocation("b", 30))
}

func TestSettleRejectsInvalidRequests(t *testing.T) {
	limit := Limit{Units: 10}
	l := Ledger{Units: 10, Free: Amount{Units: 10}}
	require.ErrorIs(t, l.Settle(limit, Request{Holder: "a", Sequence: 1, Held: 1}), ErrUnknownHolding)
	require.NoError(t, l.Settle(limit, Request{Holder: "a", Sequence: 2}))
	require.Equal(t, Amount{Units: 4}, l.Grant(limit, "a", 4))
	require.ErrorIs(t, l.Settle(limit, Request{Holder: "a", Sequence: 2, Held: 4}), ErrStale)
	require.ErrorIs(t, l.Settle(limit, Request{Holder: "a", Sequence: 3, Held: 5}), ErrUnknownHolding)
	require.NoError(t, l.Settle(limit, Request{Holder: "a", Sequence: 4, Held: 1}))
	require.EqualValues(t, 9, l.Free.Units)
	l.Resize(0)
	require.EqualValues(t, -1, l.Free.Units)
	require.Zero(t, l.Grant(limit, "a", 1).Units)
}

// model is one ledger with several holders. Requests and responses may be lost,
// leases may expire without the holder noticing, and the limit changes.
type model struct {
	now     time.Duration
	limit   Limit
	ledger  Ledger
	holders []*modelHolder
	spentAt []time.Duration
	// rate and burst are the largest so far. They bound the sum while holders use
	// different versions of the limit.
	rate, burst float64
	// maxAccrued is the maximum number of tokens that can have accrued so far.
	maxAccrued float64
}

type modelHolder struct {
	name     string
	bucket   Bucket
	leaseEnd time.Duration // end of the lease as the holder knows it
	sequence uint64
	delayed  *Request // a request in flight
}

func (m *model) pickHolder(t *rapid.T) *modelHolder {
	return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
}

const modelLease = 3 * time.Second

// exchange makes a holder request units, return units or renew its lease. The
// request or its response may be lost.
func (m *model) exchange(t *rapid.T) {
	h := m.pickHolder(t)
	if m.now >= h.leaseEnd {
		h.bucket = Bucket{}
		h.bucket.SetLimit(m.now, m.limit)
	}
	h.sequence++
	held := h.bucket.Amount(m.now)
	r := Request{Holder: h.name, Sequence: h.sequence, Held: held.Units, Want: rapid.Int64Range(0, 12).Draw(t, "want")}
	r.ExpiredBy = m.now + modelLease + time.Second
	if r.Want < held.Units {
		r.Returned = h.bucket.Split(m.now, held.Units-r.Want).Tokens
		r.Held = r.Want
	}
	sent := m.now
	switch rapid.IntRange(0, 5).Draw(t, "network") {
	case 0:
		return // request lost
	case 1:
		h.delayed = &r
		return
	case 2:
		m.handle(h, r, sent, false) // response lost
	default:
		m.handle(h, r, sent, true)
	}
}

func (m *model) handle(h *modelHolder, r Request, sent time.Duration, delivered bool) {
	m.ledger.Accrue(m.limit, m.now, m.now)
	if m.ledger.Settle(m.limit, r) != nil {
		return
	}
	moved := m.ledger.Grant(m.limit, h.name, m.ledger.MaxMinAllocation(h.name, m.ledger.Units)-r.Held)
	moved.Tokens += m.ledger.TakeTokens(1.5)
	if delivered {
		h.bucket.Absorb(m.now, moved)
		h.leaseEnd = max(h.leaseEnd, sent+modelLease)
	}
}

// deliverDelayed delivers a delayed request, whose response nobody waits for.
func (m *model) deliverDelayed(t *rapid.T) {
	h := m.pickHolder(t)
	if h.delayed == nil {
		return
	}
	r := *h.delayed
	r.ExpiredBy = m.now + modelLease + time.Second
	m.handle(h, r, 0, false)
	h.delayed = nil
}

func (m *model) spend(t *rapid.T) {
	h := m.pickHolder(t)
	for range rapid.IntRange(1, 30).Draw(t, "statements") {
		if m.now >= h.leaseEnd {
			return
		}
		if _, ok := h.bucket.Take(m.now, 1); ok {
			m.spentAt = append(m.spentAt, m.now)
		}
	}
}

func (m *model) advanceClock(t *rapid.T) {
	elapsed := time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond
	m.now += elapsed
	m.maxAccrued += m.rate * elapsed.Seconds()
}

func (m *model) reclaim(_ *rapid.T) {
	m.ledger.Accrue(m.limit, m.now, m.now)
	m.ledger.Reclaim(func(e Entry) bool { return e.ExpiredBy < m.now })
}

// restart replaces a holder by an empty one with a name that was never used.
func (m *model) restart(t *rapid.T) {
	h := m.pickHolder(t)
	*h = modelHolder{name: h.name + "+"}
	h.bucket.SetLimit(m.now, m.limit)
}

// changeLimit sets a new rate and burst at the ledger and at some of the holders.
// The others keep the former limit at least until the next change.
func (m *model) changeLimit(t *rapid.T) {
	m.ledger.Accrue(m.limit, m.now, m.now)
	m.limit.Rate = float64(rapid.IntRange(1, 40).Draw(t, "rate"))
	m.limit.Burst = float64(rapid.IntRange(1, 30).Draw(t, "burst"))
	m.rate, m.burst = max(m.rate, m.limit.Rate), max(m.burst, m.limit.Burst)
	m.ledger.Accrue(m.limit, m.now, m.now)
	for _, h := range m.holders {
		if rapid.Bool().Draw(t, "follows") {
			h.bucket.SetLimit(m.now, m.limit)
		}
	}
}

func (m *model) checkInvariants(t *rapid.T) {
	sum := m.ledger.Free.Units
	for _, e := range m.ledger.Entries {
		sum += e.Units
	}
	require.Equal(t, m.ledger.Units, sum)
	require.GreaterOrEqual(t, m.ledger.Free.Tokens, 0.0)
	available := m.ledger.Free.Tokens
	for _, h := range m.holders {
		if m.now < h.leaseEnd {
			require.LessOrEqual(t, h.bucket.Amount(m.now).Units, m.ledger.Entry(h.name).Units)
			available += h.bucket.Amount(m.now).Tokens
		}
	}
	require.LessOrEqual(t, available, m.burst+1e-6, "accrued tokens exceed the burst")
	require.LessOrEqual(t, available+float64(len(m.spentAt)), m.maxAccrued+1e-6, "more tokens than can have accrued")
	tokens, last := m.burst, time.Duration(0)
	for _, at := range m.spentAt {
		tokens = min(m.burst, tokens+m.rate*(at-last).Seconds()) - 1
		last = at
		require.GreaterOrEqual(t, tokens, -1e-6, "at %v spending exceeds rate*window + burst", at)
	}
}

// TestSpendingStaysWithinLimit runs random interleavings of grants, returns, lease
// expiries, delays, lost requests and responses, restarts and limit changes, and
// checks the sum spent over every window.
func TestSpendingStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Units: 12, Rate: 20, Burst: 10}
		m := &model{limit: limit, rate: limit.Rate, burst: limit.Burst}
		m.ledger = Ledger{Units: 12, Free: Amount{Units: 12}}
		for _, name := range []string{"a", "b", "c"} {
			h := &modelHolder{name: name}
			h.bucket.SetLimit(0, limit)
			m.holders = append(m.holders, h)
		}
		t.Repeat(map[string]func(*rapid.T){
			"exchange": m.exchange, "deliver": m.deliverDelayed, "spend": m.spend, "pass": m.advanceClock,
			"reclaim": m.reclaim, "restart": m.restart, "change": m.changeLimit, "": m.checkInvariants,
		})
	})
}

func TestTokensAreMovedAndNeverCopied(t *testing.T) {
	limit := Limit{Units: 10, Rate: 1, Burst: 10}
	var b Bucket
	b.SetLimit(0, limit)
	b.Absorb(0, Amount{Units: 8, Tokens: 6})
	require.Equal(t, Amount{Units: 2, Tokens: 1.5}, b.Split(0, 2))
	require.Equal(t, Amount{Units: 6, Tokens: 4.5}, b.Amount(0))

	l := Ledger{Units: 10, Free: Amount{Units: 10, Tokens: 10}}
	require.NoError(t, l.Settle(limit, Request{Holder: "a", Sequence: 1}))
	require.Equal(t, Amount{Units: 4, Tokens: 4}, l.Grant(limit, "a", 4))
	require.EqualValues(t, 4, l.Reclaim(func(Entry) bool { return true }))
	require.Equal(t, Amount{Units: 10, Tokens: 6}, l.Free, "reclaimed tokens count as spent")
	require.Equal(t, Amount{Units: 5, Tokens: 3}, l.Withdraw(5))
	require.Equal(t, Amount{Units: 5, Tokens: 3}, l.Free)
}
