package proxy

import (
	"container/heap"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/override"
	"merlinpick/internal/settings"
)

const (
	sweepEvery = time.Second            // idle connections to backends are looked over
	lookEvery  = 200 * time.Millisecond // the figures on servers are taken again
)

// loop owns the Balancer and the table of requests. All that happens comes to it through channels and is
// told to the module in that order; it carries the module's decisions out as its logic.Host.
type loop struct {
	bal    *balancer.Balancer
	clock  clock
	pool   *backends
	zones  zones
	starts starts
	figs   *figures
	audit  *audit
	log    *slog.Logger
	events chan func()
	lists  <-chan discovery.Update
	list   *listState
	bans   <-chan override.Set // whole sets; nil: none come
	seen   *override.NameSet
	fleet  Cluster       // nil on its own
	listed chan struct{} // closed when there is a list
	fresh  chan struct{} // closed when there is one from discovery

	reqs     map[string]*request // until answered and no attempt is out
	banned   map[string]bool
	hands    zoneHands
	timers   timerHeap
	unsent   []*attempt // Sends that cannot be carried out; their outcomes follow the present event
	attempts sync.WaitGroup
	ctx      context.Context    // of all attempts
	watched  bool               // somebody may ask for the figures
	cutoff   int64              // after SIGTERM: nothing waits beyond this; else 0
	done     chan struct{}      // closed when the loop has ended
	ended    context.Context    // done when the loop has ended, for AfterFunc
	leave    context.CancelFunc // ends that
}

func newLoop(bal *balancer.Balancer, c clock, pool *backends, z zones, figs *figures, log *slog.Logger) *loop {
	ended, leave := context.WithCancel(context.Background())
	return &loop{ended: ended, leave: leave, list: newListState(0, log), bal: bal, clock: c, pool: pool, zones: z, starts: starts{}, figs: figs, audit: newAudit(log), log: log,
		events: make(chan func(), 256), seen: override.NewNameSet(), hands: newZoneHands(z), listed: make(chan struct{}), fresh: make(chan struct{}),
		reqs: map[string]*request{}, done: make(chan struct{})}
}

// run plays events until the context ends, and then until every attempt has.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer l.leave()
	attempts, stop := context.WithCancel(ctx)
	defer l.attempts.Wait()
	defer stop()
	l.ctx = attempts
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	var look <-chan time.Time
	if l.watched {
		tick := time.NewTicker(lookEvery)
		defer tick.Stop()
		look = tick.C
	}
	var meet <-chan time.Time
	if l.fleet != nil {
		tick := time.NewTicker(meetEvery)
		defer tick.Stop()
		meet = tick.C
	}
	for {
		// What discovery and on-call staff told comes before all else: nothing may go to a backend known to
		// drain, or banned.
		select {
		case n := <-l.lists:
			l.news(n)
			continue
		case n := <-l.bans:
			l.ban(n.IDs)
			n.Acknowledge()
			continue
		default:
		}
		select {
		case n := <-l.lists:
			l.news(n)
		case n := <-l.bans:
			l.ban(n.IDs)
			n.Acknowledge()
		case f := <-l.events:
			f()
		case <-alarm.C:
		case now := <-sweep.C:
			l.pool.sweep(now)
			l.list.look(now)
		case <-meet:
			l.meet()
		case <-look:
			l.figs.servers(l.bal.ServerCounts())
			l.figs.refusals(l.bal.Rejections())
			l.lookZones()
		case <-ctx.Done():
			return
		}
		l.settle()
		l.fire()
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.clock.time(l.timers[0].at)))
		}
	}
}

// post hands an event to the loop; it is dropped when the loop has ended.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// settle tells the module of the Sends that could not be carried out. It may send again, so this goes on
// until none is left.
func (l *loop) settle() {
	for len(l.unsent) > 0 {
		a := l.unsent[0]
		l.unsent = l.unsent[1:]
		l.outcome(a, result{status: balancer.StatusNotSent})
	}
}

// fire plays the timers that are due.
func (l *loop) fire() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		t := heap.Pop(&l.timers).(timer)
		if t.req == nil {
			l.bal.HandleTimer(now, l, t.token)
		} else {
			l.expire(t.req)
		}
		l.settle()
	}
}

// news applies what discovery said, to the connections first and then to the module.
func (l *loop) news(n discovery.Update) {
	l.list.sync(time.Now(), n.List)
	kind := balancer.UpdateDelta
	if n.List.Full {
		kind = balancer.UpdateSnapshot
	}
	l.apply(kind, n.List)
	l.settle()
	select {
	case <-l.fresh:
	default:
		close(l.fresh)
	}
}

func (l *loop) apply(kind balancer.UpdateKind, list *discovery.List) {
	names := make([]string, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		names = append(names, e.Name)
	}
	l.seen.Add(names...)
	l.pool.apply(kind != balancer.UpdateDelta, list.Endpoints)
	l.drain() // before the module hears of what is there now
	now, wall := l.clock.now(), time.Now()
	started := func(e discovery.Endpoint) int64 {
		at := l.starts.of(e, now, wall)
		if e.Status == discovery.StatusDeleted {
			delete(l.starts, e.Name)
		}
		return at
	}
	l.bal.UpdateEndpoints(now, l, kind, l.zones.servers(list.Endpoints, started))
	if kind != balancer.UpdateDelta {
		l.starts.keep(list.Endpoints)
	}
	l.nameZones()
	l.figs.servers(l.bal.ServerCounts())
	select {
	case <-l.listed:
	default:
		if kind == balancer.UpdateSnapshot || len(list.Endpoints) > 0 {
			close(l.listed)
		}
	}
}

// rules are the module's settings at the start.
func (l *loop) rules(site *settings.Site) *balancer.Settings {
	if l.bal == nil {
		return &site.Balancer // a test without the module
	}
	return l.bal.Settings()
}

// reconfigure puts other settings in force for the requests that come from now on.
func (l *loop) reconfigure(site *settings.Site, next balancer.Settings, f *frontend) error {
	if next.Zone < len(site.Zones) { // zones keep the numbers that they have
		next.Zone = l.zones.number(site.Zones[next.Zone])
		for _, name := range site.Zones {
			l.zones.number(name)
		}
		next.ZoneCount = len(l.zones)
	}
	numbers, err := l.bal.Reconfigure(l.clock.now(), next, f.held())
	if err != nil {
		return err
	}
	l.nameZones()
	f.turn(newView(site, l.bal.Settings(), numbers))
	l.pool.retime(site.DialTimeout, site.IdleClose)
	l.pool.setGrace(site.Balancer.DrainGrace)
	return nil
}

// ban has these backends and zones and no others out.
func (l *loop) ban(ids map[string]bool) {
	ids, zones := override.SplitZones(ids)
	if !maps.Equal(zones, l.hands.asked) {
		l.hands.asked = zones
		l.drain()
		l.showZones()
	}
	if maps.Equal(ids, l.banned) {
		return
	}
	l.log.Info("bans", "backends", slices.Sorted(maps.Keys(ids)))
	l.banned = ids
	l.pool.ban(ids)
	l.bal.SetSuspendedServers(ids)
	l.figs.servers(l.bal.ServerCounts())
}
