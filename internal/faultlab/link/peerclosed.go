package link

import (
	"net"

	"golang.org/x/sys/unix"
)

// tcpCloseWait is TCP_CLOSE_WAIT of Linux's tcp_states.h: the peer has closed its sending side.
const tcpCloseWait = 8

// hasPeerClosed reports whether the kernel has received the peer's FIN on a socket, whether or not the end
// was read.
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
