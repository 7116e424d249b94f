package harness

import (
	"net"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// openConnection returns both ends of a connection of this process.
func openConnection(t *testing.T, listener net.Listener) (dialled, accepted net.Conn) {
	t.Helper()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = dialled.Close() })
	accepted, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return dialled, accepted
}

// TestOriginOfConn guards against faults that miss a connection because its process isn't found:
// closed connections that wait for stray packets have the same local address, but no process.
func TestOriginOfConn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	const closedConnections = 20
	for range closedConnections {
		dialled, accepted := openConnection(t, listener)
		require.NoError(t, accepted.Close())
		require.NoError(t, dialled.Close())
	}
	dialled, accepted := openConnection(t, listener)
	require.NoError(t, listener.Close())
	self := &Process{FailureDomain: "garmisch", command: &exec.Cmd{Process: &os.Process{Pid: os.Getpid()}}}
	f := &Fleet{origins: []*Process{{FailureDomain: "down"}, self}}
	require.Equal(t, "garmisch", f.originOfConn(dialled))
	require.NoError(t, accepted.Close())
	require.Empty(t, f.originOfConn(dialled), "its process has closed the connection")
}

// TestOriginCostsTheSameOnABusyMachine guards against a look-up that goes through all sockets of
// the machine: connections that wait for it exceed their time, are closed and opened again, and
// each leaves further sockets.
func TestOriginCostsTheSameOnABusyMachine(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	_, accepted := openConnection(t, listener)
	const lookUps, others = 20, 200
	for range others {
		openConnection(t, listener)
	}
	f := &Fleet{}
	require.Less(t, testing.AllocsPerRun(lookUps, func() { f.originOfConn(accepted) }), float64(others))
}
