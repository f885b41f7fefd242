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

// The page shows each part of a result: expectations, faults, latencies, zones and violations.
func TestHTMLShowsEachPart(t *testing.T) {
	least := 0.9
	play := result.Play{Seed: 7, Void: "late", Partial: true, Zones: []string{"z"}, Attempts: map[string][]int{"z": {42}},
		Latency: map[string][]float64{"pay": {1, 2, 3, 4, 5, 6, 7}}, Windows: []result.Window{{Weight: 1, Arrived: 1, Served: 1}},
		Events:     []result.Event{{Number: 3, Kind: "kill", Target: []string{"z-p1"}, Start: 1, End: 2, StillDegraded: true, WeightBefore: 0.875}},
		Violations: []referee.Violation{{Rule: "lost", At: time.Unix(0, 0), Proxy: "z-p2", Server: "z-s3", Attempt: "00ff", Text: "nothing came"}}}
	r := &result.Result{Title: "a title", File: "x.toml", Version: "v", StartedAt: time.Unix(0, 0), Plays: []result.Play{play},
		Expected: []result.Verdict{{Metric: "in_time", Min: &least, Start: 1, End: 2, Text: "play 1: bad"}},
		Metrics:  map[string]result.Range{"served": {Median: 1}}}
	dir := t.TempDir()
	if err := HTML(dir, r); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(filepath.Join(dir, FileName))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"a title", "in_time", "play 1: bad", "3: kill", "z-p1", "0.875", "not within", "VOID: late", "pay",
		"42", "lost", "z-p2", "z-s3", "00ff", "nothing came", "served"} {
		if !strings.Contains(string(text), want) {
			t.Errorf("the page does not contain %q", want)
		}
	}
}
