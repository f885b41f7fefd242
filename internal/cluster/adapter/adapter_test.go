package adapter

import (
	"testing"

	"pgregory.net/rapid"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// A proxy that numbers zones differently reads reports with the same meaning; those that it cannot read are counted.
func TestReportsKeepTheirMeaning(t *testing.T) {
	here, there := map[string]int{"a": 0, "b": 1, "c": 2}, map[string]int{"b": 0, "a": 1}
	rapid.Check(t, func(t *rapid.T) {
		n := balancer.Report{Kind: balancer.ReportKind(rapid.IntRange(0, int(balancer.ReportServerLoad)).Draw(t, "kind")),
			Fault: balancer.Fault(rapid.IntRange(0, int(balancer.FaultSaturated)).Draw(t, "cause")),
			Calls: rapid.Float64Range(0, 1e6).Draw(t, "calls"), BadFraction: rapid.Float64Range(0, 1).Draw(t, "bad"), Value: 2}
		zone := n.Kind == balancer.ReportZoneUnhealthy || n.Kind == balancer.ReportZoneHealthy
		if zone {
			n.SubjectZone = rapid.IntRange(0, 4).Draw(t, "of") // 3 and 4 have no name
		} else {
			n.Server, n.StartTime = "s", rapid.Int64Range(0, 1<<40).Draw(t, "launched")*1000
		}
		from := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "from")
		items := ToObservations([]balancer.Report{n}, here)
		if len(items) != 1 {
			if !zone || n.SubjectZone < 3 {
				t.Fatalf("%+v is not converted", n)
			}
			return
		}
		i := items[0]
		e := state.Entry{Kind: i.Kind, Subject: i.Subject, SubjectStartMs: i.SubjectStartMs, Observer: "o", ObserverZone: from, ObservedAt: 100, TTL: 50, Body: i.Body}
		got, lost := ToReports(149, []state.Entry{e}, there)
		of, knows := there[i.Subject]
		number, sound := there[from]
		if !sound || zone && !knows {
			if lost != 1 || len(got) != 0 {
				t.Fatalf("from zone %s: %+v, %d lost", from, got, lost)
			}
			return
		}
		want := n
		want.Observer, want.ObserverZone, want.LastObserved = "o", number, 100
		if zone {
			want.SubjectZone = of
		}
		if len(got) != 1 || got[0] != want {
			t.Fatalf("%+v is read as %+v", want, got)
		}
		if late, _ := ToReports(150, []state.Entry{e}, there); len(late) != 0 {
			t.Fatal("an expired entry is read")
		}
		e.Body.Fault, e.Kind = 200, state.Override+1
		if odd, lost := ToReports(149, []state.Entry{e}, there); len(odd) != 0 || lost != 0 {
			t.Fatalf("an unknown kind: %+v", odd)
		}
	})
}
