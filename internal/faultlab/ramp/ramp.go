// Package ramp checks the load that warming servers get from all replicas together: many balancer.Balancers
// that share nothing send to servers in slow start, on one virtual clock, and each window of each server is
// compared with its budget. All randomness comes from one seed. It is lighter than internal/faultlab/model,
// so that it can simulate 300 processes a thousand times, and leaves out connections, bodies and the proxies'
// own time. Times are int64 microseconds.
package ramp

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"

	"merlinpick/balancer"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms

	scenarioStart = 4 * sec // when the scenario's event starts; the replicas have warmed up by then
)

// Config determines a run.
type Config struct {
	Seed        uint64
	Proxies     int
	Servers     int
	Zones       int
	Rate        float64 // mean requests a second of a process
	Utilization float64 // load as a fraction of the servers' capacity

	SlowStartMinCapacity float64 // as in balancer.Settings
	SlowStartDuration    int64
	OverloadMultiple     float64
	OverloadWindow       int64

	MaxListDelay int64 // until a process receives a change of the list; drawn for each
	Cluster      bool  // processes exchange reports
	Scenario     Scenario
}

// DrawConfig returns a run of the given size with settings that are drawn from the seed, in and beyond the
// range that the settings allow.
func DrawConfig(seed uint64, proxies int, scenario Scenario, cluster bool) Config {
	rnd := rand.New(rand.NewPCG(seed, 77))
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	c := Config{Seed: seed, Proxies: proxies, Servers: 12, Zones: 3, Scenario: scenario, Cluster: cluster,
		Rate: between(3, 20), Utilization: between(0.4, 0.75), SlowStartMinCapacity: between(0.15, 0.5),
		SlowStartDuration: int64(between(4, 12) * 1e6),
		OverloadMultiple:  between(2, 3), OverloadWindow: int64(between(1, 2) * 1e6),
		MaxListDelay: int64(between(0.2, 2.4) * 1e6)}
	if scenario == "overload" {
		c.Utilization *= 2
	}
	if proxies >= 100 {
		c.Servers, c.Zones, c.Rate = 60, 6, between(1, 4)
	}
	return c
}

// Result is the result of a run.
type Result struct {
	WorstWindow    float64 // calls / bound of the fullest window with two thirds of informed work
	Excess         float64 // calls of that window above the bound, N + 2 sqrt(N) + 2
	WindowBudget   float64 // N: the budget of that window in calls
	WarmingShare   float64 // calls of warming servers, relative to warm ones and their capacity fraction
	Served         float64 // fraction of the requests since the scenario's start that were served
	RejectedUnsent float64 // fraction of these that were rejected without an attempt
}

type event struct {
	time, seq int64
	run       func()
}

// events implements heap.Interface.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].time < e[j].time || e[i].time == e[j].time && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type simulation struct {
	Config
	now, seq      int64
	random        *rand.Rand
	events        events
	proxies       []*proxy
	servers       []*server
	serverByID    map[string]*server
	meanWork      float64 // of a call, in microseconds on a slot of speed 1
	rateFactor    float64 // by which the rate of arrivals is multiplied
	requestCount  int
	result        Result
	sinceScenario struct{ requests, served, rejectedUnsent float64 } // counts since the scenario's start
}

// after schedules an event after a delay in microseconds.
func (sim *simulation) after(delay int64, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + max(delay, 0), sim.seq, run})
}

// Run runs one scenario.
func Run(c Config) Result {
	sim := &simulation{Config: c, random: rand.New(rand.NewPCG(c.Seed, 1)), now: 1000 * sec,
		rateFactor: 1, serverByID: map[string]*server{}}
	begin, span := sim.now, scenarioStart+5*sec+c.SlowStartDuration+c.OverloadWindow
	sim.result.WorstWindow, sim.result.Excess = 0, math.Inf(-1)
	// All slots together are busy for the fraction Utilization with Rate x Proxies calls a second.
	sim.meanWork = slots * float64(c.Servers) * c.Utilization / (c.Rate * float64(c.Proxies)) * 1e6
	for i := range c.Servers {
		sim.addServer(i%c.Zones, 0)
	}
	shares, sum := make([]float64, c.Proxies), 0.0
	for i := range shares { // some processes have several times the mean rate
		shares[i] = math.Exp(0.8 * sim.random.NormFloat64())
		sum += shares[i]
	}
	for i := range shares {
		p := &proxy{sim: sim, id: i, zone: i % c.Zones, rate: c.Rate * float64(c.Proxies) * shares[i] / sum}
		sim.proxies = append(sim.proxies, p)
		p.start()
		sim.after(int64(sim.random.ExpFloat64()*1e6/p.rate), p.nextArrival)
	}
	if c.Cluster {
		sim.after(sec/2, sim.exchangeReports)
	}
	sim.after(scenarioStart, func() { sim.startScenario() })
	for len(sim.events) > 0 && sim.events[0].time < begin+span {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.time
		e.run()
	}
	sim.result.Served = sim.sinceScenario.served / max(sim.sinceScenario.requests, 1)
	sim.result.RejectedUnsent = sim.sinceScenario.rejectedUnsent / max(sim.sinceScenario.requests, 1)
	sim.result.WarmingShare = sim.warmingShare(begin)
	return sim.result
}

// warmingShare returns the calls of servers in slow start, relative to the mean of warm ones and their capacity fraction.
func (sim *simulation) warmingShare(begin int64) float64 {
	warming, warmingCapacity, warm, warmTime := 0.0, 0.0, 0.0, 0.0
	for _, s := range sim.servers {
		if s.startTime > 0 {
			warming += s.calls
			fraction := float64(min(sim.now-s.startTime, sim.SlowStartDuration)) /
				float64(sim.SlowStartDuration)
			warmingCapacity += float64(sim.SlowStartDuration) * fraction *
				(sim.SlowStartMinCapacity + (1-sim.SlowStartMinCapacity)*fraction/2)
		} else if s.up {
			warm += s.calls
			warmTime += float64(sim.now - begin - scenarioStart)
		}
	}
	if warm == 0 || warmingCapacity == 0 {
		return 0
	}
	return warming / warmingCapacity / (warm / warmTime)
}

// exchangeReports passes the reports of each process to all others, twice a second.
func (sim *simulation) exchangeReports() {
	var all []balancer.Report
	for _, p := range sim.proxies {
		for _, report := range p.balancer.Reports(sim.now) {
			report.Observer = fmt.Sprint(p.id)
			all = append(all, report)
		}
	}
	for _, p := range sim.proxies {
		peerReports := make([]balancer.Report, 0, len(all))
		self := fmt.Sprint(p.id)
		for _, report := range all {
			if report.Observer != self {
				peerReports = append(peerReports, report)
			}
		}
		p.balancer.HandlePeerReports(sim.now, p, balancer.PeerReports{LiveReplicas: sim.Proxies,
			LiveReplicasInZone: sim.Proxies / sim.Zones, Reports: peerReports})
	}
	sim.after(sec/2, sim.exchangeReports)
}
