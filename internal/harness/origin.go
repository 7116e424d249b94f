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

// socketInode returns the inode of the socket with that local address according to
// /proc/net/tcp, or the empty string if there is none.
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
