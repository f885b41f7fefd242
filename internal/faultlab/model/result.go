package model

import "github.com/HdrHistogram/hdrhistogram-go"

// end is how a request ended for its client.
type end int

const (
	served end = iota
	refused
	failed
	unanswered
	broken    // its proxy was killed
	unreached // it found no proxy
	ends
)

// bin is the width of the counters over time.
const bin = 100 * ms

// Result is what a run came to.
type Result struct {
	Sum        uint64 // of all events and what proxies did, in order: two runs are the same if it is
	Events     int
	Violations []Violation // the first of each rule
	Broken     int         // all of them

	Taken   int
	Ends    [ends]int
	Offered float64 // worth of all requests
	Worth   float64 // of those that were answered in time
	Sends   int
	Across  int // of them, to another zone
	Tips    int

	Packets int  // of gossip
	Bytes   int  // of them, where they are encoded
	Stalled int  // of them, left out by proxies that had stood still
	Ages    ages // of verdicts and zones that proxies know of others, once a second
	Spread  ages // of their tellings, when they came to one that did not know them yet
	Loads   ages // the same of summaries of load
	LoadsBy ages
	Leaves  ages  // from the first to the last proxy of a zone to leave another zone, where they hear each other
	Mixed   ages  // while proxies of a zone that hear each other differ on another
	Overrun int64 // the longest that an entry was used beyond its end, by its true age

	bins []counts
}

// ages is a distribution of times.
type ages struct{ h *hdrhistogram.Histogram }

func newAges() ages { return ages{hdrhistogram.New(1, agesMost, 2)} }

func (a *ages) add(d int64) { _ = a.h.RecordValue(min(max(d, 1), agesMost)) }

// At is the time that a part of them is within, in microseconds.
func (a *ages) At(part float64) int64 { return a.h.ValueAtQuantile(100 * part) }

func (a *ages) N() int64 { return a.h.TotalCount() }

const agesMost = 1000 * sec

// counts are those of one bin of time.
type counts struct {
	offered, worth float64
	sends          int
	sendsTo        []int // by nodo
	sendsBy        []int // by the zone that sends and the zone that it sends to
}

func (r *Result) begin(c *Config) {
	for _, a := range []*ages{&r.Ages, &r.Spread, &r.Loads, &r.LoadsBy, &r.Leaves, &r.Mixed} {
		*a = newAges()
	}
	r.bins = make([]counts, c.Span/bin+1)
	for i := range r.bins {
		r.bins[i].sendsTo = make([]int, c.Nodos)
		r.bins[i].sendsBy = make([]int, c.Zones*c.Zones)
	}
}

func (r *Result) at(t int64) *counts { return &r.bins[min(int(t/bin), len(r.bins)-1)] }

func (r *Result) sent(w *world, a *attempt) {
	r.Sends++
	if a.p.zone != a.zone {
		r.Across++
	}
	b := r.at(w.now)
	b.sends++
	b.sendsTo[a.to.id]++
	b.sendsBy[a.p.zone*w.cfg.Zones+a.zone]++
}

// count takes the end of a request. Its worth counts at the time when it came.
func (r *Result) count(w *world, q *request, e end) {
	k := &w.cfg.Classes[q.class]
	r.Ends[e]++
	if e == served && w.now-q.came <= k.LatencyObjective {
		r.Worth += k.PriorityWeight
		r.at(q.came).worth += k.PriorityWeight
	}
}

func (r *Result) take(at int64, worth float64) {
	r.Taken++
	r.Offered += worth
	r.at(at).offered += worth
}

func (r *Result) end(w *world) { r.Sum = w.log.Sum64() }

// InTime is the part of the offered worth that was answered in time, of requests that came within a span.
func (r *Result) InTime(from, to int64) float64 {
	offered, worth := 0.0, 0.0
	for i := max(from/bin, 0); i < min(to/bin, int64(len(r.bins))); i++ {
		offered += r.bins[i].offered
		worth += r.bins[i].worth
	}
	if offered == 0 {
		return 0
	}
	return worth / offered
}

// Target is what a fault makes worthless: attempts to a nodo, or to a zone from any other or from its own proxies.
type Target struct {
	Nodo int // or -1
	Zone int
	Own  bool
}

// sends counts the attempts within a span that went to a target, and all that those who may send there made.
func (r *Result) sends(from, to int64, t Target) (there, all int) {
	for i := max(from/bin, 0); i < min(to/bin, int64(len(r.bins))); i++ {
		b := &r.bins[i]
		if t.Nodo >= 0 {
			there, all = there+b.sendsTo[t.Nodo], all+b.sends
			continue
		}
		for j, n := range b.sendsBy {
			if z := len(b.sendsBy); (j/isqrt(z) == t.Zone) == t.Own {
				all += n
				there += n * int(partOf(j%isqrt(z) == t.Zone))
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
	part := avoidPart * float64(before) / float64(max(all, 1))
	for from := at; from+sec <= end; from += bin {
		there, all := r.sends(from, from+sec, t)
		if float64(there) <= part*float64(all) {
			return from - at, wasted
		}
	}
	return end - at, wasted
}

const avoidPart = 0.2

// isqrt is the root of a square.
func isqrt(n int) (r int) {
	for r*r < n {
		r++
	}
	return r
}
