package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// fleetSimulation simulates a fleet: many Balancers on one virtual clock, which exchange reports every 100
// ms.
type fleetSimulation struct {
	t            testing.TB
	rnd          *rand.Rand
	now          int64 // µs
	queue        eventHeap
	seq          int // number of functions scheduled so far
	replicas     []*replica
	servers      []Server
	outcome      func(c *replica, s Server) (Status, int64) // how an attempt ends, and after how many µs
	delivers     func(from, to *replica) bool               // whether reports are delivered; nil: always
	alterReports func(c *replica, reports []Report) []Report
	exchange     bool                     // replicas exchange reports
	reported     map[*replica][]Report    // latest reports of each replica
	received     map[[2]*replica][]Report // latest reports that the second replica has of the first
}

// replica is one Balancer with its Host, which records what the Balancer does.
type replica struct {
	simulation        *fleetSimulation
	index             int
	b                 *Balancer
	name              string
	isolated          bool            // gets no reports of others
	attempts          map[string]*int // by request ID, the number of attempts that were sent
	sends             []sentAttempt
	succeeded, failed int // requests
	events            []loggedEvent
}

// sentAttempt is an attempt that a replica sent.
type sentAttempt struct {
	at          int64
	server      string
	zone        int
	idempotency Idempotency
}

// loggedEvent is an event that a replica logged, and when.
type loggedEvent struct {
	at    int64
	event Event
}

// scheduledFunc is a function that runs at a time in µs; of two at the same time the one with the lower seq
// runs first.
type scheduledFunc struct {
	at  int64
	seq int
	do  func()
}

// eventHeap is a heap of functions, the next one first.
type eventHeap []scheduledFunc

func (e eventHeap) Len() int { return len(e) }
func (e eventHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)   { *e = append(*e, x.(scheduledFunc)) }
func (e *eventHeap) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

// after schedules a function for d µs from now.
func (w *fleetSimulation) after(d int64, do func()) {
	w.seq++
	heap.Push(&w.queue, scheduledFunc{w.now + d, w.seq, do})
}

// run runs the simulation until so many µs after the start.
func (w *fleetSimulation) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= start+until {
		e := heap.Pop(&w.queue).(scheduledFunc)
		w.now = e.at
		e.do()
	}
	w.now = start + until
}

// Send records an attempt and schedules its outcome.
func (c *replica) Send(id, server string, _, timeout int64) {
	w, s := c.simulation, c.b.members.byID[server].Server
	q := c.b.requests[id]
	k := q.Settings.Classes[q.Class]
	c.sends = append(c.sends, sentAttempt{w.now, server, s.Zone, k.Idempotency})
	status, took := w.outcome(c, s)
	if took > timeout {
		status, took = StatusTimedOut, timeout
	}
	try := *c.attempts[id]
	*c.attempts[id]++
	w.after(took, func() {
		if status == StatusOK {
			c.succeeded++
		}
		c.b.HandleOutcome(w.now, c, Outcome{RequestID: id, Attempt: try, Status: status, Latency: took, RequestDone: status == StatusOK})
	})
}
func (c *replica) Reject(string, int64) { c.failed++ }
func (c *replica) Fail(string)          { c.failed++ }
func (c *replica) SetTimer(d int64, token string) {
	c.simulation.after(d, func() { c.b.HandleTimer(c.simulation.now, c, token) })
}
func (c *replica) Watch()      {}
func (c *replica) Log(e Event) { c.events = append(c.events, loggedEvent{c.simulation.now, e}) }

// newFleetSimulation returns a simulation with the given number of zones, each with the given numbers of
// replicas and servers. Each replica gets rate requests per second: 60 % of them are not idempotent, 30 %
// have an idempotency key that is valid in a zone, and 10 % are idempotent. exchange says whether the
// replicas exchange reports.
func newFleetSimulation(t testing.TB, zones, replicas, servers int, rate float64,
	exchange bool) *fleetSimulation {
	w := &fleetSimulation{t: t, rnd: rand.New(rand.NewPCG(5, uint64(zones*1000+replicas*10+servers))),
		now: start, exchange: exchange,
		reported: map[*replica][]Report{}, received: map[[2]*replica][]Report{}}
	set := Settings{Replicas: zones * replicas, ZoneCount: zones, MaxAttempts: 3, DrainGrace: second, SlowStartMinCapacity: 0.3,
		SlowStartDuration: 8 * second, MaxRetryAfter: second, Classes: []Class{
			{LatencyObjective: 600_000, Deadline: 1_600_000, PriorityWeight: 10, Idempotency: NonIdempotent},
			{LatencyObjective: 800_000, Deadline: 2_000_000, PriorityWeight: 3, Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: 3 * second},
			{LatencyObjective: 900_000, Deadline: 2_500_000, PriorityWeight: 1, Idempotency: Idempotent},
		}}
	for i := range zones * servers {
		w.servers = append(w.servers, Server{ID: fmt.Sprint("s", i), Zone: i % zones, State: ServerReady, CapacityHint: 1})
	}
	w.outcome = w.answer
	for i := range zones * replicas {
		set.ReplicaIndex, set.Zone = i, i%zones
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		c := &replica{simulation: w, index: i, b: b, name: fmt.Sprint("p", i), attempts: map[string]*int{}}
		w.replicas = append(w.replicas, c)
		b.UpdateEndpoints(start, c, UpdateSnapshot, w.servers)
		w.after(w.rnd.Int64N(second/10), c.exchangeReports)
		w.after(int64(float64(w.rnd.Int64N(second))/rate), func() { c.sendRequests(rate, 0) })
	}
	return w
}

// answer is the outcome of a healthy server: StatusOK after 30 to 90 ms.
func (w *fleetSimulation) answer(*replica, Server) (Status, int64) {
	return StatusOK, 30_000 + w.rnd.Int64N(60_000)
}

// sendRequests passes request n to the replica and schedules the next one.
func (c *replica) sendRequests(rate float64, n int) {
	id := fmt.Sprint(n)
	class := []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[c.simulation.rnd.IntN(10)]
	c.attempts[id] = new(int)
	c.b.HandleRequest(c.simulation.now, c, Request{ID: id, Class: class,
		Deadline: c.simulation.now + c.b.settings.Classes[class].Deadline})
	c.simulation.after(int64(c.simulation.rnd.ExpFloat64()*1e6/rate), func() { c.sendRequests(rate, n+1) })
}

// exchangeReports does what the owner of a Balancer does every 100 ms: it collects the Balancer's reports and
// passes it those of the other replicas.
func (c *replica) exchangeReports() {
	w := c.simulation
	w.after(second/10, c.exchangeReports)
	if !w.exchange {
		return
	}
	reports := c.b.Reports(w.now)
	if w.alterReports != nil {
		reports = w.alterReports(c, reports)
	}
	w.reported[c] = reports
	p := PeerReports{LiveReplicas: len(w.replicas), Isolated: c.isolated}
	for _, o := range w.replicas {
		if o.b.settings.Zone == c.b.settings.Zone {
			p.LiveReplicasInZone++
		}
		if o == c || c.isolated {
			continue
		}
		if w.delivers == nil || w.delivers(o, c) {
			w.received[[2]*replica{o, c}] = w.reported[o]
		}
		for _, n := range w.received[[2]*replica{o, c}] {
			n.Observer = o.name
			p.Reports = append(p.Reports, n)
		}
	}
	c.b.HandlePeerReports(w.now, c, p)
}

// attemptFraction returns the fraction of the attempts, sent by the replicas of zone from between since and
// until, that went to zone to. from -1 means the replicas of all zones, and to -1 means any zone other than
// the replica's own.
func (w *fleetSimulation) attemptFraction(from, to int, since, until int64) float64 {
	n, of := 0.0, 0.0
	for _, c := range w.replicas {
		for _, s := range c.sends {
			if at := s.at - start; at >= since && at < until && (from < 0 || c.b.settings.Zone == from) {
				of++
				n += indicator(s.zone == to || to < 0 && s.zone != c.b.settings.Zone)
			}
		}
	}
	return n / max(of, 1)
}

// failures returns the number of requests that were rejected or failed.
func (w *fleetSimulation) failures() (n int) {
	for _, c := range w.replicas {
		n += c.failed
	}
	return n
}
