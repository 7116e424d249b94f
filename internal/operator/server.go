// Package operator serves the administration API over gRPC. Every instance serves
// it, and any instance accepts any call. It reads the blackboard's Members.
// Invariant: a response never holds a password, a key's digest, or a key other
// than the one just created.
package operator

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"gopkg.in/tomb.v2"

	configv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/config/v1"
	operatorv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/operator/v1"
	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/blackboard"
	"github.com/hornbeamlock/hornbeamlock/internal/configuration"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// Configuration is the part of the configuration controller that operators use.
type Configuration interface {
	Accept(ctx context.Context, change *configv1.Change) (configuration.Accepted, error)
	Current() *configv1.Configuration
	ReadVersion(ctx context.Context, version uint64) (*configv1.Configuration, error)
	History(ctx context.Context, limit uint64) ([]*operatorv1.HistoryEntry, error)
	FindChange(ctx context.Context, id string) (*operatorv1.HistoryEntry, error)
}

// Caller sends a request to the peer at an address.
type Caller interface {
	Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error)
}

// Config holds a Server's settings and dependencies.
type Config struct {
	// ID is the id of this instance.
	ID            string
	Board         *blackboard.Board
	Configuration Configuration
	Caller        Caller
	// LiveState returns this instance's live state.
	LiveState func(ctx context.Context) *peerv1.LiveState
	// Drain begins the graceful shutdown of this instance and returns once it has
	// begun; timeout 0 means no limit.
	Drain func(ctx context.Context, timeout time.Duration) error
	// TLS, if set, requires client certificates of operators.
	TLS *tls.Config
	// FleetTimeout limits the time that GetFleet waits for one instance.
	FleetTimeout time.Duration
	Log          *zap.Logger
	Metrics      *metrics.Set
	Tracer       oteltrace.Tracer
}

// DefaultFleetTimeout is the default of Config.FleetTimeout.
const DefaultFleetTimeout = time.Second

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.ID == "" || c.Board == nil || c.Configuration == nil || c.Caller == nil {
		return trace.BadParameter("ID, Board, Configuration and Caller are needed")
	}
	if c.LiveState == nil || c.Drain == nil {
		return trace.BadParameter("LiveState and Drain are needed")
	}
	if c.FleetTimeout <= 0 {
		c.FleetTimeout = DefaultFleetTimeout
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("operator")
	}
	return nil
}

// Server is the administration API of one instance.
type Server struct {
	operatorv1.UnimplementedOperatorServiceServer
	cfg  Config
	grpc *grpc.Server
}

// New returns a server; Serve starts it.
func New(cfg Config) (*Server, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Server{cfg: cfg}
	options := []grpc.ServerOption{grpc.UnaryInterceptor(s.instrument)}
	if cfg.TLS != nil {
		secured := cfg.TLS.Clone()
		secured.ClientAuth = tls.RequireAndVerifyClientCert
		secured.MinVersion = tls.VersionTLS13
		options = append(options, grpc.Creds(credentials.NewTLS(secured)))
	}
	s.grpc = grpc.NewServer(options...)
	operatorv1.RegisterOperatorServiceServer(s.grpc, s)
	return s, nil
}

// instrument starts a span for each call and counts it. A panic ends only the call.
func (s *Server) instrument(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (_ any, err error) {
	defer event.Contain(s.cfg.Log, "operator call", &err)
	ctx, span := s.cfg.Tracer.Start(ctx, info.FullMethod, oteltrace.WithSpanKind(oteltrace.SpanKindServer))
	defer span.End()
	s.cfg.Metrics.Labelled("operator_calls_total").Add(info.FullMethod, 1)
	return handler(ctx, req)
}

// Serve handles calls on the listener until ctx ends. Calls in progress then have
// drainTimeout to finish.
func (s *Server) Serve(ctx context.Context, listener net.Listener, drainTimeout time.Duration) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return trace.Wrap(s.grpc.Serve(listener)) })
		<-ctx.Done()
		stop := time.AfterFunc(drainTimeout, s.grpc.Stop)
		defer stop.Stop()
		s.grpc.GracefulStop()
		return nil
	})
	if err := t.Wait(); err != nil && ctx.Err() == nil {
		return trace.Wrap(err)
	}
	return nil
}
