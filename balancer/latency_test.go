package balancer

import (
	"math"
	"testing"
)

// The mean follows the answers, and the unloaded mean falls fast but rises slowly.
func TestLatencyMeansFollowAnswers(t *testing.T) {
	class, server := newClassLatency(Class{LatencyObjective: 400_000}), newServerLatency()
	if class.mean != 100_000 || class.unloaded != 100_000 {
		t.Fatalf("initial latencies: %+v, want a mean and an unloaded mean of 100 ms", class)
	}
	recordLatency(&class, &server, 50_000)
	if class.mean != 90_000 || class.unloaded != 90_000 { // the initial mean counts as four answers
		t.Errorf("latencies after one answer of 50 ms: %+v, want a mean and an unloaded mean of 90 ms", class)
	}
	for range 1000 {
		recordLatency(&class, &server, 50_000)
	}
	if math.Abs(class.mean-50_000) > 1 || math.Abs(server.slowness-1) > 0.01 {
		t.Errorf("after 1000 further answers of 50 ms: latencies %+v and slowness %v, want a mean of 50 ms "+
			"and 1", class, server.slowness)
	}
	for range 30 {
		recordLatency(&class, &server, 200_000)
	}
	if class.mean < 150_000 || class.unloaded > 60_000 {
		t.Errorf("after 30 answers of 200 ms: latencies %+v, want a mean of at least 150 ms "+
			"and an unloaded mean of at most 60 ms", class)
	}
}

// The slowness of a server approaches the ratio of its latencies to the mean, up to maxLatencyRatio.
func TestSlownessIsBounded(t *testing.T) {
	for _, c := range []struct {
		name     string
		latency  float64
		slowness float64
	}{
		{"half as fast as the mean", 100_000, 2},
		{"as fast as the mean", 50_000, 1},
		{"a thousand times slower", 50e6, maxLatencyRatio},
	} {
		server := newServerLatency()
		for range 200 {
			class := classLatency{mean: 50_000, unloaded: 50_000, successes: 100}
			recordLatency(&class, &server, c.latency)
		}
		if math.Abs(server.slowness-c.slowness) > 1e-6 {
			t.Errorf("%s: slowness %v, want %v", c.name, server.slowness, c.slowness)
		}
	}
}

// A call counts as slow by the objective and, while the front tier is not overloaded, by the unloaded mean,
// too.
func TestSlowThreshold(t *testing.T) {
	for _, c := range []struct {
		name     string
		tier     int
		multiple float64
		unloaded float64
		want     float64
	}{
		{"by the objective", 0, 1, 1_000_000, 300_000},
		{"by the unloaded mean", 0, 1, 100_000, 160_000},
		{"overloaded: by the objective alone", 0, overloadedQuotaThreshold, 100_000, 300_000},
		{"an inner tier: by the objective alone", 1, 1, 100_000, 300_000},
	} {
		settings := &Settings{Tier: c.tier, Classes: []Class{{LatencyObjective: 500_000}}}
		if got := slowThreshold(settings, 0, classLatency{unloaded: c.unloaded}, c.multiple); got != c.want {
			t.Errorf("%s: threshold %v µs, want %v µs", c.name, got, c.want)
		}
	}
}

// A latency is late above 0.8 of the objective.
func TestIsLate(t *testing.T) {
	rules := Class{LatencyObjective: 500_000}
	if isLate(rules, 400_000) || !isLate(rules, 400_001) {
		t.Error("latencies of 400 ms and 400.001 ms are not timely and late at an objective of 500 ms")
	}
}
