package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

// framedConn is a client's connection that lets net/http see no more than one request at a time, and only
// one whose framing is beyond doubt. Nothing passes after a chunked request: its connection is to be closed.
type framedConn struct {
	net.Conn
	buf  []byte // read and not passed yet
	pass int64  // bytes that may pass before the next head is looked at; negative: all
	over bool   // after these comes nothing more

	served bool         // a head has passed
	began  atomic.Int64 // when the present request did, or the connection for its first; in Unix nanoseconds
	moved  atomic.Int64 // when something last came, or the connection did
	asked  atomic.Bool  // something has come since the last answer, whoever has read it by now
}

// flaw stands in for a head whose framing is in doubt: net/http answers it 400 and closes. It comes as
// something to read, since an error would also take away the answer to a request that is still in flight.
const flaw = "ambiguous\r\n\r\n"

func (c *framedConn) Read(p []byte) (int, error) {
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
		}
	} else {
		n, err = c.Conn.Read(p)
		c.move(n)
	}
	if c.pass > 0 {
		c.pass -= int64(n)
	}
	return n, err
}

// newFramedConn wraps a connection that has just come.
func newFramedConn(c net.Conn) *framedConn {
	f := &framedConn{Conn: c}
	now := time.Now().UnixNano()
	f.began.Store(now)
	f.moved.Store(now)
	return f
}

// move notes that n bytes came.
func (c *framedConn) move(n int) {
	if n > 0 {
		c.asked.Store(true)
		c.moved.Store(time.Now().UnixNano())
	}
}

// answered notes that the present request has its answer. It comes from the goroutine that reads.
func (c *framedConn) answered() { c.asked.Store(len(c.buf) > 0) }

// silent is how long nothing has come.
func (c *framedConn) silent() time.Duration { return time.Since(time.Unix(0, c.moved.Load())) }

// head reads until a whole head is there and sets what may pass.
func (c *framedConn) head() error {
	if c.served && len(c.buf) > 0 {
		c.began.Store(time.Now().UnixNano())
	}
	for from := 0; ; {
		if len(c.buf) > from {
			for len(c.buf) > 1 && c.buf[0] == '\r' && c.buf[1] == '\n' { // empty lines before a request
				c.buf, from = c.buf[2:], 0
			}
			end := bytes.Index(c.buf[from:], []byte("\r\n\r\n"))
			if end >= 0 {
				end += from + len("\r\n\r\n")
				c.judge(end)
				return nil
			}
			if bareLF(c.buf[from:]) {
				c.reject()
				return nil
			}
			if len(c.buf) > maxHead+headSlack {
				c.pass, c.over = -1, true // net/http answers 431 and closes
				return nil
			}
			from = max(0, len(c.buf)-len("\r\n\r")) // what may begin the end of the head
		}
		c.buf = slices.Grow(c.buf, 1<<10)
		n, err := c.Conn.Read(c.buf[len(c.buf):cap(c.buf)])
		c.move(n)
		if c.served && len(c.buf) == 0 {
			c.began.Store(time.Now().UnixNano())
		}
		c.buf = c.buf[:len(c.buf)+n]
		if n == 0 && err != nil {
			return err
		}
	}
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

// CloseWrite lets net/http end an answer gently before it closes on a peer that still sends.
func (c *framedConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SyscallConn is for quiet.
func (c *framedConn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
