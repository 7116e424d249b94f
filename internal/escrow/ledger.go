package escrow

import (
	"errors"
	"slices"
	"time"
)

// Errors of Settle.
var (
	// ErrStale means that a later operation of the holder came first.
	ErrStale = errors.New("escrow: a later operation of the holder came first")
	// ErrUnknownHolding means that the holder has units that this ledger never
	// granted to it or has taken back.
	ErrUnknownHolding = errors.New("escrow: the holder has units that were not granted here")
)

// Entry is what one holder has of a ledger.
type Entry struct {
	Holder string `json:"holder"`
	// Units is the most that the holder may use.
	Units int64 `json:"units"`
	// Want is how many units the holder last said that it needs.
	Want int64 `json:"want"`
	// Sequence is the number of the holder's last operation.
	Sequence uint64 `json:"sequence"`
	// LastGrant is what that operation added, so that a holder that lost the
	// answer can read it back.
	LastGrant Amount `json:"granted"`
	// ExpiredBy is when the holder has surely lapsed, by the keeper's clock; 0 means
	// that time alone does not tell.
	ExpiredBy time.Duration `json:"until,omitempty"`
}

// Ledger records who holds which part of an amount. Its keeper applies one
// operation after another, with readings of its own clock.
type Ledger struct {
	// Units is how many there are: the free ones and those of all entries. After
	// a shrinking Resize the free units may be negative until holders give back.
	Units   int64   `json:"units"`
	Free    Amount  `json:"free"`
	Entries []Entry `json:"entries"`
	// AccruedUntil is until when Free has got its tokens.
	AccruedUntil time.Duration `json:"at"`
}

// Accrue credits the free units with the tokens of the time from At to now, and
// sets At to next, at or after now. A keeper that knows its clock only within
// bounds passes the lower bound as now and the upper one as next; then no time
// is ever credited twice.
func (l *Ledger) Accrue(limit Limit, now, next time.Duration) {
	if now > l.AccruedUntil {
		l.Free.Tokens += limit.RateOf(l.Free.Units) * (now - l.AccruedUntil).Seconds()
	}
	l.AccruedUntil = max(l.AccruedUntil, now, next)
	l.trim(limit)
}

func (l *Ledger) trim(limit Limit) {
	l.Free.Tokens = min(l.Free.Tokens, limit.CapacityOf(l.Free.Units))
}

// Entry returns the entry of a holder; the zero Entry when there is none.
func (l *Ledger) Entry(holder string) Entry {
	if i := l.index(holder); i >= 0 {
		return l.Entries[i]
	}
	return Entry{Holder: holder}
}

func (l *Ledger) index(holder string) int {
	return slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Holder == holder })
}

// Request is one operation of a holder on a ledger.
type Request struct {
	Holder string
	// Sequence rises with each operation of the holder.
	Sequence uint64
	// Held is how many units the holder uses at most from before it sent the
	// request until it learns the outcome.
	Held int64
	// Returned is how many tokens the holder gives back with units that it no
	// longer holds.
	Returned float64
	// Want is how many units the holder needs altogether.
	Want int64
	// ExpiredBy is when the holder will surely have lapsed, by the keeper's clock.
	ExpiredBy time.Duration
}

// Settle brings the holder's entry down to what the holder says it has left and
// notes its want. Units that the entry had beyond that become free.
func (l *Ledger) Settle(limit Limit, r Request) error {
	i := l.index(r.Holder)
	if i < 0 {
		if r.Held > 0 {
			return ErrUnknownHolding
		}
		l.Entries = append(l.Entries, Entry{Holder: r.Holder})
		i = len(l.Entries) - 1
	}
	e := &l.Entries[i]
	switch {
	case r.Sequence <= e.Sequence:
		return ErrStale
	case r.Held > e.Units:
		return ErrUnknownHolding
	}
	back := e.Units - r.Held
	l.Free.Units += back
	if back > 0 {
		l.Free.Tokens += max(0, min(r.Returned, limit.CapacityOf(back)))
	}
	l.trim(limit)
	e.Units, e.Want, e.Sequence, e.LastGrant = r.Held, r.Want, r.Sequence, Amount{}
	e.ExpiredBy = max(e.ExpiredBy, r.ExpiredBy)
	return nil
}

// Grant moves up to that many free units to a holder that has an entry, with as
// many tokens as they carry, and returns what was moved.
func (l *Ledger) Grant(limit Limit, holder string, units int64) Amount {
	i := l.index(holder)
	if i < 0 || units <= 0 || l.Free.Units <= 0 {
		return Amount{}
	}
	moved := Amount{Units: min(units, l.Free.Units)}
	moved.Tokens = min(l.Free.Tokens, limit.CapacityOf(moved.Units))
	l.Free.Units -= moved.Units
	l.Free.Tokens -= moved.Tokens
	l.trim(limit)
	l.Entries[i].Units += moved.Units
	l.Entries[i].LastGrant = moved
	return moved
}

// TakeTokens moves up to that many free tokens to a holder that has room for them in
// the capacity of its own units, and returns how many.
func (l *Ledger) TakeTokens(tokens float64) float64 {
	moved := max(0, min(tokens, l.Free.Tokens))
	l.Free.Tokens -= moved
	return moved
}

// Reclaim frees the units of every holder that has surely lapsed, as ended
// tells, with their tokens taken as spent. It returns how many units came back.
func (l *Ledger) Reclaim(ended func(Entry) bool) int64 {
	var back int64
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool {
		if !ended(e) {
			return false
		}
		back += e.Units
		return true
	})
	l.Free.Units += back
	return back
}

// RemoveEmpty removes the entry of a holder that has no units left.
func (l *Ledger) RemoveEmpty(holder string) {
	if i := l.index(holder); i >= 0 && l.Entries[i].Units == 0 {
		l.Entries = slices.Delete(l.Entries, i, i+1)
	}
}

// Absorb adds units to the ledger as free ones.
func (l *Ledger) Absorb(a Amount) {
	l.Units += a.Units
	l.Free = l.Free.Plus(a)
}

// Withdraw takes up to that many free units out of the ledger.
func (l *Ledger) Withdraw(units int64) Amount {
	a := l.Free.split(units)
	l.Units -= a.Units
	return a
}

// Resize changes how many units there are. Missing units are taken from the free
// ones, which may become negative until holders give back.
func (l *Ledger) Resize(units int64) {
	l.Free.Units += units - l.Units
	l.Units = units
	if l.Free.Units <= 0 {
		l.Free.Tokens = 0
	}
}

// MaxMinAllocation returns how many of total units a holder should have for its want: all
// of it while the wants together fit, else an equal level that nobody exceeds.
// Units that are left over go to the holders that want more, one each, in the
// order of the entries.
func (l *Ledger) MaxMinAllocation(holder string, total int64) int64 {
	wants := make([]int64, len(l.Entries))
	for i, e := range l.Entries {
		wants[i] = e.Want
	}
	level := MaxMinLevel(total, wants)
	left := total
	for _, want := range wants {
		left -= min(want, level)
	}
	for _, e := range l.Entries {
		target := min(e.Want, level)
		if e.Want > level && left > 0 {
			target++
			left--
		}
		if e.Holder == holder {
			return target
		}
	}
	return 0
}

// ProportionalAllocation returns how many of total units a holder should have for its want: all
// of it while the wants together fit, else in proportion to the wants.
func (l *Ledger) ProportionalAllocation(holder string, total int64) int64 {
	own, wanted := l.Entry(holder).Want, l.TotalWant()
	if wanted <= total {
		return own
	}
	return int64(float64(max(0, total)) * (float64(own) / float64(wanted)))
}

// TotalWant sums the wants of all entries.
func (l *Ledger) TotalWant() int64 {
	var sum int64
	for _, e := range l.Entries {
		sum += e.Want
	}
	return sum
}

// MaxMinLevel returns the highest level for which the wants, each cut to the level,
// sum to no more than total.
func MaxMinLevel(total int64, wants []int64) int64 {
	sorted := slices.Sorted(slices.Values(wants))
	left := max(0, total)
	for i, want := range sorted {
		rest := int64(len(sorted) - i)
		if want*rest > left {
			return left / rest
		}
		left -= want
	}
	return max(0, total)
}
