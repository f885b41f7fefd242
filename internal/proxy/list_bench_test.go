package proxy

import (
	"fmt"
	"log/slog"
	"runtime"
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/upstream"
	"merlinpick/internal/settings"
)

// endpoints returns n endpoints, spread evenly over zones.
func endpoints(n, zones int) []discovery.Endpoint {
	out := make([]discovery.Endpoint, 0, n)
	weight := 1.0
	for i := range n {
		out = append(out, discovery.Endpoint{Name: fmt.Sprintf("nodo-%05d", i), Address: fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250),
			Zone: fmt.Sprint("z", i%zones), Cell: i / 8, Status: discovery.StatusServing, Weight: &weight, StartedAtMs: int64(i + 1)})
	}
	return out
}

// newListLoop returns an event loop without connections, configured as in a proxy of tier 1.
func newListLoop(b testing.TB, zones int) *eventLoop {
	b.Helper()
	site := &settings.Site{DialTimeout: time.Second, IdleTimeout: 5 * time.Second, Classes: []string{"read"},
		Balancer: balancer.Settings{Tier: 1, Replicas: 1, ZoneCount: zones, MaxAttempts: 3, DrainGrace: 1_000_000, SlowStartMinCapacity: 0.3,
			SlowStartDuration: 8_800_000, OverloadMultiple: 3, OverloadWindow: 2_000_000,
			Classes: []balancer.Class{{Name: "read", LatencyObjective: 400_000, Deadline: 2_000_000, PriorityWeight: 1}}}}
	for z := range zones {
		site.Zones = append(site.Zones, fmt.Sprint("z", z))
	}
	bal, err := balancer.New(site.Balancer, 1)
	if err != nil {
		b.Fatal(err)
	}
	counts := newMetrics(site.Classes)
	pool := upstream.NewPool(upstream.Config{DialTimeout: site.DialTimeout, IdleClose: site.IdleTimeout, MaxOpen: 100})
	return newEventLoop(loopConfig{balancer: bal, clock: clock{time.Now()}, pool: pool, zoneNumbers: newZoneNumbers(site.Zones),
		metrics: counts, logger: slog.New(slog.DiscardHandler)})
}

// BenchmarkList measures how long the event loop takes to apply an update of the endpoint list: the complete
// list without changes, one changed entry, and a zone that is removed and added back. It does not include
// parsing, which does not happen in the loop.
func BenchmarkList(b *testing.B) {
	for _, n := range []int{15, 150, 1300, 2600} {
		all := endpoints(n, 9)
		var zone []discovery.Endpoint
		for i := 0; i < n; i += 9 {
			zone = append(zone, all[i])
		}
		gone := make([]discovery.Endpoint, len(zone))
		for i, e := range zone {
			e.Status = discovery.StatusDeleted
			gone[i] = e
		}
		for _, what := range []struct {
			name string
			news func(i int) discovery.Update
		}{
			{"whole", func(int) discovery.Update {
				return discovery.Update{List: &discovery.List{Snapshot: true, Endpoints: all}}
			}},
			{"change", func(i int) discovery.Update {
				e := all[i%n]
				e.StartedAtMs += int64(i)
				return discovery.Update{List: &discovery.List{Endpoints: []discovery.Endpoint{e}}}
			}},
			{"zone", func(i int) discovery.Update {
				return discovery.Update{List: &discovery.List{Endpoints: [][]discovery.Endpoint{gone, zone}[i%2]}}
			}},
		} {
			b.Run(fmt.Sprintf("%s/nodos=%d", what.name, n), func(b *testing.B) {
				l := newListLoop(b, 9)
				l.handleListUpdate(discovery.Update{List: &discovery.List{Snapshot: true, Endpoints: all}})
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					l.handleListUpdate(what.news(i))
				}
			})
		}
	}
}

// BenchmarkListHeld measures how many bytes of heap a proxy uses for the endpoint list, in total and per
// server.
func BenchmarkListHeld(b *testing.B) {
	for _, n := range []int{15, 150, 1300, 2600} {
		b.Run(fmt.Sprintf("nodos=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				l := newListLoop(b, 9)
				l.handleListUpdate(discovery.Update{List: &discovery.List{Snapshot: true, Endpoints: endpoints(n, 9)}})
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B-held")
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B-held/nodo")
				runtime.KeepAlive(l)
			}
		})
	}
}
