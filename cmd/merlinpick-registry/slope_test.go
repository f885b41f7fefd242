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
	slopesTo     = flag.String("slopes.to", "", "append the measured slopes to this file")
	slopesCommit = flag.String("slopes.commit", "0000000", "commit of the measured program")
	slopesOn     = flag.String("slopes.machine", "", "machine of the measurement")
	slopesNote   = flag.String("slopes.note", "", "further remarks on the run")
)

const (
	runCount         = 3
	settleTime       = 2 * time.Second // after a change of what is measured
	measureTime      = 5 * time.Second // of one measurement
	memberCount      = 5
	plannedEndpoints = 1300 // nodos and proxies, where something else grows
)

// recordSlope fits a line through the measurements and appends it to the file of -slopes.to.
func recordSlope(b *testing.B, sizes []float64, runs [][]float64, s capacity.Slope) {
	b.Helper()
	if b.Failed() {
		return // an invalid run is not recorded
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

// residentMB returns a process's residentMB memory, in MB.
func residentMB(b *testing.B, pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "statm"))
	if err != nil {
		b.Fatal(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(text))[1], 64)
	return pages * float64(os.Getpagesize()) / 1e6
}

// registerEndpoints registers the endpoints with the numbers from to count-1, 32 at a time.
func registerEndpoints(b *testing.B, s *cluster, from, count int) {
	c := registrar.New(s.addresses)
	defer c.Close()
	var next atomic.Int64
	next.Store(int64(from) - 1)
	var all sync.WaitGroup
	for range 32 {
		all.Go(func() {
			for i := next.Add(1); i < int64(count); i = next.Add(1) {
				if _, err := c.Register(b.Context(), realisticRecord(int(i))); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	all.Wait()
}

// realisticRecord returns endpoint number i, with names as long as real ones.
func realisticRecord(i int) state.Record {
	r := record(fmt.Sprintf("s-%08x", i), 1_790_000_000_000)
	r.Address, r.Zone, r.Type = fmt.Sprintf("10.%d.%d.18:8443", i/250, i%250), fmt.Sprintf("zone-%d", i%9), "m2"
	r.LeaseMs = state.MaxLease.Milliseconds()
	return r
}

// callAtRate calls do rate times per second, spread over the callers, until ctx ends. The caller waits for
// the calls with the returned group.
func callAtRate(ctx context.Context, rate float64, callers int, do func(caller, i int)) *sync.WaitGroup {
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

// measureLoad measures the leader's and a follower's processor time, as a fraction of a core, at each rate.
func measureLoad(b *testing.B, s *cluster, rates []float64,
	at func(ctx context.Context, rate float64) *sync.WaitGroup) (leader, follower []float64) {
	for _, rate := range rates {
		ctx, stop := context.WithCancel(b.Context())
		all := at(ctx, rate)
		time.Sleep(settleTime)
		l := s.leader()
		f := (l + 1) % memberCount
		begun, lead, follow := time.Now(), cpuSeconds(b, s.processes[l].PID()), cpuSeconds(b, s.processes[f].PID())
		time.Sleep(measureTime)
		took := time.Since(begun).Seconds()
		leader = append(leader, 100*(cpuSeconds(b, s.processes[l].PID())-lead)/took)
		follower = append(follower, 100*(cpuSeconds(b, s.processes[f].PID())-follow)/took)
		if s.leader() != l {
			b.Fatal("the leader changed during the measurement: the run is invalid")
		}
		stop()
		all.Wait()
	}
	return leader, follower
}

// BenchmarkSlopeRenewals measures the cost of renewals: five members, 1,300 endpoints, spread evenly over the
// members.
func BenchmarkSlopeRenewals(b *testing.B) {
	rates := []float64{100, 400, 1300}
	var leader, follower [][]float64
	for b.Loop() {
		s := startCluster(b, memberCount)
		registerEndpoints(b, s, 0, plannedEndpoints)
		var clients []*registrar.Client
		for i := range 50 {
			clients = append(clients, registrar.New(s.addresses[i%memberCount:i%memberCount+1]))
		}
		for range runCount {
			l, f := measureLoad(b, s, rates, func(ctx context.Context, rate float64) *sync.WaitGroup {
				return callAtRate(ctx, rate, len(clients), func(c, i int) {
					n := realisticRecord(i % plannedEndpoints)
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
	recordSlope(b, rates, leader, is)
	is.Name, is.Role = "lease.follower.cpu", "list member as follower"
	recordSlope(b, rates, follower, is)
}

// watchList watches the list as a proxy does, without pauses between watches, until ctx ends.
func watchList(ctx context.Context, addr string, from int64, line string) error {
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

// BenchmarkSlopeChanges measures the cost of changes: five members, 1,300 endpoints, 1,300 watches, 260 at
// each member.
func BenchmarkSlopeChanges(b *testing.B) {
	rates := []float64{30, 120, 300} // changes per minute; higher rates need a machine without other load
	var leader, follower [][]float64
	for b.Loop() {
		s := startCluster(b, memberCount)
		registerEndpoints(b, s, 0, plannedEndpoints)
		line, index, _, err := s.list(b.Context(), 0)
		if err != nil {
			b.Fatal(err)
		}
		watchCtx, end := context.WithCancel(b.Context())
		var all sync.WaitGroup
		for i := range plannedEndpoints {
			all.Go(func() {
				if err := watchList(watchCtx, s.addresses[i%memberCount], index, line); err != nil &&
					watchCtx.Err() == nil {
					b.Error(err)
				}
			})
		}
		c := registrar.New(s.addresses)
		var since, made atomic.Int64
		since.Store(1_790_000_000_000)
		for range runCount {
			l, f := measureLoad(b, s, rates, func(ctx context.Context, rate float64) *sync.WaitGroup {
				made.Store(0)
				sure := settleTime + measureTime - 200*time.Millisecond
				time.AfterFunc(sure, func() {
					if want := rate / 60 * sure.Seconds(); float64(made.Load()) < 0.9*want {
						b.Errorf("%d changes were made instead of %v: the run is invalid", made.Load(), want)
					}
				})
				return callAtRate(ctx, rate/60, 16, func(_, i int) {
					n := realisticRecord(i % plannedEndpoints)
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
	recordSlope(b, rates, leader, is)
	is.Name, is.Role = "list.follower.cpu", "list member as follower"
	recordSlope(b, rates, follower, is)
}

// BenchmarkSlopeWatches measures a member's memory by watches in flight, with 1,300 endpoints.
func BenchmarkSlopeWatches(b *testing.B) {
	sizes := []float64{260, 867, 2600}
	runs := make([][]float64, runCount)
	for b.Loop() {
		for r := range runs {
			s := startCluster(b, 1)
			registerEndpoints(b, s, 0, plannedEndpoints)
			line, index, _, err := s.list(b.Context(), 0)
			if err != nil {
				b.Fatal(err)
			}
			ctx, end := context.WithCancel(b.Context())
			var all sync.WaitGroup
			held := 0
			for _, n := range sizes {
				for ; held < int(n); held++ {
					all.Go(func() { _ = watchList(ctx, s.addresses[0], index, line) })
				}
				time.Sleep(settleTime)
				runs[r] = append(runs[r], residentMB(b, s.processes[0].PID()))
			}
			end()
			all.Wait()
		}
	}
	recordSlope(b, sizes, runs, capacity.Slope{Name: "list.member.memory_watches",
		Role: "list member as follower", Metric: "memory with 1,300 nodos",
		Unit: "MB", Dimension: "watches", Note: "one member on its own"})
}

// BenchmarkSlopeNodos measures a member's memory and the length of a whole list by endpoints.
func BenchmarkSlopeNodos(b *testing.B) {
	sizes := []float64{150, 1300, 2600, 5200}
	runs, bodies := make([][]float64, runCount), make([][]float64, runCount)
	for b.Loop() {
		for r := range runs {
			s := startCluster(b, 1)
			has := 0
			for _, n := range sizes {
				registerEndpoints(b, s, has, int(n))
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
				time.Sleep(settleTime)
				runs[r], bodies[r] = append(runs[r], residentMB(b, s.processes[0].PID())),
					append(bodies[r], float64(len(text)))
			}
		}
	}
	recordSlope(b, sizes, runs, capacity.Slope{Name: "list.member.memory_nodos",
		Role: "list member as leader", Metric: "memory without watches",
		Unit: "MB", Dimension: "nodos", Note: "one member on its own, which leads"})
	recordSlope(b, sizes, bodies, capacity.Slope{Name: "list.proxy.whole_list", Role: "proxy following lists",
		Metric: "a whole list's length", Unit: "bytes", Dimension: "listed nodos", Note: "the body alone"})
}

// countingRelay relays connections to a member and counts their bytes, both ways.
func countingRelay(b *testing.B, to string) (addr string, count *atomic.Int64) {
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
