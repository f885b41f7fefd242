package run

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"fernlanding/internal/lab/catalog"
	"fernlanding/internal/lab/experiment"
	"fernlanding/internal/lab/link"
	"fernlanding/internal/lab/nodo"
	"fernlanding/internal/lab/plan"
	"fernlanding/internal/lab/process"
	"fernlanding/internal/lab/result"
	"fernlanding/internal/lab/service"
	"fernlanding/internal/lab/wait"
)

// timeline carries a plan's faults out, each at its time and for its time, however others stand. It returns when all
// have ended, or the context has; then what holds ends at once.
type timeline struct {
	*fleet
	start time.Time
	all   sync.WaitGroup
}

func (t *timeline) run(ctx context.Context) []result.Event {
	events := make([]result.Event, len(t.plan.Strikes))
	for i, s := range t.plan.Strikes {
		t.all.Go(func() {
			events[i] = result.Event{N: s.N, Kind: s.Fault.Kind, From: s.At.Seconds(), To: -1}
			if !t.until(ctx, s.At) {
				return
			}
			t.log.Info("fault begins", "n", s.N, "kind", s.Fault.Kind, "targets", targets(s))
			events[i].From, events[i].Target = time.Since(t.start).Seconds(), targets(s)
			t.note(t.strike(ctx, s))
			events[i].To = time.Since(t.start).Seconds()
			t.log.Info("fault has ended", "n", s.N, "kind", s.Fault.Kind)
		})
	}
	t.all.Wait()
	return slices.DeleteFunc(events, func(e result.Event) bool { return e.To < 0 })
}

func targets(s plan.Strike) (names []string) {
	for _, turn := range s.Turns {
		names = append(names, turn.Target)
	}
	if s.Fault.Zone != "" && len(names) == 0 {
		names = []string{s.Fault.Zone}
	}
	return names
}

// until waits for a moment of the load.
func (t *timeline) until(ctx context.Context, at time.Duration) bool {
	return wait.For(ctx, time.Until(t.start.Add(at)))
}

// hold keeps a fault up for its time: to the end of the load if it names none.
func (t *timeline) hold(ctx context.Context, s plan.Strike, begun time.Duration) {
	if s.For <= 0 {
		t.until(ctx, experiment.Seconds(t.exp.Seconds))
		return
	}
	t.until(ctx, begun+s.For)
}

// strike carries one fault out from its beginning to its end.
func (t *timeline) strike(ctx context.Context, s plan.Strike) error {
	kind := experiment.Kinds[s.Fault.Kind]
	switch {
	case kind.Proxies:
		return t.proxies(ctx, s)
	case kind.Nodos:
		return t.each(ctx, s, func(turn plan.Turn) error { return t.nodo(ctx, s, turn) })
	case kind.Links:
		return t.links(ctx, s)
	case kind.Members:
		return t.listService(ctx, s)
	case s.Fault.Kind == "zone_loss":
		return t.loseZone(ctx, s)
	case s.Fault.Kind == "zone_cut":
		return t.over(ctx, s, between(s.Fault.Zone), link.Silent)
	}
	return t.lists(ctx, s)
}

// each carries a fault out on each target at its turn; the turns do not wait for each other.
func (t *timeline) each(ctx context.Context, s plan.Strike, do func(plan.Turn) error) error {
	errs := make([]error, len(s.Turns))
	var all sync.WaitGroup
	for i, turn := range s.Turns {
		all.Go(func() {
			if t.until(ctx, turn.At) {
				errs[i] = do(turn)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (t *timeline) proxies(ctx context.Context, s plan.Strike) error {
	f := s.Fault
	switch f.Kind {
	case "kill":
		return t.killWave(ctx, s)
	case "restart":
		return t.each(ctx, s, func(turn plan.Turn) error { return t.restart(ctx, t.members[turn.Target], s.For, f.Keep) })
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
			excused := t.ref.Excuse(turn.Target, time.Now())
			defer func() { excused(time.Now()) }()
			if err := t.stopped(m, 1); err != nil {
				return err
			}
			t.hold(ctx, s, turn.At)
			return t.stopped(m, -1)
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

func (t *timeline) nodo(ctx context.Context, s plan.Strike, turn plan.Turn) error {
	srv, f := t.server(turn.Target), s.Fault
	hamper := func(h nodo.Hamper) error {
		end := srv.Hamper(h)
		t.hold(ctx, s, turn.At)
		end()
		return nil
	}
	switch f.Kind {
	case "nodo_kill":
		if err := t.down(srv); err != nil || s.For <= 0 || !t.until(ctx, turn.At+s.For) {
			return err
		}
		return t.up(srv)
	case "nodo_silent":
		end, err := t.net.Apply(to(turn.Target), link.Silent)
		if err != nil {
			return err
		}
		t.hold(ctx, s, turn.At)
		t.net.Reset(to(turn.Target))
		return end()
	case "nodo_hang":
		return hamper(nodo.Hamper{Hang: true})
	case "nodo_slow":
		return hamper(nodo.Hamper{Slow: f.Factor})
	case "nodo_errors":
		return hamper(nodo.Hamper{Errors: f.Part})
	case "nodo_garble":
		return hamper(nodo.Hamper{Garble: f.Part})
	case "nodo_drain", "nodo_replace":
		return t.drain(ctx, s, turn, srv)
	}
	return fmt.Errorf("fault %d: no nodos' fault %q", s.N, f.Kind)
}

// drain has a nodo drain, end, and come back cold; or another, cold, take its place at once.
func (t *timeline) drain(ctx context.Context, s plan.Strike, turn plan.Turn, srv *server) error {
	if s.Fault.Kind == "nodo_replace" {
		next := srv.node
		next.Name += "-r"
		t.mu.Lock()
		n := len(t.servers)
		t.mu.Unlock()
		fresh, err := t.addServer(next, n, time.Now(), true)
		if err != nil {
			return err
		}
		t.tell(fresh, catalog.Serving)
	}
	srv.Drain(true)
	t.tell(srv, catalog.Draining)
	wait.For(ctx, drainTime)
	if err := t.down(srv); err != nil || s.Fault.Kind == "nodo_replace" || s.For <= 0 || !t.until(ctx, turn.At+s.For) {
		return err
	}
	return t.up(srv)
}

// between matches the links that lead out of a zone or into it.
func between(zone string) func(link.Ends) bool {
	return func(e link.Ends) bool {
		return e.FromZone != e.ToZone && e.FromZone != "" && e.ToZone != "" && (e.FromZone == zone || e.ToZone == zone)
	}
}

// over has an effect on links for a fault's time. Where it keeps clients from a proxy, that proxy is excused.
func (t *timeline) over(ctx context.Context, s plan.Strike, match func(link.Ends) bool, e link.Effect) error {
	begun := time.Now()
	var excused []func(time.Time)
	for _, m := range t.order {
		for _, z := range t.exp.ZoneNames() {
			if match(link.Ends{Kind: "client", FromZone: z, To: m.node.Name, ToZone: m.node.Zone}) {
				excused = append(excused, t.ref.Excuse(m.node.Name, begun))
			}
		}
	}
	end, err := t.net.Apply(match, e)
	if err == nil {
		t.hold(ctx, s, s.At)
		err = end()
	}
	for _, end := range excused {
		end(time.Now())
	}
	return err
}

// matching is the links that a fault of links is aimed at.
func matching(f experiment.Fault, shared bool) func(link.Ends) bool {
	one := func(names []string, name string) bool { return len(names) == 0 || slices.Contains(names, name) }
	return func(e link.Ends) bool {
		if f.Link != "" && e.Kind != f.Link || f.FromZone != "" && e.FromZone != f.FromZone ||
			f.ToZone != "" && e.ToZone != f.ToZone {
			return false
		}
		if f.Zone != "" && e.FromZone != f.Zone && e.ToZone != f.Zone {
			return false
		}
		switch e.Kind {
		case "client":
			return len(f.Nodos) == 0 && one(f.Proxies, e.To)
		case "member":
			return false // member_cut has these
		case "lease":
			return len(f.Nodos) == 0 && len(f.Proxies) == 0
		case "nodo":
			return one(f.Nodos, e.To) && (shared && len(f.Proxies) == 0 || one(f.Proxies, e.From))
		}
		return len(f.Nodos) == 0 && one(f.Proxies, e.From)
	}
}

// cutEffect is a cut in a direction, as the dialling side sees it.
func cutEffect(direction string) link.Effect {
	switch direction {
	case "out": // the first packet of a connection is lost too
		return link.Effect{CutOut: true, NoConnect: true}
	case "back": // connections come up: what answers is lost behind them
		return link.Effect{CutBack: true}
	}
	return link.Silent
}

func (t *timeline) links(ctx context.Context, s plan.Strike) error {
	f := s.Fault
	match := matching(f, t.exp.SharedLinks())
	switch f.Kind {
	case "cut":
		return t.over(ctx, s, match, cutEffect(f.Direction))
	case "delay":
		return t.over(ctx, s, match, link.Effect{Delay: experiment.Millis(f.Ms)})
	case "loss":
		return t.over(ctx, s, match, link.Effect{Loss: f.Part})
	case "reset":
		if s.For <= 0 {
			for _, m := range t.order {
				now := time.Now()
				t.ref.Excuse(m.node.Name, now)(now)
			}
			t.net.Reset(match)
			return nil
		}
		t.net.Reset(match)
		return t.over(ctx, s, match, link.Effect{ResetNew: true})
	}
	return fmt.Errorf("fault %d: no links' fault %q", s.N, f.Kind)
}

// loseZone has a zone's machines vanish, and come back cold.
func (t *timeline) loseZone(ctx context.Context, s plan.Strike) error {
	zone := s.Fault.Zone
	into := func(e link.Ends) bool { return e.Kind == "nodo" && e.ToZone == zone }
	silent, err := t.net.Apply(into, link.Silent)
	if err != nil {
		return err
	}
	var ms []*member
	for _, m := range t.order {
		if m.node.Zone == zone {
			ms = append(ms, m)
		}
	}
	errs := []error{t.kill(ms)}
	servers := t.serversOf(zone)
	for _, srv := range servers {
		t.vanish(srv)
	}
	back := s.For > 0 && t.until(ctx, s.At+s.For)
	t.net.Reset(into)
	if back {
		for _, srv := range servers {
			errs = append(errs, t.up(srv))
		}
	}
	errs = append(errs, silent())
	if back {
		t.startAll(ctx, ms, false)
	}
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

// listService carries out the faults of the list service's members.
func (t *timeline) listService(ctx context.Context, s plan.Strike) error {
	ms := t.service.Targets(s.Fault.Members)
	t.log.Info("members struck", "n", s.N, "members", service.Names(ms))
	back := func() bool { return s.For > 0 && t.until(ctx, s.At+s.For) }
	switch s.Fault.Kind {
	case "member_kill":
		return t.service.Kill(ms, back)
	case "member_stop":
		return t.service.Stop(ms, func() { t.hold(ctx, s, s.At) })
	case "member_damage":
		return t.service.Damage(ms, back)
	case "member_cut":
		return t.cutMembers(ctx, s, service.Names(ms))
	}
	return fmt.Errorf("fault %d: no members' fault %q", s.N, s.Fault.Kind)
}

// cutMembers cuts members off from the others: both ways, only what they send (out), or only what they are sent (back).
// Either side dials, so that what one sends is on some links what is dialled with and on others what is answered.
func (t *timeline) cutMembers(ctx context.Context, s plan.Strike, names []string) error {
	other := map[string]string{"out": "back", "back": "out"}
	var ends []func() error
	for _, dials := range []bool{true, false} {
		direction := s.Fault.Direction
		if !dials {
			direction = other[direction]
		}
		end, err := t.net.Apply(func(e link.Ends) bool {
			from, to := slices.Contains(names, e.From), slices.Contains(names, e.To)
			return e.Kind == "member" && from != to && from == dials
		}, cutEffect(direction))
		if err != nil {
			return err
		}
		ends = append(ends, end)
	}
	t.hold(ctx, s, s.At)
	return errors.Join(ends[0](), ends[1]())
}

func (t *timeline) lists(ctx context.Context, s plan.Strike) error {
	links := func(e link.Ends) bool { return e.Kind == "list" }
	down := func() error {
		end, err := t.net.Apply(links, link.Effect{Refuse: true})
		if err != nil {
			return err
		}
		up := t.list.Down()
		t.net.Reset(links)
		if s.Fault.Kind == "list_power_loss" {
			t.log.Info("the list lost its power", "versions_lost", t.list.PowerLoss())
		}
		t.hold(ctx, s, s.At)
		up()
		return end()
	}
	during := func(end func()) error {
		t.hold(ctx, s, s.At)
		end()
		return nil
	}
	switch s.Fault.Kind {
	case "list_down", "list_power_loss":
		return down()
	case "list_slow":
		return during(t.list.Slow(s.Fault.Factor))
	case "list_stale":
		return during(t.list.Stale())
	case "list_disk_full":
		return during(t.list.Full())
	case "list_rollback":
		t.list.Rollback(s.Fault.Versions)
		return nil
	}
	return fmt.Errorf("fault %d: no list's fault %q", s.N, s.Fault.Kind)
}
