package balancer

import "testing"

// TestEventTexts checks the log lines of all events, which on-call staff and tools read.
func TestEventTexts(t *testing.T) {
	for _, c := range []struct {
		event Event
		want  string
	}{
		{ZonePhaseChanged{ObserverZone: 1, Previous: ZoneHealthy, State: ZoneState{Zone: 2, Phase: ZoneEvacuating,
			WeightFraction: 0.3, Transitions: 4, Fault: FaultUnresponsive, Calls: 12.4, BadFraction: 0.75,
			ReportingReplicas: 5, UnhealthyVotes: 3}},
			"zone phase changed zone=2 observer_zone=1 phase=evacuating previous=healthy weight=0.30 " +
				"fault=unresponsive bad=0.75 calls=12 unhealthy_votes=3 replicas=5 transitions=4"},
		{TenantsThrottled{Tier: 0, QuotaMultiple: 0.5, InFlight: 7, FailureRate: 0.125, SpilloverWeight: 0.02},
			"tenants throttled tier=0 quota_multiple=0.50 in_flight=7 failure_rate=0.12 spillover_weight=0.02"},
		{DampedServersChanged{Servers: []string{"a", "b"}, WeightFraction: 0.1},
			`damped servers changed count=2 weight=0.10 endpoints="a b"`},
		{DampedServersChanged{WeightFraction: 0.1}, `damped servers changed count=0 weight=0.10 endpoints=""`},
	} {
		if got := c.event.String(); got != c.want {
			t.Errorf("got  %s\nwant %s", got, c.want)
		}
	}
}

// TestNamesOfUnknownPhasesAndFaults checks that a number without a name is logged as a number.
func TestNamesOfUnknownPhasesAndFaults(t *testing.T) {
	if got := ZonePhase(9).String(); got != "phase 9" {
		t.Errorf("ZonePhase(9) is %q, want phase 9", got)
	}
	if got := Fault(-1).String(); got != "fault -1" {
		t.Errorf("Fault(-1) is %q, want fault -1", got)
	}
}
