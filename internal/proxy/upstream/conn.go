package upstream

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
	maxResponseHeadBytes = 16 << 10
	maxInformational     = 5 // responses with a status below 200 before the final one, as in net/http
)

var (
	errHeadTooLong          = errors.New("upstream: the response's header is longer than 16 KiB")
	errTooManyInformational = errors.New("upstream: more than 5 informational (1xx) responses")
)

// conn is a connection to a backend. It carries one request at a time, and belongs to that request's attempt
// or, while idle, to the pool.
type conn struct {
	net.Conn
	backend    *backend
	generation int // of the backend when it was opened
	reader     *bufio.Reader
	// responseReader reads a response whose header was checked: first the header, then from reader.
	responseReader  *bufio.Reader
	responseStarted bool // a byte of the current response has arrived
	idleSince       time.Time
	idleFor         time.Duration // how long it was idle before the current request; 0 for its first
}

// responseStartReader reads from a connection and sets responseStarted when data arrives.
type responseStartReader struct{ c *conn }

func (r responseStartReader) Read(p []byte) (int, error) {
	n, err := r.c.Conn.Read(p)
	r.c.responseStarted = r.c.responseStarted || n > 0
	return n, err
}

// readResponse reads the header of the final response and skips informational ones. It fails if the length of
// the body is ambiguous: net/http would silently choose one, and the rest could be taken for the next
// response.
func (c *conn) readResponse(method string) (*http.Response, error) {
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
		informational := resp.StatusCode < 200
		bodiless := informational || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified
		if bodiless && (length > 0 || chunked) {
			return nil, framing.ErrAmbiguous
		}
		if !informational {
			return resp, nil
		}
	}
	return nil, errTooManyInformational
}

// readHead reads a response's status line and header, up to and including the empty line.
func (c *conn) readHead() (head []byte, err error) {
	for !bytes.HasSuffix(head, []byte("\r\n\r\n")) {
		line, err := c.reader.ReadSlice('\n')
		head = append(head, line...)
		switch {
		case errors.Is(err, io.EOF) && len(head) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(head) > maxResponseHeadBytes:
			return nil, errHeadTooLong
		case err == nil && !bytes.HasSuffix(line, []byte("\r\n")):
			return nil, framing.ErrAmbiguous
		}
	}
	return head, nil
}
