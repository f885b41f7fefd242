package balancer

import (
	"cmp"
	"slices"
)

// Outlier detection: how healthy each server is by this replica's own calls, whom a failure is attributed
// to, and which servers are ejected because other replicas report them as unhealthy.
//
// Input: the ends of attempts, and the reports of all replicas. Output: a health score for each server and
// class, by which its weight falls and below which it gets trials only.

const (
	minHealthScore = 0.05 // what a failing server keeps, for trials
	healthyScore   = 0.5  // a server below it gets trials only

	failureScoreFactor = 0.3  // of a score after an attributed failure
	healthGain         = 0.25 // what one attempt counts in an error rate, and a success mends of a lost score
	minErrorRateGain   = 0.05 // what one attempt counts in the error rate of all servers

	attributionRatio         = 2.0  // a failure is a server's own if it fails this many times as often as all
	maxAttributableErrorRate = 0.75 // of all servers: where more fails, it is nobody's own

	recentDecay          = 400 * milliseconds // recent calls fade with this time constant
	maxServerCalls       = 5.0                // recent calls of a server count as no more than these
	serverReportTTL      = 5 * seconds        // a server is reported for so long after its latest call
	unhealthyBadFraction = 0.5                // of its recent calls: the server is unhealthy

	// An attempt that has been in flight for so many mean latencies, and for so long, counts as
	// failed. Its timeout may come seconds later.
	silentAfterMeans, minSilentAfter = 3.0, 100 * milliseconds

	minUnhealthyVotes  = 2         // replicas that have to report a server as unhealthy
	minBadCalls        = 3.0       // that they have to have seen together
	maxCallsPerReport  = 10.0      // calls of one replica count as no more
	maxEjectedFraction = 1.0 / 3.0 // of the tier's ready servers, and of each zone's
)

// health is what this replica's own calls show of a server, for all calls or those of a class.
type health struct {
	score     float64 // minHealthScore to 1: what is left of its weight
	errorRate float64 // running fraction of failed attempts, 0 to 1
}

// record takes an attempt, failed 0 or 1. A failure is attributed to the server where its error rate is above
// tolerable.
func (h *health) record(failed, tolerable float64) (attributed bool) {
	h.errorRate += (failed - h.errorRate) * healthGain
	if failed == 0 {
		h.score += (1 - h.score) * healthGain
	} else if attributed = h.errorRate > tolerable; attributed {
		h.score = max(minHealthScore, h.score*failureScoreFactor)
	}
	return attributed
}

// tolerableErrorRate is the error rate that a server may have, given that of all servers, before failures are
// attributed to it. From a half on twice the common rate would be out of reach.
func tolerableErrorRate(common float64) float64 {
	if common > maxAttributableErrorRate {
		return 1
	}
	return min(attributionRatio*common, (1+common)/2)
}

// serverReportSum sums up what the replicas report of a server.
type serverReportSum struct {
	unhealthy, healthy int     // replicas that call it so
	unhealthyByPeers   int     // those of unhealthy that are other replicas
	badCalls           float64 // that they have seen
	lastUnhealthyAt    moment  // when one last saw it unhealthy
}

// outlierState is what outlier detection knows of a server.
type outlierState struct {
	overall           health
	byClass           []health // by class number
	recent            callStats
	lastSuccessAt     moment          // when this replica last had an answer; 0: never
	peerFactor        float64         // 0 to 1: what the reports of others leave of its weight
	reports           serverReportSum // of all replicas now
	connectionRefused bool            // since the last success
}

// newOutlierState is the state of a server of which nothing is known, for so many classes.
func newOutlierState(classes int) outlierState {
	state := outlierState{overall: health{score: 1}, byClass: make([]health, classes), peerFactor: 1}
	for i := range state.byClass {
		state.byClass[i].score = 1
	}
	return state
}

// addClass makes room for one class more.
func (o *outlierState) addClass() { o.byClass = append(o.byClass, health{score: 1}) }

// resetClass begins a class anew, or with what is known of the class number former; nil if there is none.
func (o *outlierState) resetClass(number int, former *int) {
	o.byClass[number] = health{score: 1}
	if former != nil {
		o.byClass[number] = o.byClass[*former]
	}
}

// overallScore is the health score for all calls together.
func (o *outlierState) overallScore() float64 { return o.overall.score * o.peerFactor }

// score is the health score for the calls of a class.
func (o *outlierState) score(class int) float64 {
	return o.overall.score * o.byClass[class].score * o.peerFactor
}

// worstScore is the least score by this replica's own calls, over the classes.
func (o *outlierState) worstScore() float64 {
	worst := o.overall.score
	for _, class := range o.byClass {
		worst = min(worst, o.overall.score*class.score)
	}
	return worst
}

// isUnhealthy reports whether this replica finds the server unhealthy.
func (o *outlierState) isUnhealthy() bool {
	return o.recent.badFraction() >= unhealthyBadFraction ||
		o.overall.score < healthyScore && o.recent.lastBadAt > o.lastSuccessAt
}

// healthReport completes a report with what this replica finds of a server. ok is false if it has nothing to
// report: the server is healthy and no other replica calls it unhealthy.
func (o *outlierState) healthReport(now moment, report *Report) (ok bool) {
	if o.isUnhealthy() {
		report.Kind, report.Fault = ReportServerUnhealthy, o.recent.fault
		report.LastObserved = int64(o.recent.lastBadAt)
		return true
	}
	report.Kind, report.Fault, report.LastObserved = ReportServerHealthy, NoFault, int64(o.lastSuccessAt)
	return o.reports.unhealthyByPeers > 0 && now.since(o.lastSuccessAt) <= serverReportTTL
}

// attemptOutlier is what outlier detection keeps of an attempt.
type attemptOutlier struct {
	reportedSilent bool // it counted as failed before its end
}

// markUnresponsive records that an attempt has counted as failed before its end.
func (a *attemptOutlier) markUnresponsive() { a.reportedSilent = true }

// faultOfStatus is how an attempt that ended so counts as evidence on its server.
var faultOfStatus = [...]Fault{StatusOK: NoFault, StatusError: FaultErrors, StatusRejected: FaultSaturated,
	StatusTimedOut: FaultUnresponsive, StatusConnectFailed: FaultUnresponsive, StatusReset: FaultUnresponsive,
	StatusCancelled: FaultUnresponsive, StatusNotSent: FaultUnresponsive}

// outlierDetection holds the error rate of all servers; what it knows of each is in server.outlier.
type outlierDetection struct {
	*shared
	members   *membership
	reports   *reportExchange
	errorRate float64 // running fraction of failed attempts over all servers, 0 to 1
}

func newOutlierDetection(common *shared, members *membership, reports *reportExchange) *outlierDetection {
	return &outlierDetection{shared: common, members: members, reports: reports}
}

// attribute takes the end of an attempt into the health of its server and reports whether a failure is the
// server's own. One that the other servers show alike comes from a tier behind them. A refused connection
// always is the server's own: a zone that is lost refuses at all its servers. An error or a rejection
// concerns the class only, so that servers that fail one class keep the others; no response concerns the
// whole server.
func (d *outlierDetection) attribute(server *server, class int, status Status) (attributed bool) {
	state, failed := &d.classes[class], indicator(status != StatusOK)
	d.errorRate += (failed - d.errorRate) * minErrorRateGain
	state.errorRate += (failed - state.errorRate) * minErrorRateGain
	if status == StatusConnectFailed {
		attributed = server.outlier.overall.record(failed, 0)
	} else if status != StatusError {
		attributed = server.outlier.overall.record(failed, tolerableErrorRate(d.errorRate))
	}
	if status == StatusError || status == StatusRejected || status == StatusOK {
		own := server.outlier.byClass[class].record(failed, tolerableErrorRate(state.errorRate))
		attributed = own || attributed
	}
	return attributed
}

// recordConnection takes the end of an attempt as evidence on whether a server accepts connections.
func (o *outlierState) recordConnection(status Status) {
	o.connectionRefused = status == StatusConnectFailed || status != StatusOK && o.connectionRefused
}

// recordAnswer records an answer of the server: reports of others count again when they are renewed.
func (o *outlierState) recordAnswer() { o.peerFactor = 1 }

// recordCall takes the end of an attempt, or that there was none for too long, as evidence to report. One
// that was counted as unresponsive before its end counts once.
func (o *outlierState) recordCall(now moment, attempt *attempt, fault Fault) {
	if fault == NoFault {
		o.lastSuccessAt = now
	}
	if !attempt.outlier.reportedSilent {
		o.recent.record(now, recentDecay, maxServerCalls, fault)
	} else if fault == NoFault {
		o.recent.retractBad()
	}
}

// isUnresponsive reports whether an attempt has been in flight for far longer than calls of its class take.
func (d *outlierDetection) isUnresponsive(now moment, class int, attempt *attempt) bool {
	longest := max(minSilentAfter, span(silentAfterMeans*d.classes[class].latency.mean))
	return attempt.pending && attempt.admission.counted && !attempt.responseStarted &&
		!attempt.outlier.reportedSilent && now.since(attempt.sentAt) > longest
}

// sumReports sums up the reports of all replicas on each server. That a server doesn't respond may be due to
// the way to it: of such reports only those of this zone count.
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

// clearEjections takes back what the reports of others left of the servers' weights.
func (d *outlierDetection) clearEjections() {
	for _, server := range d.members.ready {
		server.outlier.peerFactor = 1
	}
}

// reportedUnhealthy returns the ready servers that enough replicas call unhealthy, the worst first. What this
// replica was answered since counts more than the reports.
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

// eject leaves trials only to these servers, as far as the budget goes. One that flaps has its steady weight.
func (d *outlierDetection) eject(unhealthy []*server, budget *removalBudget) {
	for _, server := range unhealthy {
		if !server.damping.active && budget.take(server.Zone) {
			server.outlier.peerFactor = minHealthScore
		}
	}
}

// ejected are the IDs of the ready servers that get trials only by the reports of others.
func (d *outlierDetection) ejected() (ids []string) {
	for _, server := range d.members.ready {
		if server.outlier.peerFactor < healthyScore {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// removalBudget is how many ready servers ejection and flap damping may take out together, in the tier and in
// each zone.
type removalBudget struct {
	left    int         // in the tier
	removed map[int]int // by zone
	ready   map[int]int // servers by zone
}

func newRemovalBudget(ready []*server) *removalBudget {
	budget := &removalBudget{left: maxRemoved(len(ready)), removed: map[int]int{}, ready: map[int]int{}}
	for _, server := range ready {
		budget.ready[server.Zone]++
	}
	return budget
}

// take uses the budget for a server of a zone; false if it is used up.
func (b *removalBudget) take(zone int) bool {
	if b.left <= 0 || b.removed[zone] >= maxRemoved(b.ready[zone]) {
		return false
	}
	b.left, b.removed[zone] = b.left-1, b.removed[zone]+1
	return true
}

// limitTo reduces the tier's budget to a part of a whole.
func (b *removalBudget) limitTo(part, whole int) { b.left = b.left * part / whole }

// maxRemoved is how many of so many servers may be taken out: never the only one.
func maxRemoved(ready int) int { return min(ready-1, max(1, int(maxEjectedFraction*float64(ready)))) }
