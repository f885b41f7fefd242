package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is the lab's side of a connection over a link.
type Conn struct {
	raw      *net.TCPConn
	link     *Link
	incoming queue // bytes from the program under test
	outgoing queue // bytes to the program under test
	closed   chan struct{}
	once     sync.Once

	received, sent *direction // traffic counters of the link

	reportedCut *effectState // last reported cut; used by receiveLoop only

	mu              sync.Mutex
	deadline        time.Time
	deadlineChanged chan struct{} // holds one value after SetReadDeadline
	readAt          time.Time     // see LastReadAt

	closedBeforeWrite atomic.Bool // see PeerClosedBeforeWrite
}

// chunk holds bytes and the time at which they pass the link, or the end of a stream.
type chunk struct {
	data        []byte
	due         time.Time
	readAt      time.Time       // when it was read from the socket
	end         error           // incoming: the read error; outgoing: io.EOF to close the connection
	beforeWrite func(time.Time) // called before the write to the socket
	afterWrite  func(time.Time) // called after the write to the socket
}

// queue holds the chunks of one direction of a connection until they are due.
type queue struct {
	mu      sync.Mutex
	chunks  []chunk
	bytes   int
	lastDue time.Time               // due time of the newest chunk; later chunks are not due earlier
	changed chan struct{}           // holds one value after a chunk was queued
	isCut   func(*effectState) bool // whether an effect cuts this direction
}

// newConn adds a connection to a link and starts its goroutines; dialled tells whether this process dialled
// it.
func (l *Link) newConn(raw *net.TCPConn, dialled bool) *Conn {
	conn := &Conn{raw: raw, link: l, closed: make(chan struct{}), deadlineChanged: make(chan struct{}, 1)}
	out, back := func(s *effectState) bool { return s.CutOut }, func(s *effectState) bool { return s.CutBack }
	conn.incoming, conn.outgoing = queue{isCut: out}, queue{isCut: back}
	conn.received, conn.sent = &l.traffic.fromDialer, &l.traffic.toDialer
	l.traffic.conns.Add(1)
	if dialled {
		conn.received, conn.sent = conn.sent, conn.received
		conn.incoming.isCut, conn.outgoing.isCut = back, out
	}
	conn.incoming.changed, conn.outgoing.changed = make(chan struct{}, 1), make(chan struct{}, 1)
	_ = raw.SetNoDelay(true)
	l.mu.Lock()
	l.conns[conn] = struct{}{}
	l.mu.Unlock()
	go conn.receiveLoop()
	go conn.sendLoop()
	return conn
}

// enqueue adds a chunk to a queue, due after the delays of the link and its effects.
func (c *Conn) enqueue(q *queue, chunk chunk) {
	effect := c.link.effect.Load()
	due := time.Now().Add(c.link.delay + effect.Delay + c.link.retransmitDelay(effect.Loss))
	q.mu.Lock()
	if due.Before(q.lastDue) {
		due = q.lastDue
	}
	chunk.due, q.lastDue = due, due
	q.chunks = append(q.chunks, chunk)
	q.bytes += len(chunk.data)
	q.mu.Unlock()
	q.notify()
}

// notify wakes the goroutine that waits for chunks.
func (q *queue) notify() {
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// receiveLoop moves bytes from the socket to the incoming queue.
func (c *Conn) receiveLoop() {
	for {
		buf := make([]byte, 4<<10)
		n, err := c.raw.Read(buf)
		at := time.Now()
		if n > 0 {
			c.received.add(n)
			c.enqueue(&c.incoming, chunk{data: buf[:n], readAt: at})
			c.reportCut(at)
		}
		if err != nil {
			c.enqueue(&c.incoming, chunk{end: err, readAt: at})
			return
		}
		for c.incoming.isFull() {
			select {
			case <-c.closed:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}
}

// isFull reports whether the queue holds more than maxQueueBytes.
func (q *queue) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes > maxQueueBytes
}

// sendLoop moves chunks from the outgoing queue to the socket when they are due.
func (c *Conn) sendLoop() {
	for {
		outgoing, err := c.next(&c.outgoing, false)
		if err != nil {
			return
		}
		if outgoing.beforeWrite != nil {
			outgoing.beforeWrite(time.Now())
		}
		if outgoing.afterWrite != nil {
			c.closedBeforeWrite.Store(hasPeerClosed(c.raw))
		}
		if len(outgoing.data) > 0 {
			c.sent.add(len(outgoing.data))
			if _, err := c.raw.Write(outgoing.data); err != nil {
				c.enqueue(&c.incoming, chunk{end: err, readAt: time.Now()})
				c.close()
				return
			}
		}
		if outgoing.afterWrite != nil {
			outgoing.afterWrite(time.Now())
		}
		if outgoing.end != nil {
			c.close()
			return
		}
	}
}

// next waits until the first chunk of a queue is due and the link is not cut, and takes the chunk. With
// reading set it also ends at the read deadline, with os.ErrDeadlineExceeded.
func (c *Conn) next(q *queue, reading bool) (chunk, error) {
	for {
		effect := c.link.effect.Load()
		first, wait, ok := q.dequeue(effect)
		if ok {
			return first, nil
		}
		var deadlineChanged <-chan struct{}
		if reading {
			deadlineChanged = c.deadlineChanged
			if wait, ok = c.untilDeadline(wait); !ok {
				return chunk{}, os.ErrDeadlineExceeded
			}
		}
		var due <-chan time.Time
		if wait >= 0 {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-q.changed:
		case <-deadlineChanged:
		case <-effect.changed:
		case <-c.closed:
			return chunk{}, net.ErrClosed
		}
	}
}

// dequeue takes the first chunk if it is due and the link is not cut. Otherwise wait is the time until it is
// due, or negative if there is no chunk or the link is cut.
func (q *queue) dequeue(effect *effectState) (first chunk, wait time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.chunks) == 0 || q.isCut(effect) {
		return chunk{}, -1, false
	}
	first = q.chunks[0]
	if wait = time.Until(first.due); wait > 0 {
		return chunk{}, wait, false
	}
	q.chunks = q.chunks[1:]
	q.bytes -= len(first.data)
	return first, 0, true
}

// untilDeadline returns the shorter of wait and the time until the read deadline; a negative wait has no
// limit. It returns false if the deadline has passed.
func (c *Conn) untilDeadline(wait time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	deadline := c.deadline
	c.mu.Unlock()
	if deadline.IsZero() {
		return wait, true
	}
	left := time.Until(deadline)
	if left <= 0 {
		return 0, false
	}
	if wait < 0 || left < wait {
		wait = left
	}
	return wait, true
}

// Read reads bytes that have passed the link. A reset by the peer is returned as the socket's error.
func (c *Conn) Read(b []byte) (int, error) {
	received, err := c.next(&c.incoming, true)
	if err != nil {
		return 0, err
	}
	if received.end != nil {
		c.incoming.mu.Lock()
		c.incoming.chunks = append(c.incoming.chunks, received) // later reads return the same error
		c.incoming.mu.Unlock()
		c.mu.Lock()
		c.readAt = received.readAt
		c.mu.Unlock()
		return 0, received.end
	}
	n := copy(b, received.data)
	if n < len(received.data) {
		received.data = received.data[n:]
		c.incoming.mu.Lock()
		c.incoming.chunks = append([]chunk{received}, c.incoming.chunks...)
		c.incoming.bytes += len(received.data)
		c.incoming.mu.Unlock()
	}
	c.mu.Lock()
	c.readAt = received.readAt
	c.mu.Unlock()
	return n, nil
}

// LastReadAt returns when the bytes of the last Read were read from the socket, before the link's delay.
func (c *Conn) LastReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// PeerClosedBeforeWrite reports whether the peer had closed its sending side before the bytes of the last
// WriteThen were written to the socket, so that it cannot have answered them. It asks the kernel, since on a
// busy machine the end may be read from the socket much later than it arrived.
func (c *Conn) PeerClosedBeforeWrite() bool { return c.closedBeforeWrite.Load() }

// PeerClosed reports whether the peer's close or reset has passed the link.
func (c *Conn) PeerClosed() bool {
	effect := c.link.effect.Load()
	c.incoming.mu.Lock()
	defer c.incoming.mu.Unlock()
	if len(c.incoming.chunks) == 0 || c.incoming.isCut(effect) {
		return false
	}
	chunk := c.incoming.chunks[0]
	return chunk.end != nil && time.Until(chunk.due) <= 0
}

// AwaitPeerClose waits until the peer's close or reset has passed the link or the connection is closed, and
// then returns true. It returns false once unread bytes have passed the link or stop is closed.
func (c *Conn) AwaitPeerClose(stop <-chan struct{}) bool {
	for {
		effect := c.link.effect.Load()
		c.incoming.mu.Lock()
		var wait time.Duration = -1
		if len(c.incoming.chunks) > 0 && !c.incoming.isCut(effect) {
			chunk := c.incoming.chunks[0]
			if wait = time.Until(chunk.due); wait <= 0 {
				c.incoming.mu.Unlock()
				return chunk.end != nil
			}
		}
		c.incoming.mu.Unlock()
		var due <-chan time.Time
		if wait >= 0 {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-c.incoming.changed:
		case <-effect.changed:
		case <-stop:
			return false
		case <-c.closed:
			return true
		}
	}
}

// Write sends b over the link.
func (c *Conn) Write(b []byte) (int, error) { return len(b), c.write(chunk{data: b}) }

// WriteThen sends b over the link and calls done after the write to the socket.
func (c *Conn) WriteThen(b []byte, done func(time.Time)) error {
	return c.write(chunk{data: b, afterWrite: done})
}

// WriteAfter sends b over the link and calls before immediately before the write to the socket, and thus
// before the peer can react to b.
func (c *Conn) WriteAfter(b []byte, before func(time.Time)) error {
	return c.write(chunk{data: b, beforeWrite: before})
}

// write queues a copy of a chunk, and waits while the outgoing queue is full.
func (c *Conn) write(chunk chunk) error {
	for c.outgoing.isFull() {
		select {
		case <-c.closed:
			return net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
	select {
	case <-c.closed:
		return net.ErrClosed
	default:
	}
	chunk.data = append([]byte(nil), chunk.data...)
	c.enqueue(&c.outgoing, chunk)
	return nil
}

// SetReadDeadline sets the deadline of Read; the zero time means none.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	select {
	case c.deadlineChanged <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the connection after all earlier writes have passed the link. Over a cut link that is after
// the end of the cut.
func (c *Conn) Close() error {
	c.enqueue(&c.outgoing, chunk{end: io.EOF})
	return nil
}

// Reset resets the connection at once, regardless of the link's state.
func (c *Conn) Reset() {
	_ = c.raw.SetLinger(0)
	c.close()
}

// close closes the socket and removes the connection from its link.
func (c *Conn) close() {
	c.once.Do(func() {
		close(c.closed)
		c.raw.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}

// IsReset reports whether an error of Read is neither the end of the stream nor a passed deadline, and thus
// counts as a reset by the peer.
func IsReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// HasUnreadBytes reports whether bytes have passed the link that were not read yet.
func (c *Conn) HasUnreadBytes() bool {
	c.incoming.mu.Lock()
	defer c.incoming.mu.Unlock()
	return len(c.incoming.chunks) > 0 && c.incoming.chunks[0].end == nil && time.Until(c.incoming.chunks[0].due) <= 0
}
