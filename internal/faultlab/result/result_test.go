package result

import (
	"math"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
)

// playWithLateAnswers returns a play of ten requests a second for 20 s. The answers to requests of the
// seconds [from, to) are late.
func playWithLateAnswers(t *testing.T, from, to float64, exp *experiment.Experiment, events ...Event) Play {
	t.Helper()
	start := time.Unix(1000, 0)
	exp.Seconds, exp.Zones = 20, []experiment.Zone{{Name: "z", Proxies: 1}}
	exp.Classes = []experiment.Class{{Name: "c", ObjectiveMs: 100, Weight: 2}}
	input := Input{Experiment: exp, Plan: &plan.Plan{}, Start: start, Events: events}
	for _, event := range events {
		input.Plan.Faults = append(input.Plan.Faults, plan.PlannedFault{Number: event.Number})
	}
	for i := range 200 {
		at := time.Duration(i) * 100 * time.Millisecond
		input.Plan.Arrivals = append(input.Plan.Arrivals, plan.Arrival{Number: i, At: at})
		took := 50 * time.Millisecond
		if s := at.Seconds(); s >= from && s < to {
			took = 150 * time.Millisecond
		}
		input.Record.ClientAttempts = append(input.Record.ClientAttempts, &referee.ClientAttempt{Arrival: i, Outcome: referee.Served, EndedAt: start.Add(at + took)})
	}
	var p Play
	p.Fill(input)
	return p
}

// Recovery lasts from a fault until service is back at its level before the fault, or until the next fault.
func TestRecovery(t *testing.T) {
	fault := func(n int, from float64) Event { return Event{Number: n, Start: from, End: from + 1} }
	for _, test := range []struct {
		name     string
		from, to float64 // of the late answers
		events   []Event
		want     []float64
		degraded bool // service is still degraded after the last fault
	}{
		{"never below", 20, 20, []Event{fault(1, 8)}, []float64{0}, false},
		{"in the warmup", 8, 11, []Event{fault(1, 0)}, []float64{11}, false},
		{"below for 3 s", 8, 11, []Event{fault(1, 8)}, []float64{3}, false},
		{"never back", 8, 20, []Event{fault(1, 8)}, []float64{12}, true},
		{"of the second fault, not the first", 13, 14, []Event{fault(1, 5), fault(2, 12)}, []float64{0, 2}, false},
	} {
		p := playWithLateAnswers(t, test.from, test.to, &experiment.Experiment{Warmup: 4}, test.events...)
		for i, want := range test.want {
			if got := p.Events[i].Recovery; math.Abs(got-want) > 1e-9 {
				t.Errorf("%s: fault %d: %v s, want %v", test.name, i+1, got, want)
			}
		}
		if last := p.Events[len(p.Events)-1]; last.StillDegraded != test.degraded {
			t.Errorf("%s: still degraded %v", test.name, last.StillDegraded)
		}
	}
}

// A failed expectation is reported with metric and bound; a void play does not count; several plays have a range.
func TestConclude(t *testing.T) {
	pointer := func(v float64) *float64 { return &v }
	exp := &experiment.Experiment{Expect: []experiment.Expect{
		{Metric: "in_time", Min: pointer(0.7), From: 0.1, To: 20},
		{Metric: "in_time", Min: pointer(0.9), From: 10, To: 15},
		{Metric: "p99_ms", Max: pointer(151)}, {Metric: "broken.lost", Max: pointer(0)}}}
	bad, good := playWithLateAnswers(t, 10, 15, exp), playWithLateAnswers(t, 20, 20, exp)
	void := playWithLateAnswers(t, 0, 20, exp)
	void.Void = "late"
	r := Result{Plays: []Play{bad, good, good, void}}
	r.Conclude(exp)
	wantHeld := []bool{true, false, true, true}
	for i, v := range r.Expected {
		if v.Held != wantHeld[i] {
			t.Errorf("%s: held %v (%s)", v.Metric, v.Held, v.Text)
		}
	}
	if want := "play 1: in_time is 0, wanted at least 0.9\n"; r.Expected[1].Text != want || r.Held {
		t.Errorf("got %q, want %q", r.Expected[1].Text, want)
	}
	if g := r.Metrics["in_time"]; g != (Range{Median: 1, Min: 0.75, Max: 1}) {
		t.Errorf("in_time over the plays: %+v", g)
	}
	dir := t.TempDir()
	if err := r.Write(dir); err != nil {
		t.Fatal(err)
	}
	reread, err := Read(dir)
	if err != nil {
		t.Fatal(err)
	}
	if len(reread.Plays) != 4 || reread.Metrics["p50_ms"] != r.Metrics["p50_ms"] {
		t.Error("the result differs after writing and reading")
	}
}
