package downstream

import (
	"net"
	"net/http"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
)

const (
	// When connections run short, one without a complete request on it makes room: a kept one after MinKeepAlive, which is
	// how long clients may count on it; one whose request is not complete once nothing has come for minHeadStall, or in its
	// body for minBodyStall (a slow client may pause for some hundred milliseconds); and a new one that has sent nothing
	// after minNewSilence, since it has waited to be accepted too.
	MinKeepAlive  = 2 * time.Second
	minHeadStall  = 250 * time.Millisecond
	minBodyStall  = 750 * time.Millisecond
	minNewSilence = 50 * time.Millisecond

	shortageFraction    = 0.75        // of maxConns: beyond it connections run short
	shortageLogInterval = time.Second // between two log lines about that

	// MaxRejectConns is how many connections are accepted at most beyond the limit, to reject requests on.
	MaxRejectConns = 32
)

// clientConnState is what the Server knows of a client's connection.
type clientConnState struct {
	state           http.ConnState
	since           time.Time // of state
	requestComplete bool      // the request on it has come, and is in flight
	interruptedAt   time.Time // when its upload was stopped to make room; zero: it was not
}

// trackConn is the server's ConnState hook.
func (srv *Server) trackConn(c net.Conn, s http.ConnState) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(srv.conns, c)
		return
	}
	if s == http.StateIdle {
		c.(*clientconn.Conn).ResponseSent()
	}
	srv.conns[c] = clientConnState{state: s, since: time.Now()}
	if s == http.StateNew && srv.isShort(len(srv.conns)) {
		srv.makeRoomLocked()
	}
}

// isShort reports whether so many connections leave too little room for others.
func (srv *Server) isShort(open int) bool {
	return float64(open) > shortageFraction*float64(srv.maxConns.Load())
}

// SetLimits sets how many connections of clients are served, with how many requests in flight, and how many connections
// beyond these are accepted to reject on.
func (srv *Server) SetLimits(conns, inFlight, rejectConns int) {
	srv.maxConns.Store(int64(conns))
	srv.maxInFlight.Store(int64(inFlight))
	srv.Listener.SetLimit(conns + rejectConns)
}

// startInFlight counts a request in that has come: its connection is not to be evicted before its response. Reads from now
// on only notice a client that goes, and have no deadline.
func (srv *Server) startInFlight(w http.ResponseWriter, r *http.Request, req *Request) (finish func(status int)) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	srv.mu.Lock()
	defer srv.mu.Unlock()
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	if s, ok := srv.conns[c]; ok {
		s.requestComplete = true
		srv.conns[c] = s
	}
	return srv.requestStarted(req.ClassName)
}

// MakeRoom closes the connection that can be spared best, if there is one.
func (srv *Server) MakeRoom() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.makeRoomLocked()
}

// makeRoomLocked closes a lingering connection, or the one that could have been evicted for longest: what counts is how long
// it has been silent, not its age. A slow client that keeps sending gets its response, one that has stopped may not.
func (srv *Server) makeRoomLocked() {
	if srv.Listener.Lingering.CloseOldest() {
		return
	}
	var victim *clientconn.Conn
	var longest time.Duration
	for c, state := range srv.conns {
		conn := c.(*clientconn.Conn)
		if d := state.evictableFor(conn); d > longest && !conn.HasUnreadRequest() {
			victim, longest = conn, d
		}
	}
	if victim != nil && srv.evictLocked(victim) {
		srv.evicted++
		srv.logShortageLocked()
	}
}

// evictLocked closes a connection without a complete request on it. One whose body is still coming is first interrupted, so
// that its own goroutine can reject it; a later call closes it. False if a request has come.
func (srv *Server) evictLocked(c *clientconn.Conn) bool {
	s := srv.conns[c]
	if c.Phase() != clientconn.PhaseInFlight {
		if !c.CloseUnused(true) {
			return false
		}
	} else if s.interruptedAt.IsZero() {
		for u := range srv.uploads {
			if u.conn == c {
				s.interruptedAt = time.Now()
				srv.conns[c] = s
				u.stop(errConnShortage)
				return true
			}
		}
	}
	c.AuditClose(audit.ClientConnNoRoom)
	c.CloseNow()
	return true
}

// evictableFor is for how long a connection could have been evicted; not at all if that is not positive.
func (s clientConnState) evictableFor(c *clientconn.Conn) time.Duration {
	phase := c.Phase()
	switch {
	case s.requestComplete:
		return 0
	case !s.interruptedAt.IsZero():
		return time.Since(s.interruptedAt) - clientconn.MinLinger + minBodyStall
	case phase == clientconn.PhaseInFlight:
		return c.SinceLastReceived() - minBodyStall
	case phase == clientconn.PhaseReadingHead:
		return c.SinceLastReceived() - minHeadStall
	case s.state == http.StateIdle:
		return time.Since(s.since) - MinKeepAlive
	}
	return c.SinceLastReceived() - minNewSilence
}

// logShortageLocked logs what holds the connections, once in shortageLogInterval while they are short.
func (srv *Server) logShortageLocked() {
	if time.Since(srv.lastLogged) < shortageLogInterval {
		return
	}
	inFlight, idle := 0, 0
	for _, state := range srv.conns {
		if state.requestComplete {
			inFlight++
		} else if state.state == http.StateIdle {
			idle++
		}
	}
	srv.logger.Warn("client connections run short", "open", len(srv.conns), "in_flight", inFlight, "idle", idle,
		"incomplete", len(srv.conns)-inFlight-idle, "evicted", srv.evicted, "rejected", srv.rejected)
	srv.lastLogged, srv.evicted, srv.rejected = time.Now(), 0, 0
}

// exceedsInFlight reports whether more requests are in flight than there may be, and counts the rejection that follows.
// Connections without a complete request are no reason to reject one: they give way.
func (srv *Server) exceedsInFlight() bool {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if int64(srv.inFlightLocked()) <= srv.maxInFlight.Load() {
		return false
	}
	srv.rejected++
	srv.logShortageLocked()
	return true
}

// inFlightLocked counts the connections whose request has come and has no response yet.
func (srv *Server) inFlightLocked() (n int) {
	for _, s := range srv.conns {
		if s.requestComplete {
			n++
		}
	}
	return n
}

// OpenConns is how many connections of clients there are.
func (srv *Server) OpenConns() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.conns)
}

// closeIdle closes the connections that have been idle, or new without a byte, for some time, and returns how many others
// there are. One on which a request has just come is left alone: closing it would lose that request. With rejectPartial,
// those whose request has no complete head yet are rejected.
func (srv *Server) closeIdle(idleFor, newFor time.Duration, rejectPartial bool) (busy int) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for c, s := range srv.conns {
		d := time.Since(s.since)
		idle := s.state == http.StateIdle && d >= idleFor || s.state == http.StateNew && d > newFor
		if !(idle || rejectPartial) || !c.(*clientconn.Conn).CloseUnused(rejectPartial) {
			busy++
		}
	}
	return busy
}
