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
	full    = flag.Bool("path.full", false, "measure a real proxy; see docs/lab.md")
	program = flag.String("path.proxy", "../../../bin/merlinpick-proxy", "the proxy that is measured")
	rate    = flag.Float64("path.rate", 66, "calls a second through the proxy; as many go directly")
	listed  = flag.Int("path.nodos", 1300, "listed nodos, in 9 zones")
	long    = flag.Duration("path.long", 10*time.Second, "of each phase")
	repeat  = flag.Int("path.repeat", 3, "proxies, one after another")
	seed    = flag.Uint64("path.seed", 1, "of the first proxy and its calls; the next ones count up")
	phase   = flag.String("path.phase", "", "the one phase that is played; none: all")
	cores   = flag.Int("path.cores", DeploymentLimits.Cores, "that the proxy is told")
)

const zones = 9

// delayingProxy is a stub proxy that forwards requests to a server after a delay.
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
				nodo, err := net.Dial("tcp", to)
				if err != nil {
					return
				}
				defer nodo.Close()
				in, out := bufio.NewReader(c), bufio.NewReader(nodo)
				for skipHead(in) == nil {
					time.Sleep(delay)
					if _, err := nodo.Write([]byte("GET / HTTP/1.1\r\n\r\n")); err != nil || skipHead(out) != nil {
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

// The measurement finds 2 ms that a proxy adds, and does not find them where there are none.
func TestMeasuresAddedDelay(t *testing.T) {
	nodos, err := StartServers(18, zones)
	if err != nil {
		t.Fatal(err)
	}
	defer nodos.Close()
	added := map[time.Duration]float64{}
	for _, delay := range []time.Duration{0, 2 * time.Millisecond} {
		c := &LoadGenerator{Proxy: delayingProxy(t, nodos.All[0].Addr, delay), Direct: nodos.All[1].Addr, Rate: 150, Seed: 1}
		f := c.Run(t.Context(), 2*time.Second)
		c.Close()
		t.Logf("delay %v: %v", delay, f)
		if f.Failed+f.DirectFailed > 0 || f.Proxied.TotalCount() < 200 || f.Direct.TotalCount() < 200 {
			t.Fatalf("delay %v: %v", delay, f)
		}
		added[delay] = f.Added(50)
		var over *ObjectiveError
		if err := f.CheckAdded(Calm, 50, 1.9); errors.As(err, &over) != (delay > 0) {
			t.Errorf("delay %v, bound 1.9 ms at p50: %v", delay, err)
		}
	}
	if more := added[2*time.Millisecond] - added[0]; more < 1.8 {
		t.Errorf("2 ms more show as %.3f ms", more)
	}
}

// The registry serves the complete list, no changes, a zone that was lost, and the complete list again.
func TestRegistry(t *testing.T) {
	nodos, err := StartServers(18, zones)
	if err != nil {
		t.Fatal(err)
	}
	defer nodos.Close()
	list, err := StartRegistry(nodos)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	for _, test := range []struct {
		name     string
		do       func()
		from     int64
		snapshot bool
		entries  int
	}{
		{"at first", func() {}, -1, true, 18},
		{"nothing new", func() {}, 1, false, 0},
		{"a zone goes", func() { list.SetZoneListed(0, false) }, 1, false, 2},
		{"whole again", list.PublishSnapshot, 2, true, 16},
		{"held already", func() {}, 3, false, 0},
		{"one changes", func() { list.TouchEntry(1) }, 3, false, 1},
	} {
		test.do()
		text := string(list.changesSince(test.from))
		if got := count(text, `"name"`); got != test.entries || count(text, `"snapshot":true`) == 1 != test.snapshot {
			t.Errorf("%s: %s", test.name, text)
		}
	}
}

func count(text, part string) (n int) {
	for i := range text {
		if len(text)-i >= len(part) && text[i:i+len(part)] == part {
			n++
		}
	}
	return n
}

// TestAdded measures and prints what a real proxy adds. It asserts nothing about the result.
func TestAdded(t *testing.T) {
	if !*full {
		t.Skip("-path.full")
	}
	limits := DeploymentLimits
	limits.Cores = *cores
	phases := []Phase{Calm, Snapshot, ZoneLoss}
	if *phase != "" {
		phases = []Phase{Phase(*phase)}
	}
	all := map[Phase][][2]float64{}
	for r := range *repeat {
		s, err := Open(*listed, ProxyOptions{Program: *program, Dir: t.TempDir(), Zones: zones, Limits: limits, Seed: *seed + uint64(r)})
		if err != nil {
			t.Fatal(err)
		}
		c := &LoadGenerator{Proxy: s.Proxy.Addr, Direct: s.Servers.All[1].Addr, Rate: *rate, Seed: *seed + uint64(r)}
		c.Run(t.Context(), 3*time.Second) // until connections are open and weights are stable
		for _, phase := range phases {
			before, err := s.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			f, err := s.RunPhase(t.Context(), c, phase, *long)
			if err != nil {
				t.Fatal(err)
			}
			after, err := s.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			all[phase] = append(all[phase], [2]float64{f.Added(50), f.Added(99)})
			fmt.Printf("rate %g nodos %d run %d %s: %v; processor %.3f ms a call\n", *rate, *listed, r+1, phase, f,
				float64(after-before)/1e6/float64(max(1, f.Proxied.TotalCount())))
		}
		c.Close()
		s.Close()
	}
	for _, phase := range phases {
		for i, name := range []string{"p50", "p99"} {
			m := medianOf(all[phase], i)
			fmt.Printf("rate %g nodos %d %s: adds %s %.3f (%.3f-%.3f) ms\n", *rate, *listed, phase, name, m[0], m[1], m[2])
		}
	}
}

// medianOf returns the median, minimum and maximum of a column.
func medianOf(rows [][2]float64, i int) [3]float64 {
	var x []float64
	for _, r := range rows {
		x = append(x, r[i])
	}
	slices.Sort(x)
	return [3]float64{x[len(x)/2], x[0], x[len(x)-1]}
}

// TestFollowing measures and prints what a proxy without calls costs: memory, and processor time without changes, with a
// change a second and with a complete list a second.
func TestFollowing(t *testing.T) {
	if !*full {
		t.Skip("-path.full")
	}
	for r := range *repeat {
		s, err := Open(*listed, ProxyOptions{Program: *program, Dir: t.TempDir(), Zones: zones, Limits: DeploymentLimits, Seed: *seed + uint64(r)})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		resident, own, err := s.Proxy.Memory()
		if err != nil {
			t.Fatal(err)
		}
		line := fmt.Sprintf("nodos %d run %d: resident %d kB, of it anonymous %d kB", *listed, r+1, resident>>10, own>>10)
		for _, what := range []struct {
			name string
			do   func(i int)
		}{{"nothing changes", func(int) {}}, {"a change a second", s.Registry.TouchEntry}, {"a whole list a second", func(int) { s.Registry.PublishSnapshot() }}} {
			before, err := s.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			begun, sent, calls := time.Now(), s.Registry.bytesSent.Load(), s.Registry.calls.Load()
			for i := 0; time.Since(begun) < *long; i++ {
				what.do(i)
				time.Sleep(time.Second)
			}
			after, err := s.Proxy.CPU()
			if err != nil {
				t.Fatal(err)
			}
			took := time.Since(begun)
			line += fmt.Sprintf("; %s: %.4f %% of a core, %.1f calls/s, %.0f B/s of lists", what.name,
				100*float64(after-before)/float64(took), float64(s.Registry.calls.Load()-calls)/took.Seconds(),
				float64(s.Registry.bytesSent.Load()-sent)/took.Seconds())
		}
		resident, own, err = s.Proxy.Memory()
		if err != nil {
			t.Fatal(err)
		}
		fmt.Printf("%s; at the end resident %d kB, anonymous %d kB\n", line, resident>>10, own>>10)
		s.Close()
	}
}
