package proxy

import (
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/upstream"
)

// The files in testdata were written by an earlier version. The output of this package that others read
// (another process of the proxy, clients, readers of the metrics) must stay the same byte for byte.

// checkGolden compares got with a file in testdata, up to the first of the marks, each of which the file must
// contain.
func checkGolden(t *testing.T, name, got string, marks ...string) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatalf("%v; got:\n%s", err, got)
	}
	want := string(text)
	for _, mark := range marks {
		var found bool
		if want, _, found = strings.Cut(want, mark); !found {
			t.Errorf("%s does not contain the mark %q", name, mark)
		}
	}
	if got != want {
		t.Errorf("%s differs: got\n%s\nwant\n%s", name, got, want)
	}
}

// TestOwnAnswersAreGolden compares the responses that the proxy generates itself, as they are sent, with the
// golden file.
func TestOwnAnswersAreGolden(t *testing.T) {
	breaks, _ := startServing(t, proxytest.RespondWith("", false))
	full, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	conns, _ := full.frontend.Limits()
	full.frontend.SetLimits(conns, 0, 4)
	good, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	unlisted := startProxy(t, startDiscovery(t).addr, 200, "")
	post := func(more string) string {
		return "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 3\r\nRequest-Class: post\r\n" + more
	}
	var out strings.Builder
	show := func(name, text string) {
		fmt.Fprintf(&out, "== %s\n%s\n", name, strings.ReplaceAll(text, "\r\n", "\\r\\n\n"))
	}
	for _, c := range []struct {
		name string
		p    *runningProxy
		text string
	}{
		{"health", good, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"health without a list", unlisted, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"served", good, proxytest.LookRequest("1", 4000)},
		{"rejected for want of room", full, proxytest.LookRequest("1", 4000)},
		{"failed", breaks, post("Content-Length: 0\r\n\r\n")},
		{"no class", good, "GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\n\r\n"},
		{"other path", good, strings.Replace(proxytest.LookRequest("1", 9), "/look", "/rate", 1)},
		{"no id", good, strings.Replace(proxytest.LookRequest("1", 9), "Request-Id", "Other", 1)},
		{"two ids", good, strings.Replace(proxytest.LookRequest("1", 9), "Tenant: acme", "Request-Id: 2", 1)},
		{"wrong method", good, strings.Replace(proxytest.LookRequest("1", 9), "GET", "PUT", 1)},
		{"needless key", good, strings.Replace(proxytest.LookRequest("1", 9), "Tenant", "Idempotency-Key", 1)},
		{"body on a GET", good, strings.Replace(proxytest.LookRequest("1", 9), "Tenant: acme", "Content-Length: 2", 1) + "ab"},
		{"too large", good, post(fmt.Sprintf("Content-Length: %d\r\n\r\n", downstream.MaxRequestBodyBytes+1))},
		{"body broken off", good, post("Transfer-Encoding: chunked\r\n\r\nzz\r\n")},
		{"body too slow", good, post("Content-Length: 9\r\n\r\nabc")},
		{"ambiguous framing", good, post("Content-Length: 1\r\nContent-Length: 1\r\n\r\na")},
		{"head too long", good, "GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4*clientconn.MaxHeadBytes) + "\r\n\r\n"},
	} {
		show(c.name, proxytest.RawExchange(t, c.p.Addr(), c.text))
	}
	// Package downstream compares the rest.
	checkGolden(t, "answers.txt", out.String(), "== half a head at the end\n")
}

// TestCountsNamesAreGolden compares the names of all events and rules in the metrics with the golden file.
func TestCountsNamesAreGolden(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.NeverRespond(t))
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.breaksRules = true
	// Reasons for closing client connections.
	gone := connect(t, p)
	gone.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return b.Requests.Load() == 1 })
	gone.Close()
	proxytest.WaitUntil(t, func() bool { return p.loop.audit.Events()["closes.client.no_answer"] == 1 })
	half := connect(t, p)
	half.Send(t, "GET")
	// MakeRoom also closes a connection in the middle of a request header.
	proxytest.WaitUntil(t, func() bool {
		p.frontend.MakeRoom()
		return p.loop.audit.Events()["closes.client.no_room"] > 0 && p.loop.audit.Events()["closes.client.idle_or_half"] > 0
	})
	answered := connect(t, p)
	answered.Send(t, "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n")
	answered.ReadResponse(t)
	proxytest.WaitUntil(t, func() bool { return p.loop.audit.Events()["closes.client.answered_or_broken"] > 0 })

	// Reasons for closing connections to backends.
	good := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	closing := proxytest.StartBackend(t, proxytest.RespondWith("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false))
	pool := upstream.NewPool(upstream.Config{DialTimeout: proxytest.Timeout, IdleClose: time.Minute, MaxOpen: 4, Audit: p.loop.audit})
	pool.UpdateEndpoints(true, []discovery.Endpoint{proxytest.Endpoint("a", good.Addr, discovery.StatusServing),
		proxytest.Endpoint("b", good.Addr, discovery.StatusServing), proxytest.Endpoint("closing", closing.Addr, discovery.StatusServing),
		proxytest.Endpoint("hung", b.Addr, discovery.StatusServing)})
	run := func(name string, timeout time.Duration) {
		a, ok := pool.NewAttempt(t.Context(), name, upstream.Params{Deadline: time.Now().Add(timeout),
			Request: &upstream.Request{ID: "1", Method: http.MethodGet, URI: "/look/k", Host: "h", Header: http.Header{}}})
		if !ok {
			t.Fatalf("backend %s is not available", name)
		}
		a.Run()
	}
	run("a", proxytest.Timeout)
	pool.SweepIdle(time.Now().Add(time.Hour))
	run("a", proxytest.Timeout)
	run("b", proxytest.Timeout)
	pool.SetLimits(upstream.Limits{MaxOpen: 1, ResponseBytes: 1})
	pool.SetLimits(upstream.Limits{MaxOpen: 4, ResponseBytes: 1})
	pool.SetSuspended(map[string]bool{"a": true, "b": true})
	run("closing", proxytest.Timeout)
	run("hung", 50*time.Millisecond)

	// Statuses of attempts and reasons for rejections.
	l := &eventLoop{clock: clock{time.Now()}, audit: audit.New(slog.New(slog.DiscardHandler))}
	for s := range balancer.Status(8) {
		l.auditAttemptEnd(&attempt{request: &request{Request: &downstream.Request{}}}, s)
	}
	by := map[balancer.RejectReason]int64{}
	for i := range rejectReasonNames {
		by[balancer.RejectReason(i)] = 1
	}
	p.metrics.setRejections(by)
	names := map[string]bool{}
	for _, all := range []map[string]int64{p.Metrics().Events, l.audit.Events()} {
		for n := range maps.Keys(all) {
			names["event "+n] = true
		}
	}
	for n := range maps.Keys(p.Metrics().RuleViolations) {
		names["rule "+n] = true
	}
	checkGolden(t, "counts.txt", strings.Join(slices.Sorted(maps.Keys(names)), "\n")+"\n")
}
