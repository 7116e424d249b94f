// Package lease measures leases by a clock that keeps running while the process or the
// machine is paused, so that a paused holder finds its lease expired.
package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed but arbitrary start. It is monotonic and
// includes pauses. Tests inject one that follows their own time.
type Clock func() time.Duration

// BootClock returns the time since the machine started, including suspension.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("lease: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Lease is a right that expires. The zero value has expired.
type Lease struct {
	expiresAt time.Duration
}

// StartingAt returns a lease of the given length, counted from sent, the time at which
// the holder requested it. Counting from the request makes the lease expire for the
// holder before it expires for the grantor.
func StartingAt(sent, length time.Duration) Lease { return Lease{expiresAt: sent + length} }

// Remaining returns the time from now until the lease expires; zero once it has expired.
func (l Lease) Remaining(now time.Duration) time.Duration { return max(0, l.expiresAt-now) }

// Valid reports whether the lease has not expired at now.
func (l Lease) Valid(now time.Duration) bool { return now < l.expiresAt }

// Later returns the lease that expires later.
func (l Lease) Later(other Lease) Lease {
	if other.expiresAt > l.expiresAt {
		return other
	}
	return l
}
