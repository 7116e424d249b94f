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

// links are the connections that this node dialled, by address.
type links struct {
	mu        sync.Mutex
	byAddress map[string]*link // guarded by mu
	closed    bool             // guarded by mu
}

// link is the connection to one address, made at the first call.
type link struct {
	dialling chan struct{} // holds one token: whoever has it may dial
	mu       sync.Mutex
	conn     *quic.Conn                  // guarded by mu; nil while there is none
	used     time.Time                   // guarded by mu
	retryAt  time.Time                   // guarded by mu
	backoff  *backoff.ExponentialBackOff // guarded by mu
	failure  error                       // guarded by mu
	failures int                         // guarded by mu; calls that failed since one succeeded
}

func (l *links) get(address string, maxBackoff time.Duration) (*link, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, trace.ConnectionProblem(nil, "the node is closed")
	}
	if known, ok := l.byAddress[address]; ok {
		return known, nil
	}
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minBackoff
	b.MaxInterval = maxBackoff
	made := &link{dialling: make(chan struct{}, 1), backoff: b, used: time.Now()}
	l.byAddress[address] = made
	return made, nil
}

func (l *links) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, k := range l.byAddress {
		k.close()
	}
}

func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.conn != nil {
		_ = k.conn.CloseWithError(0, "")
		k.conn = nil
	}
}

// Call sends a request to the node at address and returns its response. A
// response that carries an error is returned as that error.
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
	k, err := n.links.get(address, n.cfg.MaxBackoff)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := n.connect(ctx, k, address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	before := conn.ConnectionStats().PacketsReceived
	res, err := exchange(ctx, conn, stamped)
	if err != nil {
		if k.failed() >= maxFailures || conn.ConnectionStats().PacketsReceived == before {
			n.drop(k, conn)
		}
		return nil, trace.Wrap(err)
	}
	k.succeeded()
	if res.GetError() != "" {
		return nil, trace.Errorf("the peer refused: %s", res.GetError())
	}
	return res, nil
}

// maxFailures is the number of calls that fail one after another before their
// connection is given up.
const maxFailures = 2

// failed counts a failed call and returns the number since the last success.
func (k *link) failed() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failures++
	return k.failures
}

func (k *link) succeeded() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.failures = 0
}

// drop closes a connection that seems silent, so that the next call dials anew:
// an old connection can be silent while new ones work. A peer of which only one
// handler is slow keeps its connection, since other calls succeed in between.
func (n *Node) drop(k *link, conn *quic.Conn) {
	n.cfg.Metrics.Counter("peer_silent_connections_total").Add(1)
	k.mu.Lock()
	if k.conn == conn {
		k.conn, k.failures = nil, 0
	}
	k.mu.Unlock()
	_ = conn.CloseWithError(0, "")
}

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

// connect returns the live connection of k or dials one; callers that come while
// one dials wait for it.
func (n *Node) connect(ctx context.Context, k *link, address string) (*quic.Conn, error) {
	select {
	case k.dialling <- struct{}{}:
		defer func() { <-k.dialling }()
	case <-ctx.Done():
		return nil, trace.Wrap(ctx.Err())
	}
	now := time.Now()
	if conn, err := k.current(now); conn != nil || err != nil {
		return conn, trace.Wrap(err)
	}
	conn, err := n.dial(ctx, address)
	k.dialled(time.Now(), conn, err)
	return conn, trace.Wrap(err)
}

// current returns the usable connection, or an error during a backoff pause.
func (k *link) current(now time.Time) (*quic.Conn, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = now
	if k.conn != nil && k.conn.Context().Err() == nil {
		return k.conn, nil
	}
	k.conn = nil
	if now.Before(k.retryAt) {
		return nil, trace.ConnectionProblem(k.failure, "connection attempts pause after a failure")
	}
	return nil, nil
}

func (k *link) dialled(now time.Time, conn *quic.Conn, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conn, k.failure = conn, err
	if err != nil {
		k.conn = nil
		k.retryAt = now.Add(k.backoff.NextBackOff())
		return
	}
	k.backoff.Reset()
	k.retryAt = time.Time{}
}

func (n *Node) dial(ctx context.Context, address string) (*quic.Conn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	n.cfg.Metrics.Counter("peer_dials_total").Add(1)
	conn, err := n.transport.Dial(ctx, udp, n.tls, n.quicConfig())
	return conn, trace.Wrap(err)
}

// sweep closes connections that had no call for the idle timeout.
func (n *Node) sweep(ctx context.Context) error {
	ticker := time.NewTicker(n.cfg.IdleTimeout / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.links.closeIdle(now.Add(-n.cfg.IdleTimeout))
		}
	}
}

func (l *links) closeIdle(before time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for address, k := range l.byAddress {
		if k.idleSince(before) {
			k.close()
			delete(l.byAddress, address)
		}
	}
}

func (k *link) idleSince(before time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.dialling) == 0 && k.used.Before(before)
}
