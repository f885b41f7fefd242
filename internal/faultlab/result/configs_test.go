package result

import (
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
)

// A configuration change counts for the proxies that follow its service, from its confirmation on. One that
// did not arrive within 9 s counts as never, and an invalid one counts as refused only if it is answered 400.
func TestConfigMetrics(t *testing.T) {
	const ms, s = int64(1e6), int64(1e9)
	follows := func(service string, steps ...ReceivedVersion) hollow.ProxyMetrics {
		return hollow.ProxyMetrics{Config: &hollow.ConfigMetrics{Service: service, Versions: steps}}
	}
	at := time.Unix(100, 0)
	start := at.UnixNano()
	proxies := []hollow.ProxyMetrics{
		follows("s1", ReceivedVersion{Version: 3, ReceivedAt: start + 2*s + 40*ms},
			ReceivedVersion{Version: 5, ReceivedAt: start + 4*s}),
		follows("s1", ReceivedVersion{Version: 3, ReceivedAt: start + 2*s + 90*ms}),
		follows("s2"),
		{},
	}
	exp := &experiment.Experiment{Seconds: 30, Phases: []experiment.Phase{{Name: "a", From: 1, To: 14}, {Name: "b", From: 14, To: 20}}}
	accepted := func(service string, version, confirmed int64) ConfigWrite {
		return ConfigWrite{Service: service, Status: 200, Version: version,
			RequestedAt: start + confirmed - 10*ms, ConfirmedAt: start + confirmed}
	}
	for _, test := range []struct {
		name  string
		puts  []ConfigWrite
		wants map[string]float64
	}{
		{"in force at two", []ConfigWrite{accepted("s1", 3, 2*s)}, map[string]float64{"changes": 1, "never": 0, "in_force_p50_ms": 90, "in_force_last_ms": 90,
			"confirmed_last_ms": 10}},
		{"lacking at one", []ConfigWrite{accepted("s1", 5, 3*s)}, map[string]float64{"changes": 1, "never": 1, "in_force_last_ms": 1000}},
		{"9 s before the end", []ConfigWrite{accepted("s2", 4, 5*s)}, map[string]float64{"changes": 1, "never": 1}},
		{"too young", []ConfigWrite{accepted("s2", 4, 5*s+ms)}, map[string]float64{"changes": 1, "never": 0}},
		{"another phase's", []ConfigWrite{accepted("s2", 4, 15*s)}, map[string]float64{"changes": 0, "never": 0}},
		{"refused", []ConfigWrite{{Service: "s1", Faulty: true, Status: 400, RequestedAt: start + 2*s}},
			map[string]float64{"changes": 0, "refused": 1, "failed": 0}},
		{"faulty and accepted",
			[]ConfigWrite{{Service: "s1", Faulty: true, Status: 200, RequestedAt: start + 2*s}},
			map[string]float64{"refused": 0, "failed": 1}},
		{"faulty and not refused as such",
			[]ConfigWrite{{Service: "s1", Faulty: true, Status: 409, RequestedAt: start + 2*s}},
			map[string]float64{"refused": 0, "failed": 1}},
		{"sound and refused", []ConfigWrite{{Service: "s1", Status: 400, RequestedAt: start + 2*s}},
			map[string]float64{"changes": 0, "refused": 0, "failed": 1}},
		{"no answer", []ConfigWrite{{Service: "s1", RequestedAt: start + 2*s}},
			map[string]float64{"changes": 0, "failed": 1}},
	} {
		metrics := (&Control{Hollow: []hollow.Metrics{{Proxies: proxies}}, ConfigWrites: test.puts}).Metrics(exp, at)
		for name, want := range test.wants {
			name = "control.a.config_" + name
			if got, ok := metrics[name]; !ok || got != want {
				t.Errorf("%s: %s is %v (present: %v), want %v", test.name, name, got, ok, want)
			}
			if !experiment.IsKnownMetric(name, exp) {
				t.Errorf("metric %s is unknown to experiments", name)
			}
		}
		for name := range metrics {
			if !experiment.IsKnownMetric(name, exp) {
				t.Errorf("reported metric %s is unknown to experiments", name)
			}
		}
	}
}
