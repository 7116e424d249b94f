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

func TestBucketFillsByItsPartOfTheLimit(t *testing.T) {
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

func TestLevel(t *testing.T) {
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

func TestTargetDividesAll(t *testing.T) {
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

func TestSettleRefusesWhatItCannotKnow(t *testing.T) {
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

// model is a fleet of holders around one ledger. Answers and requests may be
// lost, holders may lapse unaware, and the limit changes.
type model struct {
	now     time.Duration
	limit   Limit
	ledger  Ledger
	holders []*modelHolder
	spent   []time.Duration
	// rate and burst are the largest so far: the bound while versions differ.
	rate, burst float64
	// minted is how many tokens the time so far can have brought.
	minted float64
}

type modelHolder struct {
	name     string
	bucket   Bucket
	lease    time.Duration // until when, by its own view
	sequence uint64
	late     *Request // a request still on its way
}

func (m *model) holder(t *rapid.T) *modelHolder {
	return m.holders[rapid.IntRange(0, len(m.holders)-1).Draw(t, "holder")]
}

const modelLease = 3 * time.Second

// exchange has a holder ask, give or renew. The request or its answer may be
// lost.
func (m *model) exchange(t *rapid.T) {
	h := m.holder(t)
	if m.now >= h.lease {
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
		return // the request is lost
	case 1:
		h.late = &r
		return
	case 2:
		m.answer(h, r, sent, false) // the answer is lost
	default:
		m.answer(h, r, sent, true)
	}
}

func (m *model) answer(h *modelHolder, r Request, sent time.Duration, arrives bool) {
	m.ledger.Accrue(m.limit, m.now, m.now)
	if m.ledger.Settle(m.limit, r) != nil {
		return
	}
	moved := m.ledger.Grant(m.limit, h.name, m.ledger.MaxMinAllocation(h.name, m.ledger.Units)-r.Held)
	moved.Tokens += m.ledger.TakeTokens(1.5)
	if arrives {
		h.bucket.Absorb(m.now, moved)
		h.lease = max(h.lease, sent+modelLease)
	}
}

// deliver has a late request arrive; its answer finds nobody waiting.
func (m *model) deliver(t *rapid.T) {
	h := m.holder(t)
	if h.late == nil {
		return
	}
	r := *h.late
	r.ExpiredBy = m.now + modelLease + time.Second
	m.answer(h, r, 0, false)
	h.late = nil
}

func (m *model) spend(t *rapid.T) {
	h := m.holder(t)
	for range rapid.IntRange(1, 30).Draw(t, "statements") {
		if m.now >= h.lease {
			return
		}
		if _, ok := h.bucket.Take(m.now, 1); ok {
			m.spent = append(m.spent, m.now)
		}
	}
}

func (m *model) pass(t *rapid.T) {
	passed := time.Duration(rapid.IntRange(1, 1500).Draw(t, "milliseconds")) * time.Millisecond
	m.now += passed
	m.minted += m.rate * passed.Seconds()
}

func (m *model) reclaim(_ *rapid.T) {
	m.ledger.Accrue(m.limit, m.now, m.now)
	m.ledger.Reclaim(func(e Entry) bool { return e.ExpiredBy < m.now })
}

// restart has a holder begin anew under a name that was never used.
func (m *model) restart(t *rapid.T) {
	h := m.holder(t)
	*h = modelHolder{name: h.name + "+"}
	h.bucket.SetLimit(m.now, m.limit)
}

// change sets another rate and burst, at the ledger and at some of the holders;
// the others follow at a later change.
func (m *model) change(t *rapid.T) {
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

func (m *model) check(t *rapid.T) {
	sum := m.ledger.Free.Units
	for _, e := range m.ledger.Entries {
		sum += e.Units
	}
	require.Equal(t, m.ledger.Units, sum)
	require.GreaterOrEqual(t, m.ledger.Free.Tokens, 0.0)
	saved := m.ledger.Free.Tokens
	for _, h := range m.holders {
		if m.now < h.lease {
			require.LessOrEqual(t, h.bucket.Amount(m.now).Units, m.ledger.Entry(h.name).Units)
			saved += h.bucket.Amount(m.now).Tokens
		}
	}
	require.LessOrEqual(t, saved, m.burst+1e-6, "more saved up than the burst")
	require.LessOrEqual(t, saved+float64(len(m.spent)), m.minted+1e-6, "tokens that no time has brought")
	tokens, last := m.burst, time.Duration(0)
	for _, at := range m.spent {
		tokens = min(m.burst, tokens+m.rate*(at-last).Seconds()) - 1
		last = at
		require.GreaterOrEqual(t, tokens, -1e-6, "at %v more than rate*window + burst", at)
	}
}

// TestNeverMoreThanTheLimit runs every interleaving that rapid finds of grants,
// returns, lapses, pauses, lost requests and answers, restarts and changed
// limits, and checks the sum spent over every window.
func TestNeverMoreThanTheLimit(t *testing.T) {
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
			"exchange": m.exchange, "deliver": m.deliver, "spend": m.spend, "pass": m.pass,
			"reclaim": m.reclaim, "restart": m.restart, "change": m.change, "": m.check,
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
