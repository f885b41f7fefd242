package proxy

import (
	"errors"
	"net"
	"syscall"
	"unsafe"
)

// left tells whether the client has gone: nothing new is to begin for it. What net/http has noticed shows in the
// context; what it cannot have seen yet, or never will, shows at the socket.
func (r *request) clientGone() bool {
	return r.clientContext != nil && (r.clientContext.Err() != nil || peerClosed(r.clientConn))
}

// departed tells whether the peer of a connection has closed it, or has ended its sending, which looks the same from
// here and by the protocol means the same. net/http hears of that by a read of its own, which comes after the handler
// has begun, may come after what the handler has begun in turn, and stops at the first byte behind the request. So the
// socket itself is asked, for one system call, and for two where bytes are unread. A connection that has no socket, or
// whose system does not tell, counts as there.
func peerClosed(c net.Conn) bool {
	gone := false
	ok, err := peekSocket(c, func(fd uintptr, n int, err error) {
		switch {
		case err == nil && n > 0:
			gone = hasHangup(fd)
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			gone = true
		}
	})
	return ok && (err != nil || gone)
}

const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRDHup = 0x2000 // Linux: the peer has ended its sending, whatever is still unread
)

// hungUp tells whether an end stands behind bytes that nobody has read yet.
func hasHangup(fd uintptr) bool {
	p := struct {
		fd              int32
		events, revents int16
	}{fd: int32(fd), events: pollRDHup}
	var now syscall.Timespec // no wait
	n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&now)), 0, 0, 0)
	return errno == 0 && n == 1 && p.revents&(pollRDHup|pollHup|pollErr) != 0
}
