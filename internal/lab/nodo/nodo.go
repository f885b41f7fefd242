// Package nodo is the stand-in nodo: a server with slots, a queue, a limit on connections, a cold start and a load
// under which it falls over, that speaks the platform's protocol.
//
// A nodo's work is not done but waited for: a request of w ms of work holds one of its slots for w / speed. Its time is
// the machine's, so a late lab makes slow nodos; the run's lateness says so.
package nodo

import (
	"bufio"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"fernlanding/internal/lab/link"
	"fernlanding/internal/lab/referee"
	"fernlanding/internal/lab/wire"
)

// Spec is what a nodo is.
type Spec struct {
	Name  string
	Zone  string
	Cell  int
	Speed float64 // of a slot
	Slots int
	Queue int

	MaxConns      int
	ConnectDelay  time.Duration // before a new connection's first request is seen
	ConnectWork   time.Duration // that it costs, beside its own work
	IdleClose     time.Duration
	StartCapacity float64
	Cold          time.Duration
	TipMultiple   float64
	Fall          time.Duration
	Cancelling    bool
	Seed          uint64
}

// Job is what the lab's plan knows of a request by its id.
type Job struct {
	Work   time.Duration
	Answer int // bytes
	Proxy  string
}

// World is what a nodo asks of the rest of the lab.
type World interface {
	Job(id string) (Job, bool)
	// Fell tells that the nodo has fallen over, and stays down until it is started again.
	Fell(name string)
}

// Nodo is one nodo. Its connections come from links; the lab starts, stops and hampers it.
type Nodo struct {
	spec  Spec
	world World
	ref   *referee.Referee

	mu       sync.Mutex
	up       bool
	since    time.Time // of its last start
	cold     bool      // that start was a cold one
	life     int       // goes up at each start and end
	draining bool
	hampers  map[*Hamper]struct{}
	now      Hamper // the sum of them
	conns    int
	busy     int
	queue    []*job
	came     []arrival // work within the last Spec.Fall, while cold
	rng      *rand.Rand
}

type arrival struct {
	at    time.Time
	work  time.Duration
	proxy string
}

type job struct {
	work  time.Duration
	came  time.Time
	start chan bool // true: begins; false: the nodo has ended
	begun time.Time
	held  time.Duration // that its slot is held
	gone  bool          // left the queue
	until time.Time     // its caller has given up by then
}

// New is a nodo that is not up yet.
func New(spec Spec, world World, ref *referee.Referee) *Nodo {
	return &Nodo{spec: spec, world: world, ref: ref, now: Hamper{Slow: 1}, hampers: map[*Hamper]struct{}{}, rng: rand.New(rand.NewPCG(spec.Seed, 7))}
}

// Start brings it up, cold or long warm.
func (n *Nodo) Start(at time.Time, cold bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up, n.since, n.cold, n.draining = true, at, cold, false
	n.life++
	n.busy, n.queue, n.came = 0, nil, nil
}

// Stop ends the process: what is in work is gone. The lab resets its connections.
func (n *Nodo) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.up = false
	n.life++
	for _, j := range n.queue {
		j.start <- false
	}
	n.busy, n.queue = 0, nil
}

// Drain has it turn new requests away and finish what it has.
func (n *Nodo) Drain(on bool) { n.with(func() { n.draining = on }) }

// Hamper is what can be wrong with a nodo that is up.
type Hamper struct {
	Slow   float64 // its work takes so many times as long; 0 is 1
	Errors float64 // part of what it works on that gets 500
	Garble float64 // part of its answers that it spoils
	Hang   bool    // it takes requests and never answers
}

// Hamper hampers it until end is called. Several add up, and each ends by itself.
func (n *Nodo) Hamper(h Hamper) (end func()) {
	p := &h
	n.with(func() { n.hampers[p] = struct{}{}; n.sum() })
	return func() { n.with(func() { delete(n.hampers, p); n.sum() }) }
}

func (n *Nodo) sum() {
	n.now = Hamper{Slow: 1}
	for h := range n.hampers {
		if h.Slow > 0 {
			n.now.Slow *= h.Slow
		}
		n.now.Errors = 1 - (1-n.now.Errors)*(1-h.Errors)
		n.now.Garble = 1 - (1-n.now.Garble)*(1-h.Garble)
		n.now.Hang = n.now.Hang || h.Hang
	}
}

func (n *Nodo) with(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// share is its present part of its capacity: it rises evenly from the start to the end of the cold time.
func (n *Nodo) share(now time.Time) float64 {
	if !n.cold || n.spec.Cold <= 0 {
		return 1
	}
	part := float64(now.Sub(n.since)) / float64(n.spec.Cold)
	return min(1, n.spec.StartCapacity+(1-n.spec.StartCapacity)*part)
}

// Serve serves one connection until it ends.
func (n *Nodo) Serve(c *link.Conn) {
	defer c.Close()
	n.mu.Lock()
	n.conns++
	over, life := n.conns > n.spec.MaxConns, n.life
	n.mu.Unlock()
	defer n.with(func() { n.conns-- })
	n.ref.Connected(time.Now())
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		_ = c.SetReadDeadline(time.Now().Add(n.spec.IdleClose))
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := c.ReadAt()
		_ = c.SetReadDeadline(time.Now().Add(readMost))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !n.one(c, req, body, begun, first, over, life) || req.Close {
			return
		}
	}
}

const readMost = 30 * time.Second // for a whole request

// one answers one request; false ends the connection.
func (n *Nodo) one(c *link.Conn, req *http.Request, body []byte, begun time.Time, first, over bool, life int) bool {
	id := req.Header.Get(wire.RequestID)
	what, known := n.world.Job(id)
	at := n.ref.Begin(referee.Arrival{Nodo: n.spec.Name, ID: id, First: begun, Last: time.Now(), Method: req.Method,
		Path: req.URL.RequestURI(), Key: req.Header.Get(wire.IdempotencyKey), Body: wire.Digest(body)})
	if at == nil || !known {
		return n.answer(c, nil, 400, nil, false)
	}
	work := what.Work
	if first {
		time.Sleep(n.spec.ConnectDelay)
		work += n.spec.ConnectWork
	}
	j, turned, fell := n.admit(work, what.Proxy, over, life, patience(req))
	if fell != nil {
		n.ref.Tipped(n.spec.Name, n.sinceMs(), fell, time.Now())
		n.world.Fell(n.spec.Name)
		return false
	}
	if turned {
		n.ref.Turn(at)
		return n.answer(c, at, 503, nil, true) && !over
	}
	if j == nil { // ended meanwhile, or hanging
		c.AwaitEnd(nil)
		n.ref.Drop(at, 0)
		return false
	}
	return n.work(c, j, at, id, what, life)
}

func (n *Nodo) sinceMs() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.since.UnixMilli()
}

// patience is when the caller will have given up.
func patience(req *http.Request) time.Time {
	ms, err := strconv.ParseFloat(req.Header.Get(wire.Timeout), 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

// admit gives a request a slot or a place in the queue, or turns it away. A cold nodo that is sent too much falls
// over: then it tells what came, by proxy.
func (n *Nodo) admit(work time.Duration, proxy string, over bool, life int, until time.Time) (j *job, turned bool,
	fell map[string]time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.up || n.life != life || n.now.Hang {
		return nil, false, nil
	}
	now := time.Now()
	if fell = n.tip(now, work, proxy); fell != nil {
		return nil, false, fell
	}
	if n.draining || over || n.busy >= n.spec.Slots && len(n.queue) >= n.spec.Queue {
		return nil, true, nil
	}
	j = &job{work: work, came: now, start: make(chan bool, 1), until: until}
	if n.busy < n.spec.Slots {
		n.busy++
		n.begin(j, now)
	} else {
		n.queue = append(n.queue, j)
	}
	return j, false, nil
}

// tip counts work that comes to a cold nodo, and tells whether the last window was more than it can stand: the
// multiple of what it could have done in that time, with room for one request more than that.
func (n *Nodo) tip(now time.Time, work time.Duration, proxy string) map[string]time.Duration {
	if !n.cold || now.Sub(n.since) > n.spec.Cold+n.spec.Fall {
		n.came = nil
		return nil
	}
	n.came = append(n.came, arrival{now, work, proxy})
	from := now.Add(-n.spec.Fall)
	for len(n.came) > 0 && n.came[0].at.Before(from) {
		n.came = n.came[1:]
	}
	if now.Sub(n.since) < n.spec.Fall {
		from = n.since
	}
	sum := time.Duration(0)
	for _, a := range n.came {
		sum += a.work
	}
	// The window is never shorter than the stated one: the share of its middle stands for all of it.
	share := n.share(from.Add(now.Sub(from) / 2))
	budget := n.spec.TipMultiple * share * n.spec.Speed / n.now.Slow * float64(n.spec.Slots) * float64(n.spec.Fall)
	if float64(sum) <= budget+float64(work) {
		return nil
	}
	by := map[string]time.Duration{}
	for _, a := range n.came {
		by[a.proxy] += a.work
	}
	return by
}

// begin holds a slot for a job, from now on.
func (n *Nodo) begin(j *job, now time.Time) {
	j.begun = now
	j.held = time.Duration(float64(j.work) * n.now.Slow / (n.spec.Speed * n.share(now)))
	j.start <- true
}

// release gives a slot that was free from a moment on to the next in the queue whose caller still waits. The next one
// begins at that moment, or when it came, rather than now: timers are up to a millisecond late, and a queue would add
// that up.
func (n *Nodo) release(life int, free time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != life {
		return
	}
	for len(n.queue) > 0 {
		j := n.queue[0]
		n.queue = n.queue[1:]
		if j.gone {
			continue
		}
		if j.came.After(free) {
			free = j.came
		}
		n.begin(j, free)
		return
	}
	n.busy--
}

// work waits for a job's slot and its time, and answers. What its caller has left is dropped.
func (n *Nodo) work(c *link.Conn, j *job, at *referee.Attempt, id string, what Job, life int) bool {
	stop := make(chan struct{})
	left := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		if c.AwaitEnd(stop) {
			close(left)
		}
	}()
	end := func() {
		close(stop)
		<-watch
	}
	select {
	case ok := <-j.start:
		if !ok {
			end()
			n.ref.Drop(at, 0)
			return false
		}
	case <-left:
		n.with(func() { j.gone = true; n.sweep() })
		select {
		case ok := <-j.start: // it had begun in that moment
			if ok {
				n.release(life, time.Now())
			}
		default:
		}
		end()
		n.ref.Drop(at, 0)
		return false
	}
	if !j.until.IsZero() && j.begun.After(j.until) { // over before it began
		n.release(life, j.begun)
		end()
		n.ref.Turn(at)
		return n.answer(c, at, 504, nil, true)
	}
	done := time.NewTimer(time.Until(j.begun.Add(j.held)))
	defer done.Stop()
	gone := left
	if !n.spec.Cancelling {
		gone = nil
	}
	select {
	case <-done.C:
	case <-gone:
		n.release(life, time.Now())
		end()
		n.ref.Drop(at, time.Since(j.begun))
		return false
	}
	n.release(life, j.begun.Add(j.held))
	end()
	n.mu.Lock()
	alive := n.life == life && n.up && !n.now.Hang
	fails, spoils := n.rng.Float64() < n.now.Errors, n.rng.Float64() < n.now.Garble
	n.mu.Unlock()
	select {
	case <-left:
		n.ref.Drop(at, j.held)
		return false
	default:
	}
	switch {
	case !alive:
		c.AwaitEnd(nil)
		n.ref.Drop(at, j.held)
		return false
	case fails:
		n.ref.Err(at, j.held)
		return n.answer(c, at, 500, nil, false)
	}
	made := wire.Make(id, n.spec.Name, what.Answer)
	n.ref.Serve(at, wire.Digest(made), j.held)
	if spoils {
		n.spoil(c, at, made)
		return false
	}
	return n.answer(c, at, 200, made, false)
}

// sweep forgets the jobs at the queue's head that have left, so that a queue of them is not a full one.
func (n *Nodo) sweep() {
	kept := n.queue[:0]
	for _, j := range n.queue {
		if !j.gone {
			kept = append(kept, j)
		}
	}
	n.queue = kept
}

func (n *Nodo) answer(c *link.Conn, at *referee.Attempt, status int, body []byte, notStarted bool) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n"
	if notStarted {
		head += wire.NotStarted + ": 1\r\n"
	}
	return c.NoteThenWrite(append([]byte(head+"\r\n"), body...), func(time.Time) { n.ref.Wrote(at) }) == nil
}

// spoil sends an answer that cannot be read as the protocol requires, and closes.
func (n *Nodo) spoil(c *link.Conn, at *referee.Attempt, body []byte) {
	n.mu.Lock()
	kind := n.rng.IntN(3)
	n.mu.Unlock()
	text := ""
	switch kind {
	case 0:
		text = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(2*len(body)+9) + "\r\n\r\n" + string(body)
	case 1:
		text = "HTTP/1.1\r\n\r\n" + string(body)
	default:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n" + string(body)
	}
	_ = c.NoteThenWrite([]byte(text), func(time.Time) { n.ref.Wrote(at) })
}
