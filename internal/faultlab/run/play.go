// Package run plays an experiment: it builds the testbed, starts the proxies as real processes, sends the
// load, injects the faults and hands the referee's record to package result. It never computes a metric or
// checks a rule itself.
//
// It imports load, stubserver, catalog, link, process and referee. None of these imports run, and among each
// other they import only link and referee. Each piece of state has one owner: load owns the arrivals, the
// timeline the faults, the catalog its list, a link's connection its two directions, and the starter all
// processes.
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

// Options are the settings of a play that are not part of its experiment.
type Options struct {
	ProxyCommand    []string // of a proxy
	HollowCommand   []string // of a hollow process, without its file; required if the experiment has any
	RegistryCommand []string // of a member of the list service; required if the experiment has any
	OutputDir       string   // the processes' logs go to its subdirectory logs
	Logger          *slog.Logger
	// Progress is called every second with the time since the load started, the load's duration, and the
	// progress so far. It may be nil.
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

// ErrEnvironment is wrapped by the errors of a play that this machine could not run: the machine is too
// small, has no free addresses, or a process did not start.
var ErrEnvironment = errors.New("cannot run the experiment on this machine")

// Play plays an experiment once. When the context ends it stops, and the play is partial. Errors of the
// machine wrap ErrEnvironment. If a hollow process crashed, the error is a *hollow.FailedError.
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
	background, stop := context.WithCancel(context.Background())
	defer stop()
	if err := bed.startService(ctx); err != nil {
		return out, err
	}
	waitStopped := bed.serve(background)
	ctx, fail := context.WithCancelCause(ctx)
	defer fail(nil)
	if err := bed.startHollow(ctx, fail); err != nil {
		return out, err
	}
	if err := bed.startProxies(ctx); err != nil {
		return out, err
	}
	input := bed.observe(ctx, background, options)
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
	waitStopped()
	return out, nil
}

// prepare claims addresses and directories and builds the testbed. The returned function, which is never nil,
// ends all processes and releases the addresses and directories.
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
	// The path is short since that of a Unix socket in it must fit into 108 bytes.
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

// serve runs the list, the front and the watch for unanswered dials until the context ends. The returned
// function waits until all have returned.
func (bed *testbed) serve(ctx context.Context) (wait func()) {
	var running sync.WaitGroup
	running.Go(func() { bed.runList(ctx) })
	running.Go(func() { bed.front.Run(ctx) })
	running.Go(func() { bed.watchDials(ctx) })
	return running.Wait
}

// observe plays the load and the faults, and returns what was observed. The end of ctx ends load and faults
// early. The meter and the check for stalls run until the load has ended, even if ctx ends before.
func (bed *testbed) observe(ctx, background context.Context, options Options) result.Input {
	stall := make(chan time.Duration, 1)
	meterCtx, stop := context.WithCancel(background)
	defer stop()
	go func() { stall <- watchStalls(meterCtx) }()
	start := time.Now()
	if options.Progress != nil {
		go bed.reportProgress(meterCtx, start, options.Progress)
	}
	phases := bed.startMeter(meterCtx, start)
	events := bed.playLoad(ctx, start)
	stop()
	input := result.Input{Experiment: bed.experiment, Plan: bed.plan, Start: start, Record: bed.ref.Close(),
		Events: events, Lateness: bed.client.Lateness(), Stall: <-stall}
	input.Control = bed.controlReport(phases())
	var err error
	input.List, err = bed.listReport(&input.Record)
	bed.recordError(err)
	input.Gossip, err = bed.gossipReport()
	bed.recordError(err)
	return input
}

// proxyUsage returns the highest peak memory of a proxy process, in bytes, and the CPU time of all of them.
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

// voidReason returns why a play does not count: the lab was late, stalled or failed. It is empty if the play
// counts.
func voidReason(exp *experiment.Experiment, late result.Lateness, hollowStall float64, failed error) string {
	switch {
	case failed != nil:
		return fmt.Sprintf("the lab failed: %v", failed)
	case late.P99 > exp.Lab.LateMs:
		return fmt.Sprintf("the lab was late: 99 %% of arrivals within %.1f ms, wanted at most %.1f",
			late.P99, exp.Lab.LateMs)
	case hollowStall > exp.Lab.StallMs:
		return fmt.Sprintf("a hollow process stalled for %.0f ms, wanted at most %.0f", hollowStall,
			exp.Lab.StallMs)
	case late.Stall > exp.Lab.StallMs:
		return fmt.Sprintf("the lab stalled for %.0f ms, wanted at most %.0f", late.Stall, exp.Lab.StallMs)
	}
	return ""
}

// startProxies starts all proxies with random gaps, and waits until the front has admitted each as healthy.
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
				return fmt.Errorf("%w: proxy %s exited before it was healthy: %v; its log is %s",
					ErrEnvironment, proxy.node.Name, proxy.process.Err(),
					filepath.Join(bed.logDir, proxy.node.Name+".log"))
			}
		}
		select {
		case <-time.After(readyPollInterval):
		case <-timeout.C:
			return fmt.Errorf("%w: proxies not healthy after %v s (lab.ready_wait): %s", ErrEnvironment,
				bed.experiment.Lab.ReadyWait, strings.Join(bed.front.NotAdmitted(), ", "))
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// playLoad runs the load and the faults until both have ended, and returns the injected faults.
func (bed *testbed) playLoad(ctx context.Context, start time.Time) []result.Event {
	faults, stop := context.WithCancel(ctx)
	defer stop()
	events := make(chan []result.Event, 1)
	go func() { events <- (&timeline{testbed: bed, start: start}).run(faults) }()
	bed.client.Run(ctx, start)
	stop() // faults end with the last response
	return <-events
}

// watchStalls returns, when the context ends, the longest delay of a timer, which shows how long the lab
// stalled.
func watchStalls(ctx context.Context) (longest time.Duration) {
	for {
		begin := time.Now()
		if !sleep.For(ctx, stallCheckInterval) {
			return longest
		}
		longest = max(longest, time.Since(begin)-stallCheckInterval)
	}
}

// reportProgress calls report at each progress interval until the context ends.
func (bed *testbed) reportProgress(ctx context.Context, start time.Time,
	report func(at, duration time.Duration, progress Progress)) {
	duration := experiment.Seconds(bed.experiment.Seconds)
	for sleep.For(ctx, progressInterval) {
		lateness := bed.client.Lateness()
		progress := Progress{Arrived: len(lateness)}
		if len(lateness) > 0 {
			progress.Lateness = lateness[len(lateness)-1]
		}
		report(min(time.Since(start), duration), duration, progress)
	}
}

// MachineLoad returns the machine's load average over 1, 5 and 15 minutes, or zeros if it cannot be read.
func MachineLoad() (load [3]float64) {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return load
	}
	_, _ = fmt.Sscan(string(text), &load[0], &load[1], &load[2])
	return load
}

// Cores returns the number of cores that the lab and the proxies share.
func Cores() int { return runtime.NumCPU() }
