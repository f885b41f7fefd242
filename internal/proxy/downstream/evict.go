package downstream

import (
	"net"
	"net/http"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/clientconn"
)

const (
	// When few connection slots are left, a connection without a complete request may be evicted:
	//   - an idle one after MinKeepAlive, for which clients may rely on a kept-alive connection;
	//   - one with an incomplete head once nothing has arrived for minHeadStall;
	//   - one with an incomplete body once nothing has arrived for minBodyStall, since a slow client may
	//     pause for several hundred milliseconds;
	//   - a new one that has sent nothing for minNewSilence, since it has also waited to be accepted.
	MinKeepAlive  = 2 * time.Second
	minHeadStall  = 250 * time.Millisecond
	minBodyStall  = 750 * time.Millisecond
	minNewSilence = 50 * time.Millisecond

	shortageFraction    = 0.75        // of maxConns; with more connections open, few slots are left
	shortageLogInterval = time.Second // between two log lines about a shortage

	// MaxRejectConns is how many connections beyond the limit are accepted, at most, to reject their
	// requests.
	MaxRejectConns = 32
)

// clientConnState is the state that the Server tracks for each client connection.
type clientConnState struct {
	state           http.ConnState
	since           time.Time // when state was entered
	requestComplete bool      // all of a request has arrived, and it is in flight
	interruptedAt   time.Time // when an eviction interrupted its upload; zero if none did
}

// trackConn is the http.Server's ConnState hook. It evicts a connection if a new one leaves few slots.
func (srv *Server) trackConn(c net.Conn, s http.ConnState) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(srv.conns, c)
		c.(*clientconn.Conn).Finished()
		return
	}
	if s == http.StateIdle {
		c.(*clientconn.Conn).ResponseSent()
	}
	srv.conns[c] = clientConnState{state: s, since: time.Now()}
	if s == http.StateNew && srv.isConnShortage(len(srv.conns)) {
		srv.makeRoomLocked()
	}
}

// isConnShortage reports whether so many open connections leave too few slots for others.
func (srv *Server) isConnShortage(open int) bool {
	return float64(open) > shortageFraction*float64(srv.maxConns.Load())
}

// SetLimits sets how many client connections are served, how many requests may be in flight, and how many
// connections beyond conns are accepted to reject their requests.
func (srv *Server) SetLimits(conns, inFlight, rejectConns int) {
	srv.maxConns.Store(int64(conns))
	srv.maxInFlight.Store(int64(inFlight))
	srv.Listener.SetLimit(conns + rejectConns)
}

// startInFlight counts a completely received request as in flight, so that its connection is not evicted
// before the response. Further reads only detect that the client disconnects, and have no deadline.
func (srv *Server) startInFlight(w http.ResponseWriter, r *http.Request, req *Request) (finish func(status int)) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	srv.markRequestComplete(c)
	return srv.requestStarted(req.ClassName)
}

// markRequestComplete records that all of the request on a connection has arrived, whether it has been read or
// not, so that the connection is not evicted before the response.
func (srv *Server) markRequestComplete(c net.Conn) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if s, ok := srv.conns[c]; ok {
		s.requestComplete = true
		srv.conns[c] = s
	}
}

// MakeRoom frees a slot by closing one connection, if any may be closed: see makeRoomLocked.
func (srv *Server) MakeRoom() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.makeRoomLocked()
}

// makeRoomLocked closes a lingering connection, or else evicts the one that has been evictable for longest.
// What counts is how long a connection has been silent, not its age: a slow client that keeps sending gets
// its response, one that has stopped sending may not.
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

// evictLocked closes a connection without a complete request. While a body is being received, the first call
// only interrupts the upload, so that the connection's own goroutine can reject the request; a later call
// closes the connection. It returns false if a request has arrived meanwhile.
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

// evictableFor returns for how long the connection has been evictable. If that is not positive, it may not be
// evicted.
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

// logShortageLocked logs what occupies the connection slots, at most once in shortageLogInterval.
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
	srv.logger.Warn("client capacity is short: connections are evicted or requests rejected",
		"open", len(srv.conns), "in_flight", inFlight, "idle", idle,
		"incomplete", len(srv.conns)-inFlight-idle, "evicted", srv.evicted, "rejected", srv.rejected)
	srv.lastLogged, srv.evicted, srv.rejected = time.Now(), 0, 0
}

// exceedsInFlight reports whether more requests are in flight than the limit allows, and if so counts the
// rejection that follows. Connections without a complete request do not count, since they can be evicted.
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

// inFlightLocked returns how many connections have a complete request without a response.
func (srv *Server) inFlightLocked() (n int) {
	for _, s := range srv.conns {
		if s.requestComplete {
			n++
		}
	}
	return n
}

// OpenConns returns the number of open client connections.
func (srv *Server) OpenConns() int {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	return len(srv.conns)
}

// closeIdle closes the connections that have been idle for idleFor, or new without a byte for newFor, and
// returns how many others there are. One on which a request has just arrived stays open, since closing it
// would lose that request. With rejectPartial, all connections without a complete head are closed, and a
// request whose head is incomplete is rejected.
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
