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

// One zone, a server that drains and one that returns cold: what a plain proxy serves without breaking a
// rule.
const judged = `
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

// Each rule is broken by a proxy that keeps all others, and the right one breaks none.
func TestRefereeDetects(t *testing.T) {
	exp, err := experiment.Parse("judged", judged, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ wrong, rule string }{
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
		t.Run(test.wrong, func(t *testing.T) {
			t.Parallel()
			p, err := Play(context.Background(), exp, 1, Options{ProxyCommand: []string{os.Args[0], "standin", test.wrong},
				OutputDir: t.TempDir(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
			if err != nil {
				t.Fatal(err)
			}
			if p.Void != "" {
				t.Skip("the machine was too busy to judge: ", p.Void)
			}
			var broken []string
			for rule := range p.ViolationCounts {
				broken = append(broken, rule)
			}
			if test.wrong == "mixed" { // what it answers is no server's either
				broken = slices.DeleteFunc(broken, func(rule string) bool { return rule == "garbled" })
			}
			if want := test.rule; want == "" && len(broken) > 0 || want != "" && !slices.Equal(broken, []string{want}) {
				t.Errorf("broken: %v, want [%s]; of %v requests: %+v", broken, want, p.Metrics["requests"], p.Violations)
			}
			if p.Metrics["served"] < 0.5 {
				t.Errorf("%v served: the proxy was not put to the test", p.Metrics["served"])
			}
		})
	}
}

// A run in which the lab ran late, or failed itself, is void.
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
		{result.Lateness{P50: 1, P99: 2, Max: 3, Stall: 401}, 0, nil, "stood still"},
		{result.Lateness{P50: 1, P99: 2, Max: 3, Stall: 3}, 401, nil, "a hollow process stood still"},
		{result.Lateness{}, 0, io.ErrClosedPipe, "failed: io"},
	} {
		if got := voidReason(exp, test.late, test.hollow, test.failed); (got == "") != (test.void == "") || !strings.Contains(got, test.void) {
			t.Errorf("%+v, %v: %q, want %q", test.late, test.failed, got, test.void)
		}
	}
}

const queued = `
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

// BenchmarkCalibration holds the whole lab, from the planned arrival to the figure in the result, to
// arithmetic: arrivals by chance at a server of two slots with a fixed time of service, three quarters busy,
// through a proxy that adds next to nothing, against the times that the queue's recursion gives for these
// very arrivals. It reports measured percentiles over computed ones: within 0.95 and 1.05 the lab is
// calibrated.
func BenchmarkCalibration(b *testing.B) {
	exp, err := experiment.Parse("queued", queued, nil)
	if err != nil {
		b.Fatal(err)
	}
	for i := range b.N {
		p, err := Play(context.Background(), exp, uint64(i+1), Options{ProxyCommand: []string{os.Args[0], "standin", "nothing"},
			OutputDir: b.TempDir(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
		if err != nil {
			b.Fatal(err)
		}
		work, free := 40*time.Millisecond, make([]time.Duration, 2)
		var want []time.Duration
		for _, a := range plan.Draw(exp, uint64(i+1)).Arrivals { // first come, first served, at the slot that is free first
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
