package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

// disconnects are the ways in which a client disconnects, each with the data that it has sent after its
// request.
var disconnects = []struct {
	name, pipelined string
	disconnect      func(*proxytest.Client)
}{
	{"closes", "", (*proxytest.Client).Fin},
	{"resets", "", (*proxytest.Client).Reset},
	{"ends its sending", "", (*proxytest.Client).CloseWrite},
	{"closes behind a request", proxytest.LookRequest("next", 4000), (*proxytest.Client).Fin},
	{"resets behind a request", proxytest.LookRequest("next", 4000), (*proxytest.Client).Reset},
	{"closes behind half a request", proxytest.LookRequest("next", 4000)[:20], (*proxytest.Client).Fin},
	{"ends its sending behind much", strings.Repeat("x", 2*clientconn.MaxPipelinedBytes), (*proxytest.Client).CloseWrite},
}

// blockLoop makes the loop block, after the events that are in its queue now, until goOn is called. blocked
// is closed when the loop blocks.
func blockLoop(t *testing.T, p *runningProxy) (blocked chan struct{}, goOn func()) {
	t.Helper()
	blocked, again := make(chan struct{}), make(chan struct{})
	p.loop.post(func() { close(blocked); <-again })
	goOn = sync.OnceFunc(func() { close(again) })
	t.Cleanup(goOn)
	return blocked, goOn
}

// checkNothingLeft checks that no request, attempt, connection in use or reserved memory is left of a client
// that has disconnected.
func checkNothingLeft(t *testing.T, p *runningProxy) {
	t.Helper()
	proxytest.WaitUntil(t, func() bool {
		reqs := make(chan int, 1)
		p.loop.post(func() { reqs <- len(p.loop.requests) })
		left := <-reqs
		conns := p.loop.pool.Stats()
		bodies, _, _ := p.frontend.BufferedBytes()
		return left == 0 && conns.Open == conns.Idle && p.Metrics().InFlight == 0 && bodies == 0
	})
}

// checkNothingSent checks that the backend has received only the first before requests, and that it serves
// the next request on the same connection.
func checkNothingSent(t *testing.T, p *runningProxy, b *proxytest.Backend, before int32) {
	t.Helper()
	p.loop.pool.SetReuseDelay(0, 0) // the next request reuses a connection that was just used
	checkNothingLeft(t, p)
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("after", 4000))
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("next request: got %s, want 200", resp.Status)
	}
	if n, conns := b.Requests.Load(), b.Conns.Load(); n != before+1 || conns != 1 {
		t.Errorf("%d requests reached the backend, want %d; on %d connections, want 1", n, before+1, conns)
	}
}

// disconnectAfterEvent makes a client disconnect at the worst time: the event that cause posts is already in
// the loop's queue, and an attempt that results from this event may end before the loop learns that the
// client has disconnected.
func disconnectAfterEvent(t *testing.T, p *runningProxy, cause, depart func()) {
	t.Helper()
	p.loop.pool.SetReuseDelay(0, 0) // an attempt may reuse a connection that was just used
	blocked, goOn := blockLoop(t, p)
	proxytest.Receive(t, "block of the loop", blocked)
	cause()
	proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
	blocked, end := blockLoop(t, p)
	depart()
	goOn()
	proxytest.Receive(t, "block of the loop after the event", blocked)
	checkAttemptsEnd(t, p)
	end()
}

// checkAttemptsEnd waits until no attempt is running.
func checkAttemptsEnd(t *testing.T, p *runningProxy) {
	t.Helper()
	ended := make(chan struct{})
	go func() { p.loop.attempts.goroutines.Wait(); close(ended) }()
	proxytest.Receive(t, "end of the attempts", ended)
}

// TestNoAttemptForClientGoneInEventQueue checks that nothing is sent for a client that disconnects while its
// request is in the loop's queue.
func TestNoAttemptForClientGoneInEventQueue(t *testing.T) {
	for _, d := range disconnects {
		for _, draining := range []bool{false, true} {
			if draining && d.pipelined != proxytest.LookRequest("next", 4000) {
				continue // each draining case takes as long as a drain
			}
			t.Run(fmt.Sprintf("%s, draining %v", d.name, draining), func(t *testing.T) {
				t.Parallel()
				p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
				cl := connect(t, p)
				if draining {
					p.drainTimes = func([]balancer.Class) (acceptFor, endWithin time.Duration) {
						return 4 * time.Second, 5 * time.Second
					}
					p.stop()
					proxytest.WaitUntil(t, p.frontend.IsDraining)
				}
				disconnectAfterEvent(t, p,
					func() { cl.Send(t, proxytest.LookRequest("1", 4000)+d.pipelined) },
					func() { d.disconnect(cl) })
				checkNothingSent(t, p, b, 0)
			})
		}
	}
}

// TestNoRetryForGoneClient checks that no retry is sent if the client disconnects while the failure of the
// first attempt is in the loop's queue.
func TestNoRetryForGoneClient(t *testing.T) {
	for _, d := range disconnects {
		t.Run(d.name, func(t *testing.T) {
			fail := make(chan struct{})
			p, b := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 1 {
					<-fail
					return proxytest.RespondWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true)(w, nil, n)
				}
				return proxytest.RespondWith(proxytest.OKResponse, true)(w, nil, n)
			})
			cl := connect(t, p)
			cl.Send(t, proxytest.LookRequest("1", 4000)+d.pipelined)
			proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
			disconnectAfterEvent(t, p, func() { close(fail) }, func() { d.disconnect(cl) })
			checkNothingSent(t, p, b, 1)
			spent := make(chan int, 1)
			p.loop.post(func() { spent <- len(p.loop.balancer.ExportRetryBudget(p.loop.clock.now()).Retries) })
			if n := <-spent; n != 0 {
				t.Errorf("%d retries are charged to the retry budget, want none", n)
			}
		})
	}
}

// TestNoAttemptForClientGoneInKeyQueue checks that nothing is sent for a client that disconnects while its
// request waits in the queue of its idempotency key, even if its turn comes before the loop learns of the
// disconnect.
func TestNoAttemptForClientGoneInKeyQueue(t *testing.T) {
	rate := func(id string) string {
		return "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: rate\r\nIdempotency-Key: x\r\nContent-Length: 0\r\n\r\n"
	}
	text := strings.Replace(proxytest.SiteJSON, `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`, 1)
	for _, d := range disconnects {
		t.Run(d.name, func(t *testing.T) {
			gate := make(chan struct{})
			b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 1 {
					<-gate
				}
				return proxytest.RespondWith(proxytest.OKResponse, true)(w, nil, n)
			})
			p := startSite(t, text, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)), t.TempDir())
			first, cl, third := connect(t, p), connect(t, p), connect(t, p)
			first.Send(t, rate("1"))
			proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
			cl.Send(t, rate("2")+d.pipelined)
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 2 })
			disconnectAfterEvent(t, p, func() { close(gate) }, func() { d.disconnect(cl) })
			third.Send(t, rate("3")) // the key's queue must go on to it
			for _, c := range []*proxytest.Client{first, third} {
				if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
					t.Errorf("a client that stayed got %s, want 200", resp.Status)
				}
			}
			checkNothingSent(t, p, b, 2)
		})
	}
}

// anyPeerClosed reports whether a client's close has reached the proxy's socket, or no client connection is
// open.
func anyPeerClosed(p *runningProxy) bool {
	conns := p.frontend.Conns()
	return len(conns) == 0 || slices.ContainsFunc(conns, func(c *clientconn.Conn) bool { return socket.PeerClosed(c) })
}

// TestNoSendAfterSlowDialForGoneClient checks that nothing is sent if the client disconnects during the dial
// to the backend, even while the loop, which would cancel the attempt, is blocked.
func TestNoSendAfterSlowDialForGoneClient(t *testing.T) {
	for _, text := range []string{proxytest.LookRequest("1", 4000), proxytest.PostRequest("1", "Content-Length: 1000000") + strings.Repeat("x", downstream.MaxBufferedBody+1),
		proxytest.PostRequest("1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"} {
		for _, d := range disconnects {
			if strings.Contains(text, "1000000") && d.pipelined != "" {
				// Part of the body: more than the proxy reads while nothing is forwarded, but no more than
				// the initial window of the socket holds, or the client's close would wait behind it.
				d.pipelined = strings.Repeat("x", 50_000)
			}
			t.Run(text[:5]+d.name, func(t *testing.T) {
				p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
				dialing, up := make(chan struct{}, 1), make(chan struct{})
				p.loop.pool.WrapDial(func(dial upstream.DialFunc) upstream.DialFunc {
					return func(ctx context.Context, network, addr string) (net.Conn, error) {
						dialing <- struct{}{}
						<-up
						return dial(context.WithoutCancel(ctx), network, addr)
					}
				})
				cl := connect(t, p)
				cl.Send(t, text+d.pipelined)
				proxytest.Receive(t, "dial", dialing)
				blocked, end := blockLoop(t, p)
				proxytest.Receive(t, "block of the loop", blocked)
				d.disconnect(cl)
				// The close may arrive with a delay.
				proxytest.WaitUntil(t, func() bool { return anyPeerClosed(p) })
				close(up)
				checkAttemptsEnd(t, p)
				end()
				checkNothingSent(t, p, b, 0)
			})
		}
	}
}

// TestNoAttemptForClientGoneBeforeRead checks that nothing is sent for a client that disconnects before its
// connection is accepted, with its request in the kernel's buffer.
func TestNoAttemptForClientGoneBeforeRead(t *testing.T) {
	for _, d := range disconnects {
		t.Run(d.name, func(t *testing.T) {
			over := make(chan struct{})
			p, b := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 1 {
					<-over
				}
				return proxytest.RespondWith(proxytest.OKResponse, true)(w, nil, n)
			})
			p.loop.pool.SetReuseDelay(0, 0)
			p.frontend.Listener.SetLimit(1)
			busy := connect(t, p)
			busy.Send(t, proxytest.LookRequest("1", 4000))
			proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
			cl := connect(t, p)
			cl.Send(t, proxytest.LookRequest("2", 4000)+d.pipelined)
			d.disconnect(cl)
			close(over)
			busy.ReadResponse(t)
			// The request of busy may be counted for a moment longer.
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
			p.frontend.Listener.SetLimit(50)
			proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() <= 1 })
			// Wait until the client's connection was accepted, read and closed. Before that, its request may
			// hold the connection to the backend without sending.
			proxytest.WaitUntil(t, func() bool { return p.Metrics().Events["closes.client.answered_or_broken"] >= 1 })
			proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() <= 1 })
			checkNothingSent(t, p, b, 1)
		})
	}
}

// TestClientGoneCancelsAttemptInFlight checks that a client's disconnect cancels its attempt in flight,
// whatever the client has sent after its request.
func TestClientGoneCancelsAttemptInFlight(t *testing.T) {
	// No attempt times out during the test.
	long := strings.NewReplacer("4000000", "60000000", "8000000", "90000000").Replace(proxytest.SiteJSON)
	for _, text := range []string{proxytest.LookRequest("1", 60_000), proxytest.PostRequest("1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"} {
		for _, d := range disconnects {
			if len(d.pipelined) > clientconn.MaxPipelinedBytes {
				// The disconnect is not noticed: the attempt ends by its timeout, without a retry.
				continue
			}
			t.Run(text[:5]+d.name, func(t *testing.T) {
				b := proxytest.StartBackend(t, proxytest.NeverRespond(t))
				p := startSite(t, long, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)), t.TempDir())
				cl := connect(t, p)
				cl.Send(t, text+d.pipelined)
				proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
				d.disconnect(cl)
				checkNothingLeft(t, p)
			})
		}
	}
}

// TestBackendHalfCloseResetsAttempt checks that an attempt ends, and its connection is closed, when the
// backend half-closes the connection, since no response can follow.
func TestBackendHalfCloseResetsAttempt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = c.(*net.TCPConn).CloseWrite()
		_, err = c.Read(make([]byte, 1)) // returns when the proxy closes the connection
		closed <- err
	}()
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", l.Addr().String(), discovery.StatusServing)))
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", "Content-Length: 0"))
	// The request may have been executed.
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %s, want 502", resp.Status)
	}
	if err := proxytest.Receive(t, "end of the backend's connection", closed); err == nil {
		t.Error("the backend received data, want the connection closed")
	}
	checkNothingLeft(t, p)
}

// TestClientGoneWithDuplicateIDLeavesFirstRequest checks that the second of two requests with the same ID is
// rejected, and that the disconnect of its client does not affect the first request.
func TestClientGoneWithDuplicateIDLeavesFirstRequest(t *testing.T) {
	fail := make(chan struct{})
	p, b := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 1 {
			<-fail
			return proxytest.RespondWith("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", true)(w, nil, n)
		}
		return proxytest.RespondWith(proxytest.OKResponse, true)(w, nil, n)
	})
	one, two := connect(t, p), connect(t, p)
	one.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	blocked, goOn := blockLoop(t, p)
	proxytest.Receive(t, "block of the loop", blocked)
	two.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
	two.Close()
	proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 2 })
	goOn()
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() == 1 })
	close(fail)
	if resp, _ := one.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("first request: got %s, want 200", resp.Status)
	}
	checkNothingLeft(t, p)
}

// TestResponseBeforeBodyEndIsNotClientGone checks that a client always gets a response that is sent before
// the end of the request body. Such a response stops the reading of the body, which cancels the request's
// context as a disconnect does.
func TestResponseBeforeBodyEndIsNotClientGone(t *testing.T) {
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", "127.0.0.1:1", discovery.StatusDraining)))
	for i := range 20 {
		cl := connect(t, p)
		blocked, goOn := blockLoop(t, p)
		proxytest.Receive(t, "block of the loop", blocked)
		cl.Send(t, proxytest.PostRequest(fmt.Sprint(i), "Content-Length: 1000000")+
			strings.Repeat("x", downstream.MaxBufferedBody)) // the proxy waits for the rest of the body
		proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
		goOn()
		if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("request %d: got %s, want 503", i, resp.Status)
		}
		cl.Close()
	}
	checkNothingLeft(t, p)
}
