// Package report renders the results of fault-lab runs for people: an HTML page, a text table and a
// comparison of two runs. It only reads result.Result, and never evaluates a run.
package report

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/result"
)

const violationsShown = 10 // of a play

// Text prints a run's metrics, faults, violations and verdicts.
func Text(w io.Writer, r *result.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s (%s, version %s)\n", r.Title, r.File, r.Version)
	for i, p := range r.Plays {
		fmt.Fprintf(t, "play %d: seed %d, plan %s, the lab late by %.2f / %.2f / %.1f ms (p50, p99, max), stalled %.1f ms, %.0f MB%s\n",
			i+1, p.Seed, p.Plan, p.Lateness.P50, p.Lateness.P99, p.Lateness.Max, p.Lateness.Stall, p.LabMB, formatInvalid(p))
	}
	fmt.Fprintln(t, "figure\tmedian\tmin\tmax")
	for _, name := range r.MetricNames() {
		if _, _, _, ok := parseUsageName(name); ok {
			continue
		}
		values := r.Metrics[name]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", name, formatNumber(values.Median), formatNumber(values.Min), formatNumber(values.Max))
	}
	writeUsage(t, r)
	for i, p := range r.Plays {
		writeFaults(t, i+1, p)
		writeViolations(t, i+1, p)
	}
	writeExpectations(t, r)
	return t.Flush()
}

// writeFaults prints the faults of a play and the recovery from each.
func writeFaults(w io.Writer, play int, p result.Play) {
	for _, event := range p.Events {
		recovery := fmt.Sprintf("back to 95 %% after %.1f s", event.Recovery)
		switch {
		case event.StillDegraded:
			recovery = fmt.Sprintf("not back %.1f s later", event.Recovery)
		case event.Recovery == 0:
			recovery = "service stayed above 95 %"
		}
		fmt.Fprintf(w, "play %d, fault %d: %s %s from %.1f to %.1f s: %s\n", play, event.Number, event.Kind,
			strings.Join(event.Target, " "), event.Start, event.End, recovery)
	}
}

// writeViolations prints the first violations of a play.
func writeViolations(w io.Writer, play int, p result.Play) {
	for i, v := range p.Violations {
		if i == violationsShown {
			fmt.Fprintf(w, "play %d: further violations are in result.json\n", play)
			return
		}
		fmt.Fprintf(w, "play %d: BROKEN %s: %s (proxy %s, nodo %s, request %s): %s\n", play, v.Rule,
			v.At.Format(clockFormat), v.Proxy, v.Server, v.Attempt, v.Text)
	}
}

// writeExpectations prints the expectations that did not hold, and the number of those that did.
func writeExpectations(w io.Writer, r *result.Result) {
	held := 0
	for _, v := range r.Expected {
		if v.Held {
			held++
			continue
		}
		fmt.Fprintf(w, "NOT HELD: %s", v.Text)
		if rule, ok := strings.CutPrefix(v.Metric, "broken."); ok {
			fmt.Fprintf(w, "  %s: %s\n", rule, experiment.RuleText[rule])
		}
	}
	fmt.Fprintf(w, "%d of %d expectations held\n", held, len(r.Expected))
}

// formatInvalid returns why a play does not count. It is empty if the play counts.
func formatInvalid(p result.Play) string {
	switch {
	case p.Void != "":
		return "; VOID: " + p.Void
	case p.Partial:
		return "; PARTIAL"
	}
	return ""
}

// formatNumber formats a number with four significant digits, or with all digits if it is an integer below a
// billion.
func formatNumber(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// Compare prints the metrics of two runs with their differences. A difference is within the spread if the
// ranges of the two runs' plays overlap. Runs of a single play have no spread.
func Compare(w io.Writer, a, b *result.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "A: %s, %d plays, version %s\nB: %s, %d plays, version %s\n", a.Title, len(a.Plays), a.Version, b.Title,
		len(b.Plays), b.Version)
	if a.Title != b.Title {
		fmt.Fprintln(t, "the runs are of different experiments: compare their figures with care")
	}
	for name, r := range map[string]*result.Result{"A": a, "B": b} {
		if why := r.VoidReason(); why != "" {
			fmt.Fprintf(t, "%s is void: %s\n", name, why)
		}
	}
	fmt.Fprintln(t, "figure\tA\tspread\tB\tspread\tB - A\t")
	names := append(a.MetricNames(), b.MetricNames()...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		x, inA := a.Metrics[name]
		y, inB := b.Metrics[name]
		if !inA || !inB {
			fmt.Fprintf(t, "%s\t%s\t\t%s\t\t\tin one run only\n", name, formatMedian(x, inA),
				formatMedian(y, inB))
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%+.4g\t%s\n", name, formatNumber(x.Median), formatSpread(x),
			formatNumber(y.Median), formatSpread(y), y.Median-x.Median,
			compareSpreads(x, y, len(a.Plays), len(b.Plays)))
	}
	return t.Flush()
}

// formatMedian returns the median, or "-" for a metric that a run lacks.
func formatMedian(r result.Range, present bool) string {
	if !present {
		return "-"
	}
	return formatNumber(r.Median)
}

// formatSpread returns the minimum and the maximum of a range.
func formatSpread(r result.Range) string { return formatNumber(r.Min) + ".." + formatNumber(r.Max) }

// compareSpreads returns how two ranges differ, each of which is over a number of plays.
func compareSpreads(x, y result.Range, playsA, playsB int) string {
	switch {
	case x == y:
		return "same"
	case playsA < 2 && playsB < 2:
		return "single plays, so the spread is unknown"
	case x.Min <= y.Max && y.Min <= x.Max:
		return "within the spread"
	}
	return "beyond the spread"
}
