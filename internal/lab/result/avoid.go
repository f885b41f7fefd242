package result

import (
	"fmt"
	"math"
)

const (
	leftWindow = 0.25 // seconds
	leftCalls  = 20   // or as long as so many calls take
	leftPart   = 0.05 // of them at most go where a fault is met, once it is left: trials
	stayedLast = 1.0  // seconds before a fault's end: who leaves later has stayed
	stayedSpan = 2.0  // of a fault that lasts so long
	backWindow = 2.0
	backStep   = 0.25
	backLeast  = 20 // calls in a window that says anything
)

// avoidance tells of each fault that calls could avoid how soon they did, and how soon they came back after it.
func (p *Play) avoidance(in Input, cs []client, f map[string]float64) {
	calls := in.callsOf()
	for _, ev := range in.Events {
		a, ok := aimOf(in.Plan.Strikes[ev.N-1])
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
		set("room_worth", in.roomWorth(cs, ev), math.Min)
	}
	dials := 0
	for _, k := range in.Record.Knocks {
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
	all         float64 // until at most leftPart of all calls went there
	stayed      int     // proxies that had not left at its end
}

// leaving finds when each proxy left: at its last call there that was no trial. Proxies that made none but trials say
// nothing. Where proxies cannot be told apart nothing is said of them.
func leaving(during []call, a aim, ev Event) left {
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
	if at := lastThere(all, a); !math.IsNaN(at) {
		l.all = at - ev.From
	}
	firsts, lasts := map[string]float64{}, map[string]float64{}
	for proxy, own := range by {
		at := lastThere(own, a) - ev.From
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

// lastThere is the moment of the last call that a fault meets and that is no trial: of the calls from it on for
// leftWindow, or for leftCalls if they take longer, over leftPart go there. Near the end earlier calls make up the number.
// What a proxy means by a call is not to be seen: its very last in earnest is alone in its window, and taken for a trial.
func lastThere(cs []call, a aim) float64 {
	for i := len(cs) - 1; i >= 0; i-- {
		if !a.meets(cs[i]) {
			continue
		}
		n, there := 0, 0
		count := func(c call) {
			n++
			if a.meets(c) {
				there++
			}
		}
		for j := i; j < len(cs) && (n < leftCalls || cs[j].at-cs[i].at < leftWindow); j++ {
			count(cs[j])
		}
		for j := i - 1; j >= 0 && n < leftCalls; j-- {
			count(cs[j])
		}
		if float64(there) > leftPart*float64(n) {
			return cs[i].at
		}
	}
	return math.NaN()
}

// returned is how long after a fault's end its target first had backPart of the part of the calls that it had in the
// beforeSpan before the fault, over backWindow; to the next fault, or the end, if it had not by then.
func returned(in Input, calls []call, a aim, ev Event) float64 {
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
		if now, n := share(at, at+backWindow); n >= backLeast && now >= backPart*before {
			return at + backWindow - ev.To
		}
	}
	return until - ev.To
}
