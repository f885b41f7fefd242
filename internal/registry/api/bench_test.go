package api

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/registry/raftnode"
	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/watch"
)

func register(b testing.TB, m *raftnode.Node, name string, since int64) int64 {
	b.Helper()
	r, err := m.Propose(state.Command{Kind: state.CommandRegister, Record: &state.Record{Endpoint: state.Endpoint{Name: name, Address: "127.0.0.1:1",
		Zone: "a", Type: "t", Status: state.StatusServing, Weight: 1, StartedAtMs: since}, Instance: fmt.Sprint(since),
		LeaseMs: state.MaxLease.Milliseconds()}})
	if err != nil || r.Code != state.ResultDone {
		b.Fatal(r, err)
	}
	return r.Version
}

// naive is the service without shared answers: each caller that is woken encodes its own.
func naive(b *testing.B, m *raftnode.Node) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		for {
			changed := m.Watches().Wait()
			if _, index := m.Version(); index > from {
				break
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		line, index, changes, kept := m.Changes(from)
		if kept {
			writeBody(w, http.StatusOK, watch.Response{Version: index, Epoch: line, Endpoints: watch.MergeChanges(changes)}.Encode())
			return
		}
		line, index, all := m.Snapshot()
		writeBody(w, http.StatusOK, watch.Response{Version: index, Snapshot: true, Epoch: line, Endpoints: all}.Encode())
	})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// callers are connections that ask and take answers as cheaply as can be.
type caller struct {
	net.Conn
	r *bufio.Reader
}

func dial(b testing.TB, addr string) *caller {
	b.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return &caller{c, bufio.NewReaderSize(c, 1<<10)}
}

func (c *caller) ask(from int64) {
	fmt.Fprintf(c, "GET /catalog/members?from=%d&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n", from)
}

// take reads an answer, whose length its head tells.
func (c *caller) take() error {
	length := 0
	for {
		line, err := c.r.ReadString('\n')
		if err != nil {
			return err
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(v))
		}
		if line == "\r\n" {
			break
		}
	}
	_, err := io.CopyN(io.Discard, c.r, int64(length))
	return err
}

// BenchmarkFanout is the time from a change to its being with all who watch, as one change is told to all.
func BenchmarkFanout(b *testing.B) {
	for _, n := range []int{300, 1000, 5000} {
		for _, form := range []string{"shared", "naive"} {
			b.Run(fmt.Sprintf("%s/%d", form, n), func(b *testing.B) {
				m, s := open(b, 10_000)
				addr := s.Addr()
				if form == "naive" {
					addr = naive(b, m)
				}
				all := make([]*caller, n)
				for i := range all {
					all[i] = dial(b, addr)
				}
				from := register(b, m, "first", 1)
				var took []time.Duration
				for i := 0; b.Loop(); i++ {
					for _, c := range all {
						c.ask(from)
					}
					time.Sleep(300 * time.Millisecond) // until all wait
					var mu sync.Mutex
					var done sync.WaitGroup
					var begun time.Time
					start := make(chan struct{})
					for _, c := range all {
						done.Go(func() {
							err := c.take()
							at := time.Now()
							<-start
							mu.Lock()
							defer mu.Unlock()
							if err != nil {
								b.Error(err)
							}
							took = append(took, at.Sub(begun))
						})
					}
					next := register(b, m, "n", int64(i+2))
					begun = time.Now() // confirmed
					close(start)
					done.Wait()
					from = next
				}
				report(b, took)
			})
		}
	}
}

// BenchmarkWhole is the time until all who ask at once have a list of 1,000 nodos, as after a restore.
func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{300, 1000} {
		for _, form := range []string{"shared", "naive"} {
			b.Run(fmt.Sprintf("%s/%d", form, n), func(b *testing.B) {
				m, s := open(b, 10_000)
				addr := s.Addr()
				if form == "naive" {
					addr = naive(b, m)
				}
				i := m.StateSnapshot()
				for k := range 1000 {
					i.Records = append(i.Records, state.Record{Endpoint: state.Endpoint{Name: fmt.Sprintf("s-%08x", k), Address: "10.1.0.18:8443",
						Zone: "a", Type: "m2", Cell: 3, Status: state.StatusServing, Weight: 1}, Instance: "1", LeaseMs: state.MaxLease.Milliseconds()})
				}
				if _, _, err := m.Restore(i); err != nil {
					b.Fatal(err)
				}
				all := make([]*caller, n)
				for i := range all {
					all[i] = dial(b, addr)
				}
				var took []time.Duration
				for b.Loop() {
					var mu sync.Mutex
					var done sync.WaitGroup
					begun := time.Now()
					for _, c := range all {
						done.Go(func() {
							c.ask(0)
							err := c.take()
							mu.Lock()
							defer mu.Unlock()
							if err != nil {
								b.Error(err)
							}
							took = append(took, time.Since(begun))
						})
					}
					done.Wait()
				}
				report(b, took)
			})
		}
	}
}

func report(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	at := func(q float64) float64 { return took[int(q*float64(len(took)-1))].Seconds() * 1000 }
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(0, "ns/op")
}
