package proxy

import (
	"errors"
	"os"
	"strconv"
	"testing"

	"merlinpick/internal/discovery"
	"merlinpick/internal/override"
	"merlinpick/internal/proxy/proxytest"
)

// TestSuspensionHoldsInEveryProcessUntilResumed checks that a suspension applies in both processes of a
// proxy, across list updates and restarts of the server, until the server is resumed.
func TestSuspensionHoldsInEveryProcessUntilResumed(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	known := listJSON(1, true, endpointJSON("a/1", b.Addr, discovery.StatusServing))
	first := startProxy(t, d.addr, 200, known)
	statusOf := func(p *runningProxy, id string) int {
		c := connect(t, p)
		c.Send(t, proxytest.LookRequest(id, 4000))
		resp, _ := c.ReadResponse(t)
		return resp.StatusCode
	}
	if got := statusOf(first, "1"); got != 200 {
		t.Fatalf("before the suspension: got %d, want 200", got)
	}
	for range 3 { // repeated calls succeed
		if err := first.SuspendServer("a/1"); err != nil {
			t.Fatal(err)
		}
	}
	if got := statusOf(first, "2"); got != 503 {
		t.Errorf("with the only server suspended: got %d, want 503", got)
	}
	second := startProxyAt(t, d.addr, 200, known, first.config.StateDir)
	proxytest.WaitUntil(t, func() bool { return second.Metrics().EjectedServers == 1 })
	if got := statusOf(second, "3"); got != 503 {
		t.Errorf("in the next process: got %d, want 503", got)
	}
	d.responses <- listJSON(2, true) // removes the server from the list: it can still be resumed
	proxytest.WaitUntil(t, func() bool { return first.Metrics().ListedServers == 0 || second.Metrics().ListedServers == 0 })
	if err := second.ResumeServer("a/1"); err != nil {
		t.Fatal(err)
	}
	d.responses <- listJSON(3, false, `{"name":"a/1","address":"`+b.Addr+`","zone":"a","status":"SERVING","since_ms":5}`)
	d.responses <- listJSON(3, false, `{"name":"a/1","address":"`+b.Addr+`","zone":"a","status":"SERVING","since_ms":5}`)
	id := 10
	for _, p := range []*runningProxy{first, second} {
		proxytest.WaitUntil(t, func() bool { id++; return statusOf(p, strconv.Itoa(id)) == 200 })
	}
	for _, p := range []*runningProxy{first, second} { // whichever process was called above
		proxytest.WaitUntil(t, func() bool { return p.Metrics().EjectedServers == 0 })
	}
}

// TestSuspendingUnlistedServerFails checks that a server that no list has named can be neither suspended nor
// resumed, and that resuming a server that is not suspended has no effect.
func TestSuspendingUnlistedServerFails(t *testing.T) {
	p, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	for _, do := range []func(string) error{p.SuspendServer, p.ResumeServer} {
		var unknown *override.UnknownServerError
		if err := do("stranger"); !errors.As(err, &unknown) {
			t.Errorf("got error %v, want an UnknownServerError", err)
		}
	}
	if err := p.ResumeServer("a"); err != nil { // the server is not suspended
		t.Error(err)
	}
	if left := p.overrides.Current(); len(left) != 0 {
		t.Errorf("got the overrides %v, want none", left)
	}
}

// TestSuspensionThatCannotBeStoredFails checks that a suspension that cannot be stored is reported as failed.
func TestSuspensionThatCannotBeStoredFails(t *testing.T) {
	p, _ := startServing(t, proxytest.RespondWith(proxytest.OKResponse, true))
	if err := os.RemoveAll(p.config.StateDir); err != nil {
		t.Fatal(err)
	}
	var lost *override.StoreError
	if err := p.SuspendServer("a"); !errors.As(err, &lost) {
		t.Errorf("got error %v, want a StoreError", err)
	}
}
