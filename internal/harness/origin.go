package harness

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// cancelOnClose ends a request's context when its body is closed.
type cancelOnClose struct {
	io.ReadCloser
	cancel func()
}

// Close implements io.Closer.
func (c *cancelOnClose) Close() error {
	defer c.cancel()
	return c.ReadCloser.Close()
}

// originOfConn returns the failure domain of the instance at the other end of a
// TCP connection, or the empty string when none of the processes holds it.
func (f *Fleet) originOfConn(conn net.Conn) string {
	address, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	inode := socketInode(address)
	if inode == "" {
		return ""
	}
	for _, process := range f.originProcesses() {
		if holdsSocket(process.Pid(), inode) {
			return process.FailureDomain
		}
	}
	return ""
}

// originOfPacket returns the failure domain of the instance that listens for its
// peers at the address.
func (f *Fleet) originOfPacket(sender netip.AddrPort) string {
	for _, process := range f.originProcesses() {
		if process.Settings.Peers.Listen == sender.String() {
			return process.FailureDomain
		}
	}
	return ""
}

// originProcesses returns the processes of the fleet.
func (f *Fleet) originProcesses() []*Process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.origins
}

// socketInode finds the socket with that local address in /proc/net/tcp.
func socketInode(local netip.AddrPort) string {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer file.Close() //nolint:errcheck // only read
	ip := local.Addr().As4()
	wanted := fmt.Sprintf("%08X:%04X", binary.LittleEndian.Uint32(ip[:]), local.Port())
	const localField, inodeField = 1, 9
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) > inodeField && fields[localField] == wanted {
			return fields[inodeField]
		}
	}
	return ""
}

func holdsSocket(pid int, inode string) bool {
	directory := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(directory)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, _ := os.Readlink(filepath.Join(directory, entry.Name())); target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
