package logic

import (
	"slices"
	"testing"
)

// away are the zones that a copy has left.
func (c *copyOf) away() (out []int) {
	for _, z := range c.b.ZoneStates(c.w.now) {
		if z.Standing == Away {
			out = append(out, z.Zone)
		}
	}
	return out
}

// What looks alike at one call is told apart by where it is seen from, how wide it is and what goes well meanwhile.
func TestTroublesAreToldApart(t *testing.T) {
	type fate = func(w *world, c *copyOf, s Server) (Status, int64)
	lost := func(zones ...int) fate {
		return func(w *world, c *copyOf, s Server) (Status, int64) {
			if slices.Contains(zones, s.Zone) {
				return OK, 1e12
			}
			return w.well(c, s)
		}
	}
	for _, c := range []struct {
		name   string
		fate   fate
		noHome int      // a zone without ready servers, -1: none
		left   [3][]int // zones that the copies of each zone have left 4 s later
		may    []int    // those that any copy may have left, too
	}{
		{"a lost zone", lost(0), -1, [3][]int{0: {0}}, []int{0}},
		{"a lost zone that another used", lost(0), 1, [3][]int{{0}, {0}, nil}, []int{0}},
		{"two of three lost", lost(0, 1), -1, [3][]int{{0}, {1}, nil}, []int{0, 1}},
		{"a zone that answers but fails", func(w *world, c *copyOf, s Server) (Status, int64) {
			if s.Zone == 0 {
				return Error, 5_000
			}
			return w.well(c, s)
		}, -1, [3][]int{0: {0}}, []int{0}},
		{"answers lost between zones", func(w *world, c *copyOf, s Server) (Status, int64) {
			if s.Zone == 0 && c.b.s.Zone != 0 {
				return OK, 1e12
			}
			return w.well(c, s)
		}, 1, [3][]int{1: {0}}, nil},
		{"one bad nodo", func(w *world, c *copyOf, s Server) (Status, int64) {
			if s.ID == "s0" {
				return OK, 1e12
			}
			return w.well(c, s)
		}, -1, [3][]int{}, nil},
		{"a copy's own link", func(w *world, c *copyOf, s Server) (Status, int64) {
			if c.n < 3 {
				return OK, 1e12
			}
			return w.well(c, s)
		}, -1, [3][]int{}, nil},
		{"slow everywhere", func(w *world, c *copyOf, s Server) (Status, int64) {
			_, took := w.well(c, s)
			return OK, 20 * took
		}, -1, [3][]int{}, nil},
		{"lost everywhere", lost(0, 1, 2), -1, [3][]int{}, nil},
		{"a slow zone", func(w *world, c *copyOf, s Server) (Status, int64) {
			st, took := w.well(c, s)
			if s.Zone == 0 {
				took *= 5
			}
			return st, took
		}, -1, [3][]int{}, nil},
		{"a zone that is full", func(w *world, c *copyOf, s Server) (Status, int64) {
			if s.Zone == 0 {
				return FullUp, 1000
			}
			return w.well(c, s)
		}, -1, [3][]int{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := laid(t, 3, 4, 5, 20, true)
			if c.noHome >= 0 {
				list := slices.Clone(w.servers)
				for i := range list {
					if list[i].Zone == c.noHome {
						list[i].State = Draining
					}
				}
				for _, p := range w.copies {
					p.b.List(start, p, Full, list)
				}
			}
			w.run(10 * second)
			w.fate = func(p *copyOf, s Server) (Status, int64) { return c.fate(w, p, s) }
			w.run(14 * second)
			for _, p := range w.copies {
				got, want := p.away(), c.left[p.b.s.Zone]
				for z := range 3 {
					in := slices.Contains(got, z)
					if !in && slices.Contains(want, z) || in && !slices.Contains(slices.Concat(want, c.may), z) {
						t.Errorf("%s has left %v, not %v: %+v", p.name, got, want, p.b.ZoneStates(w.now))
					}
				}
			}
			w.fate = w.well
			w.run(60 * second)
			for _, p := range w.copies {
				for _, z := range p.b.ZoneStates(w.now) {
					if z.Standing > Pressed {
						t.Errorf("%s: %+v long after", p.name, z)
					}
				}
			}
		})
	}
}
