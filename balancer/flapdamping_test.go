package balancer

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"
)

// Damping limits how often a server that keeps flapping changes its state: at most twice a minute after the
// first minute. A server that goes down and recovers once is not damped. Three replicas observe each flap at
// slightly different times.
func TestFlapRecordsDampByPenalty(t *testing.T) {
	for _, c := range []struct {
		name                                 string
		interval                             int64   // µs between two flaps
		until                                int64   // µs: no flaps from then on
		maxChangesFirst                      int     // changes of state in the first minute
		maxChangesLater                      int     // changes of state in any later minute
		minDampedFraction, maxDampedFraction float64 // fraction of ten minutes for which the server is damped
	}{
		{"every 5 s", 5 * second, 600 * second, 3, 2, 0.85, 0.95},
		{"every 2.5 s", 5 * second / 2, 600 * second, 3, 2, 0.9, 1},
		{"every 5 s for a minute", 5 * second, 60 * second, 3, 2, 0.09, 0.2},
		{"down and recovered once", 3 * second, 7 * second, 2, 0, 0, 0},
		{"every two minutes", 120 * second, 600 * second, 1, 2, 0, 0},
	} {
		var records flapRecords
		var changes []int64
		// state is 0 for healthy, 1 for down and 2 for damped.
		down, state, dampedFraction := false, 0, 0.0
		for now := int64(0); now < 600*second; now += second / 10 {
			if now > 0 && now%c.interval == 0 && now < c.until {
				down = !down
				for i := range int64(3) {
					records.recordFlap(moment(now+i),
						flapObservation{"s", 1, down, flapVote{fmt.Sprint(i), moment(now + i)}}, 3)
				}
			}
			_, damped := records.dampedSince(moment(now+3), "s", 1)
			dampedFraction += indicator(damped) / 6000
			newState := int(indicator(down))
			if damped {
				newState = 2
			}
			if newState != state {
				state, changes = newState, append(changes, now)
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
		if first > c.maxChangesFirst || later > c.maxChangesLater ||
			dampedFraction < c.minDampedFraction || dampedFraction > c.maxDampedFraction {
			t.Errorf("%s: %d changes in the first minute (want up to %d), up to %d in a later one "+
				"(want up to %d), damped for %.2f of the time (want %.2f to %.2f)",
				c.name, first, c.maxChangesFirst, later, c.maxChangesLater,
				dampedFraction, c.minDampedFraction, c.maxDampedFraction)
		}
	}
}

// A flap counts once, when the required number of replicas has observed it in the same process within
// flapVoteWindow.
func TestFlapRecordsNeedVotes(t *testing.T) {
	type vote struct {
		seenAt, startTime int64
		down              bool
		observer          string
	}
	for _, c := range []struct {
		name  string
		votes []vote
		want  float64 // penalty
	}{
		{"one observer is not enough", []vote{{1, 1, true, "a"}, {2, 1, true, "a"}, {3, 1, true, "a"}}, 0},
		{"two observers are enough", []vote{{1, 1, true, "a"}, {2, 1, true, "b"}}, 1},
		{"four observers of one flap",
			[]vote{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 1, true, "c"}, {9, 1, true, "d"}}, 1},
		{"two observers at different times", []vote{{1, 1, true, "a"}, {3 * second, 1, true, "b"}}, 0},
		{"down and recovered",
			[]vote{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 1, false, "b"}, {4, 1, false, "a"}}, 2},
		{"a recovery from before the failure is reported late",
			[]vote{{5, 1, true, "a"}, {5, 1, true, "b"}, {3, 1, false, "b"}, {4, 1, false, "a"}}, 1},
		{"a restart begins a new record",
			[]vote{{1, 1, true, "a"}, {2, 1, true, "b"}, {3, 2 * second, true, "a"}}, 0},
		{"a vote on the process before the restart is ignored",
			[]vote{{1, 2 * second, true, "a"}, {2, 1, true, "b"}}, 0},
		{"recovered without having been down", []vote{{1, 1, false, "a"}, {2, 1, false, "b"}}, 0},
		{"a vote from the future", []vote{{1, 1, true, "a"}, {math.MaxInt64, 1, true, "b"}}, 0},
	} {
		var records flapRecords
		now := int64(0)
		for _, v := range c.votes {
			if now = max(now, v.seenAt); v.seenAt == math.MaxInt64 {
				now = 1
			}
			records.recordFlap(moment(now),
				flapObservation{"s", moment(v.startTime), v.down, flapVote{v.observer, moment(v.seenAt)}}, 2)
		}
		got := 0.0
		if r := records.byID["s"]; r != nil {
			got = r.currentPenalty(moment(now))
		}
		if math.Abs(got-c.want) > 1e-3 {
			t.Errorf("%s: penalty %g, want %g", c.name, got, c.want)
		}
	}
}

// Whatever is reported, a penalty stays within its bounds, damping begins only above the threshold and ends
// within its maximum duration, each flap counts once, and the records of servers that are stable are
// discarded.
func TestFlapRecordsAtRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records flapRecords
		// By server ID: the latest counted flap and its direction, and the beginning of damping; 0: none.
		now, countedAt, since := int64(0), map[string]int64{}, map[string]int64{}
		countedDown := map[string]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += rapid.Int64Range(0, 4*second).Draw(t, "pause")
			id := rapid.SampledFrom([]string{"s", "u"}).Draw(t, "id")
			down := rapid.Bool().Draw(t, "down")
			seenAt := now - rapid.Int64Range(-second, 3*second).Draw(t, "age")
			known := records.byID[id] != nil
			vote := flapVote{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "observer"), moment(seenAt)}
			if records.recordFlap(moment(now), flapObservation{id, 1, down, vote}, 2) {
				if known && countedDown[id] == down ||
					seenAt <= countedAt[id] && countedAt[id] != 0 || seenAt > now {
					t.Fatalf("at %d µs a flap of %s with down %v, observed at %d µs, counts although it "+
						"repeats the latest one, is older than it or is in the future", now, id, down, seenAt)
				}
				countedDown[id], countedAt[id] = down, seenAt
			}
			for _, id := range []string{"s", "u"} {
				r := records.byID[id]
				if r == nil {
					since[id] = 0
					continue
				}
				if p := r.currentPenalty(moment(now)); !(p >= 0 && p <= maxPenalty) {
					t.Fatalf("penalty %g of server %s, want 0 to %v", p, id, maxPenalty)
				}
				from, damped := records.dampedSince(moment(now), id, 1)
				if damped && since[id] == 0 && r.currentPenalty(moment(now)) <= dampingThreshold ||
					damped && (moment(now).since(from) >= maxDamping ||
						r.currentPenalty(moment(now)) < reuseThreshold) {
					t.Fatalf("at %d µs server %s is damped, since %d µs, at a penalty of %g",
						now, id, from, r.currentPenalty(moment(now)))
				}
				if !damped && since[id] != 0 && span(now-since[id]) < maxDamping &&
					r.currentPenalty(moment(now)) >= reuseThreshold {
					t.Fatalf("at %d µs server %s is no longer damped at a penalty of %g",
						now, id, r.currentPenalty(moment(now)))
				}
				since[id] = int64(from)
			}
		}
		if records.removeStale(moment(now + 200*second)); len(records.byID) != 0 {
			t.Fatalf("%d records are kept 200 s after the latest vote, want none", len(records.byID))
		}
	})
}

// Ten replicas that exchange reports damp one of the twelve servers of their zone that fails, is unresponsive
// or leaves the endpoint list for every other 5 s. They do not damp a server that rejects calls or is slow,
// and without reports they damp none.
func TestFleetDampsFlappingServer(t *testing.T) {
	flapping := func(w *fleetSimulation) bool { return (w.now-start)/(5*second)%2 == 1 }
	for _, c := range []struct {
		name     string
		outcome  func(w *fleetSimulation, s Server) (Status, int64)
		delists  bool // s0 leaves the endpoint list and comes back
		exchange bool // replicas exchange reports
		damped   bool
		most     float64 // fraction of the calls that s0 gets from 30 s on
	}{
		{"fails, without reports", func(w *fleetSimulation, s Server) (Status, int64) {
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
		{"unresponsive", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusTimedOut, 1_600_000
			}
			return w.answer(nil, s)
		}, false, true, true, 0.02},
		{"leaves the list", func(w *fleetSimulation, s Server) (Status, int64) { return w.answer(nil, s) },
			true, true, true, 0.02},
		{"healthy", func(w *fleetSimulation, s Server) (Status, int64) { return w.answer(nil, s) },
			false, true, false, 0.12},
		{"rejects calls", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && flapping(w) {
				return StatusRejected, 2_000
			}
			return w.answer(nil, s)
		}, false, true, false, 0.12},
		{"latencies with a long tail", func(w *fleetSimulation, s Server) (Status, int64) {
			if s.ID == "s0" && w.rnd.IntN(4) == 0 {
				return StatusOK, 450_000
			}
			return w.answer(nil, s)
		}, false, true, false, 0.12},
	} {
		w := newFleetSimulation(t, 1, 10, 12, 30, c.exchange)
		w.outcome = func(_ *replica, s Server) (Status, int64) { return c.outcome(w, s) }
		damped, samples := 0, 0
		for at := second; at <= 60*second; at += second {
			w.run(at)
			if c.delists && at%(5*second) == 0 {
				s := w.servers[0]
				if s.State = ServerReady; flapping(w) {
					s.State = ServerRemoved
				}
				for _, x := range w.replicas {
					x.b.UpdateEndpoints(w.now, x, UpdateDelta, []Server{s})
				}
			}
			for _, x := range w.replicas {
				if at > 30*second && (!c.delists || !flapping(w)) {
					samples++
					damped += len(x.b.DampedServers(w.now))
				}
			}
		}
		calls, total := 0.0, 0.0
		for _, x := range w.replicas {
			for _, s := range x.sends {
				if s.at > start+30*second {
					total++
					calls += indicator(s.server == "s0")
				}
			}
		}
		if (float64(damped) > 0.8*float64(samples)) != c.damped || !c.damped && damped > samples/20 ||
			calls/total > c.most {
			t.Errorf("%s: damped in %d of %d samples (want damped: %v), gets %.4f of the calls (want up to "+
				"%.4f)", c.name, damped, samples, c.damped, calls/total, c.most)
		}
	}
}

// A damped server that stops accepting connections is avoided as fast as any other server, and damping does
// not delay the draining of a server.
func TestServerDiesWhileDamped(t *testing.T) {
	calls, laterCalls := map[bool]int{}, map[bool]int{} // to the dead server, by whether it was damped
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
				t.Fatalf("replica %s: damped servers %v, want one: %v",
					c.name, c.b.DampedServers(w.now), damped)
			}
		}
		w.run(50 * second)
		for i, c := range w.replicas {
			for _, s := range c.sends[before[i]:] {
				calls[damped] += int(indicator(s.server == "s0"))
				laterCalls[damped] += int(indicator(s.server == "s0" && s.at > start+31*second))
			}
		}
		for _, c := range w.replicas {
			c.b.UpdateEndpoints(w.now, c, UpdateDelta, []Server{{ID: "s0", State: ServerDraining}})
			if n := len(c.sends); n > 0 && len(c.b.DampedServers(w.now)) != 0 {
				t.Errorf("replica %s: a draining server is damped", c.name)
			}
		}
		drainedAt := w.now
		w.run(51 * second)
		for _, c := range w.replicas {
			for _, s := range c.sends {
				if s.at > drainedAt && s.server == "s0" {
					t.Fatalf("replica %s sends calls to a draining server", c.name)
				}
			}
		}
	}
	if calls[true] > calls[false]+10 || laterCalls[true] > 2*laterCalls[false] {
		t.Errorf("%d calls in 20 s to a server that died while damped, %d of them after 1 s; %d and %d "+
			"to one that died while healthy", calls[true], laterCalls[true], calls[false], laterCalls[false])
	}
}

// However many servers flap, and whether or not the replica is isolated, it damps no more servers of the tier
// or of a zone than the removal budget allows.
func TestDampingBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, h := mustNewFor(t, 3), &recorder{}
		n := rapid.IntRange(1, 20).Draw(t, "servers")
		var list []Server
		inZone := map[int]int{}
		for i := range n {
			s := Server{ID: fmt.Sprint("s", i), Zone: rapid.IntRange(0, 2).Draw(t, "zone"), State: ServerReady}
			inZone[s.Zone]++
			list = append(list, s)
		}
		b.UpdateEndpoints(start, h, UpdateSnapshot, list)
		live := rapid.IntRange(1, 30).Draw(t, "live")
		liveInZone := rapid.IntRange(1, live).Draw(t, "liveInZone")
		isolated := rapid.Bool().Draw(t, "isolated")
		now := start
		for i := range 6 {
			now += 3 * second
			peers := PeerReports{LiveReplicas: live, LiveReplicasInZone: liveInZone}
			for _, s := range list {
				for _, observer := range []string{"a", "b", "c"} {
					peers.Reports = append(peers.Reports, Report{Kind: ReportServerFlap, Observer: observer,
						Server: s.ID, BadFraction: indicator(i%2 == 0), LastObserved: now})
				}
			}
			b.HandlePeerReports(now, h, peers)
		}
		b.HandlePeerReports(now, h,
			PeerReports{LiveReplicas: live, LiveReplicasInZone: liveInZone, Isolated: isolated})
		damped := map[int]int{} // by zone
		for _, d := range b.DampedServers(now) {
			damped[b.members.byID[d.Server].Zone]++
		}
		all := damped[0] + damped[1] + damped[2]
		fraction := 1.0
		if isolated {
			fraction = float64(liveInZone) / float64(live)
		}
		if float64(all) > fraction*max(1, float64(n)/3) || all == 0 && !isolated && n > 4 {
			t.Fatalf("%d of %d servers are damped, isolated %v, %d of %d live replicas in the zone",
				all, n, isolated, liveInZone, live)
		}
		for z, k := range damped {
			if k > max(1, inZone[z]/3) || inZone[z] == 1 {
				t.Fatalf("%d of %d servers of zone %d are damped, want up to a third, or one but never all",
					k, inZone[z], z)
			}
		}
	})
}

// mustNewFor returns a Balancer whose settings have the given number of zones.
func mustNewFor(t *rapid.T, zones int) *Balancer {
	s := testSettings()
	s.ZoneCount = zones
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}
