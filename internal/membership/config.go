package membership

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Caller sends a request to the peer at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Configuration is the part of the configuration controller that membership
// needs.
type Configuration interface {
	// Ensure brings the version in force, or the staged one, up to the given
	// versions. It fetches from the peer at address, or from the table if address
	// is empty.
	Ensure(ctx context.Context, version, staged uint64, address string) error
}

// Config holds what a Controller needs.
type Config struct {
	// ID identifies this instance; PeerAddress is the address for its peers.
	ID            string
	FailureDomain string
	PeerAddress   string
	// Seeds are peer addresses that get heartbeats while no known member answers.
	Seeds         []string
	Board         *blackboard.Board
	Table         platform.Table
	Instances     platform.InstanceList
	Caller        Caller
	Configuration Configuration
	Limits        Limits
	Fanout        Fanout
	// HeartbeatInterval is the time between heartbeats to one peer.
	HeartbeatInterval time.Duration
	// PollInterval is the time between two reads of the table, before jitter.
	PollInterval time.Duration
	// ListInterval is the time between two reads of the platform's list of
	// instances, before jitter.
	ListInterval time.Duration
	// Clock also advances while the process or the machine is paused; see package
	// lease.
	Clock lease.Clock
	// Jitter returns a number from 0 to 1; nil stands for a random number.
	Jitter  func() float64
	Log     *zap.Logger
	Metrics *metrics.Set
	Tracer  oteltrace.Tracer
}

// Defaults of Config.
const (
	DefaultHeartbeatInterval = time.Second
	DefaultPollInterval      = 15 * time.Second
	DefaultListInterval      = 30 * time.Second

	// registerRetryInterval is the delay before a failed deregistration is repeated,
	// before jitter. After a failed poll it is doubled once for each failure in a row,
	// at most four times.
	registerRetryInterval = 500 * time.Millisecond
	// relistInterval is the time after which all members' rows are read again even if
	// the epoch row is unchanged.
	relistInterval = 5 * time.Minute
	// unansweredRetryDelay is the time for which a peer that did not answer ranks
	// behind the others.
	unansweredRetryDelay = 5 * time.Second
	// suspectThreshold is the time without an answer after which a member is suspected.
	suspectThreshold = 8 * time.Second
	// tableTimeout bounds one poll of the table, one attempt to deregister, and one read
	// of the list of instances.
	tableTimeout = 2 * time.Second
)

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.ID == "" || c.FailureDomain == "" || c.PeerAddress == "" {
		return trace.BadParameter("ID, FailureDomain and PeerAddress are needed")
	}
	if c.Board == nil || c.Table == nil || c.Caller == nil || c.Configuration == nil {
		return trace.BadParameter("Board, Table, Caller and Configuration are needed")
	}
	c.setDurations()
	if c.Fanout.Own <= 0 {
		c.Fanout.Own = DefaultOwnFanout
	}
	if c.Fanout.Other <= 0 {
		c.Fanout.Other = DefaultOtherFanout
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Jitter == nil {
		c.Jitter = randomJitter
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("membership")
	}
	return nil
}

func (c *Config) setDurations() {
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&c.Limits.Lease, DefaultLease},
		{&c.Limits.Margin, DefaultMargin},
		{&c.Limits.Isolation, DefaultIsolation},
		{&c.HeartbeatInterval, DefaultHeartbeatInterval},
		{&c.PollInterval, DefaultPollInterval},
		{&c.ListInterval, DefaultListInterval},
	} {
		if *d.value <= 0 {
			*d.value = d.defaultValue
		}
	}
}
