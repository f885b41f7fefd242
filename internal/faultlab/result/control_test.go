package result

import (
	"slices"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
)

// A proxy knows a change from the first received version that includes it. The delay is 0 if that came before
// the confirmation, and the change is unknown if no version included it in time.
func TestNotificationDelays(t *testing.T) {
	const ms, s = int64(1e6), int64(1e9)
	changes := []hollow.Change{{Version: 5, RequestedAt: s, ConfirmedAt: s}, {Version: 7, RequestedAt: 2 * s, ConfirmedAt: 2 * s}, {Version: 9, RequestedAt: 9 * s, ConfirmedAt: 9 * s}}
	for _, test := range []struct {
		name    string
		track   []ReceivedVersion
		known   []float64
		unknown int // at 10 s: the last change was confirmed too late to count
	}{
		{"none", nil, nil, 2},
		{"at once", []ReceivedVersion{{Version: 4, ReceivedAt: 0}, {Version: 5, ReceivedAt: s + 30*ms}, {Version: 7, ReceivedAt: 2*s + 40*ms}}, []float64{30, 40}, 0},
		{"one version for both", []ReceivedVersion{{Version: 8, ReceivedAt: 2*s + 10*ms}}, []float64{10, 1010}, 0},
		{"before it was confirmed", []ReceivedVersion{{Version: 5, ReceivedAt: s - ms}, {Version: 9, ReceivedAt: 9 * s}}, []float64{0, 0, 7000}, 0},
		{"left behind", []ReceivedVersion{{Version: 6, ReceivedAt: s + 5*ms}}, []float64{5}, 1},
	} {
		if got := notificationDelays(changes, [][]ReceivedVersion{test.track}); !slices.Equal(got, test.known) {
			t.Errorf("%s: known after %v ms, want %v", test.name, got, test.known)
		}
		if got := countUnknown(changes, [][]ReceivedVersion{test.track}, 10*s); got != test.unknown {
			t.Errorf("%s: %d unknown, want %d", test.name, got, test.unknown)
		}
	}
}

// A death's delay lasts until the proxy's list next removes that server; servers that were never removed are
// counted separately.
func TestRemovalDelays(t *testing.T) {
	const ms = int64(1e6)
	deaths := []hollow.Death{{Name: "a", At: 100 * ms}, {Name: "b", At: 200 * ms}}
	delays, never := removalDelays(deaths, [][]hollow.Death{
		{{Name: "b", At: 50 * ms}, {Name: "a", At: 150 * ms}, {Name: "b", At: 230 * ms}},
		{{Name: "a", At: 90 * ms}},
	})
	if !slices.Equal(delays, []float64{30, 50}) || never != 2 {
		t.Errorf("delays %v, never removed %d; want [30 50] and 2", delays, never)
	}
}

// Usage is reported per instance of each role, phase by phase; a phase without samples has none.
func TestUsage(t *testing.T) {
	exp := &experiment.Experiment{Seconds: 30, Phases: []experiment.Phase{{Name: "a", From: 1, To: 11}, {Name: "b", From: 11, To: 20}}}
	exp.Hollow.Proxies, exp.Zones = 4, []experiment.Zone{{Name: "z", Proxies: 2}}
	at := time.Unix(100, 0)
	sample := func(after time.Duration, in int64, cpu time.Duration) *Sample {
		return &Sample{TakenAt: at.Add(after), Rejected: float64(in), Roles: map[string]Usage{
			"proxy":  {BytesIn: in, BytesOut: 2 * in, Calls: in / 10, CPU: cpu, InstanceTime: 4 * after, Memory: 8 << 20},
			"real":   {BytesIn: in, BytesOut: in, CPU: 2 * cpu, InstanceTime: 2 * after, Memory: 40 << 20},
			"leader": {BytesIn: 3 * in, CPU: cpu, InstanceTime: after / 2, Memory: 9 << 20}}}
	}
	c := &Control{Phases: []PhaseSamples{{sample(time.Second, 1000, time.Second),
		sample(11*time.Second, 5000, 2*time.Second)}, {}}}
	metrics := c.Metrics(exp, at)
	for name, want := range map[string]float64{"control.a.proxy.in_b_s": 100, "control.a.proxy.out_b_s": 200, "control.a.proxy.calls_s": 10,
		"control.a.proxy.cpu_pct": 2.5, "control.a.proxy.memory_mb": 2, "control.a.real.in_b_s": 200, "control.a.real.cpu_pct": 10,
		"control.a.real.memory_mb": 20, "control.a.leader.in_b_s": 2400, "control.a.leader.cpu_pct": 20, "control.a.leader.memory_mb": 9,
		"control.a.factor.in": 2, "control.a.factor.cpu": 4, "control.a.factor.memory": 10, "control.a.turned": 4000} {
		if metrics[name] != want {
			t.Errorf("%s is %v, want %v", name, metrics[name], want)
		}
		if !experiment.IsKnownMetric(name, exp) {
			t.Errorf("metric %s is unknown to experiments", name)
		}
	}
	for name := range metrics {
		if !experiment.IsKnownMetric(name, exp) {
			t.Errorf("reported metric %s is unknown to experiments", name)
		}
		if _, ok := metrics["control.b.proxy.in_b_s"]; ok {
			t.Error("a phase without samples has metrics")
		}
	}
}
