package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// answerHead bounds what a backend's answer may hold before its body.
const answerHead = 16 << 10

// conn is a connection to a backend; it carries one request at a time.
type conn struct {
	net.Conn
	r     *bufio.Reader
	body  *bufio.Reader // of a head that was looked at, and then r
	came  bool          // a byte of the present answer has
	of    *backend
	epoch int // of the backend when it was opened
	since time.Time
	idle  time.Duration // before its present request; 0 for its first
}

// counted reads from the connection and notes that something came.
func (c *conn) counted() io.Reader { return readFunc(c.readOn) }

func (c *conn) readOn(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.came = c.came || n > 0
	return n, err
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// quiet tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	// Control, not Read: Read waits for any other reader, and the server always has one on an idle client.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && open
}

// resetOnClose has a connection's close drop what the system still holds back, and tell the peer that it broke.
func resetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// response reads an answer's head. One whose body two readers could see end in two places is no answer:
// net/http would settle that unseen, and the rest of it would be taken for the next answer.
func (c *conn) response(method string) (*http.Response, error) {
	var head []byte
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		line, err := c.r.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(head) > answerHead:
			return nil, errors.New("head too long")
		case err == nil && !bytes.HasSuffix(line, []byte("\r\n")):
			return nil, errFraming
		}
	}
	if _, _, err := framing(head); err != nil {
		return nil, err
	}
	c.body.Reset(io.MultiReader(bytes.NewReader(head), c.r))
	return http.ReadResponse(c.body, &http.Request{Method: method})
}
