package result

import (
	"fmt"
	"math"
	"slices"
)

const (
	leftWindow  = 0.25 // seconds
	leftCalls   = 40   // or as long as so many calls take
	leftPart    = 0.05 // of them at most go where a fault is met, once it is left: trials
	avoidWindow = 1.0
	stayedLast  = 1.0 // seconds before a fault's end: who leaves later has stayed
	stayedSpan  = 2.0 // of a fault that lasts so long
	backWindow  = 2.0
	backStep    = 0.25
	minRecovery = 20 // calls in a window that says anything
)

// avoidance tells of each fault that calls could avoid how soon they did, and how soon they came back after it.
func (p *Play) avoidance(in Input, cs []client, f map[string]float64) {
	calls := in.callsOf()
	for _, ev := range in.Events {
		a, ok := objectiveOf(in.Plan.Strikes[ev.N-1])
		if !ok {
			continue
		}
		during := between(calls, ev.From, ev.To)
		set := func(name string, v float64, sum func(a, b float64) float64) {
			if math.IsNaN(v) {
				return
			}
			f[fmt.Sprintf("%s.%d", name, ev.N)] = v
			if before, had := f[name]; had {
				v = sum(before, v)
			}
			f[name] = v
		}
		add := func(a, b float64) float64 { return a + b }
		l := leaving(during, a, ev)
		set("left_first_s", l.first, math.Max)
		set("left_last_s", l.last, math.Max)
		set("left_spread_ms", l.spread*1000, math.Max)
		set("stayed", float64(l.stayed), add)
		set("avoid_s", l.all, math.Max)
		wasted := 0
		for _, c := range during {
			if a.meets(c) && !c.served {
				wasted++
			}
		}
		set("wasted", float64(wasted), add)
		set("returned_s", returned(in, calls, a, ev), math.Max)
		set("room_worth", in.headroomWeight(cs, ev), math.Min)
	}
	dials := 0
	for _, k := range in.Record.UnansweredSends {
		if k.Dial {
			dials++
		}
	}
	f["dials_lost"] = float64(dials)
}

// left is when proxies left what a fault struck, in seconds from its beginning.
type left struct {
	first, last float64 // proxy
	spread      float64 // from the first to the last of a zone, the largest
	all         float64 // until at most leftPart of all calls went there, for a while
	stayed      int     // proxies that had not left at its end
}

// leaving finds when each proxy left: at its last call there that was no trial. Proxies that made none but trials say
// nothing. Where proxies cannot be told apart nothing is said of them.
func leaving(during []call, a objective, ev Event) left {
	l := left{first: math.NaN(), last: math.NaN(), spread: math.NaN()}
	by, zones := map[string][]call{}, map[string]string{}
	concerned := map[string]bool{} // who ever calls there; the others' calls cannot tell
	for _, c := range during {
		if a.meets(c) {
			concerned[c.from] = true
		}
	}
	var all []call
	for _, c := range during {
		if !concerned[c.from] {
			continue
		}
		all = append(all, c)
		if c.proxy != "" {
			by[c.proxy] = append(by[c.proxy], c)
			zones[c.proxy] = c.from
		}
	}
	l.all = count(all, a).avoided(ev.From, ev.To) - ev.From
	firsts, lasts := map[string]float64{}, map[string]float64{}
	for proxy, own := range by {
		at := count(own, a).last() - ev.From
		if math.IsNaN(at) {
			continue
		}
		if ev.To-ev.From >= stayedSpan && at > ev.To-ev.From-stayedLast {
			l.stayed++
		}
		zone := zones[proxy]
		if was, had := firsts[zone]; !had || at < was {
			firsts[zone] = at
		}
		lasts[zone] = math.Max(lasts[zone], at)
	}
	for zone, first := range firsts {
		if math.IsNaN(l.first) || first < l.first {
			l.first = first
		}
		if math.IsNaN(l.last) || lasts[zone] > l.last {
			l.last = lasts[zone]
		}
		if math.IsNaN(l.spread) || lasts[zone]-first > l.spread {
			l.spread = lasts[zone] - first
		}
	}
	return l
}

// tally counts calls, and those of them that a fault meets, up to each.
type tally struct {
	at    []float64
	there []int // of the first i
}

func count(cs []call, a objective) tally {
	t := tally{there: make([]int, len(cs)+1)}
	for i, c := range cs {
		t.at = append(t.at, c.at)
		t.there[i+1] = t.there[i]
		if a.meets(c) {
			t.there[i+1]++
		}
	}
	return t
}

// trials tells whether of the calls from the i-th on, for so many seconds after a moment, or as long as so many take, at
// most leftPart go there. Near the end earlier ones make up the number.
func (t tally) trials(i int, from, seconds float64, calls int) bool {
	j, _ := slices.BinarySearch(t.at, from+seconds)
	j = min(max(j, i+calls), len(t.at))
	i = max(0, min(i, j-calls))
	return float64(t.there[j]-t.there[i]) <= leftPart*float64(j-i)
}

// last is the moment of the last call there that is no trial. What a proxy means by a call is not to be seen: its very
// last ones in earnest, up to leftPart of a window, are taken for trials.
func (t tally) last() float64 {
	for i := len(t.at) - 1; i >= 0; i-- {
		if t.there[i+1] > t.there[i] && !t.trials(i, t.at[i], leftWindow, leftCalls) {
			return t.at[i]
		}
	}
	return math.NaN()
}

// avoided is the first moment from which on at most leftPart of the calls go there, for a short while and for a longer
// one; what is found is a fault's end if there is none.
func (t tally) avoided(from, to float64) float64 {
	fine := func(i int, at float64) bool {
		return t.trials(i, at, leftWindow, leftCalls) && t.trials(i, at, avoidWindow, leftCalls)
	}
	if fine(0, from) {
		return from
	}
	for i := range t.at {
		if t.there[i+1] > t.there[i] && i+1 < len(t.at) && fine(i+1, t.at[i]) {
			return t.at[i]
		}
	}
	return to
}

// returned is how long after a fault's end its target first had backPart of the part of the calls that it had in the
// beforeSpan before the fault, over backWindow; to the next fault, or the end, if it had not by then.
func returned(in Input, calls []call, a objective, ev Event) float64 {
	share := func(from, to float64) (float64, int) {
		n, there := 0, 0
		for _, c := range between(calls, from, to) {
			if c.arrived {
				n++
				if a.part(c) {
					there++
				}
			}
		}
		return over(float64(there), float64(n)), n
	}
	before, _ := share(max(in.Exp.Warmup, ev.From-beforeSpan), ev.From)
	until := in.Exp.Seconds
	for _, other := range in.Events {
		if other.From > ev.To && other.From < until {
			until = other.From
		}
	}
	if !(before > 0) || until-ev.To < backWindow {
		return math.NaN()
	}
	for at := ev.To; at+backWindow <= until; at += backStep {
		if now, n := share(at, at+backWindow); n >= minRecovery && now >= backPart*before {
			return at + backWindow - ev.To
		}
	}
	return until - ev.To
}
