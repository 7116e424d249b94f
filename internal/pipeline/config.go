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
	"github.com/hornbeamlock/hornbeamlock/internal/quota"
	"github.com/hornbeamlock/hornbeamlock/internal/request"
)

// Limits and delays of a request.
const (
	// defaultTimeout limits a statement on a route without a timeout of its own.
	defaultTimeout = time.Second
	// minReadAttemptTimeout is the shortest time that a read waits for an answer before it
	// is retried elsewhere. It is well above the duration of ordinary statements.
	minReadAttemptTimeout = 400 * time.Millisecond
	// retryBackoff is the delay before the next attempt when no other endpoint is left
	// to try.
	retryBackoff = 15 * time.Millisecond
	// maxAttempts limits the attempts of one statement.
	maxAttempts = 12
	// maxBusyRefusals is the number of busy refusals after which a statement fails. It
	// equals the usual number of endpoints of a service, which limits how far retries
	// multiply an overload of all of them.
	maxBusyRefusals = 3
	// defaultRetryAfter is the retry delay suggested to callers when no better estimate
	// is available.
	defaultRetryAfter = 100 * time.Millisecond
	// elsewhereRetryAfter is the retry delay suggested to callers whose statement another
	// instance may serve at once. It is the time to connect to that instance.
	elsewhereRetryAfter = 10 * time.Millisecond
)

// Admission enforces the rate limits of organisations.
type Admission interface {
	Admit(ctx context.Context, r quota.Request) error
	Refund(organisation string)
	// Isolated reports whether this instance reaches only few of the others.
	Isolated() bool
}

// Exchange runs one statement on a connection that has the session state in needs. sent
// is false only when the endpoint certainly has not received the statement.
type Exchange func(ctx context.Context, needs backend.Needs, command request.Command) (answer request.Answer, sent bool, err error)

// Config holds the dependencies of a Pipeline.
type Config struct {
	FailureDomain string
	Configuration func() *catalog.Configuration
	Registry      func() *catalog.Registry
	// Region returns the region of a failure domain, empty if it is unknown.
	Region      func(failureDomain string) string
	PrimaryView *leadership.PrimaryView
	Admission   Admission
	Pools       *backend.Pools
	Health      *backend.Health
	// ViaOwner returns the path to the endpoint over connections of its connection owner,
	// another instance, for a transaction or a single statement. It returns false when no
	// other instance owns the endpoint's connections, or when the owner is skipped.
	ViaOwner func(e catalog.Endpoint, organisation string, t backend.Turn) (OwnerPath, bool)
	// Refresh requests newer copies of the primary records and the registry, after an
	// endpoint has contradicted the cached ones.
	Refresh func()
	Clock   lease.Clock
	Log     *zap.Logger
	Metrics *metrics.Set
	// AdmitToEndpoint returns a refusal if the endpoint warms up and has the statements that it
	// may get now. For what only the primary can run it may wait.
	AdmitToEndpoint func(ctx context.Context, e catalog.Endpoint, primary bool) error
	// TransactionGrace is how long transactions that are open at endpoints of a failure
	// domain may run on after this instance has learnt of its evacuation.
	TransactionGrace time.Duration
}

// CheckAndSetDefaults validates the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.Configuration == nil || c.Registry == nil || c.PrimaryView == nil || c.Admission == nil || c.Pools == nil || c.Health == nil {
		return trace.BadParameter("pipeline: every port is required")
	}
	if c.ViaOwner == nil {
		c.ViaOwner = func(catalog.Endpoint, string, backend.Turn) (OwnerPath, bool) { return nil, false }
	}
	if c.AdmitToEndpoint == nil {
		c.AdmitToEndpoint = func(context.Context, catalog.Endpoint, bool) error { return nil }
	}
	if c.Region == nil {
		c.Region = func(string) string { return "" }
	}
	if c.TransactionGrace <= 0 {
		c.TransactionGrace = defaultTransactionGrace
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

// Pipeline runs the statements of sessions.
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
