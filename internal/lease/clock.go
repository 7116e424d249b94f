// Package lease measures leases by a clock that goes on while the process or the
// machine is paused, so that a holder that was paused finds its lease lapsed.
package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since a fixed but unknown instant. It never goes back
// and counts pauses. Tests inject one that follows their own time.
type Clock func() time.Duration

// BootClock reads the time since the machine started, suspension included.
func BootClock() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("lease: the boot-time clock cannot be read: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Lease is a right that lapses. The zero value has lapsed.
type Lease struct {
	until time.Duration
}

// StartingAt returns a lease of the given length, counted from the instant sent at
// which the holder asked for it. Counting from the request makes the holder's
// view end before the grantor's.
func StartingAt(sent, length time.Duration) Lease { return Lease{until: sent + length} }

// Remaining returns how long the lease still lasts at now; zero once it has lapsed.
func (l Lease) Remaining(now time.Duration) time.Duration { return max(0, l.until-now) }

// Valid tells whether the lease still lasts at now.
func (l Lease) Valid(now time.Duration) bool { return now < l.until }

// Later returns the lease that lasts longer.
func (l Lease) Later(other Lease) Lease {
	if other.until > l.until {
		return other
	}
	return l
}
