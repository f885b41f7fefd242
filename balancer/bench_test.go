package balancer

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkPick measures a draw among a thousand servers: without peer reports (off), with them (on), with
// the local zone evacuated (away), and with a third of the servers warming up (cold).
func BenchmarkPick(b *testing.B) {
	for _, zones := range []int{3, 9, 30} {
		for _, mode := range []string{"off", "on", "away", "cold"} {
			b.Run(fmt.Sprintf("zones=%d/%s", zones, mode), func(b *testing.B) {
				set := testSettings()
				set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = zones, 3, 2*second
				bal, err := New(set, 1)
				if err != nil {
					b.Fatal(err)
				}
				var list []Server
				for i := range 1000 {
					list = append(list, Server{ID: fmt.Sprint("s", i), Zone: i % zones, State: ServerReady, CapacityHint: 1})
					if mode == "cold" && i%3 == 0 {
						list[i].StartTime = start
					}
				}
				h := &recorder{}
				bal.UpdateEndpoints(start, h, UpdateSnapshot, list)
				for i := range 8 * 100 { // 100 requests a second
					bal.selection.sent.add(moment(start + int64(i)*second/100))
				}
				if mode == "on" || mode == "away" {
					bal.trackZones()
					bal.locality.zones[0].observed.recent = callStats{calls: 6, lastAt: moment(start + 8*second)}
					bal.Reports(start + 8*second)
					bal.HandlePeerReports(start+8*second, h, PeerReports{LiveReplicas: 30, LiveReplicasInZone: 10})
				}
				if mode == "away" {
					bal.locality.evacuate(moment(start+8*second), h, &bal.locality.zones[0])
					bal.rebuildReady()
				}
				q := &request{Request: Request{Settings: bal.settings, Class: 2}}
				for b.Loop() {
					if bal.selection.choose(moment(start+8*second), q) == nil {
						b.Fatal("no server was drawn")
					}
				}
			})
		}
	}
}

// BenchmarkPickListed measures a draw without peer reports, by the number of listed servers, the number of
// their zones and the rate of calls per second.
func BenchmarkPickListed(b *testing.B) {
	for _, rate := range []int{66, 660} {
		for _, zones := range []int{1, 3, 9} {
			for _, n := range []int{15, 150, 1300, 2600} {
				b.Run(fmt.Sprintf("rate=%d/zones=%d/servers=%d", rate, zones, n), func(b *testing.B) {
					bal := replicaWithList(b, n, zones, 4)
					for i := range 8 * rate {
						bal.selection.sent.add(moment(start + int64(i)*second/int64(rate)))
					}
					q := &request{Request: Request{Settings: bal.settings}}
					b.ReportAllocs()
					for b.Loop() {
						if bal.selection.choose(moment(start+8*second), q) == nil {
							b.Fatal("no server was drawn")
						}
					}
				})
			}
		}
	}
}

// BenchmarkServersHeld measures the heap, in bytes, that listed servers occupy, by the number of classes.
func BenchmarkServersHeld(b *testing.B) {
	for _, classes := range []int{1, 4, 16} {
		for _, n := range []int{15, 150, 1300, 2600} {
			b.Run(fmt.Sprintf("classes=%d/servers=%d", classes, n), func(b *testing.B) {
				for b.Loop() {
					var before, after runtime.MemStats
					runtime.GC()
					runtime.ReadMemStats(&before)
					bal := replicaWithList(b, n, 9, classes)
					runtime.GC()
					runtime.ReadMemStats(&after)
					held := float64(after.HeapAlloc) - float64(before.HeapAlloc)
					b.ReportMetric(held, "B-held")
					b.ReportMetric(held/float64(n), "B-held/server")
					runtime.KeepAlive(bal)
				}
			})
		}
	}
}

// replicaWithList returns a Balancer of an inner tier that has a list of n servers and no peer reports.
func replicaWithList(b *testing.B, n, zones, classes int) *Balancer {
	b.Helper()
	set := testSettings()
	set.Tier, set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, zones, 3, 2*second
	one := set.Classes[0]
	set.Classes = nil
	for range classes {
		set.Classes = append(set.Classes, one)
	}
	bal, err := New(set, 1)
	if err != nil {
		b.Fatal(err)
	}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("server-%05d", i), Zone: i % zones, Cell: i / 8, State: ServerReady, CapacityHint: 1})
	}
	bal.UpdateEndpoints(start, &recorder{}, UpdateSnapshot, list)
	return bal
}
