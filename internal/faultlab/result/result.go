// Package result computes the metrics of a run, compares them with what the experiment expects, and defines
// result.json, the only input of reports and comparisons. It never runs anything.
package result

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/referee"
)

// FileName is the name of the file in a run's directory that holds its Result.
const FileName = "result.json"

// Result is the result of a run, which is one or more plays of an experiment.
type Result struct {
	Title     string           `json:"title"`
	File      string           `json:"file"`
	Version   string           `json:"version"` // of the program under test
	StartedAt time.Time        `json:"began"`
	Machine   Machine          `json:"machine"`
	Partial   string           `json:"partial,omitempty"` // why the run is incomplete
	Plays     []Play           `json:"plays"`
	Metrics   map[string]Range `json:"figures"`
	Expected  []Verdict        `json:"expected"`
	Held      bool             `json:"held"` // each expectation in each play; meaningless if void
}

// Machine describes the machine of a run.
type Machine struct {
	Cores      int        `json:"cores"`
	LoadBefore [3]float64 `json:"load_before"` // averages of 1, 5 and 15 minutes
	LoadAfter  [3]float64 `json:"load_after"`
}

// Play is one execution of the experiment with one seed.
type Play struct {
	Seed            uint64               `json:"seed"`
	Plan            string               `json:"plan"`           // digest
	Void            string               `json:"void,omitempty"` // why it does not count; empty: it does
	Partial         bool                 `json:"partial,omitempty"`
	Lateness        Lateness             `json:"late"`
	LabMB           float64              `json:"lab_mb"` // peak resident memory of the lab itself
	Metrics         map[string]float64   `json:"figures"`
	ViolationCounts map[string]int       `json:"broken"`
	Violations      []referee.Violation  `json:"violations,omitempty"`
	Events          []Event              `json:"events"`
	Windows         []Window             `json:"windows"`
	Latency         map[string][]float64 `json:"latency_ms"` // at Percentiles, by class
	Attempts        map[string][]int     `json:"attempts"`   // by the proxy's zone, then by the index in Zones of the server's
	Zones           []string             `json:"zones"`
	ExpectedValues  []float64            `json:"spans"` // by expectation
}

// Percentiles are the percentiles that Play.Latency holds.
var Percentiles = []float64{50, 75, 90, 95, 99, 99.9, 100}

// Lateness is how late the lab sent its arrivals, in ms.
type Lateness struct {
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Stall float64 `json:"stall_ms"` // longest pause of the lab
}

// Event is a fault as it was injected, and how long service was degraded.
type Event struct {
	Number        int      `json:"n"`
	Kind          string   `json:"kind"`
	Target        []string `json:"target,omitempty"`
	Start         float64  `json:"from"` // seconds since the load started
	End           float64  `json:"to"`
	Recovery      float64  `json:"recovery_s"` // from the fault's start until service stays at 95 % of the level before; 0: never below
	StillDegraded bool     `json:"below"`      // until the next fault or the end of the load
	WeightBefore  float64  `json:"before"`     // fraction of the weight answered in time before it
}

// Window is half a second of arrivals, by their planned times.
type Window struct {
	Start    float64 `json:"at"`
	Weight   float64 `json:"worth"`
	InTime   float64 `json:"in_time"` // weight
	Arrived  int     `json:"arrived"`
	Served   int     `json:"served"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	Connects int     `json:"connects"` // to servers
}

// Range summarizes a metric over the plays.
type Range struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Verdict is an expectation and its result over all plays.
type Verdict struct {
	Metric string   `json:"figure"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
	Start  float64  `json:"from,omitempty"`
	End    float64  `json:"to,omitempty"`
	Range  Range    `json:"range"`
	Held   bool     `json:"held"`
	Text   string   `json:"text,omitempty"` // of the plays in which it failed
}

// rangeOf summarizes values; NaN, a metric that a play lacks, is left out.
func rangeOf(values []float64) Range {
	values = slices.DeleteFunc(slices.Clone(values), math.IsNaN)
	if len(values) == 0 {
		return Range{}
	}
	slices.Sort(values)
	mid := values[len(values)/2]
	if len(values)%2 == 0 {
		mid = (mid + values[len(values)/2-1]) / 2
	}
	return Range{mid, values[0], values[len(values)-1]}
}

// Conclude fills in Metrics, Expected and Held from the plays that are not void.
func (r *Result) Conclude(exp *experiment.Experiment) {
	r.Metrics, r.Expected, r.Held = map[string]Range{}, nil, true
	var valid []Play
	for _, p := range r.Plays {
		if p.Void == "" {
			valid = append(valid, p)
		}
	}
	byName := map[string][]float64{}
	for _, p := range valid {
		for name, v := range p.Metrics {
			byName[name] = append(byName[name], v)
		}
	}
	for name, values := range byName {
		r.Metrics[name] = rangeOf(values)
	}
	check := func(expect experiment.Expect, valueIn func(Play) float64) {
		verdict := Verdict{Metric: expect.Metric, Min: expect.Min, Max: expect.Max, Start: expect.From, End: expect.To, Held: true}
		var values []float64
		for i, p := range valid {
			value := valueIn(p)
			values = append(values, value)
			if ok, text := expect.Check(value); !ok {
				verdict.Held, r.Held = false, false
				verdict.Text += fmt.Sprintf("play %d: %s\n", i+1, text)
			}
		}
		verdict.Range = rangeOf(values)
		r.Expected = append(r.Expected, verdict)
	}
	if exp.Lab.Rules == "enforce" {
		zero := 0.0
		for _, rule := range append(violationMetrics(experiment.Rules), "crashed") {
			check(experiment.Expect{Metric: rule, Max: &zero}, func(p Play) float64 { return p.Metrics[rule] })
		}
	}
	for i, expect := range exp.Expect {
		check(expect, func(p Play) float64 { return p.ExpectedValues[i] })
	}
}

// violationMetrics returns the names of the metrics that count the violations of rules.
func violationMetrics(rules []string) (out []string) {
	for _, rule := range rules {
		out = append(out, "broken."+rule)
	}
	return out
}

// VoidReason returns why no play counts; empty if one does.
func (r *Result) VoidReason() string {
	reason := "no play was run"
	for _, p := range r.Plays {
		if p.Void == "" {
			return ""
		}
		reason = p.Void
	}
	return reason
}

// MetricNames returns the names of the metrics in alphabetical order, violations last.
func (r *Result) MetricNames() []string {
	var names []string
	for name := range r.Metrics {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(metricRank(a), metricRank(b)), cmp.Compare(a, b))
	})
	return names
}

func metricRank(name string) int {
	if len(name) >= 6 && name[:6] == "broken" {
		return 1
	}
	return 0
}

// Write writes result.json into a directory atomically.
func (r *Result) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("result: %w", err)
	}
	path := filepath.Join(dir, FileName)
	if err := os.WriteFile(path+".part", append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// Read reads the result.json of a directory.
func Read(dir string) (*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		return nil, fmt.Errorf("result: %w", err)
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, fmt.Errorf("result: %s: %w", filepath.Join(dir, FileName), err)
	}
	return r, nil
}
