package result

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
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
	Turned     float64                  // calls that members answered 503
	Watches    float64                  // held at all members together, at most
	Gossip     []*hollow.ClusterMetrics // of each hollow proxy; empty without a fleet
	RealGossip []*hollow.ClusterMetrics // of each real one
}

// Clone is a copy.
func (r Reading) Clone() Reading {
	r.Roles = maps.Clone(r.Roles)
	return r
}

// PhaseReading is a phase's two readings; nil if it did not come to it.
type PhaseReading struct{ Before, After *Reading }

// Told is a version of the list, and when a proxy had it: nanoseconds of the machine's clock.
type Told = hollow.VersionTime

// Control is what a play's metrics of control are made of.
type Control struct {
	Phases []PhaseReading
	Hollow []hollow.Metrics
	Real   [][]Told // versions that each real proxy was told
	Puts   []Put
}

const sureBefore = 5 * time.Second // a change that was sure so long before the end should be known to all

// Figures are those of control, phase by phase, of a load that began at start.
func (c *Control) Figures(e *experiment.Experiment, start time.Time) map[string]float64 {
	f := map[string]float64{}
	put := func(name string, v float64) {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			f["control."+name] = v
		}
	}
	var changes []hollow.Change
	var tracks [][]Told
	var deaths []hollow.Death
	var lost [][]hollow.Death
	var failures, moves, age float64
	for _, x := range c.Hollow {
		changes, deaths = append(changes, x.Servers.Changes...), append(deaths, x.Servers.Deaths...)
		for _, p := range x.Proxies {
			lost = append(lost, p.List.Removed)
			tracks = append(tracks, p.List.Versions)
			failures, moves = failures+float64(p.List.Failures), moves+float64(p.List.Failovers)
			age = max(age, p.List.AgeMs)
		}
	}
	put("hollow_stall_ms", c.Stall())
	put("list_failures", failures)
	put("list_moves", moves)
	put("list_age_last_ms", age)
	end := start.Add(experiment.Seconds(e.Seconds)).UnixNano()
	for i, p := range e.Phases {
		if i < len(c.Phases) && c.Phases[i].Before != nil && c.Phases[i].After != nil {
			spent(e, p.Name, c.Phases[i], put)
		}
		from, to := start.Add(experiment.Seconds(p.From)).UnixNano(), start.Add(experiment.Seconds(p.To)).UnixNano()
		own := slices.DeleteFunc(slices.Clone(changes), func(x hollow.Change) bool { return x.RequestedAt < from || x.RequestedAt >= to })
		put(p.Name+".changes", float64(len(own)))
		spread(p.Name+".known", known(own, tracks), put)
		spread(p.Name+".real_known", known(own, c.Real), put)
		var sure []float64
		for _, x := range own {
			sure = append(sure, float64(x.ConfirmedAt-x.RequestedAt)/1e6)
		}
		slices.Sort(sure)
		spread(p.Name+".confirmed", sure, put)
		put(p.Name+".unknown", float64(unknown(own, tracks, end)))
		died := slices.DeleteFunc(slices.Clone(deaths), func(x hollow.Death) bool { return x.At < from || x.At >= to })
		late, never := buried(died, lost)
		put(p.Name+".deaths", float64(len(died)))
		spread(p.Name+".buried", late, put)
		put(p.Name+".unburied", float64(never))
		c.configs(p.Name, from, to, put)
		factors(p.Name, f, put)
	}
	return f
}

// factors are what a real proxy's metrics are of a hollow one's, where both are told: the calibration.
func factors(phase string, f map[string]float64, put func(string, float64)) {
	at := "control." + phase + "."
	for factor, pair := range map[string][2]string{"calls": {"real.calls_s", "proxy.calls_s"}, "in": {"real.in_b_s", "proxy.in_b_s"},
		"out": {"real.out_b_s", "proxy.out_b_s"}, "cpu": {"real.cpu_pct", "proxy.cpu_pct"},
		"memory": {"real.memory_mb", "proxy.memory_mb"}, "known": {"real_known_p50_ms", "known_p50_ms"},
		"gossip_in": {"real_gossip_in_b_s", "gossip_in_b_s"}, "gossip_out": {"real_gossip_out_b_s", "gossip_out_b_s"},
		"gossip_sent": {"real_gossip_sent_s", "gossip_sent_s"}, "gossip_oldest": {"real_gossip_oldest_ms", "gossip_oldest_ms"}} {
		if real, ok := f[at+pair[0]]; ok && f[at+pair[1]] > 0 {
			put(phase+".factor."+factor, real/f[at+pair[1]])
		}
	}
}

// spent are the metrics of one phase's two readings.
func spent(e *experiment.Experiment, phase string, r PhaseReading, put func(string, float64)) {
	seconds := r.After.At.Sub(r.Before.At).Seconds()
	borne := map[string]int{"proxy": e.Hollow.Proxies, "real": len(e.ProxyNodes()), "nodo": e.Hollow.Servers}
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
	if len(r.Before.Gossip) == len(r.After.Gossip) {
		gossip(phase+".", r.Before.Gossip, r.After.Gossip, seconds, put)
	}
	if len(r.Before.RealGossip) == len(r.After.RealGossip) {
		gossip(phase+".real_", r.Before.RealGossip, r.After.RealGossip, seconds, put)
	}
}

// gossip are the metrics of a fleet's members in one phase, a member each.
func gossip(name string, before, after []*hollow.ClusterMetrics, seconds float64, put func(string, float64)) {
	var in, out, sent, waiting, entries, dropped, oldest, n float64
	least := math.Inf(1)
	var ages []float64
	for i, a := range after {
		b := before[i]
		if a == nil || b == nil {
			continue
		}
		n++
		in, out, sent = in+float64(a.BytesIn-b.BytesIn), out+float64(a.BytesOut-b.BytesOut), sent+float64(a.Sent-b.Sent)
		waiting, entries, oldest = waiting+float64(a.Queued), entries+float64(a.Entries), oldest+a.OldestEntryMs
		dropped += float64(a.Dropped - b.Dropped)
		least = min(least, float64(a.LiveMembers))
		ages = append(ages, a.EntryAgesMs...)
	}
	if n == 0 {
		return
	}
	put(name+"gossip_in_b_s", in/n/seconds)
	put(name+"gossip_out_b_s", out/n/seconds)
	put(name+"gossip_sent_s", sent/n/seconds)
	put(name+"gossip_waiting", waiting/n)
	put(name+"gossip_entries", entries/n)
	put(name+"gossip_oldest_ms", oldest/n)
	put(name+"gossip_dropped", dropped)
	put(name+"living_least", least)
	slices.Sort(ages)
	spread(name+"gossip_age", ages, put)
}

// known is how late each proxy knew each change, in ms, sorted: from its being confirmed. One that was told before counts 0.
func known(changes []hollow.Change, tracks [][]Told) (out []float64) {
	for _, t := range tracks {
		for _, c := range changes {
			if i := sort.Search(len(t), func(i int) bool { return t[i].Version >= c.Version }); i < len(t) {
				out = append(out, max(0, float64(t[i].ReceivedAt-c.ConfirmedAt)/1e6))
			}
		}
	}
	slices.Sort(out)
	return out
}

// unknown counts the proxies and changes that never met, of changes that were sure long enough before the end.
func unknown(changes []hollow.Change, tracks [][]Told, end int64) (n int) {
	return unmet(changes, tracks, end-sureBefore.Nanoseconds())
}

// unmet counts the proxies and changes that never met, of changes that were sure before a moment.
func unmet(changes []hollow.Change, tracks [][]Told, before int64) (n int) {
	for _, t := range tracks {
		for _, c := range changes {
			if c.ConfirmedAt < before && (len(t) == 0 || t[len(t)-1].Version < c.Version) {
				n++
			}
		}
	}
	return n
}

// buried is how late each proxy had each server that died out of its list, in ms, sorted; never counts those that did not: the
// server was back before its lease had ended, or its zone is held.
func buried(deaths []hollow.Death, lost [][]hollow.Death) (late []float64, never int) {
	for _, of := range lost {
		for _, d := range deaths {
			i := slices.IndexFunc(of, func(x hollow.Death) bool { return x.Name == d.Name && x.At >= d.At })
			if i < 0 {
				never++
				continue
			}
			late = append(late, float64(of[i].At-d.At)/1e6)
		}
	}
	slices.Sort(late)
	return late, never
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
