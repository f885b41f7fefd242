package balancer

import (
	"fmt"
	"testing"
)

// The chance that a copy gives a cold server is held to what all copies may send it, however the others stand; what is
// over goes to warm ones that are well, and is refused where there is none. Before, the weights alone gave a cold server
// beside three busy ones all calls but few.
func TestAColdServersChanceIsHeldHoweverTheOthersStand(t *testing.T) {
	for _, k := range []struct {
		name    string
		cold    int
		spoil   func(warm *server)
		refused float64 // part of the draws that finds no server
	}{
		{"all is well", 1, func(s *server) {}, 0},
		{"the warm ones hold calls", 1, func(s *server) { s.inFlight = 2 }, 0},
		{"the warm ones fail", 1, func(s *server) { s.whole.score = minHealthScore }, 0.65},
		{"the warm ones were tried", 1, func(s *server) { s.tuned = triedWeightFactor }, 0},
		{"one warm one is left", 3, func(s *server) { s.inFlight = 2 }, 0},
		{"all are cold", 4, func(s *server) {}, 0.6}, // 1 - tipPart x 3 x 0.2 is 0.61
	} {
		t.Run(k.name, func(t *testing.T) {
			set := testSettings()
			set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
			list := fleet(4)
			for i := range list {
				if list[i].Zone = 0; i < k.cold {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			for _, s := range b.ready {
				if s.StartTime == 0 {
					k.spoil(s)
				}
			}
			const n = 20000
			got := map[string]float64{}
			for i := range n {
				now := start + int64(i) // grown hardly changes meanwhile
				q := &request{Settings: b.s, Request: Request{ID: fmt.Sprint(i), Class: 2}}
				b.arrived(now, q)
				if s := b.draw(now, q); s != nil {
					got[s.ID] += 1.0 / n
				} else {
					got["none"] += 1.0 / n
				}
			}
			most := overloadMargin * set.OverloadMultiple * set.SlowStartMinCapacity / 4
			for i := range k.cold {
				if got[list[i].ID] > 1.1*most || got[list[i].ID] == 0 {
					t.Errorf("%s got %.3f of the draws, may get %.3f", list[i].ID, got[list[i].ID], most)
				}
			}
			if got["none"] < k.refused || k.refused == 0 && got["none"] > 0 {
				t.Errorf("%.3f of the draws found no server", got["none"])
			}
		})
	}
}

// What comes beyond the usual, as from clients that were refused and come again, is no reason to send a cold server more.
func TestARushIsNoReasonToSendAColdServerMore(t *testing.T) {
	set := testSettings()
	set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
	list := fleet(4)
	for i := range list {
		list[i].Zone = 0
	}
	b, h := mustNew(t, set), &recorder{}
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	n, now := 0, start
	play := func(span, gap int64) (cold float64) {
		for end := now + span; now < end; now += gap {
			n++
			q := &request{Settings: b.s, Request: Request{ID: fmt.Sprint(n), Class: 2}}
			b.arrived(now, q)
			if s := b.draw(now, q); s != nil && s.StartTime > 0 {
				cold++
			}
		}
		return cold
	}
	play(30*second, 20_000) // 50 a second
	for i := range list {
		list[i].StartTime = now
	}
	b.UpdateEndpoints(now, h, UpdateSnapshot, list)
	play(2*second, 2_000)                                                          // 500 a second
	got := play(2*second, 2_000)                                                   // by now the usual is up by two thirds
	most := 100 * overloadMargin * set.OverloadMultiple * b.grown(now, b.ready[0]) // of the usual, by all four
	if got > 2.5*most {
		t.Errorf("cold servers got %v calls in a span, %v of the usual", got, most)
	}
}
