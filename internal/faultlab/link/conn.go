package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// Conn is a connection over a link, as the stand-in at its end sees it.
type Conn struct {
	raw  *net.TCPConn
	link *Link
	in   queue // what the program wrote
	out  queue // what this side writes
	gone chan struct{}
	once sync.Once

	came, went *direction // of the link's traffic

	cutIn *state // of the newest bytes that came into a cut; fill's alone

	mu       sync.Mutex
	deadline time.Time
	wake     chan struct{} // a new deadline
	readAt   time.Time
}

// piece is bytes that are due at a time, or an end.
type piece struct {
	data []byte
	due  time.Time
	at   time.Time       // when the socket gave it
	end  error           // of what is read; io.EOF to close for what is written
	note func(time.Time) // before it is written to the socket
	done func(time.Time) // once it is
}

type queue struct {
	mu     sync.Mutex
	pieces []piece
	bytes  int
	last   time.Time     // due of the newest: order is kept
	news   chan struct{} // holds one when something was put or taken
	cutOf  func(*state) bool
}

func (l *Link) conn(raw *net.TCPConn, dialled bool) *Conn {
	c := &Conn{raw: raw, link: l, gone: make(chan struct{}), wake: make(chan struct{}, 1)}
	out, back := func(s *state) bool { return s.CutOut }, func(s *state) bool { return s.CutBack }
	c.in, c.out = queue{cutOf: out}, queue{cutOf: back}
	c.came, c.went = &l.traffic.sent, &l.traffic.answered
	l.traffic.conns.Add(1)
	if dialled {
		c.came, c.went = c.went, c.came
		c.in.cutOf, c.out.cutOf = back, out
	}
	c.in.news, c.out.news = make(chan struct{}, 1), make(chan struct{}, 1)
	_ = raw.SetNoDelay(true)
	l.mu.Lock()
	l.conns[c] = struct{}{}
	l.mu.Unlock()
	go c.fill()
	go c.drain()
	return c
}

func (c *Conn) put(q *queue, p piece) {
	now := c.link.now.Load()
	due := time.Now().Add(c.link.delay + now.Delay + c.link.lost(now.Loss))
	q.mu.Lock()
	if due.Before(q.last) {
		due = q.last
	}
	p.due, q.last = due, due
	q.pieces = append(q.pieces, p)
	q.bytes += len(p.data)
	q.mu.Unlock()
	q.tell()
}

func (q *queue) tell() {
	select {
	case q.news <- struct{}{}:
	default:
	}
}

// fill moves what the socket gives to the queue.
func (c *Conn) fill() {
	for {
		buf := make([]byte, 4<<10)
		n, err := c.raw.Read(buf)
		at := time.Now()
		if n > 0 {
			c.came.add(n)
			c.put(&c.in, piece{data: buf[:n], at: at})
			c.unheard(at)
		}
		if err != nil {
			c.put(&c.in, piece{end: err, at: at})
			return
		}
		for c.in.full() {
			select {
			case <-c.gone:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}
}

func (q *queue) full() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.bytes > maxQueue
}

// drain moves what was written to the socket, each piece at its time.
func (c *Conn) drain() {
	for {
		p, err := c.next(&c.out, false)
		if err != nil {
			return
		}
		if p.note != nil {
			p.note(time.Now())
		}
		if len(p.data) > 0 {
			c.went.add(len(p.data))
			if _, err := c.raw.Write(p.data); err != nil {
				c.put(&c.in, piece{end: err, at: time.Now()})
				c.drop()
				return
			}
		}
		if p.done != nil {
			p.done(time.Now())
		}
		if p.end != nil {
			c.drop()
			return
		}
	}
}

// next waits for the first piece of a queue to be due, with the link not cut, and takes it.
func (c *Conn) next(q *queue, reading bool) (piece, error) {
	for {
		now := c.link.now.Load()
		q.mu.Lock()
		wait := time.Duration(-1)
		if len(q.pieces) > 0 && !q.cutOf(now) {
			p := q.pieces[0]
			if wait = time.Until(p.due); wait <= 0 {
				q.pieces = q.pieces[1:]
				q.bytes -= len(p.data)
				q.mu.Unlock()
				return p, nil
			}
		}
		q.mu.Unlock()
		var wake <-chan struct{}
		if reading {
			c.mu.Lock()
			deadline := c.deadline
			c.mu.Unlock()
			wake = c.wake
			if !deadline.IsZero() {
				left := time.Until(deadline)
				if left <= 0 {
					return piece{}, os.ErrDeadlineExceeded
				}
				if wait < 0 || left < wait {
					wait = left
				}
			}
		}
		var due <-chan time.Time
		var timer *time.Timer
		if wait >= 0 {
			timer = time.NewTimer(wait)
			due = timer.C
		}
		select {
		case <-due:
		case <-q.news:
		case <-wake:
		case <-now.changed:
		case <-c.gone:
			if timer != nil {
				timer.Stop()
			}
			return piece{}, net.ErrClosed
		}
		if timer != nil {
			timer.Stop()
		}
	}
}

// Read gives what has come over the link. A reset that the other side sent is the socket's own error.
func (c *Conn) Read(b []byte) (int, error) {
	p, err := c.next(&c.in, true)
	if err != nil {
		return 0, err
	}
	if p.end != nil {
		c.in.mu.Lock()
		c.in.pieces = append(c.in.pieces, p) // the end stays
		c.in.mu.Unlock()
		c.mu.Lock()
		c.readAt = p.at
		c.mu.Unlock()
		return 0, p.end
	}
	n := copy(b, p.data)
	if n < len(p.data) {
		p.data = p.data[n:]
		c.in.mu.Lock()
		c.in.pieces = append([]piece{p}, c.in.pieces...)
		c.in.bytes += len(p.data)
		c.in.mu.Unlock()
	}
	c.mu.Lock()
	c.readAt = p.at
	c.mu.Unlock()
	return n, nil
}

// ReadAt is when the socket gave what the last Read returned: earlier than that by the link's delay.
func (c *Conn) ReadAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAt
}

// Ended tells whether the other side has closed or reset the connection, and word of it has come over the link.
func (c *Conn) Ended() bool {
	now := c.link.now.Load()
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	if len(c.in.pieces) == 0 || c.in.cutOf(now) {
		return false
	}
	p := c.in.pieces[0]
	return p.end != nil && time.Until(p.due) <= 0
}

// AwaitEnd waits until the other side's end has come over the link, the connection is gone, something else has come
// (false), or stop is closed (false).
func (c *Conn) AwaitEnd(stop <-chan struct{}) bool {
	for {
		now := c.link.now.Load()
		c.in.mu.Lock()
		var wait time.Duration = -1
		if len(c.in.pieces) > 0 && !c.in.cutOf(now) {
			p := c.in.pieces[0]
			if wait = time.Until(p.due); wait <= 0 {
				c.in.mu.Unlock()
				return p.end != nil
			}
		}
		c.in.mu.Unlock()
		var due <-chan time.Time
		if wait >= 0 {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-c.in.news:
		case <-now.changed:
		case <-stop:
			return false
		case <-c.gone:
			return true
		}
	}
}

// Write sends b over the link.
func (c *Conn) Write(b []byte) (int, error) { return len(b), c.write(piece{data: b}) }

// WriteThen sends b and calls done once its last byte is written to the socket.
func (c *Conn) WriteThen(b []byte, done func(time.Time)) error {
	return c.write(piece{data: b, done: done})
}

// NoteThenWrite sends b and calls note just before it is written to the socket: what is noted is known before the other
// side can act on it.
func (c *Conn) NoteThenWrite(b []byte, note func(time.Time)) error {
	return c.write(piece{data: b, note: note})
}

func (c *Conn) write(p piece) error {
	for c.out.full() {
		select {
		case <-c.gone:
			return net.ErrClosed
		case <-time.After(time.Millisecond):
		}
	}
	select {
	case <-c.gone:
		return net.ErrClosed
	default:
	}
	p.data = append([]byte(nil), p.data...)
	c.put(&c.out, p)
	return nil
}

// SetReadDeadline bounds Read.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// Close closes the connection once all that was written has gone out; over a cut link the other side learns of it
// when the cut ends.
func (c *Conn) Close() error {
	c.put(&c.out, piece{end: io.EOF})
	return nil
}

// Reset ends the connection at once, with a reset, whatever the link's state.
func (c *Conn) Reset() {
	_ = c.raw.SetLinger(0)
	c.drop()
}

func (c *Conn) drop() {
	c.once.Do(func() {
		close(c.gone)
		c.raw.Close()
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
}

// IsReset tells whether an error is the other side's reset rather than its close.
func IsReset(err error) bool {
	return err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded)
}

// Waiting tells whether bytes have come that nobody has read.
func (c *Conn) Waiting() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.pieces) > 0 && c.in.pieces[0].end == nil && time.Until(c.in.pieces[0].due) <= 0
}
