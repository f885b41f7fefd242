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

func register(b testing.TB, node *raftnode.Node, name string, since int64) int64 {
	b.Helper()
	r, err := node.Propose(state.Command{Kind: state.CommandRegister, Record: &state.Record{Endpoint: state.Endpoint{Name: name, Address: "127.0.0.1:1",
		Zone: "a", Type: "t", Status: state.StatusServing, Weight: 1, StartedAtMs: since}, Instance: fmt.Sprint(since),
		LeaseMs: state.MaxLease.Milliseconds()}})
	if err != nil || r.Code != state.ResultDone {
		b.Fatal(r, err)
	}
	return r.Version
}

// startUnshared serves watches without shared responses, for comparison: each response is encoded for its
// client alone.
func startUnshared(b *testing.B, node *raftnode.Node) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
		for {
			changed := node.Watches().Changed()
			if _, version := node.Version(); version > from {
				break
			}
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			}
		}
		epoch, version, changes, retained := node.Changes(from)
		if retained {
			writeBody(w, http.StatusOK, watch.Response{Version: version, Epoch: epoch, Endpoints: watch.MergeChanges(changes)}.Encode())
			return
		}
		epoch, version, all := node.Snapshot()
		writeBody(w, http.StatusOK, watch.Response{Version: version, Snapshot: true, Epoch: epoch, Endpoints: all}.Encode())
	})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// rawClient is a client that uses little processor time per call, so that a benchmark measures the server.
type rawClient struct {
	net.Conn
	r *bufio.Reader
}

func dial(b testing.TB, addr string) *rawClient {
	b.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { c.Close() })
	return &rawClient{c, bufio.NewReaderSize(c, 1<<10)}
}

func (c *rawClient) sendWatch(from int64) {
	fmt.Fprintf(c, "GET /catalog/members?from=%d&hold_ms=60000 HTTP/1.1\r\nHost: x\r\n\r\n", from)
}

// readResponse reads a response and discards its body.
func (c *rawClient) readResponse() error {
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

// BenchmarkFanout measures the time from a committed change until each watch has its response.
func BenchmarkFanout(b *testing.B) {
	for _, n := range []int{300, 1000, 5000} {
		for _, form := range []string{"shared", "naive"} {
			b.Run(fmt.Sprintf("%s/%d", form, n), func(b *testing.B) {
				node, s := openServer(b, 10_000)
				addr := s.Addr()
				if form == "naive" {
					addr = startUnshared(b, node)
				}
				all := make([]*rawClient, n)
				for i := range all {
					all[i] = dial(b, addr)
				}
				from := register(b, node, "first", 1)
				var took []time.Duration
				for i := 0; b.Loop(); i++ {
					for _, c := range all {
						c.sendWatch(from)
					}
					time.Sleep(300 * time.Millisecond) // until all watches are in flight
					var mu sync.Mutex
					var done sync.WaitGroup
					var begun time.Time
					start := make(chan struct{})
					for _, c := range all {
						done.Go(func() {
							err := c.readResponse()
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
					next := register(b, node, "n", int64(i+2))
					begun = time.Now() // confirmed
					close(start)
					done.Wait()
					from = next
				}
				reportLatencies(b, took)
			})
		}
	}
}

// BenchmarkWhole measures the time until all clients that call at once have a list of 1,000 endpoints, as
// after a restore.
func BenchmarkWhole(b *testing.B) {
	for _, n := range []int{300, 1000} {
		for _, form := range []string{"shared", "naive"} {
			b.Run(fmt.Sprintf("%s/%d", form, n), func(b *testing.B) {
				node, s := openServer(b, 10_000)
				addr := s.Addr()
				if form == "naive" {
					addr = startUnshared(b, node)
				}
				i := node.StateSnapshot()
				for k := range 1000 {
					i.Records = append(i.Records, state.Record{Endpoint: state.Endpoint{Name: fmt.Sprintf("s-%08x", k), Address: "10.1.0.18:8443",
						Zone: "a", Type: "m2", Cell: 3, Status: state.StatusServing, Weight: 1}, Instance: "1", LeaseMs: state.MaxLease.Milliseconds()})
				}
				if _, _, err := node.Restore(i); err != nil {
					b.Fatal(err)
				}
				all := make([]*rawClient, n)
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
							c.sendWatch(0)
							err := c.readResponse()
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
				reportLatencies(b, took)
			})
		}
	}
}

func reportLatencies(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	at := func(q float64) float64 { return took[int(q*float64(len(took)-1))].Seconds() * 1000 }
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(0, "ns/op")
}
