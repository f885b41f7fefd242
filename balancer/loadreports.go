package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Load reports: how much load each server gets, and how slow it is at it, by this replica's calls and by
// those of all replicas.
//
// Input: the ends of attempts, and the load reports of all replicas. Output: this replica's reports, and
// for each server the rate, failures and mean latency of all replicas' calls, by which weights are tuned.

const (
	loadDecay          = 4 * seconds // time constant by which load fades
	loadReportInterval = 1 * seconds // between this replica's reports
	loadReportTTL      = 5 * seconds // older reports, and older calls, count for nothing

	maxReplicaCallsRatio = 2.0 // to the median: more calls of one replica count as these
	maxLatencyDeviation  = 4.0 // factor of the median: other latencies count as this

	maxReportedCalls = 1e9 // calls of one report; more count as this
)

// loadState is what is known of a server's load.
type loadState struct {
	recent loadStats // this replica's calls
	fleet  fleetLoad // all replicas' calls
}

// loadStats sums up this replica's latest calls to a server.
type loadStats struct {
	calls, failed   float64
	weight          float64 // priority weights of the answered calls
	weightedLatency float64 // their latencies, in µs, times these
	lastAt          moment  // 0: no call yet
}

func (l *loadStats) fade(now moment) {
	keep := math.Exp(-float64(now.since(l.lastAt)) / float64(loadDecay))
	l.calls, l.failed = keep*l.calls, keep*l.failed
	l.weight, l.weightedLatency = keep*l.weight, keep*l.weightedLatency
	l.lastAt = now
}

// fleetLoad is what all replicas report of a server.
type fleetLoad struct {
	callsPerSecond float64
	calls          float64 // that it rests on
	failedFraction float64 // 0 to 1
	meanLatency    float64 // µs, of the answered calls; 0: none
}

// loads holds this replica's reports, and the latency that different classes are compared by.
type loads struct {
	*shared
	members *membership
	reports *reportExchange

	latest     []Report // of this replica
	reportedAt moment   // 0: never

	typicalLatency float64 // µs: mean unloaded latency over the answered calls of all classes
	successes      float64
}

func newLoads(common *shared, members *membership, reports *reportExchange) *loads {
	return &loads{shared: common, members: members, reports: reports}
}

// record takes the end of an attempt. Latencies are scaled to a call of a typical class: a server would
// otherwise be fast for the classes that it happened to get. It returns the latency as a multiple of its
// class's unloaded one; ok is false if the attempt failed.
func (l *loads) record(now moment, server *server, class int, outcome Outcome) (relative float64, ok bool) {
	load := &server.load.recent
	load.fade(now)
	if load.calls++; outcome.Status != StatusOK {
		load.failed++
		return 0, false
	}
	unloaded, weight := l.classes[class].latency.unloaded, l.settings.Classes[class].PriorityWeight
	l.typicalLatency += (unloaded - l.typicalLatency) * runningGain(l.successes, minUnloadedGain)
	l.successes++
	relative = float64(outcome.Latency) / max(unloaded, 1)
	load.weight += weight
	load.weightedLatency += weight * relative * l.typicalLatency
	return relative, true
}

// loadReports returns this replica's reports, which stay the same for loadReportInterval: each change is
// sent to all replicas.
func (l *loads) loadReports(now moment) []Report {
	if l.settings.DisableWeightTuning || now.since(l.reportedAt) < loadReportInterval && l.reportedAt != 0 {
		return l.latest
	}
	l.reportedAt, l.latest = now, nil
	for _, server := range l.members.all {
		load := &server.load.recent
		if load.lastAt == 0 || now.since(load.lastAt) > loadReportTTL {
			continue
		}
		load.fade(now)
		report := Report{Kind: ReportServerLoad, ObserverZone: l.settings.Zone, Server: server.ID,
			StartTime: server.StartTime, Calls: load.calls, BadFraction: load.failed / load.calls,
			LastObserved: int64(now)}
		if load.weight > 0 {
			report.Value = load.weightedLatency / load.weight
		}
		l.latest = append(l.latest, report)
	}
	return l.latest
}

// sumReports sums up the reports of all replicas on each server and returns how many replicas reported; 0 if
// no report has a latency. What is no number or out of all proportion is bounded, so that no single replica
// moves the sums much.
func (l *loads) sumReports(now moment) (replicas int) {
	reports, callsOf := l.usableReports(now)
	for _, server := range l.members.all {
		server.load.fleet = fleetLoad{}
	}
	var latencies, calls []float64
	for _, report := range reports {
		if report.Value > 0 {
			latencies = append(latencies, report.Value)
		}
	}
	if len(latencies) == 0 {
		return 0
	}
	for _, n := range callsOf {
		calls = append(calls, n)
	}
	medianLatency, maxCalls := upperMedian(latencies), maxReplicaCallsRatio*upperMedian(calls)
	for _, report := range reports {
		if server := l.members.byID[report.Server]; server != nil && sameProcess(server, report) {
			part := min(1, maxCalls/callsOf[report.Observer])
			server.load.fleet.add(report, part, medianLatency)
		}
	}
	live := max(l.reports.peers.LiveReplicas, len(callsOf)) // those that are not heard call, too
	unheard := float64(live) / float64(len(callsOf))
	for _, server := range l.members.all {
		server.load.fleet.finish(unheard)
	}
	return len(callsOf)
}

// usableReports are the load reports that make sense, and the calls of each replica by them.
func (l *loads) usableReports(now moment) (reports []Report, callsOf map[string]float64) {
	callsOf = map[string]float64{}
	for report := range l.reports.all {
		if report.Kind == ReportServerLoad && report.LastObserved <= int64(now) &&
			report.LastObserved >= int64(now.add(-loadReportTTL)) && report.Calls > 0 &&
			report.BadFraction >= 0 && report.BadFraction <= 1 && report.Value >= 0 {
			reports = append(reports, report)
			callsOf[report.Observer] += min(report.Calls, maxReportedCalls)
		}
	}
	return reports, callsOf
}

// add adds a report, of whose calls the given part counts. Until finish the fields hold sums: failedFraction
// the failed calls, callsPerSecond the answered calls that have a latency, meanLatency their latencies in µs
// times these calls.
func (f *fleetLoad) add(report Report, part, medianLatency float64) {
	calls := part * min(report.Calls, maxReportedCalls)
	f.calls += calls
	f.failedFraction += calls * report.BadFraction
	if report.Value > 0 {
		least, most := medianLatency/maxLatencyDeviation, medianLatency*maxLatencyDeviation
		latency := min(max(report.Value, least), most)
		f.callsPerSecond += calls * (1 - report.BadFraction)
		f.meanLatency += calls * (1 - report.BadFraction) * latency
	}
}

// finish turns sums into means and a rate; liveToHeard is the ratio of all replicas to those that report.
func (f *fleetLoad) finish(liveToHeard float64) {
	f.meanLatency /= cmp.Or(f.callsPerSecond, 1)
	f.failedFraction /= cmp.Or(f.calls, 1)
	f.callsPerSecond = liveToHeard * f.calls * float64(seconds) / float64(loadDecay)
}

// upperMedian sorts the values and returns their median, the higher one of two.
func upperMedian(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
