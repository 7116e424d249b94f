// Package gateway is the caller-facing side of an instance: it speaks the PostgreSQL
// protocol to callers, checks their keys, routes each statement to an endpoint and
// returns the complete response or an error with a verdict. It reads the blackboard's
// Configuration, Lease, Endpoints, Groups and Draining and writes nothing there. Its
// invariants: a statement runs only for the organisation whose key the caller
// presented; a commit is acknowledged only after it is confirmed; a statement that may
// have run is retried only if it is a read or declared idempotent, and only before any
// byte of a response was sent.
package gateway

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/gravitational/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/lease"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
	"github.com/hornbeamlock/hornbeamlock/internal/pool"
	"github.com/hornbeamlock/hornbeamlock/internal/position"
)

// Groups is the gateway's view of the group controller.
type Groups interface {
	// Confirm returns nil once a majority holds p in its term.
	Confirm(ctx context.Context, service string, p position.Position) error
	// ReadIndex returns the position of a primary that was proven current after the call
	// began.
	ReadIndex(ctx context.Context, service string) (position.Position, error)
	// ReportFailure reports that a connection to the endpoint failed.
	ReportFailure(endpointID string, err error)
	// AwaitPrimary blocks until a primary of a term other than notTerm is known.
	AwaitPrimary(ctx context.Context, service string, notTerm uint64) (blackboard.Group, error)
	// Touch reports that the service has traffic.
	Touch(service string)
}

// Pools leases connections to endpoints.
type Pools interface {
	Acquire(ctx context.Context, r pool.Request) (*pool.Lease, error)
	InFlight(endpointID string) int
}

// Admission enforces the rate limits of organisations.
type Admission interface {
	// Admit takes one statement from the organisation's rate.
	Admit(ctx context.Context, organisation string) error
	// AllowRetry takes one retry from the organisation's retry budget.
	AllowRetry(organisation string) bool
}

// Config holds the dependencies and settings of a Server.
type Config struct {
	Board         *blackboard.Board
	Groups        Groups
	Pools         Pools
	Admission     Admission
	FailureDomain string
	// TLS is the configuration for callers; if nil, SSL requests are refused.
	TLS     *tls.Config
	Log     *zap.Logger
	Metrics *metrics.Set
	// Tracer creates the spans; nil disables tracing.
	Tracer oteltrace.Tracer
	// Clock is the clock of the serving lease; default lease.BootClock.
	Clock lease.Clock
	// StatementTimeout limits one statement, waits included, if the caller sets no
	// timeout; default 10 s.
	StatementTimeout time.Duration
	// StartupTimeout limits a caller's login; default 10 s.
	StartupTimeout time.Duration
	// WriteTimeout limits how long a write to a caller may block; default 30 s.
	WriteTimeout time.Duration
	// IdleTransactionTimeout limits the time between two statements of one transaction;
	// default 5 min.
	IdleTransactionTimeout time.Duration
	// ReplicaWait limits how long a read waits for a replica that has nearly caught up;
	// default 10 ms.
	ReplicaWait time.Duration
	// KeyWithdrawalGracePeriod is how long a statement in flight may continue after its
	// key is withdrawn; default 1 s.
	KeyWithdrawalGracePeriod time.Duration
	// MaxWaitingForPrimary limits the number of statements that wait for a primary;
	// default 2,048.
	MaxWaitingForPrimary int
	// MaxRequestBytes limits one query string or extended-protocol batch; default 16 MiB.
	MaxRequestBytes int
	// MaxCallers limits the number of connected callers; default 20,000.
	MaxCallers int

	traced bool
}

// CheckAndSetDefaults validates the configuration and sets the defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.Board == nil || c.Groups == nil || c.Pools == nil || c.Admission == nil {
		return trace.BadParameter("gateway: Board, Groups, Pools and Admission are required")
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	_, isNoop := c.Tracer.(noop.Tracer)
	c.traced = c.Tracer != nil && !isNoop
	if c.Clock == nil {
		c.Clock = lease.BootClock
	}
	setDefault(&c.StatementTimeout, 10*time.Second)
	setDefault(&c.StartupTimeout, 10*time.Second)
	setDefault(&c.WriteTimeout, 30*time.Second)
	setDefault(&c.IdleTransactionTimeout, 5*time.Minute)
	setDefault(&c.ReplicaWait, 10*time.Millisecond)
	setDefault(&c.KeyWithdrawalGracePeriod, time.Second)
	setDefault(&c.MaxWaitingForPrimary, 2048)
	setDefault(&c.MaxRequestBytes, 16<<20)
	setDefault(&c.MaxCallers, 20000)
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
