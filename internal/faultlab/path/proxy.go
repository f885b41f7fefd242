package path

import (
	"encoding/json"
	"fmt"
	"log/slog"
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

// Limits are what a proxy is told of the machine: those that the lab has by default.
type Limits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// DeploymentLimits are those of a proxy that shares its machine with a server.
var DeploymentLimits = Limits{Cores: 1, MemoryMB: 64, Sockets: 512}

// Proxy is a real proxy process.
type Proxy struct {
	Addr    string
	process *process.Process
	starter *process.Starter
}

func microseconds(d time.Duration) int64 { return d.Microseconds() }

// settings are those of a proxy in zone 0 of a late tier, with one class that may run twice.
func settings(zones int) map[string]any {
	var names []string
	for z := range zones {
		names = append(names, zoneName(z))
	}
	return map[string]any{
		"contract": map[string]any{"answer_slack_us": microseconds(20 * time.Millisecond), "ask_every_us": microseconds(10 * time.Second),
			"cold_us": microseconds(8800 * time.Millisecond), "drain_grace_us": microseconds(time.Second), "fall_us": microseconds(2 * time.Second),
			"start_capacity": 0.32, "tip_multiple": 3},
		"counted_by": "request", "failure_domains": names, "membership_mode": "subscribe", "my_zone": 0,
		"limits": map[string]any{"cancelling": true, "dial_timeout_us": microseconds(250 * time.Millisecond),
			"idle_close_us": microseconds(5 * time.Second), "max_retry_after_us": microseconds(2 * time.Second), "retry_after": true,
			"second_copies": true, "try_limit": 3, "streams_per_conn": 1, "peers": false, "probes": false},
		"ordinal": 0, "siblings": 1, "tenants": []any{}, "tiers": []string{"a", "b"}, "stage": 1, "weights": "off",
		"profiles": []any{map[string]any{"name": "read", "objective_us": microseconds(400 * time.Millisecond),
			"give_up_us": microseconds(callTimeout), "worth": 1, "late_share": 0.0, "repeat": "idempotent", "stream": false,
			"dedup_scope": "all", "dedup_window_us": 0}},
	}
}

// StartProxy starts a program in a directory, which gets its configuration and its log, and waits until it is ready.
func StartProxy(program, dir string, list *Registry, zones int, limits Limits, seed uint64) (*Proxy, error) {
	program, err := filepath.Abs(program)
	if err != nil {
		return nil, fmt.Errorf("proxy: %w", err)
	}
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("proxy: %w; build it as README.md says", err)
	}
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": "p", "listen": addr, "discovery": list.Addr, "limits": limits,
		"seed": fmt.Sprintf("%016x", seed), "settings": settings(zones)})
	if err != nil {
		return nil, fmt.Errorf("configuration of the proxy: %w", err)
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, fmt.Errorf("configuration of the proxy: %w", err)
	}
	p := &Proxy{Addr: addr, starter: process.NewStarter()}
	p.process, err = p.starter.Start(process.Spec{Name: "p", Command: []string{program}, Dir: dir,
		Env: []string{"LB_CONFIG=" + file}, Log: filepath.Join(dir, "log")}, slog.Default())
	if err != nil {
		p.starter.Close()
		return nil, err
	}
	if err := p.waitReady(10 * time.Second); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("proxy: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (p *Proxy) waitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		select {
		case <-p.process.Ended():
			return fmt.Errorf("proxy at %s ended at its start: %w", p.Addr, p.process.Err())
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
	return fmt.Errorf("proxy at %s is not ready after %v", p.Addr, within)
}

// CPU is the processor time that the process has used, to the nanosecond: /proc counts in hundredths of a second.
func (p *Proxy) CPU() (time.Duration, error) {
	clock := int32(^p.process.PID()<<3 | 2) // CPUCLOCK_SCHED of the whole process, as clock_getcpuclockid(3) has it
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, fmt.Errorf("processor time of the proxy: %w", err)
	}
	return time.Duration(t.Nano()), nil
}

// Memory is the process's resident memory now, and that part of it which is its own, in bytes.
func (p *Proxy) Memory() (resident, anonymous int64, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.process.PID()))
	if err != nil {
		return 0, 0, fmt.Errorf("memory of the proxy: %w", err)
	}
	of := map[string]int64{}
	for line := range strings.Lines(string(text)) {
		if key, rest, ok := strings.Cut(line, ":"); ok {
			if f := strings.Fields(rest); len(f) == 2 && f[1] == "kB" {
				kb, _ := strconv.ParseInt(f[0], 10, 64)
				of[key] = kb << 10
			}
		}
	}
	return of["VmRSS"], of["RssAnon"], nil
}

// Close ends the process.
func (p *Proxy) Close() {
	_ = p.process.Signal(syscall.SIGKILL)
	<-p.process.Ended()
	p.starter.Close()
}
