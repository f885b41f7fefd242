package path

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"
)

var (
	runFull       = flag.Bool("path.full", false, "measure a real proxy; see docs/lab.md")
	proxyProgram  = flag.String("path.proxy", "../../../bin/merlinpick-proxy", "the proxy to measure")
	callRate      = flag.Float64("path.rate", 66, "calls a second through the proxy; as many go directly")
	listedServers = flag.Int("path.nodos", 1300, "number of listed nodos, in 9 zones")
	phaseDuration = flag.Duration("path.long", 10*time.Second, "duration of each phase")
	repeats       = flag.Int("path.repeat", 3, "number of proxies to measure, one after another")
	firstSeed     = flag.Uint64("path.seed", 1,
		"seed of the first proxy and its calls; each further one adds 1")
	onlyPhase  = flag.String("path.phase", "", "run this phase only; empty: all")
	proxyCores = flag.Float64("path.cores", DeploymentLimits.Cores, "cores in the proxy's configuration")
)

const zones = 9

// delayingProxy starts a stub proxy that forwards requests to a server after a delay, and returns its
// address.
func delayingProxy(t *testing.T, to string, delay time.Duration) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				server, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer server.Close()
				in, out := bufio.NewReader(c), bufio.NewReader(server)
				for skipHead(in) == nil {
					time.Sleep(delay)
					if _, err := server.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil || skipHead(out) != nil {
						return
					}
					if _, err := out.Discard(2); err != nil {
						return
					}
					if _, err := c.Write([]byte(response)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// The measurement finds the 2 ms that a stub proxy adds, and finds no such delay in one that adds none.
func TestMeasuresAddedDelay(t *testing.T) {
	servers, err := StartServers(18, zones)
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Close()
	added := map[time.Duration]float64{}
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		generator := &LoadGenerator{Proxy: delayingProxy(t, servers.All[0].Addr, delay), Direct: servers.All[1].Addr, Rate: 150, Seed: 1}
		metrics := generator.Run(t.Context(), 2*time.Second)
		generator.Close()
		t.Logf("delay %v: %v", delay, metrics)
		if metrics.Failed+metrics.DirectFailed > 0 || metrics.Proxied.TotalCount() < 200 || metrics.Direct.TotalCount() < 200 {
			t.Fatalf("delay %v: %v", delay, metrics)
		}
		added[delay] = metrics.Added(50)
		var objectiveError *ObjectiveError
		if err := metrics.CheckAdded(Calm, 50, 1.9); errors.As(err, &objectiveError) != (delay > 0) {
			t.Errorf("delay %v, bound 1.9 ms at p50: %v", delay, err)
		}
	}
	if difference := added[2*time.Millisecond] - added[0]; difference < 1.8 {
		t.Errorf("a delay of 2 ms is measured as %.3f ms, want at least 1.8 ms", difference)
	}
}

// The registry serves the complete list, no changes, a lost zone, the complete list again, and a changed
// entry.
func TestRegistry(t *testing.T) {
	servers, err := StartServers(18, zones)
	if err != nil {
		t.Fatal(err)
	}
	defer servers.Close()
	registry, err := StartRegistry(servers)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	for _, test := range []struct {
		name     string
		do       func()
		from     int64
		snapshot bool
		entries  int
	}{
		{"at first", func() {}, -1, true, 18},
		{"nothing new", func() {}, 1, false, 0},
		{"a zone goes", func() { registry.SetZoneListed(0, false) }, 1, false, 2},
		{"whole again", registry.PublishSnapshot, 2, true, 16},
		{"held already", func() {}, 3, false, 0},
		{"one changes", func() { registry.TouchEntry(1) }, 3, false, 1},
	} {
		test.do()
		text := string(registry.changesSince(test.from))
		if got := countOccurrences(text, `"name"`); got != test.entries || countOccurrences(text, `"snapshot":true`) == 1 != test.snapshot {
			t.Errorf("%s: %s", test.name, text)
		}
	}
}

// countOccurrences returns how often a text contains a part.
func countOccurrences(text, part string) (n int) {
	for i := range text {
		if len(text)-i >= len(part) && text[i:i+len(part)] == part {
			n++
		}
	}
	return n
}

// TestAdded measures and prints the latency that a real proxy adds. It does not check the result.
func TestAdded(t *testing.T) {
	if !*runFull {
		t.Skip("-path.full")
	}
	limits := DeploymentLimits
	limits.Cores = *proxyCores
	phases := []Phase{Calm, Snapshot, ZoneLoss}
	if *onlyPhase != "" {
		phases = []Phase{Phase(*onlyPhase)}
	}
	all := map[Phase][][2]float64{}
	for run := range *repeats {
		testbed, err := Open(*listedServers, ProxyOptions{Program: *proxyProgram, Dir: t.TempDir(), Zones: zones, Limits: limits, Seed: *firstSeed + uint64(run)})
		if err != nil {
			t.Fatal(err)
		}
		generator := &LoadGenerator{Proxy: testbed.Proxy.Addr, Direct: testbed.Servers.All[1].Addr, Rate: *callRate, Seed: *firstSeed + uint64(run)}
		generator.Run(t.Context(), 3*time.Second) // warm-up: connections open and weights become stable
		for _, phase := range phases {
			before, err := testbed.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			metrics, err := testbed.RunPhase(t.Context(), generator, phase, *phaseDuration)
			if err != nil {
				t.Fatal(err)
			}
			after, err := testbed.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			all[phase] = append(all[phase], [2]float64{metrics.Added(50), metrics.Added(99)})
			fmt.Printf("rate %g nodos %d run %d %s: %v; processor %.3f ms a call\n", *callRate, *listedServers, run+1, phase, metrics,
				float64(after-before)/1e6/float64(max(1, metrics.Proxied.TotalCount())))
		}
		generator.Close()
		testbed.Close()
	}
	for _, phase := range phases {
		for i, name := range []string{"p50", "p99"} {
			summary := medianOf(all[phase], i)
			fmt.Printf("rate %g nodos %d %s: adds %s %.3f (%.3f-%.3f) ms\n", *callRate, *listedServers, phase, name, summary[0], summary[1], summary[2])
		}
	}
}

// medianOf returns the median, minimum and maximum of a column.
func medianOf(rows [][2]float64, i int) [3]float64 {
	var values []float64
	for _, r := range rows {
		values = append(values, r[i])
	}
	slices.Sort(values)
	return [3]float64{values[len(values)/2], values[0], values[len(values)-1]}
}

// TestFollowing measures and prints the cost of a proxy without calls: memory, and processor time without
// changes, with a change a second and with a complete list a second.
func TestFollowing(t *testing.T) {
	if !*runFull {
		t.Skip("-path.full")
	}
	for run := range *repeats {
		testbed, err := Open(*listedServers, ProxyOptions{Program: *proxyProgram, Dir: t.TempDir(), Zones: zones, Limits: DeploymentLimits, Seed: *firstSeed + uint64(run)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		resident, anonymous, err := testbed.Proxy.Memory()
		if err != nil {
			t.Fatal(err)
		}
		line := fmt.Sprintf("nodos %d run %d: resident %d kB, of it anonymous %d kB", *listedServers, run+1,
			resident>>10, anonymous>>10)
		for _, change := range []struct {
			name string
			do   func(i int)
		}{{"nothing changes", func(int) {}}, {"a change a second", testbed.Registry.TouchEntry}, {"a whole list a second", func(int) { testbed.Registry.PublishSnapshot() }}} {
			before, err := testbed.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			start, sent, calls := time.Now(), testbed.Registry.bytesSent.Load(), testbed.Registry.calls.Load()
			for i := 0; time.Since(start) < *phaseDuration; i++ {
				change.do(i)
				time.Sleep(time.Second)
			}
			after, err := testbed.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			elapsed := time.Since(start)
			line += fmt.Sprintf("; %s: %.4f %% of a core, %.1f calls/s, %.0f B/s of lists", change.name,
				100*float64(after-before)/float64(elapsed),
				float64(testbed.Registry.calls.Load()-calls)/elapsed.Seconds(),
				float64(testbed.Registry.bytesSent.Load()-sent)/elapsed.Seconds())
		}
		resident, anonymous, err = testbed.Proxy.Memory()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("%s; at the end resident %d kB, anonymous %d kB\n", line, resident>>10, anonymous>>10)
		testbed.Close()
	}
}
