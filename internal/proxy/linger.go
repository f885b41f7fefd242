package proxy

import (
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/socket"
	"net"
	"sync"
	"syscall"
	"time"
)

// How a client's connection ends. A close over bytes that nobody has read resets the connection, and takes what the
// client has not received yet along, be it the answer that came just before. So the sending side is shut down first;
// what still comes is read and dropped, never passed on, until the client has closed its side too or lingerMost is over;
// then the descriptor is closed. A request that crosses the shutdown has no answer: its client sends it once more.

const (
	lingerTimeout  = 500 * time.Millisecond
	minLinger      = 20 * time.Millisecond // even where slots are short
	maxLingerBytes = 1 << 20               // a peer that goes on sending has had its close
)

// busyAnswer is for a request that was cut short before it was whole. It has not been sent on and may come again.
const rejectionText = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// lingers holds the connections that have been shut down and are not closed yet.
type lingeringConns struct {
	mu    sync.Mutex
	since map[*clientConn]time.Time
}

func (l *lingeringConns) add(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.since == nil {
		l.since = map[*clientConn]time.Time{}
	}
	l.since[c] = time.Now()
}

func (l *lingeringConns) remove(c *clientConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.since, c)
}

func (l *lingeringConns) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.since)
}

// endOldest closes the one that has lingered longest, if any has for lingerLeast.
func (l *lingeringConns) closeOldest() bool {
	l.mu.Lock()
	var oldest *clientConn
	for c, t := range l.since {
		if oldest == nil || t.Before(l.since[oldest]) {
			oldest = c
		}
	}
	if oldest != nil && time.Since(l.since[oldest]) < minLinger {
		oldest = nil
	}
	l.mu.Unlock()
	if oldest == nil {
		return false
	}
	oldest.closeNow()
	return true
}

// retire ends a connection that has no request on it, or with cut one whose head is not whole: that is refused. False
// if a request has come, even one that is not read yet.
func (c *clientConn) closeUnused(cut bool) bool {
	c.mu.Lock()
	switch {
	case c.discarding, c.phase == phaseInFlight, c.phase == phaseReadingHead && !cut, c.phase == phaseIdle && c.rawConn != nil && !socket.Quiet(c.Conn):
		c.mu.Unlock()
		return false
	case c.phase == phaseReadingHead:
		c.writeRejectionLocked()
	}
	c.auditClose(audit.ClientConnUnused)
	lingers := c.startLingerLocked()
	c.mu.Unlock()
	if !lingers {
		c.closeNow()
	}
	return true
}

// refuseLocked answers a request that is not whole, in one write that does not wait: if there is no room for so little,
// the client takes nothing.
func (c *clientConn) writeRejectionLocked() {
	if c.rawConn != nil {
		_ = c.rawConn.Write(func(fd uintptr) bool {
			_, _ = syscall.Write(int(fd), []byte(rejectionText))
			return true
		})
	}
}

// shutLocked ends the sending side; from here on all that comes is dropped. False if it cannot be shut by itself.
func (c *clientConn) startLingerLocked() bool {
	if c.discarding {
		return !c.closed
	}
	c.discarding = true
	cw, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || cw.CloseWrite() != nil {
		return false
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.listener.lingering.add(c)
	go c.discardInput()
	return true
}

// drop reads what still comes, beside whoever reads already, until the client or the time ends it.
func (c *clientConn) discardInput() {
	defer c.closeNow()
	buf := make([]byte, 2<<10) // there may be many
	for left := maxLingerBytes; left > 0; {
		n, err := c.Conn.Read(buf)
		if err != nil {
			return
		}
		left -= n
	}
}

// end closes the descriptor and gives the slot back.
func (c *clientConn) closeNow() {
	c.mu.Lock()
	first := !c.closed
	c.discarding, c.closed = true, true
	c.mu.Unlock()
	if first {
		_ = c.Conn.Close()
		c.listener.lingering.remove(c)
		c.releaseMemory()
		c.listener.releaseSlot() // the slot
	}
}

// Close ends the connection as soon as its client has taken what it was sent, or lingerMost later.
func (c *clientConn) Close() error {
	c.mu.Lock()
	if !c.discarding {
		c.auditClose(audit.ClientConnDone)
	}
	lingers := c.startLingerLocked()
	c.mu.Unlock()
	if !lingers {
		c.closeNow()
	}
	return nil
}

// CloseWrite lets net/http end an answer gently before it closes on a peer that still sends.
func (c *clientConn) CloseWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.startLingerLocked() {
		return net.ErrClosed
	}
	return nil
}

// SetReadDeadline leaves a connection that lingers the time that it has.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline is not to go round SetReadDeadline.
func (c *clientConn) SetDeadline(t time.Time) error {
	_ = c.Conn.SetWriteDeadline(t)
	return c.SetReadDeadline(t)
}

// markUnanswered notes that a request has been taken on the connection; markAnswered, that it has its response or that
// nobody waits for one.
func (c *clientConn) markUnanswered(id string) { c.unanswered.Store(&id) }
func (c *clientConn) markAnswered()            { c.unanswered.Store(nil) }

// auditClose notes that the proxy closes the connection, and why. Under an unanswered request that breaks a rule.
func (c *clientConn) auditClose(reason audit.Event) {
	recorder := c.listener.audit
	if recorder == nil {
		return
	}
	recorder.Count(reason)
	if id := c.unanswered.Load(); id != nil {
		recorder.RecordViolations(invariant.ConnClosed(*id, string(reason)+" by "+audit.Callers()))
		c.markAnswered()
	}
}
