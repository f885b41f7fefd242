package main

import (
	"testing"

	"merlinpick/internal/faultlab/process"
)

// A zone that is drained at one member is drained at all, also after that member has lost its disk.
func TestZoneDrainAppliesToAllMembers(t *testing.T) {
	s := process.NewStarter()
	defer s.Close()
	a, b := newMember(t, "a"), newMember(t, "b")
	together := func(what string, holds func(map[string]int) bool) {
		t.Helper()
		for _, m := range []*member{a, b} {
			m.until(t, what, holds)
		}
	}
	a.start(t, s, "test", a.bind)
	b.start(t, s, "test", a.bind)
	together("two members", metricIs("fleet_living", 2))
	together("zone figures", metricIs("zone_state.b", 0))
	a.post(t, "zones/b/drain")
	together("the drain at both members", metricIs("zone_state.b", 5))
	if err := a.Kill(); err != nil {
		t.Fatal(err)
	}
	a.dir = t.TempDir()
	a.start(t, s, "test", b.bind)
	together("the drain at the restarted member", func(f map[string]int) bool { return f["fleet_living"] == 2 && f["zone_state.b"] == 5 })
	b.post(t, "zones/b/restore")
	together("the restore", func(f map[string]int) bool { return f["fleet_open"] == 1 && f["zone_state.b"] != 5 })
}
