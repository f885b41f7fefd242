package main

import (
	"testing"

	"merlinpick/internal/faultlab/process"
)

// TestZoneDrainAppliesToAllMembers checks that a zone that is drained at one member is drained at all
// members, also after that member has lost its disk, and that restoring it at another member ends the drain
// everywhere.
func TestZoneDrainAppliesToAllMembers(t *testing.T) {
	starter := process.NewStarter()
	defer starter.Close()
	a, b := newMember(t, "a"), newMember(t, "b")
	allUntil := func(what string, condition func(map[string]int) bool) {
		t.Helper()
		for _, m := range []*member{a, b} {
			m.until(t, what, condition)
		}
	}
	a.start(t, starter, "test", a.bind)
	b.start(t, starter, "test", a.bind)
	allUntil("two members", metricIs("fleet_living", 2))
	allUntil("the metrics of zone b", metricIs("zone_state.b", 0))
	a.post(t, "zones/b/drain")
	allUntil("the drain at both members", metricIs("zone_state.b", 5))
	if err := a.Kill(); err != nil {
		t.Fatal(err)
	}
	a.dir = t.TempDir()
	a.start(t, starter, "test", b.bind)
	allUntil("the drain at the restarted member",
		func(f map[string]int) bool { return f["fleet_living"] == 2 && f["zone_state.b"] == 5 })
	b.post(t, "zones/b/restore")
	allUntil("the restore",
		func(f map[string]int) bool { return f["fleet_open"] == 1 && f["zone_state.b"] != 5 })
}
