package model

import "github.com/HdrHistogram/hdrhistogram-go"

// requestEnd is how a request ended for its client.
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
	Hash           uint64 // of all events and actions in order: equal for equal runs
	Events         int
	Violations     []Violation // the first ones of each rule
	ViolationCount int         // of all

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
	HealthAges        durations // of health reports that proxies hold of others, once a second
	HealthPropagation durations // of health reports, from their publication to a proxy
	LoadAges          durations // the same of load reports
	LoadPropagation   durations
	EvacuationSpread  durations // from the first to the last proxy of a zone to evacuate another, while they hear each other
	Disagreements     durations // of proxies of a zone that hear each other, on evacuating another
	MaxOverrun        int64     // the longest use of an entry beyond its TTL, by its true age

	bins []binCounts
}

// durations is a distribution of durations in microseconds.
type durations struct{ h *hdrhistogram.Histogram }

func newDurations() durations { return durations{hdrhistogram.New(1, maxDuration, 2)} }

func (a *durations) add(d int64) { _ = a.h.RecordValue(min(max(d, 1), maxDuration)) }

// At returns the quantile of a fraction, in microseconds.
func (a *durations) At(part float64) int64 { return a.h.ValueAtQuantile(100 * part) }

// N returns the number of recorded durations.
func (a *durations) N() int64 { return a.h.TotalCount() }

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

func (r *Result) countSend(sim *simulation, a *attempt) {
	r.Sends++
	if a.proxy.zone != a.zone {
		r.CrossZone++
	}
	b := r.at(sim.now)
	b.sends++
	b.sendsByServer[a.server.id]++
	b.sendsByZones[a.proxy.zone*sim.cfg.Zones+a.zone]++
}

// countEnd counts the end of a request. Its weight counts at the time of its arrival.
func (r *Result) countEnd(sim *simulation, req *request, e requestEnd) {
	k := &sim.cfg.Classes[req.class]
	r.Ends[e]++
	if e == endServed && sim.now-req.arrivedAt <= k.LatencyObjective {
		r.ServedWeight += k.PriorityWeight
		r.at(req.arrivedAt).servedWeight += k.PriorityWeight
	}
}

func (r *Result) countArrival(at int64, worth float64) {
	r.Requests++
	r.OfferedWeight += worth
	r.at(at).offeredWeight += worth
}

func (r *Result) end(sim *simulation) { r.Hash = sim.log.Sum64() }

// InTime returns the fraction of the offered weight that was served in time, of requests that arrived in [from, to).
func (r *Result) InTime(from, to int64) float64 {
	offered, worth := 0.0, 0.0
	for i := max(from/binWidth, 0); i < min(to/binWidth, int64(len(r.bins))); i++ {
		offered += r.bins[i].offeredWeight
		worth += r.bins[i].servedWeight
	}
	if offered == 0 {
		return 0
	}
	return worth / offered
}

// Target is what a fault affects: attempts to a server, or to a zone from other zones or from its own proxies.
type Target struct {
	Server     int // or -1
	Zone       int
	OwnProxies bool
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

// Avoided returns how long after a fault's start the target gets at most avoidedFraction of its previous share of attempts
// for a second, or the fault's duration if that never happens; wasted counts the attempts to it until the fault's end.
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

// isqrt returns the root of a square.
func isqrt(n int) (r int) {
	for r*r < n {
		r++
	}
	return r
}
