package proxy

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// startStuckBackend starts a listener that reads nothing from its connections: the proxy's writes fill small
// buffers and then block. It returns the listener's address.
func startStuckBackend(t *testing.T) string {
	t.Helper()
	var lc net.ListenConfig
	lc.Control = func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l.Addr().String()
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

// TestUploadStalledByBackendIsAnsweredInTime checks that a client's timeout starts with the last byte that it
// sends, even if the proxy cannot read that byte because the backend reads nothing: the response must not
// wait for the backend.
func TestUploadStalledByBackendIsAnsweredInTime(t *testing.T) {
	const size, left = downstream.MaxBufferedBody + 32<<10, 500 * time.Millisecond
	body := bytes.Repeat([]byte("x"), size)
	timeout := fmt.Sprintf("Request-Timeout-Ms: %d\r\n", left.Milliseconds())
	for _, c := range []struct{ name, head, tail string }{
		{"of a length", timeout + fmt.Sprintf("Content-Length: %d", size), ""},
		{"in chunks", timeout + "Transfer-Encoding: chunked", "\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := startProxy(t, startDiscovery(t).addr, 200,
				listJSON(1, true, endpointJSON("a", startStuckBackend(t), discovery.StatusServing)))
			limitWriteBuffers(p)
			cl := connect(t, p)
			cl.Send(t, proxytest.PostRequest("1", c.head))
			if c.tail != "" {
				cl.Send(t, fmt.Sprintf("%x\r\n", size))
			}
			cl.Send(t, string(body)+c.tail)
			sent := time.Now() // the kernel has accepted all bytes
			resp, _ := cl.ReadResponse(t)
			if took := time.Since(sent); took > left+upstream.MaxStreamOverrun {
				t.Errorf("got %s after %v, but the client waits only %v", resp.Status, took, left)
			}
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
		})
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
