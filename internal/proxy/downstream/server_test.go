package downstream

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// pipeListener accepts ends of net.Pipe in place of sockets, so that a Server can run in a synctest bubble.
type pipeListener struct {
	conns  chan net.Conn // returned by the next calls of Accept
	fails  chan error    // errors of the next calls of Accept
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), fails: make(chan error), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case err := <-l.fails:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stubHandler is a Handler that gives no response. It sends the names of its calls to events, if that is set.
type stubHandler struct{ events chan string }

func (h *stubHandler) record(event string) {
	if h.events != nil {
		h.events <- event
	}
}

func (h *stubHandler) HandleRequest(*Request)                { h.record("request") }
func (h *stubHandler) HandleBodyEndSeen(*Request, time.Time) { h.record("body arrived") }
func (h *stubHandler) HandleBodyRead(*Request, time.Time)    { h.record("body received") }
func (h *stubHandler) HandleClientGone(r *Request) {
	h.record("client gone")
	select {
	case r.responses <- Response{}:
	default: // it has had its response
	}
}
func (h *stubHandler) Stopped() context.Context { return context.Background() }

// newTestServer returns a server that has an endpoint list and does not count requests.
func newTestServer(site *settings.Site, l net.Listener, handler Handler) *Server {
	available := make(chan struct{})
	close(available)
	return NewServer(Config{Site: site, Settings: &site.Balancer, Listener: l, Handler: handler, ListAvailable: available,
		RequestStarted: func(string) func(int) { return func(int) {} }, Audit: audit.New(nil), Logger: slog.New(slog.DiscardHandler)})
}

// pipedServer is a Server whose connections are pipes and whose handler gives no response.
type pipedServer struct {
	*Server
	pipes   *pipeListener
	handler *stubHandler
}

// startPiped starts a Server in a synctest bubble. The test must call stop.
func startPiped(t *testing.T, maxConns int) *pipedServer {
	t.Helper()
	site, err := settings.Decode([]byte(proxytest.SiteJSON))
	if err != nil {
		t.Fatal(err)
	}
	handler := &stubHandler{events: make(chan string, 256)}
	p := &pipedServer{pipes: newPipeListener(), handler: handler}
	p.Server = newTestServer(site, p.pipes, handler)
	p.SetLimits(maxConns, maxConns, MaxRejectConns)
	go func() { _ = p.Serve() }()
	return p
}

// connect returns the client's end of a new connection, which is closed if the listener is.
func (p *pipedServer) connect() net.Conn {
	near, far := net.Pipe()
	select {
	case p.pipes.conns <- far:
	case <-p.pipes.closed:
		far.Close()
	}
	return near
}

func (p *pipedServer) stop() {
	p.Listener.Close()
	p.server.Close()
	synctest.Wait()
}

// readToEnd reads until the connection is closed, and returns how long that took.
func readToEnd(c net.Conn) (text string, after time.Duration) {
	start := time.Now()
	_ = c.SetReadDeadline(start.Add(time.Hour))
	data, err := io.ReadAll(c)
	if err != nil && !os.IsTimeout(err) {
		err = nil // any error but a timeout means that the connection is closed
	}
	if err != nil {
		return "still open", time.Hour
	}
	return string(data), time.Since(start)
}

// TestStalledClientIsClosedInTime guards against clients that send nothing, or only part of a request, and
// keep their connection's slot until no other client can connect. They once kept it for 10 s in the head, and
// for ever in a body.
func TestStalledClientIsClosedInTime(t *testing.T) {
	const post = "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n"
	for name, c := range map[string]struct {
		text string
		want string // the beginning of the response; empty: no response
	}{
		"silent":             {"", ""},
		"half a head":        {"GET /look/k HT", ""},
		"no body":            {post + "Content-Length: 9\r\n\r\n", "HTTP/1.1 408 "},
		"half a body":        {post + "Content-Length: 9\r\n\r\nabc", "HTTP/1.1 408 "},
		"half a chunk":       {post + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "HTTP/1.1 408 "},
		"no last chunk":      {post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "HTTP/1.1 408 "},
		"no body and a flaw": {strings.Replace(post, "Request-Class: post", "Request-Class: leap", 1) + "Content-Length: 9\r\n\r\n", "HTTP/1.1 400 "},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := startPiped(t, 8)
				defer p.stop()
				peer := p.connect()
				defer peer.Close()
				go func() { _, _ = io.WriteString(peer, c.text) }()
				text, after := readToEnd(peer)
				if !strings.HasPrefix(text, c.want) || text != "" && c.want == "" || after > 3*time.Second {
					t.Errorf("got response %q, closed after %v; want the expected response within 3 s",
						text, after)
				}
				synctest.Wait()
				if n := p.OpenConns(); n != 0 {
					t.Errorf("%d connections are still open, want 0", n)
				}
			})
		})
	}
}

// TestDrippingClientIsClosedInTime checks that a client that sends a byte now and then does not extend its
// time: the whole request has one deadline.
func TestDrippingClientIsClosedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPiped(t, 8)
		defer p.stop()
		peer := p.connect()
		defer peer.Close()
		var drip sync.WaitGroup
		defer drip.Wait()
		drip.Go(func() {
			_, err := io.WriteString(peer, "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: 999\r\n\r\n")
			for ; err == nil; _, err = peer.Write([]byte("x")) {
				time.Sleep(100 * time.Millisecond)
			}
		})
		if text, after := readToEnd(peer); !strings.HasPrefix(text, "HTTP/1.1 408 ") || after > 3*time.Second {
			t.Errorf("got response %q, closed after %v; want a 408 within 3 s", text, after)
		}
	})
}

// TestSlowResponseOutlastsReadTimeout checks that the timeout for receiving a request does not limit the time
// for its response.
func TestSlowResponseOutlastsReadTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPiped(t, 8)
		defer p.stop()
		for _, text := range []string{proxytest.LookRequest("1", 8000),
			"POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: 3\r\n\r\nabc"} {
			c := p.connect()
			if _, err := io.WriteString(c, text); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			select {
			case event := <-p.handler.events: // this test stands in for the handler
				if event != "request" {
					t.Fatalf("the handler got %q, want a request", event)
				}
			default:
				t.Fatal("the request did not reach the handler")
			}
			time.Sleep(4 * clientconn.RequestReadTimeout)
			synctest.Wait()
			if n := p.OpenConns(); n != 1 {
				t.Errorf("%d connections are open while the client waits for the response, want 1", n)
			}
			select {
			case <-p.handler.events:
				t.Error("the request was cancelled while its client waited for the response")
			default:
			}
			c.Close()
			synctest.Wait()
			if event := <-p.handler.events; event != "client gone" {
				t.Errorf("after the client's close the handler got %q, want \"client gone\"", event)
			}
		}
	})
}

// TestStalledConnectionsAreEvicted checks that clients that stall in every slot, in the head or in the body,
// are evicted for a new client before their timeout.
func TestStalledConnectionsAreEvicted(t *testing.T) {
	for name, text := range map[string]string{
		"in the head": "",
		"in the body": "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\nContent-Length: 9\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const maxConns = 4
				p := startPiped(t, maxConns)
				defer p.stop()
				for range maxConns + MaxRejectConns {
					peer := p.connect()
					defer peer.Close()
					if _, err := io.WriteString(peer, text); err != nil {
						t.Fatal(err)
					}
				}
				start := time.Now()
				c := p.connect()
				defer c.Close()
				if took := time.Since(start); took > minBodyStall+2*clientconn.MakeRoomInterval {
					t.Errorf("the new client waited %v for a slot, want at most minBodyStall and two polls",
						took)
				}
				go func() { _, _ = io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n") }()
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Errorf("health check on the new connection: got %v, error %v; want a 200", resp, err)
				}
			})
		})
	}
}

// TestSlowClientSurvivesConnectionShortage checks that a client that is slow but keeps sending is not evicted
// when connection slots are short, on a new or a kept-alive connection, nor closed by a drain that begins
// meanwhile.
func TestSlowClientSurvivesConnectionShortage(t *testing.T) {
	for _, keepAlive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			p := startPiped(t, 8)
			var others sync.WaitGroup
			defer others.Wait()
			defer p.stop()
			slow := p.connect()
			defer slow.Close()
			if keepAlive {
				others.Go(func() { _, _ = io.WriteString(slow, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n") })
				resp, err := http.ReadResponse(bufio.NewReader(slow), nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				time.Sleep(time.Second)
			}
			others.Go(func() {
				for i := range 200 { // over 2 s
					time.Sleep(10 * time.Millisecond)
					peer := p.connect()
					others.Go(func() {
						defer peer.Close()
						if i%2 == 0 {
							_, _ = io.WriteString(peer, "GET /look HT")
						}
						_, _ = io.Copy(io.Discard, peer)
					})
				}
			})
			text := strings.Replace(proxytest.LookRequest("1", 8000), "Host: h", "Host: h\r\nLong: "+strings.Repeat("x", 400), 1)
			for i := 0; i < len(text); i += len(text)/20 + 1 { // 2 s for the head
				if _, err := io.WriteString(slow, text[i:min(len(text), i+len(text)/20+1)]); err != nil {
					t.Fatalf("kept-alive %v: the connection was closed after %d bytes of %d: %v",
						keepAlive, i, len(text), err)
				}
				time.Sleep(100 * time.Millisecond)
				if i > len(text)/2 {
					p.closeIdle(0, 0, false)
				}
			}
			synctest.Wait()
			select {
			case <-p.handler.events: // the request is complete
			default:
				t.Errorf("kept-alive %v: the request did not reach the handler", keepAlive)
			}
		})
	}
}

// TestHealthCheckClosesItsConnection guards against health checkers that fill every slot with the connections
// that they keep open.
func TestHealthCheckClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := startPiped(t, 8)
		defer p.stop()
		c := p.connect()
		defer c.Close()
		if _, err := io.WriteString(c, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if text, after := readToEnd(c); !strings.HasPrefix(text, "HTTP/1.1 200 ") || after != 0 {
			t.Errorf("got response %q, closed after %v; want a 200, closed at once", text, after)
		}
		synctest.Wait()
		if n := p.OpenConns(); n != 0 {
			t.Errorf("%d connections are still open, want 0", n)
		}
	})
}

// TestClassOfRejectedRequestIsRecorded guards against log lines on throttled clients that do not name the class of their
// requests because these are rejected.
func TestClassOfRejectedRequestIsRecorded(t *testing.T) {
	for class, want := range map[string]string{"look": "look", "unknown": ""} {
		synctest.Test(t, func(t *testing.T) {
			p := startPiped(t, 8)
			defer p.stop()
			c := p.connect()
			defer c.Close()
			go func() { _, _ = io.Copy(io.Discard, c) }()
			if _, err := io.WriteString(c, "GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Class: "+class+"\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			synctest.Wait()
			conns := p.Conns()
			if len(conns) != 1 {
				t.Fatalf("%d connections are open, want 1", len(conns))
			}
			if got := conns[0].Class(); got != want {
				t.Errorf("a request of class %s without an ID: got the class %q, want %q", class, got, want)
			}
		})
	}
}
