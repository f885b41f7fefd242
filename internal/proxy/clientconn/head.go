package clientconn

import (
	"bytes"
	"io"
	"slices"

	"merlinpick/internal/cpushare"
	"merlinpick/internal/proxy/framing"
)

// How the head of a request is checked before net/http gets it. A head whose framing is ambiguous, or that is too
// long, is replaced with one that net/http answers with an error.

const (
	// MalformedHead replaces a head whose framing is ambiguous: net/http responds with 400 and closes. It is
	// passed as bytes, since a read error would also lose the response to a request still in flight.
	MalformedHead = "ambiguous\r\n\r\n"

	headReadSlack = 4 << 10 // bytes that net/http reads beyond MaxHeaderBytes before it responds with 431

	// maxBufferedHead is how many bytes of a head are buffered at most.
	maxBufferedHead = MaxHeadBytes + headReadSlack
)

// overlongHead replaces a head that is longer than maxBufferedHead: net/http responds with 431 and closes. It
// has a single field, since each field that net/http parses takes many times its length.
var overlongHead = slices.Concat([]byte("GET / HTTP/1.1\r\nX: "), bytes.Repeat([]byte("x"), maxBufferedHead))

// checkHead checks the buffered bytes, except for the first checked ones, and passes a head that is complete,
// too long or malformed; done reports whether it did.
func (c *Conn) checkHead(checked int) (done bool, err error) {
	for len(c.buffered) > 1 && c.buffered[0] == '\r' && c.buffered[1] == '\n' { // empty lines before a request
		c.buffered, checked = c.buffered[2:], 0
	}
	unchecked := c.buffered[checked:]
	switch end := bytes.Index(unchecked, []byte("\r\n\r\n")); {
	case end >= 0 && checked+end <= maxBufferedHead:
		return true, c.passCompleteHead(checked + end + len("\r\n\r\n"))
	case end < 0 && hasBareLF(unchecked):
		c.awaitTurn(cpushare.HandleRequest)
		return true, c.passHead(func() { c.passInsteadLocked([]byte(MalformedHead)) })
	case len(c.buffered) > maxBufferedHead:
		c.awaitTurn(cpushare.HandleRequest)
		return true, c.passHead(func() { c.passInsteadLocked(overlongHead) })
	}
	return false, nil
}

// passCompleteHead passes the head that ends at index end of buffered, once there is memory for its fields. If
// there is none, the request is rejected and the connection closed, or, behind a request in flight, answered
// as malformed.
func (c *Conn) passCompleteHead(end int) error {
	c.awaitTurn(cpushare.HandleRequest)
	if c.reserveParsed(c.buffered[:end]) {
		return c.passHead(func() { c.frameRequestLocked(end) })
	}
	if c.CloseUnused(true) {
		return io.EOF
	}
	return c.passHead(func() { c.passInsteadLocked([]byte(MalformedHead)) })
}

// passHead calls setPassable with mu locked, unless the connection is already discarding.
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

// frameRequestLocked passes the head that ends at index end of buffered, and its body.
func (c *Conn) frameRequestLocked(end int) {
	c.hadRequest = true
	length, chunked, err := framing.Parse(c.buffered[:end])
	switch {
	case err != nil:
		c.passInsteadLocked([]byte(MalformedHead))
	case chunked:
		c.passable, c.eofAfterPass = -1, true
		c.chunked = true
		c.followBodyLocked(c.buffered[end:])
	default:
		c.passable = int64(end) + max(length, 0)
		c.eofAfterPass = c.passable < 0 // the sum has overflowed
	}
}

// followBodyLocked follows the framing of a chunked body through bytes that have been read from the socket.
func (c *Conn) followBodyLocked(received []byte) {
	if c.chunked {
		c.chunks.Scan(received)
		c.bodyReceived += int64(len(received))
	}
}

// passInsteadLocked passes a head in place of the buffered bytes. net/http answers it with an error and closes.
func (c *Conn) passInsteadLocked(head []byte) {
	c.buffered, c.passable, c.eofAfterPass = slices.Clip(head), int64(len(head)), true
}

// hasBareLF reports whether an LF in b does not follow a CR. An LF as the first byte does not count, since
// the byte before it is unknown.
func hasBareLF(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] == '\n' && b[i-1] != '\r' {
			return true
		}
	}
	return false
}
