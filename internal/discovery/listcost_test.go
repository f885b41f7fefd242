package discovery

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/faultlab/capacity"
)

var (
	slopesTo     = flag.String("slopes.to", "", "append the slopes measured to this file")
	slopesCommit = flag.String("slopes.commit", "0000000", "commit of the program measured")
	slopesOn     = flag.String("slopes.machine", "", "machine measured on")
)

// BenchmarkSlopeList measures what a full list costs a proxy, by the number of endpoints: the time to decode
// and accept it, and the memory that it occupies.
func BenchmarkSlopeList(b *testing.B) {
	const repeats, rounds = 5, 20
	sizes := []float64{15, 150, 1300, 2600}
	times, memory := make([][]float64, repeats), make([][]float64, repeats)
	encodedList := func(n int) []byte {
		l := List{Epoch: "3f2a9c77", Version: 1 << 51}
		for i := range n {
			w := 1.
			l.Endpoints = append(l.Endpoints, Endpoint{Name: fmt.Sprintf("s-%08x", i), Address: fmt.Sprintf("10.%d.%d.18:8443", i/250, i%250),
				Zone: fmt.Sprintf("zone-%d", i%9), Cell: 3, Status: StatusServing, Weight: &w, StartedAtMs: 1_790_000_000_000})
		}
		return l.encode()
	}
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		for r := range repeats {
			for _, n := range sizes {
				data := encodedList(int(n))
				ctx, stop := context.WithCancel(b.Context())
				c := New(Config{Source: Source{Members: []string{"127.0.0.1:1"}}, Logger: slog.New(slog.DiscardHandler)})
				c.done = ctx.Done()
				go func() {
					for {
						select {
						case <-c.updates:
						case <-ctx.Done():
							return
						}
					}
				}()
				acceptList := func() {
					l, err := Parse(data)
					if err != nil {
						b.Fatal(err)
					}
					if err := c.accept(l, c.heldRegistryVersion(), time.Now()); err != nil {
						b.Fatal(err)
					}
				}
				before := heap()
				acceptList()
				memory[r] = append(memory[r], heap()-before)
				start := time.Now()
				for range rounds {
					acceptList()
				}
				times[r] = append(times[r], time.Since(start).Seconds()*1000/rounds)
				runtime.KeepAlive(c)
				stop()
			}
		}
	}
	record := func(s capacity.Slope, runs [][]float64) {
		s.Role, s.Dimension, s.Commit, s.Machine = "proxy following lists", "listed nodos", *slopesCommit, *slopesOn
		s.Command = "go test -run xxx -bench " + strings.TrimPrefix(b.Name(), "Benchmark") + "$ -benchtime 1x ./internal/discovery"
		if err := s.Record(*slopesTo, sizes, runs); err != nil {
			b.Error(err)
		}
	}
	record(capacity.Slope{Name: "list.proxy.take_whole", Metric: "time to read and take a whole list", Unit: "ms",
		Note: "not on the event loop: the client's own goroutine"}, times)
	record(capacity.Slope{Name: "list.proxy.memory_list", Metric: "memory of the client's list", Unit: "B",
		Note: "the client's alone; the decision module has its own"}, memory)
	b.ReportMetric(0, "ns/op")
}
