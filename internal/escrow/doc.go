// Package escrow is the arithmetic of limits that are divided over the fleet. A
// limit is cut into whole units; whoever holds a part of the units has that part
// of the rate and of the burst, whatever the rate and the burst are at the time,
// so that a change of the limit needs no new division. Tokens that were saved up
// travel with the units.
//
// The package performs no I/O and reads no clock. Its invariants: the units of a
// ledger are either free or in exactly one entry; an entry is never less than
// what its holder may use; tokens come into being only by rate and time. From
// these follows the bound that callers rely on: in every window of length W all
// holders together spend at most rate*W + burst.
package escrow
