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
)

// framedConn is a client's connection that lets net/http see no more than one request at a time, and only
// one whose framing is beyond doubt. Nothing passes after a chunked request: its connection is to be closed.
//
// What comes is read and noted in one step, and so is a look at what has come and a shutdown: a request is either read
// before the shutdown, and answered, or never passed on. See linger.go for how a connection ends.
type framedConn struct {
	net.Conn
	raw syscall.RawConn // nil if there is no descriptor
	of  *cappedListener

	buf  []byte // read and not passed yet
	pass int64  // bytes that may pass before the next head is looked at; negative: all
	over bool   // after these comes nothing more

	served bool         // a head has passed
	rests  bool         // net/http waits for a next request, with a long patience
	began  atomic.Int64 // when the present request did, or the connection for its first; in Unix nanoseconds
	moved  atomic.Int64 // when something last came, or the connection did

	owed atomic.Pointer[string] // the request that has been taken and has no answer yet

	mu      sync.Mutex
	phase   phase
	retired bool // whatever comes now is dropped
	closed  bool // the descriptor is
	charged int  // of the memory for heads
}

// phase is how far the request on a client's connection has come.
type phase int

const (
	resting phase = iota // nothing of one has been read
	heading              // a part of its head has
	passed               // its head has been passed on, and it has no answer yet
)

// flaw stands in for a head whose framing is in doubt: net/http answers it 400 and closes. It comes as
// something to read, since an error would also take away the answer to a request that is still in flight.
const flaw = "ambiguous\r\n\r\n"

// aheadMost is held of what a client sends behind a request that waits for its answer.
const aheadMost = 4 << 10

// newFramedConn wraps a connection that has just come.
func newFramedConn(c net.Conn, of *cappedListener) *framedConn {
	f := &framedConn{Conn: c, of: of}
	if sc, ok := c.(syscall.Conn); ok {
		f.raw, _ = sc.SyscallConn()
	}
	now := time.Now().UnixNano()
	f.began.Store(now)
	f.moved.Store(now)
	return f
}

func (c *framedConn) Read(p []byte) (int, error) {
	if len(p) == 1 && (c.pass == 0 && !c.over || c.pass < 0) && c.at() == passed {
		if err := c.ahead(); err != nil {
			return 0, err
		}
	}
	if c.pass == 0 && !c.over {
		if err := c.head(); err != nil {
			return 0, err
		}
	}
	if c.pass == 0 {
		return 0, io.EOF
	}
	if c.pass > 0 {
		p = p[:min(int64(len(p)), c.pass)]
	}
	var n int
	var err error
	if len(c.buf) > 0 {
		n = copy(p, c.buf)
		if c.buf = c.buf[n:]; len(c.buf) == 0 {
			c.buf = nil
			c.discharge()
		}
	} else {
		n, err = c.receive(p)
	}
	if c.pass > 0 {
		c.pass -= int64(n)
	}
	return n, err
}

// receive reads what has come, and notes it before anybody can take the connection for one that rests. From a
// connection that has been retired it gives nothing but the end, once that has come.
func (c *framedConn) receive(p []byte) (n int, err error) {
	for {
		if c.raw == nil {
			n, err = c.Conn.Read(p)
			c.mu.Lock()
		} else if rawErr := c.raw.Read(func(fd uintptr) bool {
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
			return 0, readError(rawErr)
		} else if err != nil {
			n, err = 0, readError(os.NewSyscallError("read", err))
		} else if n == 0 {
			err = io.EOF
		}
		if n > 0 && !c.retired {
			c.moved.Store(time.Now().UnixNano())
			if c.phase == resting {
				c.phase = heading
			}
		}
		retired := c.retired
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
func readError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) {
		err = op.Err
	}
	return &net.OpError{Op: "read", Net: "tcp", Err: err}
}

// answered notes that the present request has its answer. It comes from the goroutine that reads.
func (c *framedConn) answered() {
	c.rests = true
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.pass != 0 || c.over: // the next one came meanwhile
		c.phase = passed
	case len(c.buf) > 0:
		c.phase = heading
	default:
		c.phase = resting
	}
}

// at tells how far the present request has come.
func (c *framedConn) at() phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase
}

// silent is how long nothing has come.
func (c *framedConn) silent() time.Duration { return time.Since(time.Unix(0, c.moved.Load())) }

// begin is for the first bytes of a request on a kept connection: net/http waits for those with another patience.
func (c *framedConn) begin() {
	now := time.Now()
	c.began.Store(now.UnixNano())
	if c.rests {
		c.rests = false
		_ = c.SetReadDeadline(now.Add(requestPatience))
	}
}

// head reads until a whole head is there and sets what may pass.
func (c *framedConn) head() error {
	if c.served && len(c.buf) > 0 {
		c.begin()
	}
	for from := 0; ; {
		if len(c.buf) > from {
			for len(c.buf) > 1 && c.buf[0] == '\r' && c.buf[1] == '\n' { // empty lines before a request
				c.buf, from = c.buf[2:], 0
			}
			end := bytes.Index(c.buf[from:], []byte("\r\n\r\n"))
			if end >= 0 {
				end += from + len("\r\n\r\n")
				return c.let(func() { c.judge(end) })
			}
			if bareLF(c.buf[from:]) {
				return c.let(c.reject)
			}
			if len(c.buf) > maxHead+headSlack {
				return c.let(func() { c.pass, c.over = -1, true }) // net/http answers 431 and closes
			}
			from = max(0, len(c.buf)-len("\r\n\r")) // what may begin the end of the head
		}
		if len(c.buf) > holdFirst && !c.charge() && c.retire(true) {
			return io.EOF
		}
		c.buf = slices.Grow(c.buf, 1<<10)
		n, err := c.receive(c.buf[len(c.buf):cap(c.buf)])
		if c.served && len(c.buf) == 0 && n > 0 {
			c.begin()
		}
		c.buf = c.buf[:len(c.buf)+n]
		if n == 0 && err != nil {
			return err
		}
	}
}

// ahead reads on while a request waits for its answer. Past a request's end net/http reads one byte, to notice a client
// that goes; given the next request's first it would look no further. So it gets none until the answer has gone out
// (its read is then broken off by a deadline), or until more has come than is worth holding.
func (c *framedConn) ahead() error {
	for len(c.buf) < aheadMost {
		c.buf = slices.Grow(c.buf, 1<<10)
		n, err := c.receive(c.buf[len(c.buf):min(cap(c.buf), aheadMost)])
		c.buf = c.buf[:len(c.buf)+n]
		if n == 0 && err != nil {
			return err
		}
	}
	return nil
}

// charge takes the memory of the longest head, once; false if there is none.
func (c *framedConn) charge() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.charged == 0 && !c.closed && c.of.firsts.take(maxHead+headSlack) {
		c.charged = maxHead + headSlack
	}
	return c.charged > 0
}

func (c *framedConn) discharge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.charged > 0 {
		c.of.firsts.free(c.charged)
		c.charged = 0
	}
}

// let passes a head on, unless the connection has been retired over it.
func (c *framedConn) let(judge func()) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired {
		return io.EOF
	}
	c.phase = passed
	judge()
	return nil
}

func (c *framedConn) judge(end int) {
	c.served = true
	length, chunked, err := framing(c.buf[:end])
	switch {
	case err != nil:
		c.reject()
	case chunked:
		c.pass, c.over = -1, true
	default:
		c.pass = int64(end) + max(length, 0)
		c.over = c.pass < 0 // so long that the sum does not fit
	}
}

func (c *framedConn) reject() {
	c.buf, c.pass, c.over = []byte(flaw), int64(len(flaw)), true
}

// bareLF tells whether a line ends without a CR. The first byte's predecessor is not known, so it is let off.
func bareLF(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}

// SyscallConn is for quiet.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
