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

// injectProxyFault injects a fault into proxies, each at its planned time.
func (t *timeline) injectProxyFault(ctx context.Context, planned plan.PlannedFault) error {
	if planned.Fault.Kind == "kill" {
		return t.killWave(ctx, planned)
	}
	return t.eachTarget(ctx, planned, func(target plan.Target) error {
		return t.injectIntoProxy(ctx, planned, target, t.proxies[target.Name])
	})
}

// injectIntoProxy injects a fault other than a kill into one proxy.
func (t *timeline) injectIntoProxy(ctx context.Context, planned plan.PlannedFault, target plan.Target,
	proxy *proxyUnderTest) error {
	fault := planned.Fault
	switch fault.Kind {
	case "restart":
		signals := drawSignals(fault.Versions, t.plan.Source("signals "+target.Name))
		return t.restart(ctx, proxy, signals, planned.Duration, fault.KeepDirectory)
	case "upgrade":
		return t.upgrade(ctx, proxy)
	case "power_loss":
		if err := t.powerLoss(proxy); err != nil || !t.waitUntil(ctx, target.At+planned.Duration) {
			return err
		}
		return t.startAgain(ctx, proxy, true)
	case "stop":
		excuseEnds := t.ref.BeginExcusedSpan(target.Name, time.Now())
		outageEnds := t.ref.BeginListOutage(target.Name, time.Now())
		defer func() { excuseEnds(time.Now()); outageEnds(time.Now()) }()
		return t.runCountedFault(ctx, planned, target, proxy, t.addStopFaults)
	case "reload":
		return t.reload(ctx, proxy, fault.Versions, t.plan.Source("reload "+target.Name))
	case "hold_up":
		return t.pauseRepeatedly(ctx, planned, proxy, target.At, t.plan.Source("hold up "+target.Name))
	case "crowd":
		return t.floodConnections(ctx, planned, proxy, target.At)
	case "costly":
		return t.runCostlyClients(ctx, planned, proxy, target.At, t.plan.Source("costly "+target.Name))
	case "rude":
		return t.runMisbehavingClients(ctx, planned, proxy, target.At, t.plan.Source("rude "+target.Name))
	case "disk_full":
		return t.runCountedFault(ctx, planned, target, proxy, t.addDiskFullFaults)
	}
	return unknownFault(planned, "proxies")
}

// runCountedFault increments a proxy's number of active faults of a kind for the fault's duration.
func (t *timeline) runCountedFault(ctx context.Context, planned plan.PlannedFault, target plan.Target,
	proxy *proxyUnderTest, count func(proxy *proxyUnderTest, n int) error) error {
	if err := count(proxy, 1); err != nil {
		return err
	}
	t.waitForFaultEnd(ctx, planned, target.At)
	return count(proxy, -1)
}

// addStopFaults adds n to the number of faults that stop a proxy. When the last one ends, its processes
// continue.
func (bed *testbed) addStopFaults(proxy *proxyUnderTest, n int) error {
	return proxy.countFault(&proxy.stopFaults, n, func(p *process.Process, first bool) error {
		if first {
			return p.Signal(syscall.SIGSTOP)
		}
		return p.Signal(syscall.SIGCONT)
	})
}

// addDiskFullFaults adds n to the number of faults that fill a proxy's disk.
func (bed *testbed) addDiskFullFaults(proxy *proxyUnderTest, n int) error {
	return proxy.countFault(&proxy.diskFullFaults, n, func(p *process.Process, first bool) error { return p.SetDiskFull(first) })
}

// countFault adds n to a number of active faults. When the first one starts or the last one ends, it calls
// apply for each process.
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

// killWave kills the targets with the same planned time together, and starts them again after the fault's
// duration.
func (t *timeline) killWave(ctx context.Context, planned plan.PlannedFault) error {
	waves := map[time.Duration][]*proxyUnderTest{}
	for _, target := range planned.Targets {
		waves[target.At] = append(waves[target.At], t.proxies[target.Name])
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
			if planned.Duration > 0 && t.waitUntil(ctx, at+planned.Duration) {
				t.startAll(ctx, proxies, planned.Fault.KeepDirectory)
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
