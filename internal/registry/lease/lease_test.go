package lease

import (
	"fmt"
	"testing"
	"time"

	"merlinpick/internal/registry/state"
)

const second = time.Second

// fleet is n nodos in each of some zones, with leases of 10 s.
func fleet(t *Table, now time.Time, zones string, n int) {
	for _, z := range zones {
		for i := range n {
			t.Put(now, state.Record{Endpoint: state.Endpoint{Name: fmt.Sprintf("%c%d", z, i), Zone: string(z)}, Instance: "1", LeaseMs: 10_000})
		}
	}
}

func TestLeases(t *testing.T) {
	begin := time.Unix(1000, 0)
	type result struct {
		gone  map[string]time.Duration // of each zone: nodos gone, and when the last one went
		count map[string]int
		held  map[string]bool
	}
	// play renews, every second from the first, those that renews says, and looks every 100 ms.
	play := func(t *Table, from time.Time, lasts time.Duration, renews func(name string, at time.Duration) bool) result {
		r := result{map[string]time.Duration{}, map[string]int{}, map[string]bool{}}
		for at := time.Duration(0); at <= lasts; at += 100 * time.Millisecond {
			if at%second == 0 {
				for name, l := range t.leases {
					if renews(name, at) {
						t.Renew(from.Add(at), l.ref)
					}
				}
			}
			look := t.Sweep(from.Add(at))
			for _, ref := range look.Expired {
				r.count[ref.Name[:1]]++
				r.gone[ref.Name[:1]] = at
			}
			for _, z := range look.HoldsStarted {
				r.held[z] = true
			}
		}
		return r
	}
	never := func(string, time.Duration) bool { return false }

	t.Run("one that is silent goes when its lease ends", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 10)
		r := play(table, begin, 30*second, func(n string, _ time.Duration) bool { return n != "a3" })
		if r.count["a"] != 1 || r.gone["a"] != 10*second || len(r.held) != 0 {
			t.Errorf("%+v", r)
		}
	})
	t.Run("a quarter may go together", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 20)
		r := play(table, begin, 30*second, func(n string, _ time.Duration) bool { return len(n) > 2 || n > "a4" }) // a0 to a4
		if r.count["a"] != 5 || r.gone["a"] != 10*second || len(r.held) != 0 {
			t.Errorf("%+v", r)
		}
	})
	t.Run("a zone that falls silent is kept and let go slowly, and others are not", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "ab", 20)
		r := play(table, begin, 40*second, func(n string, _ time.Duration) bool { return n[0] == 'b' && n != "b1" })
		if !r.held["a"] || r.held["b"] || r.count["b"] != 1 {
			t.Errorf("%+v", r)
		}
		if r.count["a"] < 4 || r.count["a"] > 7 { // 2 of 20 in 10 s, from 10 s on
			t.Errorf("%d of 20 went in 30 s", r.count["a"])
		}
	})
	t.Run("a small zone is not let go faster", func(t *testing.T) {
		for lasts, gone := range map[time.Duration]int{40 * second: 0, 50 * second: 1, 109 * second: 2, 111 * second: 3} {
			table := New(DefaultConfig())
			fleet(table, begin, "a", 3)
			if r := play(table, begin, lasts, never); r.count["a"] != gone || !r.held["a"] {
				t.Errorf("after %v: %+v, wanted %d gone", lasts, r, gone)
			}
		}
	})
	t.Run("contact that comes back ends the hold", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 20)
		r := play(table, begin, 60*second, func(_ string, at time.Duration) bool { return at > 13*second })
		if !r.held["a"] || r.count["a"] > 1 || len(table.leases) != 20-r.count["a"] || len(table.zones) != 0 {
			t.Errorf("%+v, %d zones kept", r, len(table.zones))
		}
	})
	t.Run("a zone that is gone for good goes", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 20)
		if r := play(table, begin, 400*second, never); r.count["a"] != 20 || len(table.zones) != 0 {
			t.Errorf("%+v, %d zones kept", r, len(table.zones))
		}
	})
	t.Run("time in which the process stood still does not count", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 20)
		play(table, begin, 5*second, never)
		r := play(table, begin.Add(35*second), 4*second, never)
		if len(r.count) != 0 {
			t.Errorf("%+v went 9 s into their leases", r)
		}
	})
	t.Run("a new leader counts afresh", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 20)
		var records []state.Record
		for _, l := range table.leases {
			records = append(records, state.Record{Endpoint: state.Endpoint{Name: l.ref.Name, Zone: l.zone}, Instance: "1", LeaseMs: 10_000})
		}
		table.Reset(begin.Add(time.Hour), records)
		if r := play(table, begin.Add(time.Hour), 9*second, never); len(r.count) != 0 {
			t.Errorf("%+v", r)
		}
	})
	t.Run("a renewal by another instance is none", func(t *testing.T) {
		table := New(DefaultConfig())
		fleet(table, begin, "a", 1)
		if table.Renew(begin, state.InstanceRef{Name: "a0", Instance: "2"}) || table.Renew(begin, state.InstanceRef{Name: "a1", Instance: "1"}) {
			t.Error("renewed")
		}
	})
}
