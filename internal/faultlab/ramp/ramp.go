// Package ramp checks what warming servers get from all replicas together: many balancer.Balancers that share nothing send
// to servers in slow start, on one virtual clock, and each window of each server is compared with its budget. All
// randomness comes from one seed. It is lighter than internal/faultlab/model, so that it plays 300 processes a thousand
// times, and leaves out connections, bodies and the proxies' own time. Times are int64 microseconds.
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

	MaxListDelay int64 // until a process receives a change, drawn for each
	Cluster      bool  // processes exchange reports
	Scenario     Scenario
}

// DrawConfig returns a run of a size with settings drawn from the seed, in and beyond the range that the settings allow.
func DrawConfig(seed uint64, proxies int, scenario Scenario, peers bool) Config {
	rnd := rand.New(rand.NewPCG(seed, 77))
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	c := Config{Seed: seed, Proxies: proxies, Servers: 12, Zones: 3, Scenario: scenario, Cluster: peers,
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
	WorstWindow    float64 // fullest window, over two thirds of it by informed processes: calls / (N + 2 root N + 2)
	Excess         float64 // calls of that window above the bound; negative if no window exceeded it
	WindowBudget   float64 // N: the budget of that window in calls
	WarmingShare   float64 // calls of warming servers, relative to a warm one's and their capacity fraction
	Served         float64 // fraction of the requests from the scenario's start on
	RejectedUnsent float64 // the same, of those rejected without an attempt
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
	meanWork      float64 // of a call, microseconds of a slot of speed 1
	rateFactor    float64 // of arrivals
	requestCount  int
	result        Result
	sinceScenario struct{ requests, served, rejectedUnsent float64 } // counts since the scenario's start
}

func (sim *simulation) after(d int64, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{sim.now + max(d, 0), sim.seq, run})
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
	parts, sum := make([]float64, c.Proxies), 0.0
	for i := range parts { // some have several times the mean rate
		parts[i] = math.Exp(0.8 * sim.random.NormFloat64())
		sum += parts[i]
	}
	for i := range parts {
		p := &proxy{sim: sim, id: i, zone: i % c.Zones, rate: c.Rate * float64(c.Proxies) * parts[i] / sum}
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
			part := float64(min(sim.now-s.startTime, sim.SlowStartDuration)) / float64(sim.SlowStartDuration)
			warmingCapacity += float64(sim.SlowStartDuration) * part *
				(sim.SlowStartMinCapacity + (1-sim.SlowStartMinCapacity)*part/2)
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

func (sim *simulation) exchangeReports() {
	var all []balancer.Report
	for _, p := range sim.proxies {
		for _, n := range p.balancer.Reports(sim.now) {
			n.Observer = fmt.Sprint(p.id)
			all = append(all, n)
		}
	}
	for _, p := range sim.proxies {
		of := make([]balancer.Report, 0, len(all))
		me := fmt.Sprint(p.id)
		for _, n := range all {
			if n.Observer != me {
				of = append(of, n)
			}
		}
		p.balancer.HandlePeerReports(sim.now, p, balancer.PeerReports{LiveReplicas: sim.Proxies,
			LiveReplicasInZone: sim.Proxies / sim.Zones, Reports: of})
	}
	sim.after(sec/2, sim.exchangeReports)
}
