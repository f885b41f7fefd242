package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
)

// world plays many Balancers, which tell each other what they see every 100 ms, on one clock.
type world struct {
	t       testing.TB
	rnd     *rand.Rand
	now     int64
	queue   events
	seq     int
	copies  []*copyOf
	servers []Server
	fate    func(c *copyOf, s Server) (Status, int64) // how and when an attempt ends
	hear    func(from, to *copyOf) bool               // whether what one tells reaches the other; nil: always
	lie     func(c *copyOf, tells []Report) []Report
	on      bool // they hear each other
	said    map[*copyOf][]Report
	heard   map[[2]*copyOf][]Report // what each last heard of each
}

// copyOf is one Balancer and what it did.
type copyOf struct {
	w          *world
	n          int
	b          *Balancer
	name       string
	deaf       bool // hears nobody
	reqs       map[string]*int
	sends      []sendTo
	done, lost int
	events     []seen
}

type sendTo struct {
	at     int64
	server string
	zone   int
	repeat Idempotency
}

// seen is an event that a copy told on-call staff of, and when.
type seen struct {
	at    int64
	event Event
}

type event struct {
	at  int64
	seq int
	do  func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { o := *e; x := o[len(o)-1]; *e = o[:len(o)-1]; return x }

func (w *world) after(d int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, do})
}

func (w *world) run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= start+until {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = start + until
}

func (c *copyOf) Send(id, server string, _, timeout int64) {
	w, s := c.w, c.b.members.byID[server].Server
	q := c.b.requests[id]
	k := q.Settings.Classes[q.Class]
	c.sends = append(c.sends, sendTo{w.now, server, s.Zone, k.Idempotency})
	status, took := w.fate(c, s)
	if took > timeout {
		status, took = StatusTimedOut, timeout
	}
	try := *c.reqs[id]
	*c.reqs[id]++
	w.after(took, func() {
		if status == StatusOK {
			c.done++
		}
		c.b.HandleOutcome(w.now, c, Outcome{RequestID: id, Attempt: try, Status: status, Latency: took, RequestDone: status == StatusOK})
	})
}
func (c *copyOf) Reject(string, int64) { c.lost++ }
func (c *copyOf) Fail(string)          { c.lost++ }
func (c *copyOf) SetTimer(d int64, token string) {
	c.w.after(d, func() { c.b.HandleTimer(c.w.now, c, token) })
}
func (c *copyOf) Watch()      {}
func (c *copyOf) Log(e Event) { c.events = append(c.events, seen{c.w.now, e}) }

// laid sets up zones of so many copies and servers, each copy with a rate of requests a second; 60 % of these must
// not run twice, a quarter only in their zone.
func laid(t testing.TB, zones, copies, servers int, rate float64, on bool) *world {
	w := &world{t: t, rnd: rand.New(rand.NewPCG(5, uint64(zones*1000+copies*10+servers))), now: start, on: on,
		said: map[*copyOf][]Report{}, heard: map[[2]*copyOf][]Report{}}
	set := Settings{Replicas: zones * copies, ZoneCount: zones, MaxAttempts: 3, DrainGrace: second, SlowStartMinCapacity: 0.3,
		SlowStartDuration: 8 * second, MaxRetryAfter: second, Classes: []Class{
			{LatencyObjective: 600_000, Deadline: 1_600_000, PriorityWeight: 10, Idempotency: NonIdempotent},
			{LatencyObjective: 800_000, Deadline: 2_000_000, PriorityWeight: 3, Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone, DedupWindow: 3 * second},
			{LatencyObjective: 900_000, Deadline: 2_500_000, PriorityWeight: 1, Idempotency: Idempotent},
		}}
	for i := range zones * servers {
		w.servers = append(w.servers, Server{ID: fmt.Sprint("s", i), Zone: i % zones, State: ServerReady, CapacityHint: 1})
	}
	w.fate = w.well
	for i := range zones * copies {
		set.ReplicaIndex, set.Zone = i, i%zones
		b, err := New(set, uint64(i))
		if err != nil {
			t.Fatal(err)
		}
		c := &copyOf{w: w, n: i, b: b, name: fmt.Sprint("p", i), reqs: map[string]*int{}}
		w.copies = append(w.copies, c)
		b.UpdateEndpoints(start, c, UpdateSnapshot, w.servers)
		w.after(w.rnd.Int64N(second/10), c.tell)
		w.after(int64(float64(w.rnd.Int64N(second))/rate), func() { c.ask(rate, 0) })
	}
	return w
}

// well answers in 30 to 90 ms.
func (w *world) well(*copyOf, Server) (Status, int64) { return StatusOK, 30_000 + w.rnd.Int64N(60_000) }

func (c *copyOf) ask(rate float64, n int) {
	id := fmt.Sprint(n)
	class := []int{0, 0, 0, 0, 0, 0, 1, 1, 1, 2}[c.w.rnd.IntN(10)]
	c.reqs[id] = new(int)
	c.b.HandleRequest(c.w.now, c, Request{ID: id, Class: class, Deadline: c.w.now + c.b.settings.Classes[class].Deadline})
	c.w.after(int64(c.w.rnd.ExpFloat64()*1e6/rate), func() { c.ask(rate, n+1) })
}

// tell is what the owner of a copy does: every 100 ms it takes what others said and says what this one sees.
func (c *copyOf) tell() {
	w := c.w
	w.after(second/10, c.tell)
	if !w.on {
		return
	}
	tells := c.b.Reports(w.now)
	if w.lie != nil {
		tells = w.lie(c, tells)
	}
	w.said[c] = tells
	p := PeerReports{LiveReplicas: len(w.copies), Isolated: c.deaf}
	for _, o := range w.copies {
		if o.b.settings.Zone == c.b.settings.Zone {
			p.LiveReplicasInZone++
		}
		if o == c || c.deaf {
			continue
		}
		if w.hear == nil || w.hear(o, c) {
			w.heard[[2]*copyOf{o, c}] = w.said[o]
		}
		for _, n := range w.heard[[2]*copyOf{o, c}] {
			n.Observer = o.name
			p.Reports = append(p.Reports, n)
		}
	}
	c.b.HandlePeerReports(w.now, c, p)
}

// part is the part of the attempts from some copies' zone within a span that went to a zone; to -1: across zones.
func (w *world) part(from, to int, since, until int64) float64 {
	n, of := 0.0, 0.0
	for _, c := range w.copies {
		for _, s := range c.sends {
			if at := s.at - start; at >= since && at < until && (from < 0 || c.b.settings.Zone == from) {
				of++
				n += indicator(s.zone == to || to < 0 && s.zone != c.b.settings.Zone)
			}
		}
	}
	return n / max(of, 1)
}

func (w *world) failed() (n int) {
	for _, c := range w.copies {
		n += c.lost
	}
	return n
}
