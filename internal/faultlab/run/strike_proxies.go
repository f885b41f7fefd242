package run

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
)

// injectProxyFault injects a fault into proxies, each at its time.
func (t *timeline) injectProxyFault(ctx context.Context, strike plan.Strike) error {
	if strike.Fault.Kind == "kill" {
		return t.killWave(ctx, strike)
	}
	return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
		return t.injectIntoProxy(ctx, strike, turn, t.proxies[turn.Target])
	})
}

func (t *timeline) injectIntoProxy(ctx context.Context, strike plan.Strike, turn plan.Turn, proxy *proxyUnderTest) error {
	fault := strike.Fault
	switch fault.Kind {
	case "restart":
		signals := drawSignals(fault.Versions, t.plan.Source("signals "+turn.Target))
		return t.restart(ctx, proxy, signals, strike.For, fault.KeepDirectory)
	case "upgrade":
		return t.upgrade(ctx, proxy)
	case "power_loss":
		if err := t.powerLoss(proxy); err != nil || !t.waitUntil(ctx, turn.At+strike.For) {
			return err
		}
		return t.startAgain(ctx, proxy, true)
	case "stop":
		excuseEnds := t.ref.BeginExcusedSpan(turn.Target, time.Now())
		outageEnds := t.ref.BeginListOutage(turn.Target, time.Now())
		defer func() { excuseEnds(time.Now()); outageEnds(time.Now()) }()
		return t.holdCounted(ctx, strike, turn, proxy, t.addStop)
	case "reload":
		return t.reload(ctx, proxy, fault.Versions, t.plan.Source("reload "+turn.Target))
	case "hold_up":
		return t.pauseRepeatedly(ctx, strike, proxy, turn.At, t.plan.Source("hold up "+turn.Target))
	case "crowd":
		return t.floodConnections(ctx, strike, proxy, turn.At)
	case "rude":
		return t.runMisbehavingClients(ctx, strike, proxy, turn.At, t.plan.Source("rude "+turn.Target))
	case "disk_full":
		return t.holdCounted(ctx, strike, turn, proxy, t.addDiskFull)
	}
	return unknownFault(strike, "proxies")
}

// holdCounted adds a fault to a proxy's number of active ones for the fault's duration.
func (t *timeline) holdCounted(ctx context.Context, strike plan.Strike, turn plan.Turn, proxy *proxyUnderTest,
	count func(proxy *proxyUnderTest, n int) error) error {
	if err := count(proxy, 1); err != nil {
		return err
	}
	t.holdFault(ctx, strike, turn.At)
	return count(proxy, -1)
}

// addStop changes the number of faults that stop a proxy; with the last its processes continue.
func (bed *testbed) addStop(proxy *proxyUnderTest, n int) error {
	return proxy.countFault(&proxy.stopFaults, n, func(p *process.Process, first bool) error {
		if first {
			return p.Signal(syscall.SIGSTOP)
		}
		return p.Signal(syscall.SIGCONT)
	})
}

// addDiskFull changes the number of faults that fill a proxy's disk.
func (bed *testbed) addDiskFull(proxy *proxyUnderTest, n int) error {
	return proxy.countFault(&proxy.diskFullFaults, n, func(p *process.Process, first bool) error { return p.SetDiskFull(first) })
}

// countFault adds n to a number of active faults, and calls apply for each process when the first starts or the last ends.
func (proxy *proxyUnderTest) countFault(count *int, n int, apply func(p *process.Process, first bool) error) error {
	proxy.processesMu.Lock()
	defer proxy.processesMu.Unlock()
	before := *count
	*count += n
	if (before == 0) == (*count == 0) {
		return nil
	}
	var errs []error
	for _, p := range proxy.allProcesses {
		if !ended(p) {
			errs = append(errs, apply(p, before == 0))
		}
	}
	return errors.Join(errs...)
}

// killWave kills the targets of each time at once, and starts them again after the fault's duration.
func (t *timeline) killWave(ctx context.Context, strike plan.Strike) error {
	waves := map[time.Duration][]*proxyUnderTest{}
	for _, turn := range strike.Turns {
		waves[turn.At] = append(waves[turn.At], t.proxies[turn.Target])
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for at, proxies := range waves {
		all.Go(func() {
			if !t.waitUntil(ctx, at) {
				return
			}
			err := t.kill(proxies)
			if strike.For > 0 && t.waitUntil(ctx, at+strike.For) {
				t.startAll(ctx, proxies, strike.Fault.KeepDirectory)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// startAll starts killed proxies again, concurrently.
func (t *timeline) startAll(ctx context.Context, proxies []*proxyUnderTest, keep bool) {
	var starts sync.WaitGroup
	for _, proxy := range proxies {
		starts.Go(func() { t.recordError(t.startAgain(ctx, proxy, keep)) })
	}
	starts.Wait()
}
