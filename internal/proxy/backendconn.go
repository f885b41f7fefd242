package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"merlinpick/internal/proxy/framing"
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

// response reads an answer's head, past those that only say that one is to come. One whose body two readers could see end
// in two places is no answer: net/http would settle that unseen, and the rest of it would be taken for the next answer.
func (c *backendConn) readResponse(method string) (*http.Response, error) {
	for range maxInformational + 1 {
		head, err := c.readHead()
		if err != nil {
			return nil, err
		}
		length, chunked, err := framing.Parse(head)
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
			return nil, framing.ErrAmbiguous
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
			return nil, framing.ErrAmbiguous
		}
	}
	return head, nil
}
