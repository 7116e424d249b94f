package share

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	defaultSessionLease = 10 * time.Minute
	defaultHoldingLease = 10 * time.Second
	defaultCallTimeout  = 250 * time.Millisecond
	defaultTableTimeout = 2 * time.Second
	defaultTick         = 50 * time.Millisecond
)

// Peers sends requests to other instances.
type Peers interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Config configures a Controller.
type Config struct {
	// Self is this instance. ID, FailureDomain and Incarnation are required.
	Self blackboard.Member
	// Board and Table are required.
	Board *blackboard.Board
	Table platform.Table
	// Peers may be nil; then every instance leases what it needs directly from the
	// table.
	Peers Peers
	// Clock must keep running while the machine is suspended; nil means
	// lease.BootClock.
	Clock lease.Clock
	// SessionLease is how long an instance can work without the table, and how long
	// what a failed instance held stays unavailable; 1 s to 24 h, 0 means 10 min.
	SessionLease time.Duration
	// HoldingLease is the lease of an instance's holding from the allocator of its
	// failure domain, at most SessionLease; 0 means 10 s.
	HoldingLease time.Duration
	// CallTimeout bounds a request to a peer; 0 means 250 ms.
	CallTimeout time.Duration
	// TableTimeout bounds a call to the table; 0 means 2 s.
	TableTimeout time.Duration
	// Tick is the interval at which demand is estimated; 0 means 50 ms.
	Tick time.Duration
	// Ended reports whether an incarnation of an instance certainly cannot serve
	// any more, so that its units become free before its session expires. It must
	// report true only once HoldingLease has passed since that instance stopped
	// serving. An instance with this set grants units only while its serving lease
	// has been valid without a gap. If nil, an instance counts as ended only when
	// its session has expired.
	Ended func(id string, incarnation uint64) bool
	// Random returns numbers from 0 to 1 for jitter; nil means rand.Float64.
	Random func() float64
	// Log and Metrics may be nil.
	Log     *zap.Logger
	Metrics *metrics.Set
}

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	switch {
	case c.Self.ID == "" || c.Self.FailureDomain == "" || c.Self.Incarnation == 0:
		return trace.BadParameter("share: Self needs an id, a failure domain and an incarnation")
	case c.Board == nil:
		return trace.BadParameter("share: Board is missing")
	case c.Table == nil:
		return trace.BadParameter("share: Table is missing")
	}
	setDefault(&c.SessionLease, defaultSessionLease)
	setDefault(&c.HoldingLease, defaultHoldingLease)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.TableTimeout, defaultTableTimeout)
	setDefault(&c.Tick, defaultTick)
	if c.SessionLease < time.Second || c.SessionLease > 24*time.Hour {
		return trace.BadParameter("share: SessionLease is %v, must be 1s to 24h", c.SessionLease)
	}
	if c.HoldingLease < 0 || c.HoldingLease > c.SessionLease {
		return trace.BadParameter("share: HoldingLease is %v, must be 0 to SessionLease", c.HoldingLease)
	}
	if c.CallTimeout < 0 || c.TableTimeout < 0 || c.Tick < 0 {
		return trace.BadParameter("share: CallTimeout, TableTimeout and Tick must not be negative")
	}
	c.setDefaultDependencies()
	return nil
}

func (c *Config) setDefaultDependencies() {
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Random == nil {
		c.Random = rand.Float64
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// expiryMargin returns the time after the end of a lease of the given length until
// its expiry is certain. It covers the drift between two clocks over the lease.
func expiryMargin(length time.Duration) time.Duration { return length/100 + 200*time.Millisecond }
