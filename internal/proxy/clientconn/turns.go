package clientconn

import (
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"time"

	"merlinpick/internal/cpushare"
	"merlinpick/internal/proxy/audit"
)

const (
	// maxCharge is the most that one piece of work is charged with, between two points at which a connection may
	// wait. What is measured beyond it was a wait for something else.
	maxCharge = 100 * time.Millisecond
	// minGrantDelay is the least time until the next turns are given: a timer for each would take more than a turn.
	minGrantDelay = time.Millisecond
)

// turns lets connections go on when package cpushare says so. Any goroutine may use it.
type turns struct {
	start  time.Time // of the scheduler's clock
	report *throttleReport

	mu        sync.Mutex
	scheduler *cpushare.Scheduler
	granted   map[*cpushare.Turn]chan struct{} // closed when a turn has come
	timer     *time.Timer                      // calls grant; nil until a connection has waited
}

// newTurns returns turns for the processors that the runtime uses.
func newTurns(recorder *audit.Recorder, logger *slog.Logger) *turns {
	return &turns{start: time.Now(), report: newThrottleReport(recorder, logger), scheduler: cpushare.New(0, runtime.GOMAXPROCS(0)),
		granted: map[*cpushare.Turn]chan struct{}{}}
}

func (t *turns) now() time.Duration { return time.Since(t.start) }

// connect adds a new connection.
func (t *turns) connect(c net.Conn) *cpushare.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.Connect(t.now(), clientAddress(c))
}

// clientAddress returns the address of a connection's client, without its port.
func clientAddress(c net.Conn) netip.Addr {
	if tcp, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// fork adds another goroutine of a connection.
func (t *turns) fork(c *cpushare.Conn) *cpushare.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.scheduler.Fork(t.now(), c)
}

// disconnect removes a connection, or one of its goroutines.
func (t *turns) disconnect(c *cpushare.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.Disconnect(c)
}

// charge reports processor time that a connection has used.
func (t *turns) charge(c *cpushare.Conn, used time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.scheduler.Charge(t.now(), c, min(used, maxCharge))
}

// await returns when a connection may go on with its work, and for how long it was throttled.
func (t *turns) await(c *cpushare.Conn, work cpushare.Work) (throttled time.Duration) {
	t.mu.Lock()
	asked := t.now()
	turn := t.scheduler.Acquire(asked, c, work)
	if turn == nil {
		t.mu.Unlock()
		runtime.Gosched() // a goroutine that never waits is stopped only after 10 ms, and others wait as long
		return 0
	}
	granted := make(chan struct{})
	t.granted[turn] = granted
	t.grantLocked()
	t.mu.Unlock()
	<-granted
	return t.now() - asked
}

// grant gives the turns that are due.
func (t *turns) grant() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.grantLocked()
}

// grantLocked gives the turns that are due, and sets the timer for the next ones.
func (t *turns) grantLocked() {
	for {
		turn, retryAfter := t.scheduler.Next(t.now())
		if turn == nil {
			t.grantAfter(retryAfter)
			return
		}
		close(t.granted[turn])
		delete(t.granted, turn)
	}
}

// grantAfter sets the timer, unless no connection waits.
func (t *turns) grantAfter(delay time.Duration) {
	switch {
	case delay == 0:
	case t.timer == nil:
		t.timer = time.AfterFunc(max(delay, minGrantDelay), t.grant)
	default:
		t.timer.Reset(max(delay, minGrantDelay))
	}
}

// processorShare is what a connection knows of its turns. The goroutine that reads the connection uses it; net/http's
// goroutine that looks for a disconnect may do so at the same time.
type processorShare struct {
	turns *turns // nil: the connection never waits
	conn  *cpushare.Conn
}

// pauseWork charges the connection for what it has done since resumeWork.
func (c *Conn) pauseWork() {
	if began := c.workBegan.Swap(0); began != 0 && c.share.turns != nil {
		c.share.turns.charge(c.share.conn, time.Duration(c.now()-began))
	}
}

// resumeWork records that the connection's goroutine begins to work.
func (c *Conn) resumeWork() {
	if c.share.turns != nil {
		c.workBegan.Store(c.now())
	}
}

// awaitTurn waits until the connection may go on with its work. The time does not count for the limit of how long a head or
// a body may take.
func (c *Conn) awaitTurn(work cpushare.Work) {
	if c.share.turns == nil {
		return
	}
	c.pauseWork()
	throttled := c.share.turns.await(c.share.conn, work)
	c.resumeWork()
	if throttled == 0 {
		return
	}
	c.share.turns.report.add(c, throttled)
	if work == cpushare.HandleBytes && c.Phase() == PhaseInFlight {
		c.bodyThrottled.Add(int64(throttled))
		return
	}
	c.requestStarted.Add(int64(throttled))
}

// sideWork is what another goroutine than the one that reads a connection does for it.
type sideWork struct {
	share processorShare
}

// newSideWork returns the work of a goroutine, which has to call end.
func (c *Conn) newSideWork() sideWork {
	if c.share.turns == nil {
		return sideWork{}
	}
	return sideWork{processorShare{c.share.turns, c.share.turns.fork(c.share.conn)}}
}

// awaitTurn waits until the connection may go on.
func (w sideWork) awaitTurn() {
	if w.share.turns != nil {
		w.share.turns.await(w.share.conn, cpushare.HandleBytes)
	}
}

// charge charges the connection for what the goroutine has done.
func (w sideWork) charge(used time.Duration) {
	if w.share.turns != nil {
		w.share.turns.charge(w.share.conn, used)
	}
}

func (w sideWork) end() {
	if w.share.turns != nil {
		w.share.turns.disconnect(w.share.conn)
	}
}

// AwaitOthers calls wait, in which the connection's goroutine does nothing but wait for somebody else.
func (c *Conn) AwaitOthers(wait func()) {
	c.pauseWork()
	wait()
	c.resumeWork()
}

// TakeBodyThrottled returns for how long reading of bodies was throttled since the last call.
func (c *Conn) TakeBodyThrottled() time.Duration { return time.Duration(c.bodyThrottled.Swap(0)) }

// About how much processor time others take for a connection.
const (
	DecisionCost = 50 * time.Microsecond // the event loop, to decide on a request
	ForwardCost  = 20 * time.Microsecond // an attempt, to forward a piece of a body
)

// Charge charges the connection for what others do for it.
func (c *Conn) Charge(used time.Duration) {
	if c.share.turns != nil {
		c.share.turns.charge(c.share.conn, used)
	}
}
