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

// The ways in which a client goes; each with what it has sent behind its request.
var departures = []struct {
	name, behind string
	leave        func(*proxytest.Client)
}{
	{"closes", "", (*proxytest.Client).Fin},
	{"resets", "", (*proxytest.Client).Reset},
	{"ends its sending", "", (*proxytest.Client).CloseWrite},
	{"closes behind a request", proxytest.LookRequest("next", 4000), (*proxytest.Client).Fin},
	{"resets behind a request", proxytest.LookRequest("next", 4000), (*proxytest.Client).Reset},
	{"closes behind half a request", proxytest.LookRequest("next", 4000)[:20], (*proxytest.Client).Fin},
	{"ends its sending behind much", strings.Repeat("x", 2*clientconn.MaxPipelinedBytes), (*proxytest.Client).CloseWrite},
}

// blockLoop has the loop block once it has handled what is in its queue by now, until goOn is called.
func blockLoop(t *testing.T, p *running) (blocked chan struct{}, goOn func()) {
	t.Helper()
	blocked, again := make(chan struct{}), make(chan struct{})
	p.loop.post(func() { close(blocked); <-again })
	goOn = sync.OnceFunc(func() { close(again) })
	t.Cleanup(goOn)
	return blocked, goOn
}

// checkNothingLeft checks that a client that has gone left no request, attempt, connection in use or reserved memory.
func checkNothingLeft(t *testing.T, p *running) {
	t.Helper()
	proxytest.WaitUntil(t, func() bool {
		reqs := make(chan int, 1)
		p.loop.post(func() { reqs <- len(p.loop.requests) })
		left := <-reqs
		conns := p.loop.pool.Stats()
		bodies, _ := p.frontend.BufferedBytes()
		return left == 0 && conns.Open == conns.Idle && p.Metrics().InFlight == 0 && bodies == 0
	})
}

// checkNothingSent checks that the backend has had so many requests over one connection, and serves the next.
func checkNothingSent(t *testing.T, p *running, b *proxytest.Backend, before int32) {
	t.Helper()
	p.loop.pool.SetReuseDelay(0) // what it goes on has just been used
	checkNothingLeft(t, p)
	cl := connect(t, p)
	cl.Send(t, proxytest.LookRequest("after", 4000))
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("then got %s", resp.Status)
	}
	if n, conns := b.Requests.Load(), b.Conns.Load(); n != before+1 || conns != 1 {
		t.Errorf("%d requests reached the backend, want %d; on %d connections", n, before+1, conns)
	}
}

// leaves has a client go at the worst moment: cause's event is in the loop's queue before it, and the attempt that
// follows from that event may run to its end before the loop hears that the client has gone.
func leaves(t *testing.T, p *running, cause, depart func()) {
	t.Helper()
	p.loop.pool.SetReuseDelay(0) // what it went on may have just been used
	blocked, goOn := blockLoop(t, p)
	proxytest.Receive(t, "block of the loop", blocked)
	cause()
	proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
	blocked, end := blockLoop(t, p)
	depart()
	goOn()
	proxytest.Receive(t, "block behind the event", blocked)
	checkAttemptsEnd(t, p)
	end()
}

func checkAttemptsEnd(t *testing.T, p *running) {
	t.Helper()
	ended := make(chan struct{})
	go func() { p.loop.attempts.goroutines.Wait(); close(ended) }()
	proxytest.Receive(t, "end of the attempts", ended)
}

// The client goes while its request is in the loop's queue.
func TestNoAttemptForClientGoneInEventQueue(t *testing.T) {
	for _, d := range departures {
		for _, draining := range []bool{false, true} {
			if draining && d.behind != proxytest.LookRequest("next", 4000) {
				continue // each takes the time of a drain
			}
			t.Run(fmt.Sprintf("%s, draining %v", d.name, draining), func(t *testing.T) {
				t.Parallel()
				p, b := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
				cl := connect(t, p)
				if draining {
					p.drainTimes = func([]balancer.Class) (stay, left time.Duration) { return 4 * time.Second, 5 * time.Second }
					p.stop()
					proxytest.WaitUntil(t, p.frontend.IsDraining)
				}
				leaves(t, p, func() { cl.Send(t, proxytest.LookRequest("1", 4000)+d.behind) }, func() { d.leave(cl) })
				checkNothingSent(t, p, b, 0)
			})
		}
	}
}

// The client goes while the first attempt's failure is in the loop's queue: no retry follows.
func TestNoRetryForGoneClient(t *testing.T) {
	for _, d := range departures {
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
			cl.Send(t, proxytest.LookRequest("1", 4000)+d.behind)
			proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
			leaves(t, p, func() { close(fail) }, func() { d.leave(cl) })
			checkNothingSent(t, p, b, 1)
			spent := make(chan int, 1)
			p.loop.post(func() { spent <- len(p.loop.balancer.ExportRetryBudget(p.loop.clock.now()).Retries) })
			if n := <-spent; n != 0 {
				t.Errorf("%d of the allowance for further attempts is taken", n)
			}
		})
	}
}

// The client goes while its request waits in its key's queue, and its turn comes before the loop hears of that.
func TestNoAttemptForClientGoneInKeyQueue(t *testing.T) {
	rate := func(id string) string {
		return "POST /rate/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: rate\r\nIdempotency-Key: x\r\nContent-Length: 0\r\n\r\n"
	}
	text := strings.Replace(proxytest.SiteJSON, `"dedup_scope":"cell"`, `"by_arrival":true,"dedup_scope":"cell"`, 1)
	for _, d := range departures {
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
			cl.Send(t, rate("2")+d.behind)
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 2 })
			leaves(t, p, func() { close(gate) }, func() { d.leave(cl) })
			third.Send(t, rate("3")) // its turn comes
			for _, c := range []*proxytest.Client{first, third} {
				if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
					t.Errorf("got %s", resp.Status)
				}
			}
			checkNothingSent(t, p, b, 2)
		})
	}
}

// anyPeerClosed reports whether the end of a client's connection has come to the proxy's socket.
func anyPeerClosed(p *running) bool {
	conns := p.frontend.Conns()
	return len(conns) == 0 || slices.ContainsFunc(conns, func(c *clientconn.Conn) bool { return socket.PeerClosed(c) })
}

// The client goes while a connection to the backend comes up; the loop, which would cancel the attempt, is busy.
func TestNoSendAfterSlowDialForGoneClient(t *testing.T) {
	for _, text := range []string{proxytest.LookRequest("1", 4000), proxytest.PostRequest("1", "Content-Length: 1000000") + strings.Repeat("x", downstream.MaxBufferedBody+1),
		proxytest.PostRequest("1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"} {
		for _, d := range departures {
			if strings.Contains(text, "1000000") && d.behind != "" {
				// Of the body: more than is read while nobody takes it, and no more than a socket's first window holds,
				// or the end would wait behind it at the client.
				d.behind = strings.Repeat("x", 50_000)
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
				cl.Send(t, text+d.behind)
				proxytest.Receive(t, "dial", dialing)
				blocked, end := blockLoop(t, p)
				proxytest.Receive(t, "block of the loop", blocked)
				d.leave(cl)
				proxytest.WaitUntil(t, func() bool { return anyPeerClosed(p) }) // its end may come later than this test goes on
				close(up)
				checkAttemptsEnd(t, p)
				end()
				checkNothingSent(t, p, b, 0)
			})
		}
	}
}

// The client goes while its connection waits to be accepted, with its request in the kernel.
func TestNoAttemptForClientGoneBeforeRead(t *testing.T) {
	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			over := make(chan struct{})
			p, b := startServing(t, func(w io.Writer, _ *http.Request, n int) bool {
				if n == 1 {
					<-over
				}
				return proxytest.RespondWith(proxytest.OKResponse, true)(w, nil, n)
			})
			p.loop.pool.SetReuseDelay(0)
			p.frontend.Listener.SetLimit(1)
			busy := connect(t, p)
			busy.Send(t, proxytest.LookRequest("1", 4000))
			proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
			cl := connect(t, p)
			cl.Send(t, proxytest.LookRequest("2", 4000)+d.behind)
			d.leave(cl)
			close(over)
			busy.ReadResponse(t)
			proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 }) // its own may stand in the figures for a moment
			p.frontend.Listener.SetLimit(50)
			proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() <= 1 })
			// It has been accepted, read and closed: before that it may hold the backend's connection, unsent.
			proxytest.WaitUntil(t, func() bool { return p.Metrics().Events["closes.client.answered_or_broken"] >= 1 })
			proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() <= 1 })
			checkNothingSent(t, p, b, 1)
		})
	}
}

// A client that goes cancels its attempt in flight, whatever it has sent behind its request.
func TestClientGoneCancelsAttemptInFlight(t *testing.T) {
	long := strings.NewReplacer("4000000", "60000000", "8000000", "90000000").Replace(proxytest.SiteJSON) // no attempt ends by itself
	for _, text := range []string{proxytest.LookRequest("1", 60_000), proxytest.PostRequest("1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"} {
		for _, d := range departures {
			if len(d.behind) > clientconn.MaxPipelinedBytes {
				continue // not noticed: its attempt ends in its own time, and no other follows
			}
			t.Run(text[:5]+d.name, func(t *testing.T) {
				b := proxytest.StartBackend(t, proxytest.NeverRespond(t))
				p := startSite(t, long, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)), t.TempDir())
				cl := connect(t, p)
				cl.Send(t, text+d.behind)
				proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
				d.leave(cl)
				checkNothingLeft(t, p)
			})
		}
	}
}

// A backend that half-closes has given its response up: the attempt ends, and its connection is closed.
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
		_, err = c.Read(make([]byte, 1)) // the proxy's side of it
		closed <- err
	}()
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", l.Addr().String(), discovery.StatusServing)))
	cl := connect(t, p)
	cl.Send(t, proxytest.PostRequest("1", "Content-Length: 0"))
	if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusBadGateway { // it may have run
		t.Errorf("got %s", resp.Status)
	}
	if err := proxytest.Receive(t, "end of the server's connection", closed); err == nil {
		t.Error("bytes came")
	}
	checkNothingLeft(t, p)
}

// Of two requests under one ID the later is rejected: its client's departure does not affect the first.
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
		t.Errorf("got %s", resp.Status)
	}
	checkNothingLeft(t, p)
}

// A response that comes before the body's end cuts the rest of the body off, which ends the request's context as a
// departure would: the client, which is there, gets the response each time.
func TestResponseBeforeBodyEndIsNotClientGone(t *testing.T) {
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", "127.0.0.1:1", discovery.StatusDraining)))
	for i := range 20 {
		cl := connect(t, p)
		blocked, goOn := blockLoop(t, p)
		proxytest.Receive(t, "block of the loop", blocked)
		cl.Send(t, proxytest.PostRequest(fmt.Sprint(i), "Content-Length: 1000000")+strings.Repeat("x", downstream.MaxBufferedBody)) // and a read waits for more
		proxytest.WaitUntil(t, func() bool { return len(p.loop.events) == 1 })
		goOn()
		if resp, _ := cl.ReadResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got %s", resp.Status)
		}
		cl.Close()
	}
	checkNothingLeft(t, p)
}
