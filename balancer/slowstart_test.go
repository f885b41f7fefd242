package balancer

import (
	"fmt"
	"testing"
)

// The probability with which a replica selects a warming server is capped by what all replicas together may
// send to it, whatever state the other servers are in. The excess goes to healthy warm servers and is
// rejected if there is none.
func TestWarmingServersChanceIsCapped(t *testing.T) {
	for _, k := range []struct {
		name      string
		warming   int                // number of warming servers out of four
		setUpWarm func(warm *server) // called for each warm server
		rejected  float64            // least fraction of the draws that find no server; 0: none may
	}{
		{"all is well", 1, func(s *server) {}, 0},
		{"the warm ones hold calls", 1, func(s *server) { s.inFlight = 2 }, 0},
		{"the warm ones fail", 1, func(s *server) { s.outlier.overall.score = minHealthScore }, 0.65},
		{"the warm ones were tried", 1, func(s *server) { s.tuning.factor = triedWeightFactor }, 0},
		{"one warm one is left", 3, func(s *server) { s.inFlight = 2 }, 0},
		{"all are cold", 4, func(s *server) {}, 0.6}, // 1 - overloadMargin x 3 x 0.2 is 0.61
	} {
		t.Run(k.name, func(t *testing.T) {
			set := testSettings()
			set.ZoneCount, set.OverloadMultiple, set.OverloadWindow = 1, 3, 2*second
			list := testServers(4)
			for i := range list {
				if list[i].Zone = 0; i < k.warming {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			for _, s := range b.members.ready {
				if s.StartTime == 0 {
					k.setUpWarm(s)
				}
			}
			const n = 20000
			got := map[string]float64{}
			for i := range n {
				now := start + int64(i) // the capacity hardly grows in this time
				q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(i), Class: 2}}
				b.register(moment(now), q)
				if s := b.selection.choose(moment(now), q); s != nil {
					got[s.ID] += 1.0 / n
				} else {
					got["none"] += 1.0 / n
				}
			}
			most := overloadMargin * set.OverloadMultiple * set.SlowStartMinCapacity / 4
			for i := range k.warming {
				if got[list[i].ID] > 1.1*most || got[list[i].ID] == 0 {
					t.Errorf("warming server %s got %.3f of the draws, want some and about %.3f at most",
						list[i].ID, got[list[i].ID], most)
				}
			}
			if got["none"] < k.rejected || k.rejected == 0 && got["none"] > 0 {
				t.Errorf("%.3f of the draws found no server, want at least %.3f, and none if that is 0",
					got["none"], k.rejected)
			}
		})
	}
}

// Requests above the usual rate, such as those of rejected clients that come back, must not raise the load of
// a warming server.
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
	run := func(duration, interval int64) (toWarming float64) {
		for end := now + duration; now < end; now += interval {
			n++
			q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(n), Class: 2}}
			b.register(moment(now), q)
			if s := b.selection.choose(moment(now), q); s != nil && s.StartTime > 0 {
				toWarming++
			}
		}
		return toWarming
	}
	run(30*second, 20_000) // 50 requests per second
	for i := range list {
		list[i].StartTime = now
	}
	b.UpdateEndpoints(now, h, UpdateSnapshot, list)
	run(2*second, 2_000)        // 500 requests per second
	got := run(2*second, 2_000) // the usual rate has risen by two thirds by now
	// most is what all four servers may get at the former usual rate of 100 requests per OverloadWindow.
	most := 100 * overloadMargin * set.OverloadMultiple *
		b.slowStart.capacity(moment(now), b.members.ready[0])
	if got > 2.5*most {
		t.Errorf("warming servers got %v calls within OverloadWindow, want at most 2.5 times the %v of the "+
			"usual rate", got, most)
	}
}

// A warming server's share of the calls stays below its minimum capacity.
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
		b.HandleOutcome(start+int64(i), h,
			Outcome{RequestID: fmt.Sprint(i), Status: StatusOK, Latency: 1000, RequestDone: true})
	}
	for _, s := range h.sends {
		if s.server == "s1" {
			got++
		}
	}
	ratio := float64(got) / float64(len(h.sends)-got)
	if ratio > s.SlowStartMinCapacity || ratio == 0 {
		t.Errorf("a warming server got %.3f times the calls of a warm one, want more than 0 and up to %.3f",
			ratio, s.SlowStartMinCapacity)
	}
	if f := b.slowStart.factor(moment(start+s.SlowStartDuration), b.members.byID["s1"]); f != 1 {
		t.Errorf("the weight factor of a server after SlowStartDuration is %v, want 1", f)
	}
}

// The excess weight of warming servers goes to healthy warm servers only. A server that fails fast has no
// attempts in flight and would otherwise attract the excess; it must get no more than its trial requests.
func TestUnhealthyServerDoesNotGetAWarmingServersExcess(t *testing.T) {
	for _, k := range []struct {
		name     string
		warming  int // number of warming servers out of six
		inFlight int // attempts in flight at each healthy warm server
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
				if list[i].Zone = 0; i < k.warming {
					list[i].StartTime = start
				}
			}
			b, h := mustNew(t, set), &recorder{}
			b.UpdateEndpoints(start, h, UpdateSnapshot, list)
			failing := b.members.byID[list[5].ID]
			failing.outlier.overall.score = minHealthScore
			for _, s := range b.members.ready {
				if s.StartTime == 0 && s != failing {
					s.inFlight = k.inFlight
				}
			}
			const n = 20000
			got, none := 0, 0
			for i := range n {
				now := start + int64(i) // the capacity hardly grows in this time
				q := &request{Request: Request{Settings: b.settings, ID: fmt.Sprint(i), Class: 2}}
				b.register(moment(now), q)
				switch b.selection.choose(moment(now), q) {
				case failing:
					got++
				case nil:
					none++
				}
			}
			// The failing server gets up to minHealthScore of the draws of a healthy one, and so of all
			// draws.
			if float64(got) > 1.1*minHealthScore*n {
				t.Errorf("the failing server got %.3f of the draws, want about %.3f at most",
					float64(got)/n, minHealthScore)
			}
			if got == 0 || none > 0 {
				t.Errorf("the failing server got %d of %d draws and %d found no server, want some and 0",
					got, n, none)
			}
		})
	}
}

// Slow start uses the server's start time on the clock of events, even if the clock of the endpoint list
// differs.
func TestServerWarmsUpByTheClockOfEvents(t *testing.T) {
	const now, warmup = 100 * second, 10 * second
	rule := newSlowStart(&shared{settings: &Settings{SlowStartMinCapacity: 0.1, SlowStartDuration: warmup}})
	for _, c := range []struct {
		name                      string
		startTime, localStartTime int64
		least, most               float64
	}{
		{"alike", now, 0, 0.1, 0.1},
		{"the list's clock is an hour behind", now - 3600*second, now, 0.1, 0.1},
		{"the list's clock is an hour ahead", now + 3600*second, now - 5*second, 0.54, 0.56},
		{"warm, the list's clock ahead", now + 3600*second, now - warmup, 1, 1},
	} {
		s := &server{Server: Server{StartTime: c.startTime, LocalStartTime: c.localStartTime}}
		if got := rule.capacity(moment(now), s); got < c.least || got > c.most {
			t.Errorf("%s: the server has %v of its warm capacity, want %v to %v",
				c.name, got, c.least, c.most)
		}
	}
}
