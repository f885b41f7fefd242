package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is the state of a socket whose peer has ended its sending, see tcp_states.h of Linux.
const tcpCloseWait = 8

// hasPeerClosed reports whether the end of the peer's sending has come to a socket, read or not.
func hasPeerClosed(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	_ = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpCloseWait
	})
	return closed
}
