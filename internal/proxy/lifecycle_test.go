package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/settings"
)

// A proxy whose discovery address changes leaves the old one at once, in mid-watch, continues from its version at the
// new one, and takes the whole list of one that is behind it.
func TestDiscoveryAddressChanges(t *testing.T) {
	a, b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	first, second, third := startDiscovery(t), startDiscovery(t), startDiscovery(t)
	p := startProxy(t, first.addr, 200, "")
	query := func(d *fakeDiscovery, want string) {
		t.Helper()
		if got, _, _ := strings.Cut(proxytest.Receive(t, "call", d.calls), "&hold_ms="); got != want {
			t.Errorf("asked %q, want %q", got, want)
		}
	}
	query(first, "")
	first.responses <- listJSON(5, true, endpointJSON("a", a.Addr, discovery.StatusServing))
	query(first, "from=5")
	p.listClient.SetSource(discovery.Source{Address: second.addr})
	query(second, "from=5")
	second.responses <- listJSON(3, false) // another count of versions
	query(second, "")
	second.responses <- listJSON(3, true, endpointJSON("b", b.Addr, discovery.StatusServing))
	query(second, "from=3")
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 4000))
	if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 || a.Requests.Load() != 0 || b.Requests.Load() != 1 {
		t.Errorf("got %s, %d and %d requests", resp.Status, a.Requests.Load(), b.Requests.Load())
	}
	p.listClient.SetSource(discovery.Source{Address: third.addr}) // and again
	query(third, "from=3")
	if n := len(first.calls); n != 0 {
		t.Errorf("%d more calls at the first address", n)
	}
}

// After SIGTERM clients still come, on new connections and on kept ones: all get their response, on connections that
// stay until the listener closes, and then a close.
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
	p.drainTimes = func([]balancer.Class) (stay, left time.Duration) { // long enough for what is to be served on
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
	proxytest.WaitUntil(t, func() bool { return p.frontend.draining.Load() })
	late := connect(t, p)
	for i, c := range []*proxytest.Client{idle, late, idle, late} {
		c.Send(t, proxytest.LookRequest(fmt.Sprint("n", i), 8000))
		if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || resp.Close {
			t.Errorf("after SIGTERM: got %s, close %v", resp.Status, resp.Close)
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.frontend.closing.Load() })
	for _, c := range []*proxytest.Client{idle, late} {
		if _, err := c.R.ReadByte(); err == nil {
			t.Error("an idle connection was not closed")
		}
	}
	close(release)
	var all sync.WaitGroup
	for _, c := range held {
		all.Go(func() {
			if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
				t.Errorf("held: got %s, close %v", resp.Status, resp.Close)
			}
		})
	}
	all.Wait()
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if _, err := unused.R.ReadByte(); err == nil {
		t.Error("an unused connection got an answer")
	}
}

// The listener closed at once: with the next proxy not yet up, clients that kept a connection had nowhere to go.
func TestClientsAreServedWhileDraining(t *testing.T) {
	for _, c := range []struct{ deadline, aim, stay, left time.Duration }{
		{5 * time.Second, 2 * time.Second, 1500 * time.Millisecond, 3500 * time.Millisecond},
		{8 * time.Second, 4 * time.Second, drainAcceptPeriod, 3500 * time.Millisecond},
		{time.Second, 400 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond},
	} {
		stay, left := DrainTimes([]balancer.Class{{Deadline: c.deadline.Microseconds(), LatencyObjective: c.aim.Microseconds()},
			{Deadline: 1, LatencyObjective: 1}})
		if stay != c.stay || left != c.left {
			t.Errorf("deadline %v, aim %v: %v and %v, want %v and %v", c.deadline, c.aim, stay, left, c.stay, c.left)
		}
	}
}

// What a hung backend holds is failed before SIGKILL follows.
func TestSIGTERMEndsHungRequests(t *testing.T) {
	p, b := startServing(t, proxytest.NeverRespond(t))
	c := connect(t, p)
	c.Send(t, proxytest.LookRequest("1", 8000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	start := time.Now()
	p.stop()
	if resp, _ := c.ReadResponse(t); resp.StatusCode == 200 {
		t.Errorf("got %s", resp.Status)
	}
	if err := proxytest.Receive(t, "end of Run", p.done); err != nil {
		t.Error(err)
	}
	if took := time.Since(start); took > killDelay+5*time.Second {
		t.Errorf("ended %v after SIGTERM", took)
	}
}

// New classes are served under their rules once the settings are in force; a class that was dropped is rejected, and
// requests in flight are answered by the rules that they began with.
func TestSettingsChangeWithRequestsInFlight(t *testing.T) {
	reached, goOn := make(chan struct{}, 1), make(chan struct{})
	p, _ := startServing(t, func(w io.Writer, r *http.Request, n int) bool {
		if r.Header.Get("Request-Id") == "open" {
			reached <- struct{}{}
			proxytest.Receive(t, "the reload", goOn)
		}
		return proxytest.RespondWith(proxytest.OKResponse, true)(w, r, n)
	})
	open := connect(t, p)
	open.Send(t, proxytest.LookRequest("open", 4000))
	proxytest.Receive(t, "the open request", reached)
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
		t.Errorf("the open request: %s", resp.Status)
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
			t.Errorf("%q: %s", text, resp.Status)
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.Metrics().InFlight == 0 })
	f := p.Metrics()
	if f.Classes["look"].Succeeded != 1 || f.Classes["peek"].Succeeded != 1 || f.Classes["post"].Succeeded != 1 {
		t.Errorf("figures %+v", f.Classes)
	}
	bad := *site
	bad.Balancer.MaxAttempts = 0
	cfg.Site = &bad
	if err := p.Reload(cfg); err == nil {
		t.Error("settings that cannot work were taken")
	}
}
