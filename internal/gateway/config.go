// Package gateway is the callers' side of an instance: it speaks the PostgreSQL
// protocol to callers, checks their keys, places each statement on an endpoint and
// gives the caller the whole answer or an error with a verdict. It reads the
// blackboard's Configuration, Lease, Endpoints, Groups and Draining and writes
// nothing there. Its invariants: a statement runs only for the organisation whose
// key came with it; a commit is acknowledged only once it is confirmed; a
// statement that may have run is repeated only if it is a read or declared
// idempotent, and only before a byte of an answer has left.
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

// Groups is what the gateway asks of the group controller.
type Groups interface {
	// Confirm returns nil once a majority holds p in its term.
	Confirm(ctx context.Context, service string, p position.Position) error
	// ReadIndex returns the position of a primary that was proven current after
	// the call began.
	ReadIndex(ctx context.Context, service string) (position.Position, error)
	// ReportFailure tells that a connection to the endpoint failed.
	ReportFailure(endpointID string, err error)
	// AwaitPrimary blocks until a primary of another term than notTerm is known.
	AwaitPrimary(ctx context.Context, service string, notTerm uint64) (blackboard.Group, error)
	// Touch tells that the service has traffic.
	Touch(service string)
}

// Pools gives connections to endpoints.
type Pools interface {
	Acquire(ctx context.Context, r pool.Request) (*pool.Lease, error)
	InFlight(endpointID string) int
}

// Admission holds organisations to their rates.
type Admission interface {
	// Admit spends one statement of the organisation's rate.
	Admit(ctx context.Context, organisation string) error
	// AllowRetry spends one repetition of its retry budget.
	AllowRetry(organisation string) bool
}

// Config describes a Server.
type Config struct {
	Board         *blackboard.Board
	Groups        Groups
	Pools         Pools
	Admission     Admission
	FailureDomain string
	// TLS is the configuration for callers; nil refuses SSL requests.
	TLS     *tls.Config
	Log     *zap.Logger
	Metrics *metrics.Set
	// Tracer makes the spans; nil makes none.
	Tracer oteltrace.Tracer
	// Clock measures the serving lease; default lease.BootClock.
	Clock lease.Clock
	// StatementTimeout bounds one statement, waiting included, when the caller
	// states none; default 10 s.
	StatementTimeout time.Duration
	// StartupTimeout bounds a caller's login; default 10 s.
	StartupTimeout time.Duration
	// WriteTimeout bounds how long a caller may leave an answer unread; default 30 s.
	WriteTimeout time.Duration
	// IdleTransactionTimeout bounds the pause between two statements of one
	// transaction; default 5 min.
	IdleTransactionTimeout time.Duration
	// ReplicaWait is how long a read waits at most for a replica that is nearly
	// there; default 10 ms.
	ReplicaWait time.Duration
	// WithdrawGrace is how long a statement under way may go on once its key is
	// withdrawn; default 1 s.
	WithdrawGrace time.Duration
	// MaxWaiting bounds the statements that wait for a primary; default 2,048.
	MaxWaiting int
	// MaxRequestBytes bounds one query string or extended batch; default 16 MiB.
	MaxRequestBytes int
	// MaxCallers bounds the connected callers; default 20,000.
	MaxCallers int

	traced bool
}

// CheckAndSetDefaults validates the configuration.
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
	setDefault(&c.WithdrawGrace, time.Second)
	setDefault(&c.MaxWaiting, 2048)
	setDefault(&c.MaxRequestBytes, 16<<20)
	setDefault(&c.MaxCallers, 20000)
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}
