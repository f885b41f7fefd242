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
	canaryEvery = 10 * time.Millisecond
	headWait    = 5 * time.Second
	// Those of a process begin one after another: a service that meets them all in one instant is another experiment.
	proxyGap = 15 * time.Millisecond
	nodoGap  = 5 * time.Millisecond
)

// Order tells a process to have nodos do something.
type Order struct {
	Act   string  `json:"act"` // replace, die, lose
	Turns []Turn  `json:"turns"`
	ForMs int64   `json:"for_ms"` // die: until each is back; 0: never; lose: until it ends
	Part  float64 `json:"part"`   // lose: of the gossip's datagrams
}

// Turn is a nodo, and how long from now its turn is.
type Turn struct {
	Name string `json:"name"`
	InMs int64  `json:"in_ms"`
}

// Process is all that one process runs.
type Process struct {
	cfg     Config
	log     *slog.Logger
	seeded  seeded
	proxies []*proxy
	net     *link.Net // of relays
	befores []*link.Relay
	nodos   map[string]*nodo
	acts    sync.WaitGroup
	stop    context.CancelCauseFunc
	ctx     context.Context

	mu      sync.Mutex
	changes []Change
	deaths  []Death
	stall   time.Duration
}

// New makes all proxies and nodos of a process; nothing runs yet. The error is a *FailedError if it is one's of them.
func New(c Config, log *slog.Logger) (*Process, error) { return newSeeded(c, log, sound) }

func newSeeded(c Config, log *slog.Logger, fault seeded) (*Process, error) {
	p := &Process{cfg: c, log: log, seeded: fault, nodos: map[string]*nodo{}}
	p.ctx, p.stop = context.WithCancelCause(context.Background())
	if err := p.relays(); err != nil {
		return nil, err
	}
	for _, x := range c.Proxies {
		h, err := newProxy(&p.cfg, x, log, fault)
		if err != nil {
			return nil, &FailedError{c.Name, x.Name, err.Error()}
		}
		p.proxies = append(p.proxies, h)
	}
	for _, x := range c.Nodos {
		p.nodos[x.Name] = newNodo(&p.cfg, x, p.note, p.fail)
	}
	return p, nil
}

func (p *Process) note(c Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.changes = append(p.changes, c)
}

// fail ends the process with the name of who failed.
func (p *Process) fail(name string, err error) {
	p.stop(&FailedError{p.cfg.Name, name, err.Error()})
}

// Run runs all until the context ends, or one fails: then the error is a *FailedError.
func (p *Process) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { p.stop(nil) })()
	var all sync.WaitGroup
	for i, h := range p.proxies {
		all.Go(func() {
			sleep.For(p.ctx, time.Duration(i)*proxyGap)
			p.guard(h.Name, func() { h.run(p.ctx, p.seeded) })
		})
	}
	all.Go(func() {
		for _, n := range p.nodos {
			if sleep.For(p.ctx, nodoGap) {
				n.start(p.ctx)
			}
		}
	})
	all.Go(p.canary)
	<-p.ctx.Done()
	all.Wait()
	p.acts.Wait()
	if p.net != nil {
		p.net.Close()
	}
	for _, n := range p.nodos {
		n.close()
	}
	var failed *FailedError
	if errors.As(context.Cause(p.ctx), &failed) {
		return failed
	}
	return nil
}

// guard makes a fault of the code that one proxy runs that proxy's failure.
func (p *Process) guard(name string, do func()) {
	defer func() {
		if r := recover(); r != nil {
			p.log.Error("panic", "name", name, "stack", string(debug.Stack()))
			p.fail(name, fmt.Errorf("panic: %v", r))
		}
	}()
	do()
}

// canary notes the longest time by which a wake-up came late.
func (p *Process) canary() {
	for {
		at := time.Now()
		if !sleep.For(p.ctx, canaryEvery) {
			return
		}
		late := time.Since(at) - canaryEvery
		p.mu.Lock()
		p.stall = max(p.stall, late)
		p.mu.Unlock()
	}
}

// Do carries an order out, in the background.
func (p *Process) Do(o Order) error {
	for _, t := range o.Turns {
		if p.nodos[t.Name] == nil {
			return fmt.Errorf("hollow process %s has no nodo %q", p.cfg.Name, t.Name)
		}
	}
	if !slices.Contains([]string{"replace", "die", "lose"}, o.Act) {
		return fmt.Errorf("hollow: no act %q: replace, die or lose", o.Act)
	}
	if o.Act == "lose" {
		end, err := p.lose(o.Part)
		p.acts.Go(func() {
			sleep.For(p.ctx, time.Duration(o.ForMs)*time.Millisecond)
			if err := end(); err != nil {
				p.fail("relays", err)
			}
		})
		return err
	}
	for _, t := range o.Turns {
		n := p.nodos[t.Name]
		p.acts.Go(func() {
			if !sleep.For(p.ctx, time.Duration(t.InMs)*time.Millisecond) {
				return
			}
			if o.Act == "replace" {
				if err := n.replace(p.ctx); err != nil {
					p.fail(n.Name, err)
				}
				return
			}
			p.mu.Lock()
			p.deaths = append(p.deaths, Death{n.Name, nanos()})
			p.mu.Unlock()
			n.dead()
			if o.ForMs > 0 && sleep.For(p.ctx, time.Duration(o.ForMs)*time.Millisecond) {
				n.start(p.ctx)
			}
		})
	}
	return nil
}

// Begin has the figures begin now.
func (p *Process) Begin() {
	p.mu.Lock()
	p.changes, p.deaths, p.stall = nil, nil, 0
	p.mu.Unlock()
	for _, h := range p.proxies {
		h.list.begin()
		if h.rules != nil {
			h.rules.begin()
		}
	}
}

// missing says what is not there yet.
func (p *Process) missing() string {
	for _, h := range p.proxies {
		if m := h.missing(); m != "" {
			return m
		}
	}
	for _, n := range p.nodos {
		select {
		case <-n.known:
		default:
			return n.Name + " is not in the list"
		}
	}
	return ""
}

// Figures are as of now; without steps the lists' versions and the nodos' changes are left out.
func (p *Process) Figures(steps bool) Figures {
	f := Figures{Missing: p.missing(), RSS: process.Memory(os.Getpid()), CPU: cpu()}
	f.Ready, f.Over = f.Missing == "", p.over()
	for _, h := range p.proxies {
		f.Proxies = append(f.Proxies, h.figures(steps))
	}
	p.mu.Lock()
	if steps {
		f.Nodos.Changes, f.Nodos.Deaths = slices.Clone(p.changes), slices.Clone(p.deaths)
	}
	f.StallMs = float64(p.stall.Microseconds()) / 1000
	p.mu.Unlock()
	for _, n := range p.nodos {
		if n.lives.Load() {
			f.Nodos.Living++
		}
	}
	return f
}

// Serve answers at the control address until the process ends: GET /ready, GET /figures, POST /begin, POST /do.
func (p *Process) Serve() error {
	l, err := net.Listen("tcp", p.cfg.Control)
	if err != nil {
		return fmt.Errorf("hollow process %s: %w", p.cfg.Name, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, p.missing()) })
	mux.HandleFunc("GET /figures", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(p.Figures(r.URL.Query().Get("steps") != "0"))
	})
	mux.HandleFunc("POST /begin", func(http.ResponseWriter, *http.Request) { p.Begin() })
	mux.HandleFunc("POST /do", func(w http.ResponseWriter, r *http.Request) {
		var o Order
		err := json.NewDecoder(r.Body).Decode(&o)
		if err == nil {
			err = p.Do(o)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
		}
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: headWait}
	defer context.AfterFunc(p.ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Main is a whole process by its file, until the context ends.
func Main(ctx context.Context, path string, log *slog.Logger) error {
	c, err := Read(path)
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
		err = errors.Join(err, failed.write(c.Failure))
	}
	return err
}

func cpu() int64 {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return u.Utime.Nano() + u.Stime.Nano()
}
