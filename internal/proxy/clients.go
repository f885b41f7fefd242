package proxy

import (
	"net"
	"net/http"
	"time"
)

const (
	// When connections run short, one without a whole request on it makes room: a kept one after idleLeast,
	// which is how long clients may count on it, one whose request is not whole once nothing has come for
	// stallLeast, or in its body for pauseLeast (a slow one may come in pieces some hundred milliseconds apart),
	// and a new one that has sent nothing after muteLeast: it has waited to be accepted, too.
	idleLeast  = 2 * time.Second
	stallLeast = 250 * time.Millisecond
	pauseLeast = 750 * time.Millisecond
	muteLeast  = 50 * time.Millisecond
	shedEvery  = 20 * time.Millisecond
	shortPart  = 0.75        // of the clients' part: connections run short beyond it
	shortQuiet = time.Second // between two lines in the log about that

	overCap = 32 // connections beyond the clients' part, to refuse on, at most
)

type connState struct {
	state http.ConnState
	since time.Time
	whole bool      // the request on it has come in
	cut   time.Time // when its request was ended to make room, if it was
}

func (f *frontend) connState(c net.Conn, s http.ConnState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(f.conns, c)
		return
	}
	if s == http.StateIdle {
		c.(*framedConn).answered()
	}
	f.conns[c] = connState{state: s, since: time.Now()}
	if s == http.StateNew && f.short(len(f.conns)) {
		f.shedLocked()
	}
}

// short tells whether so many connections leave too little room for others.
func (f *frontend) short(open int) bool { return float64(open) > shortPart*float64(f.most.Load()) }

// limit sets how many connections of clients are served, with how many requests in flight, and how many
// connections beyond these are taken to be refused.
func (f *frontend) limit(most, flight, over int) {
	f.most.Store(int64(most))
	f.flight.Store(int64(flight))
	f.listener.limit(most + over)
}

// cameWhole counts a request in that has come whole: it is owed its answer, and its connection is none to spare.
// A further read is only there to notice a client that goes.
func (f *frontend) cameWhole(w http.ResponseWriter, r *http.Request, req *request) *taken {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	f.mu.Lock()
	defer f.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if s, ok := f.conns[c]; ok {
		s.whole = true
		f.conns[c] = s
	}
	return f.loop.figs.take(req.class)
}

// shed closes the connection that can be spared best, if there is one.
func (f *frontend) shed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.shedLocked()
}

// shedLocked picks by how long a connection has been silent, not by its age: a slow client that keeps sending is
// owed its answer, one that has stopped is not. Those that have had their close already go first.
func (f *frontend) shedLocked() {
	if f.listener.lingers.endOldest() {
		return
	}
	var victim *framedConn
	var over time.Duration
	for c, s := range f.conns {
		fc := c.(*framedConn)
		if d := s.spare(fc); d > over && (fc.at() != resting || fc.raw == nil || quiet(c)) {
			victim, over = fc, d
		}
	}
	if victim != nil && f.cutLocked(victim) {
		f.shedded++
		f.sayShort()
	}
}

// cutLocked closes a connection with no whole request on it. One whose body is still coming is refused by its own
// goroutine, and closed if that takes long.
func (f *frontend) cutLocked(c *framedConn) bool {
	s := f.conns[c]
	if c.at() != passed {
		if !c.retire(true) {
			return false // a request has come
		}
	} else if s.cut.IsZero() {
		for u := range f.uploads {
			if u.conn == c {
				s.cut = time.Now()
				f.conns[c] = s
				u.end(&u.short)
				return true
			}
		}
	}
	c.closes("no_room")
	c.end()
	return true
}

// spare tells for how long a connection could have been closed to make room; not at all if that is not positive.
func (s connState) spare(c *framedConn) time.Duration {
	at := c.at()
	switch {
	case s.whole:
		return 0
	case !s.cut.IsZero():
		return time.Since(s.cut) - lingerLeast + pauseLeast
	case at == passed:
		return c.silent() - pauseLeast
	case at == heading:
		return c.silent() - stallLeast
	case s.state == http.StateIdle:
		return time.Since(s.since) - idleLeast
	}
	return c.silent() - muteLeast
}

// sayShort tells the log what holds the connections, now and then while they are short.
func (f *frontend) sayShort() {
	if time.Since(f.said) < shortQuiet {
		return
	}
	whole, idle := 0, 0
	for _, s := range f.conns {
		if s.whole {
			whole++
		} else if s.state == http.StateIdle {
			idle++
		}
	}
	f.log.Warn("client connections run short", "open", len(f.conns), "in_flight", whole, "idle", idle,
		"incomplete", len(f.conns)-whole-idle, "shed", f.shedded, "refused", f.refused)
	f.said, f.shedded, f.refused = time.Now(), 0, 0
}

// over tells whether more requests are in flight than there may be, and counts the refusal that follows.
// Connections without a whole request are no reason to refuse one: they give way.
func (f *frontend) over() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if int64(f.inFlight()) <= f.flight.Load() {
		return false
	}
	f.refused++
	f.sayShort()
	return true
}

// inFlight counts the connections whose request has come whole and has no answer yet.
func (f *frontend) inFlight() (n int) {
	for _, s := range f.conns {
		if s.whole {
			n++
		}
	}
	return n
}

func (f *frontend) open() int {
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
		if !(idle || cut) || !c.(*framedConn).retire(cut) {
			busy++
		}
	}
	return busy
}
