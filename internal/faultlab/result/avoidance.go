package result

import (
	"fmt"
	"math"
	"slices"
)

const (
	departureWindow = 0.25 // seconds over which calls are judged to be trials
	departureCalls  = 40   // or the time that this number of calls takes, if that is longer
	trialFraction   = 0.05 // calls to a fault's target are trials up to this fraction of all calls
	avoidanceWindow = 1.0  // seconds
	stayedBeforeEnd = 1.0  // seconds; a proxy that leaves later has stayed
	stayedMinimum   = 2.0  // seconds that a fault has to last for proxies to count as stayed
	returnWindow    = 2.0  // seconds over which the share of calls is compared
	returnStep      = 0.25 // seconds between two such comparisons
	minReturnCalls  = 20   // in a returnWindow
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
		departed := findDepartures(during, affected, event)
		set("left_first_s", departed.first, math.Max)
		set("left_last_s", departed.last, math.Max)
		set("left_spread_ms", departed.spread*1000, math.Max)
		set("stayed", float64(departed.stayed), add)
		set("avoid_s", departed.avoided, math.Max)
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
	for _, send := range input.Record.UnansweredSends {
		if send.Dial {
			dials++
		}
	}
	metrics["dials_lost"] = float64(dials)
}

// departures holds when proxies stopped calling a fault's target, in seconds from the fault's start.
type departures struct {
	first, last float64 // departure of a proxy
	spread      float64 // from the first to the last departure in a zone, the largest of all zones
	avoided     float64 // until at most trialFraction of all calls went there
	stayed      int     // proxies that had not stopped at the fault's end
}

// findDepartures finds when each proxy stopped calling the target: at its last affected call that is not a
// trial. Proxies with only trials are left out, and so are proxies that share their links and cannot be
// distinguished.
func findDepartures(during []call, affected affectedCalls, event Event) departures {
	found := departures{first: math.NaN(), last: math.NaN(), spread: math.NaN()}
	callsByProxy, zoneOfProxy := map[string][]call{}, map[string]string{}
	callingZones := map[string]bool{} // zones with an affected call
	for _, c := range during {
		if affected.affects(c) {
			callingZones[c.fromZone] = true
		}
	}
	var all []call
	for _, c := range during {
		if !callingZones[c.fromZone] {
			continue
		}
		all = append(all, c)
		if c.proxy != "" {
			callsByProxy[c.proxy] = append(callsByProxy[c.proxy], c)
			zoneOfProxy[c.proxy] = c.fromZone
		}
	}
	found.avoided = countCalls(all, affected).avoidedAt(event.Start, event.End) - event.Start
	firsts, lasts := map[string]float64{}, map[string]float64{}
	for proxy, own := range callsByProxy {
		at := countCalls(own, affected).lastCall() - event.Start
		if math.IsNaN(at) {
			continue
		}
		if event.End-event.Start >= stayedMinimum && at > event.End-event.Start-stayedBeforeEnd {
			found.stayed++
		}
		zone := zoneOfProxy[proxy]
		if was, had := firsts[zone]; !had || at < was {
			firsts[zone] = at
		}
		lasts[zone] = math.Max(lasts[zone], at)
	}
	for zone, first := range firsts {
		if math.IsNaN(found.first) || first < found.first {
			found.first = first
		}
		if math.IsNaN(found.last) || lasts[zone] > found.last {
			found.last = lasts[zone]
		}
		if math.IsNaN(found.spread) || lasts[zone]-first > found.spread {
			found.spread = lasts[zone] - first
		}
	}
	return found
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

// trials reports whether at most trialFraction of the calls from the i-th on are affected, over the given
// number of seconds from a time on or the given number of calls, whichever is longer. If too few calls are
// left, earlier ones are included.
func (t callTally) trials(i int, from, seconds float64, calls int) bool {
	j, _ := slices.BinarySearch(t.times, from+seconds)
	j = min(max(j, i+calls), len(t.times))
	i = max(0, min(i, j-calls))
	return float64(t.affected[j]-t.affected[i]) <= trialFraction*float64(j-i)
}

// lastCall returns the time of the last affected call that is not a trial, NaN if there is none. A proxy's
// last regular calls, up to trialFraction of a window, count as trials.
func (t callTally) lastCall() float64 {
	for i := len(t.times) - 1; i >= 0; i-- {
		if t.affected[i+1] > t.affected[i] && !t.trials(i, t.times[i], departureWindow, departureCalls) {
			return t.times[i]
		}
	}
	return math.NaN()
}

// avoidedAt returns the first time after which at most trialFraction of the calls are affected, over
// departureWindow and over avoidanceWindow; the fault's end if there is none. The fault lasts from from to
// to.
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

// returnDelay returns the seconds from a fault's end until its target has, over returnWindow,
// recoveredFraction of the share of calls that it had in the baselineSeconds before the fault. It returns at
// most the time until the next fault or the end of the load, and NaN if the target had no calls before or
// that time is under returnWindow.
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
