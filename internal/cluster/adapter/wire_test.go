package adapter

import (
	"testing"

	"merlinpick/balancer"
	"merlinpick/internal/cluster/state"
)

// TestNumbersOnTheWire holds the numbers of kinds and faults that proxies of other versions read. They are never changed
// or given to another meaning.
func TestNumbersOnTheWire(t *testing.T) {
	kinds := map[balancer.ReportKind]uint8{balancer.ReportServerUnhealthy: 1, balancer.ReportServerHealthy: 2, balancer.ReportZoneUnhealthy: 3, balancer.ReportZoneHealthy: 4,
		balancer.ReportServerFlap: 5, balancer.ReportServerLoad: 6}
	faults := map[balancer.Fault]uint8{balancer.NoFault: 0, balancer.FaultErrors: 1, balancer.FaultUnresponsive: 2, balancer.FaultSlow: 3, balancer.FaultSaturated: 4}
	zones := map[string]int{"a": 0}
	for kind, number := range kinds {
		for fault, cause := range faults {
			n := balancer.Report{Kind: kind, Fault: fault, Server: "s"}
			items := ToObservations([]balancer.Report{n}, zones)
			if len(items) != 1 || uint8(items[0].Kind) != number || items[0].Body.Fault != cause {
				t.Fatalf("kind %d with fault %d is written as %+v, want numbers %d and %d", kind, fault, items, number, cause)
			}
			e := state.Entry{Kind: state.Kind(number), Subject: items[0].Subject, Observer: "o", ObserverZone: "a", ObservedAt: 1, TTL: 10,
				Body: state.Body{Fault: cause}}
			got, _ := ToReports(2, []state.Entry{e}, zones)
			if len(got) != 1 || got[0].Kind != kind || got[0].Fault != fault {
				t.Errorf("numbers %d and %d are read as %+v, want kind %d and fault %d", number, cause, got, kind, fault)
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
