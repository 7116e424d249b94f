// Package peer exchanges messages between instances over QUIC with mutual TLS.
// Each stream carries one request and one response. A Node listens and dials on
// one UDP socket and keeps one connection per address. It accesses no blackboard
// table. Invariant: a call returns either the response to its own request or an
// error; after an error it is unknown whether the peer handled the request.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/quic-go/quic-go"
	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/semaphore"
	"gopkg.in/tomb.v2"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/event"
)

// Handler handles one request and must return a response. The context ends when
// the node stops.
type Handler func(ctx context.Context, req *peerv1.Request) *peerv1.Response

// Node is an instance's side of its peer connections, as server and client.
type Node struct {
	cfg          Config
	tls          *tls.Config
	packetConn   net.PacketConn
	transport    *quic.Transport
	listener     *quic.Listener
	handlers     map[Kind]Handler
	handlerSlots *semaphore.Weighted
	connections  connections
}

// New opens the node's socket, so that Address is available before Run.
func New(cfg Config) (*Node, error) {
	if err := cfg.CheckAndSetDefaults(); err != nil {
		return nil, trace.Wrap(err)
	}
	packetConn := cfg.PacketConn
	if packetConn == nil {
		var err error
		if packetConn, err = listenUDP(cfg.ListenAddress); err != nil {
			return nil, trace.Wrap(err)
		}
	}
	n := &Node{
		cfg:          cfg,
		tls:          peerTLS(cfg.TLS),
		packetConn:   packetConn,
		transport:    &quic.Transport{Conn: packetConn},
		handlers:     make(map[Kind]Handler),
		handlerSlots: semaphore.NewWeighted(int64(cfg.MaxHandlers)),
	}
	n.connections.byAddress = make(map[string]*connection)
	listener, err := n.transport.Listen(n.tls, n.quicConfig())
	if err != nil {
		return nil, trace.NewAggregate(err, n.transport.Close(), packetConn.Close())
	}
	n.listener = listener
	return n, nil
}

func listenUDP(address string) (net.PacketConn, error) {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	conn, err := net.ListenUDP("udp", addr)
	return conn, trace.Wrap(err)
}

// peerTLS returns base with the settings that every peer connection needs. Peers
// are addressed by IP address only, so the certificate is verified against the
// authority and not against a host name.
func peerTLS(base *tls.Config) *tls.Config {
	c := base.Clone()
	c.MinVersion = tls.VersionTLS13
	c.NextProtos = []string{protocolName}
	c.ClientAuth = tls.RequireAndVerifyClientCert
	c.InsecureSkipVerify = true
	c.VerifyConnection = verifyPeer(base)
	return c
}

func (n *Node) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  n.cfg.CallTimeout,
		MaxIdleTimeout:        n.cfg.IdleTimeout,
		MaxIncomingStreams:    int64(n.cfg.MaxHandlers),
		MaxIncomingUniStreams: -1,
	}
}

// Address returns the IP address and port on which the node listens.
func (n *Node) Address() string { return n.packetConn.LocalAddr().String() }

// Handle registers the handler of a kind. It must be called before Run.
func (n *Node) Handle(kind Kind, h Handler) { n.handlers[kind] = h }

// Run accepts connections until ctx ends, then closes the socket.
func (n *Node) Run(ctx context.Context) error {
	t, ctx := tomb.WithContext(ctx)
	t.Go(func() error {
		t.Go(func() error { return n.accept(ctx, t) })
		t.Go(func() error { return n.closeIdlePeriodically(ctx) })
		<-ctx.Done()
		return n.Close()
	})
	err := ignoreClosed(t.Wait())
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return trace.Wrap(err)
}

// Close closes every connection and the socket. Run calls it when it ends; call it
// directly for a node that never ran.
func (n *Node) Close() error {
	n.connections.closeAll()
	return trace.NewAggregate(ignoreClosed(n.listener.Close()),
		ignoreClosed(n.transport.Close()), ignoreClosed(n.packetConn.Close()))
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) || errors.Is(err, quic.ErrServerClosed) ||
		errors.Is(err, quic.ErrTransportClosed) {
		return nil
	}
	return err
}

func (n *Node) accept(ctx context.Context, t *tomb.Tomb) error {
	for {
		conn, err := n.listener.Accept(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		t.Go(func() error { n.serveConn(ctx, conn); return nil })
	}
}

func (n *Node) serveConn(ctx context.Context, conn *quic.Conn) {
	var streams sync.WaitGroup
	defer streams.Wait()
	defer func() { _ = conn.CloseWithError(0, "") }()
	for {
		stream, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		streams.Go(func() { n.serveStream(ctx, stream) })
	}
}

func (n *Node) serveStream(ctx context.Context, stream *quic.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(n.cfg.CallTimeout))
	var req peerv1.Request
	if err := readMessage(stream, &req); err != nil {
		stream.CancelRead(0)
		return
	}
	res := n.dispatch(ctx, &req)
	_ = stream.SetWriteDeadline(time.Now().Add(n.cfg.CallTimeout))
	if err := writeMessage(stream, res); err != nil {
		stream.CancelWrite(0)
	}
}

// dispatch runs the handler of the request's kind, or refuses the request if
// MaxHandlers requests are already in progress.
func (n *Node) dispatch(ctx context.Context, req *peerv1.Request) *peerv1.Response {
	kind := KindOf(req)
	handler, ok := n.handlers[kind]
	if !ok {
		return &peerv1.Response{Error: "no handler for " + kind.String()}
	}
	if !n.handlerSlots.TryAcquire(1) {
		n.cfg.Metrics.Counter("peer_requests_refused_total").Add(1)
		return &peerv1.Response{Error: "too many requests in progress"}
	}
	defer n.handlerSlots.Release(1)
	n.cfg.Metrics.Labelled("peer_requests_total").Add(kind.String(), 1)
	ctx, span := n.cfg.Tracer.Start(ctx, "peer.handle", oteltrace.WithSpanKind(oteltrace.SpanKindServer),
		oteltrace.WithAttributes(attribute.String("peer.kind", kind.String()), attribute.String("peer.from", req.GetFrom())))
	defer span.End()
	return n.handle(ctx, handler, req)
}

// handle runs a handler; a panic of it ends only this request.
func (n *Node) handle(ctx context.Context, handler Handler, req *peerv1.Request) (response *peerv1.Response) {
	var panicked error
	defer func() {
		if panicked != nil {
			response = &peerv1.Response{Error: panicked.Error()}
		}
	}()
	defer event.Contain(n.cfg.Log, "peer request", &panicked)
	return handler(ctx, req)
}
