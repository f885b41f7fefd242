// Package ramp measures what cold servers get from a whole fleet: many logic.Balancers that share nothing, on one
// virtual clock, send to servers that start cold, and each window of every server is held against its budget. All
// chance comes from one seed. The model of the fleet (internal/faultlab/model) plays faults and gossip in full; this one is
// light enough to play 300 processes a thousand times. Left out: connections, bodies, the proxies' own time.
// Times are microseconds.
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

	turnAt = 4 * sec // when the scene's event begins; the copies have learned by then
)

// Config is all that a run depends on.
type Config struct {
	Seed    uint64
	Proxies int
	Servers int
	Zones   int
	Rate    float64 // requests a second of a process in the mean
	Use     float64 // load as a part of the servers' capacity

	Start float64 // contract: start_capacity, cold_us, tip_multiple, fall_us
	Cold  int64
	Tip   float64
	Fall  int64

	ListCome int64 // a process hears of a change within this, each at its own time
	Peers    bool  // processes hear each other
	Scene    Scene
}

// Scene is what happens to the fleet.
type Scene string

// Scenes are all scenes, in the order of the tables.
var Scenes = []Scene{"calm", "replaced", "zone", "few", "none", "ban", "restart", "hang", "slow", "fail", "home",
	"surge", "overload"}

// Drawn is a fleet of a size under settings that the seed draws: what the kit's sites and the page allow, and further.
func Drawn(seed uint64, proxies int, scene Scene, peers bool) Config {
	rnd := rand.New(rand.NewPCG(seed, 77))
	between := func(a, b float64) float64 { return a + (b-a)*rnd.Float64() }
	c := Config{Seed: seed, Proxies: proxies, Servers: 12, Zones: 3, Scene: scene, Peers: peers,
		Rate: between(3, 20), Use: between(0.4, 0.75), Start: between(0.15, 0.5), Cold: int64(between(4, 12) * 1e6),
		Tip: between(2, 3), Fall: int64(between(1, 2) * 1e6), ListCome: int64(between(0.2, 2.4) * 1e6)}
	if scene == "overload" {
		c.Use *= 2
	}
	if proxies >= 100 {
		c.Servers, c.Zones, c.Rate = 60, 6, between(1, 4)
	}
	return c
}

// Result is what a run showed.
type Result struct {
	Worst  float64 // the fullest window that told processes filled by over two thirds: calls over N + 2 root N + 2
	Excess float64 // the same as calls above that bound; below 0 if none broke it
	N      float64 // of that window
	Ramp   float64 // calls that cold servers got, against a warm one's and their present part of capacity
	Served float64 // part of the requests; of those that came while servers were cold
	Unsent float64 // part refused unsent
}

type event struct {
	at, seq int64
	do      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type world struct {
	Config
	now, seq int64
	rnd      *rand.Rand
	events   events
	copies   []*proxy
	servers  []*server
	byID     map[string]*server
	work     float64 // mean, of a call
	surge    float64 // times the usual rate
	ids      int
	res      Result
	cold     struct{ asked, served, unsent, took, fair float64 }
}

func (w *world) after(d int64, do func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + max(d, 0), w.seq, do})
}

// Run plays one scene.
func Run(c Config) Result {
	w := &world{Config: c, rnd: rand.New(rand.NewPCG(c.Seed, 1)), now: 1000 * sec, surge: 1, byID: map[string]*server{}}
	begin, span := w.now, turnAt+5*sec+c.Cold+c.Fall
	w.res.Worst, w.res.Excess = 0, math.Inf(-1)
	// Slots of all servers do Rate x Proxies calls a second at the part Use of their time.
	w.work = slots * float64(c.Servers) * c.Use / (c.Rate * float64(c.Proxies)) * 1e6
	for i := range c.Servers {
		w.add(i%c.Zones, 0)
	}
	parts, sum := make([]float64, c.Proxies), 0.0
	for i := range parts { // some get several times the mean
		parts[i] = math.Exp(0.8 * w.rnd.NormFloat64())
		sum += parts[i]
	}
	for i := range parts {
		p := &proxy{w: w, id: i, zone: i % c.Zones, rate: c.Rate * float64(c.Proxies) * parts[i] / sum}
		w.copies = append(w.copies, p)
		p.boot()
		w.after(int64(w.rnd.ExpFloat64()*1e6/p.rate), p.arrive)
	}
	if c.Peers {
		w.after(sec/2, w.gossip)
	}
	w.after(turnAt, func() { w.play() })
	for len(w.events) > 0 && w.events[0].at < begin+span {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.res.Served = w.cold.served / max(w.cold.asked, 1)
	w.res.Unsent = w.cold.unsent / max(w.cold.asked, 1)
	w.res.Ramp = w.ramp(begin)
	return w.res
}

// ramp is what the cold ones got in their cold time, against what warm ones got then on average.
func (w *world) ramp(begin int64) float64 {
	cold, coldFair, warm, warmTime := 0.0, 0.0, 0.0, 0.0
	for _, s := range w.servers {
		if s.launched > 0 {
			cold += s.got
			part := float64(min(w.now-s.launched, w.Cold)) / float64(w.Cold)
			coldFair += float64(w.Cold) * part * (w.Start + (1-w.Start)*part/2)
		} else if s.up {
			warm += s.got
			warmTime += float64(w.now - begin - turnAt)
		}
	}
	if warm == 0 || coldFair == 0 {
		return 0
	}
	return cold / coldFair / (warm / warmTime)
}

func (w *world) gossip() {
	var all []balancer.Report
	for _, p := range w.copies {
		for _, n := range p.b.Reports(w.now) {
			n.Observer = fmt.Sprint(p.id)
			all = append(all, n)
		}
	}
	for _, p := range w.copies {
		of := make([]balancer.Report, 0, len(all))
		me := fmt.Sprint(p.id)
		for _, n := range all {
			if n.Observer != me {
				of = append(of, n)
			}
		}
		p.b.HandlePeerReports(w.now, p, balancer.PeerReports{LiveReplicas: w.Proxies, LiveReplicasInZone: w.Proxies / w.Zones, Reports: of})
	}
	w.after(sec/2, w.gossip)
}
