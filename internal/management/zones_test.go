package management

import (
	"strings"
	"testing"
	"time"

	"merlinpick/balancer"
)

// TestZoneCalls checks the operator calls that drain and restore a zone.
func TestZoneCalls(t *testing.T) {
	p := &fakeProxy{}
	s := startServer(t, p)
	for _, c := range []struct {
		line, wantCall, wantBody string
		status                   int
	}{
		{"POST /v1/zones/a/drain", "drain a", "ok", 200},
		{"POST /v1/zones/a/restore", "restore a", "ok", 200},
		{"POST /v1/zones/a%2Fb/drain", "drain a/b", "ok", 200},
		{"POST /v1/zones/nowhere/drain", "", "GET /v1/zones", 404},
		{"POST /v1/zones/last/drain", "", "restore one first", 409},
		{"POST /v1/zones/stuck/drain", "", "no room", 503},
		{"POST /v1/zones//drain", "", "", 404},
		{"POST /v1/zones/a/stop", "", "", 404},
		{"GET /v1/zones/a/drain", "", "", 405},
	} {
		p.lastCall = ""
		if status, text := call(t, s, request(c.line, "")); status != c.status ||
			p.lastCall != c.wantCall || !strings.Contains(text, c.wantBody) {
			t.Errorf("%s: status %d, body %q, call %q; want %d, a body with %q, %q",
				c.line, status, text, p.lastCall, c.status, c.wantBody, c.wantCall)
		}
	}
}

// TestZonesText checks the text of GET /v1/zones and the zone metrics, which only a proxy with zones to
// report has.
func TestZonesText(t *testing.T) {
	p := &fakeProxy{}
	s := startServer(t, p)
	_, before := call(t, s, request("GET /v1/metrics", ""))
	if strings.Contains(before, "zone") {
		t.Errorf("a proxy without zones to report exports zone metrics:\n%s", before)
	}
	p.metrics.Zones = []Zone{{Name: "a b=c", WeightFraction: 1}, {Name: "b", Phase: balancer.ZoneDrained, Transitions: 3, Since: 1200 * time.Millisecond,
		Reason: `by "hand"`}}
	want := "name=a%20b%3Dc state=well share=1.00 epoch=0 since_ms=0 reason=\"\"\n" +
		"name=b state=drained share=0.00 epoch=3 since_ms=1200 reason=\"by \\\"hand\\\"\"\n"
	if status, text := call(t, s, request("GET /v1/zones", "")); status != 200 || text != want {
		t.Errorf("GET /v1/zones: status %d\ngot\n%s\nwant\n%s", status, text, want)
	}
	want = before + "app.zone_state.a%20b%3Dc=0\napp.zone_share.a%20b%3Dc=1.00\napp.zone_epoch.a%20b%3Dc=0\n" +
		"app.zone_state.b=5\napp.zone_share.b=0.00\napp.zone_epoch.b=3\n"
	if _, text := call(t, s, request("GET /v1/metrics", "")); text != want {
		t.Errorf("GET /v1/metrics: got\n%s\nwant\n%s", text, want)
	}
}
