package main

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

// BenchmarkLeaderDeath measures the time from a leader's death to the next acknowledged write.
func BenchmarkLeaderDeath(b *testing.B) {
	s := startCluster(b, 3)
	c := registrar.New(s.addresses)
	defer c.Close()
	var took []float64
	for i := 0; b.Loop(); i++ {
		s.awaitServing()
		l := s.leader()
		if l < 0 {
			b.Fatal("no leader")
		}
		if err := s.processes[l].Kill(); err != nil {
			b.Fatal(err)
		}
		begun := time.Now()
		if _, err := c.Register(b.Context(), record("n", int64(i+1))); err != nil {
			b.Fatal(err)
		}
		took = append(took, time.Since(begun).Seconds()*1000)
		s.start(l)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)-1], "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStart measures the time from a member's start until it serves 10,000 endpoints from disk.
func BenchmarkStart(b *testing.B) {
	s := startCluster(b, 1)
	i := state.Snapshot{Epoch: "l", Version: 1}
	for n := range 10_000 {
		r := record(fmt.Sprintf("s-%08x", n), 1)
		i.Records = append(i.Records, r)
	}
	var text bytes.Buffer
	if err := i.Write(&text); err != nil {
		b.Fatal(err)
	}
	resp, err := http.Post("http://"+s.addresses[0]+"/v1/restore", "", &text)
	if err != nil || resp.StatusCode != http.StatusOK {
		b.Fatal(resp, err)
	}
	resp.Body.Close()
	var took []float64
	for b.Loop() {
		if err := s.processes[0].Kill(); err != nil {
			b.Fatal(err)
		}
		begun := time.Now()
		s.start(0)
		s.awaitServing()
		took = append(took, time.Since(begun).Seconds()*1000)
	}
	if _, _, values, err := s.list(context.Background(), 0); err != nil || len(values) != 10_000 {
		b.Fatal(len(values), err)
	}
	slices.Sort(took)
	b.ReportMetric(took[len(took)/2], "p50-ms")
	b.ReportMetric(took[len(took)-1], "max-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkCalls measures the calls per second of one member, by 32 clients: whole lists of 100 endpoints,
// and renewals.
func BenchmarkCalls(b *testing.B) {
	s := startCluster(b, 1)
	c := registrar.New(s.addresses)
	defer c.Close()
	for i := range 100 {
		if _, err := c.Register(b.Context(), record(fmt.Sprint("n", i), 1)); err != nil {
			b.Fatal(err)
		}
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 32}}
	var since atomic.Int64 // across all runs: an earlier start would be rejected
	since.Store(1)
	for name, call := range map[string]func(w int, i int64) error{
		"whole": func(int, int64) error {
			resp, err := client.Get("http://" + s.addresses[0] + "/catalog/members")
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = new(bytes.Buffer).ReadFrom(resp.Body)
			return err
		},
		"renew": func(_ int, i int64) error {
			_, err := c.Renew(context.Background(), state.InstanceRef{Name: fmt.Sprint("n", i%100), Instance: "i1"})
			return err
		},
		"register": func(w int, _ int64) error {
			_, err := c.Register(context.Background(), record(fmt.Sprint("w", w), since.Add(1)))
			return err
		},
	} {
		b.Run(name, func(b *testing.B) {
			var next atomic.Int64
			var all sync.WaitGroup
			n := int64(b.N)
			for w := range 32 {
				all.Go(func() {
					for i := next.Add(1); i <= n; i = next.Add(1) {
						if err := call(w, i); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			all.Wait()
			b.ReportMetric(float64(n)/b.Elapsed().Seconds(), "calls/s")
		})
	}
}

// BenchmarkWatcherMemory measures the resident memory of a member for each watch in flight.
func BenchmarkWatcherMemory(b *testing.B) {
	const watchers = 5000
	s := startCluster(b, 1)
	_, index, _, err := s.list(b.Context(), 0)
	if err != nil {
		b.Fatal(err)
	}
	resident := func() float64 {
		text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(s.processes[0].PID()), "statm"))
		if err != nil {
			b.Fatal(err)
		}
		pages, _ := strconv.Atoi(strings.Fields(string(text))[1])
		return float64(pages * os.Getpagesize())
	}
	for b.Loop() {
		before := resident()
		for range watchers {
			c, err := net.Dial("tcp", s.addresses[0])
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			fmt.Fprintf(c, "GET /catalog/members?from=%d&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n", index)
		}
		time.Sleep(2 * time.Second)
		b.ReportMetric((resident()-before)/watchers/1024, "KiB/watcher")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkJoin measures how late 300 clients get changes while 60 of 100 endpoints are replaced within 7 s
// and the leader, which a third of the clients watch, is killed in the middle.
func BenchmarkJoin(b *testing.B) {
	const clients, nodos, replaced, lasts = 300, 100, 60, 7 * time.Second
	s := startCluster(b, 3)
	c := registrar.New(s.addresses)
	defer c.Close()
	ctx, stop := context.WithCancel(b.Context())
	var all sync.WaitGroup
	defer all.Wait()
	defer stop()
	for i := range nodos {
		if _, err := c.Register(ctx, record(fmt.Sprint("n", i), 1)); err != nil {
			b.Fatal(err)
		}
	}
	var mu sync.Mutex
	acknowledgedAt, receivedAt := map[string]time.Time{}, make([]map[string]time.Time, clients)
	for i := range clients {
		receivedAt[i] = map[string]time.Time{}
		d := discovery.New(discovery.Config{Source: discovery.Source{Members: s.addresses}, Seed: uint64(i + 1), Logger: slog.New(slog.DiscardHandler)})
		all.Go(func() { d.Run(ctx) })
		all.Go(func() {
			for {
				select {
				case n := <-d.Updates():
					mu.Lock()
					for _, e := range n.List.Endpoints {
						if key := fmt.Sprint(e.Name, e.Status); receivedAt[i][key].IsZero() {
							receivedAt[i][key] = time.Now()
						}
					}
					mu.Unlock()
				case <-ctx.Done():
					return
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	recordWrite := func(name, status string, err error) {
		if err != nil {
			b.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		acknowledgedAt[name+status] = time.Now()
	}
	for b.Loop() {
		l := s.leader()
		begun := time.Now()
		for i := range replaced {
			time.Sleep(time.Until(begun.Add(time.Duration(i) * lasts / replaced)))
			if i == replaced/2 {
				if err := s.processes[l].Kill(); err != nil {
					b.Fatal(err)
				}
			}
			old, next := fmt.Sprint("n", i), fmt.Sprint("n", i, "-r")
			_, err := c.Register(ctx, record(next, 2))
			recordWrite(next, state.StatusServing, err)
			_, err = c.Deregister(ctx, state.InstanceRef{Name: old, Instance: "i1"})
			recordWrite(old, state.StatusDeleted, err)
		}
		time.Sleep(8 * time.Second)
	}
	var late []float64
	missed := 0
	mu.Lock()
	defer mu.Unlock()
	for key, at := range acknowledgedAt {
		for i := range receivedAt {
			t, ok := receivedAt[i][key]
			if !ok && strings.HasSuffix(key, state.StatusServing) {
				missed++ // removals are not counted: a whole list may just lack the endpoint
			}
			if ok {
				late = append(late, max(0, t.Sub(at).Seconds()*1000))
			}
		}
	}
	slices.Sort(late)
	b.ReportMetric(late[len(late)/2], "p50-ms")
	b.ReportMetric(late[len(late)*99/100], "p99-ms")
	b.ReportMetric(late[len(late)-1], "max-ms")
	b.ReportMetric(float64(missed), "untold")
	b.ReportMetric(0, "ns/op")
}
