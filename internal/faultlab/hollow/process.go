package hollow

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/sleep"
)

const (
	stallCheckInterval = 10 * time.Millisecond
	headerTimeout      = 5 * time.Second
	// Proxies and servers start one after another, to spread the load on the registry.
	proxyStartInterval  = 15 * time.Millisecond
	serverStartInterval = 5 * time.Millisecond
)

// Command applies an action to servers of a process, or to the gossip of its proxies.
type Command struct {
	Action     string          `json:"act"` // replace, die, lose
	Targets    []CommandTarget `json:"turns"`
	DurationMs int64           `json:"for_ms"` // die: until the restart, 0 for none; lose: until the end
	Fraction   float64         `json:"part"`   // lose: fraction of the gossip datagrams that are lost
}

// CommandTarget is a server and the delay before the command is applied to it.
type CommandTarget struct {
	Name    string `json:"name"`
	DelayMs int64  `json:"in_ms"`
}

// Process runs the hollow proxies and servers of one operating-system process.
type Process struct {
	cfg          Config
	log          *slog.Logger
	seeded       seededFault
	proxies      []*proxy
	network      *link.Net     // of the relays; nil without relays
	memberRelays []*link.Relay // one in front of each proxy
	servers      map[string]*server
	commands     sync.WaitGroup
	stop         context.CancelCauseFunc
	ctx          context.Context

	mu      sync.Mutex
	changes []Change
	deaths  []Death
	stall   time.Duration // longest delay of a wake-up
}

// New creates the proxies and servers of a process without starting them. The error is a *FailedError if one
// of them failed.
func New(c Config, log *slog.Logger) (*Process, error) { return newSeeded(c, log, noFault) }

// newSeeded is New with a seeded fault in each proxy.
func newSeeded(c Config, log *slog.Logger, fault seededFault) (*Process, error) {
	p := &Process{cfg: c, log: log, seeded: fault, servers: map[string]*server{}}
	p.ctx, p.stop = context.WithCancelCause(context.Background())
	if err := p.openRelays(); err != nil {
		return nil, err
	}
	for _, x := range c.Proxies {
		h, err := newProxy(&p.cfg, x, log, fault)
		if err != nil {
			return nil, &FailedError{c.Name, x.Name, err.Error()}
		}
		p.proxies = append(p.proxies, h)
	}
	for _, x := range c.Servers {
		p.servers[x.Name] = newServer(&p.cfg, x, p.recordChange, p.fail)
	}
	return p, nil
}

// recordChange records a confirmed change of a server.
func (p *Process) recordChange(c Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
}

// fail ends the process because a proxy or server, given by name, has failed.
func (p *Process) fail(name string, err error) {
	p.stop(&FailedError{p.cfg.Name, name, err.Error()})
}

// Run runs all proxies and servers until the context ends or one of them fails, which returns a *FailedError.
func (p *Process) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { p.stop(nil) })()
	var tasks sync.WaitGroup
	for i, h := range p.proxies {
		tasks.Go(func() {
			sleep.For(p.ctx, time.Duration(i)*proxyStartInterval)
			p.recoverPanic(h.Name, func() { h.run(p.ctx, p.seeded) })
		})
	}
	tasks.Go(func() {
		for _, n := range p.servers {
			if sleep.For(p.ctx, serverStartInterval) {
				n.start(p.ctx)
			}
		}
	})
	tasks.Go(p.measureStalls)
	<-p.ctx.Done()
	tasks.Wait()
	p.commands.Wait()
	if p.network != nil {
		p.network.Close()
	}
	for _, n := range p.servers {
		n.close()
	}
	var failed *FailedError
	if errors.As(context.Cause(p.ctx), &failed) {
		return failed
	}
	return nil
}

// panicError holds the value of a recovered panic.
type panicError struct{ value any }

func (e *panicError) Error() string { return fmt.Sprintf("panic: %v", e.value) }

// recoverPanic runs do and reports a panic in it as a failure of the named proxy.
func (p *Process) recoverPanic(name string, do func()) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error("panic", "name", name, "stack", string(debug.Stack()))
			p.fail(name, &panicError{r})
		}
	}()
	do()
}

// measureStalls sleeps repeatedly and records the longest delay of a wake-up, which shows that the process
// was not scheduled.
func (p *Process) measureStalls() {
	for {
		at := time.Now()
		if !sleep.For(p.ctx, stallCheckInterval) {
			return
		}
		late := time.Since(at) - stallCheckInterval
		p.mu.Lock()
		p.stall = max(p.stall, late)
		p.mu.Unlock()
	}
}

// Actions of a Command.
const (
	actionReplace = "replace" // drain, deregister and start a new instance
	actionDie     = "die"     // stop without deregistering
	actionLose    = "lose"    // lose gossip datagrams
)

// CommandError reports a command that cannot be executed.
type CommandError struct {
	Process string
	Problem string
}

// Error names the process and the problem of the command.
func (e *CommandError) Error() string {
	return fmt.Sprintf("hollow process %s: command rejected: %s", e.Process, e.Problem)
}

// Execute runs a command in the background. The error is a *CommandError for an invalid command.
func (p *Process) Execute(command Command) error {
	for _, target := range command.Targets {
		if p.servers[target.Name] == nil {
			return &CommandError{p.cfg.Name, fmt.Sprintf("no server %q", target.Name)}
		}
	}
	duration := time.Duration(command.DurationMs) * time.Millisecond
	switch command.Action {
	case actionLose:
		return p.lose(command.Fraction, duration)
	case actionReplace, actionDie:
	default:
		return &CommandError{p.cfg.Name, fmt.Sprintf("unknown action %q; use replace, die or lose", command.Action)}
	}
	for _, target := range command.Targets {
		s := p.servers[target.Name]
		p.commands.Go(func() {
			switch {
			case !sleep.For(p.ctx, time.Duration(target.DelayMs)*time.Millisecond):
			case command.Action == actionReplace:
				if err := s.replace(p.ctx); err != nil {
					p.fail(s.Name, err)
				}
			default:
				p.kill(s, duration)
			}
		})
	}
	return nil
}

// kill stops a server without deregistering and starts it again after a downtime. With a downtime of 0 it
// stays stopped.
func (p *Process) kill(s *server, downtime time.Duration) {
	p.mu.Lock()
	p.deaths = append(p.deaths, Death{s.Name, unixNano()})
	p.mu.Unlock()
	s.die()
	if downtime > 0 && sleep.For(p.ctx, downtime) {
		s.start(p.ctx)
	}
}

// lose drops a fraction of the gossip datagrams to the process's proxies for a duration.
func (p *Process) lose(fraction float64, duration time.Duration) error {
	end, err := p.loseDatagrams(fraction)
	p.commands.Go(func() {
		sleep.For(p.ctx, duration)
		if err := end(); err != nil {
			p.fail("relays", err)
		}
	})
	return err
}

// ResetMetrics starts a new measurement period: the counters of failures and failovers and the longest stall
// restart, and recorded changes, deaths and versions are dropped, except for each proxy's last version.
func (p *Process) ResetMetrics() {
	p.mu.Lock()
	p.changes, p.deaths, p.stall = nil, nil, 0
	p.mu.Unlock()
	for _, h := range p.proxies {
		h.endpointList.resetMetrics()
		if h.rollout != nil {
			h.rollout.resetMetrics()
		}
	}
}

// notReadyReason returns why the process is not ready for a run; empty if it is ready.
func (p *Process) notReadyReason() string {
	for _, h := range p.proxies {
		if m := h.notReadyReason(); m != "" {
			return m
		}
	}
	for _, n := range p.servers {
		select {
		case <-n.registered:
		default:
			return n.Name + " is not registered yet"
		}
	}
	return ""
}

// Metrics returns the current metrics. Versions, changes and deaths are included only with steps.
func (p *Process) Metrics(steps bool) Metrics {
	f := Metrics{NotReadyReason: p.notReadyReason(), RSS: process.ResidentMemory(os.Getpid()), CPU: cpu()}
	f.Ready, f.RelayDrops = f.NotReadyReason == "", p.droppedByRelays()
	for _, h := range p.proxies {
		f.Proxies = append(f.Proxies, h.metrics(steps))
	}
	p.mu.Lock()
	if steps {
		f.Servers.Changes, f.Servers.Deaths = slices.Clone(p.changes), slices.Clone(p.deaths)
	}
	f.StallMs = float64(p.stall.Microseconds()) / 1000
	p.mu.Unlock()
	for _, n := range p.servers {
		if n.alive.Load() {
			f.Servers.Alive++
		}
	}
	return f
}

// Serve serves the control API until the process ends: GET /ready, GET /figures, POST /begin and POST /do.
func (p *Process) Serve() error {
	l, err := net.Listen("tcp", p.cfg.ControlAddress)
	if err != nil {
		return fmt.Errorf("hollow process %s: %w", p.cfg.Name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, p.notReadyReason()) })
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Metrics(r.URL.Query().Get("steps") != "0"))
	})
	mux.HandleFunc("POST /begin", func(http.ResponseWriter, *http.Request) { p.ResetMetrics() })
	mux.HandleFunc("POST /do", func(w http.ResponseWriter, r *http.Request) {
		var command Command
		err := json.NewDecoder(r.Body).Decode(&command)
		if err == nil {
			err = p.Execute(command)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	defer context.AfterFunc(p.ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Main runs the process that a configuration file describes until the context ends. It writes a *FailedError
// to the failure file.
func Main(ctx context.Context, path string, log *slog.Logger) error {
	c, err := ReadConfig(path)
	if err != nil {
		return err
	}
	p, err := New(c, log)
	if err == nil {
		served := make(chan error, 1)
		go func() {
			err := p.Serve()
			if err != nil {
				p.stop(&FailedError{c.Name, "process " + c.Name, err.Error()})
			}
			served <- err
		}()
		err = p.Run(ctx)
		<-served
	}
	var failed *FailedError
	if errors.As(err, &failed) {
		err = errors.Join(err, failed.write(c.FailureFile))
	}
	return err
}

// cpu returns the CPU time of this process in nanoseconds; 0 if it is unknown.
func cpu() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
