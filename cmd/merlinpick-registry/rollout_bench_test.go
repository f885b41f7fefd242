package main

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/rollout"
)

// appliedLog counts the applied documents and records when the last one was applied.
type appliedLog struct {
	mu sync.Mutex
	at time.Time
	n  int
}

func (n *appliedLog) Apply(int64, []byte) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.at, n.n = time.Now(), n.n+1
	return nil
}

func (n *appliedLog) last() (int, time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.n, n.at
}

// BenchmarkRollout measures the time from an acknowledged write until clients of five members have applied
// it: the median, the 99th percentile, and the last.
func BenchmarkRollout(b *testing.B) {
	s := startCluster(b, 5)
	for _, n := range []int{30, 100, 300, 1300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ctx, stop := context.WithCancel(b.Context())
			var clients sync.WaitGroup
			defer clients.Wait()
			defer stop()
			logs := make([]*appliedLog, n)
			service := fmt.Sprint("of", n, "-", b.N)
			put := func(after int64, class string) (int64, time.Time) {
				for {
					status, version, text, err := s.putServiceConfigAt(service, 0, after, document(class))
					if err == nil && status == 200 {
						return version, time.Now()
					}
					if status != 503 {
						b.Fatal(status, text, err)
					}
				}
			}
			version, _ := put(0, "first")
			for i := range logs {
				logs[i] = &appliedLog{}
				c := rollout.New(rollout.Config{Service: service, ProxyName: fmt.Sprint("p", i), Members: s.addresses, Seed: uint64(i),
					Logger: slog.New(slog.DiscardHandler)}, logs[i])
				clients.Go(func() { c.Run(ctx) })
			}
			await := func(times int) (at []time.Time) {
				for _, a := range logs {
					for end := time.Now().Add(waitTimeout); ; time.Sleep(time.Millisecond) {
						got, when := a.last()
						if got == times {
							at = append(at, when)
							break
						}
						if time.Now().After(end) {
							b.Fatalf("%d documents, not %d", got, times)
						}
					}
				}
				return at
			}
			await(1)
			var took []float64
			for i := 0; b.Loop(); i++ {
				var at time.Time
				version, at = put(version, fmt.Sprint("c", i))
				when := await(i + 2)
				for _, w := range when {
					took = append(took, float64(w.Sub(at).Microseconds())/1000)
				}
			}
			slices.Sort(took)
			b.ReportMetric(took[len(took)/2], "p50_ms")
			b.ReportMetric(took[len(took)*99/100], "p99_ms")
			b.ReportMetric(took[len(took)-1], "last_ms")
		})
	}
}
