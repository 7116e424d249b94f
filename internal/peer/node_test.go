package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	peerv1 "github.com/hornbeamlock/hornbeamlock/api/hornbeamlock/peer/v1"
	"github.com/hornbeamlock/hornbeamlock/internal/peer/peertls"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startNode(t *testing.T, bundle *peertls.Bundle, id, address string, h Handler) *Node {
	t.Helper()
	config, err := bundle.TLS(id)
	require.NoError(t, err)
	node, err := New(Config{InstanceID: id, ListenAddress: address, TLS: config})
	require.NoError(t, err)
	if h != nil {
		node.Handle(KindHeartbeat, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- node.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return node
}

func heartbeat() *peerv1.Request {
	return &peerv1.Request{Kind: &peerv1.Request_Heartbeat{Heartbeat: &peerv1.Heartbeat{Version: 7}}}
}

func echo(_ context.Context, req *peerv1.Request) *peerv1.Response {
	return &peerv1.Response{Kind: &peerv1.Response_Heartbeat{Heartbeat: &peerv1.HeartbeatAck{
		Version: req.GetHeartbeat().GetVersion(), Members: []*peerv1.Member{{Id: req.GetFrom()}},
	}}}
}

func bundle(t *testing.T, ids ...string) *peertls.Bundle {
	t.Helper()
	b, err := peertls.Generate(ids...)
	require.NoError(t, err)
	return b
}

func TestCallReachesTheHandlerOfItsKind(t *testing.T) {
	b := bundle(t, "a", "b")
	server := startNode(t, b, "a", "127.0.0.1:0", echo)
	client := startNode(t, b, "b", "127.0.0.1:0", nil)
	for range 3 {
		res, err := client.Call(t.Context(), server.Address(), heartbeat())
		require.NoError(t, err)
		require.Equal(t, uint64(7), res.GetHeartbeat().GetVersion())
		require.Equal(t, "b", res.GetHeartbeat().GetMembers()[0].GetId())
	}
	require.Equal(t, "1", client.cfg.Metrics.Counter("peer_dials_total").String())
	_, err := client.Call(t.Context(), server.Address(), &peerv1.Request{Kind: &peerv1.Request_LiveState{}})
	require.ErrorContains(t, err, "no handler for live_state")
	_, err = server.Call(t.Context(), client.Address(), heartbeat())
	require.ErrorContains(t, err, "no handler for heartbeat")
}

// TestPanicOfAHandlerEndsOneRequest checks that the node answers and serves the next request.
func TestPanicOfAHandlerEndsOneRequest(t *testing.T) {
	b := bundle(t, "a", "b")
	calls := 0
	server := startNode(t, b, "a", "127.0.0.1:0", func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		if calls++; calls == 1 {
			panic("unexpected")
		}
		return echo(ctx, req)
	})
	client := startNode(t, b, "b", "127.0.0.1:0", nil)
	_, err := client.Call(t.Context(), server.Address(), heartbeat())
	require.ErrorContains(t, err, "unexpected")
	_, err = client.Call(t.Context(), server.Address(), heartbeat())
	require.NoError(t, err)
}

func TestPeerWithUntrustedCertificateIsRefused(t *testing.T) {
	server := startNode(t, bundle(t, "a"), "a", "127.0.0.1:0", echo)
	untrusted := startNode(t, bundle(t, "b"), "b", "127.0.0.1:0", nil)
	_, err := untrusted.Call(t.Context(), server.Address(), heartbeat())
	require.Error(t, err)
}

func TestCallsReconnectAfterThePeerRestarts(t *testing.T) {
	b := bundle(t, "a", "b")
	client := startNode(t, b, "b", "127.0.0.1:0", nil)
	var address string
	t.Run("first", func(t *testing.T) {
		first := startNode(t, b, "a", "127.0.0.1:0", echo)
		address = first.Address()
		_, err := client.Call(t.Context(), address, heartbeat())
		require.NoError(t, err)
	})
	startNode(t, b, "a", address, echo)
	require.Eventually(t, func() bool {
		_, err := client.Call(t.Context(), address, heartbeat())
		return err == nil
	}, eventuallyTimeout, eventuallyInterval)
}

// lossyConn drops every packet sent while dropping is set, like a network path
// that has lost its state for a connection.
type lossyConn struct {
	net.PacketConn
	dropping atomic.Bool
}

func (c *lossyConn) WriteTo(p []byte, to net.Addr) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.PacketConn.WriteTo(p, to)
}

func TestTimedOutCalls(t *testing.T) {
	cases := []struct {
		name         string
		unresponsive bool // no packets are sent; otherwise the handler is slow
		dropped      string
	}{{"an unresponsive connection is dropped", true, "1"}, {"a slow handler keeps its connection", false, "0"}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := bundle(t, "a", "b")
			release := make(chan struct{})
			server := startNode(t, b, "a", "127.0.0.1:0", func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
				if req.GetHeartbeat().GetStagedVersion() == 1 {
					<-release
				}
				return echo(ctx, req)
			})
			udp, err := net.ListenPacket("udp", "127.0.0.1:0")
			require.NoError(t, err)
			lossy := &lossyConn{PacketConn: udp}
			config, err := b.TLS("b")
			require.NoError(t, err)
			client, err := New(Config{InstanceID: "b", PacketConn: lossy, TLS: config})
			require.NoError(t, err)
			defer client.Close()
			_, err = client.Call(t.Context(), server.Address(), heartbeat())
			require.NoError(t, err)
			slow := heartbeat()
			slow.GetHeartbeat().StagedVersion = 1
			lossy.dropping.Store(c.unresponsive)
			for range maxConsecutiveFailures {
				ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
				_, err = client.Call(ctx, server.Address(), slow)
				cancel()
				require.Error(t, err)
				if !c.unresponsive {
					_, err = client.Call(t.Context(), server.Address(), heartbeat())
					require.NoError(t, err)
				}
			}
			lossy.dropping.Store(false)
			close(release)
			require.Equal(t, c.dropped, client.cfg.Metrics.Counter("peer_silent_connections_total").String())
			call := func() error {
				_, err := client.Call(t.Context(), server.Address(), heartbeat())
				return err
			}
			if !c.unresponsive {
				require.NoError(t, call())
				return
			}
			// Without a packet in flight the first call drops the connection; the second then
			// fails to dial, and attempts pause for MaxBackoff at most.
			require.Eventually(t, func() bool { return call() == nil }, client.cfg.MaxBackoff+time.Second, 10*time.Millisecond)
		})
	}
}

func TestHandlersAreBounded(t *testing.T) {
	b := bundle(t, "a", "b")
	release, entered := make(chan struct{}), make(chan struct{})
	var calls atomic.Int32
	config, err := b.TLS("a")
	require.NoError(t, err)
	server, err := New(Config{InstanceID: "a", ListenAddress: "127.0.0.1:0", TLS: config, MaxHandlers: 1})
	require.NoError(t, err)
	defer server.Close()
	server.Handle(KindHeartbeat, func(ctx context.Context, req *peerv1.Request) *peerv1.Response {
		if calls.Add(1) == 1 {
			close(entered)
			<-release
		}
		return echo(ctx, req)
	})
	first := make(chan string, 1)
	go func() { first <- server.dispatch(t.Context(), heartbeat()).GetError() }()
	<-entered
	require.Contains(t, server.dispatch(t.Context(), heartbeat()).GetError(), "too many requests")
	close(release)
	require.Empty(t, <-first)
}

func TestOversizedMessagesAreRefusedBeforeReading(t *testing.T) {
	var prefix [4]byte
	binary.BigEndian.PutUint32(prefix[:], MaxMessageBytes+1)
	require.ErrorContains(t, readMessage(bytes.NewReader(prefix[:]), &peerv1.Request{}), "exceeds")
}

func FuzzReadMessage(f *testing.F) {
	var valid bytes.Buffer
	require.NoError(f, writeMessage(&valid, heartbeat()))
	f.Add(valid.Bytes())
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		var req peerv1.Request
		if readMessage(bytes.NewReader(data), &req) != nil {
			return
		}
		var again bytes.Buffer
		require.NoError(t, writeMessage(&again, &req))
	})
}
