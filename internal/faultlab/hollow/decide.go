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
	maxQueuedEvents = 64 // that wait for a proxy's loop
	minCallInterval = time.Millisecond
	minLatency      = 20 * time.Millisecond
	maxLatency      = 80 * time.Millisecond
)

// decider drives a balancer with drawn calls: no request is sent, but the balancer decides on each call and gets a drawn
// outcome. It is the balancer's host. Only the proxy's loop uses it, apart from the counts.
type decider struct {
	balancer       *balancer.Balancer
	zones          map[string]int
	classes        []int // the balancer's numbers of the present classes
	callRate       float64
	failedFraction float64
	events         chan func()
	ctx            context.Context // of the present event
	random         *rand.Rand
	calls          int64
	attempts       map[string]int
	openClasses    map[string]int // class by open call

	taken, sent, rejected, failed atomic.Int64
}

func newDecider(c *Config, p Proxy, site *settings.Site) (*decider, error) {
	d := &decider{zones: map[string]int{}, openClasses: map[string]int{},
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

func nowMicros() int64 { return time.Now().UnixMicro() }

func (d *decider) zoneNumber(zone string) int {
	n, ok := d.zones[zone]
	if !ok {
		n = len(d.zones)
		d.zones[zone] = n
	}
	return n
}

// updateEndpoints passes a list to the balancer, as a real proxy does.
func (d *decider) updateEndpoints(l *discovery.List) {
	kind := balancer.UpdateDelta
	if l.Snapshot {
		kind = balancer.UpdateSnapshot
	}
	out := make([]balancer.Server, 0, len(l.Endpoints))
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
		out = append(out, s)
	}
	d.balancer.UpdateEndpoints(nowMicros(), d, kind, out)
}

// nextCall draws the time until the next call; an hour if there are none.
func (d *decider) nextCall(r *rand.Rand) time.Duration {
	if d.callRate <= 0 || len(d.classes) == 0 {
		return time.Hour
	}
	return max(minCallInterval, time.Duration(r.ExpFloat64()/d.callRate*float64(time.Second)))
}

// call passes one call to the balancer.
func (d *decider) call(ctx context.Context, r *rand.Rand) {
	d.ctx, d.random = ctx, r
	d.calls++
	id := strconv.FormatInt(d.calls, 16)
	d.taken.Add(1)
	class := d.classes[r.IntN(len(d.classes))]
	d.attempts[id], d.openClasses[id] = 0, class
	d.balancer.HandleRequest(nowMicros(), d, balancer.Request{ID: id, Class: class,
		Deadline: nowMicros() + time.Second.Microseconds()})
}

// after runs something in the proxy's loop after a delay, unless the proxy has ended.
func (d *decider) after(delay time.Duration, do func()) {
	ctx := d.ctx
	time.AfterFunc(delay, func() {
		select {
		case d.events <- do:
		case <-ctx.Done():
		}
	})
}

// Send implements balancer.Host: an attempt ends with a drawn status after a drawn time.
func (d *decider) Send(id, _ string, _, timeout int64) {
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
			d.finish(id)
		}
	})
}

func (d *decider) finish(id string) {
	delete(d.attempts, id)
	delete(d.openClasses, id)
}

// reconfigure applies other settings, as a real proxy does; zone and replica index stay.
func (d *decider) reconfigure(site *settings.Site, p Proxy) error {
	s := site.Balancer
	for _, z := range site.Zones {
		d.zoneNumber(z)
	}
	s.ReplicaIndex, s.Zone, s.ZoneCount = p.ReplicaIndex, d.zoneNumber(p.Zone), len(d.zones)
	held := map[int]bool{}
	for _, class := range d.openClasses {
		held[class] = true
	}
	numbers, err := d.balancer.Reconfigure(nowMicros(), s, held)
	if err == nil {
		d.classes = numbers
	}
	return err
}

// Reject implements balancer.Host.
func (d *decider) Reject(id string, _ int64) {
	d.rejected.Add(1)
	d.finish(id)
}

// Fail implements balancer.Host.
func (d *decider) Fail(id string) {
	d.failed.Add(1)
	d.finish(id)
}

// SetTimer implements balancer.Host.
func (d *decider) SetTimer(delay int64, token string) {
	d.after(time.Duration(delay)*time.Microsecond, func() { d.balancer.HandleTimer(nowMicros(), d, token) })
}

// Watch implements balancer.Host; the list is watched in any case.
func (d *decider) Watch() {}

// Log implements balancer.Host; events of drawn calls are dropped.
func (d *decider) Log(balancer.Event) {}

func (d *decider) metrics() CallMetrics {
	return CallMetrics{d.taken.Load(), d.sent.Load(), d.rejected.Load(), d.failed.Load()}
}
