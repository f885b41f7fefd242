package model

import "github.com/HdrHistogram/hdrhistogram-go"

// requestEnd says how a request ended for its client.
type requestEnd int

const (
	endServed requestEnd = iota
	endRejected
	endFailed
	endUnanswered
	endProxyKilled // its proxy was killed
	endUnreached   // no proxy was up
	endCount
)

// binWidth is the resolution of counts over time.
const binWidth = 100 * ms

// Result is the result of a run.
type Result struct {
	Hash           uint64 // of all events and actions in order; equal for equal runs
	Events         int
	Violations     []Violation // the first ones of each rule
	ViolationCount int         // all of them

	Requests      int
	Ends          [endCount]int
	OfferedWeight float64 // priority weight of all requests
	ServedWeight  float64 // of those served within their latency objective
	Sends         int
	CrossZone     int // sends to another zone
	Overloads     int

	Packets           int       // gossip packets
	Bytes             int       // of gossip, where it is encoded
	DroppedAfterPause int       // gossip packets, by proxies that had been paused
	HealthAges        durations // true ages of the health reports of peers that proxies hold, once a second
	HealthPropagation durations // of health reports, from their publication to a proxy
	LoadAges          durations // the same for load reports
	LoadPropagation   durations
	EvacuationSpread  durations // of a zone's proxies, from the first to the last that evacuates a zone
	Disagreements     durations // of a zone's proxies that hear each other, on the evacuation of a zone
	MaxOverrun        int64     // the longest time beyond its TTL that an entry was used, by its true age

	bins []binCounts
}

// durations is a distribution of durations in microseconds.
type durations struct{ h *hdrhistogram.Histogram }

func newDurations() durations { return durations{hdrhistogram.New(1, maxDuration, 2)} }

func (d *durations) add(value int64) { _ = d.h.RecordValue(min(max(value, 1), maxDuration)) }

// At returns the quantile for a fraction from 0 to 1, in microseconds.
func (d *durations) At(fraction float64) int64 { return d.h.ValueAtQuantile(100 * fraction) }

// N returns the number of recorded durations.
func (d *durations) N() int64 { return d.h.TotalCount() }

const maxDuration = 1000 * sec

// binCounts are the counts of one bin of time.
type binCounts struct {
	offeredWeight, servedWeight float64
	sends                       int
	sendsByServer               []int // by server
	sendsByZones                []int // by the zones of proxy and server
}

func (r *Result) begin(c *Config) {
	for _, d := range []*durations{&r.HealthAges, &r.HealthPropagation, &r.LoadAges, &r.LoadPropagation,
		&r.EvacuationSpread, &r.Disagreements} {
		*d = newDurations()
	}
	r.bins = make([]binCounts, c.Duration/binWidth+1)
	for i := range r.bins {
		r.bins[i].sendsByServer = make([]int, c.Servers)
		r.bins[i].sendsByZones = make([]int, c.Zones*c.Zones)
	}
}

func (r *Result) at(t int64) *binCounts { return &r.bins[min(int(t/binWidth), len(r.bins)-1)] }

// countSend counts an attempt.
func (r *Result) countSend(sim *simulation, a *attempt) {
	r.Sends++
	if a.proxy.zone != a.zone {
		r.CrossZone++
	}
	bin := r.at(sim.now)
	bin.sends++
	bin.sendsByServer[a.server.id]++
	bin.sendsByZones[a.proxy.zone*sim.cfg.Zones+a.zone]++
}

// countEnd counts the end of a request. Its weight counts at the time of its arrival.
func (r *Result) countEnd(sim *simulation, req *request, end requestEnd) {
	class := &sim.cfg.Classes[req.class]
	r.Ends[end]++
	if end == endServed && sim.now-req.arrivedAt <= class.LatencyObjective {
		r.ServedWeight += class.PriorityWeight
		r.at(req.arrivedAt).servedWeight += class.PriorityWeight
	}
}

// countArrival counts a request at the time of its arrival.
func (r *Result) countArrival(at int64, weight float64) {
	r.Requests++
	r.OfferedWeight += weight
	r.at(at).offeredWeight += weight
}

func (r *Result) end(sim *simulation) { r.Hash = sim.log.Sum64() }

// InTime returns the fraction of the offered weight that was served in time, for requests that arrived in
// [from, to).
func (r *Result) InTime(from, to int64) float64 {
	offered, served := 0.0, 0.0
	for i := max(from/binWidth, 0); i < min(to/binWidth, int64(len(r.bins))); i++ {
		offered += r.bins[i].offeredWeight
		served += r.bins[i].servedWeight
	}
	if offered == 0 {
		return 0
	}
	return served / offered
}

// Target describes the attempts that a fault affects: those to a server, or those to a zone.
type Target struct {
	Server     int // -1: all servers of Zone
	Zone       int
	OwnProxies bool // attempts of the zone's own proxies, else those from other zones
}

// sends counts the attempts in [from, to) to a target, and all attempts of the proxies that may send to it.
func (r *Result) sends(from, to int64, t Target) (there, all int) {
	for i := max(from/binWidth, 0); i < min(to/binWidth, int64(len(r.bins))); i++ {
		b := &r.bins[i]
		if t.Server >= 0 {
			there, all = there+b.sendsByServer[t.Server], all+b.sends
			continue
		}
		for j, n := range b.sendsByZones {
			if z := len(b.sendsByZones); (j/isqrt(z) == t.Zone) == t.OwnProxies {
				all += n
				there += n * int(indicator(j%isqrt(z) == t.Zone))
			}
		}
	}
	return there, all
}

// Avoided returns how long after a fault's start the target begins to get at most avoidedFraction of its
// previous share of attempts for a second, or the fault's duration if that does not happen. wasted is the
// number of attempts to the target until the fault's end.
func (r *Result) Avoided(at, end int64, t Target) (after int64, wasted int) {
	wasted, _ = r.sends(at, end, t)
	before, all := r.sends(at-5*sec, at, t)
	part := avoidedFraction * float64(before) / float64(max(all, 1))
	for from := at; from+sec <= end; from += binWidth {
		there, all := r.sends(from, from+sec, t)
		if float64(there) <= part*float64(all) {
			return from - at, wasted
		}
	}
	return end - at, wasted
}

const avoidedFraction = 0.2

// isqrt returns the square root of a square number.
func isqrt(n int) (r int) {
	for r*r < n {
		r++
	}
	return r
}
