package main

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/faultlab/capacity"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

// BenchmarkSlopeFollowing measures the bytes that a proxy's client sends and receives, by changes of the
// list.
func BenchmarkSlopeFollowing(b *testing.B) {
	// Changes per minute. The last two are the largest release of servers, and that with twice as many
	// servers.
	rates := []float64{0, 60, 600, 3120, 6240}
	const took = 15 * time.Second
	runs := make([][]float64, runCount)
	for b.Loop() {
		for r := range runs {
			s := startCluster(b, 1)
			registerEndpoints(b, s, 0, plannedEndpoints)
			addr, count := countingRelay(b, s.addresses[0])
			ctx, end := context.WithCancel(b.Context())
			var all sync.WaitGroup
			d := discovery.New(discovery.Config{Source: discovery.Source{Members: []string{addr}}, Seed: uint64(r), Logger: slog.New(slog.DiscardHandler)})
			all.Go(func() { d.Run(ctx) })
			all.Go(func() {
				for {
					select {
					case <-d.Updates():
					case <-ctx.Done():
						return
					}
				}
			})
			time.Sleep(settleTime)
			c := registrar.New(s.addresses)
			var since atomic.Int64
			since.Store(1_790_000_000_000)
			for _, rate := range rates {
				rateCtx, stop := context.WithCancel(ctx)
				callers := callAtRate(rateCtx, rate/60, 4, func(_, i int) {
					n := realisticRecord(i % plannedEndpoints)
					n.StartedAtMs = since.Add(1)
					n.Instance = fmt.Sprint("i", n.StartedAtMs)
					if _, err := c.Register(rateCtx, n); err != nil && rateCtx.Err() == nil {
						b.Error(err)
					}
				})
				from := count.Load()
				time.Sleep(took)
				runs[r] = append(runs[r], float64(count.Load()-from)/took.Seconds())
				stop()
				callers.Wait()
			}
			c.Close()
			end()
			all.Wait()
		}
	}
	recordSlope(b, rates, runs, capacity.Slope{Name: "list.proxy.bytes", Role: "proxy following lists",
		Metric: "control bytes in and out", Unit: "B/s", Dimension: "changes a minute",
		Note: "one proxy's client with 1,300 nodos listed; changes within 50 ms are told together; " +
			"HTTP heads and bodies, without what TCP and IP add"})
}

// BenchmarkSlopeKeeping measures the bytes that a server sends and receives to keep its lease, by renewals
// per second, with leases of 4, 2 and 1 s.
func BenchmarkSlopeKeeping(b *testing.B) {
	leases := []float64{4, 2, 1}
	const took = 24 * time.Second
	var sizes []float64
	runs := make([][]float64, runCount)
	for b.Loop() {
		s := startCluster(b, 1)
		ctx, end := context.WithCancel(b.Context())
		var all sync.WaitGroup
		counts := make([][]*atomic.Int64, runCount)
		for r := range runs {
			for i, lease := range leases {
				addr, count := countingRelay(b, s.addresses[0])
				counts[r] = append(counts[r], count)
				all.Go(func() {
					c := registrar.New([]string{addr})
					defer c.Close()
					n := realisticRecord(r*len(leases) + i)
					n.LeaseMs = int64(lease * 1000)
					if err := c.KeepRegistered(ctx, n, nil); err != nil && ctx.Err() == nil {
						b.Error(err)
					}
				})
			}
		}
		time.Sleep(settleTime)
		before := map[*atomic.Int64]int64{}
		for _, of := range counts {
			for _, c := range of {
				before[c] = c.Load()
			}
		}
		time.Sleep(took)
		for r, of := range counts {
			for _, c := range of {
				runs[r] = append(runs[r], float64(c.Load()-before[c])/took.Seconds())
			}
		}
		end()
		all.Wait()
	}
	for _, lease := range leases {
		sizes = append(sizes, 3/lease)
	}
	recordSlope(b, sizes, runs, capacity.Slope{Name: "lease.nodo.bytes", Role: "nodo keeping its lease",
		Metric: "control bytes in and out", Unit: "B/s", Dimension: "renewals a second of a nodo",
		Note: "leases of 4, 2 and 1 s; HTTP heads and bodies, without what TCP and IP add"})
}

// BenchmarkSlopeRenewing measures the processor time of this process, as a server's, by renewals per second.
func BenchmarkSlopeRenewing(b *testing.B) {
	rates := []float64{1, 3, 10}
	const settleTime, measureTime = 500 * time.Millisecond, 4 * time.Second
	ownCPUSeconds := func() float64 {
		var u syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
			b.Fatal(err)
		}
		return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
	}
	runs := make([][]float64, runCount)
	for b.Loop() {
		s := startCluster(b, 1)
		registerEndpoints(b, s, 0, 1)
		c := registrar.New(s.addresses)
		n := realisticRecord(0)
		for r := range runs {
			for _, rate := range rates {
				ctx, stop := context.WithCancel(b.Context())
				all := callAtRate(ctx, rate, 1, func(int, int) {
					if _, err := c.Renew(ctx, state.InstanceRef{Name: n.Name, Instance: n.Instance}); err != nil && ctx.Err() == nil {
						b.Error(err)
					}
				})
				time.Sleep(settleTime)
				begun, from := time.Now(), ownCPUSeconds()
				time.Sleep(measureTime)
				runs[r] = append(runs[r], 100*(ownCPUSeconds()-from)/time.Since(begun).Seconds())
				stop()
				all.Wait()
			}
		}
		c.Close()
	}
	recordSlope(b, rates, runs, capacity.Slope{Name: "lease.nodo.cpu", Role: "nodo keeping its lease",
		Metric: "cpu of renewals", Unit: "% of a core", Dimension: "renewals a second of a nodo",
		Note: "with all that a Go process does besides"})
}
