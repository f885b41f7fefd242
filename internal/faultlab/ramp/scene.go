package ramp

import "merlinpick/balancer"

// startScene starts the scene's event.
func (sim *simulation) startScene() {
	n := len(sim.servers)
	some := func(part float64) []*server { // a random fraction
		var of []*server
		for _, i := range sim.random.Perm(n)[:max(1, int(part*float64(n)))] {
			of = append(of, sim.servers[i])
		}
		return of
	}
	switch sim.Scene {
	case "calm": // one restarts
		some(0)[0].restart()
	case "replaced": // half drain and as many new ones start, in two steps
		for i, s := range some(0.5) {
			sim.after(int64(i%2)*sec, func() {
				s.state = balancer.ServerDraining
				s.announce()
				sim.addServer(s.zone, sim.now).announce()
			})
		}
	case "zone": // a zone is lost and returns in slow start; the list never removes it
		sim.loseZone(5 * sec)
	case "few": // all but two restart at once
		for _, s := range sim.servers[2:] {
			s.restart()
		}
	case "none": // all restart at once
		for _, s := range sim.servers {
			s.restart()
		}
	case "ban": // one is suspended at all processes, restarted and resumed
		sim.suspendServer(some(0)[0])
	case "restart": // a third restarts, and seven in ten processes restart meanwhile
		for _, s := range some(0.34) {
			s.restart()
		}
		for _, p := range sim.proxies {
			if sim.random.Float64() < 0.7 {
				sim.after(sim.random.Int64N(2*sec), p.start)
			}
		}
	case "hang", "slow", "fail": // three in four are unresponsive, five times as slow, or fail, while one restarts
		of := some(0.75)
		for _, s := range of[1:] {
			if s.unresponsive, s.failing = sim.Scene == "hang", sim.Scene == "fail"; sim.Scene == "slow" {
				s.slowdown = 5
			}
		}
		of[0].restart()
	case "home": // a zone has only one server, and that restarts
		for _, s := range sim.servers {
			if s.zone == 0 && s != sim.servers[0] {
				s.state = balancer.ServerDraining
				s.announce()
			}
		}
		sim.after(sec, sim.servers[0].restart)
	case "overload": // a third restarts at a load above the capacity
		for _, s := range some(0.34) {
			s.restart()
		}
	case "surge": // a quarter restarts, and the load triples from then on
		sim.rateFactor = 3
		for _, s := range some(0.25) {
			s.restart()
		}
	}
}

func (sim *simulation) loseZone(span int64) {
	for _, s := range sim.servers {
		if s.zone == 0 {
			s.stop()
			s.unreachable = true
			sim.after(span, s.restart)
		}
	}
}

func (sim *simulation) suspendServer(s *server) {
	for _, p := range sim.proxies {
		sim.after(sim.random.Int64N(sec/10), func() { p.balancer.SetSuspendedServers(map[string]bool{s.id: true}) })
		sim.after(3*sec+sim.random.Int64N(sec/10), func() { p.balancer.SetSuspendedServers(nil) })
	}
	sim.after(sec, s.restart)
}
