package result

import (
	"fmt"
	"math"
	"slices"
)

const (
	departureWindow = 0.25 // seconds
	departureCalls  = 40   // or as long as so many calls take
	trialFraction   = 0.05 // at most this fraction of calls to a fault's target are trials
	avoidanceWindow = 1.0
	stayedBeforeEnd = 1.0 // seconds; a proxy that leaves later has stayed
	stayedMinimum   = 2.0 // seconds that a fault lasts for proxies to count as stayed
	returnWindow    = 2.0
	returnStep      = 0.25
	minReturnCalls  = 20 // in a returnWindow
)

// addAvoidance adds, for each fault that calls could avoid, how soon they did and how soon they returned after it.
func (p *Play) addAvoidance(input Input, requests []clientRequest, metrics map[string]float64) {
	calls := input.calls()
	for _, event := range input.Events {
		affected, ok := affectedBy(input.Plan.Faults[event.Number-1])
		if !ok {
			continue
		}
		during := callsBetween(calls, event.Start, event.End)
		set := func(name string, v float64, sum func(a, b float64) float64) {
			if math.IsNaN(v) {
				return
			}
			metrics[fmt.Sprintf("%s.%d", name, event.Number)] = v
			if before, had := metrics[name]; had {
				v = sum(before, v)
			}
			metrics[name] = v
		}
		add := func(a, b float64) float64 { return a + b }
		l := findDepartures(during, affected, event)
		set("left_first_s", l.first, math.Max)
		set("left_last_s", l.last, math.Max)
		set("left_spread_ms", l.spread*1000, math.Max)
		set("stayed", float64(l.stayed), add)
		set("avoid_s", l.avoided, math.Max)
		wasted := 0
		for _, c := range during {
			if affected.affects(c) && !c.served {
				wasted++
			}
		}
		set("wasted", float64(wasted), add)
		set("returned_s", returnDelay(input, calls, affected, event), math.Max)
		set("room_worth", input.headroomUse(requests, event), math.Min)
	}
	dials := 0
	for _, k := range input.Record.UnansweredSends {
		if k.Dial {
			dials++
		}
	}
	metrics["dials_lost"] = float64(dials)
}

// departures is when proxies stopped calling a fault's target, in seconds from the fault's start.
type departures struct {
	first, last float64 // of a proxy
	spread      float64 // from the first to the last of a zone, the largest
	avoided     float64 // until at most trialFraction of all calls went there
	stayed      int     // proxies that had not stopped at its end
}

// findDepartures finds when each proxy stopped: at its last call there that is no trial. Proxies with only trials are left out,
// and so are proxies that share their links and cannot be distinguished.
func findDepartures(during []call, affected affectedCalls, event Event) departures {
	l := departures{first: math.NaN(), last: math.NaN(), spread: math.NaN()}
	by, zones := map[string][]call{}, map[string]string{}
	callers := map[string]bool{} // zones that ever call there
	for _, c := range during {
		if affected.affects(c) {
			callers[c.fromZone] = true
		}
	}
	var all []call
	for _, c := range during {
		if !callers[c.fromZone] {
			continue
		}
		all = append(all, c)
		if c.proxy != "" {
			by[c.proxy] = append(by[c.proxy], c)
			zones[c.proxy] = c.fromZone
		}
	}
	l.avoided = countCalls(all, affected).avoidedAt(event.Start, event.End) - event.Start
	firsts, lasts := map[string]float64{}, map[string]float64{}
	for proxy, own := range by {
		at := countCalls(own, affected).lastCall() - event.Start
		if math.IsNaN(at) {
			continue
		}
		if event.End-event.Start >= stayedMinimum && at > event.End-event.Start-stayedBeforeEnd {
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

// callTally holds the times of calls and running counts of the affected ones.
type callTally struct {
	times    []float64
	affected []int // of the first i calls
}

func countCalls(calls []call, affected affectedCalls) callTally {
	t := callTally{affected: make([]int, len(calls)+1)}
	for i, c := range calls {
		t.times = append(t.times, c.time)
		t.affected[i+1] = t.affected[i]
		if affected.affects(c) {
			t.affected[i+1]++
		}
	}
	return t
}

// trials reports whether at most trialFraction of the calls from the i-th on are affected, over so many seconds after a moment or
// so many calls, whichever is longer. Near the end earlier calls make up the number.
func (t callTally) trials(i int, from, seconds float64, calls int) bool {
	j, _ := slices.BinarySearch(t.times, from+seconds)
	j = min(max(j, i+calls), len(t.times))
	i = max(0, min(i, j-calls))
	return float64(t.affected[j]-t.affected[i]) <= trialFraction*float64(j-i)
}

// lastCall is the time of the last affected call that is no trial, NaN if there is none. A proxy's last regular calls, up to
// trialFraction of a window, count as trials.
func (t callTally) lastCall() float64 {
	for i := len(t.times) - 1; i >= 0; i-- {
		if t.affected[i+1] > t.affected[i] && !t.trials(i, t.times[i], departureWindow, departureCalls) {
			return t.times[i]
		}
	}
	return math.NaN()
}

// avoidedAt is the first time after which at most trialFraction of the calls are affected, over departureWindow and
// avoidanceWindow; a fault's end if there is none.
func (t callTally) avoidedAt(from, to float64) float64 {
	settled := func(i int, at float64) bool {
		return t.trials(i, at, departureWindow, departureCalls) && t.trials(i, at, avoidanceWindow, departureCalls)
	}
	if settled(0, from) {
		return from
	}
	for i := range t.times {
		if t.affected[i+1] > t.affected[i] && i+1 < len(t.times) && settled(i+1, t.times[i]) {
			return t.times[i]
		}
	}
	return to
}

// returnDelay is the time from a fault's end until its target has, over returnWindow, recoveredFraction of its share of the calls
// in the baselineSeconds before the fault; at most until the next fault or the end of the load.
func returnDelay(input Input, calls []call, affected affectedCalls, event Event) float64 {
	share := func(from, to float64) (float64, int) {
		n, there := 0, 0
		for _, c := range callsBetween(calls, from, to) {
			if c.arrived {
				n++
				if affected.targets(c) {
					there++
				}
			}
		}
		return ratio(float64(there), float64(n)), n
	}
	before, _ := share(max(input.Experiment.Warmup, event.Start-baselineSeconds), event.Start)
	until := input.Experiment.Seconds
	for _, other := range input.Events {
		if other.Start > event.End && other.Start < until {
			until = other.Start
		}
	}
	if !(before > 0) || until-event.End < returnWindow {
		return math.NaN()
	}
	for at := event.End; at+returnWindow <= until; at += returnStep {
		if now, n := share(at, at+returnWindow); n >= minReturnCalls && now >= recoveredFraction*before {
			return at + returnWindow - event.End
		}
	}
	return until - event.End
}
