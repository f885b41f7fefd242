package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// TestDiscoveryAddressChanges checks that a proxy whose discovery address changes immediately ends its watch
// at the old address, continues from its list version at the new one, and takes the complete list if the new
// one has an older version.
func TestDiscoveryAddressChanges(t *testing.T) {
	a, b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	first, second, third := startDiscovery(t), startDiscovery(t), startDiscovery(t)
	p := startProxy(t, first.addr, 200, "")
	query := func(d *fakeDiscovery, want string) {
		t.Helper()
		if got, _, _ := strings.Cut(proxytest.Receive(t, "call", d.calls), "&hold_ms="); got != want {
			t.Errorf("got the query %q, want %q", got, want)
		}
	}
	query(first, "")
	first.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
	query(first, "from=5")
	p.listClient.SetSource(discovery.Source{Address: second.addr})
	query(second, "from=5")
	second.responses <- listJSON(3, false) // an older version than the proxy's
	query(second, "")
	second.responses <- listJSON(3, true, endpointJSON("b", b.Addr, discovery.StatusServing))
	query(second, "from=3")
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 4000))
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 || a.Requests.Load() != 0 || b.Requests.Load() != 1 {
		t.Errorf("got %s, with %d requests at a and %d at b, want 200, 0 and 1",
			resp.Status, a.Requests.Load(), b.Requests.Load())
	}
	p.listClient.SetSource(discovery.Source{Address: third.addr}) // changes it once more
	query(third, "from=3")
	if n := len(first.calls); n != 0 {
		t.Errorf("%d more calls to the first address, want none", n)
	}
}

// TestSIGTERMUnderLoadLosesNothing checks that requests after SIGTERM, on new and on kept connections, get
// their response. The connections stay open until the listener closes, and are closed then.
func TestSIGTERMUnderLoadLosesNothing(t *testing.T) {
	release := make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, r *http.Request, _ int) bool {
		if r.Header.Get("Request-Id")[0] == 'h' {
			<-release
		}
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.drainTimes = func([]balancer.Class) (acceptFor, endWithin time.Duration) {
		// Long enough for the requests below.
		return 2 * time.Second, 3500 * time.Millisecond
	}
	idle := connect(t, p)
	idle.Send(t, proxytest.LookRequest("1", 8000))
	idle.ReadResponse(t)
	var held []*proxytest.Client
	for i := range 10 {
		held = append(held, connect(t, p))
		held[i].Send(t, proxytest.LookRequest(fmt.Sprint("h", i), 8000))
	}
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 11 })
	unused := connect(t, p)
	p.stop()
	proxytest.WaitUntil(t, func() bool { return p.frontend.IsDraining() })
	late := connect(t, p)
	for i, c := range []*proxytest.Client{idle, late, idle, late} {
		c.Send(t, proxytest.LookRequest(fmt.Sprint("n", i), 8000))
		if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
			t.Errorf("request after SIGTERM: got %s, close %v, want 200 and no close",
				resp.Status, resp.Close)
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.frontend.IsClosing() })
	for _, c := range []*proxytest.Client{idle, late} {
		if _, err := c.Reader.ReadByte(); err == nil {
			t.Error("an idle connection was not closed")
		}
	}
	close(release)
	var all sync.WaitGroup
	for _, c := range held {
		all.Go(func() {
			if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
				t.Errorf("request in flight at SIGTERM: got %s, close %v, want 200 and a close",
					resp.Status, resp.Close)
			}
		})
	}
	all.Wait()
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if _, err := unused.Reader.ReadByte(); err == nil {
		t.Error("a connection without a request got a response")
	}
}

// TestSIGTERMEndsHungRequests checks that, after SIGTERM, requests at a hung backend fail in time, before a
// SIGKILL follows.
func TestSIGTERMEndsHungRequests(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	start := time.Now()
	p.stop()
	if resp, _ := c.ReadResponse(t); resp.StatusCode == 200 {
		t.Errorf("got %s, want an error", resp.Status)
	}
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > downstream.MaxDrainDeadline+5*time.Second {
		t.Errorf("Run ended %v after SIGTERM, want at most %v",
			took, downstream.MaxDrainDeadline+5*time.Second)
	}
}

// TestSettingsChangeWithRequestsInFlight checks that a reload applies to new requests: new classes are served
// according to their settings, and removed ones are rejected. Requests in flight complete under the settings
// that they started with.
func TestSettingsChangeWithRequestsInFlight(t *testing.T) {
	reached, goOn := make(chan struct{}, 1), make(chan struct{})
	p, _ := startServing(t, func(w io.Writer, r *http.Request, n int) bool {
		if r.Header.Get("Request-Id") == "open" {
			reached <- struct{}{}
			proxytest.Receive(t, "signal after the reload", goOn)
		}
		return proxytest.RespondWith(proxytest.OKResponse, true)(w, r, n)
	})
	open := connect(t, p)
	open.Send(t, proxytest.LookRequest("open", 4000))
	proxytest.Receive(t, "request before the reload", reached)
	site, err := settings.Decode([]byte(strings.NewReplacer(`"name":"look"`, `"name":"peek"`,
		`"repeat":"at_most_once"`, `"repeat":"idempotent"`).Replace(proxytest.SiteJSON)))
	if err != nil {
		t.Fatal(err)
	}
	cfg := p.config
	cfg.Site = site
	if err := p.Reload(cfg); err != nil {
		t.Fatal(err)
	}
	close(goOn)
	if resp, _ := open.ReadResponse(t); resp.StatusCode != 200 {
		t.Errorf("request in flight during the reload: got %s, want 200", resp.Status)
	}
	for text, want := range map[string]int{
		strings.ReplaceAll(proxytest.LookRequest("1", 4000), "look", "peek"):              200,
		proxytest.LookRequest("2", 4000):                                                  400,
		"GET /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n\r\n": 200,
		proxytest.PostRequest("4", "Content-Length: 0"):                                   405,
	} {
		cl := connect(t, p)
		cl.Send(t, text)
		if resp, _ := cl.ReadResponse(t); resp.StatusCode != want {
			t.Errorf("request %q: got %s, want %d", text, resp.Status, want)
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
	f := p.Metrics()
	if f.Classes["look"].Succeeded != 1 || f.Classes["peek"].Succeeded != 1 || f.Classes["post"].Succeeded != 1 {
		t.Errorf("got class metrics %+v, want one success each of look, peek and post", f.Classes)
	}
	bad := *site
	bad.Balancer.MaxAttempts = 0
	cfg.Site = &bad
	if err := p.Reload(cfg); err == nil {
		t.Error("Reload accepted invalid settings")
	}
}

// TestClientsSendingUntilExitLoseNothing checks that, when a drain ends while clients send on all
// connections, each accepted request gets its response. The other connections end in a way that shows that
// their request was not accepted.
func TestClientsSendingUntilExitLoseNothing(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := startProxy(t, startDiscovery(t).addr, 300, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.drainTimes = func([]balancer.Class) (acceptFor, endWithin time.Duration) {
		return 100 * time.Millisecond, 600 * time.Millisecond
	}
	const clients = 16
	var answers atomic.Int64
	ends, started := make(chan error, clients), make(chan struct{}, clients)
	for range clients {
		go func() {
			c, err := net.Dial("tcp", p.Addr())
			if err != nil {
				ends <- err
				return
			}
			defer c.Close()
			_ = c.SetDeadline(time.Now().Add(proxytest.Timeout))
			r := bufio.NewReader(c)
			for i := 0; ; i++ {
				if _, err = io.WriteString(c, proxytest.LookRequest(fmt.Sprint(c.LocalAddr(), "-", i), 4000)); err != nil {
					break
				}
				var resp *http.Response
				if resp, err = http.ReadResponse(r, nil); err != nil {
					break
				}
				var body bytes.Buffer
				if _, err = body.ReadFrom(resp.Body); err != nil || resp.StatusCode != 200 && resp.StatusCode != 503 {
					err = errors.New("unexpected response: " + resp.Status)
					break
				}
				answers.Add(1)
				if i == 0 {
					started <- struct{}{}
				}
				if resp.Close {
					err = nil
					break
				}
			}
			if err != nil && err != io.EOF && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.EPIPE) {
				ends <- err
				return
			}
			ends <- nil
		}()
	}
	for range clients {
		select {
		case <-started:
		case err := <-ends:
			t.Fatal(err)
		}
	}
	p.stop()
	for range clients {
		if err := proxytest.Receive(t, "end of a client", ends); err != nil {
			t.Error(err)
		}
	}
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	f := p.Metrics()
	if ends := f.Classes["look"]; ends.Succeeded+ends.Rejected != answers.Load() || ends.Failed != 0 || f.InFlight != 0 {
		t.Errorf("clients got %d responses, which the metrics do not match: %+v", answers.Load(), f)
	}
}
