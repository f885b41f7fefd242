package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// TestLocalShortageBlamesNoBackend checks that a dial that fails for lack of a local resource counts as not
// sent, not as a failure of the backend. A dial that the backend refuses, or that does not reach it, counts
// as the backend's failure.
func TestLocalShortageBlamesNoBackend(t *testing.T) {
	for _, c := range []struct {
		errno error
		want  balancer.Status
	}{
		{syscall.EADDRNOTAVAIL, balancer.StatusNotSent}, {syscall.ENOBUFS, balancer.StatusNotSent}, {syscall.ENOMEM, balancer.StatusNotSent},
		{syscall.EMFILE, balancer.StatusNotSent}, {syscall.ENFILE, balancer.StatusNotSent}, {syscall.EAGAIN, balancer.StatusNotSent},
		{syscall.ECONNREFUSED, balancer.StatusConnectFailed}, {syscall.EHOSTUNREACH, balancer.StatusConnectFailed},
		{syscall.ETIMEDOUT, balancer.StatusConnectFailed}, {os.ErrDeadlineExceeded, balancer.StatusConnectFailed},
	} {
		p := poolWith(4, "127.0.0.1:1")
		p.dialContext = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", c.errno)}
		}
		if res := newAttempt(p, "a", proxytest.Timeout).Run(); res.Status != c.want {
			t.Errorf("%v: got %v, want %v", c.errno, res.Status, c.want)
		}
		if p.openConns != 0 {
			t.Errorf("%v: %d connections are counted as open, want none", c.errno, p.openConns)
		}
	}
}
