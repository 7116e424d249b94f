package escrow

import (
	"errors"
	"slices"
	"time"
)

// Errors returned by Settle.
var (
	// ErrStale means that an operation of the holder with the same or a higher
	// sequence number was applied before.
	ErrStale = errors.New("escrow: a later operation of the holder came first")
	// ErrUnknownHolding means that the holder claims units that this ledger never
	// granted to it or has reclaimed.
	ErrUnknownHolding = errors.New("escrow: the holder has units that were not granted here")
)

// Entry records the units that one holder has of a ledger.
type Entry struct {
	Holder string `json:"holder"`
	// Units is the maximum number of units that the holder may use.
	Units int64 `json:"units"`
	// Want is the number of units that the holder last requested in total.
	Want int64 `json:"want"`
	// Sequence is the sequence number of the holder's last operation.
	Sequence uint64 `json:"sequence"`
	// LastGrant is the amount that the last operation added, so that a holder that
	// missed the response can look it up.
	LastGrant Amount `json:"granted"`
	// ExpiredBy is the time, on the allocator's clock, by which the holder's lease has
	// certainly expired; 0 means that expiry cannot be inferred from time alone.
	ExpiredBy time.Duration `json:"until,omitempty"`
}

// Ledger records how the units of a limit are divided among holders. Its allocator
// applies operations one at a time, with readings of its own clock.
type Ledger struct {
	// Units is the total number of units: the free ones and those of all entries.
	// After a Resize to fewer units, Free.Units may be negative until holders
	// return units.
	Units   int64   `json:"units"`
	Free    Amount  `json:"free"`
	Entries []Entry `json:"entries"`
	// AccruedUntil is the time until which tokens have been credited to Free.
	AccruedUntil time.Duration `json:"at"`
}

// Accrue credits the free units with the tokens for the time from AccruedUntil to
// now, and advances AccruedUntil to the later of now and next. A caller that knows the
// time only within bounds passes the lower bound as now and the upper bound as next,
// so that no time is credited twice.
func (l *Ledger) Accrue(limit Limit, now, next time.Duration) {
	if now > l.AccruedUntil {
		l.Free.Tokens += limit.RateOf(l.Free.Units) * (now - l.AccruedUntil).Seconds()
	}
	l.AccruedUntil = max(l.AccruedUntil, now, next)
	l.capTokens(limit)
}

func (l *Ledger) capTokens(limit Limit) {
	l.Free.Tokens = min(l.Free.Tokens, limit.CapacityOf(l.Free.Units))
}

// Entry returns the entry of a holder, or one with only the holder's name if there
// is none.
func (l *Ledger) Entry(holder string) Entry {
	if i := l.index(holder); i >= 0 {
		return l.Entries[i]
	}
	return Entry{Holder: holder}
}

func (l *Ledger) index(holder string) int {
	return slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Holder == holder })
}

// Request is an operation of a holder on a ledger.
type Request struct {
	Holder string
	// Sequence increases with each operation of the holder.
	Sequence uint64
	// Held is the maximum number of units that the holder uses between sending the
	// request and learning its outcome.
	Held int64
	// Returned is the number of tokens that the holder returns together with units
	// that it no longer holds.
	Returned float64
	// Want is the total number of units that the holder needs.
	Want int64
	// ExpiredBy is the time, on the allocator's clock, by which the holder's lease will
	// certainly have expired.
	ExpiredBy time.Duration
}

// Settle reduces the holder's entry to the units that the holder reports as held,
// and records its want. The remaining units of the entry become free, with the
// returned tokens that fit their capacity.
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
	freed := e.Units - r.Held
	l.Free.Units += freed
	if freed > 0 {
		l.Free.Tokens += max(0, min(r.Returned, limit.CapacityOf(freed)))
	}
	l.capTokens(limit)
	e.Units, e.Want, e.Sequence, e.LastGrant = r.Held, r.Want, r.Sequence, Amount{}
	e.ExpiredBy = max(e.ExpiredBy, r.ExpiredBy)
	return nil
}

// Grant moves up to a number of free units to a holder that has an entry, with as
// many free tokens as their capacity allows, and returns the amount moved.
func (l *Ledger) Grant(limit Limit, holder string, units int64) Amount {
	i := l.index(holder)
	if i < 0 || units <= 0 || l.Free.Units <= 0 {
		return Amount{}
	}
	moved := Amount{Units: min(units, l.Free.Units)}
	moved.Tokens = min(l.Free.Tokens, limit.CapacityOf(moved.Units))
	l.Free.Units -= moved.Units
	l.Free.Tokens -= moved.Tokens
	l.capTokens(limit)
	l.Entries[i].Units += moved.Units
	l.Entries[i].LastGrant = moved
	return moved
}

// TakeTokens removes up to a number of free tokens and returns how many it removed.
// The caller transfers them to a holder whose units have spare capacity.
func (l *Ledger) TakeTokens(tokens float64) float64 {
	moved := max(0, min(tokens, l.Free.Tokens))
	l.Free.Tokens -= moved
	return moved
}

// Reclaim removes every entry for which expired reports that the holder's lease has
// certainly expired, and frees its units. Their tokens count as spent. It returns
// the number of units freed.
func (l *Ledger) Reclaim(expired func(Entry) bool) int64 {
	var freed int64
	l.Entries = slices.DeleteFunc(l.Entries, func(e Entry) bool {
		if !expired(e) {
			return false
		}
		freed += e.Units
		return true
	})
	l.Free.Units += freed
	return freed
}

// Absorb adds an amount to the ledger as free units and tokens.
func (l *Ledger) Absorb(a Amount) {
	l.Units += a.Units
	l.Free = l.Free.Plus(a)
}

// Withdraw removes up to a number of free units from the ledger, with a
// proportional number of the free tokens.
func (l *Ledger) Withdraw(units int64) Amount {
	a := l.Free.split(units)
	l.Units -= a.Units
	return a
}

// Resize changes the total number of units. The difference is applied to the free
// units, which may become negative until holders return units.
func (l *Ledger) Resize(units int64) {
	l.Free.Units += units - l.Units
	l.Units = units
	if l.Free.Units <= 0 {
		l.Free.Tokens = 0
	}
}

// MaxMinAllocation returns the max-min fair allocation of a holder out of total
// units: its want if all wants fit, otherwise its want capped at the level that is
// the same for all holders. Units left over by rounding go to the holders that want
// more, one each, in the order of the entries.
func (l *Ledger) MaxMinAllocation(holder string, total int64) int64 {
	wants := make([]int64, len(l.Entries))
	for i, e := range l.Entries {
		wants[i] = e.Want
	}
	level := MaxMinLevel(total, wants)
	remaining := total
	for _, want := range wants {
		remaining -= min(want, level)
	}
	for _, e := range l.Entries {
		target := min(e.Want, level)
		if e.Want > level && remaining > 0 {
			target++
			remaining--
		}
		if e.Holder == holder {
			return target
		}
	}
	return 0
}

// ProportionalAllocation returns the proportional allocation of a holder out of
// total units: its want if all wants fit, otherwise total in proportion to its want,
// rounded down.
func (l *Ledger) ProportionalAllocation(holder string, total int64) int64 {
	want, totalWant := l.Entry(holder).Want, l.TotalWant()
	if totalWant <= total {
		return want
	}
	return int64(float64(max(0, total)) * (float64(want) / float64(totalWant)))
}

// TotalWant returns the sum of the wants of all entries.
func (l *Ledger) TotalWant() int64 {
	var sum int64
	for _, e := range l.Entries {
		sum += e.Want
	}
	return sum
}

// MaxMinLevel returns the max-min fair level: the highest one for which the wants,
// each capped at the level, sum to at most total. It returns total if all wants fit.
func MaxMinLevel(total int64, wants []int64) int64 {
	sorted := slices.Sorted(slices.Values(wants))
	remaining := max(0, total)
	for i, want := range sorted {
		unvisited := int64(len(sorted) - i)
		if want*unvisited > remaining {
			return remaining / unvisited
		}
		remaining -= want
	}
	return max(0, total)
}
