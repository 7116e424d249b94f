package harness

import (
	"io"
	"net"
	"os/exec"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestOpenAndCloseBesideStarts guards against addresses that stay in use after their socket was
// closed, since a process that was being started at that time held a copy of it.
func TestOpenAndCloseBesideStarts(t *testing.T) {
	// No connection of another program has this source address.
	const address = "127.250.0.1:0"
	const addresses, starters = 5000, 2
	// The first start of a process probes the kernel with a fork that takes no lock.
	require.NoError(t, exec.Command("true").Run())
	stop := make(chan struct{})
	var started sync.WaitGroup
	for range starters {
		started.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if err := exec.Command("true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	inUse := 0
	for range addresses {
		var socket net.Listener
		require.NoError(t, OpenAndClose(func() (_ io.Closer, err error) {
			socket, err = net.Listen("tcp", address)
			return socket, err
		}))
		again, err := net.Listen("tcp", socket.Addr().String())
		if err != nil {
			t.Log(err)
			inUse++
			continue
		}
		require.NoError(t, again.Close())
	}
	close(stop)
	started.Wait()
	require.Zero(t, inUse)
}
