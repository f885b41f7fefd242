package hollow

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/discovery"
	"merlinpick/internal/settings"
)

const (
	maxQueuedEvents = 64 // capacity of a proxy's event queue
	minCallInterval = time.Millisecond
	minLatency      = 20 * time.Millisecond // of a simulated attempt
	maxLatency      = 80 * time.Millisecond // of a simulated attempt
)

// callSimulator is the host of a balancer and drives it with simulated calls: no request is sent, but the
// balancer decides on each call and receives a random outcome. Apart from the counters, only the proxy's
// event loop uses it.
type callSimulator struct {
	balancer       *balancer.Balancer
	zones          map[string]int
	classes        []int   // indexes of the current request classes in the balancer
	callRate       float64 // calls per second
	failedFraction float64 // of the attempts
	events         chan func()
	ctx            context.Context // of the latest call
	random         *rand.Rand
	calls          int64          // also the source of call ids
	attempts       map[string]int // attempts sent so far, by id of the open call
	openClasses    map[string]int // request class, by id of the open call

	taken, sent, rejected, failed atomic.Int64 // see CallMetrics
}

// newCallSimulator creates the balancer of a proxy. Zones are numbered in the order of the settings.
func newCallSimulator(c *Config, p Proxy, site *settings.Site) (*callSimulator, error) {
	d := &callSimulator{zones: map[string]int{}, openClasses: map[string]int{},
		callRate: c.CallRate, failedFraction: c.FailedFraction,
		events: make(chan func(), maxQueuedEvents), attempts: map[string]int{}, ctx: context.Background()}
	for i, z := range site.Zones {
		d.zones[z] = i
	}
	for i := range site.Balancer.Classes {
		d.classes = append(d.classes, i)
	}
	s := site.Balancer
	s.ReplicaIndex, s.Zone = p.ReplicaIndex, d.zoneNumber(p.Zone)
	var err error
	d.balancer, err = balancer.New(s, p.Seed)
	return d, err
}

// nowMicros returns the current Unix time in microseconds.
func nowMicros() int64 { return time.Now().UnixMicro() }

// zoneNumber returns the balancer's number of a zone, and assigns the next number to an unknown zone.
func (d *callSimulator) zoneNumber(zone string) int {
	n, ok := d.zones[zone]
	if !ok {
		n = len(d.zones)
		d.zones[zone] = n
	}
	return n
}

// updateEndpoints passes an update of the endpoint list to the balancer, as a real proxy does.
func (d *callSimulator) updateEndpoints(l *discovery.List) {
	kind := balancer.UpdateDelta
	if l.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	servers := make([]balancer.Server, 0, len(l.Endpoints))
	for _, e := range l.Endpoints {
		s := balancer.Server{ID: e.Name, Zone: d.zoneNumber(e.Zone), Cell: e.Cell, CapacityHint: 1,
			StartTime: e.StartedAtMs * 1000}
		switch e.Status {
		case discovery.StatusServing:
			s.State = balancer.ServerReady
		case discovery.StatusDraining:
			s.State = balancer.ServerDraining
		}
		if e.Weight != nil {
			s.CapacityHint = *e.Weight
		}
		servers = append(servers, s)
	}
	d.balancer.UpdateEndpoints(nowMicros(), d, kind, servers)
}

// nextCall returns a random time until the next call, exponentially distributed; an hour if no calls are
// made.
func (d *callSimulator) nextCall(r *rand.Rand) time.Duration {
	if d.callRate <= 0 || len(d.classes) == 0 {
		return time.Hour
	}
	return max(minCallInterval, time.Duration(r.ExpFloat64()/d.callRate*float64(time.Second)))
}

// call passes one simulated call of a random class, with a deadline of one second, to the balancer.
func (d *callSimulator) call(ctx context.Context, r *rand.Rand) {
	d.ctx, d.random = ctx, r
	d.calls++
	id := strconv.FormatInt(d.calls, 16)
	d.taken.Add(1)
	class := d.classes[r.IntN(len(d.classes))]
	d.attempts[id], d.openClasses[id] = 0, class
	d.balancer.HandleRequest(nowMicros(), d, balancer.Request{ID: id, Class: class,
		Deadline: nowMicros() + time.Second.Microseconds()})
}

// after runs do in the proxy's event loop after a delay, unless the proxy has ended.
func (d *callSimulator) after(delay time.Duration, do func()) {
	ctx := d.ctx
	time.AfterFunc(delay, func() {
		select {
		case d.events <- do:
		case <-ctx.Done():
		}
	})
}

// Send implements balancer.Host: the attempt ends with a random status after a random latency.
func (d *callSimulator) Send(id, _ string, _, timeout int64) {
	n := d.attempts[id]
	d.attempts[id] = n + 1
	d.sent.Add(1)
	status, took := balancer.StatusOK, minLatency+time.Duration(d.random.Int64N(int64(maxLatency-minLatency)))
	if d.random.Float64() < d.failedFraction {
		status = balancer.StatusReset
	}
	d.after(took, func() {
		_, open := d.attempts[id]
		closed := status == balancer.StatusOK || !open
		d.balancer.HandleOutcome(nowMicros(), d, balancer.Outcome{RequestID: id, Attempt: n, Status: status,
			RequestDone: closed, Latency: took.Microseconds()})
		if closed {
			d.forgetCall(id)
		}
	})
}

// forgetCall forgets a call that has ended.
func (d *callSimulator) forgetCall(id string) {
	delete(d.attempts, id)
	delete(d.openClasses, id)
}

// reconfigure applies new settings, as a real proxy does. The zone and the replica index stay the same.
func (d *callSimulator) reconfigure(site *settings.Site, p Proxy) error {
	s := site.Balancer
	for _, z := range site.Zones {
		d.zoneNumber(z)
	}
	s.ReplicaIndex, s.Zone, s.ZoneCount = p.ReplicaIndex, d.zoneNumber(p.Zone), len(d.zones)
	usedClasses := map[int]bool{}
	for _, class := range d.openClasses {
		usedClasses[class] = true
	}
	classes, err := d.balancer.Reconfigure(nowMicros(), s, usedClasses)
	if err == nil {
		d.classes = classes
	}
	return err
}

// Reject implements balancer.Host and counts a rejected call.
func (d *callSimulator) Reject(id string, _ int64) {
	d.rejected.Add(1)
	d.forgetCall(id)
}

// Fail implements balancer.Host and counts a failed call.
func (d *callSimulator) Fail(id string) {
	d.failed.Add(1)
	d.forgetCall(id)
}

// SetTimer implements balancer.Host; delay is in microseconds.
func (d *callSimulator) SetTimer(delay int64, token string) {
	d.after(time.Duration(delay)*time.Microsecond, func() { d.balancer.HandleTimer(nowMicros(), d, token) })
}

// Watch implements balancer.Host. It does nothing, since a hollow proxy watches the list from its start.
func (d *callSimulator) Watch() {}

// Log implements balancer.Host. The events of simulated calls are not logged.
func (d *callSimulator) Log(balancer.Event) {}

// metrics returns the counters of calls since the start.
func (d *callSimulator) metrics() CallMetrics {
	return CallMetrics{d.taken.Load(), d.sent.Load(), d.rejected.Load(), d.failed.Load()}
}
