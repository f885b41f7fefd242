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

const (
	maxResponseHeadBytes = 16 << 10 // of a backend's answer, before its body
	maxInformational     = 5        // answers of a status below 200 before the one that counts, as in net/http
)

// conn is a connection to a backend; it carries one request at a time.
type backendConn struct {
	net.Conn
	reader          *bufio.Reader
	responseReader  *bufio.Reader // of a head that was looked at, and then r
	responseStarted bool          // a byte of the present answer has
	backend         *backend
	generation      int // of the backend when it was opened
	idleSince       time.Time
	idleFor         time.Duration // before its present request; 0 for its first
}

// counted reads from the connection and notes that something came.
func (c *backendConn) notingReader() io.Reader { return readerFunc(c.readNoting) }

func (c *backendConn) readNoting(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.responseStarted = c.responseStarted || n > 0
	return n, err
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// quiet tells whether a connection is open with nothing to read: an idle peer that has closed it, or sends
// what nobody asked for, shows here without a wait.
func openAndQuiet(c net.Conn) bool {
	open := false
	_, err := peekSocket(c, func(_ uintptr, _ int, err error) { open = errors.Is(err, syscall.EAGAIN) })
	return err == nil && open
}

// peek looks at what there is to read on a connection, without a wait and without taking it. False if it has no socket
// to be looked at; an error is one of getting at the socket, look is then not called.
func peekSocket(c net.Conn, look func(fd uintptr, n int, err error)) (ok bool, err error) {
	return withDescriptor(c, func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		look(fd, n, err)
	})
}

// control calls f with a connection's descriptor. False if it has none; an error is one of getting at it, f is then not
// called. By Control, not Read: Read waits for any other reader, and the server always has one on its client.
func withDescriptor(c net.Conn, f func(fd uintptr)) (ok bool, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, nil
	}
	return true, raw.Control(f)
}

// resetOnClose has a connection's close drop what the system still holds back, and tell the peer that it broke.
func resetOnClose(c net.Conn) {
	if l, ok := c.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0)
	}
}

// response reads an answer's head, past those that only say that one is to come. One whose body two readers could see end
// in two places is no answer: net/http would settle that unseen, and the rest of it would be taken for the next answer.
func (c *backendConn) readResponse(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		head, err := c.readHead()
		if err != nil {
			return nil, err
		}
		length, chunked, err := parseFraming(head)
		if err != nil {
			return nil, err
		}
		c.responseReader.Reset(io.MultiReader(bytes.NewReader(head), c.reader))
		resp, err := http.ReadResponse(c.responseReader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		early := resp.StatusCode < 200
		if bodiless := early || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified; bodiless && (length > 0 || chunked) {
			return nil, errAmbiguousFraming
		}
		if !early {
			return resp, nil
		}
	}
	return nil, errors.New("no end of early words")
}

// head reads up to the empty line.
func (c *backendConn) readHead() (head []byte, err error) {
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(head) > maxResponseHeadBytes:
			return nil, errors.New("head too long")
		case err == nil && !bytes.HasSuffix(line, []byte("\r\n")):
			return nil, errAmbiguousFraming
		}
	}
	return head, nil
}
