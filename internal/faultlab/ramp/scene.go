package ramp

import "merlinpick/balancer"

// Scenario names what happens in a run.
type Scenario string

// Scenarios are all scenarios, in the order of the tables.
var Scenarios = []Scenario{"calm", "replaced", "zone", "few", "none", "ban", "restart", "hang", "slow",
	"fail", "home", "surge", "overload"}

// startScenario starts the scenario's event.
func (sim *simulation) startScenario() {
	switch sim.Scenario {
	case "calm": // one server restarts
		sim.restart(0)
	case "replaced": // half drain and as many new ones start, in two steps
		sim.replaceHalf()
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
	case "ban": // one is suspended at all processes, and restarted before they resume it
		sim.suspendServer(sim.randomServers(0)[0])
	case "restart": // a third restarts, and seven in ten processes restart meanwhile
		sim.restart(0.34)
		sim.restartProxies(0.7)
	case "hang", "slow", "fail": // three in four are unresponsive, slow or fail, while one restarts
		sim.impairServers()
	case "home": // a zone has one server left, which restarts
		sim.drainZoneButOne()
	case "overload": // a third restarts at a load above the capacity
		sim.restart(0.34)
	case "surge": // a quarter restarts, and the load triples from then on
		sim.rateFactor = 3
		sim.restart(0.25)
	}
}

// randomServers draws a fraction of the servers, at least one.
func (sim *simulation) randomServers(fraction float64) []*server {
	n := len(sim.servers)
	var drawn []*server
	for _, i := range sim.random.Perm(n)[:max(1, int(fraction*float64(n)))] {
		drawn = append(drawn, sim.servers[i])
	}
	return drawn
}

// restart restarts a fraction of the servers, at least one.
func (sim *simulation) restart(fraction float64) {
	for _, s := range sim.randomServers(fraction) {
		s.restart()
	}
}

// replaceHalf drains half of the servers and adds as many, in two steps.
func (sim *simulation) replaceHalf() {
	for i, s := range sim.randomServers(0.5) {
		sim.after(int64(i%2)*sec, func() {
			s.state = balancer.ServerDraining
			s.announce()
			sim.addServer(s.zone, sim.now).announce()
		})
	}
}

// restartProxies restarts each process with the given probability, within 2 s.
func (sim *simulation) restartProxies(fraction float64) {
	for _, p := range sim.proxies {
		if sim.random.Float64() < fraction {
			sim.after(sim.random.Int64N(2*sec), p.start)
		}
	}
}

// impairServers draws three in four servers, restarts one of them, and impairs the others.
func (sim *simulation) impairServers() {
	impaired := sim.randomServers(0.75)
	for _, s := range impaired[1:] {
		s.unresponsive, s.failing = sim.Scenario == "hang", sim.Scenario == "fail"
		if sim.Scenario == "slow" {
			s.slowdown = 5
		}
	}
	impaired[0].restart()
}

// drainZoneButOne drains all servers of a zone but one, and restarts that one.
func (sim *simulation) drainZoneButOne() {
	for _, s := range sim.servers {
		if s.zone == 0 && s != sim.servers[0] {
			s.state = balancer.ServerDraining
			s.announce()
		}
	}
	sim.after(sec, sim.servers[0].restart)
}

// loseZone makes a zone's servers unreachable, and restarts them after a while.
func (sim *simulation) loseZone(duration int64) {
	for _, s := range sim.servers {
		if s.zone == 0 {
			s.stop()
			s.unreachable = true
			sim.after(duration, s.restart)
		}
	}
}

// suspendServer suspends a server at all proxies for 3 s and restarts it meanwhile.
func (sim *simulation) suspendServer(s *server) {
	for _, p := range sim.proxies {
		sim.after(sim.random.Int64N(sec/10), func() { p.balancer.SetSuspendedServers(map[string]bool{s.id: true}) })
		sim.after(3*sec+sim.random.Int64N(sec/10), func() { p.balancer.SetSuspendedServers(nil) })
	}
	sim.after(sec, s.restart)
}
