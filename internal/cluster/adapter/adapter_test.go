package adapter

import (
	"testing"

	"pgregory.net/rapid"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// TestReportsKeepTheirMeaning checks that reports keep their meaning for a proxy that numbers zones
// differently, and that reports about or from zones that it does not know are counted.
func TestReportsKeepTheirMeaning(t *testing.T) {
	sender, receiver := map[string]int{"a": 0, "b": 1, "c": 2}, map[string]int{"b": 0, "a": 1}
	rapid.Check(t, func(t *rapid.T) {
		report := balancer.Report{Kind: balancer.ReportKind(rapid.IntRange(0,
			int(balancer.ReportServerLoad)).Draw(t, "kind")),
			Fault: balancer.Fault(rapid.IntRange(0, int(balancer.FaultSaturated)).Draw(t, "cause")),
			Calls: rapid.Float64Range(0, 1e6).Draw(t, "calls"), BadFraction: rapid.Float64Range(0, 1).Draw(t, "bad"), Value: 2}
		isZone := report.Kind == balancer.ReportZoneUnhealthy || report.Kind == balancer.ReportZoneHealthy
		if isZone {
			report.SubjectZone = rapid.IntRange(0, 4).Draw(t, "of") // zones 3 and 4 have no name
		} else {
			report.Server, report.StartTime = "s", rapid.Int64Range(0, 1<<40).Draw(t, "launched")*1000
		}
		from := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "from")
		observations := ToObservations([]balancer.Report{report}, sender)
		if len(observations) != 1 {
			if !isZone || report.SubjectZone < 3 {
				t.Fatalf("%+v is not converted", report)
			}
			return
		}
		observation := observations[0]
		e := state.Entry{Kind: observation.Kind, Subject: observation.Subject,
			SubjectStartMs: observation.SubjectStartMs, Observer: "o", ObserverZone: from, ObservedAt: 100,
			TTL: 50, Body: observation.Body}
		got, unknownZone := ToReports(149, []state.Entry{e}, receiver)
		subjectZone, known := receiver[observation.Subject]
		observerZone, ok := receiver[from]
		if !ok || isZone && !known {
			if unknownZone != 1 || len(got) != 0 {
				t.Fatalf("from zone %s: converted to %+v, %d entries of unknown zones, want none and 1", from,
					got, unknownZone)
			}
			return
		}
		want := report
		want.Observer, want.ObserverZone, want.LastObserved = "o", observerZone, 100
		if isZone {
			want.SubjectZone = subjectZone
		}
		if len(got) != 1 || got[0] != want {
			t.Fatalf("report %+v is converted to %+v", want, got)
		}
		if late, _ := ToReports(150, []state.Entry{e}, receiver); len(late) != 0 {
			t.Fatal("an expired entry is converted")
		}
		e.Body.Fault, e.Kind = 200, state.Override+1
		if unknown, unknownZone := ToReports(149, []state.Entry{e}, receiver); len(unknown) != 0 ||
			unknownZone != 0 {
			t.Fatalf("an entry of an unknown kind is converted to %+v", unknown)
		}
	})
}
