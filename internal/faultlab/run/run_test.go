package run

import (
	"context"
	"io"
	"log/slog"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/result"
)

// refereeExperiment is an experiment with one zone, a server that drains and one that returns with slow
// start. A simple proxy can serve it without breaking a rule.
const refereeExperiment = `
seconds = 5
warmup = 0
[lab]
late_ms = 200
stall_ms = 1000
[network]
cross_ms = 1
[[zone]]
name = "z"
proxies = 1
traffic = 1
[[zone.nodos]]
count = 3
speed = 1
slots = 4
queue = 50
[nodos]
tip_multiple = 1.5
start_capacity = 0.2
fall_ms = 1000
cold_ms = 6000
[[class]]
name = "pay"
share = 1
work_ms = [40, 60]
aim_ms = 500
give_up_ms = 1500
worth = 1
repeat = "at_most_once"
[proxy]
drain_grace_ms = 300
membership = "automatic"
[list]
lag_ms = 100
[load]
rate = [[0, 60]]
[[fault]]
kind = "nodo_drain"
nodos = ["z-s1"]
at = 1
[[fault]]
kind = "nodo_kill"
nodos = ["z-s2"]
at = 1
for = 0.5
`

// The referee detects each rule that a proxy breaks while it keeps all others, and no violation by a correct
// proxy.
func TestRefereeDetects(t *testing.T) {
	exp, err := experiment.Parse("referee", refereeExperiment, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ misbehavior, rule string }{
		{"nothing", ""},
		{"lost", "lost"},
		{"closes", "lost"},
		{"resends", "repeat"},
		{"refuses", "repeat"},
		{"drain", "drain"},
		{"tip", "tip"},
		{"garbled", "garbled"},
		{"mixed", "forged"},
		{"twice", "twice"},
	} {
		t.Run(test.misbehavior, func(t *testing.T) {
			t.Parallel()
			p, err := Play(context.Background(), exp, 1, Options{
				ProxyCommand: []string{os.Args[0], "fake-proxy", test.misbehavior},
				OutputDir:    t.TempDir(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
			if err != nil {
				t.Fatal(err)
			}
			if p.Void != "" {
				t.Skip("the machine was too busy for a verdict: ", p.Void)
			}
			var broken []string
			for rule := range p.ViolationCounts {
				broken = append(broken, rule)
			}
			if test.misbehavior == "mixed" { // the response is not one of a server either
				broken = slices.DeleteFunc(broken, func(rule string) bool { return rule == "garbled" })
			}
			if want := test.rule; want == "" && len(broken) > 0 || want != "" && !slices.Equal(broken, []string{want}) {
				t.Errorf("broken rules: got %v, want [%s]; in %v requests: %+v", broken, want,
					p.Metrics["requests"], p.Violations)
			}
			if p.Metrics["served"] < 0.5 {
				t.Errorf("the proxy served a fraction of %v of the requests, too little for a test",
					p.Metrics["served"])
			}
		})
	}
}

// A run is void if the lab was late, stalled or failed.
func TestVoidReason(t *testing.T) {
	exp := &experiment.Experiment{Lab: experiment.Lab{LateMs: 20, StallMs: 400}}
	for _, test := range []struct {
		late   result.Lateness
		hollow float64
		failed error
		void   string
	}{
		{result.Lateness{P50: 1, P99: 19, Max: 300, Stall: 300}, 399, nil, ""},
		{result.Lateness{P50: 1, P99: 21, Max: 30, Stall: 30}, 0, nil, "was late"},
		{result.Lateness{P50: 1, P99: 2, Max: 3, Stall: 401}, 0, nil, "the lab stalled"},
		{result.Lateness{P50: 1, P99: 2, Max: 3, Stall: 3}, 401, nil, "a hollow process stalled"},
		{result.Lateness{}, 0, io.ErrClosedPipe, "failed: io"},
	} {
		if got := voidReason(exp, test.late, test.hollow, test.failed); (got == "") != (test.void == "") ||
			!strings.Contains(got, test.void) {
			t.Errorf("%+v, %v: got %q, want %q", test.late, test.failed, got, test.void)
		}
	}
}

const queueExperiment = `
seconds = 30
warmup = 0
[network]
local_ms = 0
[[zone]]
name = "z"
proxies = 1
traffic = 1
[[zone.nodos]]
count = 1
speed = 1
slots = 2
queue = 10000
[nodos]
max_conns = 10000
connect_ms = 0
connect_work = 0
[[class]]
name = "c"
share = 1
work_ms = [40, 40]
aim_ms = 60000
give_up_ms = 60000
worth = 1
repeat = "idempotent"
[load]
rate = [[0, 37.5]]
[proxy]
membership = "automatic"
`

// BenchmarkCalibration compares the latencies that the complete lab measures, from the planned arrival to the
// metric in the result, with computed ones. The load is Poisson arrivals at a server with two slots and a
// fixed service time, which is busy for three quarters of the time, through a proxy that adds almost no
// latency. The computed latencies are those that the queue's recursion gives for the same arrivals. The
// benchmark reports the ratios of measured to computed percentiles: the lab is calibrated if they are between
// 0.95 and 1.05.
func BenchmarkCalibration(b *testing.B) {
	exp, err := experiment.Parse("queue", queueExperiment, nil)
	if err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		p, err := Play(context.Background(), exp, uint64(i+1), Options{
			ProxyCommand: []string{os.Args[0], "fake-proxy", "nothing"},
			OutputDir:    b.TempDir(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			b.Fatal(err)
		}
		work, free := 40*time.Millisecond, make([]time.Duration, 2)
		var want []time.Duration
		// The slot that is free first serves the requests in the order of their arrival.
		for _, a := range plan.Draw(exp, uint64(i+1)).Arrivals {
			slices.Sort(free)
			free[0] = max(free[0], a.At) + work
			want = append(want, free[0]-a.At)
		}
		slices.Sort(want)
		for name, q := range map[string]float64{"p50_ms": 0.5, "p90_ms": 0.9, "p99_ms": 0.99} {
			computed := float64(want[int(q*float64(len(want)))]) / float64(time.Millisecond)
			b.ReportMetric(p.Metrics[name]/computed, name+"/computed")
		}
		b.ReportMetric(p.Lateness.P99, "late_p99_ms")
	}
}
