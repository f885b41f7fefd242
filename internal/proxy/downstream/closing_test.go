package downstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// hooks holds functions that run at certain points of a client connection, with which a test forces an order
// of events.
type hooks struct {
	reading atomic.Pointer[func()]           // before a read waits for bytes
	read    atomic.Pointer[func()]           // after bytes were read, before the Conn has recorded it
	control atomic.Pointer[func(fd uintptr)] // after the descriptor's state was queried
	request atomic.Pointer[func()]           // before a request is answered
	open    atomic.Int32                     // connections that were accepted and are not closed
}

// hookedListener accepts TCP connections that call hooks.
type hookedListener struct {
	*net.TCPListener
	hooks *hooks
}

func (l hookedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	l.hooks.open.Add(1)
	return hookedConn{c, l.hooks}, nil
}

// hookedConn is a TCP connection that calls hooks.
type hookedConn struct {
	*net.TCPConn
	hooks *hooks
}

func (c hookedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if f := c.hooks.read.Load(); n > 0 && f != nil {
		(*f)()
	}
	return n, err
}

func (c hookedConn) Close() error {
	err := c.TCPConn.Close()
	if err == nil {
		c.hooks.open.Add(-1)
	}
	return err
}

func (c hookedConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return hookedRaw{raw, c.hooks}, err
}

// hookedRaw is the syscall.RawConn of a hookedConn.
type hookedRaw struct {
	syscall.RawConn
	hooks *hooks
}

func (r hookedRaw) Read(f func(uintptr) bool) error {
	if f := r.hooks.reading.Load(); f != nil {
		(*f)()
	}
	err := r.RawConn.Read(f)
	if f := r.hooks.read.Load(); err == nil && f != nil {
		(*f)()
	}
	return err
}

func (r hookedRaw) Control(f func(uintptr)) error {
	return r.RawConn.Control(func(fd uintptr) {
		f(fd)
		if f := r.hooks.control.Load(); f != nil {
			(*f)(fd)
		}
	})
}

// startHooked starts a Server with hooks, whose handler counts requests and answers each with body.
func startHooked(t *testing.T, maxConns int, body string) (srv *Server, h *hooks, requests *atomic.Int32) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	site, err := settings.Decode([]byte(proxytest.SiteJSON))
	if err != nil {
		t.Fatal(err)
	}
	h, requests = &hooks{}, &atomic.Int32{}
	srv = newTestServer(site, hookedListener{tcp.(*net.TCPListener), h}, &stubHandler{})
	srv.server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		if hook := h.request.Load(); hook != nil {
			(*hook)()
		}
		srv.writeResponse(w, Response{Status: 200, Body: []byte(body)})
	})
	srv.SetLimits(maxConns, maxConns, 0)
	ended := make(chan struct{})
	go func() { defer close(ended); _ = srv.Serve() }()
	t.Cleanup(func() { srv.server.Close(); proxytest.Receive(t, "end of the server", ended) })
	return srv, h, requests
}

// connect returns a client with a new connection to a server.
func connect(t *testing.T, srv *Server) *proxytest.Client {
	t.Helper()
	return proxytest.Connect(t, srv.Listener.Addr().String())
}

// setHook sets a hook. It runs each time until it is removed.
func setHook[F any](hook *atomic.Pointer[F], f F) { hook.Store(&f) }

// keepAliveClient returns a client with an idle connection on which a request has been answered.
func keepAliveClient(t *testing.T, srv *Server) *proxytest.Client {
	t.Helper()
	c := connect(t, srv)
	c.Send(t, proxytest.LookRequest("1", 4000))
	c.ReadResponse(t)
	proxytest.WaitUntil(t, func() bool { return srv.idleConns() == 1 })
	return c
}

// idleConns returns how many connections wait for their next request.
func (srv *Server) idleConns() (n int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for c, s := range srv.conns {
		if s.state == http.StateIdle && c.(*clientconn.Conn).Phase() == clientconn.PhaseIdle {
			n++
		}
	}
	return n
}

// TestConnectionReadingRequestIsNotClosed guards against the close of a connection whose next request has
// just been read but not recorded yet, so that there is nothing left to read.
func TestConnectionReadingRequestIsNotClosed(t *testing.T) {
	for name, end := range map[string]func(*Server){
		"drain": func(srv *Server) { srv.closeIdle(0, 0, false) },
		"shed": func(srv *Server) {
			srv.mu.Lock()
			for c, s := range srv.conns { // idle for long enough to be evicted
				s.since = time.Now().Add(-time.Hour)
				srv.conns[c] = s
			}
			srv.mu.Unlock()
			srv.MakeRoom()
		},
	} {
		t.Run(name, func(t *testing.T) {
			srv, h, _ := startHooked(t, 4, "ok")
			c := keepAliveClient(t, srv)
			setHook(&h.read, func() {
				h.read.Store(nil)
				done := make(chan struct{})
				go func() { defer close(done); end(srv) }()
				select {
				case <-done:
				case <-time.After(200 * time.Millisecond): // it waits until the read is recorded
				}
			})
			c.Send(t, proxytest.LookRequest("2", 4000))
			if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
				t.Errorf("got %s %q, want a 200 \"ok\"", resp.Status, body)
			}
		})
	}
}

// TestRequestCrossingCloseIsNeverServed guards against a request that arrives between the check of an idle
// connection and its close, and is then read after the close and forwarded, or whose connection is reset.
func TestRequestCrossingCloseIsNeverServed(t *testing.T) {
	srv, h, requests := startHooked(t, 4, "ok")
	c := keepAliveClient(t, srv)
	setHook(&h.control, func(fd uintptr) {
		h.control.Store(nil)
		c.Send(t, proxytest.LookRequest("2", 4000))
		var b [1]byte
		proxytest.WaitUntil(t, func() bool {
			n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return n > 0 && err == nil || requests.Load() > 1
		})
	})
	srv.closeIdle(0, 0, false)
	if rest, err := io.ReadAll(c.Reader); err != nil || len(rest) > 0 {
		t.Errorf("after the close the client read %q, error %v; want EOF", rest, err)
	}
	c.Close()
	proxytest.WaitUntil(t, func() bool { return srv.OpenConns() == 0 && srv.Listener.Lingering.Count() == 0 })
	if n := requests.Load(); n != 1 {
		t.Errorf("%d requests were served, want only the first", n)
	}
	// The metrics show that the second request was never read.
	if n := srv.audit.Events()[string(audit.ClientBytesDiscarded)]; n != 1 {
		t.Errorf("%d connections were counted with bytes after their close, want 1", n)
	}
}

// TestResponseSurvivesPipelinedBytes guards against a close with unread bytes, which resets the connection
// and loses the rest of the previous response.
func TestResponseSurvivesPipelinedBytes(t *testing.T) {
	large := strings.Repeat("x", 400<<10)
	srv, _, _ := startHooked(t, 4, large)
	srv.closing.Store(true)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		// With a small receive buffer, most of the response waits at the proxy.
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	conn, err := d.Dial("tcp", srv.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(proxytest.Timeout))
	c := &proxytest.Client{Conn: conn, Reader: bufio.NewReaderSize(conn, 16)}
	c.Send(t, strings.Repeat(proxytest.LookRequest("1", 4000), 100))
	if _, err := c.Reader.Peek(1); err != nil {
		t.Fatal(err)
	}
	proxytest.WaitUntil(t, func() bool { return srv.OpenConns() == 0 }) // the server has closed it
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != large {
		t.Errorf("got %s with a body of %d bytes, want a 200 with the whole body", resp.Status, len(body))
	}
}

// TestLingeringConnectionsGiveWay checks that lingering connections, whose clients do not close them, keep no
// slot that another client needs.
func TestLingeringConnectionsGiveWay(t *testing.T) {
	srv, h, _ := startHooked(t, 2, "ok")
	for range 8 {
		c := connect(t, srv)
		c.Send(t, "GET /no HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		start := time.Now()
		c.ReadResponse(t)
		if took := time.Since(start); took > clientconn.LingerTimeout/2 {
			t.Errorf("a client waited %v for a slot, want at most half of LingerTimeout", took)
		}
		if open := h.open.Load(); open > 2 {
			t.Errorf("%d descriptors are open with 2 slots, want at most 2", open)
		}
	}
}

// TestPartialRequestIsRejectedAtCutoff guards against a close without a response, at the cutoff of a drain,
// of a connection with an incomplete head: the last bytes of the head may be on their way.
func TestPartialRequestIsRejectedAtCutoff(t *testing.T) {
	for _, open := range []func(*testing.T, *Server) *proxytest.Client{connect, keepAliveClient} {
		srv, _, requests := startHooked(t, 4, "ok")
		c := open(t, srv)
		text := proxytest.LookRequest("2", 4000)
		c.Send(t, text[:len(text)/2])
		proxytest.WaitUntil(t, func() bool {
			srv.mu.Lock()
			defer srv.mu.Unlock()
			for c := range srv.conns {
				if c.(*clientconn.Conn).Phase() == clientconn.PhaseReadingHead {
					return true
				}
			}
			return false
		})
		servedBefore := requests.Load()
		srv.closeIdle(time.Hour, time.Hour, true)
		c.Send(t, text[len(text)/2:])
		if resp, _ := c.ReadResponse(t); resp.StatusCode != 503 || !resp.Close {
			t.Errorf("got %s, close %v; want a 503 with Connection: close", resp.Status, resp.Close)
		}
		if _, err := c.Reader.ReadByte(); err != io.EOF {
			t.Errorf("after the response the client read error %v, want EOF", err)
		}
		if requests.Load() != servedBefore {
			t.Error("the rejected request was served too")
		}
	}
}

// TestPartialHeadOnKeepAliveIsClosedInTime guards against an incomplete head on a kept-alive connection that
// has the two minutes of an idle connection to complete.
func TestPartialHeadOnKeepAliveIsClosedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPiped(t, 8)
		defer p.stop()
		c := p.connect()
		defer c.Close()
		go func() { _, _ = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n") }()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		time.Sleep(time.Minute)
		go func() { _, _ = io.WriteString(c, "GET /look") }()
		if text, after := readToEnd(c); text != "" || after > 3*time.Second {
			t.Errorf("got response %q, closed after %v; want none within 3 s", text, after)
		}
	})
}
