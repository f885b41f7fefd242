// Package costly plays clients that make a proxy work at full speed beside clients with sound requests, and
// checks that the others do not pay for it. The proxy is a real process; all else is in this one.
package costly

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/path"
)

// Options describes a play.
type Options struct {
	Kind    Kind
	Clients int // of that kind
	Limits  path.Limits
	Program string // path of the proxy
	Dir     string // for its configuration and its log
}

const (
	serverCount = 9
	serviceTime = 30 * time.Millisecond // of a server, for each request

	costlyTime = 6 * time.Second // the costly clients write for so long
	margin     = 500 * time.Millisecond
	// MinServedFraction is the fraction of the sound requests that have to be served.
	MinServedFraction = 0.95
)

// Result is what a play has shown.
type Result struct {
	Sound      Outcomes
	PeakMemory int64         // bytes, resident
	CPU        time.Duration // processor time of the proxy
	Took       time.Duration
	Management time.Duration // slowest call to the management address

	// SchedulingDelays counts how often a goroutine of the proxy waited over 10 ms for a processor, by its metric.
	SchedulingDelays int64
}

// String returns all figures on a line.
func (r Result) String() string {
	return fmt.Sprintf("%v; processor %.0f %%, peak memory %.1f MiB, slowest management call %v, %d scheduling delays over 10 ms", r.Sound,
		100*r.CPU.Seconds()/r.Took.Seconds(), float64(r.PeakMemory)/(1<<20), r.Management.Round(time.Millisecond), r.SchedulingDelays)
}

// managementLimit is the time in which the management address has to answer.
const managementLimit = time.Second

// Problems returns what the play shows to be wrong.
func (r Result) Problems(limits path.Limits) (problems []string) {
	if n := r.Sound.Late + r.Sound.Unanswered; n > 0 {
		problems = append(problems, fmt.Sprintf("%d sound requests ended after their due time or never, want none", n))
	}
	if float64(r.Sound.Served) < MinServedFraction*float64(r.Sound.Sent) {
		problems = append(problems, fmt.Sprintf("%d of %d sound requests served, want %v of them", r.Sound.Served, r.Sound.Sent, MinServedFraction))
	}
	if limit := int64(limits.MemoryMB) << 20; r.PeakMemory == 0 || r.PeakMemory > limit {
		problems = append(problems, fmt.Sprintf("peak memory %d bytes, want 1 to %d", r.PeakMemory, limit))
	}
	if r.Management > managementLimit {
		problems = append(problems, fmt.Sprintf("the management address took %v, want %v at most", r.Management, managementLimit))
	}
	return problems
}

// Play starts a proxy with its servers, and costly and sound clients beside each other.
func Play(ctx context.Context, options Options) (Result, error) {
	servers, closeServers, err := startServers()
	if err != nil {
		return Result{}, err
	}
	defer closeServers()
	registry, err := path.StartRegistry(servers)
	if err != nil {
		return Result{}, err
	}
	defer registry.Close()
	management, err := path.FreeAddress()
	if err != nil {
		return Result{}, err
	}
	proxy, err := path.StartProxy(registry, path.ProxyOptions{Program: options.Program, Dir: options.Dir, Zones: 1,
		Limits: options.Limits, Seed: 1, Management: management})
	if err != nil {
		return Result{}, err
	}
	defer proxy.Close()
	stopThrottle := proxy.Throttle(options.Limits.Cores)
	defer stopThrottle()
	return playClients(ctx, options, proxy, management)
}

// playClients runs the clients against a proxy that is ready.
func playClients(ctx context.Context, options Options, proxy *path.Proxy, management string) (Result, error) {
	begun, err := proxy.CPU()
	if err != nil {
		return Result{}, err
	}
	start := time.Now()
	ctx, stop := context.WithTimeout(ctx, margin+costlyTime+margin)
	defer stop()
	var clients sync.WaitGroup
	costlyCtx, stopCostly := context.WithTimeout(ctx, margin+costlyTime)
	defer stopCostly()
	address := proxy.Addr
	if options.Kind.Management {
		address = management
	}
	for range options.Clients {
		clients.Go(func() {
			time.Sleep(margin)
			options.Kind.Run(costlyCtx, address)
		})
	}
	result := Result{}
	clients.Go(func() { result.Management = slowestCall(costlyCtx, management) })
	sound := soundClients{address: proxy.Addr}
	result.Sound = sound.run(ctx)
	clients.Wait()
	result.SchedulingDelays = metric(management, schedulingDelayMetric)
	ended, err := proxy.CPU()
	result.CPU, result.Took, result.PeakMemory = ended-begun, time.Since(start), proxy.PeakMemory()
	return result, err
}

// managementInterval is the time between two calls to the management address.
const managementInterval = 200 * time.Millisecond

// slowestCall asks the management address for readiness until the context ends, and returns how long the slowest
// call took. One that fails counts with patience.
func slowestCall(ctx context.Context, address string) (slowest time.Duration) {
	client := http.Client{Timeout: patience}
	for ctx.Err() == nil {
		begun := time.Now()
		response, err := client.Get("http://" + address + "/v1/readyz")
		took := time.Since(begun)
		if err != nil {
			took = patience
		} else {
			response.Body.Close()
		}
		slowest = max(slowest, took)
		time.Sleep(managementInterval)
	}
	return slowest
}

// schedulingDelayMetric is the proxy's metric of SchedulingDelays.
const schedulingDelayMetric = "app.scheduling_delays.over_10ms"

// metric returns a metric of the proxy at a management address; -1 if it has none.
func metric(address, name string) int64 {
	client := http.Client{Timeout: patience}
	response, err := client.Get("http://" + address + "/v1/metrics")
	if err != nil {
		return -1
	}
	defer response.Body.Close()
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+"="); ok {
			if value, err := strconv.ParseInt(text, 10, 64); err == nil {
				return value
			}
		}
	}
	return -1
}

// startServers starts servers that read each request and answer it after serviceTime.
func startServers() (servers *path.Servers, stop func(), err error) {
	servers = &path.Servers{Zones: 1}
	var all []*http.Server
	stop = func() {
		for _, server := range all {
			server.Close()
		}
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "ok")
	})
	for i := range serverCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("start a server: %w", err)
		}
		server := &http.Server{Handler: handler}
		all = append(all, server)
		go func() { _ = server.Serve(listener) }() // ends with Close
		servers.All = append(servers.All, &path.Server{Name: fmt.Sprintf("s%d", i), Addr: listener.Addr().String()})
	}
	return servers, stop, nil
}
