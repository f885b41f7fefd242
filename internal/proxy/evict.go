package proxy

import (
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/socket"
	"net"
	"net/http"
	"time"
)

const (
	// When connections run short, one without a whole request on it makes room: a kept one after idleLeast,
	// which is how long clients may count on it, one whose request is not whole once nothing has come for
	// stallLeast, or in its body for pauseLeast (a slow one may come in pieces some hundred milliseconds apart),
	// and a new one that has sent nothing after muteLeast: it has waited to be accepted, too.
	minKeepAlive        = 2 * time.Second
	minHeadStall        = 250 * time.Millisecond
	minBodyStall        = 750 * time.Millisecond
	minNewSilence       = 50 * time.Millisecond
	makeRoomInterval    = 20 * time.Millisecond
	shortageFraction    = 0.75        // of the clients' part: connections run short beyond it
	shortageLogInterval = time.Second // between two lines in the log about that

	maxRejectConns = 32 // connections beyond the clients' part, to refuse on, at most
)

type clientConnState struct {
	state           http.ConnState
	since           time.Time
	requestComplete bool      // the request on it has come in
	interruptedAt   time.Time // when its request was ended to make room, if it was
}

func (f *frontend) trackConn(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	if s == http.StateIdle {
		c.(*clientConn).responseSent()
	}
	f.conns[c] = clientConnState{state: s, since: time.Now()}
	if s == http.StateNew && f.isShort(len(f.conns)) {
		f.makeRoomLocked()
	}
}

// short tells whether so many connections leave too little room for others.
func (f *frontend) isShort(open int) bool {
	return float64(open) > shortageFraction*float64(f.maxConns.Load())
}

// limit sets how many connections of clients are served, with how many requests in flight, and how many
// connections beyond these are taken to be refused.
func (f *frontend) setLimits(most, flight, over int) {
	f.maxConns.Store(int64(most))
	f.maxInFlight.Store(int64(flight))
	f.listener.setLimit(most + over)
}

// cameWhole counts a request in that has come whole: it is owed its answer, and its connection is none to spare.
// A further read is only there to notice a client that goes.
func (f *frontend) markComplete(w http.ResponseWriter, r *http.Request, req *request) *inFlightRequest {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if s, ok := f.conns[c]; ok {
		s.requestComplete = true
		f.conns[c] = s
	}
	return f.loop.metrics.requestStarted(req.className)
}

// shed closes the connection that can be spared best, if there is one.
func (f *frontend) makeRoom() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.makeRoomLocked()
}

// shedLocked picks by how long a connection has been silent, not by its age: a slow client that keeps sending is
// owed its answer, one that has stopped is not. Those that have had their close already go first.
func (f *frontend) makeRoomLocked() {
	if f.listener.lingering.closeOldest() {
		return
	}
	var victim *clientConn
	var over time.Duration
	for c, s := range f.conns {
		fc := c.(*clientConn)
		if d := s.evictableFor(fc); d > over && (fc.currentPhase() != phaseIdle || fc.rawConn == nil || socket.Quiet(c)) {
			victim, over = fc, d
		}
	}
	if victim != nil && f.evictLocked(victim) {
		f.evicted++
		f.logShortageLocked()
	}
}

// cutLocked closes a connection with no whole request on it. One whose body is still coming is refused by its own
// goroutine, and closed if that takes long.
func (f *frontend) evictLocked(c *clientConn) bool {
	s := f.conns[c]
	if c.currentPhase() != phaseInFlight {
		if !c.closeUnused(true) {
			return false // a request has come
		}
	} else if s.interruptedAt.IsZero() {
		for u := range f.uploads {
			if u.conn == c {
				s.interruptedAt = time.Now()
				f.conns[c] = s
				u.interrupt(&u.connShortage)
				return true
			}
		}
	}
	c.auditClose(audit.ClientConnNoRoom)
	c.closeNow()
	return true
}

// spare tells for how long a connection could have been closed to make room; not at all if that is not positive.
func (s clientConnState) evictableFor(c *clientConn) time.Duration {
	at := c.currentPhase()
	switch {
	case s.requestComplete:
		return 0
	case !s.interruptedAt.IsZero():
		return time.Since(s.interruptedAt) - minLinger + minBodyStall
	case at == phaseInFlight:
		return c.sinceLastReceived() - minBodyStall
	case at == phaseReadingHead:
		return c.sinceLastReceived() - minHeadStall
	case s.state == http.StateIdle:
		return time.Since(s.since) - minKeepAlive
	}
	return c.sinceLastReceived() - minNewSilence
}

// sayShort tells the log what holds the connections, now and then while they are short.
func (f *frontend) logShortageLocked() {
	if time.Since(f.lastLogged) < shortageLogInterval {
		return
	}
	whole, idle := 0, 0
	for _, s := range f.conns {
		if s.requestComplete {
			whole++
		} else if s.state == http.StateIdle {
			idle++
		}
	}
	f.logger.Warn("client connections run short", "open", len(f.conns), "in_flight", whole, "idle", idle,
		"incomplete", len(f.conns)-whole-idle, "shed", f.evicted, "refused", f.rejected)
	f.lastLogged, f.evicted, f.rejected = time.Now(), 0, 0
}

// over tells whether more requests are in flight than there may be, and counts the refusal that follows.
// Connections without a whole request are no reason to refuse one: they give way.
func (f *frontend) exceedsInFlight() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(f.inFlightLocked()) <= f.maxInFlight.Load() {
		return false
	}
	f.rejected++
	f.logShortageLocked()
	return true
}

// inFlight counts the connections whose request has come whole and has no answer yet.
func (f *frontend) inFlightLocked() (n int) {
	for _, s := range f.conns {
		if s.requestComplete {
			n++
		}
	}
	return n
}

func (f *frontend) openConns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// closeIdle closes the connections that have carried no request for some time, and returns how many others there
// are. One on which a request has just come in is left alone: closing it would lose that request. With cut those whose
// request has no whole head yet are refused.
func (f *frontend) closeIdle(idleFor, newFor time.Duration, cut bool) (busy int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c, s := range f.conns {
		d := time.Since(s.since)
		idle := s.state == http.StateIdle && d >= idleFor || s.state == http.StateNew && d > newFor
		if !(idle || cut) || !c.(*clientConn).closeUnused(cut) {
			busy++
		}
	}
	return busy
}
