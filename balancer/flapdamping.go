package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
)

// Flap damping: servers that go back and forth between unhealthy and healthy, or in and out of the list,
// get one steady, small weight until they rest. Each removal and return would move load, cost handshakes
// and start the next one elsewhere, which does more harm than the server does.
//
// Input: flaps, as this replica sees them and the others report them. Output: which ready servers are damped.

const (
	penaltyHalfLife = 20 * seconds // each flap adds 1 to a penalty, which halves in this time
	maxPenalty      = 5.0          // a server that rests is back within 2.4 half-lives

	dampingThreshold = 2.2          // a penalty above it damps: the third flap, 10 s apart or less
	reuseThreshold   = 1.0          // a penalty below it ends damping
	maxDamping       = 60 * seconds // damping ends after this; the next flap may begin it again
	dampedWeight     = 0.1          // health score of a damped server

	flapVoteWindow   = 2 * seconds // what several replicas see within this is one flap
	maxRequiredVotes = 3           // replicas that have to see a flap, fewer where fewer live

	fallenScore          = 0.1 // health score: a server below it has fallen, after two failures
	recoveredBadFraction = 0.2 // of recent calls: a server above it hasn't recovered

	flapReportTTL = 10 * seconds // a flap is reported for so long
	flapMemory    = 60 * seconds // and known for so long, to recognise the next one

	maxRecords         = 4096        // of flaps
	dampingLogInterval = 1 * seconds // between log events at least
)

// faultDelisted is the fault of a flap whose fall is that the server has left the list. It stays in this
// replica.
const faultDelisted Fault = -1

// dampingState is what flap damping keeps of a server.
type dampingState struct {
	active bool   // it has its steady weight
	since  moment // while active
}

// requiredFlapVotes is how many replicas have to see a flap where so many live: one's own link can be at
// fault.
func requiredFlapVotes(liveReplicas int) int { return min(maxRequiredVotes, 1+liveReplicas/4) }

// flapVote is the newest change against the last flap that counted, as one replica saw it.
type flapVote struct {
	observer string
	seenAt   moment
}

// flapSighting is a flap of a server's process as one replica saw it.
type flapSighting struct {
	server    string // ID
	startTime moment // by the list's clock
	down      bool   // a fall, else a recovery
	vote      flapVote
}

// flapRecord is the record of one server. Flaps alternate: one that leads where the last one led is the
// same flap, seen late.
type flapRecord struct {
	startTime   moment // the process's; another one begins a new record
	down        bool   // where the last flap that counted led
	lastFlapAt  moment // when that was first seen
	votes       []flapVote
	penalty     float64 // as of penaltyAt
	penaltyAt   moment
	dampedSince moment // 0: not damped
	newFlap     bool   // one has counted since updateDamped
}

// accept takes a replica's vote for a flap and reports whether the flap counts with it.
func (r *flapRecord) accept(now moment, down bool, vote flapVote, required int) bool {
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

// currentPenalty is the penalty now, 0 to maxPenalty.
func (r *flapRecord) currentPenalty(now moment) float64 {
	return r.penalty * math.Exp2(-float64(now.since(r.penaltyAt))/float64(penaltyHalfLife))
}

// rested reports whether a record may be forgotten.
func (r *flapRecord) rested(now moment) bool {
	return r.currentPenalty(now) < reuseThreshold/2 && now.since(r.lastFlapAt) > penaltyHalfLife
}

// updateDamped begins or ends damping and reports whether the server is damped now.
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

// flapRecords keeps one record for each server that has flapped. The zero value is ready.
type flapRecords struct{ byID map[string]*flapRecord }

// recordFlap takes a replica's sighting of a flap and reports whether the flap counts with it.
func (f *flapRecords) recordFlap(now moment, seen flapSighting, required int) bool {
	record := f.byID[seen.server]
	same := record != nil && sameStartTime(seen.startTime, record.startTime)
	if record == nil || seen.startTime > record.startTime && !same {
		if f.removeRested(now); record == nil && len(f.byID) >= maxRecords || !seen.down {
			return false // a record begins with a fall
		}
		record = &flapRecord{startTime: seen.startTime, lastFlapAt: seen.vote.seenAt.add(-flapVoteWindow),
			penaltyAt: now}
		if f.byID == nil {
			f.byID = map[string]*flapRecord{}
		}
		f.byID[seen.server], same = record, true
	}
	return same && record.accept(now, seen.down, seen.vote, required)
}

// dampedSince reports whether a server's process is to have its steady weight now, and since when.
func (f *flapRecords) dampedSince(now moment, id string, startTime moment) (since moment, damped bool) {
	record := f.byID[id]
	if record == nil || !sameStartTime(record.startTime, startTime) {
		return 0, false
	}
	damped = record.updateDamped(now)
	return record.dampedSince, damped
}

// removeRested forgets the records of servers that rest.
func (f *flapRecords) removeRested(now moment) {
	for id, record := range f.byID {
		if record.rested(now) {
			delete(f.byID, id)
		}
	}
}

// observedFlap is the latest flap of a server as this replica saw it.
type observedFlap struct {
	startTime moment
	down      bool
	fault     Fault // of the latest fall
	seenAt    moment
	count     float64
}

// flapDamping holds the flaps that count and those that this replica has seen.
type flapDamping struct {
	*shared
	members  *membership
	reports  *reportExchange
	records  flapRecords
	observed map[string]observedFlap // by server ID

	logged   string // the damped servers as of the last log event
	loggedAt moment
}

func newFlapDamping(common *shared, members *membership, reports *reportExchange) *flapDamping {
	return &flapDamping{shared: common, members: members, reports: reports}
}

// detectFlap looks whether a server has fallen or recovered. Slow calls are no fall, nor are rejected ones:
// an overload would damp its whole tier. A single failure is one if others report the server, too.
func (d *flapDamping) detectFlap(now moment, server *server) {
	state := &server.outlier
	worst := state.worstScore()
	reported := state.peerFactor < 1
	if state.isUnhealthy() && state.recent.fault != FaultSaturated &&
		(worst <= fallenScore || worst < healthyScore && reported) {
		d.observe(now, server, true, state.recent.fault)
	} else if state.recent.badFraction() <= recoveredBadFraction && state.overall.score >= healthyScore &&
		state.peerFactor == 1 {
		d.observe(now, server, false, NoFault)
	}
}

// detectDelisted has a server fall that has left the list: one that comes back as the same process flaps.
func (d *flapDamping) detectDelisted(now moment) {
	for _, server := range d.members.all {
		gone, flap := server.State == ServerRemoved, d.observed[server.ID]
		if gone || flap.down && flap.fault == faultDelisted {
			d.observe(now, server, gone, faultDelisted)
		}
	}
}

// observe records that a server has fallen or recovered, if that is a change.
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

// flapReports returns the reports of the flaps that this replica saw lately.
func (d *flapDamping) flapReports(now moment) (reports []Report) {
	for _, id := range slices.Sorted(maps.Keys(d.observed)) {
		flap := d.observed[id]
		if now.since(flap.seenAt) > flapMemory {
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

// damp damps the servers whose flaps enough replicas report, the longest damped first, as far as the budget
// for removals goes. An isolated replica uses its zone's part of the budget. Suspended servers stay
// suspended.
func (d *flapDamping) damp(now moment, budget *removalBudget) {
	d.takeReports(now)
	if peers := &d.reports.peers; peers.Isolated {
		budget.limitTo(peers.LiveReplicasInZone, max(peers.LiveReplicas, peers.LiveReplicasInZone))
	}
	for _, server := range d.flapping(now) {
		server.damping.active = budget.take(server.Zone)
	}
}

// takeReports takes the flaps that all replicas report. That a server doesn't respond may be due to the way
// to it: of such reports only those of this zone count.
func (d *flapDamping) takeReports(now moment) {
	required := requiredFlapVotes(d.reports.peers.LiveReplicasInZone)
	for report := range d.reports.all {
		if report.Kind == ReportServerFlap && !d.settings.DisableFlapDamping &&
			(report.Fault != FaultUnresponsive || report.ObserverZone == d.settings.Zone) {
			down := report.BadFraction >= unhealthyBadFraction
			vote := flapVote{report.Observer, moment(report.LastObserved)}
			seen := flapSighting{report.Server, moment(report.StartTime), down, vote}
			d.records.recordFlap(now, seen, required)
		}
	}
}

// flapping are the ready servers that have to be damped by their records, the longest damped first.
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

// damped are the servers that have their steady weight now, the longest damped first.
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

// logChange logs which servers are damped when that has changed, at most once in dampingLogInterval.
func (d *flapDamping) logChange(now moment, host Host) {
	var ids []string
	for _, server := range d.damped(now) {
		ids = append(ids, server.Server)
	}
	all := strings.Join(ids, " ")
	if all == d.logged || now.since(d.loggedAt) < dampingLogInterval {
		return
	}
	d.logged, d.loggedAt = all, now
	host.Log(DampedServersChanged{Servers: ids, WeightFraction: dampedWeight})
}
