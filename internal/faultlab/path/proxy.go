package path

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"merlinpick/internal/faultlab/process"
)

// readyTimeout is the longest time that a proxy may take to become ready.
const readyTimeout = 10 * time.Second

var (
	// ErrExited reports a proxy that exited before it was ready; its log says why.
	ErrExited = errors.New("exited before it was ready; see the log in its directory")
	// ErrNotReady reports a proxy that was not ready within readyTimeout.
	ErrNotReady = errors.New("not ready; see the log in its directory")
)

// Limits are the resources in a proxy's configuration.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// DeploymentLimits are the limits of a proxy that shares its machine with a server.
var DeploymentLimits = Limits{Cores: 1, MemoryMB: 64, Sockets: 512}

// ProxyOptions describes a proxy to start.
type ProxyOptions struct {
	Program string // path of the program
	Dir     string // directory for the configuration and the log
	Zones   int    // number of zones of the servers
	Limits  Limits
	Seed    uint64

	Management string // management address; empty: none
}

// Proxy is a running proxy process.
type Proxy struct {
	Addr    string
	process *process.Process
	starter *process.Starter
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }

// ReadClass and WriteClass are the classes of requests: an idempotent one, and one that must not be repeated.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

// classSettings returns the settings of a class.
func classSettings(name, repeat string) map[string]any {
	return map[string]any{"name": name, "objective_us": microseconds(400 * time.Millisecond),
		"give_up_us": microseconds(callTimeout), "worth": 1, "late_share": 0.0, "repeat": repeat, "stream": false,
		"dedup_scope": "all", "dedup_window_us": 0}
}

// settings returns the service settings: the proxy is in the home zone.
func settings(zones int) map[string]any {
	var names []string
	for zone := range zones {
		names = append(names, zoneName(zone))
	}
	return map[string]any{
		"contract": map[string]any{"answer_slack_us": microseconds(20 * time.Millisecond), "ask_every_us": microseconds(10 * time.Second),
			"cold_us": microseconds(8800 * time.Millisecond), "drain_grace_us": microseconds(time.Second), "fall_us": microseconds(2 * time.Second),
			"start_capacity": 0.32, "tip_multiple": 3},
		"counted_by": "request", "failure_domains": names, "membership_mode": "subscribe", "my_zone": homeZone,
		"limits": map[string]any{"cancelling": true, "dial_timeout_us": microseconds(250 * time.Millisecond),
			"idle_close_us": microseconds(5 * time.Second), "max_retry_after_us": microseconds(2 * time.Second), "retry_after": true,
			"second_copies": true, "try_limit": 3, "streams_per_conn": 1, "peers": false, "probes": false},
		"ordinal": 0, "siblings": 1, "tenants": []any{}, "tiers": []string{"a", "b"}, "stage": 1, "weights": "off",
		"profiles": []any{classSettings(ReadClass, "idempotent"), classSettings(WriteClass, "at_most_once")},
	}
}

// StartProxy starts a proxy that follows a registry and waits until it is ready.
func StartProxy(registry *Registry, options ProxyOptions) (*Proxy, error) {
	program, err := filepath.Abs(options.Program)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("proxy: %w; build it as described in README.md", err)
	}
	addr, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	configuration := map[string]any{"name": "p", "listen": addr, "discovery": registry.Addr, "limits": options.Limits,
		"seed": fmt.Sprintf("%016x", options.Seed), "settings": settings(options.Zones)}
	if options.Management != "" {
		configuration["mgmt"] = options.Management
	}
	text, err := json.Marshal(configuration)
	if err != nil {
		return nil, fmt.Errorf("configuration of the proxy: %w", err)
	}
	file := filepath.Join(options.Dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, fmt.Errorf("configuration of the proxy: %w", err)
	}
	p := &Proxy{Addr: addr, starter: process.NewStarter()}
	p.process, err = p.starter.Start(process.Spec{Name: "p", Command: []string{program}, Dir: options.Dir,
		Env: []string{"LB_CONFIG=" + file, "TMPDIR=" + options.Dir}, Log: filepath.Join(options.Dir, "log")})
	if err != nil {
		p.starter.Close()
		return nil, err
	}
	if err := p.waitReady(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// FreeAddress returns an address of 127.0.0.1 with a port that was free.
func FreeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("find a port for the proxy: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// waitReady waits until the proxy reports that it is ready.
func (p *Proxy) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.process.Ended():
			return fmt.Errorf("proxy at %s: %w (%v)", p.Addr, ErrExited, p.process.Err())
		default:
		}
		resp, err := http.Get("http://" + p.Addr + "/_health")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("proxy at %s: %w within %v", p.Addr, ErrNotReady, readyTimeout)
}

// CPU returns the processor time that the process has used, in nanoseconds. /proc would give it only in
// hundredths of a second.
func (p *Proxy) CPU() (time.Duration, error) {
	clock := int32(^p.process.PID()<<3 | 2) // CPUCLOCK_SCHED of the process, see clock_getcpuclockid(3)
	var used unix.Timespec
	if err := unix.ClockGettime(clock, &used); err != nil {
		return 0, fmt.Errorf("processor time of the proxy: %w", err)
	}
	return time.Duration(used.Nano()), nil
}

// RunQueueWait returns for how long the threads that the process has now were ready to run and had no processor, all
// together; 0 if the system does not tell.
func (p *Proxy) RunQueueWait() (total time.Duration) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.process.PID())) // only a bad pattern fails
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		if fields := strings.Fields(string(text)); len(fields) == 3 { // ns on a processor, ns ready, time slices
			waited, _ := strconv.ParseInt(fields[1], 10, 64)
			total += time.Duration(waited)
		}
	}
	return total
}

// Memory returns the process's resident memory and the anonymous part of it, in bytes.
func (p *Proxy) Memory() (resident, anonymous int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.PID()))
	if err != nil {
		return 0, 0, fmt.Errorf("memory of the proxy: %w", err)
	}
	values := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		if key, rest, ok := strings.Cut(line, ":"); ok {
			if fields := strings.Fields(rest); len(fields) == 2 && fields[1] == "kB" {
				kb, _ := strconv.ParseInt(fields[0], 10, 64)
				values[key] = kb << 10
			}
		}
	}
	return values["VmRSS"], values["RssAnon"], nil
}

// PeakMemory returns the most resident memory that the process has had, in bytes; 0 if it has ended.
func (p *Proxy) PeakMemory() int64 { return process.PeakMemory(p.process.PID()) }

// Close kills the process and waits for its end.
func (p *Proxy) Close() {
	_ = p.process.Signal(syscall.SIGKILL)
	<-p.process.Ended()
	p.starter.Close()
}

// throttlePeriod is the period of Throttle.
const throttlePeriod = 20 * time.Millisecond

// Throttle gives the process a fraction of a core: it is stopped for the rest of each throttlePeriod. With one core
// or more it runs all the time. stop lets it run on.
func (p *Proxy) Throttle(cores float64) (stop func()) {
	if cores >= 1 {
		return func() {}
	}
	ended, stopped := make(chan struct{}), make(chan struct{})
	running := time.Duration(cores * float64(throttlePeriod))
	go func() {
		defer close(stopped)
		for {
			select {
			case <-ended:
				return
			case <-time.After(running):
			}
			_ = p.process.Signal(syscall.SIGSTOP)
			time.Sleep(throttlePeriod - running)
			_ = p.process.Signal(syscall.SIGCONT)
		}
	}()
	return func() { close(ended); <-stopped }
}
