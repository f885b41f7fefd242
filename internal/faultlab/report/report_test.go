package report

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/result"
)

// sampleResult returns a result that has every part that a report shows.
func sampleResult() *result.Result {
	bound := 3.0
	at := time.Date(2026, 1, 2, 3, 4, 5, 678e6, time.UTC)
	return &result.Result{
		Title: "sample", File: "sample.toml", Version: "v1", StartedAt: at,
		Metrics: map[string]result.Range{"goodput": {Median: 0.5, Min: 0.25, Max: 1}, "control.calm.proxy.in_b_s": {Median: 1234}},
		Expected: []result.Verdict{{Metric: "broken.lost", Max: &bound, Start: 1, End: 2, Text: "in play 1"},
			{Metric: "goodput", Max: &bound, Held: true}},
		Plays: []result.Play{{
			Seed: 7, Plan: "abc", Lateness: result.Lateness{P50: 0.1, P99: 0.2, Max: 3, Stall: 4}, LabMB: 50,
			Violations: []referee.Violation{{Rule: "lost", At: at, Proxy: "proxy-1", Server: "server-2", Attempt: "attempt-3", Text: "no answer"}},
			Events: []result.Event{{Number: 1, Kind: "kill", Target: []string{"proxy-1"}, Start: 1, End: 2, Recovery: 1.5, WeightBefore: 0.9},
				{Number: 2, Kind: "cut", Start: 3, End: 4, Recovery: 2.5, StillDegraded: true, WeightBefore: 0.8}},
			Windows:  []result.Window{{Start: 0, Arrived: 10, Served: 9, Rejected: 1}, {Start: 1, Arrived: 20, Served: 18, Failed: 2}},
			Latency:  map[string][]float64{"class-a": make([]float64, len(result.Percentiles))},
			Zones:    []string{"east", "west"},
			Attempts: map[string][]int{"east": {5, 6}, "west": {7, 8}},
		}},
	}
}

// The page shows every part of a result, with numbers and times formatted.
func TestHTMLFormatsEachPart(t *testing.T) {
	dir := t.TempDir()
	if err := HTML(dir, sampleResult()); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"<h1>sample</h1>", "<b>NOT HELD</b>", "started 2026-01-02 03:04:05 UTC, program v1",
		`<td>broken.lost</td>`, `<td class="n">&le; 3</td>`, "<td>1 to 2 s</td><td>in play 1</td>",
		`<td>2: cut</td><td></td><td>3.0, 4.0</td>` + "\n" + `<td class="n">0.800</td><td class="n">not within 2.5</td>`,
		`<td>1: kill</td><td>proxy-1</td><td>1.0, 2.0</td>` + "\n" + `<td class="n">0.900</td><td class="n">1.5</td>`,
		"<h2>Play 1, seed 7</h2>", "0.10 / 0.20 / 3.0 ms", "4.0 ms at most, and took 50 MB",
		"<tr><td>class-a</td>", `<tr><td>east</td><td class="n">5</td><td class="n">6</td></tr>`,
		"<td>03:04:05.678</td>\n<td>proxy-1</td><td>server-2</td><td>attempt-3</td><td>no answer</td>",
		`<tr><td>goodput</td><td class="n">0.5</td><td class="n">0.25..1</td></tr>`, "<svg",
	} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}

// The table shows metrics, faults, violations and expectations that did not hold.
func TestText(t *testing.T) {
	var out strings.Builder
	if err := Text(&out, sampleResult()); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"sample (sample.toml, version v1)", "play 1: seed 7, plan abc, the lab late by 0.10 / 0.20 / 3.0 ms (p50, p99, max), stalled 4.0 ms, 50 MB",
		"calm proxy", "1234", "fault 1: kill proxy-1 from 1.0 to 2.0 s: back to 95 % after 1.5 s", "fault 2: cut  from 3.0 to 4.0 s: not back 2.5 s later",
		"BROKEN lost: 03:04:05.678 (proxy proxy-1, nodo server-2, request attempt-3): no answer", "NOT HELD: in play 1  lost: ",
		"1 of 2 expectations held",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("the table does not contain %q:\n%s", want, out.String())
		}
	}
}
