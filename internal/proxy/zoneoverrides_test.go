package proxy

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/management"
	"merlinpick/internal/override"
	"merlinpick/internal/proxy/proxytest"
)

// zoneStatus returns the state of a zone as a proxy shows it.
func zoneStatus(t *testing.T, p *runningProxy, name string) management.Zone {
	t.Helper()
	for _, z := range p.Zones() {
		if z.Name == name {
			return z
		}
	}
	t.Fatalf("zone %s is not among the zones %+v", name, p.Zones())
	return management.Zone{}
}

// TestDrainedZoneGetsNothingUntilRestored checks that a drained zone gets no requests from any process of a
// proxy, whatever the endpoint list says, and that its share grows in steps once it is restored.
func TestDrainedZoneGetsNothingUntilRestored(t *testing.T) {
	a, b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	in := func(zone, text string) string {
		return strings.Replace(text, `"zone":"a"`, fmt.Sprintf(`"zone":%q`, zone), 1)
	}
	known := listJSON(1, true, endpointJSON("a/1", a.Addr, discovery.StatusServing), in("b", endpointJSON("b/1", b.Addr, discovery.StatusServing)))
	d := startDiscovery(t)
	text := strings.Replace(proxytest.SiteJSON, `"failure_domains":["a"]`, `"failure_domains":["a","b"]`, 1)
	first := startSite(t, text, d.addr, 200, known, t.TempDir())
	id := 0
	sendRequests := func(p *runningProxy, times int) {
		t.Helper()
		for c := connect(t, p); times > 0; times-- {
			id++
			c.Send(t, proxytest.LookRequest(strconv.Itoa(id), 4000))
			if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
				t.Fatalf("request %d: got %s, want 200", id, resp.Status)
			}
		}
	}
	sendRequests(first, 50)
	if z := zoneStatus(t, first, "a"); a.Requests.Load() == 0 || z.Phase != balancer.ZoneHealthy || z.WeightFraction != 1 || first.Metrics().Zones != nil {
		t.Fatalf("before the drain: %d requests at a, zone %+v, zone metrics %+v; want some requests, "+
			"a healthy zone and no zone metrics", a.Requests.Load(), z, first.Metrics().Zones)
	}
	for range 2 { // repeated calls succeed
		if err := first.DrainZone("a"); err != nil {
			t.Fatal(err)
		}
	}
	before := a.Requests.Load()
	var last *override.LastZoneError
	if err := first.DrainZone("b"); !errors.As(err, &last) {
		t.Errorf("drain of the last zone: got error %v, want a LastZoneError", err)
	}
	var unknown *override.UnknownZoneError
	if err := first.DrainZone("c"); !errors.As(err, &unknown) {
		t.Errorf("drain of an unknown zone: got error %v, want an UnknownZoneError", err)
	}
	second := startSite(t, text, d.addr, 200, known, first.config.StateDir)
	more := []string{endpointJSON("a/2", a.Addr, discovery.StatusServing), in("c", endpointJSON("c/1", b.Addr, discovery.StatusServing))}
	for _, p := range []*runningProxy{first, second} {
		proxytest.WaitUntil(t, func() bool { // either process may receive the response
			select {
			case d.responses <- listJSON(2, false, more...):
			default:
			}
			return p.Metrics().ListedServers == 4
		})
		if z := zoneStatus(t, p, "a"); z.Phase != balancer.ZoneDrained || z.WeightFraction != 0 || len(p.Metrics().Zones) != 3 {
			t.Errorf("after the drain: got zone %+v and metrics %+v, want it drained and 3 zones",
				z, p.Metrics().Zones)
		}
		sendRequests(p, 50)
	}
	if n := a.Requests.Load() - before; n > 0 {
		t.Errorf("%d requests reached the drained zone, want none", n)
	}
	if err := second.RestoreZone("a"); err != nil {
		t.Fatal(err)
	}
	for _, p := range []*runningProxy{second, first} {
		proxytest.WaitUntil(t, func() bool { return zoneStatus(t, p, "a").Phase == balancer.ZoneRecovering })
		before = a.Requests.Load()
		proxytest.WaitUntil(t, func() bool { sendRequests(p, 1); return a.Requests.Load() > before })
		if p.Metrics().Zones != nil {
			t.Error("after the restore: the metrics still include zones")
		}
	}
	// The share grows although there is no cluster.
	proxytest.WaitUntil(t, func() bool { return zoneStatus(t, first, "a").WeightFraction > 0.1 })
}

// TestConcurrentZoneDrainsRetainOneZone checks that drains requested at two proxies, which together would
// drain all zones, leave one zone: the first by name, so that each proxy leaves the same one.
func TestConcurrentZoneDrainsRetainOneZone(t *testing.T) {
	a, b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true)), proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	known := listJSON(1, true, endpointJSON("a/1", a.Addr, discovery.StatusServing),
		strings.Replace(endpointJSON("b/1", b.Addr, discovery.StatusServing), `"zone":"a"`, `"zone":"b"`, 1))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 200, known)
	p.overrides.SetRemote(map[string]bool{override.ZoneKey("a"): true, override.ZoneKey("b"): true})
	proxytest.WaitUntil(t, func() bool { return zoneStatus(t, p, "b").Phase == balancer.ZoneDrained })
	if z := zoneStatus(t, p, "a"); z.Phase != balancer.ZoneHealthy || z.Reason == "" {
		t.Errorf("the first zone by name: got %+v, want it healthy with a reason", z)
	}
	d.responses <- listJSON(2, false, strings.Replace(endpointJSON("c/1", b.Addr, discovery.StatusServing), `"zone":"a"`, `"zone":"c"`, 1))
	// With zone c serving, zone a is drained too.
	proxytest.WaitUntil(t, func() bool { return zoneStatus(t, p, "a").Phase == balancer.ZoneDrained })
}
