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

// Defaults.
const (
	defaultSessionLease = 10 * time.Minute
	defaultPartLease    = 10 * time.Second
	defaultCallTimeout  = 250 * time.Millisecond
	defaultTableTimeout = 2 * time.Second
	defaultTick         = 50 * time.Millisecond
)

// Peers sends requests to other instances.
type Peers interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Config sets up a Controller.
type Config struct {
	// Self is this instance. ID, FailureDomain and Incarnation are required.
	Self blackboard.Member
	// Board and Table are required.
	Board *blackboard.Board
	Table platform.Table
	// Peers may be nil; then every instance leases its own parts from the table.
	Peers Peers
	// Clock counts pauses; nil means lease.BootClock.
	Clock lease.Clock
	// SessionLease is for how long an instance goes on without the table, and
	// for how long the parts of one that vanished are missing; 1 s to 24 h, 0
	// means 10 min.
	SessionLease time.Duration
	// HoldingLease is the lease of an instance's part within its failure domain,
	// at most SessionLease; 0 means 10 s.
	HoldingLease time.Duration
	// CallTimeout bounds a request to a peer; 0 means 250 ms.
	CallTimeout time.Duration
	// TableTimeout bounds a call of the table; 0 means 2 s.
	TableTimeout time.Duration
	// Tick is how often demand is estimated; 0 means 50 ms.
	Tick time.Duration
	// Ended tells that an instance surely cannot serve any more and will not
	// without a new incarnation, so that its parts return before its session
	// lapses. An instance with this set uses its parts only while its serving
	// lease lasts without a gap. It must report true only PartLease after the
	// end. Nil means that only leases tell.
	Ended func(id string, incarnation uint64) bool
	// Random returns numbers from 0 to 1 for jitter; nil means math/rand.
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
	setDuration(&c.SessionLease, defaultSessionLease)
	setDuration(&c.HoldingLease, defaultPartLease)
	setDuration(&c.CallTimeout, defaultCallTimeout)
	setDuration(&c.TableTimeout, defaultTableTimeout)
	setDuration(&c.Tick, defaultTick)
	if c.SessionLease < time.Second || c.SessionLease > 24*time.Hour {
		return trace.BadParameter("share: SessionLease is %v, must be 1s to 24h", c.SessionLease)
	}
	if c.HoldingLease < 0 || c.HoldingLease > c.SessionLease {
		return trace.BadParameter("share: PartLease is %v, must be 0 to SessionLease", c.HoldingLease)
	}
	if c.CallTimeout < 0 || c.TableTimeout < 0 || c.Tick < 0 {
		return trace.BadParameter("share: CallTimeout, TableTimeout and Tick must not be negative")
	}
	c.setServices()
	return nil
}

func (c *Config) setServices() {
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

func setDuration(d *time.Duration, otherwise time.Duration) {
	if *d == 0 {
		*d = otherwise
	}
}

// margin covers the drift between two clocks over a lease.
func margin(length time.Duration) time.Duration { return length/100 + 200*time.Millisecond }
