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
	idleSweepInterval = time.Second // time between two sweeps of idle connections to backends
	// sampleInterval is the time between two samples of the balancer's state for the metrics.
	sampleInterval = 200 * time.Millisecond

	eventQueueLength = 256 // post blocks while the queue holds this many events
)

// eventLoop owns the balancer, the table of requests and the endpoint list. Only its goroutine (run) uses
// them: events from other goroutines arrive through channels and are passed to the balancer in order of
// arrival. As the balancer's Host, it carries out the balancer's decisions.
type eventLoop struct {
	balancer    *balancer.Balancer
	clock       clock
	pool        *upstream.Pool
	zoneNumbers zoneNumbers
	cluster     Cluster // nil for a proxy without a cluster

	metrics *metrics
	audit   *audit.Recorder
	logger  *slog.Logger
	managed bool // there is a management address, which serves the metrics

	events     chan func()
	timers     timerHeap
	requests   map[string]*request // by ID; removed when the request has ended and no attempt is in flight
	executions executionRecord
	attempts   attemptTable
	list       endpointList
	overrides  overrideState

	drainDeadline int64 // time on clock by which every request ends after SIGTERM; 0 before SIGTERM

	done        chan struct{}   // closed when the loop has ended
	stopped     context.Context // cancelled when the loop has ended, for context.AfterFunc
	markStopped context.CancelFunc
}

// attemptTable holds the loop's state of the attempts. Each attempt runs in its own goroutine and posts its
// result.
type attemptTable struct {
	ctx        context.Context // parent of all attempts: cancelling it cancels them
	goroutines sync.WaitGroup
	unsent     []*attempt // could not be started; reported to the balancer after the current event
}

// loopConfig holds what an eventLoop needs to start.
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
		requests: map[string]*request{}, executions: executionRecord{ids: newExecutedIDs()},
		list: endpointList{
			status: newListStatus(cfg.maxListAge, cfg.logger), startTimes: startTimes{}, knownServers: override.NewNameSet(),
			available: make(chan struct{}), synced: make(chan struct{}),
		},
		overrides: overrideState{zones: newZoneOverrides(cfg.zoneNumbers)},
		done:      make(chan struct{}), stopped: stopped, markStopped: markStopped,
	}
}

// run handles events until the context ends, then cancels the attempts and waits for their goroutines.
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

// iterate handles one event, then runs the timers that are due. It returns false once the context has ended.
// After an urgent event it returns at once: the timers run after the next event that is not urgent.
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
	case <-timers.dueTimer.C:
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
		timers.dueTimer.Reset(time.Until(l.clock.time(l.timers[0].dueAt)))
	}
	return true
}

// handleUrgent handles an update of the endpoint list or the overrides before any other event, since nothing
// may be sent to a server that is known to be draining or suspended. It returns false if there is no such
// update.
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

// loopTimers holds the timer and tickers that the loop waits for, besides events.
type loopTimers struct {
	dueTimer *time.Timer      // fires when the first entry of eventLoop.timers is due
	sweep    *time.Ticker     // sweeps idle connections, checks the age of the list
	sample   <-chan time.Time // samples the balancer for the metrics; nil without a management address
	exchange <-chan time.Time // exchanges reports with the cluster; nil without a cluster
	tickers  []*time.Ticker
}

// startTimers starts the timer and the tickers that the configuration calls for.
func (l *eventLoop) startTimers() *loopTimers {
	t := &loopTimers{dueTimer: time.NewTimer(0), sweep: time.NewTicker(idleSweepInterval)}
	if l.managed {
		t.sample = t.startTicker(sampleInterval)
	}
	if l.cluster != nil {
		t.exchange = t.startTicker(reportExchangeInterval)
	}
	return t
}

// startTicker starts a ticker, to be stopped by stop, and returns its channel.
func (t *loopTimers) startTicker(interval time.Duration) <-chan time.Time {
	ticker := time.NewTicker(interval)
	t.tickers = append(t.tickers, ticker)
	return ticker.C
}

func (t *loopTimers) stop() {
	t.dueTimer.Stop()
	t.sweep.Stop()
	for _, ticker := range t.tickers {
		ticker.Stop()
	}
}

// post queues an event for the loop. Any goroutine may call it. It blocks while the queue is full, and drops
// the event if the loop has ended.
func (l *eventLoop) post(event func()) {
	select {
	case l.events <- event:
	case <-l.done:
	}
}

// reportUnsent reports to the balancer the attempts that could not be started. The balancer may decide on new
// attempts that cannot be started either, so this repeats until none is left.
func (l *eventLoop) reportUnsent() {
	for len(l.attempts.unsent) > 0 {
		a := l.attempts.unsent[0]
		l.attempts.unsent = l.attempts.unsent[1:]
		l.handleOutcome(a, upstream.Result{Status: balancer.StatusNotSent})
	}
}

// fireTimers runs the timers that are due.
func (l *eventLoop) fireTimers() {
	for now := l.clock.now(); len(l.timers) > 0 && l.timers[0].dueAt <= now; {
		t := heap.Pop(&l.timers).(timer)
		if t.request == nil {
			l.balancer.HandleTimer(now, l, t.token)
		} else {
			l.expire(t.request)
		}
		l.reportUnsent()
	}
}

// reconfigure applies new settings to the requests that arrive from now on. If it fails, the current settings
// stay in force, but new zones in the rejected settings keep the numbers that they were given.
func (l *eventLoop) reconfigure(site *settings.Site, next balancer.Settings, f *downstream.Server) error {
	if next.Zone < len(site.Zones) { // known zones keep their numbers
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
	l.pool.SetLocalZone(site.LocalZone())
	return nil
}
