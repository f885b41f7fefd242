package adapter

import (
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// TestNumbersOnTheWire checks the wire numbers of kinds and faults, which proxies of other versions read. A
// number must never change or get another meaning.
func TestNumbersOnTheWire(t *testing.T) {
	kinds := map[balancer.ReportKind]uint8{balancer.ReportServerUnhealthy: 1, balancer.ReportServerHealthy: 2, balancer.ReportZoneUnhealthy: 3, balancer.ReportZoneHealthy: 4,
		balancer.ReportServerFlap: 5, balancer.ReportServerLoad: 6}
	faults := map[balancer.Fault]uint8{balancer.NoFault: 0, balancer.FaultErrors: 1, balancer.FaultUnresponsive: 2, balancer.FaultSlow: 3, balancer.FaultSaturated: 4}
	zones := map[string]int{"a": 0}
	for kind, number := range kinds {
		for fault, faultNumber := range faults {
			report := balancer.Report{Kind: kind, Fault: fault, Server: "s"}
			observations := ToObservations([]balancer.Report{report}, zones)
			if len(observations) != 1 || uint8(observations[0].Kind) != number ||
				observations[0].Body.Fault != faultNumber {
				t.Fatalf("kind %d with fault %d is written as %+v, want numbers %d and %d", kind, fault,
					observations, number, faultNumber)
			}
			e := state.Entry{Kind: state.Kind(number), Subject: observations[0].Subject, Observer: "o",
				ObserverZone: "a", ObservedAt: 1, TTL: 10,
				Body: state.Body{Fault: faultNumber}}
			got, _ := ToReports(2, []state.Entry{e}, zones)
			if len(got) != 1 || got[0].Kind != kind || got[0].Fault != fault {
				t.Errorf("numbers %d and %d are read as %+v, want kind %d and fault %d", number, faultNumber,
					got, kind, fault)
			}
		}
	}
	if state.Override != 7 {
		t.Errorf("an operator's override has number %d, want 7", state.Override)
	}
	unknown := state.Entry{Kind: 1, Subject: "s", Observer: "o", ObserverZone: "a", ObservedAt: 1, TTL: 10, Body: state.Body{Fault: 5}}
	if got, _ := ToReports(2, []state.Entry{unknown}, zones); len(got) != 1 || got[0].Fault != balancer.FaultErrors {
		t.Errorf("the fault of a newer version is read as %+v, want the general one", got)
	}
}
