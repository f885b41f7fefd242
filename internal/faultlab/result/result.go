// Package result is what a run leaves: every figure of every play, what was expected and whether it held. It is the form
// of result.json, and the only thing that reports and comparisons read.
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

// FileName is the file of a run's directory that holds its Result.
const FileName = "result.json"

// Result is a run: one or more plays of an experiment.
type Result struct {
	Title     string           `json:"title"`
	File      string           `json:"file"`
	Version   string           `json:"version"` // of the program that was run
	StartedAt time.Time        `json:"began"`
	Machine   Machine          `json:"machine"`
	Partial   string           `json:"partial,omitempty"` // why the run is not whole
	Plays     []Play           `json:"plays"`
	Metrics   map[string]Range `json:"figures"`
	Expected  []Verdict        `json:"expected"`
	Held      bool             `json:"held"` // every expectation of every play; of no meaning for a void run
}

// Machine is what the run shared.
type Machine struct {
	Cores      int        `json:"cores"`
	LoadBefore [3]float64 `json:"load_before"` // of 1, 5 and 15 minutes
	LoadAfter  [3]float64 `json:"load_after"`
}

// Play is one play.
type Play struct {
	Seed            uint64               `json:"seed"`
	Plan            string               `json:"plan"` // digest
	Void            string               `json:"void,omitempty"`
	Partial         bool                 `json:"partial,omitempty"`
	Lateness        Lateness             `json:"late"`
	LabMB           float64              `json:"lab_mb"` // the lab's own peak of resident memory
	Metrics         map[string]float64   `json:"figures"`
	ViolationCounts map[string]int       `json:"broken"`
	Violations      []referee.Violation  `json:"violations,omitempty"`
	Events          []Event              `json:"events"`
	Windows         []Window             `json:"windows"`
	Latency         map[string][]float64 `json:"latency_ms"` // at Percentiles, by class
	Attempts        map[string][]int     `json:"attempts"`   // of each zone's proxies, by the zone of the server
	Zones           []string             `json:"zones"`
	Spans           []float64            `json:"spans"` // figure of each expectation
}

// Percentiles of Play.Latency.
var Percentiles = []float64{50, 75, 90, 95, 99, 99.9, 100}

// Lateness is how late the lab itself was, in ms.
type Lateness struct {
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Stall float64 `json:"stall_ms"` // the longest in which the lab did not run
}

// Event is a fault as it was carried out, and how long service was hurt.
type Event struct {
	Number        int      `json:"n"`
	Kind          string   `json:"kind"`
	Target        []string `json:"target,omitempty"`
	Start         float64  `json:"from"` // seconds of the load
	End           float64  `json:"to"`
	Recovery      float64  `json:"recovery_s"` // from its beginning until service stays at 95 % of what it was; 0: never under
	StillDegraded bool     `json:"below"`      // it still was not, when the next fault began or the load ended
	WeightBefore  float64  `json:"before"`     // worth in time before it
}

// Window is half a second of arrivals.
type Window struct {
	Start    float64 `json:"at"`
	Weight   float64 `json:"worth"`
	InTime   float64 `json:"in_time"` // worth
	Arrived  int     `json:"arrived"`
	Served   int     `json:"served"`
	Rejected int     `json:"refused"`
	Failed   int     `json:"failed"`
	Connects int     `json:"connects"` // to servers
}

// Range is a figure over the plays.
type Range struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

// Verdict is an expectation and what came of it, over all plays.
type Verdict struct {
	Metric string   `json:"figure"`
	Min    *float64 `json:"min,omitempty"`
	Max    *float64 `json:"max,omitempty"`
	Start  float64  `json:"from,omitempty"`
	End    float64  `json:"to,omitempty"`
	Range  Range    `json:"range"`
	Held   bool     `json:"held"`
	Text   string   `json:"text,omitempty"` // of the plays that did not hold it
}

// rangeOf sums metrics up. Figures that a play lacks are left out.
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

// Conclude sums the plays up and judges what was expected. Void plays count for nothing.
func (r *Result) Conclude(exp *experiment.Experiment) {
	r.Metrics, r.Expected, r.Held = map[string]Range{}, nil, true
	var whole []Play
	for _, p := range r.Plays {
		if p.Void == "" {
			whole = append(whole, p)
		}
	}
	byName := map[string][]float64{}
	for _, p := range whole {
		for name, v := range p.Metrics {
			byName[name] = append(byName[name], v)
		}
	}
	for name, values := range byName {
		r.Metrics[name] = rangeOf(values)
	}
	judge := func(x experiment.Expect, of func(Play) float64) {
		v := Verdict{Metric: x.Figure, Min: x.Min, Max: x.Max, Start: x.From, End: x.To, Held: true}
		var values []float64
		for i, p := range whole {
			f := of(p)
			values = append(values, f)
			if ok, text := x.Held(f); !ok {
				v.Held, r.Held = false, false
				v.Text += fmt.Sprintf("play %d: %s\n", i+1, text)
			}
		}
		v.Range = rangeOf(values)
		r.Expected = append(r.Expected, v)
	}
	if exp.Lab.Rules == "enforce" {
		zero := 0.0
		for _, rule := range append(prefixed(experiment.Rules), "crashed") {
			judge(experiment.Expect{Figure: rule, Max: &zero}, func(p Play) float64 { return p.Metrics[rule] })
		}
	}
	for i, x := range exp.Expect {
		judge(x, func(p Play) float64 { return p.Spans[i] })
	}
}

func prefixed(rules []string) (out []string) {
	for _, rule := range rules {
		out = append(out, "broken."+rule)
	}
	return out
}

// Void tells whether no play counts, and why.
func (r *Result) VoidReason() string {
	why := "no play was made"
	for _, p := range r.Plays {
		if p.Void == "" {
			return ""
		}
		why = p.Void
	}
	return why
}

// Names are the metrics' names in order: broken rules last.
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

// Write writes result.json into a directory, whole or not at all.
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
