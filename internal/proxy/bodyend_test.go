package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

// startStuckBackend starts a listener that reads nothing from its connections: the proxy's writes fill small
// buffers and then block. It returns the listener's address.
func startStuckBackend(t *testing.T) string {
	t.Helper()
	return listenWithReceiveBuffer(t, 4<<10).Addr().String()
}

// listenWithReceiveBuffer returns a listener, closed when the test ends, whose connections have receive buffers
// of this size.
func listenWithReceiveBuffer(t *testing.T, bytes int) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
	}}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

// limitWriteBuffers sets small write buffers on the proxy's connections to backends.
func limitWriteBuffers(p *runningProxy) {
	p.loop.pool.WrapDial(func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err == nil {
				_ = c.(*net.TCPConn).SetWriteBuffer(4 << 10)
			}
			return c, err
		}
	})
}

// uploadTimeout is how long the clients of most tests below wait. With less, the proxy rejects their uploads at
// once: no response could be in time.
const uploadTimeout = time.Second

// startStuckUpload returns a proxy whose only backend reads nothing, and a client of it that has sent the head of
// an upload and waits for timeout.
func startStuckUpload(t *testing.T, timeout time.Duration, framing string) (*runningProxy, *proxytest.Client) {
	t.Helper()
	p := startProxy(t, startDiscovery(t).addr, 200,
		listJSON(1, true, endpointJSON("a", startStuckBackend(t), discovery.StatusServing)))
	limitWriteBuffers(p)
	growReceiveBuffers(t, p)
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", fmt.Sprintf("Request-Timeout-Ms: %d\r\n%s", timeout.Milliseconds(), framing)))
	return p, cl
}

// checkStuckUploadTimesOut checks that a client gets its 504 within timeout. It has sent all of its upload.
func checkStuckUploadTimesOut(t *testing.T, p *runningProxy, cl *proxytest.Client, timeout time.Duration) {
	t.Helper()
	proxytest.WaitUntil(t, func() bool { return unacknowledged(t, cl) == 0 })
	arrived := time.Now()
	resp, _ := cl.ReadResponse(t)
	if took := time.Since(arrived); resp.StatusCode != http.StatusGatewayTimeout || took > timeout+upstream.MaxStreamOverrun {
		t.Errorf("got %s after %v, want a 504 within the %v that the client waits", resp.Status, took, timeout)
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
}

// TestUploadStalledByBackendIsAnsweredInTime checks that a client's timeout starts with the last byte that it
// sends, even if the proxy cannot read that byte because the backend reads nothing: the response must not
// wait for the backend.
func TestUploadStalledByBackendIsAnsweredInTime(t *testing.T) {
	const size = downstream.MaxBufferedBody + 64<<10
	body := bytes.Repeat([]byte("x"), size)
	for _, c := range []struct{ name, framing, start, end string }{
		{"of a length", fmt.Sprintf("Content-Length: %d", size), "", ""},
		{"in chunks", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n", size), "\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, cl := startStuckUpload(t, uploadTimeout, c.framing)
			cl.Send(t, c.start+string(body)+c.end)
			checkStuckUploadTimesOut(t, p, cl, uploadTimeout)
		})
	}
}

// TestChunkedUploadWithManyBytesUnreadIsAnsweredInTime guards against a lost request: a chunked body has arrived
// whole, but its end stands behind more unread bytes than one look shows, or is not the plain last chunk.
func TestChunkedUploadWithManyBytesUnreadIsAnsweredInTime(t *testing.T) {
	const many = 68 << 10
	for _, c := range []struct {
		name   string
		unread string // chunks that are sent when the proxy has stopped reading
		pause  time.Duration
		end    string // is sent after the pause
	}{
		{"in chunks", strings.Repeat(chunkOf(4<<10), many/(4<<10)), 0, "0\r\n\r\n"},
		{"in one chunk", chunkOf(many), 0, "0\r\n\r\n"},
		{"in chunks, and then its end", strings.Repeat(chunkOf(1000), many/1000), 150 * time.Millisecond, "0\r\n\r\n"},
		{"with trailers", chunkOf(1), 0, "0\r\nSum: 1\r\nOther: 2\r\n\r\n"},
		{"with a chunk extension", chunkOf(1), 0, "00;last=yes\r\n\r\n"},
		{"with bytes behind its end", chunkOf(many), 0, "0\r\n\r\nGET /"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, cl := startStuckUpload(t, uploadTimeout, "Transfer-Encoding: chunked")
			sendChunksUntilUnread(t, p, cl)
			cl.Send(t, c.unread)
			time.Sleep(c.pause)
			cl.Send(t, c.end)
			checkStuckUploadTimesOut(t, p, cl, uploadTimeout)
		})
	}
}

// chunkOf returns a chunk of a body.
func chunkOf(size int) string { return fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)) }

// sendChunksUntilUnread sends chunks until the proxy has stopped reading them, since its backend reads nothing.
func sendChunksUntilUnread(t *testing.T, p *runningProxy, cl *proxytest.Client) {
	t.Helper()
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 1 })
	conn := p.frontend.Conns()[0]
	const stalledFor = 200 * time.Millisecond
	for since := time.Now(); time.Since(since) < stalledFor; time.Sleep(time.Millisecond) {
		if socket.Unread(conn) == 0 {
			cl.Send(t, chunkOf(4<<10))
			since = time.Now()
		}
	}
}

// TestWholeUploadIsNotEvicted guards against a lost request: a body has arrived whole, but its backend reads none
// of it, and the connection is closed to make room for others.
func TestWholeUploadIsNotEvicted(t *testing.T) {
	const size, timeout = downstream.MaxBufferedBody + 64<<10, 3 * time.Second
	for name, upload := range map[string]struct{ framing, body string }{
		"of a length": {fmt.Sprintf("Content-Length: %d", size), strings.Repeat("x", size)},
		"in chunks":   {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", size, strings.Repeat("x", size))},
	} {
		t.Run(name, func(t *testing.T) {
			p, cl := startStuckUpload(t, timeout, upload.framing)
			cl.Send(t, upload.body)
			time.Sleep(timeout / 2) // the connection has been silent for longer than any other
			for range 2 * connLimit(p) {
				connect(t, p)
			}
			checkStuckUploadTimesOut(t, p, cl, timeout)
		})
	}
}

// growReceiveBuffers lets the kernel hold some 200 KiB unread on each connection that the proxy accepts from now
// on, which many systems allow at most.
func growReceiveBuffers(t *testing.T, p *runningProxy) {
	t.Helper()
	listener, ok := p.frontend.Listener.Listener.(syscall.Conn)
	if !ok {
		t.Fatalf("%T has no descriptor", p.frontend.Listener.Listener)
	}
	control(t, listener, func(fd int) error { return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, 200<<10) })
}

// unacknowledged returns how many sent bytes the kernel of the client's peer has not acknowledged.
func unacknowledged(t *testing.T, c *proxytest.Client) (n int32) {
	t.Helper()
	control(t, c.TCP(), func(fd int) error {
		if _, _, errno := syscall.Syscall(syscall.SYS_IOCTL, uintptr(fd), syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n))); errno != 0 {
			return errno
		}
		return nil
	})
	return n
}

// control calls f with a connection's descriptor.
func control(t *testing.T, c syscall.Conn, f func(fd int) error) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil || failed != nil {
		t.Fatal(errors.Join(err, failed))
	}
}

// TestSlowDialForUploadForwardsRemainingTimeout checks that the Request-Timeout-Ms forwarded with a streamed
// upload counts from the last byte that the client sent, even if the connection to the backend is established
// later.
func TestSlowDialForUploadForwardsRemainingTimeout(t *testing.T) {
	const size, wait, late = downstream.MaxBufferedBody + 32<<10, 4 * time.Second, time.Second
	forwarded := make(chan string, 1)
	b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		forwarded <- r.Header.Get("Request-Timeout-Ms")
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.loop.pool.WrapDial(func(dial upstream.DialFunc) upstream.DialFunc {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			select {
			case <-time.After(late):
			case <-ctx.Done():
			}
			return dial(ctx, network, addr)
		}
	})
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", fmt.Sprintf("Request-Timeout-Ms: %d\r\nContent-Length: %d", wait.Milliseconds(), size)))
	cl.Send(t, string(bytes.Repeat([]byte("x"), size)))
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusOK {
		t.Fatalf("upload: got %s, want 200", resp.Status)
	}
	const slack = 150
	var ms int64
	if _, err := fmt.Sscan(<-forwarded, &ms); err != nil || ms > (wait-late).Milliseconds()+slack {
		t.Errorf("forwarded a timeout of %d ms, but at most %v remain", ms, wait-late)
	}
}
