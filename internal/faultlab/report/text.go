// Package report writes what a run left for people: a page that opens from disk, a table, and the difference between
// two runs. It reads Results and nothing else.
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

const violationsShown = 10

// Text prints a run's metrics, faults and verdicts.
func Text(w io.Writer, r *result.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s (%s, version %s)\n", r.Title, r.File, r.Version)
	for i, p := range r.Plays {
		fmt.Fprintf(t, "play %d: seed %d, plan %s, the lab late by %.2f / %.2f / %.1f ms (p50, p99, max), stalled %.1f ms, %.0f MB%s\n",
			i+1, p.Seed, p.Plan, p.Lateness.P50, p.Lateness.P99, p.Lateness.Max, p.Lateness.Stall, p.LabMB, voidText(p))
	}
	fmt.Fprintln(t, "figure\tmedian\tmin\tmax")
	for _, name := range r.MetricNames() {
		if _, _, _, ok := spentName(name); ok {
			continue
		}
		g := r.Metrics[name]
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", name, num(g.Median), num(g.Min), num(g.Max))
	}
	control(t, r)
	for i, p := range r.Plays {
		for _, ev := range p.Events {
			back := fmt.Sprintf("back to 95 %% after %.1f s", ev.Recovery)
			switch {
			case ev.StillDegraded:
				back = fmt.Sprintf("not back %.1f s later", ev.Recovery)
			case ev.Recovery == 0:
				back = "service stayed over 95 %"
			}
			fmt.Fprintf(t, "play %d, fault %d: %s %s from %.1f to %.1f s: %s\n", i+1, ev.Number, ev.Kind,
				strings.Join(ev.Target, " "), ev.Start, ev.End, back)
		}
		for j, v := range p.Violations {
			if j == violationsShown {
				fmt.Fprintf(t, "play %d: further breaches in result.json\n", i+1)
				break
			}
			fmt.Fprintf(t, "play %d: BROKEN %s: %s (proxy %s, nodo %s, request %s): %s\n", i+1, v.Rule,
				v.At.Format("15:04:05.000"), v.Proxy, v.Server, v.Attempt, v.Text)
		}
	}
	for _, v := range r.Expected {
		if v.Held {
			continue
		}
		fmt.Fprintf(t, "NOT HELD: %s", v.Text)
		if rule, ok := strings.CutPrefix(v.Metric, "broken."); ok {
			fmt.Fprintf(t, "  %s: %s\n", rule, experiment.RuleText[rule])
		}
	}
	held := 0
	for _, v := range r.Expected {
		if v.Held {
			held++
		}
	}
	fmt.Fprintf(t, "%d of %d expectations held\n", held, len(r.Expected))
	return t.Flush()
}

func voidText(p result.Play) string {
	switch {
	case p.Void != "":
		return "; VOID: " + p.Void
	case p.Partial:
		return "; PARTIAL"
	}
	return ""
}

func num(v float64) string {
	if v == math.Trunc(v) && math.Abs(v) < 1e9 {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.4g", v)
}

// Compare prints the metrics of two runs with their differences. A difference lies within the spread if the ranges of
// the two runs' plays overlap; single plays have no spread, and are said to have none.
func Compare(w io.Writer, a, b *result.Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "A: %s, %d plays, version %s\nB: %s, %d plays, version %s\n", a.Title, len(a.Plays), a.Version, b.Title,
		len(b.Plays), b.Version)
	if a.Title != b.Title {
		fmt.Fprintln(t, "the experiments differ: compare with care")
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
			fmt.Fprintf(t, "%s\t%s\t\t%s\t\t\tin one only\n", name, maybe(x, inA), maybe(y, inB))
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%+.4g\t%s\n", name, num(x.Median), spread(x), num(y.Median), spread(y),
			y.Median-x.Median, within(x, y, len(a.Plays), len(b.Plays)))
	}
	return t.Flush()
}

func maybe(r result.Range, has bool) string {
	if !has {
		return "-"
	}
	return num(r.Median)
}

func spread(r result.Range) string { return num(r.Min) + ".." + num(r.Max) }

func within(x, y result.Range, na, nb int) string {
	switch {
	case x == y:
		return "same"
	case na < 2 && nb < 2:
		return "single plays: no spread known"
	case x.Min <= y.Max && y.Min <= x.Max:
		return "within the spread"
	}
	return "beyond the spread"
}
