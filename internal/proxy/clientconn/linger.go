package clientconn

import (
	"net"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/socket"
)

// How a client connection is closed: closing a socket with unread bytes resets the connection, and drops what
// the client has not received yet, such as the last response. So the sending side is shut down first. What
// still arrives is read and discarded, never passed on, until the client has closed its side too or
// LingerTimeout is over; then the descriptor is closed. A request that the client sends before it has
// received the shutdown gets no response: the client sends it again.

const (
	maxLingerBytes = 1 << 20 // bytes discarded, at most, of a peer that keeps sending
	// discardCost is about how much processor time it takes to read some of them.
	discardCost = 5 * time.Microsecond
)

// RejectionText is the response to a request that was cut off before its head was complete. The request was
// never forwarded, so the client may send it again.
const RejectionText = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// LingeringConns is the set of connections that are shut down and not closed yet. Any goroutine may use it.
type LingeringConns struct {
	mu    sync.Mutex
	since map[*Conn]time.Time
}

func (l *LingeringConns) add(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = map[*Conn]time.Time{}
	}
	l.since[c] = time.Now()
}

func (l *LingeringConns) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.since, c)
}

// Count returns the number of lingering connections.
func (l *LingeringConns) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.since)
}

// CloseOldest closes the connection that has lingered longest, if that is at least MinLinger, and reports
// whether it closed one.
func (l *LingeringConns) CloseOldest() bool {
	l.mu.Lock()
	var oldest *Conn
	for c, t := range l.since {
		if oldest == nil || t.Before(l.since[oldest]) {
			oldest = c
		}
	}
	if oldest != nil && time.Since(l.since[oldest]) < MinLinger {
		oldest = nil
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.CloseNow()
	return true
}

// CloseUnused closes a connection that has no request on it. With rejectPartial it also closes one whose head
// is incomplete, with RejectionText as the response. It returns false if a request has arrived, even one that
// is not read yet, or if the connection is already discarding.
func (c *Conn) CloseUnused(rejectPartial bool) bool {
	c.mu.Lock()
	switch {
	case c.discarding, c.phase == PhaseInFlight, c.phase == PhaseReadingHead && !rejectPartial,
		c.phase == PhaseIdle && c.rawConn != nil && !socket.IsIdle(c.Conn):
		c.mu.Unlock()
		return false
	case c.phase == PhaseReadingHead:
		c.writeRejectionLocked()
	}
	c.AuditClose(audit.ClientConnUnused)
	lingering := c.startLingerLocked()
	c.mu.Unlock()
	if !lingering {
		c.CloseNow()
	}
	return true
}

// writeRejectionLocked writes RejectionText with one write that does not block. If the socket's send buffer
// has no room for these few bytes, the client is not reading anyway.
func (c *Conn) writeRejectionLocked() {
	if c.rawConn != nil {
		_ = c.rawConn.Write(func(fd uintptr) bool {
			_, _ = syscall.Write(int(fd), []byte(RejectionText))
			return true
		})
	}
}

// startLingerLocked shuts down the sending side; all that arrives from then on is discarded. It returns false
// if the sending side cannot be shut down on its own, or the connection is closed.
func (c *Conn) startLingerLocked() bool {
	if c.discarding {
		return !c.closed
	}
	c.discarding = true
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || cw.CloseWrite() != nil {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(LingerTimeout))
	c.listener.Lingering.add(c)
	go c.discardInput()
	return true
}

// discardInput reads and drops what still arrives, concurrently with any other reader, until the client
// closes its side, the read deadline passes or maxLingerBytes have been read. Then it closes the connection.
// It runs in a goroutine of its own.
func (c *Conn) discardInput() {
	defer c.CloseNow()
	work := c.newSideWork()
	defer work.end()
	buf := make([]byte, 2<<10) // small, since many connections may linger
	for left := maxLingerBytes; left > 0; {
		work.awaitTurn()
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		work.charge(discardCost)
		left -= n
		c.discarded.Add(int64(n))
	}
}

// CloseNow closes the descriptor.
func (c *Conn) CloseNow() {
	c.mu.Lock()
	first, phase := !c.closed, c.phase
	c.discarding, c.closed = true, true
	c.mu.Unlock()
	if first {
		c.auditClosed(phase)
		_ = c.Conn.Close()
		c.listener.Lingering.remove(c)
		c.releaseSlotHolder()
	}
}

// Finished is to be called when net/http has finished with the connection. Its request takes memory, and its
// goroutine runs, until then, though the descriptor may have been closed before.
func (c *Conn) Finished() {
	c.releaseMemory()
	c.releaseSlotHolder()
}

// releaseSlotHolder releases the connection's slot with the last of its holders.
func (c *Conn) releaseSlotHolder() {
	if c.slotHolders.Add(-1) == 0 {
		c.listener.turns.disconnect(c.share.conn)
		c.listener.releaseSlot()
	}
}

// Close shuts the connection down. Its descriptor is closed once the client has received everything and
// closed its side, or after LingerTimeout.
func (c *Conn) Close() error {
	c.mu.Lock()
	if !c.discarding {
		c.AuditClose(audit.ClientConnDone)
	}
	lingering := c.startLingerLocked()
	c.mu.Unlock()
	if !lingering {
		c.CloseNow()
	}
	return nil
}

// CloseWrite lets net/http finish a response in order before it closes a connection whose peer still sends.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startLingerLocked() {
		return net.ErrClosed
	}
	return nil
}

// SetReadDeadline has no effect on a connection that is discarding, since a lingering one has its own
// deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets both deadlines, the one for reads through SetReadDeadline.
func (c *Conn) SetDeadline(t time.Time) error {
	_ = c.Conn.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// MarkInFlight records the ID of the request that has been accepted on the connection.
func (c *Conn) MarkInFlight(id string) { c.unanswered.Store(&id) }

// MarkAnswered records that the request has its response, or that nobody waits for one.
func (c *Conn) MarkAnswered() { c.unanswered.Store(nil) }

// AuditClose records that the proxy closes the connection, and why. If a request on it has no response, that
// is recorded as a broken rule.
func (c *Conn) AuditClose(reason audit.Event) {
	recorder := c.listener.audit
	if recorder == nil {
		return
	}
	recorder.Count(reason)
	c.closeReason.CompareAndSwap(nil, &reason)
	if id := c.unanswered.Load(); id != nil {
		recorder.RecordViolations(invariant.ConnClosed(*id, string(reason)+" by "+audit.Callers()))
		c.MarkAnswered()
	}
}

// auditClosed records how the connection was closed, and in which phase.
func (c *Conn) auditClosed(phase Phase) {
	if c.listener.audit == nil {
		return
	}
	end := audit.ConnClosed{Address: c.RemoteAddr().String(), Phase: phase.String(), Discarded: c.discarded.Load()}
	if reason := c.closeReason.Load(); reason != nil {
		end.Reason = *reason
	}
	c.listener.audit.RecordConnClosed(end)
}
