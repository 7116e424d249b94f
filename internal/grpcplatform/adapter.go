// Package grpcplatform implements the platform interfaces over gRPC: the table, the
// object store and the instance list at one address, and the agents of the database
// servers at their own. It does not access the blackboard.
//
// Invariant: a call is sent at most once. Whether to retry a call whose response was
// lost is the caller's decision.
package grpcplatform

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	platformv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/platform/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/platform"
)

const (
	defaultCallTimeout         = 5 * time.Second
	defaultMaxGroupConnections = 4096
	maxMessageBytes            = 64 << 20
	keepaliveInterval          = 10 * time.Second
	keepaliveTimeout           = 3 * time.Second
	reconnectBaseDelay         = 50 * time.Millisecond
	reconnectMaxDelay          = time.Second
	reconnectMultiplier        = 1.6
	reconnectJitter            = 0.2
	connectTimeout             = 2 * time.Second
)

// Config holds the address and connection settings of the platform.
type Config struct {
	// Address is the address of the table, the object store and the instance list.
	Address string
	// Credentials secure the connections; the default is plain text.
	Credentials credentials.TransportCredentials
	// CallTimeout bounds calls whose context has no deadline.
	CallTimeout time.Duration
	// MaxGroupConnections limits the open connections to agents; when it is reached,
	// the least recently used idle one is closed.
	MaxGroupConnections int
	// Dial opens a connection to an address; the default uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// CheckAndSetDefaults fills in defaults and returns an error if Address is missing.
func (c *Config) CheckAndSetDefaults() error {
	if c.Address == "" {
		return trace.BadParameter("platform address is missing")
	}
	if c.Credentials == nil {
		c.Credentials = insecure.NewCredentials()
	}
	if c.CallTimeout <= 0 {
		c.CallTimeout = defaultCallTimeout
	}
	if c.MaxGroupConnections <= 0 {
		c.MaxGroupConnections = defaultMaxGroupConnections
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", address)
		}
	}
	return nil
}

// Adapter connects to the platform over gRPC.
type Adapter struct {
	cfg    Config
	conn   *grpc.ClientConn
	groups *groupDialer
}

// New returns an adapter, which connects at the first call.
func New(cfg Config) (*Adapter, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := newConn(&cfg, cfg.Address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	a := &Adapter{cfg: cfg, conn: conn}
	a.groups = newGroupDialer(&a.cfg)
	return a, nil
}

// Platform returns the four interfaces of the platform.
func (a *Adapter) Platform() platform.Platform {
	return platform.Platform{
		Table:     &table{client: platformv1.NewTableServiceClient(a.conn), timeout: a.cfg.CallTimeout},
		Objects:   &objects{client: platformv1.NewObjectServiceClient(a.conn), timeout: a.cfg.CallTimeout},
		Instances: &instances{client: platformv1.NewInstanceListServiceClient(a.conn), timeout: a.cfg.CallTimeout},
		Groups:    a.groups,
	}
}

// Close closes all connections; calls in flight fail.
func (a *Adapter) Close() error {
	a.groups.close()
	return trace.Wrap(a.conn.Close())
}

func newConn(cfg *Config, address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(cfg.Credentials),
		grpc.WithContextDialer(cfg.Dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithDisableRetry(),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout,
			Backoff: backoff.Config{
				BaseDelay: reconnectBaseDelay, Multiplier: reconnectMultiplier,
				Jitter: reconnectJitter, MaxDelay: reconnectMaxDelay,
			},
		}))
	return conn, trace.Wrap(err)
}

// withDefaultTimeout adds the timeout to a context that has no deadline.
func withDefaultTimeout(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, timeout)
}

// traceError converts a gRPC status into the corresponding trace error.
func traceError(err error) error {
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.NotFound:
		return trace.NotFound("%s", status.Convert(err).Message())
	case codes.InvalidArgument:
		return trace.BadParameter("%s", status.Convert(err).Message())
	case codes.Unavailable, codes.DeadlineExceeded:
		return trace.ConnectionProblem(err, "platform does not answer")
	}
	return trace.Wrap(err)
}
