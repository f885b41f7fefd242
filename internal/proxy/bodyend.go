package proxy

import (
	"bytes"
	"merlinpick/internal/proxy/socket"
	"net"
	"sync"
	"time"
)

// The time of a request counts from the last byte that its client sent. A body that is passed on is read no faster than a
// backend takes it, so that byte may stand in the system's buffers for as long as a backend hangs or a connection to it is
// late. The system is asked whether it is there.

const (
	bodyEndPollInterval = 25 * time.Millisecond
	httpReaderBuffer    = 4 << 10  // of net/http's reader, which may hold as much of a body as the system no longer shows
	maxPeekBytes        = 64 << 10 // of a chunked body whose end is looked for: a larger rest counts as still coming
)

// lastChunk ends a chunked body without trailers.
var lastChunk = []byte("\r\n0\r\n\r\n")

// arrival watches for the end of a body in the buffers of its client's connection.
type bodyEndWatcher struct {
	conn      net.Conn
	remaining func() (n int64, known bool) // bytes of the body that have not been read; unknown for a chunked one
	onEnd     func(at time.Time)           // called once, when the end is there

	stop      chan struct{}
	goroutine sync.WaitGroup
}

// watchArrival looks for the end of a body until it is found or end is called.
func watchBodyEnd(conn net.Conn, missing func() (int64, bool), found func(time.Time)) *bodyEndWatcher {
	a := &bodyEndWatcher{conn: conn, remaining: missing, onEnd: found, stop: make(chan struct{})}
	a.goroutine.Go(a.run)
	return a
}

func (a *bodyEndWatcher) run() {
	tick := time.NewTicker(bodyEndPollInterval)
	defer tick.Stop()
	var peeked []byte
	for {
		select {
		case <-tick.C:
		case <-a.stop:
			return
		}
		missing, known := a.remaining()
		if known && socket.Unread(a.conn)+httpReaderBuffer >= missing || !known && endsChunked(a.conn, &peeked) {
			a.onEnd(time.Now())
			return
		}
	}
}

// end stops the watch and waits for it.
func (a *bodyEndWatcher) end() {
	close(a.stop)
	a.goroutine.Wait()
}

// endsChunked tells whether what waits to be read is the rest of a chunked body up to its end.
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
