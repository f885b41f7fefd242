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

// Usage is what all instances of a role have used so far, together.
type Usage struct {
	BytesIn, BytesOut int64
	Calls             int64 // for the list and leases; received, of a member of the list service, else sent
	CPU               time.Duration
	InstanceTime      time.Duration // summed over the instances of the role
	Memory            int64         // bytes, summed; of members the maximum
}

// Plus returns the sum of two usages, but with the larger memory of the two.
func (u Usage) Plus(other Usage) Usage {
	return Usage{BytesIn: u.BytesIn + other.BytesIn, BytesOut: u.BytesOut + other.BytesOut, Calls: u.Calls + other.Calls,
		CPU: u.CPU + other.CPU, InstanceTime: u.InstanceTime + other.InstanceTime, Memory: max(u.Memory, other.Memory)}
}

// Sample holds the usage of the control plane up to a time.
type Sample struct {
	TakenAt    time.Time
	Roles      map[string]Usage
	Rejected   float64                  // calls that registry members answered with 503
	Watches    float64                  // in flight at all registry members, maximum
	Gossip     []*hollow.ClusterMetrics // of each hollow proxy; empty without a cluster
	RealGossip []*hollow.ClusterMetrics // of each real proxy
}

// Clone returns a copy that shares only the gossip metrics.
func (r Sample) Clone() Sample {
	r.Roles = maps.Clone(r.Roles)
	return r
}

// PhaseSamples are the samples at a phase's start and end; nil if the play ended before.
type PhaseSamples struct{ Before, After *Sample }

// ReceivedVersion is a version of the list and when a proxy received it, in ns of the machine's clock.
type ReceivedVersion = hollow.VersionTime

// Control holds the observations for a play's metrics of the control plane.
type Control struct {
	Phases            []PhaseSamples
	Hollow            []hollow.Metrics
	RealProxyVersions [][]ReceivedVersion // by proxy
	ConfigWrites      []ConfigWrite
}

// confirmedBeforeEnd is the time that proxies have to receive a change: one that is confirmed earlier before
// the end of the load has to reach all of them.
const confirmedBeforeEnd = 5 * time.Second

// listHistory is what the hollow processes observed of the list.
type listHistory struct {
	changes  []hollow.Change
	deaths   []hollow.Death
	versions [][]ReceivedVersion // by hollow proxy
	removed  [][]hollow.Death    // by hollow proxy
}

// listHistory collects the observations of the list and adds the metrics that have no phase.
func (c *Control) listHistory(add func(string, float64)) (history listHistory) {
	var failures, failovers, age float64
	for _, process := range c.Hollow {
		history.changes = append(history.changes, process.Servers.Changes...)
		history.deaths = append(history.deaths, process.Servers.Deaths...)
		for _, proxy := range process.Proxies {
			history.removed = append(history.removed, proxy.List.Removed)
			history.versions = append(history.versions, proxy.List.Versions)
			failures, failovers = failures+float64(proxy.List.Failures), failovers+float64(proxy.List.Failovers)
			age = max(age, proxy.List.AgeMs)
		}
	}
	add("hollow_stall_ms", c.LongestStall())
	add("list_failures", failures)
	add("list_moves", failovers)
	add("list_age_last_ms", age)
	return history
}

// Metrics returns the metrics of the control plane, phase by phase, of a load that began at start.
func (c *Control) Metrics(exp *experiment.Experiment, start time.Time) map[string]float64 {
	metrics := map[string]float64{}
	add := func(name string, v float64) {
		if !math.IsNaN(v) && !math.IsInf(v, 0) {
			metrics["control."+name] = v
		}
	}
	history := c.listHistory(add)
	end := start.Add(experiment.Seconds(exp.Seconds)).UnixNano()
	for i, phase := range exp.Phases {
		if i < len(c.Phases) && c.Phases[i].Before != nil && c.Phases[i].After != nil {
			addUsage(exp, phase.Name, c.Phases[i], add)
		}
		from, to := start.Add(experiment.Seconds(phase.From)).UnixNano(), start.Add(experiment.Seconds(phase.To)).UnixNano()
		c.addChanges(phase.Name, history, phaseSpan{from, to, end}, add)
		history.addDeaths(phase.Name, from, to, add)
		c.configMetrics(phase.Name, from, to, add)
		addCalibration(phase.Name, metrics, add)
	}
	return metrics
}

// phaseSpan is the span of a phase, and the end of the load, in ns of the machine's clock.
type phaseSpan struct{ from, to, loadEnd int64 }

// addChanges adds how soon the list's changes of a phase were confirmed and received by the proxies.
func (c *Control) addChanges(phase string, history listHistory, in phaseSpan, add func(string, float64)) {
	changes := slices.DeleteFunc(slices.Clone(history.changes), func(change hollow.Change) bool {
		return change.RequestedAt < in.from || change.RequestedAt >= in.to
	})
	add(phase+".changes", float64(len(changes)))
	addQuantiles(phase+".known", notificationDelays(changes, history.versions), add)
	addQuantiles(phase+".real_known", notificationDelays(changes, c.RealProxyVersions), add)
	var confirmed []float64
	for _, change := range changes {
		confirmed = append(confirmed, float64(change.ConfirmedAt-change.RequestedAt)/1e6)
	}
	slices.Sort(confirmed)
	addQuantiles(phase+".confirmed", confirmed, add)
	add(phase+".unknown", float64(countUnknown(changes, history.versions, in.loadEnd)))
}

// addDeaths adds how soon the servers that died in a phase were removed from the proxies' lists.
func (h listHistory) addDeaths(phase string, from, to int64, add func(string, float64)) {
	deaths := slices.DeleteFunc(slices.Clone(h.deaths), func(death hollow.Death) bool { return death.At < from || death.At >= to })
	delays, never := removalDelays(deaths, h.removed)
	add(phase+".deaths", float64(len(deaths)))
	addQuantiles(phase+".buried", delays, add)
	add(phase+".unburied", float64(never))
}

// addCalibration adds the ratios of a real proxy's metrics to those of a hollow proxy, where both exist.
func addCalibration(phase string, metrics map[string]float64, add func(string, float64)) {
	at := "control." + phase + "."
	for factor, pair := range map[string][2]string{"calls": {"real.calls_s", "proxy.calls_s"}, "in": {"real.in_b_s", "proxy.in_b_s"},
		"out": {"real.out_b_s", "proxy.out_b_s"}, "cpu": {"real.cpu_pct", "proxy.cpu_pct"},
		"memory": {"real.memory_mb", "proxy.memory_mb"}, "known": {"real_known_p50_ms", "known_p50_ms"},
		"gossip_in": {"real_gossip_in_b_s", "gossip_in_b_s"}, "gossip_out": {"real_gossip_out_b_s", "gossip_out_b_s"},
		"gossip_sent": {"real_gossip_sent_s", "gossip_sent_s"}, "gossip_oldest": {"real_gossip_oldest_ms", "gossip_oldest_ms"}} {
		if real, ok := metrics[at+pair[0]]; ok && metrics[at+pair[1]] > 0 {
			add(phase+".factor."+factor, real/metrics[at+pair[1]])
		}
	}
}

// addUsage adds the metrics between a phase's two samples.
func addUsage(exp *experiment.Experiment, phase string, samples PhaseSamples, add func(string, float64)) {
	seconds := samples.After.TakenAt.Sub(samples.Before.TakenAt).Seconds()
	instances := map[string]int{"proxy": exp.Hollow.Proxies, "real": len(exp.ProxyNodes()), "nodo": exp.Hollow.Servers}
	for role, after := range samples.After.Roles {
		before := samples.Before.Roles[role]
		each := (after.InstanceTime - before.InstanceTime).Seconds()
		if each <= 0 {
			continue
		}
		name := phase + "." + role + "."
		add(name+"in_b_s", float64(after.BytesIn-before.BytesIn)/each)
		add(name+"out_b_s", float64(after.BytesOut-before.BytesOut)/each)
		add(name+"calls_s", float64(after.Calls-before.Calls)/each)
		if role == "regions" {
			continue
		}
		add(name+"cpu_pct", 100*(after.CPU-before.CPU).Seconds()/each)
		n := float64(max(1, instances[role]))
		add(name+"memory_mb", float64(after.Memory)/n/(1<<20))
	}
	add(phase+".turned", samples.After.Rejected-samples.Before.Rejected)
	add(phase+".watches_most", samples.After.Watches)
	if len(samples.Before.Gossip) == len(samples.After.Gossip) {
		addGossip(phase+".", samples.Before.Gossip, samples.After.Gossip, seconds, add)
	}
	if len(samples.Before.RealGossip) == len(samples.After.RealGossip) {
		addGossip(phase+".real_", samples.Before.RealGossip, samples.After.RealGossip, seconds, add)
	}
}

// addGossip adds a phase's metrics of the cluster, averaged over its members.
func addGossip(name string, before, after []*hollow.ClusterMetrics, seconds float64, add func(string, float64)) {
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
	add(name+"gossip_in_b_s", in/n/seconds)
	add(name+"gossip_out_b_s", out/n/seconds)
	add(name+"gossip_sent_s", sent/n/seconds)
	add(name+"gossip_waiting", waiting/n)
	add(name+"gossip_entries", entries/n)
	add(name+"gossip_oldest_ms", oldest/n)
	add(name+"gossip_dropped", dropped)
	add(name+"living_least", least)
	slices.Sort(ages)
	addQuantiles(name+"gossip_age", ages, add)
}

// notificationDelays returns the times from each change's confirmation until each proxy received it, in ms,
// sorted; 0 if the proxy received it before.
func notificationDelays(changes []hollow.Change, received [][]ReceivedVersion) (out []float64) {
	for _, versions := range received {
		for _, change := range changes {
			if i := sort.Search(len(versions),
				func(i int) bool { return versions[i].Version >= change.Version }); i < len(versions) {
				out = append(out, max(0, float64(versions[i].ReceivedAt-change.ConfirmedAt)/1e6))
			}
		}
	}
	slices.Sort(out)
	return out
}

// countUnknown counts the pairs of a proxy and a change that the proxy never received, of the changes
// confirmed at least confirmedBeforeEnd before the end.
func countUnknown(changes []hollow.Change, received [][]ReceivedVersion, end int64) (n int) {
	return countMissing(changes, received, end-confirmedBeforeEnd.Nanoseconds())
}

// countMissing counts the pairs of a proxy and a change that the proxy never received, of the changes
// confirmed before the given time.
func countMissing(changes []hollow.Change, received [][]ReceivedVersion, before int64) (n int) {
	for _, versions := range received {
		for _, change := range changes {
			if change.ConfirmedAt < before &&
				(len(versions) == 0 || versions[len(versions)-1].Version < change.Version) {
				n++
			}
		}
	}
	return n
}

// removalDelays returns the times from each server's death until each proxy's list had removed it, in ms,
// sorted; never counts the lists that did not: the server was back before its lease expired, or its zone is
// held.
func removalDelays(deaths []hollow.Death, removed [][]hollow.Death) (delays []float64, never int) {
	for _, removals := range removed {
		for _, death := range deaths {
			i := slices.IndexFunc(removals,
				func(r hollow.Death) bool { return r.Name == death.Name && r.At >= death.At })
			if i < 0 {
				never++
				continue
			}
			delays = append(delays, float64(removals[i].At-death.At)/1e6)
		}
	}
	slices.Sort(delays)
	return delays, never
}

// addQuantiles adds the median, the 99th percentile and the maximum of sorted values.
func addQuantiles(name string, sorted []float64, add func(string, float64)) {
	if len(sorted) == 0 {
		return
	}
	at := func(q float64) float64 { return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))] }
	add(name+"_p50_ms", at(0.5))
	add(name+"_p99_ms", at(0.99))
	add(name+"_last_ms", sorted[len(sorted)-1])
}

// LongestStall returns the longest pause of a hollow process, in ms.
func (c *Control) LongestStall() (longest float64) {
	if c == nil {
		return 0
	}
	for _, process := range c.Hollow {
		longest = max(longest, process.StallMs)
	}
	return longest
}
