package report

import (
	"cmp"
	"html/template"
	"slices"
	"strings"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/result"
)

const (
	slowestShown = 5 // number of faults with the longest recovery that the page shows
	clockFormat  = "15:04:05.000"
)

// page holds the data of the page's template, which uses only the types of this file. A renamed field of a
// result is thus a compile error here and not an error when a page is written. Times that are numbers are in
// seconds since the start of the load, unless noted.
type page struct {
	Title, File, Version string
	StartedAt            string // UTC
	Verdict              string
	Cores                int
	LoadBefore           float64 // the machine's load average over one minute, before the run
	LoadAfter            float64 // and after it
	Expectations         []expectation
	SlowestFaults        []faultRow
	Plays                []play
	Percentiles          []string
	Metrics              []metricRow
}

// expectation is the verdict on an expectation.
type expectation struct {
	Metric   string
	Min, Max string // bounds; empty if there is none
	Median   string
	Span     string // of the arrivals that count; empty for all
	Held     bool
	Text     string
}

// faultRow is an injected fault with the service's recovery from it.
type faultRow struct {
	Play          int // from 1
	Number        int
	Kind          string
	Targets       string
	Start, End    float64
	WeightBefore  float64
	Recovery      float64 // seconds
	StillDegraded bool
}

// play holds the results of one play.
type play struct {
	Number                                int // from 1
	Seed                                  uint64
	Void                                  string
	Partial                               bool
	LatenessP50, LatenessP99, LatenessMax float64 // ms
	LongestStall                          float64 // ms
	LabMemory                             float64 // MB
	Pictures                              []template.HTML
	Latency                               map[string][]float64 // ms at Percentiles, by class
	Zones                                 []string
	ZoneAttempts                          []zoneRow
	Violations                            []violation
}

// zoneRow holds the numbers of attempts from one zone to each zone.
type zoneRow struct {
	From string
	To   []int // in the order of Zones
}

// violation is a detected violation of a rule.
type violation struct {
	Rule, RuleText, At, Proxy, Server, Attempt, Text string
}

// metricRow is a metric over all plays.
type metricRow struct {
	Name, Median, Spread string
}

// newPage returns the page of a result.
func newPage(r *result.Result) (*page, error) {
	p := &page{Title: r.Title, File: r.File, Version: r.Version,
		StartedAt: r.StartedAt.Format("2006-01-02 15:04:05"), Verdict: verdict(r), Cores: r.Machine.Cores,
		LoadBefore: r.Machine.LoadBefore[0], LoadAfter: r.Machine.LoadAfter[0],
		SlowestFaults: slowestFaults(r)}
	for _, e := range r.Expected {
		p.Expectations = append(p.Expectations, newExpectation(e))
	}
	for _, percentile := range result.Percentiles {
		p.Percentiles = append(p.Percentiles, formatNumber(percentile))
	}
	for _, name := range r.MetricNames() {
		values := r.Metrics[name]
		p.Metrics = append(p.Metrics, metricRow{name, formatNumber(values.Median), formatSpread(values)})
	}
	for i, playResult := range r.Plays {
		shown, err := newPlay(i+1, playResult)
		if err != nil {
			return nil, err
		}
		p.Plays = append(p.Plays, shown)
	}
	return p, nil
}

func newExpectation(e result.Verdict) expectation {
	out := expectation{Metric: e.Metric, Median: formatNumber(e.Range.Median), Held: e.Held, Text: e.Text}
	if e.Min != nil {
		out.Min = formatNumber(*e.Min)
	}
	if e.Max != nil {
		out.Max = formatNumber(*e.Max)
	}
	if e.Start != 0 || e.End != 0 {
		out.Span = formatNumber(e.Start) + " to " + formatNumber(e.End) + " s"
	}
	return out
}

func newPlay(number int, p result.Play) (play, error) {
	out := play{Number: number, Seed: p.Seed, Void: p.Void, Partial: p.Partial, LatenessP50: p.Lateness.P50,
		LatenessP99: p.Lateness.P99, LatenessMax: p.Lateness.Max, LongestStall: p.Lateness.Stall,
		LabMemory: p.LabMB, Latency: p.Latency, Zones: p.Zones}
	for _, draw := range []func(result.Play) (template.HTML, error){rateChart, latencyChart} {
		picture, err := draw(p)
		if err != nil {
			return play{}, err
		}
		out.Pictures = append(out.Pictures, picture)
	}
	for _, zone := range p.Zones {
		out.ZoneAttempts = append(out.ZoneAttempts, zoneRow{zone, p.Attempts[zone]})
	}
	for _, v := range p.Violations {
		out.Violations = append(out.Violations, violation{Rule: v.Rule, RuleText: experiment.RuleText[v.Rule],
			At: v.At.Format(clockFormat), Proxy: v.Proxy, Server: v.Server, Attempt: v.Attempt, Text: v.Text})
	}
	return out, nil
}

// slowestFaults returns the faults of all plays with the longest recovery, the longest first.
func slowestFaults(r *result.Result) []faultRow {
	var out []faultRow
	for i, p := range r.Plays {
		for _, event := range p.Events {
			out = append(out, faultRow{Play: i + 1, Number: event.Number, Kind: event.Kind,
				Targets: strings.Join(event.Target, " "), Start: event.Start, End: event.End,
				WeightBefore: event.WeightBefore, Recovery: event.Recovery,
				StillDegraded: event.StillDegraded})
		}
	}
	slices.SortStableFunc(out, func(a, b faultRow) int { return cmp.Compare(b.Recovery, a.Recovery) })
	return out[:min(slowestShown, len(out))]
}

// verdict returns the verdict on a run, or why there is none.
func verdict(r *result.Result) string {
	switch {
	case r.Partial != "":
		return "PARTIAL: " + r.Partial + ". There is no verdict."
	case r.VoidReason() != "":
		return "VOID: " + r.VoidReason()
	case !r.Held:
		return "NOT HELD"
	}
	return "HELD"
}
