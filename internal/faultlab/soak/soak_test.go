package soak

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/result"
)

// Each seed gives a valid experiment with overlapping faults, which is the same each time, and each kind of
// fault is drawn for some seed.
func TestSeedsDrawValidExperiments(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(300) {
		e, text, err := Draw(seed)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if Text(seed) != text {
			t.Fatalf("seed %d draws another experiment the second time", seed)
		}
		if n := len(e.ProxyNodes()); n < 9 || n > 40 {
			t.Errorf("seed %d: got %d proxies, want 9 to 40", seed, n)
		}
		if !haveOverlap(e) {
			t.Errorf("seed %d: no two faults overlap:\n%s", seed, text)
		}
		for _, f := range e.Faults {
			seen[f.Kind] = true
		}
	}
	for _, fault := range faultGenerators {
		if !seen[fault.kind] {
			t.Errorf("no seed draws %s", fault.kind)
		}
	}
}

// haveOverlap reports whether two faults of an experiment overlap or start within the overlap window of each
// other.
func haveOverlap(e *experiment.Experiment) bool {
	for i, f := range e.Faults {
		for _, g := range e.Faults[i+1:] {
			if f.At <= g.At+g.Duration+overlapWindow && g.At <= f.At+f.Duration+overlapWindow {
				return true
			}
		}
	}
	return false
}

// Failures reports violations that the referee or a proxy detected, crashes, panics and data races, and
// nothing else.
func TestFailures(t *testing.T) {
	harmless := `time=x level=INFO msg=draining open=2` + "\n" +
		`time=x level=WARN msg="broken response" server=a` + "\n"
	for _, test := range []struct {
		name  string
		play  result.Play
		lines string
		want  []string
	}{
		{"nothing", result.Play{ViolationCounts: map[string]int{"lost": 0}}, "", nil},
		{"a rule", result.Play{ViolationCounts: map[string]int{"lost": 2},
			Violations: []referee.Violation{{Rule: "lost", Proxy: "a-p1", Text: "nothing came"}}}, "",
			[]string{"rule lost broken 2 times", "nothing came"}},
		{"a crash", result.Play{Metrics: map[string]float64{"crashed": 1}}, "", []string{"1 proxies crashed"}},
		{"a rule that the proxy saw", result.Play{}, `level=ERROR msg="rule broken" rule=second_copy request=7` + "\n", []string{"rule=second_copy request=7"}},
		{"a panic", result.Play{}, "panic: runtime error: index out of range\n", []string{"index out of range"}},
		{"a race", result.Play{}, "WARNING: DATA RACE\n", []string{"DATA RACE"}},
		{"a panic of a handler", result.Play{}, `level=DEBUG msg="http: panic serving 127.0.0.1"` + "\n", []string{"panic serving"}},
	} {
		dir := t.TempDir()
		if err := os.Mkdir(filepath.Join(dir, "logs"), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "logs", "a-p1.log"), []byte(harmless+test.lines),
			0o644); err != nil {
			t.Fatal(err)
		}
		found, err := Failures(test.play, dir)
		if err != nil {
			t.Fatal(err)
		}
		all := strings.Join(found, "\n")
		if (len(found) > 0) != (len(test.want) > 0) {
			t.Errorf("%s: unexpected failures %q", test.name, found)
		}
		for _, want := range test.want {
			if !strings.Contains(all, want) {
				t.Errorf("%s: found %q, want %q", test.name, found, want)
			}
		}
	}
}
