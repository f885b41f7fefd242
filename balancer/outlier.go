package balancer

import (
	"cmp"
	"slices"
)

const (
	lateFraction            = 0.8 // of the aim: slower finishes count against the tier and the class
	slowFraction            = 0.6 // of the aim: slower finishes press the shares, in time to mend what is late next
	saturatedLatencyRatio   = 1.6 // of the time under little load: slower finishes press the shares too
	overloadedQuotaMultiple = 0.8 // but not below this multiple, since load is then not what makes them slow
	preemptionRatio         = 1.5 // a class yields to one that is worth more than this many times as much for its work

	initialGuessCalls        = 4.0  // finishes that a fresh copy's first guess at a mean is worth
	minHealthScore           = 0.05 // health left to a failing server, for trials
	attributionRatio         = 2.0  // a server is to blame when it fails this many times as often as all
	maxAttributableErrorRate = 0.75 // of all calls: where more fail, no server is blamed

	failureScoreFactor, healthGain = 0.3, 0.25 // health kept after an own failure; part of the loss a success mends

	slownessGain, maxLatencyRatio = 0.1, 5.0 // how far a finish moves a slowness, and what it says at most, in means

	minMeanGain, minUnloadedGain = 0.05, 0.001 // of means of time and errors; of time under little load, upwards only

	minSpillover, startSpillover = 0.02, 0.3 // weight of other zones while home copes; at a fresh copy of the front

	spilloverIncrease, spilloverDecay = 0.15, 0.9 // added after a round in which home was slow, a factor after a good one

)

// judge updates a server's health and tells whether a failure is its own. One that its peers show as well is
// a deeper tier's and held against the counts; a refused connection never is, lest a lost zone be one. An
// error concerns its class only, lest servers that fail one class be lost to all; silence the whole server.
func (b *Balancer) judge(s *server, class int, status Status) (blame bool) {
	c, x := &b.classes[class], indicator(status != StatusOK)
	b.errs += (x - b.errs) * minMeanGain
	c.errorRate += (x - c.errorRate) * minMeanGain
	if status == StatusConnectFailed {
		blame = s.whole.record(x, 0)
	} else if status != StatusError {
		blame = s.whole.record(x, tolerableErrorRate(b.errs))
	}
	if status == StatusError || status == StatusRejected || status == StatusOK {
		blame = s.classes[class].record(x, tolerableErrorRate(c.errorRate)) || blame
	}
	return blame
}

// usual is the part of failed calls that a server may show unblamed when so many of all fail: twice that, or
// less from a half on, where it would be out of reach. Where most calls fail it is no server's own.
func tolerableErrorRate(errs float64) float64 {
	if errs > maxAttributableErrorRate {
		return 1
	}
	return min(attributionRatio*errs, (1+errs)/2)
}

// judge blames a failure where failures are more than a usual part.
func (h *health) record(x, usual float64) (blame bool) {
	h.errorRate += (x - h.errorRate) * healthGain
	if x == 0 {
		h.score += (1 - h.score) * healthGain
	} else if blame = h.errorRate > usual; blame {
		h.score = max(minHealthScore, h.score*failureScoreFactor)
	}
	return blame
}

// health is what is left of a server's weight, and its running part of failed calls.
type health struct{ score, errorRate float64 }

// quiet tells whether a call is out for far longer than calls take. A time-out may come seconds later.
func (b *Balancer) quiet(now int64, class int, a *attempt) bool {
	return now-a.sentAt > max(minSilentAfter, int64(silentAfterMeans*b.classes[class].mean))
}

func (s *server) isUnhealthy() bool {
	return s.seen.badFraction() >= unhealthyBadFraction || s.whole.score < healthyScore && s.seen.lastBadAt > s.okAt
}

// says is what this copy says of a server, if anything: that it is bad, or healthy where others call it bad.
func (s *server) healthReport(now int64) (kind ReportKind, cause Fault, at int64, ok bool) {
	if s.isUnhealthy() {
		return ReportServerUnhealthy, s.seen.fault, s.seen.lastBadAt, true
	}
	return ReportServerHealthy, NoFault, s.okAt, s.verdict.unhealthyByPeers > 0 && now-s.okAt <= serverReportTTL
}

// verdict is what copies say of a server: how many call it bad or healthy, on what evidence and when.
type serverReports struct {
	unhealthy, healthy int
	unhealthyByPeers   int // of bad
	badCalls           float64
	lastUnhealthyAt    int64
}

// sumServers gathers the verdicts of all copies on each server.
func (b *Balancer) sumServers(now int64, counts func(Report) bool, most float64) {
	for _, s := range b.all {
		s.verdict = serverReports{}
	}
	for n := range b.notices {
		s := b.byID[n.Server]
		if n.Kind != ReportServerUnhealthy && n.Kind != ReportServerHealthy || s == nil || !sameProcess(s, n) || !counts(n) {
			continue
		}
		v := &s.verdict
		if n.Kind == ReportServerHealthy {
			v.healthy++
			continue
		}
		v.unhealthy++
		v.unhealthyByPeers += int(indicator(n.Observer != ""))
		v.badCalls += bounded(n.Calls, most) * bounded(n.BadFraction, 1)
		v.lastUnhealthyAt = max(v.lastUnhealthyAt, min(n.LastObserved, now))
	}
}

// condemn leaves trials at most to servers that enough copies call bad, the worst first, within the budget.
// What this copy was answered since tells more. Silence is told of a way: only that of its own zone counts.
func (b *Balancer) condemn(now int64) {
	b.sumServers(now, func(n Report) bool { return n.Fault != FaultUnresponsive || n.ObserverZone == b.s.Zone }, maxCallsPerReport)
	var bad []*server
	in := map[int]int{}
	for _, s := range b.ready {
		v := &s.verdict
		s.told = 1
		in[s.Zone]++
		if v.unhealthyByPeers > 0 && v.unhealthy >= min(minUnhealthyVotes, b.peers.LiveReplicas-1) && v.unhealthy > v.healthy &&
			v.badCalls >= minBadCalls && s.okAt <= v.lastUnhealthyAt {
			bad = append(bad, s)
		}
	}
	slices.SortFunc(bad, func(x, y *server) int {
		return cmp.Or(cmp.Compare(y.verdict.badCalls, x.verdict.badCalls), cmp.Compare(x.ID, y.ID))
	})
	left, out := b.damp(now)
	for _, s := range bad {
		if !s.damped && left > 0 && out[s.Zone] < ejectionBudget(in[s.Zone]) {
			left, out[s.Zone], s.told = left-1, out[s.Zone]+1, minHealthScore
		}
	}
}

// budget is how many of so many servers verdicts may take out: never the only one.
func ejectionBudget(ready int) int {
	return min(ready-1, max(1, int(maxEjectedFraction*float64(ready))))
}

// causeOf is how an attempt that ended so counts as evidence on its server.
var faultOfStatus = [...]Fault{StatusOK: NoFault, StatusError: FaultErrors, StatusRejected: FaultSaturated, StatusTimedOut: FaultUnresponsive,
	StatusConnectFailed: FaultUnresponsive, StatusReset: FaultUnresponsive, StatusCancelled: FaultUnresponsive, StatusNotSent: FaultUnresponsive}

const (
	recentDecay, longTermDecay = 2 * second / 5, 2 * second // evidence fades over this; that of trials over that

	zoneStatsTTL, trialStatsTTL = second, 4 * second // evidence on a zone is told so long after a call, or a trial

	serverReportTTL      = 5 * second // evidence on a server is told for so long after the latest call
	maxServerCalls       = 5.0        // evidence on a server is that of about its last so many calls
	unhealthyBadFraction = 0.5        // part of bad calls from which a server is called bad

	maxCallsPerReport  = 10.0      // calls of one copy count as no more than this
	maxEjectedFraction = 1.0 / 3.0 // of a tier's or a zone's ready servers: verdicts take out no more

	ownLinkMinServers, ownLinkBadFraction = 3, 0.6 // bad ones, over two zones, and their part of all: it is the link

	silentAfterMeans, minSilentAfter = 3.0, second / 10 // a call out for so many mean times, and so long, is bad

	minUnhealthyVotes, minBadCalls = 2, 3.0 // copies that must call a server bad, and the bad calls they saw
)
