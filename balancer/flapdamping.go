package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// Flap damping: servers that keep changing between unhealthy and healthy, or leave the endpoint list and come
// back, get a small fixed weight until they are stable. Each removal and return would move load, cost
// handshakes and cause the next change elsewhere, which does more harm than the server itself.
//
// Input: flaps, that is, changes of a server from healthy to down or back, as this replica observes them and
// other replicas report them. Output: which ready servers are damped.

const (
	penaltyHalfLife = 20 * seconds // time in which a penalty halves; each flap adds 1 to it
	maxPenalty      = 5.0          // bounds damping to 2.4 half-lives after the last flap

	dampingThreshold = 2.2          // damping begins above it: at the third flap if 10 s apart or less
	reuseThreshold   = 1.0          // damping ends below it
	maxDamping       = 60 * seconds // longest damping; the next flap may start it again
	dampedWeight     = 0.1          // health score of a damped server

	flapVoteWindow   = 2 * seconds // observations of several replicas within this time are one flap
	maxRequiredVotes = 3           // replicas that must observe a flap; fewer where few are alive

	// downScore is the health score at which, and below which, a server is down. Two failures lead to it.
	downScore = 0.1

	// recoveredBadFraction is the highest fraction of bad recent calls at which a server counts as recovered.
	recoveredBadFraction = 0.2

	flapReportTTL   = 10 * seconds // time for which a flap is reported
	observedFlapTTL = 60 * seconds // time for which an observed flap is kept, to recognize the next one

	maxFlapRecords     = 4096        // flap records kept
	dampingLogInterval = 1 * seconds // minimum time between two log events
)

// faultDelisted is the fault of a server that went down by leaving the endpoint list. It is never reported to
// other replicas.
const faultDelisted Fault = -1

// dampingState is the flap damping state of a server.
type dampingState struct {
	active bool   // damped: it has a fixed weight
	since  moment // when damping began; valid while active
}

// requiredFlapVotes returns how many replicas must observe a flap, given the number of live replicas. One is
// not enough where there are several, since its own network link may be at fault.
func requiredFlapVotes(liveReplicas int) int { return min(maxRequiredVotes, 1+liveReplicas/4) }

// flapVote is one replica's latest observation of a change from the state after the last counted flap.
type flapVote struct {
	observer string
	seenAt   moment
}

// flapObservation is a flap of a server process as one replica observed it.
type flapObservation struct {
	server    string // server ID
	startTime moment // start of the process, by the clock of the endpoint list
	down      bool   // true: the server went down; false: it recovered
	vote      flapVote
}

// flapRecord counts the flaps of one server. Flaps alternate between down and recovered: an observation of
// the state that the latest counted flap led to is a late report of that flap.
type flapRecord struct {
	startTime   moment     // start of the server process; another process gets a new record
	down        bool       // state after the latest counted flap
	lastFlapAt  moment     // when a replica observed that flap
	votes       []flapVote // for the next flap
	penalty     float64    // as of penaltyAt
	penaltyAt   moment
	dampedSince moment // 0: not damped
	newFlap     bool   // a flap was counted since the latest updateDamped
}

// addVote records a replica's vote for a flap and reports whether this vote makes the flap count.
func (r *flapRecord) addVote(now moment, down bool, vote flapVote, required int) bool {
	if down == r.down || vote.seenAt <= r.lastFlapAt || vote.seenAt > now {
		return false
	}
	r.votes = slices.DeleteFunc(r.votes, func(former flapVote) bool {
		return former.observer == vote.observer || vote.seenAt.since(former.seenAt) > flapVoteWindow
	})
	if r.votes = append(r.votes, vote); len(r.votes) < required {
		return false
	}
	r.down, r.lastFlapAt, r.votes = down, vote.seenAt, nil
	r.penalty, r.penaltyAt, r.newFlap = min(r.currentPenalty(now)+1, maxPenalty), now, true
	return true
}

// currentPenalty returns the penalty as of now, from 0 to maxPenalty.
func (r *flapRecord) currentPenalty(now moment) float64 {
	return r.penalty * math.Exp2(-float64(now.since(r.penaltyAt))/float64(penaltyHalfLife))
}

// isStale reports whether the server has been stable for so long that its record may be discarded.
func (r *flapRecord) isStale(now moment) bool {
	return r.currentPenalty(now) < reuseThreshold/2 && now.since(r.lastFlapAt) > penaltyHalfLife
}

// updateDamped starts or ends damping and reports whether the server is damped now.
func (r *flapRecord) updateDamped(now moment) bool {
	penalty := r.currentPenalty(now)
	if r.dampedSince != 0 && (penalty < reuseThreshold || now.since(r.dampedSince) >= maxDamping) {
		r.dampedSince = 0
	} else if r.dampedSince == 0 && r.newFlap && penalty > dampingThreshold {
		r.dampedSince = now
	}
	r.newFlap = false
	return r.dampedSince != 0
}

// flapRecords holds one record for each server that has flapped. Its zero value is ready for use.
type flapRecords struct{ byID map[string]*flapRecord }

// recordFlap records one replica's observation of a flap and reports whether the flap counts with it.
func (f *flapRecords) recordFlap(now moment, seen flapObservation, required int) bool {
	record := f.byID[seen.server]
	same := record != nil && sameStartTime(seen.startTime, record.startTime)
	if record == nil || seen.startTime > record.startTime && !same {
		if f.removeStale(now); record == nil && len(f.byID) >= maxFlapRecords || !seen.down {
			return false // a record begins with a server that goes down
		}
		record = &flapRecord{startTime: seen.startTime, lastFlapAt: seen.vote.seenAt.add(-flapVoteWindow),
			penaltyAt: now}
		if f.byID == nil {
			f.byID = map[string]*flapRecord{}
		}
		f.byID[seen.server], same = record, true
	}
	return same && record.addVote(now, seen.down, seen.vote, required)
}

// dampedSince reports whether a server process has to be damped now, and since when.
func (f *flapRecords) dampedSince(now moment, id string, startTime moment) (since moment, damped bool) {
	record := f.byID[id]
	if record == nil || !sameStartTime(record.startTime, startTime) {
		return 0, false
	}
	damped = record.updateDamped(now)
	return record.dampedSince, damped
}

// removeStale discards the records of servers that have been stable for long enough.
func (f *flapRecords) removeStale(now moment) {
	for id, record := range f.byID {
		if record.isStale(now) {
			delete(f.byID, id)
		}
	}
}

// observedFlap is the latest flap of a server that this replica observed itself.
type observedFlap struct {
	startTime moment
	down      bool
	fault     Fault // why the server last went down
	seenAt    moment
	count     float64 // flaps of this server process
}

// flapDamping holds the flaps that count, and those that this replica has observed.
type flapDamping struct {
	*shared
	members  *membership
	reports  *reportExchange
	records  flapRecords
	observed map[string]observedFlap // by server ID

	loggedServers string // IDs of the damped servers as of the latest log event, separated by spaces
	loggedAt      moment
}

// newFlapDamping returns the flap damping without any recorded flaps.
func newFlapDamping(common *shared, members *membership, reports *reportExchange) *flapDamping {
	return &flapDamping{shared: common, members: members, reports: reports}
}

// detectFlap checks whether a server went down or recovered. Slow or rejected calls do not count as down,
// since an overload would otherwise damp all servers of its tier. A single failure counts as down if other
// replicas report the server as unhealthy, too.
func (d *flapDamping) detectFlap(now moment, server *server) {
	state := &server.outlier
	worst := state.worstScore()
	reported := state.peerFactor < 1
	if state.isUnhealthy() && state.recent.fault != FaultSaturated &&
		(worst <= downScore || worst < healthyScore && reported) {
		d.observe(now, server, true, state.recent.fault)
	} else if state.recent.badFraction() <= recoveredBadFraction && state.overall.score >= healthyScore &&
		state.peerFactor == 1 {
		d.observe(now, server, false, NoFault)
	}
}

// detectDelisted treats a server that left the endpoint list as down, so that leaving the list and coming
// back count as flaps.
func (d *flapDamping) detectDelisted(now moment) {
	for _, server := range d.members.all {
		gone, flap := server.State == ServerRemoved, d.observed[server.ID]
		if gone || flap.down && flap.fault == faultDelisted {
			d.observe(now, server, gone, faultDelisted)
		}
	}
}

// observe records that a server is down or has recovered, if that is a change.
func (d *flapDamping) observe(now moment, server *server, down bool, fault Fault) {
	flap := d.observed[server.ID]
	if flap.startTime != moment(server.StartTime) {
		flap = observedFlap{startTime: moment(server.StartTime)}
	}
	if flap.down == down {
		return
	}
	if flap.down, flap.seenAt, flap.count = down, now, flap.count+1; down {
		flap.fault = fault
	}
	if d.observed == nil {
		d.observed = map[string]observedFlap{}
	}
	d.observed[server.ID] = flap
}

// flapReports returns the reports on the flaps that this replica observed recently, and discards old ones.
func (d *flapDamping) flapReports(now moment) (reports []Report) {
	for _, id := range slices.Sorted(maps.Keys(d.observed)) {
		flap := d.observed[id]
		if now.since(flap.seenAt) > observedFlapTTL {
			delete(d.observed, id)
		} else if now.since(flap.seenAt) <= flapReportTTL {
			report := Report{Kind: ReportServerFlap, Fault: max(flap.fault, NoFault),
				ObserverZone: d.settings.Zone, Server: id, StartTime: int64(flap.startTime),
				Calls: flap.count, BadFraction: indicator(flap.down), LastObserved: int64(flap.seenAt)}
			if record := d.records.byID[id]; record != nil {
				report.Value = record.currentPenalty(now)
			}
			reports = append(reports, report)
		}
	}
	return reports
}

// damp damps the servers whose flaps enough replicas report, those damped longest first, as far as the
// removal budget allows. An isolated replica uses only its zone's part of the budget. Servers suspended by an
// operator stay suspended.
func (d *flapDamping) damp(now moment, budget *removalBudget) {
	d.recordReports(now)
	if peers := &d.reports.peers; peers.Isolated {
		budget.limitTo(peers.LiveReplicasInZone, max(peers.LiveReplicas, peers.LiveReplicasInZone))
	}
	for _, server := range d.flapping(now) {
		server.damping.active = budget.take(server.Zone)
	}
}

// recordReports records the flaps that all replicas report. A server may appear unresponsive because of the
// network path to it, so reports of that fault count only from replicas in this zone.
func (d *flapDamping) recordReports(now moment) {
	required := requiredFlapVotes(d.reports.peers.LiveReplicasInZone)
	for report := range d.reports.all {
		if report.Kind == ReportServerFlap && !d.settings.DisableFlapDamping &&
			(report.Fault != FaultUnresponsive || report.ObserverZone == d.settings.Zone) {
			down := report.BadFraction >= unhealthyBadFraction
			vote := flapVote{report.Observer, moment(report.LastObserved)}
			seen := flapObservation{report.Server, moment(report.StartTime), down, vote}
			d.records.recordFlap(now, seen, required)
		}
	}
}

// flapping updates the damping state of each ready server from its record. It returns the servers that have
// to be damped, those damped longest first.
func (d *flapDamping) flapping(now moment) (flapping []*server) {
	for _, server := range d.members.ready {
		state := &server.damping
		started := moment(server.StartTime)
		if state.since, state.active = d.records.dampedSince(now, server.ID, started); state.active {
			flapping = append(flapping, server)
		}
	}
	slices.SortFunc(flapping, func(x, y *server) int {
		return cmp.Or(cmp.Compare(x.damping.since, y.damping.since), cmp.Compare(x.ID, y.ID))
	})
	return flapping
}

// damped returns the servers that are damped now, those damped longest first.
func (d *flapDamping) damped(now moment) (out []DampedServer) {
	for _, server := range d.members.ready {
		if server.damping.active {
			penalty := d.records.byID[server.ID].currentPenalty(now)
			out = append(out, DampedServer{server.ID, penalty, int64(server.damping.since)})
		}
	}
	slices.SortFunc(out, func(x, y DampedServer) int {
		return cmp.Or(cmp.Compare(x.DampedSince, y.DampedSince), cmp.Compare(x.Server, y.Server))
	})
	return out
}

// logChange logs which servers are damped if that has changed, at most once per dampingLogInterval.
func (d *flapDamping) logChange(now moment, host Host) {
	var ids []string
	for _, server := range d.damped(now) {
		ids = append(ids, server.Server)
	}
	all := strings.Join(ids, " ")
	if all == d.loggedServers || now.since(d.loggedAt) < dampingLogInterval {
		return
	}
	d.loggedServers, d.loggedAt = all, now
	host.Log(DampedServersChanged{Servers: ids, WeightFraction: dampedWeight})
}
