package balancer

import (
	"cmp"
	"math"
	"slices"
)

// Load reports: how much load each server gets and how long its calls take, by the calls of this replica and
// by those of all replicas.
//
// Input: the ends of attempts, and the load reports of all replicas. Output: this replica's reports, and for
// each server the rate, failures and mean latency of the calls of all replicas, which weight tuning uses.

const (
	loadDecay          = 4 * seconds // time constant with which calls fade
	loadReportInterval = 1 * seconds // between two reports of this replica
	loadReportTTL      = 5 * seconds // older reports, and servers whose latest call is older, are ignored

	maxReplicaCallsRatio = 2.0 // calls of one replica are capped at this multiple of the median over replicas
	maxLatencyDeviation  = 4.0 // factor: latencies further than this from the median are clamped

	maxReportedCalls = 1e9 // calls of one report are capped at this
)

// loadState holds what is known of a server's load.
type loadState struct {
	recent loadStats // this replica's calls
	fleet  fleetLoad // all replicas' calls
}

// loadStats holds decaying sums over this replica's latest calls to a server.
type loadStats struct {
	calls, failed   float64
	weight          float64 // sum of the priority weights of the answered calls
	weightedLatency float64 // sum of their latencies, in µs, each times its priority weight
	lastAt          moment  // time of the latest update; 0: no call yet
}

// decay reduces the sums by the time that has passed since the latest update.
func (l *loadStats) decay(now moment) {
	keep := math.Exp(-float64(now.since(l.lastAt)) / float64(loadDecay))
	l.calls, l.failed = keep*l.calls, keep*l.failed
	l.weight, l.weightedLatency = keep*l.weight, keep*l.weightedLatency
	l.lastAt = now
}

// fleetLoad is the load of a server by the reports of all replicas.
type fleetLoad struct {
	callsPerSecond float64
	calls          float64 // number of calls that the other values are based on
	failedFraction float64 // 0 to 1
	meanLatency    float64 // mean latency of the answered calls, in µs; 0: none
}

// loadTracker holds this replica's load reports, and the latency to which those of all classes are scaled.
type loadTracker struct {
	*shared
	members *membership
	reports *reportExchange

	latest     []Report // latest reports of this replica
	reportedAt moment   // when they were made; 0: never

	typicalLatency float64 // mean unloaded latency over the answered calls of all classes, in µs
	successes      float64 // number of answered calls
}

func newLoadTracker(common *shared, members *membership, reports *reportExchange) *loadTracker {
	return &loadTracker{shared: common, members: members, reports: reports}
}

// record updates a server's load with the end of an attempt. Latencies are scaled to a typical class;
// otherwise a server would look fast only because it got calls of a fast class. record returns the latency as
// a multiple of the unloaded latency of its class; ok is false if the attempt failed.
func (l *loadTracker) record(now moment, server *server, class int, outcome Outcome) (relative float64,
	ok bool) {
	load := &server.load.recent
	load.decay(now)
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

// loadReports returns this replica's reports. They stay the same for loadReportInterval, since each change
// has to be sent to all replicas.
func (l *loadTracker) loadReports(now moment) []Report {
	if l.settings.DisableWeightTuning || now.since(l.reportedAt) < loadReportInterval && l.reportedAt != 0 {
		return l.latest
	}
	l.reportedAt, l.latest = now, nil
	for _, server := range l.members.all {
		load := &server.load.recent
		if load.lastAt == 0 || now.since(load.lastAt) > loadReportTTL {
			continue
		}
		load.decay(now)
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

// sumReports sums up the reports of all replicas on each server. It returns how many replicas reported; 0 if
// no report has a latency. Reports with invalid numbers are ignored and extreme values are capped, so that no
// single replica moves the sums much.
func (l *loadTracker) sumReports(now moment) (replicas int) {
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
			countedFraction := min(1, maxCalls/callsOf[report.Observer])
			server.load.fleet.add(report, countedFraction, medianLatency)
		}
	}
	live := max(l.reports.peers.LiveReplicas, len(callsOf)) // replicas without a report send calls, too
	liveToReporting := float64(live) / float64(len(callsOf))
	for _, server := range l.members.all {
		server.load.fleet.finish(liveToReporting)
	}
	return len(callsOf)
}

// usableReports returns the valid and recent load reports, and the number of calls that each replica reports
// in them.
func (l *loadTracker) usableReports(now moment) (reports []Report, callsOf map[string]float64) {
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

// add adds a report; countedFraction, 0 to 1, is the fraction of its calls that counts. Until finish is
// called the fields hold sums: failedFraction the failed calls, callsPerSecond the answered calls with a
// latency, and meanLatency their latencies, in µs, times these calls.
func (f *fleetLoad) add(report Report, countedFraction, medianLatency float64) {
	calls := countedFraction * min(report.Calls, maxReportedCalls)
	f.calls += calls
	f.failedFraction += calls * report.BadFraction
	if report.Value > 0 {
		least, most := medianLatency/maxLatencyDeviation, medianLatency*maxLatencyDeviation
		latency := min(max(report.Value, least), most)
		f.callsPerSecond += calls * (1 - report.BadFraction)
		f.meanLatency += calls * (1 - report.BadFraction) * latency
	}
}

// finish turns the sums into means and a rate; liveToReporting is the ratio of live replicas to those that
// report.
func (f *fleetLoad) finish(liveToReporting float64) {
	f.meanLatency /= cmp.Or(f.callsPerSecond, 1)
	f.failedFraction /= cmp.Or(f.calls, 1)
	f.callsPerSecond = liveToReporting * f.calls * float64(seconds) / float64(loadDecay)
}

// upperMedian sorts the values and returns their median; of an even number of values, the higher middle one.
func upperMedian(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}
