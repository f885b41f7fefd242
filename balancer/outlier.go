package balancer

import (
	"cmp"
	"slices"
)

// Outlier detection: determines how healthy each server is from this replica's own calls, whether a failure
// is attributed to its server, and which servers are ejected because other replicas report them as unhealthy.
//
// Input: the outcomes of attempts, and the reports of all replicas. Output: a health score for each server
// and class. The weight of a server falls with its score, and below healthyScore the server gets trial
// requests only.

const (
	minHealthScore = 0.05 // lowest score, which still lets trial requests through
	healthyScore   = 0.5  // a server with a lower score gets trial requests only

	failureScoreFactor = 0.3 // factor of a score after a failure attributed to the server

	// healthGain is the weight of one attempt in an error rate, and the fraction of the lost score that a
	// success restores.
	healthGain = 0.25

	// tierErrorRateGain is the weight of one attempt in the error rate of all servers.
	tierErrorRateGain = 0.05

	// attributionRatio: a failure is attributed to a server whose error rate is more than this many times
	// that of all servers.
	attributionRatio = 2.0

	// maxAttributableErrorRate is the error rate of all servers above which failures are attributed to none.
	maxAttributableErrorRate = 0.75

	recentDecay          = 400 * milliseconds // time constant by which recent calls decay
	maxServerCalls       = 5.0                // recent calls of one server count as at most this many
	serverReportTTL      = 5 * seconds        // time after its latest call for which a server is reported
	unhealthyBadFraction = 0.5                // fraction of bad recent calls from which a server is unhealthy

	// An attempt that has been in flight for longer than unresponsiveAfterMeanLatencies mean latencies of its
	// class, and longer than minUnresponsiveAfter, counts as failed. Its timeout may come seconds later.
	unresponsiveAfterMeanLatencies, minUnresponsiveAfter = 3.0, 100 * milliseconds

	minUnhealthyVotes  = 2         // replicas that must report a server as unhealthy before it is ejected
	minBadCalls        = 3.0       // bad calls that these replicas must have seen in total
	maxCallsPerReport  = 10.0      // calls in the report of one replica count as at most this many
	maxEjectedFraction = 1.0 / 3.0 // of the tier's ready servers, and of those of each zone
)

// health is the health of a server by this replica's own calls, either all of them or those of one class.
type health struct {
	score     float64 // minHealthScore to 1: factor of the server's weight
	errorRate float64 // running fraction of failed attempts, 0 to 1
}

// record records an attempt; failed is 0 or 1. A failure is attributed to the server if its error rate is
// above tolerable.
func (h *health) record(failed, tolerable float64) (attributed bool) {
	h.errorRate += (failed - h.errorRate) * healthGain
	if failed == 0 {
		h.score += (1 - h.score) * healthGain
	} else if attributed = h.errorRate > tolerable; attributed {
		h.score = max(minHealthScore, h.score*failureScoreFactor)
	}
	return attributed
}

// tolerableErrorRate returns the error rate above which failures are attributed to a server; common is the
// error rate of all servers. The result is at most half-way between common and 1: where half of all attempts
// or more fail, no server could fail attributionRatio times as often.
func tolerableErrorRate(common float64) float64 {
	if common > maxAttributableErrorRate {
		return 1
	}
	return min(attributionRatio*common, (1+common)/2)
}

// serverReportSum aggregates the reports of the replicas on one server.
type serverReportSum struct {
	unhealthy, healthy int     // replicas that report the server as unhealthy, as healthy
	unhealthyByPeers   int     // other replicas among those counted in unhealthy
	badCalls           float64 // total in the reports of the server as unhealthy
	lastUnhealthyAt    moment  // when a replica last observed it as unhealthy
}

// outlierState is the outlier detection state of a server.
type outlierState struct {
	overall           health
	byClass           []health // by class number
	recent            callStats
	lastSuccessAt     moment          // when this replica last got an answer; 0: never
	peerFactor        float64         // 0 to 1: weight factor that follows from other replicas' reports
	reports           serverReportSum // as of the latest sumReports
	connectionRefused bool            // since the last success
}

// newOutlierState returns the state of a server without any recorded calls. classes is the number of classes.
func newOutlierState(classes int) outlierState {
	state := outlierState{overall: health{score: 1}, byClass: make([]health, classes), peerFactor: 1}
	for i := range state.byClass {
		state.byClass[i].score = 1
	}
	return state
}

// addClass adds a class without any recorded calls.
func (o *outlierState) addClass() { o.byClass = append(o.byClass, health{score: 1}) }

// resetClass resets the health for a class, or copies it from the class numbered *former unless former is
// nil.
func (o *outlierState) resetClass(number int, former *int) {
	o.byClass[number] = health{score: 1}
	if former != nil {
		o.byClass[number] = o.byClass[*former]
	}
}

// overallScore returns the health score for the calls of all classes together.
func (o *outlierState) overallScore() float64 { return o.overall.score * o.peerFactor }

// score returns the health score for the calls of a class.
func (o *outlierState) score(class int) float64 {
	return o.overall.score * o.byClass[class].score * o.peerFactor
}

// worstScore returns the lowest score of all classes by this replica's own calls.
func (o *outlierState) worstScore() float64 {
	worst := o.overall.score
	for _, class := range o.byClass {
		worst = min(worst, o.overall.score*class.score)
	}
	return worst
}

// isUnhealthy reports whether the server is unhealthy by this replica's own calls.
func (o *outlierState) isUnhealthy() bool {
	return o.recent.badFraction() >= unhealthyBadFraction ||
		o.overall.score < healthyScore && o.recent.lastBadAt > o.lastSuccessAt
}

// healthReport sets the kind, fault and time of a report on a server. ok is false if there is nothing to
// report: the server is healthy and no other replica reports it as unhealthy.
func (o *outlierState) healthReport(now moment, report *Report) (ok bool) {
	if o.isUnhealthy() {
		report.Kind, report.Fault = ReportServerUnhealthy, o.recent.fault
		report.LastObserved = int64(o.recent.lastBadAt)
		return true
	}
	report.Kind, report.Fault, report.LastObserved = ReportServerHealthy, NoFault, int64(o.lastSuccessAt)
	return o.reports.unhealthyByPeers > 0 && now.since(o.lastSuccessAt) <= serverReportTTL
}

// attemptOutlier is the outlier detection state of an attempt.
type attemptOutlier struct {
	countedUnresponsive bool // counted as failed before its end
}

// markUnresponsive records that an attempt has been counted as failed before its end.
func (a *attemptOutlier) markUnresponsive() { a.countedUnresponsive = true }

// faultOfStatus maps the status of an attempt to the fault that it shows at its server.
var faultOfStatus = [...]Fault{StatusOK: NoFault, StatusError: FaultErrors, StatusRejected: FaultSaturated,
	StatusTimedOut: FaultUnresponsive, StatusConnectFailed: FaultUnresponsive, StatusReset: FaultUnresponsive,
	StatusCancelled: FaultUnresponsive, StatusNotSent: FaultUnresponsive}

// outlierDetection holds the error rate of all servers. The state of each server is in server.outlier.
type outlierDetection struct {
	*shared
	members   *membership
	reports   *reportExchange
	errorRate float64 // running fraction of failed attempts over all servers, 0 to 1
}

// newOutlierDetection returns the outlier detection without any recorded calls.
func newOutlierDetection(common *shared, members *membership, reports *reportExchange) *outlierDetection {
	return &outlierDetection{shared: common, members: members, reports: reports}
}

// attribute records the outcome of an attempt in the health of its server and reports whether a failure is
// attributed to the server. A failure that is as common at other servers comes from a tier behind them and is
// attributed to none. A refused connection is always attributed to the server, since a zone that is lost
// refuses connections at all its servers. An error or a rejection affects the health for the class only, so
// that a server that fails one class keeps the others. A missing response affects the health for all classes.
func (d *outlierDetection) attribute(server *server, class int, status Status) (attributed bool) {
	state, failed := &d.classes[class], indicator(status != StatusOK)
	d.errorRate += (failed - d.errorRate) * tierErrorRateGain
	state.errorRate += (failed - state.errorRate) * tierErrorRateGain
	if status == StatusConnectFailed {
		attributed = server.outlier.overall.record(failed, 0)
	} else if status != StatusError {
		attributed = server.outlier.overall.record(failed, tolerableErrorRate(d.errorRate))
	}
	if status == StatusError || status == StatusRejected || status == StatusOK {
		attributedInClass := server.outlier.byClass[class].record(failed, tolerableErrorRate(state.errorRate))
		attributed = attributedInClass || attributed
	}
	return attributed
}

// recordConnection records from the outcome of an attempt whether the server refuses connections.
func (o *outlierState) recordConnection(status Status) {
	o.connectionRefused = status == StatusConnectFailed || status != StatusOK && o.connectionRefused
}

// recordAnswer records an answer of the server. It overrides the reports of other replicas until these are
// renewed.
func (o *outlierState) recordAnswer() { o.peerFactor = 1 }

// recordCall records the outcome of an attempt, or that a response is overdue, as evidence for reports. An
// attempt that was counted as unresponsive before its end is not counted again.
func (o *outlierState) recordCall(now moment, attempt *attempt, fault Fault) {
	if fault == NoFault {
		o.lastSuccessAt = now
	}
	if !attempt.outlier.countedUnresponsive {
		o.recent.record(now, recentDecay, maxServerCalls, fault)
	} else if fault == NoFault {
		o.recent.retractBad()
	}
}

// isUnresponsive reports whether an attempt has been in flight for far longer than the calls of its class
// take.
func (d *outlierDetection) isUnresponsive(now moment, class int, attempt *attempt) bool {
	longest := max(minUnresponsiveAfter, span(unresponsiveAfterMeanLatencies*d.classes[class].latency.mean))
	return attempt.pending && attempt.admission.counted && !attempt.responseStarted &&
		!attempt.outlier.countedUnresponsive && now.since(attempt.sentAt) > longest
}

// sumReports aggregates the reports of all replicas on each server. A server may appear unresponsive because
// of the network path to it, so reports of that fault count only from replicas in this zone.
func (d *outlierDetection) sumReports(now moment) {
	for _, server := range d.members.all {
		server.outlier.reports = serverReportSum{}
	}
	for report := range d.reports.all {
		server := d.members.byID[report.Server]
		if report.Kind != ReportServerUnhealthy && report.Kind != ReportServerHealthy || server == nil ||
			!sameProcess(server, report) ||
			report.Fault == FaultUnresponsive && report.ObserverZone != d.settings.Zone {
			continue
		}
		sum := &server.outlier.reports
		if report.Kind == ReportServerHealthy {
			sum.healthy++
			continue
		}
		sum.unhealthy++
		sum.unhealthyByPeers += int(indicator(report.Observer != ""))
		sum.badCalls += bounded(report.Calls, maxCallsPerReport) * bounded(report.BadFraction, 1)
		sum.lastUnhealthyAt = max(sum.lastUnhealthyAt, min(moment(report.LastObserved), now))
	}
}

// clearEjections resets the effect of other replicas' reports on the weights of the ready servers.
func (d *outlierDetection) clearEjections() {
	for _, server := range d.members.ready {
		server.outlier.peerFactor = 1
	}
}

// reportedUnhealthy returns the ready servers that enough replicas report as unhealthy, those with the most
// bad calls first. A later answer to this replica outweighs the reports.
func (d *outlierDetection) reportedUnhealthy(now moment) (unhealthy []*server) {
	d.sumReports(now)
	votes := min(minUnhealthyVotes, d.reports.peers.LiveReplicas-1)
	for _, server := range d.members.ready {
		state := &server.outlier
		sum := &state.reports
		if sum.unhealthyByPeers > 0 && sum.unhealthy >= votes && sum.unhealthy > sum.healthy &&
			sum.badCalls >= minBadCalls && state.lastSuccessAt <= sum.lastUnhealthyAt {
			unhealthy = append(unhealthy, server)
		}
	}
	slices.SortFunc(unhealthy, func(x, y *server) int {
		byCalls := cmp.Compare(y.outlier.reports.badCalls, x.outlier.reports.badCalls)
		return cmp.Or(byCalls, cmp.Compare(x.ID, y.ID))
	})
	return unhealthy
}

// eject reduces these servers to trial requests, as far as the budget allows. Damped servers are skipped,
// since they have a fixed weight.
func (d *outlierDetection) eject(unhealthy []*server, budget *removalBudget) {
	for _, server := range unhealthy {
		if !server.damping.active && budget.take(server.Zone) {
			server.outlier.peerFactor = minHealthScore
		}
	}
}

// ejected returns the IDs of the ready servers that are reduced to trial requests by the reports of other
// replicas.
func (d *outlierDetection) ejected() (ids []string) {
	for _, server := range d.members.ready {
		if server.outlier.peerFactor < healthyScore {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// removalBudget is the number of ready servers that ejection and flap damping together may still take out of
// use, in the tier and in each zone.
type removalBudget struct {
	left    int         // in the tier
	removed map[int]int // by zone
	ready   map[int]int // servers by zone
}

// newRemovalBudget returns the unused budget for the ready servers.
func newRemovalBudget(ready []*server) *removalBudget {
	budget := &removalBudget{left: maxRemoved(len(ready)), removed: map[int]int{}, ready: map[int]int{}}
	for _, server := range ready {
		budget.ready[server.Zone]++
	}
	return budget
}

// take uses one unit of the budget for a server of a zone. It returns false if the budget is used up.
func (b *removalBudget) take(zone int) bool {
	if b.left <= 0 || b.removed[zone] >= maxRemoved(b.ready[zone]) {
		return false
	}
	b.left, b.removed[zone] = b.left-1, b.removed[zone]+1
	return true
}

// limitTo reduces the remaining budget of the tier to the fraction part/whole.
func (b *removalBudget) limitTo(part, whole int) { b.left = b.left * part / whole }

// maxRemoved returns how many of the given number of ready servers may be taken out of use: at least one, but
// never the only one.
func maxRemoved(ready int) int { return min(ready-1, max(1, int(maxEjectedFraction*float64(ready)))) }
