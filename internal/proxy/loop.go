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
	idleSweepInterval = time.Second            // idle connections to backends are looked over
	sampleInterval    = 200 * time.Millisecond // the figures on servers are taken again
)

// loop owns the Balancer and the table of requests. All that happens comes to it through channels and is
// told to the module in that order; it carries the module's decisions out as its logic.Host.
type eventLoop struct {
	balancer        *balancer.Balancer
	clock           clock
	pool            *backendPool
	zoneNumbers     zoneNumbers
	startTimes      startTimes
	metrics         *metrics
	audit           *audit
	logger          *slog.Logger
	events          chan func()
	listUpdates     <-chan discovery.Update
	listStatus      *listStatus
	overrideUpdates <-chan override.Set // whole sets; nil: none come
	knownServers    *override.NameSet
	cluster         Cluster       // nil on its own
	listAvailable   chan struct{} // closed when there is a list
	listSynced      chan struct{} // closed when there is one from discovery

	requests          map[string]*request // until answered and no attempt is out
	suspended         map[string]bool
	zoneOverrides     zoneOverrides
	timers            timerHeap
	unsentAttempts    []*attempt // Sends that cannot be carried out; their outcomes follow the present event
	attemptGoroutines sync.WaitGroup
	attemptContext    context.Context    // of all attempts
	managed           bool               // somebody may ask for the figures
	drainDeadline     int64              // after SIGTERM: nothing waits beyond this; else 0
	done              chan struct{}      // closed when the loop has ended
	stopped           context.Context    // done when the loop has ended, for AfterFunc
	markStopped       context.CancelFunc // ends that
}

func newEventLoop(bal *balancer.Balancer, c clock, pool *backendPool, z zoneNumbers, figs *metrics, log *slog.Logger) *eventLoop {
	ended, leave := context.WithCancel(context.Background())
	return &eventLoop{stopped: ended, markStopped: leave, listStatus: newListStatus(0, log), balancer: bal, clock: c, pool: pool, zoneNumbers: z, startTimes: startTimes{}, metrics: figs, audit: newAudit(log), logger: log,
		events: make(chan func(), 256), knownServers: override.NewNameSet(), zoneOverrides: newZoneOverrides(z), listAvailable: make(chan struct{}), listSynced: make(chan struct{}),
		requests: map[string]*request{}, done: make(chan struct{})}
}

// run plays events until the context ends, and then until every attempt has.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	defer l.markStopped()
	attempts, stop := context.WithCancel(ctx)
	defer l.attemptGoroutines.Wait()
	defer stop()
	l.attemptContext = attempts
	alarm := time.NewTimer(0)
	defer alarm.Stop()
	sweep := time.NewTicker(idleSweepInterval)
	defer sweep.Stop()
	var look <-chan time.Time
	if l.managed {
		tick := time.NewTicker(sampleInterval)
		defer tick.Stop()
		look = tick.C
	}
	var meet <-chan time.Time
	if l.cluster != nil {
		tick := time.NewTicker(reportExchangeInterval)
		defer tick.Stop()
		meet = tick.C
	}
	for {
		// What discovery and on-call staff told comes before all else: nothing may go to a backend known to
		// drain, or banned.
		select {
		case n := <-l.listUpdates:
			l.handleListUpdate(n)
			continue
		case n := <-l.overrideUpdates:
			l.applyOverrides(n.IDs)
			n.Acknowledge()
			continue
		default:
		}
		select {
		case n := <-l.listUpdates:
			l.handleListUpdate(n)
		case n := <-l.overrideUpdates:
			l.applyOverrides(n.IDs)
			n.Acknowledge()
		case f := <-l.events:
			f()
		case <-alarm.C:
		case now := <-sweep.C:
			l.pool.sweepIdle(now)
			l.listStatus.checkStale(now)
		case <-meet:
			l.exchangeReports()
		case <-look:
			l.metrics.setServers(l.balancer.ServerCounts())
			l.metrics.setRejections(l.balancer.Rejections())
			l.sampleZones()
		case <-ctx.Done():
			return
		}
		l.reportUnsent()
		l.fireTimers()
		if len(l.timers) > 0 {
			alarm.Reset(time.Until(l.clock.time(l.timers[0].at)))
		}
	}
}

// post hands an event to the loop; it is dropped when the loop has ended.
func (l *eventLoop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// settle tells the module of the Sends that could not be carried out. It may send again, so this goes on
// until none is left.
func (l *eventLoop) reportUnsent() {
	for len(l.unsentAttempts) > 0 {
		a := l.unsentAttempts[0]
		l.unsentAttempts = l.unsentAttempts[1:]
		l.handleOutcome(a, result{status: balancer.StatusNotSent})
	}
}

// fire plays the timers that are due.
func (l *eventLoop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].at <= now; {
		t := heap.Pop(&l.timers).(timer)
		if t.request == nil {
			l.balancer.HandleTimer(now, l, t.token)
		} else {
			l.expire(t.request)
		}
		l.reportUnsent()
	}
}

// news applies what discovery said, to the connections first and then to the module.
func (l *eventLoop) handleListUpdate(n discovery.Update) {
	l.listStatus.markSynced(time.Now(), n.List)
	kind := balancer.UpdateDelta
	if n.List.Full {
		kind = balancer.UpdateSnapshot
	}
	l.applyList(kind, n.List)
	l.reportUnsent()
	select {
	case <-l.listSynced:
	default:
		close(l.listSynced)
	}
}

func (l *eventLoop) applyList(kind balancer.UpdateKind, list *discovery.List) {
	names := make([]string, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		names = append(names, e.Name)
	}
	l.knownServers.Add(names...)
	l.pool.updateEndpoints(kind != balancer.UpdateDelta, list.Endpoints)
	l.applyZoneDrains() // before the module hears of what is there now
	now, wall := l.clock.now(), time.Now()
	started := func(e discovery.Endpoint) int64 {
		at := l.startTimes.startOf(e, now, wall)
		if e.Status == discovery.StatusDeleted {
			delete(l.startTimes, e.Name)
		}
		return at
	}
	l.balancer.UpdateEndpoints(now, l, kind, l.zoneNumbers.toServers(list.Endpoints, started))
	if kind != balancer.UpdateDelta {
		l.startTimes.retainListed(list.Endpoints)
	}
	l.updateZoneNames()
	l.metrics.setServers(l.balancer.ServerCounts())
	select {
	case <-l.listAvailable:
	default:
		if kind == balancer.UpdateSnapshot || len(list.Endpoints) > 0 {
			close(l.listAvailable)
		}
	}
}

// rules are the module's settings at the start.
func (l *eventLoop) balancerSettings(site *settings.Site) *balancer.Settings {
	if l.balancer == nil {
		return &site.Balancer // a test without the module
	}
	return l.balancer.Settings()
}

// reconfigure puts other settings in force for the requests that come from now on.
func (l *eventLoop) reconfigure(site *settings.Site, next balancer.Settings, f *frontend) error {
	if next.Zone < len(site.Zones) { // zones keep the numbers that they have
		next.Zone = l.zoneNumbers.number(site.Zones[next.Zone])
		for _, name := range site.Zones {
			l.zoneNumbers.number(name)
		}
		next.ZoneCount = len(l.zoneNumbers)
	}
	numbers, err := l.balancer.Reconfigure(l.clock.now(), next, f.classesInUse())
	if err != nil {
		return err
	}
	l.updateZoneNames()
	f.setSettings(newSettingsSnapshot(site, l.balancer.Settings(), numbers))
	l.pool.setTimeouts(site.DialTimeout, site.IdleClose)
	l.pool.setDrainGrace(site.Balancer.DrainGrace)
	return nil
}

// ban has these backends and zones and no others out.
func (l *eventLoop) applyOverrides(ids map[string]bool) {
	ids, zones := override.SplitZones(ids)
	if !maps.Equal(zones, l.zoneOverrides.requested) {
		l.zoneOverrides.requested = zones
		l.applyZoneDrains()
		l.publishZones()
	}
	if maps.Equal(ids, l.suspended) {
		return
	}
	l.logger.Info("bans", "backends", slices.Sorted(maps.Keys(ids)))
	l.suspended = ids
	l.pool.setSuspended(ids)
	l.balancer.SetSuspendedServers(ids)
	l.metrics.setServers(l.balancer.ServerCounts())
}
