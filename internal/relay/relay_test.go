package relay_test

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/hornbeamlock/hornbeamlock/internal/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const quietPeriod = 50 * time.Millisecond

var link = relay.Direction{From: "garmisch", To: "tegernsee"}

// startTCP starts an echo server and a relay in front of it, and returns the relay
// and the address of its listener.
func startTCP(t *testing.T) (*relay.Relay, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			conn, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	r := relay.New(relay.Config{})
	t.Cleanup(r.Close)
	address, err := r.ListenTCP(link.To, target.Addr().String(), func(net.Conn) string { return link.From })
	require.NoError(t, err)
	return r, address
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	_, err := conn.Write([]byte(text))
	require.NoError(t, err)
}

func receive(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	buffer := make([]byte, len(text))
	_, err := io.ReadFull(conn, buffer)
	require.NoError(t, err)
	require.Equal(t, text, string(buffer))
}

func receiveNothing(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(quietPeriod)))
	_, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}

func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // fails if the connection is a closed pipe
	_, err := conn.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded)
}

func TestTCPFaults(t *testing.T) {
	cases := []struct {
		name   string
		fault  func(r *relay.Relay)
		silent bool // nothing arrives during the fault
		closed bool // the connection is closed
		healed bool // delayed bytes arrive after the faults are cleared
	}{
		{name: "none", fault: func(*relay.Relay) {}},
		{name: "slow", fault: func(r *relay.Relay) {
			r.Set(link, relay.Fault{Delay: time.Millisecond, BytesPerSecond: 10_000})
		}},
		{name: "another link cut", fault: func(r *relay.Relay) { r.SetBoth("garmisch", "oberstdorf", relay.Fault{Cut: true}) }},
		{name: "requests blocked", fault: func(r *relay.Relay) { r.Set(link, relay.Fault{Blocked: true}) }, silent: true, healed: true},
		{name: "answers blocked", fault: func(r *relay.Relay) {
			r.Set(relay.Direction{From: link.To, To: link.From}, relay.Fault{Blocked: true})
		}, silent: true, healed: true},
		{name: "all links blocked", fault: func(r *relay.Relay) { r.SetDefault(relay.Fault{Blocked: true}) }, silent: true},
		{name: "cut", fault: func(r *relay.Relay) { r.Set(link, relay.Fault{Cut: true}) }, closed: true},
		{name: "silenced", fault: func(r *relay.Relay) { r.BlackholeConnections(link) }, silent: true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, address := startTCP(t)
			conn := dial(t, address)
			send(t, conn, "before")
			receive(t, conn, "before")
			c.fault(r)
			if c.closed {
				requireClosed(t, conn)
				requireClosed(t, dial(t, address))
				return
			}
			send(t, conn, "during")
			if !c.silent {
				receive(t, conn, "during")
				return
			}
			receiveNothing(t, conn)
			r.Clear()
			if !c.healed {
				receiveNothing(t, conn)
				return
			}
			receive(t, conn, "during")
		})
	}
}

func TestSilenceLeavesNewConnections(t *testing.T) {
	r, address := startTCP(t)
	old := dial(t, address)
	send(t, old, "x")
	receive(t, old, "x")
	r.BlackholeConnections(link)
	fresh := dial(t, address)
	send(t, fresh, "works")
	receive(t, fresh, "works")
	send(t, old, "lost")
	receiveNothing(t, old)
}

// TestAcceptingEndDropsSilentConnection checks that the server end of a blackholed
// connection is closed after a timeout, as by a server with TCP keep-alive, and that
// the client end is not notified.
func TestAcceptingEndDropsSilentConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	r := relay.New(relay.Config{})
	defer r.Close()
	address, err := r.ListenTCP(link.To, listener.Addr().String(), func(net.Conn) string { return link.From })
	require.NoError(t, err)
	client := dial(t, address)
	server, err := listener.Accept()
	require.NoError(t, err)
	defer server.Close()
	send(t, client, "x")
	receive(t, server, "x")
	r.BlackholeConnections(link)
	began := time.Now()
	requireClosed(t, server)
	require.GreaterOrEqual(t, time.Since(began), 2*time.Second)
	receiveNothing(t, client)
}

func TestDialWithinTheProcess(t *testing.T) {
	r, address := startTCP(t)
	conn := r.Dial(relay.Direction{From: "oberstdorf"}, address)
	defer conn.Close()
	send(t, conn, "one")
	receive(t, conn, "one")
	r.SetBoth("oberstdorf", "tegernsee", relay.Fault{Cut: true})
	requireClosed(t, conn)
}

func TestEndOfStreamIsRelayed(t *testing.T) {
	_, address := startTCP(t)
	conn := dial(t, address)
	send(t, conn, "last words")
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, "last words", string(rest))
}

func TestUDPFaults(t *testing.T) {
	echo, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	defer echo.Close()
	go func() {
		buffer := make([]byte, 100)
		for {
			n, from, err := echo.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = echo.WriteToUDPAddrPort(buffer[:n], from)
		}
	}()
	r := relay.New(relay.Config{})
	defer r.Close()
	address, err := r.ListenUDP(link.To, echo.LocalAddr().String(), func(netip.AddrPort) string { return link.From })
	require.NoError(t, err)
	conn, err := net.Dial("udp", address)
	require.NoError(t, err)
	defer conn.Close()
	faults := []struct {
		name  string
		fault relay.Fault
		lost  bool
	}{
		{"none", relay.Fault{}, false},
		{"delay", relay.Fault{Delay: time.Millisecond}, false},
		{"loss", relay.Fault{Loss: 1}, true},
		{"blocked", relay.Fault{Blocked: true}, true},
		{"cut", relay.Fault{Cut: true}, true},
		{"healed", relay.Fault{}, false},
	}
	for _, f := range faults {
		r.Set(link, f.fault)
		send(t, conn, f.name)
		if f.lost {
			receiveNothing(t, conn)
		} else {
			receive(t, conn, f.name)
		}
	}
}
