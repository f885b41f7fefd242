package balancer

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// A server that flaps now and then, as seen by three replicas at slightly different times, changes state twice a minute
// at most once it is damped; one that falls and comes back once is not damped.
func TestFlapRecordsDampByPenalty(t *testing.T) {
	for _, c := range []struct {
		name         string
		every, until int64   // it flaps, and rests from then on
		mostFirst    int     // changes of state in the first minute
		most         int     // and in any later one
		least, long  float64 // part of ten minutes for which it is damped
	}{
		{"every 5 s", 5 * second, 600 * second, 3, 2, 0.85, 0.95},
		{"every 2.5 s", 5 * second / 2, 600 * second, 3, 2, 0.9, 1},
		{"every 5 s for a minute", 5 * second, 60 * second, 3, 2, 0.09, 0.2},
		{"one fall and return", 3 * second, 7 * second, 2, 0, 0, 0},
		{"every two minutes", 120 * second, 600 * second, 1, 2, 0, 0},
	} {
		var d flapRecords
		var changes []int64
		down, state, damped := false, 0, 0.0
		for now := int64(0); now < 600*second; now += second / 10 {
			if now > 0 && now%c.every == 0 && now < c.until {
				down = !down
				for i := range int64(3) {
					d.recordFlap(moment(now+i), flapSighting{"s", 1, down, flapVote{fmt.Sprint(i), moment(now + i)}}, 3)
				}
			}
			_, is := d.dampedSince(moment(now+3), "s", 1)
			damped += indicator(is) / 6000
			is2 := int(indicator(down))
			if is {
				is2 = 2
			}
			if is2 != state {
				state, changes = is2, append(changes, now)
			}
		}
		first, later := 0, 0
		for i, at := range changes {
			n := 0
			for _, x := range changes[i:] {
				n += int(indicator(x < at+60*second))
			}
			if first += int(indicator(at <= 60*second)); at > 60*second {
				later = max(later, n)
			}
		}
		if first > c.mostFirst || later > c.most || damped < c.least || damped > c.long {
			t.Errorf("%s: %d changes in the first minute, up to %d in a later one, damped for %.2f of the time",
				c.name, first, later, damped)
		}
	}
}

func TestFlapRecordsNeedVotes(t *testing.T) {
	type say struct {
		at, start int64
		down      bool
		who       string
	}
	for _, c := range []struct {
		name string
		says []say
		want float64 // penalty
	}{
		{"one observer is not enough", []say{{1, 1, true, "a"}, {2, 1, true, "a"}, {3, 1, true, "a"}}, 0},
		{"two are", []say{{1, 1, true, "a"}, {2, 1, true, "b"}}, 1},
		{"more say the same", []say{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 1, true, "c"}, {9, 1, true, "d"}}, 1},
		{"two at other times", []say{{1, 1, true, "a"}, {3 * second, 1, true, "b"}}, 0},
		{"there and back", []say{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 1, false, "b"}, {4, 1, false, "a"}}, 2},
		{"an old return is late", []say{{5, 1, true, "a"}, {5, 1, true, "b"}, {3, 1, false, "b"}, {4, 1, false, "a"}}, 1},
		{"a restart forgets", []say{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 2 * second, true, "a"}}, 0},
		{"one from before it counts for nothing", []say{{1, 2 * second, true, "a"}, {2, 1, true, "b"}}, 0},
		{"a return without a fall", []say{{1, 1, false, "a"}, {2, 1, false, "b"}}, 0},
		{"from times to come", []say{{1, 1, true, "a"}, {math.MaxInt64, 1, true, "b"}}, 0},
	} {
		var d flapRecords
		now := int64(0)
		for _, s := range c.says {
			if now = max(now, s.at); s.at == math.MaxInt64 {
				now = 1
			}
			d.recordFlap(moment(now), flapSighting{"s", moment(s.start), s.down, flapVote{s.who, moment(s.at)}}, 2)
		}
		got := 0.0
		if r := d.byID["s"]; r != nil {
			got = r.currentPenalty(moment(now))
		}
		if math.Abs(got-c.want) > 1e-3 {
			t.Errorf("%s: penalty %g, want %g", c.name, got, c.want)
		}
	}
}

// Whatever is reported: a penalty stays within its bounds, damping begins only above the threshold and ends within its
// time, each flap counts once, and records stay few and go once the servers rest.
func TestFlapRecordsAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d flapRecords
		now, counted, since := int64(0), map[string]int64{}, map[string]int64{}
		state := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 4*second).Draw(t, "pause")
			key := rapid.SampledFrom([]string{"s", "u"}).Draw(t, "key")
			down := rapid.Bool().Draw(t, "down")
			at := now - rapid.Int64Range(-second, 3*second).Draw(t, "age")
			known := d.byID[key] != nil
			vote := flapVote{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "who"), moment(at)}
			if d.recordFlap(moment(now), flapSighting{key, 1, down, vote}, 2) {
				if known && state[key] == down || at <= counted[key] && counted[key] != 0 || at > now {
					t.Fatalf("at %d a flap of %s to %v seen at %d counts again", now, key, down, at)
				}
				state[key], counted[key] = down, at
			}
			for _, key := range []string{"s", "u"} {
				r := d.byID[key]
				if r == nil {
					since[key] = 0
					continue
				}
				if p := r.currentPenalty(moment(now)); !(p >= 0 && p <= maxPenalty) {
					t.Fatalf("a penalty of %g", p)
				}
				from, is := d.dampedSince(moment(now), key, 1)
				if is && since[key] == 0 && r.currentPenalty(moment(now)) <= dampingThreshold || is && (moment(now).since(from) >= maxDamping || r.currentPenalty(moment(now)) < reuseThreshold) {
					t.Fatalf("at %d damped since %d at a penalty of %g", now, from, r.currentPenalty(moment(now)))
				}
				if !is && since[key] != 0 && span(now-since[key]) < maxDamping && r.currentPenalty(moment(now)) >= reuseThreshold {
					t.Fatalf("at %d no longer damped at a penalty of %g", now, r.currentPenalty(moment(now)))
				}
				since[key] = int64(from)
			}
		}
		if d.removeRested(moment(now + 200*second)); len(d.byID) != 0 {
			t.Fatalf("%d records are kept of what rests", len(d.byID))
		}
	})
}

// Ten replicas: one of twelve servers of one zone fails every other 5 s, or leaves the list.
func TestFleetDampsFlappingServer(t *testing.T) {
	flapping := func(w *fleetSimulation) bool { return (w.now-start)/(5*second)%2 == 1 }
	for _, c := range []struct {
		name   string
		fate   func(w *fleetSimulation, s Server) (Status, int64)
		lease  bool
		on     bool
		damped bool
		most   float64 // part of calls to s0 from 30 s on
	}{
		{"fails, alone", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusError, 5_000
			}
			return w.answer(nil, s)
		}, false, false, false, 0.05},
		{"fails", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusError, 5_000
			}
			return w.answer(nil, s)
		}, false, true, true, 0.02},
		{"silent", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusTimedOut, 1_600_000
			}
			return w.answer(nil, s)
		}, false, true, true, 0.02},
		{"its lease ends", func(w *fleetSimulation, s Server) (Status, int64) { return w.answer(nil, s) }, true, true, true, 0.02},
		{"well", func(w *fleetSimulation, s Server) (Status, int64) { return w.answer(nil, s) }, false, true, false, 0.12},
		{"no room", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusRejected, 2_000
			}
			return w.answer(nil, s)
		}, false, true, false, 0.12},
		{"times with a long tail", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && w.rnd.IntN(4) == 0 {
				return StatusOK, 450_000
			}
			return w.answer(nil, s)
		}, false, true, false, 0.12},
	} {
		w := newFleetSimulation(t, 1, 10, 12, 30, c.on)
		w.outcome = func(_ *replica, s Server) (Status, int64) { return c.fate(w, s) }
		damped, looks := 0, 0
		for at := second; at <= 60*second; at += second {
			w.run(at)
			if c.lease && at%(5*second) == 0 {
				s := w.servers[0]
				if s.State = ServerReady; flapping(w) {
					s.State = ServerRemoved
				}
				for _, x := range w.replicas {
					x.b.UpdateEndpoints(w.now, x, UpdateDelta, []Server{s})
				}
			}
			for _, x := range w.replicas {
				if at > 30*second && (!c.lease || !flapping(w)) {
					looks++
					damped += len(x.b.DampedServers(w.now))
				}
			}
		}
		calls, of := 0.0, 0.0
		for _, x := range w.replicas {
			for _, s := range x.sends {
				if s.at > start+30*second {
					of++
					calls += indicator(s.server == "s0")
				}
			}
		}
		if (float64(damped) > 0.8*float64(looks)) != c.damped || !c.damped && damped > looks/20 || calls/of > c.most {
			t.Errorf("%s: damped in %d of %d looks, gets %.4f of the calls", c.name, damped, looks, calls/of)
		}
	}
}

// A damped server that dies is avoided as fast as another, and what the list says is never damped.
func TestServerDiesWhileDamped(t *testing.T) {
	trials, later := map[bool]int{}, map[bool]int{}
	for _, damped := range []bool{false, true} {
		w := newFleetSimulation(t, 1, 10, 12, 30, true)
		dead := false
		w.outcome = func(_ *replica, s Server) (Status, int64) {
			if s.ID == "s0" && dead {
				return StatusConnectFailed, 500
			} else if s.ID == "s0" && damped && (w.now-start)/(5*second)%2 == 1 {
				return StatusError, 5_000
			}
			return w.answer(nil, s)
		}
		w.run(30 * second)
		dead = true
		before := make([]int, len(w.replicas))
		for i, c := range w.replicas {
			before[i] = len(c.sends)
			if (len(c.b.DampedServers(w.now)) == 1) != damped {
				t.Fatalf("%s: damped %v, not %v", c.name, c.b.DampedServers(w.now), damped)
			}
		}
		w.run(50 * second)
		for i, c := range w.replicas {
			for _, s := range c.sends[before[i]:] {
				trials[damped] += int(indicator(s.server == "s0"))
				later[damped] += int(indicator(s.server == "s0" && s.at > start+31*second))
			}
		}
		for _, c := range w.replicas {
			c.b.UpdateEndpoints(w.now, c, UpdateDelta, []Server{{ID: "s0", State: ServerDraining}})
			if n := len(c.sends); n > 0 && len(c.b.DampedServers(w.now)) != 0 {
				t.Errorf("%s: one that drains is damped", c.name)
			}
		}
		gone := w.now
		w.run(51 * second)
		for _, c := range w.replicas {
			for _, s := range c.sends {
				if s.at > gone && s.server == "s0" {
					t.Fatalf("%s calls one that drains", c.name)
				}
			}
		}
	}
	if trials[true] > trials[false]+10 || later[true] > 2*later[false] {
		t.Errorf("%d calls in 20 s to one that died while damped, %d of them after 1 s; %d and %d to one that was well",
			trials[true], later[true], trials[false], later[false])
	}
}

// However many servers flap, and whoever hears each other, no replica damps more than its part of a tier's or zone's.
func TestDampingBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, h := mustNewFor(t, 3), &recorder{}
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		var list []Server
		in := map[int]int{}
		for i := range n {
			s := Server{ID: fmt.Sprint("s", i), Zone: rapid.IntRange(0, 2).Draw(t, "zone"), State: ServerReady}
			in[s.Zone]++
			list = append(list, s)
		}
		b.UpdateEndpoints(start, h, UpdateSnapshot, list)
		living := rapid.IntRange(1, 30).Draw(t, "living")
		near := rapid.IntRange(1, living).Draw(t, "near")
		alone := rapid.Bool().Draw(t, "alone")
		now := start
		for i := range 6 {
			now += 3 * second
			p := PeerReports{LiveReplicas: living, LiveReplicasInZone: near}
			for _, s := range list {
				for _, who := range []string{"a", "b", "c"} {
					p.Reports = append(p.Reports, Report{Kind: ReportServerFlap, Observer: who, Server: s.ID, BadFraction: indicator(i%2 == 0), LastObserved: now})
				}
			}
			b.HandlePeerReports(now, h, p)
		}
		b.HandlePeerReports(now, h, PeerReports{LiveReplicas: living, LiveReplicasInZone: near, Isolated: alone})
		out := map[int]int{}
		for _, d := range b.DampedServers(now) {
			out[b.members.byID[d.Server].Zone]++
		}
		all := out[0] + out[1] + out[2]
		part := 1.0
		if alone {
			part = float64(near) / float64(living)
		}
		if float64(all) > part*max(1, float64(n)/3) || all == 0 && !alone && n > 4 {
			t.Fatalf("%d of %d servers are damped, alone %v, %d of %d near", all, n, alone, near, living)
		}
		for z, k := range out {
			if k > max(1, in[z]/3) || in[z] == 1 {
				t.Fatalf("%d of %d servers of zone %d are damped", k, in[z], z)
			}
		}
	})
}

func mustNewFor(t *rapid.T, zones int) *Balancer {
	s := testSettings()
	s.ZoneCount = zones
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
