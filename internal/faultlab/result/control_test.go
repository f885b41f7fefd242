package result

import (
	"slices"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
)

// A change is known from the first version on that holds it, counts 0 if it was told before it was confirmed, and is unknown
// where no version reached it, if there was time.
func TestKnown(t *testing.T) {
	const ms, s = int64(1e6), int64(1e9)
	changes := []hollow.Change{{Version: 5, RequestedAt: s, ConfirmedAt: s}, {Version: 7, RequestedAt: 2 * s, ConfirmedAt: 2 * s}, {Version: 9, RequestedAt: 9 * s, ConfirmedAt: 9 * s}}
	for _, test := range []struct {
		name    string
		track   []Told
		known   []float64
		unknown int // at 10 s: the last change is too young
	}{
		{"none", nil, nil, 2},
		{"at once", []Told{{Version: 4, ReceivedAt: 0}, {Version: 5, ReceivedAt: s + 30*ms}, {Version: 7, ReceivedAt: 2*s + 40*ms}}, []float64{30, 40}, 0},
		{"one version for both", []Told{{Version: 8, ReceivedAt: 2*s + 10*ms}}, []float64{10, 1010}, 0},
		{"before it was confirmed", []Told{{Version: 5, ReceivedAt: s - ms}, {Version: 9, ReceivedAt: 9 * s}}, []float64{0, 0, 7000}, 0},
		{"left behind", []Told{{Version: 6, ReceivedAt: s + 5*ms}}, []float64{5}, 1},
	} {
		if got := known(changes, [][]Told{test.track}); !slices.Equal(got, test.known) {
			t.Errorf("%s: known after %v ms, want %v", test.name, got, test.known)
		}
		if got := unknown(changes, [][]Told{test.track}, 10*s); got != test.unknown {
			t.Errorf("%s: %d unknown, want %d", test.name, got, test.unknown)
		}
	}
}

// A death counts from its moment to the proxy's next loss of that server; one that never came is counted apart.
func TestBuried(t *testing.T) {
	const ms = int64(1e6)
	deaths := []hollow.Death{{Name: "a", At: 100 * ms}, {Name: "b", At: 200 * ms}}
	late, never := buried(deaths, [][]hollow.Death{
		{{Name: "b", At: 50 * ms}, {Name: "a", At: 150 * ms}, {Name: "b", At: 230 * ms}},
		{{Name: "a", At: 90 * ms}},
	})
	if !slices.Equal(late, []float64{30, 50}) || never != 2 {
		t.Errorf("late %v, never %d; want [30 50] and 2", late, never)
	}
}

// What roles spend is told for each that bears one, phase by phase, and a phase that was not read has none of it.
func TestSpent(t *testing.T) {
	e := &experiment.Experiment{Seconds: 30, Phases: []experiment.Phase{{Name: "a", From: 1, To: 11}, {Name: "b", From: 11, To: 20}}}
	e.Hollow.Proxies, e.Zones = 4, []experiment.Zone{{Name: "z", Proxies: 2}}
	at := time.Unix(100, 0)
	reading := func(after time.Duration, in int64, cpu time.Duration) *Reading {
		return &Reading{At: at.Add(after), Turned: float64(in), Roles: map[string]Spent{
			"proxy":  {In: in, Out: 2 * in, Calls: in / 10, CPU: cpu, Each: 4 * after, Memory: 8 << 20},
			"real":   {In: in, Out: in, CPU: 2 * cpu, Each: 2 * after, Memory: 40 << 20},
			"leader": {In: 3 * in, CPU: cpu, Each: after / 2, Memory: 9 << 20}}}
	}
	c := &Control{Phases: []PhaseReading{{reading(time.Second, 1000, time.Second), reading(11*time.Second, 5000, 2*time.Second)}, {}}}
	f := c.Figures(e, at)
	for name, want := range map[string]float64{"control.a.proxy.in_b_s": 100, "control.a.proxy.out_b_s": 200, "control.a.proxy.calls_s": 10,
		"control.a.proxy.cpu_pct": 2.5, "control.a.proxy.memory_mb": 2, "control.a.real.in_b_s": 200, "control.a.real.cpu_pct": 10,
		"control.a.real.memory_mb": 20, "control.a.leader.in_b_s": 2400, "control.a.leader.cpu_pct": 20, "control.a.leader.memory_mb": 9,
		"control.a.factor.in": 2, "control.a.factor.cpu": 4, "control.a.factor.memory": 10, "control.a.turned": 4000} {
		if f[name] != want {
			t.Errorf("%s is %v, want %v", name, f[name], want)
		}
		if !experiment.KnownFigure(name, e) {
			t.Errorf("%s cannot be asked for", name)
		}
	}
	for name := range f {
		if !experiment.KnownFigure(name, e) {
			t.Errorf("%s is told and cannot be asked for", name)
		}
		if _, ok := f["control.b.proxy.in_b_s"]; ok {
			t.Error("a phase that was not read has figures")
		}
	}
}
