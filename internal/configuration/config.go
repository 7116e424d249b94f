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

// Membership is the part of the membership controller that is needed here.
type Membership interface {
	// Self is this instance.
	Self() *peerv1.Member
	// Limits are the limits of the serving leases.
	Limits() membership.Limits
	// ReportGrants tells of the leases that this instance granted.
	ReportGrants() (membership.GrantReport, []*peerv1.Member)
	// HasSuspects tells whether a registered member has not answered for long.
	HasSuspects() bool
	// Members are all known members, this instance included.
	Members() []*peerv1.Member
}

// Config holds what a Controller needs.
type Config struct {
	// ID names this instance.
	ID      string
	Board   *blackboard.Board
	Table   platform.Table
	Objects platform.Objects
	Caller  Caller
	Clock   lease.Clock
	// AcceptTimeout bounds the acceptance of one change, its resolution included.
	AcceptTimeout time.Duration
	// AbandonThreshold is the age at which a pending change of another coordinator
	// may be aborted; it must exceed AcceptTimeout.
	AbandonThreshold time.Duration
	// OutcomeCheckDelay is for how long a staged change waits for its outcome before this
	// instance looks at the table.
	OutcomeCheckDelay time.Duration
	// HistoryKept is the number of accepted changes that the table keeps.
	HistoryKept uint64
	// StageConcurrency bounds the peers that are told at once.
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

	tableTimeout   = 1500 * time.Millisecond
	retryPause     = 100 * time.Millisecond
	restagePause   = 250 * time.Millisecond
	resolveReserve = 700 * time.Millisecond
	stageTimeout   = time.Second
	askInterval    = 500 * time.Millisecond
)

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.ID == "" || c.Board == nil || c.Table == nil || c.Caller == nil {
		return trace.BadParameter("ID, Board, Table and Caller are needed")
	}
	for _, d := range []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&c.AcceptTimeout, DefaultAcceptTimeout},
		{&c.AbandonThreshold, DefaultAbandonThreshold},
		{&c.OutcomeCheckDelay, DefaultOutcomeCheckDelay},
	} {
		if *d.value <= 0 {
			*d.value = d.standard
		}
	}
	if c.AbandonThreshold <= c.AcceptTimeout {
		return trace.BadParameter("TakeOverAfter must exceed AcceptTimeout")
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
