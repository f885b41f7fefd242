package result

import (
	"fmt"
	"math"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
)

// caller is a proxy that makes rate calls a second during a fault from second 10 to 20. Every other call goes
// to zone z until so many seconds of the fault have passed, from then on one in trialIn.
type caller struct {
	name    string
	rate    float64
	until   float64
	trialIn int
}

// callsDuring returns the calls of several callers in the order of their times.
func callsDuring(callers ...caller) (out []call) {
	for i := range 100_000 {
		at := float64(i) / 10_000
		for _, k := range callers {
			every := int(10_000 / k.rate)
			if i%every != 0 {
				continue
			}
			n, to := i/every, "y"
			if at <= k.until && n%2 == 0 || k.trialIn > 0 && n%k.trialIn == 0 {
				to = "z"
			}
			out = append(out, call{time: 10 + at, proxy: k.name, fromZone: k.name[:1], toZone: to, arrived: true})
		}
	}
	return out
}

// TestFindDepartures checks when proxies count as having stopped. The last regular calls count as trials, so
// that the wanted times are a little before `until`.
func TestFindDepartures(t *testing.T) {
	nan := math.NaN()
	for _, test := range []struct {
		name    string
		callers []caller
		want    departures
	}{
		{"all at once", []caller{{"a1", 100, 0.3, 0}, {"a2", 100, 0.3, 0}}, departures{0.26, 0.26, 0, 0.28, 0}},
		{"one after another", []caller{{"a1", 100, 0.3, 0}, {"a2", 100, 0.9, 0}}, departures{0.26, 0.86, 0.6, 0.86, 0}},
		{"each zone by itself", []caller{{"a1", 100, 0.3, 0}, {"b1", 100, 0.9, 0}}, departures{0.26, 0.86, 0, 0.86, 0}},
		{"trials are no calls", []caller{{"a1", 100, 0.3, 50}, {"a2", 100, 0.5, 50}}, departures{0.28, 0.46, 0.18, 0.48, 0}},
		{"so many trials are", []caller{{"a1", 100, 0.3, 0}, {"a2", 100, 0.3, 10}}, departures{0.26, 9.9, 9.64, 0, 1}},
		{"few calls a second", []caller{{"a1", 10, 2, 0}, {"a2", 10, 2, 30}}, departures{1.6, 1.8, 0.2, 2, 0}},
		{"one that stays", []caller{{"a1", 100, 0.3, 0}, {"a2", 100, 10, 0}}, departures{0.26, 9.98, 9.72, 10, 1}},
		{"never there but for a trial", []caller{{"a1", 100, -1, 500}}, departures{nan, nan, nan, 0, 0}},
	} {
		got := findDepartures(callsDuring(test.callers...), affectedCalls{affects: func(c call) bool { return c.toZone == "z" }}, Event{Start: 10, End: 20})
		if test.name == "so many trials are" { // the trials are 5 % of all calls
			got.avoided = 0
		}
		text := func(l departures) string {
			return fmt.Sprintf("%.2f %.2f %.2f %.2f %d", l.first, l.last, l.spread, l.avoided, l.stayed)
		}
		if got, want := text(got), text(test.want); got != want {
			t.Errorf("%s: %s, want %s (first, last, spread, avoided, stayed)", test.name, got, want)
		}
	}
}

// A target counts as returned once it has its earlier share of the calls. The lost zone's share is a half
// before a fault from second 10 to 12, and rises to that linearly over the 4 s after it.
func TestReturnDelay(t *testing.T) {
	var calls []call
	credit := 0.0
	for i := range 3000 {
		at := float64(i) / 100
		part := 0.5
		switch {
		case at >= 10 && at < 12:
			part = 0
		case at >= 12 && at < 16:
			part = 0.5 * (at - 12) / 4
		}
		to := "y"
		if credit += part; credit >= 1 {
			credit, to = credit-1, "z"
		}
		calls = append(calls, call{time: at, fromZone: "a", toZone: to, arrived: true})
	}
	input := Input{Experiment: &experiment.Experiment{Seconds: 30, Warmup: 2}}
	affected := affectedCalls{targets: func(c call) bool { return c.toZone == "z" }}
	event := Event{Number: 1, Start: 10, End: 12}
	// The window of 2 s has 95 % of that half if it begins 3.4 s after the end, with the last 0.6 s of the
	// rise in it.
	if got := returnDelay(input, calls, affected, event); got < 5 || got > 5.5 {
		t.Errorf("returned after %v s, want 5 to 5.5", got)
	}
	input.Events = []Event{event, {Number: 2, Start: 15, End: 16}}
	if got := returnDelay(input, calls, affected, event); got != 3 {
		t.Errorf("not returned before the next fault: %v s, want the 3 s until that fault", got)
	}
}

// The use of the headroom compares the answered weight with what the remaining capacity allows. Two servers
// do a second of work a second each. One is gone for the 10 s after second 10, so that the remaining capacity
// serves two thirds of the 1.5 s of work a second; the requests with the most weight per work go first.
func TestHeadroomUse(t *testing.T) {
	group := experiment.ServerGroup{Count: 2, Speed: 1, Slots: 1}
	exp := &experiment.Experiment{Seconds: 30, Zones: []experiment.Zone{{Name: "a", Proxies: 1, Servers: []experiment.ServerGroup{group}}},
		Classes: []experiment.Class{{Weight: 10}, {Weight: 1}}, Servers: experiment.Servers{StartCapacity: 0.5, SlowStartMs: 4000}}
	kill := func(from, lasts time.Duration) plan.PlannedFault {
		return plan.PlannedFault{Number: 1, Fault: experiment.Fault{Kind: "nodo_kill"}, At: from, Duration: lasts, Targets: []plan.Target{{At: from, Name: "a-s1"}}}
	}
	var requests []clientRequest
	for i := range 300 { // every 0.1 s a request of class 0 with 50 ms of work and one of class 1 with 100 ms
		at := time.Duration(i) * 100 * time.Millisecond
		requests = append(requests, clientRequest{Arrival: &plan.Arrival{At: at, Class: 0, Work: 50 * time.Millisecond}, outcome: referee.Served, inTime: true},
			clientRequest{Arrival: &plan.Arrival{At: at, Class: 1, Work: 100 * time.Millisecond}, outcome: referee.Rejected})
	}
	for _, test := range []struct {
		name      string
		fault     plan.PlannedFault
		unreached bool // the rejected requests reached no proxy
		want      float64
	}{
		{"half of the capacity", kill(10*time.Second, 10*time.Second), false, 1000 / (1000 + 50.0)},
		{"back in slow start in mid-span", kill(10*time.Second, 4*time.Second), false, 1000 / (1000 + 100.0)},
		{"unreached is left out", kill(10*time.Second, 10*time.Second), true, 1},
	} {
		for i := range requests {
			if requests[i].Class == 1 {
				requests[i].outcome = map[bool]referee.Outcome{
					false: referee.Rejected, true: referee.Unreached}[test.unreached]
			}
		}
		input := Input{Experiment: exp, Plan: &plan.Plan{Faults: []plan.PlannedFault{test.fault}}}
		if got := input.headroomUse(requests, Event{Number: 1, Start: 10, End: 20}); math.Abs(got-test.want) > 1e-3 {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
	input := Input{Experiment: exp, Plan: &plan.Plan{Faults: []plan.PlannedFault{kill(10*time.Second, 4*time.Second)}}}
	// One server works for 10 s, the other for 6 s, of which it lacks a quarter on average over 4 s of slow
	// start.
	if got := input.availableWork(10, 20, func(string) bool { return true }); math.Abs(got-15) > 0.01 {
		t.Errorf("available work %v s, want 15 s", got)
	}
}

// Bytes that a cut link delayed count once, as the attempt that arrived; those that never arrived count as a
// wasted call.
func TestDelayedBytesCountOnce(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s float64) time.Time { return start.Add(experiment.Seconds(s)) }
	r := referee.New(referee.Config{Classes: []referee.Class{{Name: "c"}}, MaxAttempts: 3})
	r.RecordSend(&referee.ClientAttempt{ID: "x", StartedAt: at(10)}, "a-p1")
	r.RecordServerState("b-s1", referee.ServerState{Zone: "b", Serving: true}, start)
	r.BeginAttempt(referee.Arrival{Server: "b-s1", ID: "x", FirstByteAt: at(10), LastByteAt: at(13)})
	for _, s := range []float64{10, 11} {
		r.RecordUnansweredSend(referee.UnansweredSend{SentAt: at(s), Proxy: "a-p1", FromZone: "a", Server: "b-s1", Zone: "b", Dial: s == 11})
	}
	exp := &experiment.Experiment{Seconds: 20, Zones: []experiment.Zone{{Name: "a", Proxies: 1}, {Name: "b"}}}
	input := Input{Experiment: exp, Start: start, Record: r.Close(), Events: []Event{{Number: 1, Start: 9, End: 12}}, Plan: &plan.Plan{Faults: []plan.PlannedFault{
		{Number: 1, Fault: experiment.Fault{Kind: "zone_cut", Zone: "b"}, At: 9 * time.Second, Duration: 3 * time.Second}}}}
	metrics := map[string]float64{}
	(&Play{}).addAvoidance(input, nil, metrics)
	if metrics["wasted.1"] != 2 || metrics["dials_lost"] != 1 || metrics["left_last_s.1"] != 2 {
		t.Errorf("got %v, want 2 wasted calls, of which 1 is a dial, and the last one after 2 s", metrics)
	}
	for name := range metrics {
		exp.Faults = []experiment.Fault{{}}
		if !experiment.IsKnownMetric(name, exp) {
			t.Errorf("metric %s is unknown to experiments", name)
		}
	}
}
