package harness

import (
	"encoding/binary"
	"errors"
	"net/netip"
	"os"
	"syscall"

	"github.com/gravitational/trace"
)

// Layout of the kernel's messages on sockets, see sock_diag(7).
const (
	// socketByFamily is SOCK_DIAG_BY_FAMILY, the type of a request.
	socketByFamily = 20
	// anyCookie is INET_DIAG_NOCOOKIE for one half of the cookie.
	anyCookie          = 1<<32 - 1
	socketRequestBytes = 56
	socketAnswerBytes  = 72
	maxAnswerBytes     = 4096
	// anyState selects sockets of all states.
	anyState = 1<<32 - 1

	protocolOffset    = 1
	statesOffset      = 4
	sourcePortOffset  = 8
	targetPortOffset  = 10
	sourceOffset      = 12
	targetOffset      = 28
	cookieOffset      = 48
	answerInodeOffset = 68
)

// errNoSocket is the error for a connection that is no longer open.
var errNoSocket = errors.New("there is no such socket")

// socketInode returns the inode of the IPv4 TCP socket with that local and remote address. It
// asks the kernel for this socket only: /proc/net/tcp lists all sockets of the machine, and
// several can have the same local address.
func socketInode(local, remote netip.AddrPort) (uint32, error) {
	socket, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return 0, trace.Wrap(os.NewSyscallError("socket", err))
	}
	defer syscall.Close(socket) //nolint:errcheck // nothing is in flight
	if err := syscall.Sendto(socket, socketRequest(local, remote), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return 0, trace.Wrap(os.NewSyscallError("sendto", err))
	}
	buffer := make([]byte, maxAnswerBytes)
	n, _, err := syscall.Recvfrom(socket, buffer, 0)
	if err != nil {
		return 0, trace.Wrap(os.NewSyscallError("recvfrom", err))
	}
	answers, err := syscall.ParseNetlinkMessage(buffer[:n])
	if err != nil {
		return 0, trace.Wrap(err)
	}
	return inodeOf(answers)
}

func socketRequest(local, remote netip.AddrPort) []byte {
	request := make([]byte, syscall.NLMSG_HDRLEN+socketRequestBytes)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], socketByFamily)
	binary.NativeEndian.PutUint16(request[6:], syscall.NLM_F_REQUEST)
	body := request[syscall.NLMSG_HDRLEN:]
	body[0], body[protocolOffset] = syscall.AF_INET, syscall.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[statesOffset:], anyState)
	binary.BigEndian.PutUint16(body[sourcePortOffset:], local.Port())
	binary.BigEndian.PutUint16(body[targetPortOffset:], remote.Port())
	copy(body[sourceOffset:], local.Addr().AsSlice())
	copy(body[targetOffset:], remote.Addr().AsSlice())
	binary.NativeEndian.PutUint32(body[cookieOffset:], anyCookie)
	binary.NativeEndian.PutUint32(body[cookieOffset+4:], anyCookie)
	return request
}

// inodeOf returns the inode in the kernel's answer. A socket whose process has closed it has
// none.
func inodeOf(answers []syscall.NetlinkMessage) (uint32, error) {
	if len(answers) != 1 {
		return 0, trace.BadParameter("%d answers on one socket", len(answers))
	}
	data := answers[0].Data
	switch {
	case answers[0].Header.Type == syscall.NLMSG_ERROR && len(data) >= 4:
		code := syscall.Errno(-int32(binary.NativeEndian.Uint32(data)))
		if code == syscall.ENOENT {
			return 0, errNoSocket
		}
		return 0, trace.Wrap(os.NewSyscallError("sock_diag", code))
	case answers[0].Header.Type != socketByFamily || len(data) < socketAnswerBytes:
		return 0, trace.BadParameter("malformed answer on a socket")
	}
	inode := binary.NativeEndian.Uint32(data[answerInodeOffset:])
	if inode == 0 {
		return 0, errNoSocket
	}
	return inode, nil
}
