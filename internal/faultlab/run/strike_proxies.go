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

func (t *timeline) injectProxyFault(ctx context.Context, strike plan.Strike) error {
	fault := strike.Fault
	switch fault.Kind {
	case "kill":
		return t.killWave(ctx, strike)
	case "restart":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			signals := drawSignals(fault.Versions, t.plan.Source("signals "+turn.Target))
			return t.restart(ctx, t.proxies[turn.Target], signals, strike.For, fault.Keep)
		})
	case "upgrade":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error { return t.upgrade(ctx, t.proxies[turn.Target]) })
	case "power_loss":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			proxy := t.proxies[turn.Target]
			if err := t.powerLoss(proxy); err != nil || !t.waitUntil(ctx, turn.At+strike.For) {
				return err
			}
			return t.startAgain(ctx, proxy, true)
		})
	case "stop":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			proxy := t.proxies[turn.Target]
			excused := t.ref.BeginExcusedSpan(turn.Target, time.Now())
			away := t.ref.BeginListOutage(turn.Target, time.Now())
			defer func() { excused(time.Now()); away(time.Now()) }()
			if err := t.addStop(proxy, 1); err != nil {
				return err
			}
			t.holdFault(ctx, strike, turn.At)
			return t.addStop(proxy, -1)
		})
	case "reload":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			return t.reload(ctx, t.proxies[turn.Target], strike.Fault.Versions, t.plan.Source("reload "+turn.Target))
		})
	case "hold_up":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			return t.pauseRepeatedly(ctx, strike, t.proxies[turn.Target], turn.At, t.plan.Source("hold up "+turn.Target))
		})
	case "crowd":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error { return t.floodConnections(ctx, strike, t.proxies[turn.Target], turn.At) })
	case "rude":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			return t.runMisbehavingClients(ctx, strike, t.proxies[turn.Target], turn.At, t.plan.Source("rude "+turn.Target))
		})
	case "disk_full":
		return t.eachTarget(ctx, strike, func(turn plan.Turn) error {
			proxy := t.proxies[turn.Target]
			if err := t.addDiskFull(proxy, 1); err != nil {
				return err
			}
			t.holdFault(ctx, strike, turn.At)
			return t.addDiskFull(proxy, -1)
		})
	}
	return unknownFault(strike, "proxies")
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
	return proxy.countFault(&proxy.diskFullFaults, n, func(p *process.Process, first bool) error { return p.DiskFull(first) })
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
				t.startAll(ctx, proxies, strike.Fault.Keep)
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
