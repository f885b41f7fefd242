package logic

import (
	"fmt"
	"slices"
	"testing"
)

// A third that lies about all servers and zones takes no more than the budget out and moves nobody.
func TestALyingThirdMovesNothing(t *testing.T) {
	for _, liars := range []bool{false, true} {
		w := laid(t, 3, 6, 6, 15, true)
		w.lie = func(c *copyOf, tells []Notice) []Notice {
			if !liars || c.n%9 > 2 { // two of the six of each zone
				return tells
			}
			tells = nil
			for _, s := range w.servers {
				tells = append(tells, Notice{Kind: ServerBad, Cause: Failing, Zone: c.b.s.Zone, Server: s.ID, Calls: 1e9, Bad: 7,
					At: w.now + 1e9})
			}
			for z := range 3 {
				tells = append(tells, Notice{Kind: ZoneBad, Cause: Silent, Zone: c.b.s.Zone, Of: z, Calls: 1e9, Bad: 1, At: w.now})
			}
			return tells
		}
		w.run(40 * second)
		for _, c := range w.copies {
			checkBudget(t, c.b)
			if away := c.away(); len(away) > 0 {
				t.Errorf("%s has left %v", c.name, away)
			}
		}
		if part := w.part(-1, -1, 5*second, 40*second); part > 0.15 {
			t.Errorf("liars %v: %.2f of attempts across zones", liars, part)
		}
		if n := w.failed(); n > 40 {
			t.Errorf("liars %v: %d requests failed", liars, n)
		}
	}
}

// checkBudget checks that verdicts of others take out no more than a third of the tier and of each zone, or one.
func checkBudget(t interface{ Errorf(string, ...any) }, b *Balancer) {
	all, out := map[int]int{}, map[int]int{}
	for _, s := range b.ready {
		for _, z := range []int{s.Zone, -1} {
			all[z]++
			out[z] += int(partOf(s.told < 1))
		}
	}
	for z, n := range out {
		if n > max(1, all[z]/3) || n > 0 && n == all[z] {
			t.Errorf("zone %d: verdicts take out %d of %d servers", z, n, all[z])
		}
	}
}

// One that fails over several zones, and is answered by none, tells nothing.
func TestABadLinkOfItsOwnCondemnsNobody(t *testing.T) {
	for _, c := range []struct {
		name string
		well []int // zones that answer
		bad  []int // zones whose servers do not
		want int   // servers that are called bad
	}{
		{"all silent over two zones", nil, []int{0, 1}, 0},
		{"one zone silent", nil, []int{0}, 4},
		{"home answers", []int{0}, []int{1}, 4},
	} {
		b, _ := with(t, testSettings(), 8)
		b.open()
		for _, s := range b.all {
			for range 3 {
				if slices.Contains(c.well, s.Zone) {
					b.note(start, &attempt{srv: s, zone: s.Zone}, NoCause)
				} else if slices.Contains(c.bad, s.Zone) {
					b.note(start, &attempt{srv: s, zone: s.Zone}, Silent)
				}
			}
		}
		got, zones := 0, 0
		for _, n := range b.Seen(start + 1) {
			got += int(partOf(n.Kind == ServerBad))
			zones += int(partOf(n.Kind == ZoneBad))
		}
		if got != c.want || zones != c.want/4 {
			t.Errorf("%s: %d servers and %d zones are called bad", c.name, got, zones)
		}
	}
}

// A server that others call bad gets trials only, until it answers this copy; restarted it begins anew.
func TestAVerdictOfOthersIsAPrior(t *testing.T) {
	set := testSettings()
	says := func(n int, kind NoticeKind, cause Cause, zone int) (out []Notice) {
		for i := range n {
			out = append(out, Notice{Kind: kind, Cause: cause, Observer: fmt.Sprint(kind, "p", i), Zone: zone, Server: "s1",
				Calls: 5, Bad: 1 - float64(kind), At: start})
		}
		return out
	}
	for _, c := range []struct {
		name string
		say  []Notice
		do   func(b *Balancer, h Host)
		want float64
	}{
		{"two say so", says(2, ServerBad, Failing, 0), nil, healthFloor},
		{"one says so", says(1, ServerBad, Failing, 0), nil, 1},
		{"as many say well", slices.Concat(says(2, ServerBad, Failing, 0), says(2, ServerHealthy, NoCause, 0)), nil, 1},
		{"silent to another zone", says(3, ServerBad, Silent, 1), nil, 1},
		{"silent to this zone", says(3, ServerBad, Silent, 0), nil, healthFloor},
		{"it has answered since", says(3, ServerBad, Failing, 0), func(b *Balancer, h Host) {
			b.note(start+1, &attempt{srv: b.byID["s1"]}, NoCause)
		}, 1},
		{"it has restarted since", says(3, ServerBad, Failing, 0), func(b *Balancer, h Host) {
			b.List(start, h, Delta, []Server{{ID: "s1", State: Ready, Size: 1, Launched: start - 1}})
		}, 1},
	} {
		b, h := with(t, set, 8)
		if b.Seen(start); c.do != nil {
			c.do(b, h)
		}
		b.Peers(start+2, h, Peers{Living: 8, Near: 4, Notices: c.say})
		if got := b.byID["s1"].told; got != c.want {
			t.Errorf("%s: left %v of its weight, not %v", c.name, got, c.want)
		}
		b.Peers(start+3, h, Peers{Living: 8, Near: 4, Alone: true, Notices: c.say})
		if got := b.byID["s1"].told; got != 1 {
			t.Errorf("%s, then alone: left %v of its weight", c.name, got)
		}
	}
}
