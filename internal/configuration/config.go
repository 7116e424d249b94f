package configuration

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
	"github.com/hornbeamlock/hornbeamlock/internal/membership"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

// Caller sends a request to the peer at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Membership is the part of the membership controller that this package uses.
type Membership interface {
	// Self returns this instance.
	Self() *peerv1.Member
	// Limits returns the time limits of serving leases.
	Limits() membership.Limits
	// ReportGrants returns the leases that this instance granted, and their holders.
	ReportGrants() (membership.GrantReport, []*peerv1.Member)
	// HasSuspects reports whether a registered member has been unresponsive for long.
	HasSuspects() bool
	// Members returns all known members, this instance included.
	Members() []*peerv1.Member
}

// Config holds a Controller's settings and dependencies.
type Config struct {
	// ID is the id of this instance.
	ID      string
	Board   *blackboard.Board
	Table   platform.Table
	Objects platform.Objects
	Caller  Caller
	Clock   lease.Clock
	// AcceptTimeout limits the time that one change may take, including its
	// resolution. Finding out the outcome of an uncertain commit may take as long
	// again.
	AcceptTimeout time.Duration
	// AbandonThreshold is the age above which a pending change of another coordinator
	// may be aborted; it must exceed AcceptTimeout.
	AbandonThreshold time.Duration
	// OutcomeCheckDelay is the time that a staged change waits for its outcome before this
	// instance reads the outcome from the table.
	OutcomeCheckDelay time.Duration
	// HistoryKept is the number of accepted changes kept in the table.
	HistoryKept uint64
	// StageConcurrency limits the concurrent requests to peers.
	StageConcurrency int
	Log              *zap.Logger
	Metrics          *metrics.Set
	Tracer           oteltrace.Tracer
}

// Defaults of Config.
const (
	DefaultAcceptTimeout     = 5 * time.Second
	DefaultAbandonThreshold  = 8 * time.Second
	DefaultOutcomeCheckDelay = 3 * time.Second
	DefaultStageConcurrency  = 128
	DefaultHistoryKept       = 10_000

	tableTimeout        = 1500 * time.Millisecond // one operation on the table
	retryInterval       = 100 * time.Millisecond
	restageInterval     = 250 * time.Millisecond
	resolveReserve      = 700 * time.Millisecond // part of AcceptTimeout that is reserved for the resolution
	stageTimeout        = time.Second            // one request to a peer
	outcomePollInterval = 500 * time.Millisecond
)

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.ID == "" || c.Board == nil || c.Table == nil || c.Caller == nil {
		return trace.BadParameter("ID, Board, Table and Caller are needed")
	}
	for _, d := range []struct {
		value        *time.Duration
		defaultValue time.Duration
	}{
		{&c.AcceptTimeout, DefaultAcceptTimeout},
		{&c.AbandonThreshold, DefaultAbandonThreshold},
		{&c.OutcomeCheckDelay, DefaultOutcomeCheckDelay},
	} {
		if *d.value <= 0 {
			*d.value = d.defaultValue
		}
	}
	if c.AbandonThreshold <= c.AcceptTimeout {
		return trace.BadParameter("AbandonThreshold must exceed AcceptTimeout")
	}
	if c.HistoryKept == 0 {
		c.HistoryKept = DefaultHistoryKept
	}
	if c.StageConcurrency <= 0 {
		c.StageConcurrency = DefaultStageConcurrency
	}
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("configuration")
	}
	return nil
}
