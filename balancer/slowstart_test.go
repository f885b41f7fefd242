package balancer

import (
	"fmt"
	"testing"
)

// The chance that a replica gives a warming server is capped to what all replicas may send it, however the others do. The
// excess goes to warm servers that are healthy, and is rejected where there is none.
func TestWarmingServersChanceIsCapped(t *testing.T) {
	for _, k := range []struct {
		name    string
		cold    int
		spoil   func(warm *server)
		refused float64 // part of the draws that finds no server
	}{
		{"all is well", 1, func(s *server) {}, 0},
		{"the warm ones hold calls", 1, func(s *server) { s.inFlight = 2 }, 0},
		{"the warm ones fail", 1, func(s *server) { s.outlier.overall.score = minHealthScore }, 0.65},
		{"the warm ones were tried", 1, func(s *server) { s.tuning.factor = triedWeightFactor }, 0},
		{"one warm one is left", 3, func(s *server) { s.inFlight = 2 }, 0},
		{"all are cold", 4, func(s *server) {}, 0.6}, // 1 - tipPart x 3 x 0.2 is 0.61
	} {
		t.Run(k.name, func(t *testing.T) {
			set := testSettings()
			set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
			list := testServers(4)
			for i := range list {
				if list[i].Zone = 0; i < k.cold {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			for _, s := range b.members.ready {
				if s.StartTime == 0 {
					k.spoil(s)
				}
			}
			const n = 20000
			got := map[string]float64{}
			for i := range n {
				now := start + int64(i) // grown hardly changes meanwhile
				q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(i), Class: 2}}
				b.register(moment(now), q)
				if s := b.selection.choose(moment(now), q); s != nil {
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

// What comes beyond the usual, as from rejected clients that come again, is no reason to send a warming server more.
func TestBurstDoesNotRaiseAWarmingServersCap(t *testing.T) {
	set := testSettings()
	set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
	list := testServers(4)
	for i := range list {
		list[i].Zone = 0
	}
	b, h := mustNew(t, set), &recorder{}
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	n, now := 0, start
	play := func(span, gap int64) (cold float64) {
		for end := now + span; now < end; now += gap {
			n++
			q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(n), Class: 2}}
			b.register(moment(now), q)
			if s := b.selection.choose(moment(now), q); s != nil && s.StartTime > 0 {
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
	play(2*second, 2_000)                                                                                       // 500 a second
	got := play(2*second, 2_000)                                                                                // by now the usual is up by two thirds
	most := 100 * overloadMargin * set.OverloadMultiple * b.slowStart.capacity(moment(now), b.members.ready[0]) // of the usual, by all four
	if got > 2.5*most {
		t.Errorf("cold servers got %v calls in a span, %v of the usual", got, most)
	}
}

// A warming server's part of the draw stays under its least capacity.
func TestWarmingServerGetsLessThanItsCapacity(t *testing.T) {
	s := testSettings()
	b, h := mustNew(t, s), &recorder{}
	list := testServers(2)
	list[1].StartTime = start - 1
	b.UpdateEndpoints(start, h, UpdateSnapshot, list)
	got := 0
	const n = 4000
	for i := range n {
		sendRequest(b, h, start+int64(i), fmt.Sprint(i), 0)
		b.HandleOutcome(start+int64(i), h, Outcome{RequestID: fmt.Sprint(i), Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server == "s1" {
			got++
		}
	}
	part := float64(got) / float64(len(h.sends)-got)
	if part > s.SlowStartMinCapacity || part == 0 {
		t.Errorf("a cold server got %.3f of a warm one's calls, capacity is %.3f", part, s.SlowStartMinCapacity)
	}
	if w := b.slowStart.factor(moment(start+s.SlowStartDuration), b.members.byID["s1"]); w != 1 {
		t.Errorf("a server past its warming time has warmth %v", w)
	}
}

// A warming server's excess goes to warm servers that are healthy. One that fails fast holds no attempts, and keeps its
// trials only.
func TestUnhealthyServerDoesNotGetAWarmingServersExcess(t *testing.T) {
	for _, k := range []struct {
		name string
		cold int
		held int // by each warm one that is well
	}{
		{"the others are idle", 2, 0},
		{"the others hold a call", 2, 1},
		{"the others hold some", 2, 3},
		{"more are cold", 3, 2},
	} {
		t.Run(k.name, func(t *testing.T) {
			set := testSettings()
			set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
			list := testServers(6)
			for i := range list {
				if list[i].Zone = 0; i < k.cold {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			ill := b.members.byID[list[5].ID]
			ill.outlier.overall.score = minHealthScore
			for _, s := range b.members.ready {
				if s.StartTime == 0 && s != ill {
					s.inFlight = k.held
				}
			}
			const n = 20000
			got, none := 0, 0
			for i := range n {
				now := start + int64(i) // grown hardly changes meanwhile
				q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(i), Class: 2}}
				b.register(moment(now), q)
				switch b.selection.choose(moment(now), q) {
				case ill:
					got++
				case nil:
					none++
				}
			}
			// Of what goes to a healthy server it has minHealthScore, so of all it has that at most.
			if float64(got) > 1.1*minHealthScore*n {
				t.Errorf("the failing server got %.3f of the draws, may get %.3f", float64(got)/n, minHealthScore)
			}
			if got == 0 || none > 0 {
				t.Errorf("the failing server got %d of %d draws, %d found no server", got, n, none)
			}
		})
	}
}

// Slow start goes by the clock of events, whatever the list's clock says of the same start.
func TestServerWarmsUpByTheClockOfEvents(t *testing.T) {
	const now, cold = 100 * second, 10 * second
	rule := newSlowStart(&shared{settings: &Settings{SlowStartMinCapacity: 0.1, SlowStartDuration: cold}})
	for _, c := range []struct {
		name              string
		launched, started int64
		least, most       float64
	}{
		{"alike", now, 0, 0.1, 0.1},
		{"the list's clock is an hour behind", now - 3600*second, now, 0.1, 0.1},
		{"the list's clock is an hour ahead", now + 3600*second, now - 5*second, 0.54, 0.56},
		{"warm, the list's clock ahead", now + 3600*second, now - cold, 1, 1},
	} {
		s := &server{Server: Server{StartTime: c.launched, LocalStartTime: c.started}}
		if got := rule.capacity(moment(now), s); got < c.least || got > c.most {
			t.Errorf("%s: %v of its capacity, want %v to %v", c.name, got, c.least, c.most)
		}
	}
}
