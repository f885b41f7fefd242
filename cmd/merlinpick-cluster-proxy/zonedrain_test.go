package main

import (
	"testing"

	"merlinpick/internal/faultlab/process"
)

// A zone that is drained at one member is out at all, and outlives the one that was called, disk and all.
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
	together("two to find each other", is("fleet_living", 2))
	together("zones to be shown", is("zone_state.b", 0))
	a.post(t, "zones/b/drain")
	together("the drain to bind both", is("zone_state.b", 5))
	if err := a.Kill(); err != nil {
		t.Fatal(err)
	}
	a.dir = t.TempDir()
	a.start(t, s, "test", b.bind)
	together("the restarted one to learn of it", func(f map[string]int) bool { return f["fleet_living"] == 2 && f["zone_state.b"] == 5 })
	b.post(t, "zones/b/restore")
	together("it to come back", func(f map[string]int) bool { return f["fleet_open"] == 1 && f["zone_state.b"] != 5 })
}
