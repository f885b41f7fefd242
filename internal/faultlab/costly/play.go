// Package costly plays clients that make a proxy work at full speed beside clients with sound requests, and
// checks that the others do not pay for it. The proxy is a real process; all else is in this one.
package costly

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/path"
)

// Options describes a play.
type Options struct {
	Kind    Kind
	Clients int  // of that kind
	Spread  bool // each of them has an address of its own
	Hanging int  // of the serverCount servers, which never answer; requests at them end near their due time
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
	RunQueue   time.Duration // for which the proxy's threads were ready to run and had no processor, all together
	Took       time.Duration
	Management time.Duration    // slowest call to the management address
	Metrics    map[string]int64 // of the proxy
}

// String returns all figures on a line.
func (r Result) String() string {
	return fmt.Sprintf("%v; processor %.0f %%, ready and without one %.0f %%, peak memory %.1f MiB, slowest management call %v, %d scheduling delays over 10 ms%s", r.Sound,
		100*r.CPU.Seconds()/r.Took.Seconds(), 100*r.RunQueue.Seconds()/r.Took.Seconds(), float64(r.PeakMemory)/(1<<20), r.Management.Round(time.Millisecond),
		r.Metrics[schedulingDelayMetric], r.rejections())
}

// rejections returns how many requests the balancer has rejected, by reason.
func (r Result) rejections() string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(r.Metrics)) {
		if reason, ok := strings.CutPrefix(name, rejectionPrefix); ok && r.Metrics[name] > 0 {
			fmt.Fprintf(&text, ", %d rejected for %s", r.Metrics[name], reason)
		}
	}
	return text.String()
}

// managementLimit is the time in which the management address has to answer.
const managementLimit = time.Second

// Problems returns what the play shows to be wrong. With hanging servers any number may be served.
func (r Result) Problems(options Options) (problems []string) {
	limits := options.Limits
	if n := r.Sound.Late + r.Sound.Unanswered; n > 0 {
		problems = append(problems, fmt.Sprintf("%d sound requests ended after their due time or never, want none", n))
	}
	if options.Hanging == 0 && float64(r.Sound.Served) < MinServedFraction*float64(r.Sound.Sent) {
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
	servers, closeServers, err := startServers(options.Hanging)
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
	start, runQueueBefore := time.Now(), proxy.RunQueueWait()
	ctx, stop := context.WithTimeout(ctx, margin+costlyTime+margin)
	defer stop()
	var clients sync.WaitGroup
	costlyCtx, stopCostly := context.WithTimeout(ctx, margin+costlyTime)
	defer stopCostly()
	address := proxy.Addr
	if options.Kind.Management {
		address = management
	}
	for i := range options.Clients {
		clients.Go(func() {
			time.Sleep(margin)
			options.Kind.Run(costlyCtx, address, options.clientAddress(i))
		})
	}
	result := Result{}
	clients.Go(func() { result.Management = slowestCall(costlyCtx, management) })
	sound := soundClients{address: proxy.Addr}
	result.Sound = sound.run(ctx)
	clients.Wait()
	result.Metrics = readMetrics(management)
	ended, err := proxy.CPU()
	result.CPU, result.Took, result.PeakMemory = ended-begun, time.Since(start), proxy.PeakMemory()
	result.RunQueue = proxy.RunQueueWait() - runQueueBefore
	return result, err
}

// clientAddress returns the address of the i-th costly client; nil for that which the kernel gives to all.
func (o Options) clientAddress(i int) net.Addr {
	if !o.Spread {
		return nil
	}
	return &net.TCPAddr{IP: net.IPv4(127, 0, byte(1+i/250), byte(1+i%250))}
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

// Metrics of the proxy that a play reads: how often a goroutine waited over 10 ms for a processor, and requests that the
// balancer rejected, by reason.
const (
	schedulingDelayMetric = "app.scheduling_delays.over_10ms"
	rejectionPrefix       = "app.refusals."
)

// readMetrics reads the metrics of the proxy at a management address; none if it does not answer.
func readMetrics(address string) map[string]int64 {
	client := http.Client{Timeout: patience}
	response, err := client.Get("http://" + address + "/v1/metrics")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	values := map[string]int64{}
	for lines := bufio.NewScanner(response.Body); lines.Scan(); {
		name, text, _ := strings.Cut(lines.Text(), "=")
		if value, err := strconv.ParseInt(text, 10, 64); err == nil {
			values[name] = value
		}
	}
	return values
}

// startServers starts servers that read each request and answer it after serviceTime; the first ones never answer.
func startServers(hanging int) (servers *path.Servers, stop func(), err error) {
	servers = &path.Servers{Zones: 1}
	var all []*http.Server
	stop = func() {
		for _, server := range all {
			server.Close()
		}
	}
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "ok")
	})
	hang := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	for i := range serverCount {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			stop()
			return nil, nil, fmt.Errorf("start a server: %w", err)
		}
		server := &http.Server{Handler: answer}
		if i < hanging {
			server.Handler = hang
		}
		all = append(all, server)
		go func() { _ = server.Serve(listener) }() // ends with Close
		servers.All = append(servers.All, &path.Server{Name: fmt.Sprintf("s%d", i), Addr: listener.Addr().String()})
	}
	return servers, stop, nil
}
