// Package escrow implements the arithmetic of limits that are divided among the
// instances of the fleet. A limit is divided into whole units. The holder of some
// of the units has the same fraction of the current rate and burst, so that a
// change of the limit requires no new division. Accrued tokens move together with
// the units.
//
// The package performs no I/O and reads no clock. Its invariants:
//
//   - each unit of a ledger is either free or in exactly one entry;
//   - an entry has at least as many units as its holder may use;
//   - tokens are created only by accrual, as rate times elapsed time.
//
// These imply the bound that callers rely on: in every window of length W, all
// holders together spend at most rate*W + burst.
package escrow
