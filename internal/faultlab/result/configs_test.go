package result

import (
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
)

// A change of configuration counts at those that follow its service, from its being confirmed; one that 9 s were left for and
// that never came is told; a faulty one is refused only if it is answered 400.
func TestConfigs(t *testing.T) {
	const ms, s = int64(1e6), int64(1e9)
	follows := func(service string, steps ...Told) hollow.ProxyMetrics {
		return hollow.ProxyMetrics{Config: &hollow.ConfigMetrics{Service: service, Versions: steps}}
	}
	at := time.Unix(100, 0)
	zero := at.UnixNano()
	proxies := []hollow.ProxyMetrics{
		follows("s1", Told{Version: 3, ReceivedAt: zero + 2*s + 40*ms}, Told{Version: 5, ReceivedAt: zero + 4*s}),
		follows("s1", Told{Version: 3, ReceivedAt: zero + 2*s + 90*ms}),
		follows("s2"),
		{},
	}
	e := &experiment.Experiment{Seconds: 30, Phases: []experiment.Phase{{Name: "a", From: 1, To: 14}, {Name: "b", From: 14, To: 20}}}
	taken := func(service string, version, sure int64) Put {
		return Put{Service: service, Status: 200, Version: version, Asked: zero + sure - 10*ms, Sure: zero + sure}
	}
	for _, test := range []struct {
		name  string
		puts  []Put
		wants map[string]float64
	}{
		{"in force at two", []Put{taken("s1", 3, 2*s)}, map[string]float64{"changes": 1, "never": 0, "in_force_p50_ms": 90, "in_force_last_ms": 90,
			"confirmed_last_ms": 10}},
		{"lacking at one", []Put{taken("s1", 5, 3*s)}, map[string]float64{"changes": 1, "never": 1, "in_force_last_ms": 1000}},
		{"9 s before the end", []Put{taken("s2", 4, 5*s)}, map[string]float64{"changes": 1, "never": 1}},
		{"too young", []Put{taken("s2", 4, 5*s+ms)}, map[string]float64{"changes": 1, "never": 0}},
		{"another phase's", []Put{taken("s2", 4, 15*s)}, map[string]float64{"changes": 0, "never": 0}},
		{"refused", []Put{{Service: "s1", Faulty: true, Status: 400, Asked: zero + 2*s}}, map[string]float64{"changes": 0, "refused": 1, "failed": 0}},
		{"faulty and taken", []Put{{Service: "s1", Faulty: true, Status: 200, Asked: zero + 2*s}}, map[string]float64{"refused": 0, "failed": 1}},
		{"faulty and not refused as such", []Put{{Service: "s1", Faulty: true, Status: 409, Asked: zero + 2*s}}, map[string]float64{"refused": 0, "failed": 1}},
		{"sound and refused", []Put{{Service: "s1", Status: 400, Asked: zero + 2*s}}, map[string]float64{"changes": 0, "refused": 0, "failed": 1}},
		{"no answer", []Put{{Service: "s1", Asked: zero + 2*s}}, map[string]float64{"changes": 0, "failed": 1}},
	} {
		f := (&Control{Hollow: []hollow.Metrics{{Proxies: proxies}}, Puts: test.puts}).Figures(e, at)
		for name, want := range test.wants {
			name = "control.a.config_" + name
			if got, ok := f[name]; !ok || got != want {
				t.Errorf("%s: %s is %v (told: %v), want %v", test.name, name, got, ok, want)
			}
			if !experiment.KnownFigure(name, e) {
				t.Errorf("%s cannot be asked for", name)
			}
		}
		for name := range f {
			if !experiment.KnownFigure(name, e) {
				t.Errorf("%s is told and cannot be asked for", name)
			}
		}
	}
}
