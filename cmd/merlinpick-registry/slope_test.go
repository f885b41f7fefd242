package main

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/faultlab/capacity"
	"merlinpick/internal/registry/registrar"
	"merlinpick/internal/registry/state"
)

var (
	slopesTo     = flag.String("slopes.to", "", "append the slopes measured to this file")
	slopesCommit = flag.String("slopes.commit", "0000000", "commit of the program measured")
	slopesOn     = flag.String("slopes.machine", "", "machine measured on")
	slopesNote   = flag.String("slopes.note", "", "what else is to be known of the run")
)

const (
	repeats = 3
	settle  = 2 * time.Second // after a change of what is measured
	spell   = 5 * time.Second // of one measurement
	members = 5
	planned = 1300 // nodos and proxies, where something else grows
)

// slope fits a line through measurements and records it as a figure of the capacity page.
func slope(b *testing.B, sizes []float64, runs [][]float64, s capacity.Slope) {
	b.Helper()
	if b.Failed() {
		return // a void run is no figure
	}
	s.Commit, s.Machine = *slopesCommit, *slopesOn
	s.Command = "go test -run xxx -bench " + strings.ReplaceAll(b.Name(), "Benchmark", "") + "$ -benchtime 1x ./cmd/merlinpick-registry"
	s.Note = strings.Trim(s.Note+"; "+*slopesNote, "; ")
	if err := s.Record(*slopesTo, sizes, runs); err != nil {
		b.Error(err)
	}
	b.ReportMetric(0, "ns/op")
}

// cpuSeconds returns the processor time that a process has used, in seconds.
func cpuSeconds(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		b.Fatal(err)
	}
	f := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+2:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100 // clock ticks; Linux has 100 per second
}

// resident returns a process's resident memory, in MB.
func resident(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// fill registers endpoints n0 to n(count-1), many at a time.
func fill(b *testing.B, s *cluster, from, count int) {
	c := registrar.New(s.addresses)
	defer c.Close()
	var next atomic.Int64
	next.Store(int64(from) - 1)
	var all sync.WaitGroup
	for range 32 {
		all.Go(func() {
			for i := next.Add(1); i < int64(count); i = next.Add(1) {
				if _, err := c.Register(b.Context(), listed(int(i))); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
}

// listed returns an endpoint with names as long as real ones.
func listed(i int) state.Record {
	r := record(fmt.Sprintf("s-%08x", i), 1_790_000_000_000)
	r.Address, r.Zone, r.Type = fmt.Sprintf("10.%d.%d.18:8443", i/250, i%250), fmt.Sprintf("zone-%d", i%9), "m2"
	r.LeaseMs = state.MaxLease.Milliseconds()
	return r
}

// pace calls do at a rate, spread over callers, until ctx ends.
func pace(ctx context.Context, rate float64, callers int, do func(caller, i int)) *sync.WaitGroup {
	var all sync.WaitGroup
	if rate == 0 {
		return &all
	}
	begun, gap := time.Now(), time.Duration(float64(time.Second)/rate)
	for c := range callers {
		all.Go(func() {
			for i := c; ; i += callers {
				select {
				case <-time.After(time.Until(begun.Add(time.Duration(i) * gap))):
					do(c, i)
				case <-ctx.Done():
					return
				}
			}
		})
	}
	return &all
}

// load measures the leader's and a follower's processor time, as a fraction of a core, at each rate.
func load(b *testing.B, s *cluster, rates []float64, at func(ctx context.Context, rate float64) *sync.WaitGroup) (leader, follower []float64) {
	for _, rate := range rates {
		ctx, stop := context.WithCancel(b.Context())
		all := at(ctx, rate)
		time.Sleep(settle)
		l := s.leader()
		f := (l + 1) % members
		begun, lead, follow := time.Now(), cpuSeconds(b, s.processes[l].PID()), cpuSeconds(b, s.processes[f].PID())
		time.Sleep(spell)
		took := time.Since(begun).Seconds()
		leader = append(leader, 100*(cpuSeconds(b, s.processes[l].PID())-lead)/took)
		follower = append(follower, 100*(cpuSeconds(b, s.processes[f].PID())-follow)/took)
		if s.leader() != l {
			b.Fatal("another leader: the run is void")
		}
		stop()
		all.Wait()
	}
	return leader, follower
}

// BenchmarkSlopeRenewals measures the cost of renewals: five members, 1,300 endpoints, spread evenly over the members.
func BenchmarkSlopeRenewals(b *testing.B) {
	rates := []float64{100, 400, 1300}
	var leader, follower [][]float64
	for b.Loop() {
		s := startService(b, members)
		fill(b, s, 0, planned)
		var clients []*registrar.Client
		for i := range 50 {
			clients = append(clients, registrar.New(s.addresses[i%members:i%members+1]))
		}
		for range repeats {
			l, f := load(b, s, rates, func(ctx context.Context, rate float64) *sync.WaitGroup {
				return pace(ctx, rate, len(clients), func(c, i int) {
					n := listed(i % planned)
					if _, err := clients[c].Renew(ctx, state.InstanceRef{Name: n.Name, Instance: n.Instance}); err != nil && ctx.Err() == nil {
						b.Error(err)
					}
				})
			})
			leader, follower = append(leader, l), append(follower, f)
		}
		for _, c := range clients {
			c.Close()
		}
	}
	is := capacity.Slope{Unit: "% of a core", Dimension: "renewals a second", Note: "five members, 1,300 nodos, renewals at each member alike"}
	is.Name, is.Role, is.Metric = "lease.leader.cpu", "list member as leader", "cpu of renewals"
	slope(b, rates, leader, is)
	is.Name, is.Role = "lease.follower.cpu", "list member as follower"
	slope(b, rates, follower, is)
}

// watcher watches the list as a proxy does, without pauses.
func watcher(ctx context.Context, addr string, from int64, line string) error {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { c.Close() })()
	defer c.Close()
	r := bufio.NewReaderSize(c, 1<<10)
	for {
		fmt.Fprintf(c, "GET /catalog/members?from=%d&hold_ms=5000&line=%s HTTP/1.1\r\nHost: x\r\n\r\n", from, line)
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return err
		}
		text, err := io.ReadAll(resp.Body)
		if err != nil {
			return err
		}
		l, err := discovery.Parse(text)
		if err != nil {
			return err
		}
		from = l.Version
	}
}

// BenchmarkSlopeChanges measures the cost of changes: five members, 1,300 endpoints, 1,300 watches, 260 at each member.
func BenchmarkSlopeChanges(b *testing.B) {
	rates := []float64{30, 120, 300} // a minute; more than that wants a machine without other work
	var leader, follower [][]float64
	for b.Loop() {
		s := startService(b, members)
		fill(b, s, 0, planned)
		line, index, _, err := s.list(b.Context(), 0)
		if err != nil {
			b.Fatal(err)
		}
		watching, end := context.WithCancel(b.Context())
		var all sync.WaitGroup
		for i := range planned {
			all.Go(func() {
				if err := watcher(watching, s.addresses[i%members], index, line); err != nil && watching.Err() == nil {
					b.Error(err)
				}
			})
		}
		c := registrar.New(s.addresses)
		var since, made atomic.Int64
		since.Store(1_790_000_000_000)
		for range repeats {
			l, f := load(b, s, rates, func(ctx context.Context, rate float64) *sync.WaitGroup {
				made.Store(0)
				sure := settle + spell - 200*time.Millisecond
				time.AfterFunc(sure, func() {
					if want := rate / 60 * sure.Seconds(); float64(made.Load()) < 0.9*want {
						b.Errorf("%d changes where %v were to be made: the run is void", made.Load(), want)
					}
				})
				return pace(ctx, rate/60, 16, func(_, i int) {
					n := listed(i % planned)
					n.StartedAtMs = since.Add(1)
					n.Instance = fmt.Sprint("i", n.StartedAtMs)
					if _, err := c.Register(ctx, n); err == nil {
						made.Add(1)
					} else if ctx.Err() == nil {
						b.Error(err)
					}
				})
			})
			leader, follower = append(leader, l), append(follower, f)
		}
		c.Close()
		end()
		all.Wait()
	}
	is := capacity.Slope{Unit: "% of a core", Dimension: "changes a minute", Note: "five members, 1,300 nodos, 1,300 watches; changes within 50 ms are told together"}
	is.Name, is.Role, is.Metric = "list.leader.cpu", "list member as leader", "cpu of changes and watches"
	slope(b, rates, leader, is)
	is.Name, is.Role = "list.follower.cpu", "list member as follower"
	slope(b, rates, follower, is)
}

// BenchmarkSlopeWatches measures a member's memory by watches in flight, with 1,300 endpoints.
func BenchmarkSlopeWatches(b *testing.B) {
	sizes := []float64{260, 867, 2600}
	runs := make([][]float64, repeats)
	for b.Loop() {
		for r := range runs {
			s := startService(b, 1)
			fill(b, s, 0, planned)
			line, index, _, err := s.list(b.Context(), 0)
			if err != nil {
				b.Fatal(err)
			}
			ctx, end := context.WithCancel(b.Context())
			var all sync.WaitGroup
			held := 0
			for _, n := range sizes {
				for ; held < int(n); held++ {
					all.Go(func() { _ = watcher(ctx, s.addresses[0], index, line) })
				}
				time.Sleep(settle)
				runs[r] = append(runs[r], resident(b, s.processes[0].PID()))
			}
			end()
			all.Wait()
		}
	}
	slope(b, sizes, runs, capacity.Slope{Name: "list.member.memory_watches", Role: "list member as follower", Metric: "memory with 1,300 nodos",
		Unit: "MB", Dimension: "watches", Note: "one member on its own"})
}

// BenchmarkSlopeNodos measures a member's memory and the length of a whole list by endpoints.
func BenchmarkSlopeNodos(b *testing.B) {
	sizes := []float64{150, 1300, 2600, 5200}
	runs, bodies := make([][]float64, repeats), make([][]float64, repeats)
	for b.Loop() {
		for r := range runs {
			s := startService(b, 1)
			has := 0
			for _, n := range sizes {
				fill(b, s, has, int(n))
				has = int(n)
				resp, err := http.Get("http://" + s.addresses[0] + "/catalog/members")
				if err != nil {
					b.Fatal(err)
				}
				text, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				if err != nil {
					b.Fatal(err)
				}
				time.Sleep(settle)
				runs[r], bodies[r] = append(runs[r], resident(b, s.processes[0].PID())), append(bodies[r], float64(len(text)))
			}
		}
	}
	slope(b, sizes, runs, capacity.Slope{Name: "list.member.memory_nodos", Role: "list member as leader", Metric: "memory without watches",
		Unit: "MB", Dimension: "nodos", Note: "one member on its own, which leads"})
	slope(b, sizes, bodies, capacity.Slope{Name: "list.proxy.whole_list", Role: "proxy following lists", Metric: "a whole list's length",
		Unit: "bytes", Dimension: "listed nodos", Note: "the body alone"})
}

// relay relays connections to a member and counts their bytes, both ways.
func relay(b *testing.B, to string) (addr string, count *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { l.Close() })
	count = new(atomic.Int64)
	pass := func(w, r net.Conn) {
		defer w.Close()
		buf := make([]byte, 32<<10)
		for {
			n, err := r.Read(buf)
			count.Add(int64(n))
			if n > 0 {
				if _, err := w.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			m, err := net.Dial("tcp", to)
			if err != nil {
				c.Close()
				continue
			}
			go pass(m, c)
			go pass(c, m)
		}
	}()
	return l.Addr().String(), count
}
