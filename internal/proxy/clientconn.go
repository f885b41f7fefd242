package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinpick/internal/proxy/framing"
)

// framedConn is a client's connection that lets net/http see no more than one request at a time, and only
// one whose framing is beyond doubt. Nothing passes after a chunked request: its connection is to be closed.
//
// What comes is read and noted in one step, and so is a look at what has come and a shutdown: a request is either read
// before the shutdown, and answered, or never passed on. See linger.go for how a connection ends.
type clientConn struct {
	net.Conn
	rawConn  syscall.RawConn // nil if there is no descriptor
	listener *limitedListener

	buffered      []byte // read and not passed yet
	passable      int64  // bytes that may pass before the next head is looked at; negative: all
	endsAfterPass bool   // after these comes nothing more

	hadRequest     bool         // a head has passed
	awaitsNext     bool         // net/http waits for a next request, with a long patience
	requestStarted atomic.Int64 // when the present request did, or the connection for its first; in Unix nanoseconds
	lastReceived   atomic.Int64 // when something last came, or the connection did

	unanswered atomic.Pointer[string] // the request that has been taken and has no answer yet

	mu            sync.Mutex
	phase         requestPhase
	discarding    bool // whatever comes now is dropped
	closed        bool // the descriptor is
	memoryCharged int  // of the memory for heads
}

// phase is how far the request on a client's connection has come.
type requestPhase int

const (
	phaseIdle        requestPhase = iota // nothing of one has been read
	phaseReadingHead                     // a part of its head has
	phaseInFlight                        // its head has been passed on, and it has no answer yet
)

// flaw stands in for a head whose framing is in doubt: net/http answers it 400 and closes. It comes as
// something to read, since an error would also take away the answer to a request that is still in flight.
const malformedHead = "ambiguous\r\n\r\n"

// aheadMost is held of what a client sends behind a request that waits for its answer.
const maxPipelinedBytes = 4 << 10

// newFramedConn wraps a connection that has just come.
func newClientConn(c net.Conn, of *limitedListener) *clientConn {
	f := &clientConn{Conn: c, listener: of}
	if sc, ok := c.(syscall.Conn); ok {
		f.rawConn, _ = sc.SyscallConn()
	}
	now := time.Now().UnixNano()
	f.requestStarted.Store(now)
	f.lastReceived.Store(now)
	return f
}

func (c *clientConn) Read(p []byte) (int, error) {
	if len(p) == 1 && (c.passable == 0 && !c.endsAfterPass || c.passable < 0) && c.currentPhase() == phaseInFlight {
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

// receive reads what has come, and notes it before anybody can take the connection for one that rests. From a
// connection that has been retired it gives nothing but the end, once that has come.
func (c *clientConn) receive(p []byte) (n int, err error) {
	for {
		if c.rawConn == nil {
			n, err = c.Conn.Read(p)
			c.mu.Lock()
		} else if rawErr := c.rawConn.Read(func(fd uintptr) bool {
			c.mu.Lock()
			for {
				if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
					break
				}
			}
			if err == syscall.EAGAIN {
				c.mu.Unlock()
			}
			return err != syscall.EAGAIN // else with the lock
		}); rawErr != nil {
			return 0, asReadError(rawErr)
		} else if err != nil {
			n, err = 0, asReadError(os.NewSyscallError("read", err))
		} else if n == 0 {
			err = io.EOF
		}
		if n > 0 && !c.discarding {
			c.lastReceived.Store(time.Now().UnixNano())
			if c.phase == phaseIdle {
				c.phase = phaseReadingHead
			}
		}
		retired := c.discarding
		c.mu.Unlock()
		switch {
		case !retired:
			return n, err
		case err != nil:
			return 0, io.EOF
		}
	}
}

// readError is an error as net.Conn.Read gives it: net/http knows a broken connection by that.
func asReadError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// answered notes that the present request has its answer. It comes from the goroutine that reads.
func (c *clientConn) responseSent() {
	c.awaitsNext = true
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.passable != 0 || c.endsAfterPass: // the next one came meanwhile
		c.phase = phaseInFlight
	case len(c.buffered) > 0:
		c.phase = phaseReadingHead
	default:
		c.phase = phaseIdle
	}
}

// at tells how far the present request has come.
func (c *clientConn) currentPhase() requestPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// silent is how long nothing has come.
func (c *clientConn) sinceLastReceived() time.Duration {
	return time.Since(time.Unix(0, c.lastReceived.Load()))
}

// begin is for the first bytes of a request on a kept connection: net/http waits for those with another patience.
func (c *clientConn) startRequestTimer() {
	now := time.Now()
	c.requestStarted.Store(now.UnixNano())
	if c.awaitsNext {
		c.awaitsNext = false
		_ = c.SetReadDeadline(now.Add(requestReadTimeout))
	}
}

// head reads until a whole head is there and sets what may pass.
func (c *clientConn) readHead() error {
	if c.hadRequest && len(c.buffered) > 0 {
		c.startRequestTimer()
	}
	for from := 0; ; {
		if len(c.buffered) > from {
			for len(c.buffered) > 1 && c.buffered[0] == '\r' && c.buffered[1] == '\n' { // empty lines before a request
				c.buffered, from = c.buffered[2:], 0
			}
			end := bytes.Index(c.buffered[from:], []byte("\r\n\r\n"))
			if end >= 0 {
				end += from + len("\r\n\r\n")
				return c.passHead(func() { c.frameRequestLocked(end) })
			}
			if hasBareLF(c.buffered[from:]) {
				return c.passHead(c.passMalformedLocked)
			}
			if len(c.buffered) > maxRequestHeadBytes+headReadSlack {
				return c.passHead(func() { c.passable, c.endsAfterPass = -1, true }) // net/http answers 431 and closes
			}
			from = max(0, len(c.buffered)-len("\r\n\r")) // what may begin the end of the head
		}
		if len(c.buffered) > unmeteredBuffer && !c.chargeMemory() && c.closeUnused(true) {
			return io.EOF
		}
		c.buffered = slices.Grow(c.buffered, 1<<10)
		n, err := c.receive(c.buffered[len(c.buffered):cap(c.buffered)])
		if c.hadRequest && len(c.buffered) == 0 && n > 0 {
			c.startRequestTimer()
		}
		c.buffered = c.buffered[:len(c.buffered)+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// ahead reads on while a request waits for its answer. Past a request's end net/http reads one byte, to notice a client
// that goes; given the next request's first it would look no further. So it gets none until the answer has gone out
// (its read is then broken off by a deadline), or until more has come than is worth holding.
func (c *clientConn) bufferPipelined() error {
	for len(c.buffered) < maxPipelinedBytes {
		c.buffered = slices.Grow(c.buffered, 1<<10)
		n, err := c.receive(c.buffered[len(c.buffered):min(cap(c.buffered), maxPipelinedBytes)])
		c.buffered = c.buffered[:len(c.buffered)+n]
		if n == 0 && err != nil {
			return err
		}
	}
	return nil
}

// charge takes the memory of the longest head, once; false if there is none.
func (c *clientConn) chargeMemory() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryCharged == 0 && !c.closed && c.listener.headMemory.reserve(maxRequestHeadBytes+headReadSlack) {
		c.memoryCharged = maxRequestHeadBytes + headReadSlack
	}
	return c.memoryCharged > 0
}

func (c *clientConn) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.memoryCharged > 0 {
		c.listener.headMemory.release(c.memoryCharged)
		c.memoryCharged = 0
	}
}

// let passes a head on, unless the connection has been retired over it.
func (c *clientConn) passHead(judge func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.discarding {
		return io.EOF
	}
	c.phase = phaseInFlight
	judge()
	return nil
}

func (c *clientConn) frameRequestLocked(end int) {
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

func (c *clientConn) passMalformedLocked() {
	c.buffered, c.passable, c.endsAfterPass = []byte(malformedHead), int64(len(malformedHead)), true
}

// bareLF tells whether a line ends without a CR. The first byte's predecessor is not known, so it is let off.
func hasBareLF(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

// SyscallConn is for quiet.
func (c *clientConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// headSlack is what net/http reads beyond MaxHeaderBytes before it answers 431.
const headReadSlack = 4 << 10
