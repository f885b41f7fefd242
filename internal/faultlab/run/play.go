// Package run plays an experiment: it builds the fleet, starts the proxies as real processes, plays the load, carries
// the faults out, and hands what the referee recorded on to be reckoned up.
//
// Arrows go one way: run uses load, server, catalog, link, process and referee; none of them knows of run, and of each
// other they know no more than links and the referee. One goroutine owns each thing: the load its arrivals, the
// timeline each fault, the catalog its list, a link's connection its two directions, the starter all processes.
package run

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/sleep"
)

// Options are what a run needs beside its experiment.
type Options struct {
	ProxyCommand    []string // a proxy
	HollowCommand   []string // a process of hollow proxies or servers, but for its file; needed if the experiment has any
	RegistryCommand []string // a member of the list service; needed if the experiment has any
	OutputDir       string   // directory for the proxies' logs
	Logger          *slog.Logger
	// Progress is told now and then how far the load is; may be nil.
	Progress func(at, of time.Duration, p Progress)
}

// Progress is how a play goes.
type Progress struct {
	Arrived  int
	Lateness time.Duration // of the newest arrival
}

const (
	stallCheckInterval = 10 * time.Millisecond
	progressInterval   = time.Second
	readyPollInterval  = 50 * time.Millisecond
	workDirPrefix      = "fleetlab-"
)

// ErrEnvironment is a run that this machine could not make.
var ErrEnvironment = errors.New("environment")

// Play plays an experiment once. When the context ends it stops, and the play is partial.
func Play(ctx context.Context, exp *experiment.Experiment, seed uint64, o Options) (result.Play, error) {
	if err := checkCapacity(exp, thisMachine()); err != nil {
		return result.Play{}, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	p := plan.Draw(exp, seed)
	sum, err := p.Sum()
	if err != nil {
		return result.Play{}, err
	}
	out := result.Play{Seed: seed, Plan: sum}
	f := &testbed{experiment: exp, plan: p, proxyCommand: o.ProxyCommand, registryCommand: o.RegistryCommand, hollowCommand: o.HollowCommand, log: o.Logger, logDir: filepath.Join(o.OutputDir, "logs")}
	if err := os.MkdirAll(f.logDir, 0o755); err != nil {
		return out, fmt.Errorf("logs: %w", err)
	}
	if f.block, err = claimBlock(); err != nil {
		return out, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	defer f.block.release()
	removeLeftovers()
	// Short: a Unix socket's path in it has to fit into 108 bytes.
	if f.workDir, err = os.MkdirTemp("", fmt.Sprintf("%s%d-", workDirPrefix, os.Getpid())); err != nil {
		return out, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	defer os.RemoveAll(f.workDir)
	f.starter = process.NewStarter()
	defer f.starter.Close()
	defer f.close()
	if err := f.build(); err != nil {
		return out, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan struct{}, 3)
	if err := f.startService(ctx); err != nil {
		return out, err
	}
	go func() { f.runList(inner); served <- struct{}{} }()
	go func() { f.front.Run(inner); served <- struct{}{} }()
	go func() { f.watchDials(inner); served <- struct{}{} }()
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	if err := f.startHollow(ctx, fail); err != nil {
		return out, err
	}
	if err := f.startProxies(ctx); err != nil {
		return out, err
	}
	stall := make(chan time.Duration, 1)
	canary, rest := context.WithCancel(inner)
	go func() { stall <- watchStalls(canary) }()
	start := time.Now()
	if o.Progress != nil {
		go f.reportProgress(canary, start, o.Progress)
	}
	phases := f.startMeter(canary, start)
	events := f.playLoad(ctx, start)
	rest()
	in := result.Input{Experiment: exp, Plan: p, Start: start, Record: f.ref.Close(), Events: events, Lateness: f.client.Late(),
		Stall: <-stall}
	in.Control = f.controlReport(phases())
	in.List, err = f.listReport(&in.Record)
	f.recordError(err)
	in.Gossip, err = f.gossipReport()
	f.recordError(err)
	var failed *hollow.FailedError
	if errors.As(context.Cause(ctx), &failed) {
		return out, failed
	}
	for _, proxy := range f.proxyOrder {
		for _, proc := range proxy.processes() {
			u := proc.Usage()
			in.Memory, in.CPU = max(in.Memory, u.Memory), in.CPU+u.CPU
		}
	}
	out.Partial = ctx.Err() != nil
	out.Fill(in)
	out.LabMB = float64(process.PeakMemory(os.Getpid())) / (1 << 20)
	out.Void = voidReason(exp, out.Lateness, in.Control.LongestStall(), f.labError())
	stop()
	for range cap(served) {
		<-served
	}
	return out, nil
}

// removeLeftovers removes the directories of runs that were killed: their processes have ended with them.
func removeLeftovers() {
	dirs, _ := filepath.Glob(filepath.Join(os.TempDir(), workDirPrefix+"*"))
	for _, dir := range dirs {
		id, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(dir), workDirPrefix), "-")
		if pid, err := strconv.Atoi(id); err == nil && !process.Alive(pid) {
			os.RemoveAll(dir)
		}
	}
}

// voids tells why a play counts for nothing: the lab was late, or could not do what the file asks.
func voidReason(exp *experiment.Experiment, late result.Lateness, hollowStall float64, failed error) string {
	switch {
	case failed != nil:
		return fmt.Sprintf("the lab failed: %v", failed)
	case late.P99 > exp.Lab.LateMs:
		return fmt.Sprintf("the lab was late: 99 %% of arrivals within %.1f ms, wanted %.1f", late.P99, exp.Lab.LateMs)
	case hollowStall > exp.Lab.StallMs:
		return fmt.Sprintf("a hollow process stood still for %.0f ms, wanted at most %.0f", hollowStall, exp.Lab.StallMs)
	case late.Stall > exp.Lab.StallMs:
		return fmt.Sprintf("the lab stood still for %.0f ms, wanted at most %.0f", late.Stall, exp.Lab.StallMs)
	}
	return ""
}

// startProxies starts all proxies, a jittered moment apart, and waits until the front admits each.
func (bed *testbed) startProxies(ctx context.Context) error {
	r := bed.plan.Source("starts")
	for _, proxy := range bed.proxyOrder {
		if !sleep.For(ctx, time.Duration(r.Float64()*float64(experiment.Seconds(bed.experiment.Lab.StartGap)))) {
			return ctx.Err()
		}
		proxy.mu.Lock()
		err := bed.start(proxy, false)
		proxy.mu.Unlock()
		if err != nil {
			return fmt.Errorf("%w: %w", ErrEnvironment, err)
		}
	}
	patience := time.NewTimer(experiment.Seconds(bed.experiment.Lab.ReadyWait))
	defer patience.Stop()
	for len(bed.front.Missing()) > 0 {
		for _, proxy := range bed.proxyOrder {
			if ended(proxy.process) {
				return fmt.Errorf("%w: proxy %s ended before it served: %v; its log is %s", ErrEnvironment, proxy.node.Name,
					proxy.process.Err(), filepath.Join(bed.logDir, proxy.node.Name+".log"))
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-patience.C:
			return fmt.Errorf("%w: not healthy after %v s (lab.ready_wait): %s", ErrEnvironment, bed.experiment.Lab.ReadyWait,
				strings.Join(bed.front.Missing(), ", "))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// play plays load and faults to their ends.
func (bed *testbed) playLoad(ctx context.Context, start time.Time) []result.Event {
	faults, stop := context.WithCancel(ctx)
	defer stop()
	events := make(chan []result.Event, 1)
	go func() { events <- (&timeline{testbed: bed, start: start}).run(faults) }()
	bed.client.Run(ctx, start)
	stop() // what holds beyond the last answer is of no use
	return <-events
}

// watchStalls tells the longest time by which a wake-up came late.
func watchStalls(ctx context.Context) (most time.Duration) {
	for {
		at := time.Now()
		if !sleep.For(ctx, stallCheckInterval) {
			return most
		}
		most = max(most, time.Since(at)-stallCheckInterval)
	}
}

func (bed *testbed) reportProgress(ctx context.Context, start time.Time, tell func(at, of time.Duration, p Progress)) {
	of := experiment.Seconds(bed.experiment.Seconds)
	for sleep.For(ctx, progressInterval) {
		late := bed.client.Late()
		p := Progress{Arrived: len(late)}
		if len(late) > 0 {
			p.Lateness = late[len(late)-1]
		}
		tell(min(time.Since(start), of), of, p)
	}
}

// MachineLoad is the machine's load now.
func MachineLoad() (load [3]float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return load
	}
	_, _ = fmt.Sscan(string(text), &load[0], &load[1], &load[2])
	return load
}

// Cores is how many the lab and the proxies share.
func Cores() int { return runtime.NumCPU() }
