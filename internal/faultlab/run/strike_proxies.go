package run

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/process"
)

func (t *timeline) proxies(ctx context.Context, s plan.Strike) error {
	f := s.Fault
	switch f.Kind {
	case "kill":
		return t.killWave(ctx, s)
	case "restart":
		return t.each(ctx, s, func(turn plan.Turn) error {
			signals := drawSignals(f.Versions, t.plan.Source("signals "+turn.Target))
			return t.restart(ctx, t.members[turn.Target], signals, s.For, f.Keep)
		})
	case "upgrade":
		return t.each(ctx, s, func(turn plan.Turn) error { return t.upgrade(ctx, t.members[turn.Target]) })
	case "power_loss":
		return t.each(ctx, s, func(turn plan.Turn) error {
			m := t.members[turn.Target]
			if err := t.powerLoss(m); err != nil || !t.until(ctx, turn.At+s.For) {
				return err
			}
			return t.again(ctx, m, true)
		})
	case "stop":
		return t.each(ctx, s, func(turn plan.Turn) error {
			m := t.members[turn.Target]
			excused := t.ref.BeginExcusedSpan(turn.Target, time.Now())
			away := t.ref.BeginListOutage(turn.Target, time.Now())
			defer func() { excused(time.Now()); away(time.Now()) }()
			if err := t.stopped(m, 1); err != nil {
				return err
			}
			t.hold(ctx, s, turn.At)
			return t.stopped(m, -1)
		})
	case "reload":
		return t.each(ctx, s, func(turn plan.Turn) error {
			return t.reload(ctx, t.members[turn.Target], s.Fault.Versions, t.plan.Source("reload "+turn.Target))
		})
	case "hold_up":
		return t.each(ctx, s, func(turn plan.Turn) error {
			return t.holdUp(ctx, s, t.members[turn.Target], turn.At, t.plan.Source("hold up "+turn.Target))
		})
	case "crowd":
		return t.each(ctx, s, func(turn plan.Turn) error { return t.crowd(ctx, s, t.members[turn.Target], turn.At) })
	case "rude":
		return t.each(ctx, s, func(turn plan.Turn) error {
			return t.visits(ctx, s, t.members[turn.Target], turn.At, t.plan.Source("rude "+turn.Target))
		})
	case "disk_full":
		return t.each(ctx, s, func(turn plan.Turn) error {
			m := t.members[turn.Target]
			if err := t.diskFull(m, 1); err != nil {
				return err
			}
			t.hold(ctx, s, turn.At)
			return t.diskFull(m, -1)
		})
	}
	return fmt.Errorf("fault %d: no proxies' fault %q", s.N, f.Kind)
}

// stopped counts the faults that stop a proxy; with the last its processes go on.
func (f *fleet) stopped(m *member, n int) error {
	return m.held(&m.stops, n, func(p *process.Process, first bool) error {
		if first {
			return p.Signal(syscall.SIGSTOP)
		}
		return p.Signal(syscall.SIGCONT)
	})
}

// diskFull counts the faults that fill a proxy's disk.
func (f *fleet) diskFull(m *member, n int) error {
	return m.held(&m.fulls, n, func(p *process.Process, first bool) error { return p.DiskFull(first) })
}

// held adds n to a count of faults that hold on a proxy, and does to its processes what the first or the last asks.
func (m *member) held(count *int, n int, do func(p *process.Process, first bool) error) error {
	m.all.Lock()
	defer m.all.Unlock()
	before := *count
	*count += n
	if (before == 0) == (*count == 0) {
		return nil
	}
	var errs []error
	for _, p := range m.run {
		if !over(p) {
			errs = append(errs, do(p, before == 0))
		}
	}
	return errors.Join(errs...)
}

// killWave kills all targets of one moment in one instant, and starts each again after the fault's time.
func (t *timeline) killWave(ctx context.Context, s plan.Strike) error {
	waves := map[time.Duration][]*member{}
	for _, turn := range s.Turns {
		waves[turn.At] = append(waves[turn.At], t.members[turn.Target])
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var errs []error
	for at, ms := range waves {
		all.Go(func() {
			if !t.until(ctx, at) {
				return
			}
			err := t.kill(ms)
			if s.For > 0 && t.until(ctx, at+s.For) {
				t.startAll(ctx, ms, s.Fault.Keep)
			}
			mu.Lock()
			defer mu.Unlock()
			errs = append(errs, err)
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// startAll starts killed proxies again, side by side.
func (t *timeline) startAll(ctx context.Context, ms []*member, keep bool) {
	var starts sync.WaitGroup
	for _, m := range ms {
		starts.Go(func() { t.note(t.again(ctx, m, keep)) })
	}
	starts.Wait()
}
