package proxy

import (
	"container/heap"
	"context"
	"log/slog"
	"sync"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/override"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/upstream"
	"merlinpick/internal/settings"
)

const (
	idleSweepInterval = time.Second            // between two sweeps of idle connections to backends
	sampleInterval    = 200 * time.Millisecond // between two samples of the balancer's state for the metrics

	eventQueueLength = 256 // beyond it, who posts an event waits
)

// eventLoop owns the balancer, the table of requests and the endpoint list. Its goroutine alone (run) uses them: whatever
// happens elsewhere comes to it through channels and is given to the balancer in that order. As the balancer's Host it
// carries out the balancer's decisions.
type eventLoop struct {
	balancer    *balancer.Balancer
	clock       clock
	pool        *upstream.Pool
	zoneNumbers zoneNumbers
	cluster     Cluster // nil for a proxy on its own

	metrics *metrics
	audit   *audit.Recorder
	logger  *slog.Logger
	managed bool // there is a management address, which shows the metrics

	events    chan func()
	timers    timerHeap
	requests  map[string]*request // by ID, until answered with no attempt in flight
	attempts  attemptTable
	list      endpointList
	overrides overrideState

	drainDeadline int64 // after SIGTERM every request ends by this moment of clock; 0 before

	done        chan struct{}   // closed when the loop has ended
	stopped     context.Context // done when the loop has ended, for context.AfterFunc
	markStopped context.CancelFunc
}

// attemptTable is the loop's part of the attempts: each runs in a goroutine of its own and posts its result.
type attemptTable struct {
	ctx        context.Context // of all attempts; its end cancels them
	goroutines sync.WaitGroup
	unsent     []*attempt // could not be started; reported to the balancer after the present event
}

// loopConfig is what an eventLoop starts with.
type loopConfig struct {
	balancer    *balancer.Balancer
	clock       clock
	pool        *upstream.Pool
	zoneNumbers zoneNumbers
	metrics     *metrics
	audit       *audit.Recorder
	logger      *slog.Logger
	managed     bool
	maxListAge  time.Duration // 0: the list is never stale
}

func newEventLoop(cfg loopConfig) *eventLoop {
	stopped, markStopped := context.WithCancel(context.Background())
	return &eventLoop{
		balancer: cfg.balancer, clock: cfg.clock, pool: cfg.pool, zoneNumbers: cfg.zoneNumbers,
		metrics: cfg.metrics, audit: cfg.audit, logger: cfg.logger, managed: cfg.managed,
		events:   make(chan func(), eventQueueLength),
		requests: map[string]*request{},
		list: endpointList{
			status: newListStatus(cfg.maxListAge, cfg.logger), startTimes: startTimes{}, knownServers: override.NewNameSet(),
			available: make(chan struct{}), synced: make(chan struct{}),
		},
		overrides: overrideState{zones: newZoneOverrides(cfg.zoneNumbers)},
		done:      make(chan struct{}), stopped: stopped, markStopped: markStopped,
	}
}

// run handles events until the context ends, then cancels the attempts and waits for them.
func (l *eventLoop) run(ctx context.Context) {
	defer close(l.done)
	defer l.markStopped()
	attempts, cancelAttempts := context.WithCancel(ctx)
	defer l.attempts.goroutines.Wait()
	defer cancelAttempts()
	l.attempts.ctx = attempts
	timers := l.startTimers()
	defer timers.stop()
	for l.iterate(ctx, timers) {
	}
}

// iterate handles one event, then runs the timers that are due; false once the context has ended. After an urgent event it
// returns at once: timers run after the next event that is not urgent.
func (l *eventLoop) iterate(ctx context.Context, timers *loopTimers) bool {
	if l.handleUrgent() {
		return true
	}
	select {
	case update := <-l.list.updates:
		l.handleListUpdate(update)
	case set := <-l.overrides.updates:
		l.handleOverrides(set)
	case event := <-l.events:
		event()
	case <-timers.alarm.C:
	case now := <-timers.sweep.C:
		l.pool.SweepIdle(now)
		l.list.status.checkStale(now)
	case <-timers.exchange:
		l.exchangeReports()
	case <-timers.sample:
		l.metrics.setServers(l.balancer.ServerCounts())
		l.metrics.setRejections(l.balancer.Rejections())
		l.recoverRestoredZones()
		l.publishZones()
	case <-ctx.Done():
		return false
	}
	l.reportUnsent()
	l.fireTimers()
	if len(l.timers) > 0 {
		timers.alarm.Reset(time.Until(l.clock.time(l.timers[0].moment)))
	}
	return true
}

// handleUrgent handles what comes before all else: nothing may go to a server that is known to drain, or is suspended.
// False if there is nothing of it.
func (l *eventLoop) handleUrgent() bool {
	select {
	case update := <-l.list.updates:
		l.handleListUpdate(update)
	case set := <-l.overrides.updates:
		l.handleOverrides(set)
	default:
		return false
	}
	return true
}

// loopTimers are what the loop waits for beside events.
type loopTimers struct {
	alarm    *time.Timer // the first of eventLoop.timers
	sweep    *time.Ticker
	sample   <-chan time.Time // nil without a management address
	exchange <-chan time.Time // nil without a cluster
	tickers  []*time.Ticker
}

func (l *eventLoop) startTimers() *loopTimers {
	t := &loopTimers{alarm: time.NewTimer(0), sweep: time.NewTicker(idleSweepInterval)}
	if l.managed {
		t.sample = t.tick(sampleInterval)
	}
	if l.cluster != nil {
		t.exchange = t.tick(reportExchangeInterval)
	}
	return t
}

func (t *loopTimers) tick(interval time.Duration) <-chan time.Time {
	ticker := time.NewTicker(interval)
	t.tickers = append(t.tickers, ticker)
	return ticker.C
}

func (t *loopTimers) stop() {
	t.alarm.Stop()
	t.sweep.Stop()
	for _, ticker := range t.tickers {
		ticker.Stop()
	}
}

// post hands an event to the loop, from any goroutine. It waits while the queue is full; after the loop's end the event
// is dropped.
func (l *eventLoop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// reportUnsent reports to the balancer the attempts that could not be started. It may start others in turn, so this goes on
// until none is left.
func (l *eventLoop) reportUnsent() {
	for len(l.attempts.unsent) > 0 {
		a := l.attempts.unsent[0]
		l.attempts.unsent = l.attempts.unsent[1:]
		l.handleOutcome(a, upstream.Result{Status: balancer.StatusNotSent})
	}
}

// fireTimers runs the timers that are due.
func (l *eventLoop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].moment <= now; {
		t := heap.Pop(&l.timers).(timer)
		if t.request == nil {
			l.balancer.HandleTimer(now, l, t.token)
		} else {
			l.expire(t.request)
		}
		l.reportUnsent()
	}
}

// reconfigure puts other settings in force for the requests that come from now on. With an error the
// settings in force are unchanged; zones that the rejected settings name keep the numbers that they were given.
func (l *eventLoop) reconfigure(site *settings.Site, next balancer.Settings, f *downstream.Server) error {
	if next.Zone < len(site.Zones) { // zones keep the numbers that they have
		next.Zone = l.zoneNumbers.number(site.Zones[next.Zone])
		for _, name := range site.Zones {
			l.zoneNumbers.number(name)
		}
		next.ZoneCount = len(l.zoneNumbers)
	}
	classNumbers, err := l.balancer.Reconfigure(l.clock.now(), next, f.ClassesInUse())
	if err != nil {
		return err
	}
	l.updateZoneNames()
	f.SetSettings(site, l.balancer.Settings(), classNumbers)
	l.pool.SetTimeouts(site.DialTimeout, site.IdleTimeout)
	l.pool.SetDrainGrace(site.Balancer.DrainGrace)
	return nil
}
