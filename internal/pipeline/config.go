package pipeline

import (
	"context"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/backend"
	"github.com/hornbeamlock/hornbeamlock/internal/catalog"
	"github.com/hornbeamlock/hornbeamlock/internal/leadership"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// Times of a request.
const (
	// defaultTimeout bounds a statement on a route without a timeout.
	defaultTimeout = time.Second
	// maxAdmissionWait is the longest wait for the organisation's rate: some
	// rounds of borrowing, and a small part of the latency objectives.
	maxAdmissionWait = 150 * time.Millisecond
	// minReadAttemptTimeout is the shortest time that a read may go without an answer
	// before it is tried elsewhere: well above the longest usual statement.
	minReadAttemptTimeout = 400 * time.Millisecond
	// retryBackoff spaces attempts after a failure with nowhere else to go.
	retryBackoff = 15 * time.Millisecond
	// maxAttempts bounds the attempts of one statement.
	maxAttempts = 12
	// maxBusyRefusals is how many endpoints may refuse a statement as busy before its caller is
	// told: as many as a service has, so that a load beyond all of them is multiplied
	// by no more.
	maxBusyRefusals = 3
	// defaultRetryAfter is told to callers when no better forecast is at hand.
	defaultRetryAfter = 100 * time.Millisecond
	// elsewhereRetryAfter is told to callers that another instance may serve at once: the
	// time to connect to it.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// Admission lets operations in within their organisation's limit.
type Admission interface {
	Admit(ctx context.Context, organisation string, patience time.Duration) error
	Refund(organisation string)
	// Isolated tells whether this instance reaches few of the others.
	Isolated() bool
}

// Exchange runs one statement on a connection with what it needs. Sent is false when
// the endpoint has surely not seen it.
type Exchange func(ctx context.Context, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error)

// Config describes a Pipeline.
type Config struct {
	FailureDomain string
	Configuration func() *catalog.Configuration
	Registry      func() *catalog.Registry
	PrimaryView   *leadership.PrimaryView
	Admission     Admission
	Pools         *backend.Pools
	Health        *backend.Health
	// ReadViaOwner returns a way to run a read at the endpoint over a connection that
	// another instance keeps; false when none does, or that one does not answer.
	ReadViaOwner func(e catalog.Endpoint, organisation string, priority int) (Exchange, bool)
	// Refresh asks for newer copies of primaries and registry, after an endpoint
	// has contradicted the present ones.
	Refresh func()
	Clock   lease.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
}

// CheckAndSetDefaults validates the configuration.
func (c *Config) CheckAndSetDefaults() error {
	if c.Configuration == nil || c.Registry == nil || c.PrimaryView == nil || c.Admission == nil || c.Pools == nil || c.Health == nil {
		return trace.BadParameter("pipeline: every port is required")
	}
	if c.ReadViaOwner == nil {
		c.ReadViaOwner = func(catalog.Endpoint, string, int) (Exchange, bool) { return nil, false }
	}
	if c.Refresh == nil {
		c.Refresh = func() {}
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
	return nil
}

// Pipeline serves sessions.
type Pipeline struct {
	cfg        Config
	fresh      *freshness
	requestLog *requestLog
}

// New returns a Pipeline.
func New(cfg Config) (*Pipeline, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	return &Pipeline{cfg: cfg, fresh: newFreshness(), requestLog: newRequestLog(cfg.Log, cfg.Metrics)}, nil
}
