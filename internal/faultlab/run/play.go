// Package run plays an experiment: it builds the testbed, starts the proxies as real processes, sends the
// load, injects the faults and hands the referee's record to package result. It never computes a metric or
// checks a rule itself.
//
// It imports load, stubserver, catalog, link, process and referee; none of them imports run, and among each
// other they use only link and referee. Each piece of state has one owner: load the arrivals, the timeline
// the faults, the catalog its list, a link's connection its two directions, the starter all processes.
package run

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/hollow"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
	"merlinpick/internal/faultlab/result"
	"merlinpick/internal/faultlab/sleep"
)

// Options are the settings of a run beside its experiment.
type Options struct {
	ProxyCommand    []string // of a proxy
	HollowCommand   []string // of a hollow process, without its file; required if the experiment has any
	RegistryCommand []string // of a member of the list service; required if the experiment has any
	OutputDir       string   // directory of the processes' logs
	Logger          *slog.Logger
	// Progress is called every second with the time since the load started, its duration, and the arrivals;
	// may be nil.
	Progress func(at, of time.Duration, p Progress)
}

// Progress is the state of a play.
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

// ErrEnvironment is a run that failed for the machine's sake: too small, no free addresses, or a process that
// did not start.
var ErrEnvironment = errors.New("environment")

// Play plays an experiment once. When the context ends it stops, and the play is partial. Errors of the
// machine wrap ErrEnvironment; a hollow process that crashed is a *hollow.FailedError.
func Play(ctx context.Context, exp *experiment.Experiment, seed uint64, options Options) (result.Play, error) {
	if err := checkCapacity(exp, thisMachine()); err != nil {
		return result.Play{}, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	drawn := plan.Draw(exp, seed)
	digest, err := drawn.Digest()
	if err != nil {
		return result.Play{}, err
	}
	out := result.Play{Seed: seed, Plan: digest}
	bed := &testbed{experiment: exp, plan: drawn, proxyCommand: options.ProxyCommand, registryCommand: options.RegistryCommand,
		hollowCommand: options.HollowCommand, log: options.Logger, logDir: filepath.Join(options.OutputDir, "logs")}
	release, err := bed.prepare()
	defer release()
	if err != nil {
		return out, err
	}
	inner, stop := context.WithCancel(context.Background())
	defer stop()
	if err := bed.startService(ctx); err != nil {
		return out, err
	}
	stopped := bed.serve(inner)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	if err := bed.startHollow(ctx, fail); err != nil {
		return out, err
	}
	if err := bed.startProxies(ctx); err != nil {
		return out, err
	}
	input := bed.observe(ctx, inner, options)
	var failed *hollow.FailedError
	if errors.As(context.Cause(ctx), &failed) {
		return out, failed
	}
	input.Memory, input.CPU = bed.proxyUsage()
	out.Partial = ctx.Err() != nil
	out.Fill(input)
	out.LabMB = float64(process.PeakMemory(os.Getpid())) / (1 << 20)
	out.Void = voidReason(exp, out.Lateness, input.Control.LongestStall(), bed.labError())
	stop()
	stopped()
	return out, nil
}

// prepare claims addresses and directories and builds the testbed. The returned function, which is never nil,
// releases all of it and ends all processes.
func (bed *testbed) prepare() (release func(), err error) {
	var releases []func()
	release = func() {
		for _, undo := range slices.Backward(releases) {
			undo()
		}
	}
	if err := os.MkdirAll(bed.logDir, 0o755); err != nil {
		return release, fmt.Errorf("logs: %w", err)
	}
	if bed.block, err = claimBlock(); err != nil {
		return release, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	releases = append(releases, bed.block.release)
	removeLeftovers()
	// A short path: a Unix socket's path in it must fit into 108 bytes.
	if bed.workDir, err = os.MkdirTemp("", fmt.Sprintf("%s%d-", workDirPrefix, os.Getpid())); err != nil {
		return release, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	releases = append(releases, func() { os.RemoveAll(bed.workDir) })
	bed.starter = process.NewStarter()
	releases = append(releases, bed.starter.Close, bed.close)
	if err := bed.build(); err != nil {
		return release, fmt.Errorf("%w: %w", ErrEnvironment, err)
	}
	return release, nil
}

// serve runs the list, the front and the watch of dials until the context ends; the returned function waits
// for their ends.
func (bed *testbed) serve(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	running.Go(func() { bed.runList(ctx) })
	running.Go(func() { bed.front.Run(ctx) })
	running.Go(func() { bed.watchDials(ctx) })
	return running.Wait
}

// observe plays the load and the faults, and returns what was observed. The meter and the check for stalls
// end with the load; they run until then even if ctx, which ends load and faults early, ends before.
func (bed *testbed) observe(ctx, inner context.Context, options Options) result.Input {
	stall := make(chan time.Duration, 1)
	metering, stop := context.WithCancel(inner)
	defer stop()
	go func() { stall <- watchStalls(metering) }()
	start := time.Now()
	if options.Progress != nil {
		go bed.reportProgress(metering, start, options.Progress)
	}
	phases := bed.startMeter(metering, start)
	events := bed.playLoad(ctx, start)
	stop()
	input := result.Input{Experiment: bed.experiment, Plan: bed.plan, Start: start, Record: bed.ref.Close(), Events: events,
		Lateness: bed.client.Lateness(), Stall: <-stall}
	input.Control = bed.controlReport(phases())
	var err error
	input.List, err = bed.listReport(&input.Record)
	bed.recordError(err)
	input.Gossip, err = bed.gossipReport()
	bed.recordError(err)
	return input
}

// proxyUsage is the peak memory of any proxy process, in bytes, and the CPU time of all.
func (bed *testbed) proxyUsage() (memory int64, cpu time.Duration) {
	for _, proxy := range bed.proxyOrder {
		for _, proc := range proxy.processes() {
			usage := proc.Usage()
			memory, cpu = max(memory, usage.PeakMemory), cpu+usage.CPU
		}
	}
	return memory, cpu
}

// removeLeftovers removes the directories of runs that were killed.
func removeLeftovers() {
	dirs, _ := filepath.Glob(filepath.Join(os.TempDir(), workDirPrefix+"*"))
	for _, dir := range dirs {
		id, _, _ := strings.Cut(strings.TrimPrefix(filepath.Base(dir), workDirPrefix), "-")
		if pid, err := strconv.Atoi(id); err == nil && !process.Alive(pid) {
			os.RemoveAll(dir)
		}
	}
}

// voidReason is why a play does not count: the lab was late, paused or failed; empty if it counts.
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

// startProxies starts all proxies with random gaps and waits until the front finds each healthy.
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
	timeout := time.NewTimer(experiment.Seconds(bed.experiment.Lab.ReadyWait))
	defer timeout.Stop()
	for len(bed.front.NotAdmitted()) > 0 {
		for _, proxy := range bed.proxyOrder {
			if ended(proxy.process) {
				return fmt.Errorf("%w: proxy %s ended before it served: %v; its log is %s", ErrEnvironment, proxy.node.Name,
					proxy.process.Err(), filepath.Join(bed.logDir, proxy.node.Name+".log"))
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-timeout.C:
			return fmt.Errorf("%w: not healthy after %v s (lab.ready_wait): %s", ErrEnvironment, bed.experiment.Lab.ReadyWait,
				strings.Join(bed.front.NotAdmitted(), ", "))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// playLoad runs the load and the faults to their ends.
func (bed *testbed) playLoad(ctx context.Context, start time.Time) []result.Event {
	faults, stop := context.WithCancel(ctx)
	defer stop()
	events := make(chan []result.Event, 1)
	go func() { events <- (&timeline{testbed: bed, start: start}).run(faults) }()
	bed.client.Run(ctx, start)
	stop() // faults end with the last response
	return <-events
}

// watchStalls returns the longest delay of a wake-up.
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
		late := bed.client.Lateness()
		p := Progress{Arrived: len(late)}
		if len(late) > 0 {
			p.Lateness = late[len(late)-1]
		}
		tell(min(time.Since(start), of), of, p)
	}
}

// MachineLoad is the machine's load average over 1, 5 and 15 minutes.
func MachineLoad() (load [3]float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return load
	}
	_, _ = fmt.Sscan(string(text), &load[0], &load[1], &load[2])
	return load
}

// Cores is the number of cores that the lab and the proxies share.
func Cores() int { return runtime.NumCPU() }
