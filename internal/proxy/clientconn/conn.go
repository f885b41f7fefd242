// Package clientconn is the layer between net/http and the sockets of clients: a listener with a limited
// number of connection slots, and connections that pass on only requests whose framing is unambiguous and
// that close without losing a response or a request that has arrived. It does not interpret requests. It
// closes a connection on its own only at the end of a linger, or when there is no memory for a long head.
package clientconn

import (
	"errors"
	"io"
	"math"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/internal/cpushare"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/framing"
	"merlinpick/internal/proxy/socket"
)

// Conn is a client connection that passes at most one request at a time to net/http, and only if its framing
// is unambiguous. After a chunked request nothing more is passed: the connection is to be closed.
//
// Reading bytes and recording that they have arrived is one step under mu. So is checking for unread bytes
// and shutting the connection down. A request is therefore either read before the shutdown, and answered, or
// never passed on. See linger.go for how a connection is closed.
//
// net/http's goroutine for a connection reads it and owns the fields without a lock. Any goroutine may close
// it.
type Conn struct {
	net.Conn
	rawConn  syscall.RawConn // nil if there is no descriptor
	listener *Listener

	buffered          []byte // read from the socket, not passed to net/http yet
	passable          int64  // bytes that may be passed before the next head is checked; negative: no limit
	eofAfterPass      bool   // after the passable bytes, net/http reads EOF
	hadRequest        bool   // a request's head has been passed
	awaitsNextRequest bool   // net/http waits for the next request, with its longer idle timeout

	epoch          time.Time    // where now counts from
	requestStarted atomic.Int64 // now, at the first byte of the current request, or at the accept; see awaitTurn
	lastReceived   atomic.Int64 // now, when the last bytes were received, or at the accept
	lastArrived    atomic.Int64 // now, when these bytes arrived at this machine, as far as is known

	slotHolders atomic.Int32 // the descriptor, and net/http's goroutine; the slot is free once neither is left

	share         processorShare
	workBegan     atomic.Int64           // now, when the reading goroutine began to work; 0: it waits
	bodyThrottled atomic.Int64           // nanoseconds, see TakeBodyThrottled
	class         atomic.Pointer[string] // named by the last request; nil: none was

	unanswered  atomic.Pointer[string]      // ID of the accepted request that has no response; nil: none
	closeReason atomic.Pointer[audit.Event] // why the proxy closes the connection; nil before it does
	discarded   atomic.Int64                // bytes received after the shutdown

	mu         sync.Mutex
	phase      Phase
	discarding bool  // bytes received from now on are dropped
	closed     bool  // the descriptor is closed
	hasWaited  bool  // a read has found nothing to read, or something before
	lastEmpty  int64 // now, when a read last found nothing to read; 0: none has
	memory     headMemory
	// The body of a chunked request, as far as it has been read from the socket; see ChunkedEndFinder.
	chunked      bool
	chunks       framing.ChunkScanner
	bodyReceived int64 // bytes, with their framing
}

// Phase is the progress of the current request on a client connection.
type Phase int

// The phases of a request.
const (
	PhaseIdle        Phase = iota // no byte of a request has been read
	PhaseReadingHead              // a part of its head has been read
	PhaseInFlight                 // its head has been passed to net/http, and it has no response yet
)

// String returns the phase's name in the log.
func (p Phase) String() string {
	return [...]string{PhaseIdle: "idle", PhaseReadingHead: "reading_head", PhaseInFlight: "in_flight"}[p]
}

const (
	// MaxHeadBytes is how long a request's head may be, in bytes; a longer one is answered with 431.
	MaxHeadBytes = 16 << 10

	// MaxPipelinedBytes is how many bytes are buffered behind a request that waits for its response.
	MaxPipelinedBytes = 4 << 10

	// UnmeteredBuffer is how many bytes of a head, and of a body, are buffered without a MemoryBudget.
	UnmeteredBuffer = 4 << 10

	// RequestReadTimeout is how long a request's head may take, from its first byte or, on a new connection,
	// from the connect. The protocol requires that a connection whose peer sends nothing, or too little, is
	// closed within 3 s.
	RequestReadTimeout = 2500 * time.Millisecond

	// After its shutdown a connection stays open for its peer for at most LingerTimeout, and for at least
	// MinLinger even if few slots are left.
	LingerTimeout = 500 * time.Millisecond
	MinLinger     = 20 * time.Millisecond
)

// newConn wraps a newly accepted connection.
func newConn(c net.Conn, listener *Listener) *Conn {
	conn := &Conn{Conn: c, listener: listener, epoch: listener.turns.start, memory: headMemory{budget: listener.headMemory}}
	if sc, ok := c.(syscall.Conn); ok {
		conn.rawConn, _ = sc.SyscallConn()
	}
	const descriptorAndGoroutine = 2
	conn.slotHolders.Store(descriptorAndGoroutine)
	now := conn.now()
	conn.requestStarted.Store(now)
	conn.lastReceived.Store(now)
	conn.lastArrived.Store(now)
	conn.share = processorShare{turns: listener.turns, conn: listener.turns.connect(c)}
	return conn
}

// now returns the time since epoch in nanoseconds, which steps of the wall clock do not affect. It is never 0.
func (c *Conn) now() int64 { return max(1, int64(time.Since(c.epoch))) }

// timeAt returns the time at which now returned a value.
func (c *Conn) timeAt(nanoseconds int64) time.Time { return c.epoch.Add(time.Duration(nanoseconds)) }

// SetClass records the class that the current request names, for the log.
func (c *Conn) SetClass(name string) { c.class.Store(&name) }

// Class returns the class that was recorded last; "" if none was.
func (c *Conn) Class() string {
	if name := c.class.Load(); name != nil {
		return *name
	}
	return ""
}

// Read returns the bytes that may be passed to net/http. A read of one byte while a request is in flight is
// how net/http detects that the client disconnects: see bufferPipelined.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 && (c.passable == 0 && !c.eofAfterPass || c.passable < 0) && c.Phase() == PhaseInFlight {
		if err := c.bufferPipelined(); err != nil {
			return 0, err
		}
	}
	if c.passable == 0 && !c.eofAfterPass {
		if err := c.readHead(); err != nil {
			return 0, err
		}
	}
	if c.passable == 0 {
		return 0, io.EOF
	}
	if c.passable > 0 {
		p = p[:min(int64(len(p)), c.passable)]
	}
	var n int
	var err error
	if len(c.buffered) > 0 {
		n = copy(p, c.buffered)
		if c.buffered = c.buffered[n:]; len(c.buffered) == 0 {
			c.buffered = nil
			c.releaseBuffer()
		}
	} else {
		n, err = c.receiveInTurn(p)
	}
	if c.passable > 0 {
		c.passable -= int64(n)
	}
	return n, err
}

// receiveInTurn receives, and waits until the connection may go on with what it has received. What the reading goroutine
// does until the next call is charged to the connection.
func (c *Conn) receiveInTurn(p []byte) (n int, err error) {
	if n, err = c.receiveCharged(p); n > 0 {
		c.awaitTurn(cpushare.HandleBytes)
	}
	return n, err
}

// receiveCharged receives, and charges the connection for what the reading goroutine does before and after.
func (c *Conn) receiveCharged(p []byte) (n int, err error) {
	c.pauseWork()
	n, err = c.receive(p)
	c.resumeWork()
	return n, err
}

// receive reads from the socket, and records that bytes have arrived before any goroutine can take the
// connection for idle. While the connection is discarding it drops them and returns EOF once a read fails.
func (c *Conn) receive(p []byte) (n int, err error) {
	for {
		n, err, ok := c.readAndLock(p)
		if !ok {
			return 0, err
		}
		if n > 0 && !c.discarding {
			c.recordReceivedLocked()
			if c.phase == PhaseIdle {
				c.phase = PhaseReadingHead
			}
			c.followBodyLocked(p[:n])
		}
		discarding := c.discarding
		if discarding {
			c.discarded.Add(int64(n))
		}
		c.mu.Unlock()
		switch {
		case !discarding:
			return n, err
		case err != nil:
			return 0, io.EOF
		}
		c.awaitTurn(cpushare.HandleBytes)
	}
}

// recordReceivedLocked records when bytes were received, and when they arrived.
func (c *Conn) recordReceivedLocked() {
	now := c.now()
	if c.hasWaited { // else they may have arrived as early as the accept
		c.lastReceived.Store(now)
	}
	c.hasWaited = true
	arrived := c.lastReceived.Load()
	if c.rawConn != nil {
		arrived = min(arrived, max(c.lastEmpty, now-int64(socket.SinceArrival(c.rawConn))))
	}
	c.lastArrived.Store(arrived)
}

// readAndLock reads once and returns with mu locked. If there is a descriptor, mu is locked before the bytes
// leave the kernel's receive buffer. ok is false, and mu not locked, if there was no read because its
// deadline has passed or the connection is closed.
func (c *Conn) readAndLock(p []byte) (n int, err error, ok bool) {
	if c.rawConn == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		c.hasWaited = true
		return n, err, true
	}
	waitErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				break
			}
		}
		if err == syscall.EAGAIN {
			c.hasWaited, c.lastEmpty = true, c.now()
			c.mu.Unlock()
		}
		return err != syscall.EAGAIN // true ends the wait and leaves mu locked
	})
	switch {
	case waitErr != nil:
		return 0, asReadError(waitErr), false
	case err != nil:
		return 0, asReadError(os.NewSyscallError("read", err)), true
	case n == 0:
		return 0, io.EOF, true
	}
	return n, nil, true
}

// asReadError wraps an error as net.Conn.Read does, by which net/http recognizes a broken connection.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// ResponseSent records that the current request has its response. The goroutine that reads calls it.
func (c *Conn) ResponseSent() {
	c.awaitsNextRequest = true
	c.mu.Lock()
	defer c.mu.Unlock()
	c.memory.releaseAnswered()
	switch {
	case c.passable != 0 || c.eofAfterPass: // the head of the next request has arrived meanwhile
		c.phase = PhaseInFlight
	case len(c.buffered) > 0:
		c.phase = PhaseReadingHead
	default:
		c.phase = PhaseIdle
	}
}

// Phase returns the progress of the current request.
func (c *Conn) Phase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// HasUnreadRequest reports whether an idle connection has unread bytes, or its peer has closed it.
func (c *Conn) HasUnreadRequest() bool {
	return c.Phase() == PhaseIdle && c.rawConn != nil && !socket.IsIdle(c)
}

// RequestStarted returns when the current request's first byte arrived, or a new connection was accepted.
func (c *Conn) RequestStarted() time.Time { return c.timeAt(c.requestStarted.Load()) }

// LastReceived returns when the last bytes were read from the socket. It is when the connection was accepted if none were,
// or if they were the first ones and there at once.
func (c *Conn) LastReceived() time.Time { return c.timeAt(c.lastReceived.Load()) }

// LastArrived returns when the bytes that were read last arrived at this machine. They may have waited for the accept, for
// a slot, and for the processor. Where the system does not tell, it is LastReceived.
func (c *Conn) LastArrived() time.Time { return c.timeAt(c.lastArrived.Load()) }

// SinceLastReceived returns how long ago that was.
func (c *Conn) SinceLastReceived() time.Duration { return time.Since(c.LastReceived()) }

// startRequestTimer records the start of a request on a kept-alive connection, and replaces the longer idle
// timeout of net/http with RequestReadTimeout.
func (c *Conn) startRequestTimer() {
	now := c.now()
	c.requestStarted.Store(now)
	if c.awaitsNextRequest {
		c.awaitsNextRequest = false
		_ = c.SetReadDeadline(c.timeAt(now).Add(RequestReadTimeout))
	}
}

// readHead reads until a complete head is buffered and sets how many bytes may be passed.
func (c *Conn) readHead() error {
	if c.hadRequest && len(c.buffered) > 0 {
		c.startRequestTimer()
	}
	for checked, incomplete := 0, 0; ; {
		if len(c.buffered) > checked {
			done, err := c.checkHead(checked)
			if done {
				return err
			}
			checked = max(0, len(c.buffered)-len("\r\n\r")) // the last bytes may be part of the head's end
			// After its first bytes a connection goes on at once: if its client has gone, it frees its slot soon.
			if incomplete++; incomplete > 1 {
				c.awaitTurn(cpushare.HandleBytes)
			}
		}
		if len(c.buffered) > UnmeteredBuffer && !c.reserveBuffer() && c.CloseUnused(true) {
			return io.EOF
		}
		first := len(c.buffered) == 0
		n, err := c.receiveMore(math.MaxInt, c.receiveCharged)
		if c.hadRequest && first && n > 0 {
			c.startRequestTimer()
		}
		if n == 0 && err != nil {
			return err
		}
	}
}

// receiveMore appends bytes that receive returns to buffered, up to limit bytes in total.
func (c *Conn) receiveMore(limit int, receive func([]byte) (int, error)) (n int, err error) {
	c.buffered = slices.Grow(c.buffered, 1<<10)
	n, err = receive(c.buffered[len(c.buffered):min(cap(c.buffered), limit)])
	c.buffered = c.buffered[:len(c.buffered)+n]
	return n, err
}

// bufferPipelined keeps reading while a request waits for its response. After the end of a request, net/http
// reads one byte to detect that the client disconnects. If it got the first byte of the next request, it
// would stop looking. So it gets none until the response has been sent, when net/http interrupts its read
// with a deadline, or until MaxPipelinedBytes are buffered.
func (c *Conn) bufferPipelined() error {
	for len(c.buffered) < MaxPipelinedBytes {
		if n, err := c.receiveMore(MaxPipelinedBytes, c.receive); n == 0 && err != nil {
			return err
		}
	}
	return nil
}

// SyscallConn returns the raw connection of the socket, which package socket uses.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
