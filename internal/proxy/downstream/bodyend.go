package downstream

import (
	"bytes"
	"net"
	"sync"
	"time"

	"merlinpick/internal/proxy/socket"
)

// A client's time counts from the last byte of its request. A body that is streamed is read no faster than a backend takes
// it, so that byte may stand in the system's buffers for as long as a backend hangs or a connection to it is late. The system
// is asked whether it is there.

const (
	bodyEndPollInterval = 25 * time.Millisecond
	httpReaderBuffer    = 4 << 10  // of net/http's reader, which may hold as much of a body as the system no longer shows
	maxPeekBytes        = 64 << 10 // of a chunked body whose end is looked for: a larger rest counts as still coming
)

// lastChunk ends a chunked body without trailers.
var lastChunk = []byte("\r\n0\r\n\r\n")

// bodyEndWatcher looks for the end of a body in the system's buffers of its client's connection, in a goroutine that end
// stops. The client's goroutine owns it.
type bodyEndWatcher struct {
	conn      net.Conn
	remaining func() (n int64, known bool) // bytes of the body that have not been read; unknown for a chunked one
	onEnd     func(arrived time.Time)      // called once, when the end is there

	stop      chan struct{}
	goroutine sync.WaitGroup
}

// watchBodyEnd looks for the end of a body until it is found or end is called.
func watchBodyEnd(conn net.Conn, remaining func() (int64, bool), onEnd func(time.Time)) *bodyEndWatcher {
	w := &bodyEndWatcher{conn: conn, remaining: remaining, onEnd: onEnd, stop: make(chan struct{})}
	w.goroutine.Go(w.run)
	return w
}

func (w *bodyEndWatcher) run() {
	tick := time.NewTicker(bodyEndPollInterval)
	defer tick.Stop()
	var peeked []byte
	for {
		select {
		case <-tick.C:
		case <-w.stop:
			return
		}
		remaining, known := w.remaining()
		if known && socket.Unread(w.conn)+httpReaderBuffer >= remaining || !known && endsChunked(w.conn, &peeked) {
			w.onEnd(time.Now())
			return
		}
	}
}

// end stops the watch and waits for its goroutine.
func (w *bodyEndWatcher) end() {
	close(w.stop)
	w.goroutine.Wait()
}

// endsChunked reports whether what waits to be read is the rest of a chunked body up to its end. buf is allocated once.
func endsChunked(c net.Conn, buf *[]byte) bool {
	waiting := socket.Unread(c)
	if waiting < int64(len(lastChunk)) || waiting > maxPeekBytes {
		return false
	}
	if *buf == nil {
		*buf = make([]byte, maxPeekBytes)
	}
	n := socket.Peek(c, *buf)
	return n > 0 && bytes.HasSuffix((*buf)[:n], lastChunk)
}
