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

// How a client's connection ends. A close over bytes that nobody has read resets the connection, and takes along what the
// client has not received yet, such as the response just before. So the sending side is shut down first; what still comes is
// read and discarded, never passed on, until the client has closed its side too or LingerTimeout is over; then the
// descriptor is closed. A request that crosses the shutdown has no response: its client sends it once more.

const maxLingerBytes = 1 << 20 // discarded of a peer that goes on sending

// RejectionText is for a request that was cut short before it was complete. It was never forwarded and may come again.
const RejectionText = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// LingeringConns are the connections that have been shut down and are not closed yet. Any goroutine may use it.
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

// Count is how many there are.
func (l *LingeringConns) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.since)
}

// CloseOldest closes the one that has lingered longest, if any has for MinLinger.
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

// CloseUnused ends a connection that has no request on it, and with rejectPartial one whose head is not complete: that gets
// RejectionText. False if a request has come, even one that is not read yet.
func (c *Conn) CloseUnused(rejectPartial bool) bool {
	c.mu.Lock()
	switch {
	case c.discarding, c.phase == PhaseInFlight, c.phase == PhaseReadingHead && !rejectPartial, c.phase == PhaseIdle && c.rawConn != nil && !socket.Quiet(c.Conn):
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

// writeRejectionLocked rejects a request that is not complete, in one write that does not wait: if there is no room for so
// little, the client reads nothing.
func (c *Conn) writeRejectionLocked() {
	if c.rawConn != nil {
		_ = c.rawConn.Write(func(fd uintptr) bool {
			_, _ = syscall.Write(int(fd), []byte(RejectionText))
			return true
		})
	}
}

// startLingerLocked ends the sending side; from here on all that comes is discarded. False if that side cannot be ended by
// itself, or the connection is closed.
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

// discardInput reads what still comes, beside whoever reads already, until the client or the read deadline ends it. It runs
// in a goroutine of its own, which closes the connection.
func (c *Conn) discardInput() {
	defer c.CloseNow()
	buf := make([]byte, 2<<10) // there may be many
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
		c.discarded.Add(int64(n))
	}
}

// CloseNow closes the descriptor and gives its slot back.
func (c *Conn) CloseNow() {
	c.mu.Lock()
	first, phase := !c.closed, c.phase
	c.discarding, c.closed = true, true
	c.mu.Unlock()
	if first {
		c.auditClosed(phase)
		_ = c.Conn.Close()
		c.listener.Lingering.remove(c)
		c.releaseMemory()
		c.listener.releaseSlot()
	}
}

// Close ends the connection as soon as its client has received what it was sent, or LingerTimeout later.
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

// CloseWrite lets net/http end a response in order before it closes on a peer that still sends.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startLingerLocked() {
		return net.ErrClosed
	}
	return nil
}

// SetReadDeadline does nothing to a connection that lingers, which has a deadline of its own.
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

// MarkInFlight notes that a request has been taken on the connection, by its ID.
func (c *Conn) MarkInFlight(id string) { c.unanswered.Store(&id) }

// MarkAnswered notes that the request has its response, or that nobody waits for one.
func (c *Conn) MarkAnswered() { c.unanswered.Store(nil) }

// AuditClose notes that the proxy closes the connection, and why. Under an unanswered request that breaks a rule.
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

// auditClosed notes how the connection has ended.
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
