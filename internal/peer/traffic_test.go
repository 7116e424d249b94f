package peer

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// countingConn counts the UDP payload bytes and packets that a node sends and
// receives.
type countingConn struct {
	net.PacketConn
	bytes, packets atomic.Int64
}

func (c *countingConn) ReadFrom(p []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(p)
	c.bytes.Add(int64(n))
	c.packets.Add(1)
	return n, from, err
}

func (c *countingConn) WriteTo(p []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(p, to)
	c.bytes.Add(int64(n))
	c.packets.Add(1)
	return n, err
}

// maxCallBytes bounds both directions of one small call on a warm connection,
// acknowledgements and keep-alives included.
const maxCallBytes = 1000

func TestSmallCallsTrafficIsBounded(t *testing.T) {
	b := bundle(t, "a", "b")
	server := startNode(t, b, "a", "127.0.0.1:0", echo)
	udp, err := net.ListenPacket("udp", "127.0.0.1:0")
	require.NoError(t, err)
	counted := &countingConn{PacketConn: udp}
	config, err := b.TLS("b")
	require.NoError(t, err)
	client, err := New(Config{InstanceID: "b", PacketConn: counted, TLS: config})
	require.NoError(t, err)
	defer client.Close()
	for range 5 { // excludes the handshake and path MTU discovery
		_, err = client.Call(t.Context(), server.Address(), heartbeat())
		require.NoError(t, err)
	}
	const calls = 20
	t.Logf("handshake and 5 calls: %d bytes in %d packets", counted.bytes.Load(), counted.packets.Load())
	time.Sleep(500 * time.Millisecond)
	bytes, packets := counted.bytes.Load(), counted.packets.Load()
	for range calls {
		_, err = client.Call(t.Context(), server.Address(), heartbeat())
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond) // keeps calls from sharing packets
	}
	bytes, packets = counted.bytes.Load()-bytes, counted.packets.Load()-packets
	t.Logf("each call: %d bytes in %.1f packets", bytes/calls, float64(packets)/calls)
	require.Less(t, bytes/calls, int64(maxCallBytes))
}
