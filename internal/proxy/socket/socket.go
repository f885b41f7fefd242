// Package socket queries the operating system about TCP connections: whether the peer has closed one, and
// which bytes are unread. No call blocks, and none consumes bytes of a connection.
package socket

import (
	"errors"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// IsIdle reports whether a connection is open and has nothing to read. It is false if the peer has closed an
// idle connection or has sent unsolicited bytes on it.
func IsIdle(c net.Conn) bool {
	open := false
	_, err := peek(c, func(_ uintptr, _ int, err error) { open = errors.Is(err, syscall.EAGAIN) })
	return err == nil && open
}

// PeerClosed reports whether the peer of a connection has closed it or has shut down its sending side, which
// cannot be told apart. It makes one system call, or two if bytes are unread. A connection whose socket is
// not accessible counts as open.
func PeerClosed(c net.Conn) bool {
	closed := false
	ok, err := peek(c, func(fd uintptr, n int, err error) {
		switch {
		case err == nil && n > 0:
			closed = hasHangup(fd)
		case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		default:
			closed = true
		}
	})
	return ok && (err != nil || closed)
}

// PeerReset reports whether the peer of a connection has reset it, even if bytes are unread, so that nothing can be written
// to it any more.
func PeerReset(c net.Conn) bool {
	reset := false
	_, _ = withDescriptor(c, func(fd uintptr) { reset = poll(fd)&(pollErr|pollHup) != 0 })
	return reset
}

// Unread returns how many bytes are unread in the kernel's receive buffer of a connection; 0 if that is
// unknown.
func Unread(c net.Conn) int64 {
	var n int32
	_, _ = withDescriptor(c, func(fd uintptr) {
		const fionread = 0x541b // FIONREAD, which package syscall does not define on Linux
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, fd, fionread, uintptr(unsafe.Pointer(&n))); errno != 0 {
			n = 0
		}
	})
	return int64(n)
}

// arrivalResolution is the longest period of the clock by which a kernel notes when bytes arrive.
const arrivalResolution = 10 * time.Millisecond

// SinceArrival returns for how long at least the last bytes of a connection have been at this machine, whether they were
// read or not; without bytes, for how long the connection has been. It is 0 if it is short or unknown.
func SinceArrival(raw syscall.RawConn) time.Duration {
	var info syscall.TCPInfo
	size := uint32(unsafe.Sizeof(info))
	errno := syscall.EINVAL
	err := raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
	})
	if err != nil || errno != 0 {
		return 0
	}
	return max(0, time.Duration(info.Last_data_recv)*time.Millisecond-arrivalResolution)
}

// skippedBytes takes the bytes that PeekAt skips. Nobody reads it.
var skippedBytes [64 << 10]byte

// maxVectors is how many buffers recvmsg takes at most (UIO_MAXIOV).
const maxVectors = 1024

// PeekAt copies unread bytes, but for the first offset ones, into buf without consuming any. It returns how
// many it has copied; 0 if there are none or that is unknown. It takes time in proportion to offset, too.
func PeekAt(c net.Conn, offset int64, buf []byte) int {
	var vectors []syscall.Iovec
	for skipped := int64(0); skipped < offset; {
		n := min(offset-skipped, int64(len(skippedBytes)))
		vectors = append(vectors, vector(skippedBytes[:n]))
		skipped += n
	}
	vectors = append(vectors, vector(buf))
	if len(vectors) > maxVectors {
		return 0
	}
	message := syscall.Msghdr{Iov: &vectors[0], Iovlen: uint64(len(vectors))}
	n := int64(0)
	_, _ = withDescriptor(c, func(fd uintptr) {
		received, _, errno := syscall.Syscall(syscall.SYS_RECVMSG, fd, uintptr(unsafe.Pointer(&message)),
			syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if errno == 0 {
			n = int64(received)
		}
	})
	return int(max(0, n-offset))
}

func vector(buf []byte) syscall.Iovec {
	v := syscall.Iovec{Base: &buf[0]}
	v.SetLen(len(buf))
	return v
}

// ResetOnClose makes a connection's close drop the bytes that the kernel has not delivered yet and send a
// reset, in place of an orderly shutdown.
func ResetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// peek calls inspect with the result of a one-byte peek. ok is false if the connection has no accessible
// socket; err is non-nil if the socket could not be used. In both cases inspect is not called.
func peek(c net.Conn, inspect func(fd uintptr, n int, err error)) (ok bool, err error) {
	return withDescriptor(c, func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		inspect(fd, n, err)
	})
}

// withDescriptor calls f with a connection's descriptor. ok is false if the connection has no accessible
// descriptor; err is non-nil if the descriptor could not be used. In both cases f is not called. It uses
// Control, not Read: Read waits for any other reader, and net/http always has one on a client connection.
func withDescriptor(c net.Conn, f func(fd uintptr)) (ok bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, nil
	}
	return true, raw.Control(f)
}

// Events of ppoll, which package syscall does not define.
const (
	pollErr   = 0x8
	pollHup   = 0x10
	pollRDHup = 0x2000 // Linux: the peer has shut down its sending side, even if bytes are unread
)

// hasHangup reports whether the peer has closed a connection, or shut down its sending side, though bytes are
// unread.
func hasHangup(fd uintptr) bool { return poll(fd)&(pollRDHup|pollHup|pollErr) != 0 }

// poll returns which of pollErr, pollHup and pollRDHup are set for a connection.
func poll(fd uintptr) (events int16) {
	p := struct {
		fd              int32
		events, revents int16
	}{fd: int32(fd), events: pollRDHup}
	var zeroTimeout syscall.Timespec
	n, _, errno := syscall.Syscall6(syscall.SYS_PPOLL, uintptr(unsafe.Pointer(&p)), 1, uintptr(unsafe.Pointer(&zeroTimeout)), 0, 0, 0)
	if errno != 0 || n != 1 {
		return 0
	}
	return p.revents
}
