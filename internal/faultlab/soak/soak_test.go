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

// Each seed gives a valid experiment, the same each time, with faults that overlap.
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
			t.Errorf("seed %d: %d proxies", seed, n)
		}
		if !haveOverlap(e) {
			t.Errorf("seed %d: no two faults overlap:\n%s", seed, text)
		}
		for _, f := range e.Faults {
			seen[f.Kind] = true
		}
	}
	for _, fault := range faultKinds {
		if !seen[fault.kind] {
			t.Errorf("no seed draws %s", fault.kind)
		}
	}
}

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

// Violations found by the referee or by a proxy, crashes, panics and races are found.
func TestFailures(t *testing.T) {
	quiet := `time=x level=INFO msg=draining open=2` + "\n" + `time=x level=WARN msg="broken response" server=a` + "\n"
	for _, c := range []struct {
		name  string
		play  result.Play
		lines string
		want  []string
	}{
		{"nothing", result.Play{ViolationCounts: map[string]int{"lost": 0}}, "", nil},
		{"a rule", result.Play{ViolationCounts: map[string]int{"lost": 2}, Violations: []referee.Violation{{Rule: "lost", Proxy: "a-p1", Text: "nothing came"}}}, "",
			[]string{"lost broken 2 times", "nothing came"}},
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
		if err := os.WriteFile(filepath.Join(dir, "logs", "a-p1.log"), []byte(quiet+c.lines), 0o644); err != nil {
			t.Fatal(err)
		}
		found, err := Failures(c.play, dir)
		if err != nil {
			t.Fatal(err)
		}
		all := strings.Join(found, "\n")
		if (len(found) > 0) != (len(c.want) > 0) {
			t.Errorf("%s: found %q", c.name, found)
		}
		for _, want := range c.want {
			if !strings.Contains(all, want) {
				t.Errorf("%s: found %q, want %q", c.name, found, want)
			}
		}
	}
}
