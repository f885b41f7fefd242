// Package clientconn is the layer between net/http and the sockets of clients: a listener with a limited number of slots, and
// connections that let pass only requests whose framing is unambiguous, and that are closed without losing a response or a
// request that has come. It knows nothing of what requests mean. It closes connections by itself only at
// the end of a linger, and when there is no memory for a long head.
package clientconn

import (
	"bytes"
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

	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/framing"
	"merlinpick/internal/proxy/socket"
)

// Conn is a client's connection that lets net/http see no more than one request at a time, and only one whose framing
// is unambiguous. Nothing passes after a chunked request: its connection is to be closed.
//
// What comes is read and noted in one step, under mu, and so are a look at what has come and a shutdown: a request is either
// read before the shutdown, and answered, or never passed on. See linger.go for how a connection ends.
//
// net/http's goroutine for the connection reads it and owns the fields without a lock; any goroutine may close it.
type Conn struct {
	net.Conn
	rawConn  syscall.RawConn // nil if there is no descriptor
	listener *Listener

	buffered      []byte // read and not passed yet
	passable      int64  // bytes that may pass before the next head is checked; negative: all
	endsAfterPass bool   // after these comes nothing more
	hadRequest    bool   // a head has passed
	awaitsNext    bool   // net/http waits for a next request, for keepAliveTimeout

	requestStarted atomic.Int64 // when the present request did, or the connection for its first; Unix nanoseconds
	lastReceived   atomic.Int64 // Unix nanoseconds; of a new connection, when it was accepted

	unanswered  atomic.Pointer[string]      // the ID of the request that has been taken and has no response yet
	closeReason atomic.Pointer[audit.Event] // why the proxy closes it; nil before
	discarded   atomic.Int64                // bytes that came after the shutdown

	mu            sync.Mutex
	phase         Phase
	discarding    bool // whatever comes now is dropped
	closed        bool // the descriptor is
	memoryCharged int  // bytes of the listener's headMemory
}

// Phase is how far the request on a client's connection has come.
type Phase int

// The phases.
const (
	PhaseIdle        Phase = iota // nothing of one has been read
	PhaseReadingHead              // a part of its head has
	PhaseInFlight                 // its head has been passed on, and it has no response yet
)

// String is the phase's name in the log.
func (p Phase) String() string {
	return [...]string{PhaseIdle: "idle", PhaseReadingHead: "reading_head", PhaseInFlight: "in_flight"}[p]
}

const (
	// MalformedHead stands in for a head whose framing is ambiguous: net/http answers it 400 and closes. It comes as bytes,
	// since an error would also take away the response to a request that is still in flight.
	MalformedHead = "ambiguous\r\n\r\n"

	headReadSlack = 4 << 10 // what net/http reads beyond MaxHeaderBytes before it answers 431
)

const (
	// MaxHeadBytes of a request's head are read; a longer one is answered 431.
	MaxHeadBytes = 16 << 10

	// MaxPipelinedBytes are buffered of what a client sends behind a request that waits for its response.
	MaxPipelinedBytes = 4 << 10

	// UnmeteredBuffer bytes of a head, and of a body, are buffered without a MemoryBudget.
	UnmeteredBuffer = 4 << 10

	// RequestReadTimeout is for a request's head from its first byte, and on a new connection from the connect. The protocol
	// wants a connection closed within 3 s whose peer sends nothing, or too little.
	RequestReadTimeout = 2500 * time.Millisecond

	// A connection that has been shut down stays open for its peer for LingerTimeout at most, and for MinLinger even where
	// slots are short.
	LingerTimeout = 500 * time.Millisecond
	MinLinger     = 20 * time.Millisecond
)

// newConn wraps a connection that has just been accepted.
func newConn(c net.Conn, listener *Listener) *Conn {
	f := &Conn{Conn: c, listener: listener}
	if sc, ok := c.(syscall.Conn); ok {
		f.rawConn, _ = sc.SyscallConn()
	}
	now := time.Now().UnixNano()
	f.requestStarted.Store(now)
	f.lastReceived.Store(now)
	return f
}

// Read gives net/http what may pass. A read of one byte while a request is in flight is net/http's watch for a client that
// goes: see bufferPipelined.
func (c *Conn) Read(p []byte) (int, error) {
	if len(p) == 1 && (c.passable == 0 && !c.endsAfterPass || c.passable < 0) && c.Phase() == PhaseInFlight {
		if err := c.bufferPipelined(); err != nil {
			return 0, err
		}
	}
	if c.passable == 0 && !c.endsAfterPass {
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
			c.releaseMemory()
		}
	} else {
		n, err = c.receive(p)
	}
	if c.passable > 0 {
		c.passable -= int64(n)
	}
	return n, err
}

// receive reads what has come, and notes it before anybody can take the connection for an idle one. From a connection that
// is discarding it gives nothing but the end, once that has come.
func (c *Conn) receive(p []byte) (n int, err error) {
	for {
		n, err, ok := c.readLocking(p)
		if !ok {
			return 0, err
		}
		if n > 0 && !c.discarding {
			c.lastReceived.Store(time.Now().UnixNano())
			if c.phase == PhaseIdle {
				c.phase = PhaseReadingHead
			}
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
	}
}

// readLocking reads once and returns with mu locked, taken before the read's bytes leave the system where there is a
// descriptor. ok is false, and mu not locked, if the read was not made: its deadline has passed or the connection is closed.
func (c *Conn) readLocking(p []byte) (n int, err error, ok bool) {
	if c.rawConn == nil {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
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

// asReadError is an error as net.Conn.Read gives it: net/http knows a broken connection by that.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// ResponseSent notes that the present request has its response. The goroutine that reads calls it.
func (c *Conn) ResponseSent() {
	c.awaitsNext = true
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.passable != 0 || c.endsAfterPass: // the next one came meanwhile
		c.phase = PhaseInFlight
	case len(c.buffered) > 0:
		c.phase = PhaseReadingHead
	default:
		c.phase = PhaseIdle
	}
}

// Phase is how far the present request has come.
func (c *Conn) Phase() Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// HasUnreadRequest reports whether bytes of a next request wait in the system on a connection that is idle.
func (c *Conn) HasUnreadRequest() bool {
	return c.Phase() == PhaseIdle && c.rawConn != nil && !socket.Quiet(c)
}

// RequestStarted is when the first byte of the present request came, or the connection for its first.
func (c *Conn) RequestStarted() time.Time { return time.Unix(0, c.requestStarted.Load()) }

// SinceLastReceived is how long nothing has come.
func (c *Conn) SinceLastReceived() time.Duration {
	return time.Since(time.Unix(0, c.lastReceived.Load()))
}

// startRequestTimer is for the first bytes of a request on a kept connection, which net/http has awaited for longer.
func (c *Conn) startRequestTimer() {
	now := time.Now()
	c.requestStarted.Store(now.UnixNano())
	if c.awaitsNext {
		c.awaitsNext = false
		_ = c.SetReadDeadline(now.Add(RequestReadTimeout))
	}
}

// readHead reads until a complete head is there and sets what may pass.
func (c *Conn) readHead() error {
	if c.hadRequest && len(c.buffered) > 0 {
		c.startRequestTimer()
	}
	for checked := 0; ; {
		if len(c.buffered) > checked {
			done, err := c.checkHead(checked)
			if done {
				return err
			}
			checked = max(0, len(c.buffered)-len("\r\n\r")) // what may begin the end of the head
		}
		if len(c.buffered) > UnmeteredBuffer && !c.chargeMemory() && c.CloseUnused(true) {
			return io.EOF
		}
		first := len(c.buffered) == 0
		n, err := c.receiveMore(math.MaxInt)
		if c.hadRequest && first && n > 0 {
			c.startRequestTimer()
		}
		if n == 0 && err != nil {
			return err
		}
	}
}

// checkHead looks at what is buffered, of which so many bytes have been checked, and passes a head that is complete, too long
// or malformed; done reports that it has.
func (c *Conn) checkHead(checked int) (done bool, err error) {
	for len(c.buffered) > 1 && c.buffered[0] == '\r' && c.buffered[1] == '\n' { // empty lines before a request
		c.buffered, checked = c.buffered[2:], 0
	}
	unchecked := c.buffered[checked:]
	switch end := bytes.Index(unchecked, []byte("\r\n\r\n")); {
	case end >= 0:
		return true, c.passHead(func() { c.frameRequestLocked(checked + end + len("\r\n\r\n")) })
	case hasBareLF(unchecked):
		return true, c.passHead(c.passMalformedLocked)
	case len(c.buffered) > MaxHeadBytes+headReadSlack: // net/http answers 431 and closes
		return true, c.passHead(func() { c.passable, c.endsAfterPass = -1, true })
	}
	return false, nil
}

// receiveMore reads into what is buffered, up to so many bytes there in all.
func (c *Conn) receiveMore(limit int) (n int, err error) {
	c.buffered = slices.Grow(c.buffered, 1<<10)
	n, err = c.receive(c.buffered[len(c.buffered):min(cap(c.buffered), limit)])
	c.buffered = c.buffered[:len(c.buffered)+n]
	return n, err
}

// bufferPipelined reads on while a request waits for its response. Past a request's end net/http reads one byte, to notice a
// client that goes; given the next request's first it would look no further. So it gets none until the response has been
// sent (its read is then broken off by a deadline), or until more has come than is worth buffering.
func (c *Conn) bufferPipelined() error {
	for len(c.buffered) < MaxPipelinedBytes {
		if n, err := c.receiveMore(MaxPipelinedBytes); n == 0 && err != nil {
			return err
		}
	}
	return nil
}

// chargeMemory reserves the memory of the longest head, once; false if there is none.
func (c *Conn) chargeMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryCharged == 0 && !c.closed && c.listener.headMemory.Reserve(MaxHeadBytes+headReadSlack) {
		c.memoryCharged = MaxHeadBytes + headReadSlack
	}
	return c.memoryCharged > 0
}

func (c *Conn) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryCharged > 0 {
		c.listener.headMemory.Release(c.memoryCharged)
		c.memoryCharged = 0
	}
}

// passHead sets what may pass, unless the connection has begun to discard.
func (c *Conn) passHead(setPassable func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding {
		return io.EOF
	}
	c.phase = PhaseInFlight
	setPassable()
	return nil
}

// frameRequestLocked passes the head that ends at an index, and its body.
func (c *Conn) frameRequestLocked(end int) {
	c.hadRequest = true
	length, chunked, err := framing.Parse(c.buffered[:end])
	switch {
	case err != nil:
		c.passMalformedLocked()
	case chunked:
		c.passable, c.endsAfterPass = -1, true
	default:
		c.passable = int64(end) + max(length, 0)
		c.endsAfterPass = c.passable < 0 // so long that the sum does not fit
	}
}

// passMalformedLocked passes MalformedHead in place of what has come.
func (c *Conn) passMalformedLocked() {
	c.buffered, c.passable, c.endsAfterPass = []byte(MalformedHead), int64(len(MalformedHead)), true
}

// hasBareLF reports whether a line ends without a CR. What stood before the first byte is unknown, so that one may be an LF.
func hasBareLF(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

// SyscallConn is for package socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
