package result

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"fernlanding/internal/lab/experiment"
	"fernlanding/internal/lab/hollow"
)

// Spent is what a role has spent so far: all that bear it together.
type Spent struct {
	In, Out int64 // bytes that came to it and that it sent
	Calls   int64 // of the list and of leases: by it, or to it if it is a member of the service
	CPU     time.Duration
	Each    time.Duration // seconds that it was borne, over all that bear it
	Memory  int64         // bytes, of all that bear it; of members the most of one
}

// Plus is both together, and the larger memory.
func (s Spent) Plus(o Spent) Spent {
	return Spent{s.In + o.In, s.Out + o.Out, s.Calls + o.Calls, s.CPU + o.CPU, s.Each + o.Each, max(s.Memory, o.Memory)}
}

// Reading is what control has cost until a moment.
type Reading struct {
	At         time.Time
	Roles      map[string]Spent
	Turned     float64 // calls that members answered 503
	Watches    float64 // held at all members together, at most
	Gossip     []*hollow.FleetFigures
	RealGossip int64 // bytes to real members of the fleet and back
}

// Clone is a copy.
func (r Reading) Clone() Reading {
	r.Roles = maps.Clone(r.Roles)
	return r
}

// PhaseReading is a phase's two readings; nil if it did not come to it.
type PhaseReading struct{ Before, After *Reading }

// Told is a version of the list, and when a proxy had it: nanoseconds of the machine's clock.
type Told = hollow.Step

// Control is what a play's figures of control are made of.
type Control struct {
	Phases []PhaseReading
	Hollow []hollow.Figures
	Real   [][]Told // versions that each real proxy was told
}

const sureBefore = 5 * time.Second // a change that was sure so long before the end should be known to all

// control adds the figures of control, phase by phase.
func (c *Control) figures(in Input, f map[string]float64) {
	put := func(name string, v float64) {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			f["control."+name] = v
		}
	}
	var changes []hollow.Change
	var tracks [][]Told
	stall := 0.0
	for _, x := range c.Hollow {
		changes = append(changes, x.Nodos.Changes...)
		stall = max(stall, x.StallMs)
		for _, p := range x.Proxies {
			tracks = append(tracks, p.List.Steps)
		}
	}
	for i, p := range in.Exp.Phases {
		put(p.Name+".hollow_stall_ms", stall)
		if i < len(c.Phases) && c.Phases[i].Before != nil && c.Phases[i].After != nil {
			c.spent(in.Exp, p.Name, c.Phases[i], put)
		}
		from, to := in.Start.Add(experiment.Seconds(p.From)).UnixNano(), in.Start.Add(experiment.Seconds(p.To)).UnixNano()
		own := slices.DeleteFunc(slices.Clone(changes), func(x hollow.Change) bool { return x.Asked < from || x.Asked >= to })
		end := in.Start.Add(experiment.Seconds(in.Exp.Seconds)).UnixNano()
		put(p.Name+".changes", float64(len(own)))
		spread(p.Name+".known", known(own, tracks), put)
		spread(p.Name+".real_known", known(own, c.Real), put)
		var sure []float64
		for _, x := range own {
			sure = append(sure, float64(x.Sure-x.Asked)/1e6)
		}
		slices.Sort(sure)
		spread(p.Name+".confirmed", sure, put)
		put(p.Name+".unknown", float64(unknown(own, tracks, end)))
	}
}

// spent are the figures of one phase's two readings.
func (c *Control) spent(e *experiment.Experiment, phase string, r PhaseReading, put func(string, float64)) {
	seconds := r.After.At.Sub(r.Before.At).Seconds()
	borne := map[string]int{"proxy": e.Hollow.Proxies, "real": len(e.ProxyNodes()), "nodo": e.Hollow.Nodos}
	for role, after := range r.After.Roles {
		before := r.Before.Roles[role]
		each := (after.Each - before.Each).Seconds()
		if each <= 0 {
			continue
		}
		name := phase + "." + role + "."
		put(name+"in_b_s", float64(after.In-before.In)/each)
		put(name+"out_b_s", float64(after.Out-before.Out)/each)
		put(name+"calls_s", float64(after.Calls-before.Calls)/each)
		if role == "regions" {
			continue
		}
		put(name+"cpu_pct", 100*(after.CPU-before.CPU).Seconds()/each)
		n := float64(max(1, borne[role]))
		put(name+"memory_mb", float64(after.Memory)/n/(1<<20))
	}
	put(phase+".turned", r.After.Turned-r.Before.Turned)
	put(phase+".watches_most", r.After.Watches)
	c.gossip(e, phase, r, seconds, put)
	var failures, moves, age float64
	for _, x := range c.Hollow {
		for _, p := range x.Proxies {
			failures, moves = failures+float64(p.List.Failures), moves+float64(p.List.Moves)
			age = max(age, p.List.AgeMs)
		}
	}
	put(phase+".list_failures", failures)
	put(phase+".list_moves", moves)
	put(phase+".list_age_last_ms", age)
}

// gossip are the figures of the fleet in one phase.
func (c *Control) gossip(e *experiment.Experiment, phase string, r PhaseReading, seconds float64, put func(string, float64)) {
	if !e.Fleet.On || len(r.After.Gossip) == 0 || len(r.Before.Gossip) != len(r.After.Gossip) {
		return
	}
	var in, out, waiting, entries, dropped float64
	least := math.Inf(1)
	var ages []float64
	for i, a := range r.After.Gossip {
		b := r.Before.Gossip[i]
		if a == nil || b == nil {
			continue
		}
		in, out = in+float64(a.In-b.In), out+float64(a.Out-b.Out)
		waiting, entries = waiting+float64(a.Waiting), entries+float64(a.Entries)
		dropped += float64(a.Dropped - b.Dropped)
		least = min(least, float64(a.Living))
		ages = append(ages, a.Ages...)
	}
	n := float64(len(r.After.Gossip))
	put(phase+".gossip_in_b_s", in/n/seconds)
	put(phase+".gossip_out_b_s", out/n/seconds)
	put(phase+".gossip_waiting", waiting/n)
	put(phase+".gossip_entries", entries/n)
	put(phase+".gossip_dropped", dropped)
	put(phase+".living_least", least)
	put(phase+".real_gossip_in_b_s", float64(r.After.RealGossip-r.Before.RealGossip)/seconds/float64(max(1, len(e.ProxyNodes()))))
	slices.Sort(ages)
	spread(phase+".gossip_age", ages, put)
}

// known is how late each proxy knew each change, in ms, sorted: from its being confirmed. One that was told before counts 0.
func known(changes []hollow.Change, tracks [][]Told) (out []float64) {
	for _, t := range tracks {
		for _, c := range changes {
			if i := sort.Search(len(t), func(i int) bool { return t[i].Index >= c.Index }); i < len(t) {
				out = append(out, max(0, float64(t[i].At-c.Sure)/1e6))
			}
		}
	}
	slices.Sort(out)
	return out
}

// unknown counts the proxies and changes that never met, of changes that were sure long enough before the end.
func unknown(changes []hollow.Change, tracks [][]Told, end int64) (n int) {
	for _, t := range tracks {
		for _, c := range changes {
			if c.Sure < end-sureBefore.Nanoseconds() && (len(t) == 0 || t[len(t)-1].Index < c.Index) {
				n++
			}
		}
	}
	return n
}

func spread(name string, sorted []float64, put func(string, float64)) {
	if len(sorted) == 0 {
		return
	}
	at := func(q float64) float64 { return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))] }
	put(name+"_p50_ms", at(0.5))
	put(name+"_p99_ms", at(0.99))
	put(name+"_last_ms", sorted[len(sorted)-1])
}

// Stall is the longest in which a hollow process did not run, in ms.
func (c *Control) Stall() (most float64) {
	if c == nil {
		return 0
	}
	for _, x := range c.Hollow {
		most = max(most, x.StallMs)
	}
	return most
}
