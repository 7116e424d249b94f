package harness

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
)

// cancelOnClose cancels a request's context when its response body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// originOfConn returns the failure domain of the instance that opened a TCP
// connection, or the empty string if none of the processes has it open.
func (f *Fleet) originOfConn(conn net.Conn) string {
	remote, errRemote := netip.ParseAddrPort(conn.RemoteAddr().String())
	local, errLocal := netip.ParseAddrPort(conn.LocalAddr().String())
	if errRemote != nil || errLocal != nil {
		return ""
	}
	inode, err := socketInode(remote, local)
	if errors.Is(err, errNoSocket) {
		return ""
	}
	if err != nil {
		log.Printf("the origin of a connection from %s is unknown, faults do not reach it: %v", remote, err)
		return ""
	}
	link := fmt.Sprintf("socket:[%d]", inode)
	for _, process := range f.originProcesses() {
		if holdsSocket(process.Pid(), link) {
			return process.FailureDomain
		}
	}
	return ""
}

// originOfPacket returns the failure domain of the instance whose peer socket has
// the sender's address, or the empty string if there is none.
func (f *Fleet) originOfPacket(sender netip.AddrPort) string {
	for _, process := range f.originProcesses() {
		if process.Settings.Peers.Listen == sender.String() {
			return process.FailureDomain
		}
	}
	return ""
}

// originProcesses returns the processes from which relayed traffic can originate.
func (f *Fleet) originProcesses() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origins
}

func holdsSocket(pid int, link string) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, _ := os.Readlink(filepath.Join(directory, entry.Name())); target == link {
			return true
		}
	}
	return false
}
