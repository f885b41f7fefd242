package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

// evacuatedZones returns the zones that a replica has evacuated.
func (c *replica) evacuatedZones() (out []int) {
	for _, z := range c.b.ZoneStates(c.simulation.now) {
		if z.Phase == ZoneEvacuated {
			out = append(out, z.Zone)
		}
	}
	return out
}

// TestFaultsAreToldApart checks that the replicas evacuate a zone only if the zone has failed. A fault of one
// server, of a network link or of all zones looks the same in a single call; it differs in which zones see
// it, how many servers it affects and which calls are answered meanwhile.
func TestFaultsAreToldApart(t *testing.T) {
	type outcomeFunc = func(w *fleetSimulation, c *replica, s Server) (Status, int64)
	outageOf := func(zones ...int) outcomeFunc {
		return func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if slices.Contains(zones, s.Zone) {
				return StatusOK, 1e12
			}
			return w.answer(c, s)
		}
	}
	for _, c := range []struct {
		name               string
		outcome            outcomeFunc
		zoneWithoutServers int      // a zone without ready servers, -1: none
		evacuated          [3][]int // by zone of the replica, the zones that it must have evacuated after 4 s
		mayEvacuate        []int    // further zones that any replica may have evacuated
	}{
		{"a lost zone", outageOf(0), -1, [3][]int{0: {0}}, []int{0}},
		{"a lost zone that another used", outageOf(0), 1, [3][]int{{0}, {0}, nil}, []int{0}},
		{"two of three lost", outageOf(0, 1), -1, [3][]int{{0}, {1}, nil}, []int{0, 1}},
		{"a zone that answers but fails", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if s.Zone == 0 {
				return StatusError, 5_000
			}
			return w.answer(c, s)
		}, -1, [3][]int{0: {0}}, []int{0}},
		{"answers lost between zones", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if s.Zone == 0 && c.b.settings.Zone != 0 {
				return StatusOK, 1e12
			}
			return w.answer(c, s)
		}, 1, [3][]int{1: {0}}, nil},
		{"one bad server", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if s.ID == "s0" {
				return StatusOK, 1e12
			}
			return w.answer(c, s)
		}, -1, [3][]int{}, nil},
		{"a replica's own link", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if c.index < 3 {
				return StatusOK, 1e12
			}
			return w.answer(c, s)
		}, -1, [3][]int{}, nil},
		{"slow everywhere", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			_, took := w.answer(c, s)
			return StatusOK, 20 * took
		}, -1, [3][]int{}, nil},
		{"lost everywhere", outageOf(0, 1, 2), -1, [3][]int{}, nil},
		{"a slow zone", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			st, took := w.answer(c, s)
			if s.Zone == 0 {
				took *= 5
			}
			return st, took
		}, -1, [3][]int{}, nil},
		{"a zone that is full", func(w *fleetSimulation, c *replica, s Server) (Status, int64) {
			if s.Zone == 0 {
				return StatusRejected, 1000
			}
			return w.answer(c, s)
		}, -1, [3][]int{}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newFleetSimulation(t, 3, 4, 5, 20, true)
			if c.zoneWithoutServers >= 0 {
				list := slices.Clone(w.servers)
				for i := range list {
					if list[i].Zone == c.zoneWithoutServers {
						list[i].State = ServerDraining
					}
				}
				for _, p := range w.replicas {
					p.b.UpdateEndpoints(start, p, UpdateSnapshot, list)
				}
			}
			w.run(10 * second)
			w.outcome = func(p *replica, s Server) (Status, int64) { return c.outcome(w, p, s) }
			w.run(14 * second)
			for _, p := range w.replicas {
				got, want := p.evacuatedZones(), c.evacuated[p.b.settings.Zone]
				for z := range 3 {
					in := slices.Contains(got, z)
					if !in && slices.Contains(want, z) ||
						in && !slices.Contains(slices.Concat(want, c.mayEvacuate), z) {
						t.Errorf("%s has evacuated zones %v, want %v: %+v",
							p.name, got, want, p.b.ZoneStates(w.now))
					}
				}
			}
			w.outcome = w.answer
			w.run(60 * second)
			for _, p := range w.replicas {
				for _, z := range p.b.ZoneStates(w.now) {
					if z.Phase > ZoneSaturated {
						t.Errorf("%s: a zone has not recovered 46 s after the fault: %+v", p.name, z)
					}
				}
			}
		})
	}
}

// phaseTimes returns the times, in µs since the start, at which a replica put a zone into a phase.
func (c *replica) phaseTimes(zone int, phase ZonePhase) (at []int64) {
	for _, s := range c.events {
		if e, ok := s.event.(ZonePhaseChanged); ok && e.State.Zone == zone &&
			e.ObserverZone == c.b.settings.Zone && e.State.Phase == phase {
			at = append(at, s.at-start)
		}
	}
	return at
}

// TestReplicasEvacuateAndReturnTogether checks in fleets of different sizes that after an outage of a zone
// its replicas evacuate it within half a second of each other, and within 1.2 s or a third of the time that
// they take without reports. After the outage the zone has its traffic back within one and a half slow
// starts.
func TestReplicasEvacuateAndReturnTogether(t *testing.T) {
	for _, c := range []struct {
		name              string
		replicas, servers int
		rate              float64
		lostReports       float64 // fraction of the reports that are not delivered
	}{{"sparse", 16, 32, 1.5, 0}, {"small", 2, 3, 26, 0}, {"middle", 6, 12, 15, 0}, {"half unheard", 6, 12, 15, 0.5}} {
		t.Run(c.name, func(t *testing.T) {
			// When 95 % of the attempts in a second, except trials, went to other zones: without reports,
			// with them.
			var avoided [2]int64
			maxTrialFraction := 0.05 + trialsPerSecond/(c.rate*float64(c.replicas))
			for on := range 2 {
				w := newFleetSimulation(t, 3, c.replicas, c.servers, c.rate, on == 1)
				w.delivers = func(*replica, *replica) bool { return w.rnd.Float64() >= c.lostReports }
				w.run(20 * second)
				w.outcome = func(p *replica, s Server) (Status, int64) {
					if s.Zone == 0 {
						return StatusOK, 1e12
					}
					return w.answer(p, s)
				}
				w.run(35 * second)
				w.outcome = w.answer
				w.run(35*second + int64(on)*20*second)
				at := int64(20 * second)
				for at < 34*second && w.attemptFraction(0, 0, at, at+second) > maxTrialFraction {
					at += second / 10
				}
				if avoided[on] = at - 20*second; on == 0 {
					continue
				}
				first, last := int64(math.MaxInt64), int64(0)
				for _, p := range w.replicas {
					if times := p.phaseTimes(0, ZoneEvacuated); p.b.settings.Zone == 0 && len(times) != 1 {
						t.Errorf("%s evacuated zone 0 at %v us, want one time", p.name, times)
					} else if p.b.settings.Zone == 0 {
						first, last = min(first, times[0]), max(last, times[0])
					}
				}
				if last-first > second/2 {
					t.Errorf("the first replica evacuated zone 0 at %d us, the last at %d us", first, last)
				}
				if part := w.attemptFraction(-1, -1, 5*second, 20*second); part > 0.15 {
					t.Errorf("%.2f of the attempts go to other zones without any fault", part)
				}
				slowStart := w.replicas[0].b.settings.SlowStartDuration
				if back := w.attemptFraction(0, 0, 35*second+slowStart*3/2, 55*second); back < 0.9 {
					t.Errorf("%.2f of the attempts go to the recovered zone, want 0.9", back)
				}
				if early := w.attemptFraction(0, 0, 25*second, 35*second); early > maxTrialFraction {
					t.Errorf("%.2f of the attempts are trials of the evacuated zone", early)
				}
				for _, p := range w.replicas {
					for _, s := range p.sends {
						if at := s.at - start; s.zone == 0 && p.b.settings.Zone == 0 && at > 25*second && at < 35*second && s.idempotency != Idempotent {
							t.Fatalf("%s sent a trial to zone 0 at %d us with a non-idempotent request",
								p.name, at)
						}
					}
				}
			}
			t.Logf("the zone was avoided after %.1f s without reports, %.1f s with them",
				float64(avoided[0])/1e6, float64(avoided[1])/1e6)
			// The 1.2 s are for few and busy replicas, which detect the outage as fast without reports.
			if avoided[1] > max(avoided[0]/3, 6*second/5) {
				t.Errorf("the zone was avoided after %d us without reports, %d us with them",
					avoided[0], avoided[1])
			}
		})
	}
}

// TestFlappingZoneIsReturnedToMoreSlowly checks that a zone that fails again and again is evacuated for
// longer each time, and that it recovers after the last outage.
func TestFlappingZoneIsReturnedToMoreSlowly(t *testing.T) {
	w := newFleetSimulation(t, 3, 3, 4, 10, true)
	w.outcome = func(c *replica, s Server) (Status, int64) {
		if s.Zone == 0 && (w.now-start)/(5*second)%2 == 1 {
			return StatusOK, 1e12
		}
		return w.answer(c, s)
	}
	w.run(120 * second)
	before := w.replicas[0].b.ZoneStates(w.now)[0].Transitions
	w.run(240 * second)
	if n := w.replicas[0].b.ZoneStates(w.now)[0].Transitions - before; n > 2*2 {
		t.Errorf("%d changes of phase in two minutes, want at most 4", n)
	}
	w.outcome = w.answer
	w.run(320 * second)
	if z := w.replicas[0].b.ZoneStates(w.now)[0]; z.WeightFraction < 1 {
		t.Errorf("the zone has not recovered: %+v", z)
	}
}

// TestIsolatedReplicaReturnsSlowly checks that a replica that becomes isolated takes longer than the others
// for the recovery of a zone, and that an isolated replica evacuates none.
func TestIsolatedReplicaReturnsSlowly(t *testing.T) {
	w := newFleetSimulation(t, 3, 4, 5, 20, true)
	w.run(10 * second)
	w.outcome = func(p *replica, s Server) (Status, int64) {
		if s.Zone == 0 {
			return StatusOK, 1e12
		}
		return w.answer(p, s)
	}
	w.run(14 * second)
	c := w.replicas[0]
	c.isolated = true
	w.outcome = w.answer
	w.run(22 * second)
	if mine, theirs := c.b.ZoneStates(w.now)[0], w.replicas[3].b.ZoneStates(w.now)[0]; mine.WeightFraction >= theirs.WeightFraction || mine.WeightFraction > 0.2 {
		t.Errorf("the isolated replica gives the zone as much weight as the others: %+v, the others: %+v",
			mine, theirs)
	}
	w.run(80 * second)
	if mine := c.b.ZoneStates(w.now)[0]; mine.WeightFraction < 1 {
		t.Errorf("at the isolated replica the zone has not recovered: %+v", mine)
	}
	w.outcome = func(p *replica, s Server) (Status, int64) {
		if s.Zone == 0 {
			return StatusOK, 1e12
		}
		return w.answer(p, s)
	}
	w.run(90 * second)
	if evacuated := c.evacuatedZones(); len(evacuated) > 0 {
		t.Errorf("the isolated replica has evacuated zones %v", evacuated)
	}
	one := newFleetSimulation(t, 3, 1, 5, 40, true) // each replica is the only one of its zone
	one.replicas[0].isolated, one.outcome = true, w.outcome
	one.run(10 * second)
	if evacuated := one.replicas[0].evacuatedZones(); len(evacuated) > 0 {
		t.Errorf("the isolated replica, the only one of its zone, has evacuated zones %v", evacuated)
	}
}

// TestDrainedZoneGetsNothing checks that a drained zone gets no calls, not even trials or those of resumed
// servers, and that a restored zone recovers in steps.
func TestDrainedZoneGetsNothing(t *testing.T) {
	w := newFleetSimulation(t, 3, 2, 3, 20, true)
	w.run(5 * second)
	for _, c := range w.replicas {
		c.b.SetDrainedZones(w.now, c, map[int]bool{0: true})
	}
	w.run(15 * second)
	if part := w.attemptFraction(-1, 0, 5*second, 15*second); part > 0 {
		t.Errorf("%v of the attempts went to the drained zone", part)
	}
	sends := len(w.replicas[0].sends)
	w.replicas[0].b.SetDrainedZones(w.now, w.replicas[0], map[int]bool{0: true, 1: true, 2: true})
	w.replicas[0].b.SetSuspendedServers(map[string]bool{"s0": true})
	w.replicas[0].b.SetSuspendedServers(nil) // a resumed server would get the next call
	w.run(16 * second)
	if n := len(w.replicas[0].sends) - sends; n > 0 {
		t.Errorf("%d attempts were sent with all zones drained", n)
	}
	for _, c := range w.replicas {
		c.b.SetDrainedZones(w.now, c, nil)
		c.b.SetDrainedZones(w.now, c, nil)
	}
	w.run(17 * second)
	if z := w.replicas[0].b.ZoneStates(w.now)[0]; z.Phase != ZoneRecovering {
		t.Errorf("the restored zone is not recovering: %+v", z)
	}
	w.run(40 * second)
	if part := w.attemptFraction(0, 0, 30*second, 40*second); part < 0.9 {
		t.Errorf("the restored zone gets %v of the attempts of its own replicas, want 0.9", part)
	}
}

// TestEvacuationConditions checks what the replicas of a zone have to report for another zone to be
// evacuated: each case but the first fails one condition.
func TestEvacuationConditions(t *testing.T) {
	for _, c := range []struct {
		name           string
		unhealthyVotes int     // replicas, of four, that report the zone as unhealthy
		calls          float64 // calls of each replica to the zone
		badFraction    float64 // bad fraction of these calls
		servers        int     // servers of the zone that are reported as unhealthy
		badElsewhere   float64 // bad fraction of the calls to the other zone
		want           ZonePhase
	}{
		{"enough", 3, 5, 0.9, 2, 0.1, ZoneEvacuated},
		{"too few replicas", 1, 5, 0.9, 2, 0.1, ZoneHealthy},
		{"too few calls", 3, 0.5, 0.9, 2, 0.1, ZoneHealthy},
		{"too few bad", 3, 5, 0.5, 2, 0.1, ZoneHealthy},
		{"one server", 3, 5, 0.9, 1, 0.1, ZoneHealthy},
		{"the others no better", 3, 5, 0.9, 2, 0.55, ZoneHealthy},
	} {
		b, h := newWithServers(t, testSettings(), 8)
		var p PeerReports
		for now := start; now < start+second; now += second / 10 {
			p = PeerReports{LiveReplicas: 8, LiveReplicasInZone: 5}
			for i := range 4 {
				n := Report{Kind: ReportZoneUnhealthy, Fault: FaultUnresponsive, Observer: fmt.Sprint("p", i),
					SubjectZone: 1, Calls: c.calls, BadFraction: c.badFraction, Value: 1, LastObserved: now}
				if i >= c.unhealthyVotes {
					n.Kind, n.BadFraction = ReportZoneHealthy, 0
				}
				other := Report{Kind: ReportZoneHealthy, Observer: n.Observer, Calls: 5,
					BadFraction: c.badElsewhere, Value: 1, LastObserved: now}
				p.Reports = append(p.Reports, n, other)
				for s := range c.servers {
					p.Reports = append(p.Reports, Report{Kind: ReportServerUnhealthy, Observer: n.Observer, Server: []string{"s2", "s3"}[s], Calls: 5, BadFraction: 1})
				}
			}
			b.Reports(now)
			b.HandlePeerReports(now, h, p)
		}
		if got := b.ZoneStates(start + second)[1].Phase; got != c.want {
			t.Errorf("%s: the phase is %v, want %v", c.name, got, c.want)
		}
	}
}

// TestFirstDrainIsLogged checks that the first drain of a Balancer, which begins to keep the state of zones,
// is counted and logged like any other change of phase.
func TestFirstDrainIsLogged(t *testing.T) {
	b, err := New(Settings{ZoneCount: 2, Replicas: 1, MaxAttempts: 1, Classes: []Class{{LatencyObjective: second, Deadline: second}}}, 1)
	if err != nil {
		t.Fatal(err)
	}
	r := &recorder{}
	b.SetDrainedZones(start, r, map[int]bool{1: true})
	if z := b.ZoneStates(start)[1]; z.Phase != ZoneDrained || z.Transitions != 1 || len(r.lines) != 1 {
		t.Errorf("zone state %+v and actions %q, want one change to drained and one log event", z, r.lines)
	}
}
