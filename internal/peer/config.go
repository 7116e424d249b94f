package peer

import (
	"crypto/tls"
	"net"
	"time"

	"github.com/gravitational/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
	"go.uber.org/zap"

	"github.com/hornbeamlock/hornbeamlock/internal/metrics"
)

// protocolName is negotiated by ALPN in the handshake, so that other protocols on
// the port are refused.
const protocolName = "hornbeamlock-peer/1"

// Config holds the settings and dependencies of a Node.
type Config struct {
	// InstanceID is set as the sender of every request.
	InstanceID string
	// ListenAddress is an IP address and UDP port; port 0 picks a free one.
	ListenAddress string
	// PacketConn, if set, is used instead of listening on ListenAddress. The node
	// closes it.
	PacketConn net.PacketConn
	// TLS holds this instance's certificate (Certificates) and the authority of its
	// peers (RootCAs and ClientCAs).
	TLS *tls.Config
	// CallTimeout bounds a call whose context has no earlier deadline.
	CallTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// MaxHandlers bounds the requests that are handled concurrently.
	MaxHandlers int
	// MaxBackoff bounds the delay after failed connection attempts.
	MaxBackoff time.Duration
	Log        *zap.Logger
	Metrics    *metrics.Set
	Tracer     oteltrace.Tracer
}

// Defaults of Config.
const (
	DefaultCallTimeout = 2 * time.Second
	DefaultIdleTimeout = 30 * time.Second
	DefaultMaxHandlers = 1024
	DefaultMaxBackoff  = 2 * time.Second

	minBackoff = 50 * time.Millisecond
)

// CheckAndSetDefaults checks the configuration and fills in defaults.
func (c *Config) CheckAndSetDefaults() error {
	if c.InstanceID == "" {
		return trace.BadParameter("InstanceID is missing")
	}
	if c.ListenAddress == "" && c.PacketConn == nil {
		return trace.BadParameter("ListenAddress is missing")
	}
	if c.TLS == nil || len(c.TLS.Certificates) == 0 && c.TLS.GetCertificate == nil {
		return trace.BadParameter("TLS has no certificate")
	}
	if c.TLS.RootCAs == nil || c.TLS.ClientCAs == nil {
		return trace.BadParameter("TLS names no authority for peers")
	}
	setDefault(&c.CallTimeout, DefaultCallTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.MaxBackoff, DefaultMaxBackoff)
	if c.MaxHandlers <= 0 {
		c.MaxHandlers = DefaultMaxHandlers
	}
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = noop.NewTracerProvider().Tracer("peer")
	}
	return nil
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d <= 0 {
		*d = value
	}
}
