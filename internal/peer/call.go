package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	oteltrace "go.opentelemetry.io/otel/trace"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
)

// connections holds the connections that this node dialled, by address.
type connections struct {
	mu        sync.Mutex
	byAddress map[string]*connection // guarded by mu
	closed    bool                   // guarded by mu
}

// connection is the connection to one address; it is dialled at the first call.
type connection struct {
	dialSlot            chan struct{} // semaphore of capacity 1, held while dialling
	mu                  sync.Mutex
	conn                *quic.Conn                  // guarded by mu; nil if not connected
	lastUsed            time.Time                   // guarded by mu
	retryAt             time.Time                   // guarded by mu
	backoff             *backoff.ExponentialBackOff // guarded by mu
	dialErr             error                       // guarded by mu
	consecutiveFailures int                         // guarded by mu; failed calls since the last success
}

// get returns the connection of address. It creates the connection if there is none, but
// does not dial.
func (cs *connections) get(address string, maxBackoff time.Duration) (*connection, error) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed {
		return nil, trace.ConnectionProblem(nil, "the node is closed")
	}
	if existing, ok := cs.byAddress[address]; ok {
		return existing, nil
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	created := &connection{dialSlot: make(chan struct{}, 1), backoff: b, lastUsed: time.Now()}
	cs.byAddress[address] = created
	return created, nil
}

func (cs *connections) closeAll() {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closed = true
	for _, c := range cs.byAddress {
		c.close()
	}
}

func (c *connection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil {
		_ = c.conn.CloseWithError(0, "")
		c.conn = nil
	}
}

// Call sends a request to the node at address and returns its response. If the
// response carries an error, Call returns that error.
func (n *Node) Call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	kind := KindOf(req)
	ctx, span := n.cfg.Tracer.Start(ctx, "peer.call", oteltrace.WithSpanKind(oteltrace.SpanKindClient),
		oteltrace.WithAttributes(attribute.String("peer.kind", kind.String()), attribute.String("peer.address", address)))
	defer span.End()
	res, err := n.call(ctx, address, req)
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
		n.cfg.Metrics.Labelled("peer_call_errors_total").Add(kind.String(), 1)
		return nil, trace.Wrap(err, "%s call to %s", kind, address)
	}
	return res, nil
}

func (n *Node) call(ctx context.Context, address string, req *peerv1.Request) (*peerv1.Response, error) {
	stamped := proto.CloneOf(req)
	stamped.From = n.cfg.InstanceID
	c, err := n.connections.get(address, n.cfg.MaxBackoff)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := n.connect(ctx, c, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	receivedBefore := conn.ConnectionStats().PacketsReceived
	res, err := exchange(ctx, conn, stamped)
	if err != nil {
		if c.recordFailure() >= maxConsecutiveFailures || conn.ConnectionStats().PacketsReceived == receivedBefore {
			n.drop(c, conn)
		}
		return nil, trace.Wrap(err)
	}
	c.recordSuccess()
	if res.GetError() != "" {
		return nil, trace.Errorf("the peer refused: %s", res.GetError())
	}
	return res, nil
}

// maxConsecutiveFailures is the number of consecutive failed calls after which a
// connection is dropped. A connection that received no packet during a failed call
// is dropped immediately.
const maxConsecutiveFailures = 2

// recordFailure counts a failed call and returns the number since the last success.
func (c *connection) recordFailure() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.consecutiveFailures++
	return c.consecutiveFailures
}

func (c *connection) recordSuccess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.consecutiveFailures = 0
}

// drop closes a connection that seems unresponsive, so that the next call dials a
// new one: an old connection can be unresponsive while new ones work. A peer with
// only one slow handler keeps its connection, since other calls succeed in between.
func (n *Node) drop(c *connection, conn *quic.Conn) {
	n.cfg.Metrics.Counter("peer_silent_connections_total").Add(1)
	c.mu.Lock()
	if c.conn == conn {
		c.conn, c.consecutiveFailures = nil, 0
	}
	c.mu.Unlock()
	_ = conn.CloseWithError(0, "")
}

// exchange sends a request and receives its response on a new stream.
func exchange(ctx context.Context, conn *quic.Conn, req *peerv1.Request) (*peerv1.Response, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelRead(0)
		stream.CancelWrite(0)
	})
	defer stop()
	if err := writeMessage(stream, req); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := stream.Close(); err != nil {
		return nil, trace.Wrap(err)
	}
	var res peerv1.Response
	if err := readMessage(stream, &res); err != nil {
		stream.CancelRead(0)
		return nil, trace.Wrap(err)
	}
	return &res, nil
}

// connect returns the live connection of c or dials a new one. Concurrent callers
// wait until the dial attempt in progress has ended.
func (n *Node) connect(ctx context.Context, c *connection, address string) (*quic.Conn, error) {
	select {
	case c.dialSlot <- struct{}{}:
		defer func() { <-c.dialSlot }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	now := time.Now()
	if conn, err := c.liveConn(now); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	conn, err := n.dial(ctx, address)
	c.recordDial(time.Now(), conn, err)
	return conn, trace.Wrap(err)
}

// liveConn returns the open connection, an error during the backoff after a failed
// dial, or neither if a new connection must be dialled.
func (c *connection) liveConn(now time.Time) (*quic.Conn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = now
	if c.conn != nil && c.conn.Context().Err() == nil {
		return c.conn, nil
	}
	c.conn = nil
	if now.Before(c.retryAt) {
		return nil, trace.ConnectionProblem(c.dialErr, "connection attempts pause after a failure")
	}
	return nil, nil
}

func (c *connection) recordDial(now time.Time, conn *quic.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn, c.dialErr = conn, err
	if err != nil {
		c.conn = nil
		c.retryAt = now.Add(c.backoff.NextBackOff())
		return
	}
	c.backoff.Reset()
	c.retryAt = time.Time{}
}

func (n *Node) dial(ctx context.Context, address string) (*quic.Conn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.cfg.Metrics.Counter("peer_dials_total").Add(1)
	conn, err := n.transport.Dial(ctx, addr, n.tls, n.quicConfig())
	return conn, trace.Wrap(err)
}

// closeIdlePeriodically closes connections that were unused for the idle timeout.
func (n *Node) closeIdlePeriodically(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.connections.closeIdle(now.Add(-n.cfg.IdleTimeout))
		}
	}
}

func (cs *connections) closeIdle(before time.Time) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	for address, c := range cs.byAddress {
		if c.idleSince(before) {
			c.close()
			delete(cs.byAddress, address)
		}
	}
}

// idleSince reports whether the connection has not been used since before, and is not being
// dialled.
func (c *connection) idleSince(before time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.dialSlot) == 0 && c.lastUsed.Before(before)
}
