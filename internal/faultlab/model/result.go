package model

import "github.com/HdrHistogram/hdrhistogram-go"

// end is how a request ended for its client.
type requestEnd int

const (
	endServed requestEnd = iota
	endRejected
	endFailed
	endUnanswered
	endBroken    // its proxy was killed
	endUnreached // it found no proxy
	endCount
)

// bin is the width of the counters over time.
const binWidth = 100 * ms

// Result is what a run came to.
type Result struct {
	Hash           uint64 // of all events and what proxies did, in order: two runs are the same if it is
	Events         int
	Violations     []Violation // the first of each rule
	ViolationCount int         // all of them

	Requests      int
	Ends          [endCount]int
	OfferedWeight float64 // worth of all requests
	ServedWeight  float64 // of those that were answered in time
	Sends         int
	CrossZone     int // of them, to another zone
	Overloads     int

	Packets           int       // of gossip
	Bytes             int       // of them, where they are encoded
	DroppedAfterPause int       // of them, left out by proxies that had stood still
	HealthAges        durations // of verdicts and zones that proxies know of others, once a second
	HealthPropagation durations // of their tellings, when they came to one that did not know them yet
	LoadAges          durations // the same of summaries of load
	LoadPropagation   durations
	EvacuationSpread  durations // from the first to the last proxy of a zone to leave another zone, where they hear each other
	Disagreements     durations // while proxies of a zone that hear each other differ on another
	MaxOverrun        int64     // the longest that an entry was used beyond its end, by its true age

	bins []binCounts
}

// ages is a distribution of times.
type durations struct{ h *hdrhistogram.Histogram }

func newDurations() durations { return durations{hdrhistogram.New(1, maxDuration, 2)} }

func (a *durations) add(d int64) { _ = a.h.RecordValue(min(max(d, 1), maxDuration)) }

// At is the time that a part of them is within, in microseconds.
func (a *durations) At(part float64) int64 { return a.h.ValueAtQuantile(100 * part) }

func (a *durations) N() int64 { return a.h.TotalCount() }

const maxDuration = 1000 * sec

// counts are those of one bin of time.
type binCounts struct {
	offeredWeight, servedWeight float64
	sends                       int
	sendsByServer               []int // by nodo
	sendsByZones                []int // by the zone that sends and the zone that it sends to
}

func (r *Result) begin(c *Config) {
	for _, a := range []*durations{&r.HealthAges, &r.HealthPropagation, &r.LoadAges, &r.LoadPropagation, &r.EvacuationSpread, &r.Disagreements} {
		*a = newDurations()
	}
	r.bins = make([]binCounts, c.Duration/binWidth+1)
	for i := range r.bins {
		r.bins[i].sendsByServer = make([]int, c.Servers)
		r.bins[i].sendsByZones = make([]int, c.Zones*c.Zones)
	}
}

func (r *Result) at(t int64) *binCounts { return &r.bins[min(int(t/binWidth), len(r.bins)-1)] }

func (r *Result) sent(sim *simulation, a *attempt) {
	r.Sends++
	if a.proxy.zone != a.zone {
		r.CrossZone++
	}
	b := r.at(sim.now)
	b.sends++
	b.sendsByServer[a.server.id]++
	b.sendsByZones[a.proxy.zone*sim.cfg.Zones+a.zone]++
}

// count takes the end of a request. Its worth counts at the time when it came.
func (r *Result) count(sim *simulation, req *request, e requestEnd) {
	k := &sim.cfg.Classes[req.class]
	r.Ends[e]++
	if e == endServed && sim.now-req.arrivedAt <= k.LatencyObjective {
		r.ServedWeight += k.PriorityWeight
		r.at(req.arrivedAt).servedWeight += k.PriorityWeight
	}
}

func (r *Result) take(at int64, worth float64) {
	r.Requests++
	r.OfferedWeight += worth
	r.at(at).offeredWeight += worth
}

func (r *Result) end(sim *simulation) { r.Hash = sim.log.Sum64() }

// InTime is the part of the offered worth that was answered in time, of requests that came within a span.
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

// Target is what a fault makes worthless: attempts to a nodo, or to a zone from any other or from its own proxies.
type Target struct {
	Server     int // or -1
	Zone       int
	OwnProxies bool
}

// sends counts the attempts within a span that went to a target, and all that those who may send there made.
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

// Avoided is how long after a fault that began at a time the target gets a fifth of its former part of the attempts,
// at most, over the next second; the rest of the run if that never comes. Wasted counts what went there until the
// fault's end.
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

// isqrt is the root of a square.
func isqrt(n int) (r int) {
	for r*r < n {
		r++
	}
	return r
}
