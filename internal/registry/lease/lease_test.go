package lease

import (
	"fmt"
	"testing"
	"time"

	"merlinpick/internal/registry/state"
)

const second = time.Second

// putLeases starts n leases of 10 s in each zone; zones has one letter per zone.
func putLeases(t *Table, now time.Time, zones string, n int) {
	for _, z := range zones {
		for i := range n {
			t.Put(now, state.Record{Endpoint: state.Endpoint{Name: fmt.Sprintf("%c%d", z, i), Zone: string(z)}, Instance: "1", LeaseMs: 10_000})
		}
	}
}

func TestSweep(t *testing.T) {
	begin := time.Unix(1000, 0)
	type result struct {
		lastExpiry map[string]time.Duration // by zone
		expired    map[string]int
		held       map[string]bool
	}
	// simulate renews the leases that renews selects every second, and sweeps every 100 ms.
	simulate := func(t *Table, from time.Time, duration time.Duration,
		renews func(name string, at time.Duration) bool) result {
		r := result{map[string]time.Duration{}, map[string]int{}, map[string]bool{}}
		for at := time.Duration(0); at <= duration; at += 100 * time.Millisecond {
			if at%second == 0 {
				for name, l := range t.leases {
					if renews(name, at) {
						t.Renew(from.Add(at), l.ref)
					}
				}
			}
			sweep := t.Sweep(from.Add(at))
			for _, ref := range sweep.Expired {
				r.expired[ref.Name[:1]]++
				r.lastExpiry[ref.Name[:1]] = at
			}
			for _, z := range sweep.HoldsStarted {
				r.held[z] = true
			}
		}
		return r
	}
	never := func(string, time.Duration) bool { return false }

	t.Run("a silent endpoint expires with its lease", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 10)
		r := simulate(table, begin, 30*second, func(n string, _ time.Duration) bool { return n != "a3" })
		if r.expired["a"] != 1 || r.lastExpiry["a"] != 10*second || len(r.held) != 0 {
			t.Errorf("want one endpoint expired after 10 s and no hold, got %+v", r)
		}
	})
	t.Run("a quarter of a zone may expire together", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 20)
		r := simulate(table, begin, 30*second,
			func(n string, _ time.Duration) bool { return len(n) > 2 || n > "a4" }) // a0 to a4
		if r.expired["a"] != 5 || r.lastExpiry["a"] != 10*second || len(r.held) != 0 {
			t.Errorf("want 5 endpoints expired after 10 s and no hold, got %+v", r)
		}
	})
	t.Run("a silent zone is held and released slowly, others are not", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "ab", 20)
		r := simulate(table, begin, 40*second,
			func(n string, _ time.Duration) bool { return n[0] == 'b' && n != "b1" })
		if !r.held["a"] || r.held["b"] || r.expired["b"] != 1 {
			t.Errorf("want only zone a held and one endpoint of zone b expired, got %+v", r)
		}
		if r.expired["a"] < 4 || r.expired["a"] > 7 { // 2 of 20 in 10 s, from 10 s on
			t.Errorf("%d of 20 expired in 30 s", r.expired["a"])
		}
	})
	t.Run("a small zone is not released faster", func(t *testing.T) {
		for lasts, gone := range map[time.Duration]int{40 * second: 0, 50 * second: 1, 109 * second: 2, 111 * second: 3} {
			table := New(DefaultConfig())
			putLeases(table, begin, "a", 3)
			if r := simulate(table, begin, lasts, never); r.expired["a"] != gone || !r.held["a"] {
				t.Errorf("after %v: %+v, wanted %d gone", lasts, r, gone)
			}
		}
	})
	t.Run("renewals end the hold", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 20)
		r := simulate(table, begin, 60*second,
			func(_ string, at time.Duration) bool { return at > 13*second })
		if !r.held["a"] || r.expired["a"] > 1 || len(table.leases) != 20-r.expired["a"] || len(table.zones) != 0 {
			t.Errorf("want a hold that the renewals ended, got %+v, %d zones kept", r, len(table.zones))
		}
	})
	t.Run("a zone that stays silent is removed in full", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 20)
		if r := simulate(table, begin, 400*second, never); r.expired["a"] != 20 || len(table.zones) != 0 {
			t.Errorf("want all 20 endpoints expired, got %+v, %d zones kept", r, len(table.zones))
		}
	})
	t.Run("time in which the process was suspended does not count", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 20)
		simulate(table, begin, 5*second, never)
		r := simulate(table, begin.Add(35*second), 4*second, never)
		if len(r.expired) != 0 {
			t.Errorf("%+v: leases expired after 9 s of running time", r)
		}
	})
	t.Run("a new leader restarts all leases", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 20)
		var records []state.Record
		for _, l := range table.leases {
			records = append(records, state.Record{Endpoint: state.Endpoint{Name: l.ref.Name, Zone: l.zone}, Instance: "1", LeaseMs: 10_000})
		}
		table.Reset(begin.Add(time.Hour), records)
		if r := simulate(table, begin.Add(time.Hour), 9*second, never); len(r.expired) != 0 {
			t.Errorf("want no lease expired within 9 s of the reset, got %+v", r)
		}
	})
	t.Run("another instance cannot renew", func(t *testing.T) {
		table := New(DefaultConfig())
		putLeases(table, begin, "a", 1)
		if table.Renew(begin, state.InstanceRef{Name: "a0", Instance: "2"}) || table.Renew(begin, state.InstanceRef{Name: "a1", Instance: "1"}) {
			t.Error("another instance or an unknown endpoint renewed a lease")
		}
	})
}
