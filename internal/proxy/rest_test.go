package proxy

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"fernlanding/internal/keepalive"
	"fernlanding/logic"
)

// unrested has a pool use connections again at once.
func unrested(p *backends) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest = 0
}

// A second answer that comes after the next request was sent is not that one's: the connection that it comes on rests
// then, is found to hold what nobody asked for, and is closed.
func TestASecondAnswerIsNotTheNextRequests(t *testing.T) {
	asked, spoilt := make(chan struct{}), make(chan struct{})
	b := startBackend(t, func(w io.Writer, _ *http.Request, n int) bool {
		if n == 2 {
			close(asked)
			wait(t, "second answer to the first request", spoilt)
		}
		_, _ = io.WriteString(w, served)
		if n == 1 {
			go func() {
				<-asked
				_, _ = io.WriteString(w, strings.Replace(served, "ok", "no", 1))
				close(spoilt)
			}()
		}
		return true
	})
	p := poolWith(4, b.addr)
	if p.rest != keepalive.Rest {
		t.Errorf("connections rest for %v", p.rest)
	}
	p.rest = patience // the next request comes in it, on any machine
	for n := range 2 {
		if res := newAttempt(p, "a", patience).run(); res.status != logic.OK || string(res.body) != "ok" {
			t.Fatalf("request %d: got %v %q", n+1, res.status, res.body)
		}
	}
	unrested(p)
	p.byName["a"].idle = p.byName["a"].idle[:1] // that of the second answer alone
	waitUntil(t, func() bool { return !quiet(p.byName["a"].idle[0].Conn) })
	if res := newAttempt(p, "a", patience).run(); res.status != logic.OK || string(res.body) != "ok" || b.conns.Load() != 3 {
		t.Errorf("after the rest: got %v %q on %d connections", res.status, res.body, b.conns.Load())
	}
}

// One that has rested is used before a new one is opened, though others are more recent.
func TestAConnectionThatHasRestedIsFoundBehindThoseThatRest(t *testing.T) {
	b := startBackend(t, says(served, true))
	p := poolWith(4, b.addr)
	e := p.byName["a"]
	var two []*conn
	for range 2 {
		c, err := p.dial(context.Background(), e, b.addr, e.epoch)
		if err != nil {
			t.Fatal(err)
		}
		two = append(two, c)
		p.keep(c)
	}
	p.rest = patience
	two[0].since = two[0].since.Add(-patience)
	if c := p.reuse(e, e.epoch, false); c != two[0] {
		t.Error("not the one that has rested")
	}
	if c := p.reuse(e, e.epoch, false); c != nil || len(e.idle) != 1 || p.open != 2 {
		t.Errorf("%d idle and %d open beside one that rests", len(e.idle), p.open)
	}
}
