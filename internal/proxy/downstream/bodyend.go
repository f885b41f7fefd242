package downstream

import (
	"bytes"
	"net"
	"sync"
	"time"

	"merlinpick/internal/proxy/socket"
)

// The time that a client waits counts from the last byte of its request. A streamed body is read no faster
// than a backend accepts it, so the last byte may wait in the kernel's receive buffer for as long as a
// backend hangs or the connection to it is delayed. The bodyEndWatcher therefore asks the kernel whether the
// last byte has arrived.

const (
	bodyEndPollInterval = 25 * time.Millisecond

	// httpReaderBuffer is the size in bytes of the read buffer of net/http, which may hold that much of a
	// body that is no longer in the kernel's receive buffer.
	httpReaderBuffer = 4 << 10

	// maxPeekBytes is how many unread bytes are searched, at most, for the end of a chunked body. If more are
	// unread, the body counts as incomplete.
	maxPeekBytes = 64 << 10
)

// lastChunk ends a chunked body without trailers.
var lastChunk = []byte("\r\n0\r\n\r\n")

// bodyEndWatcher polls the kernel's receive buffer of a client connection for the end of a request body, in a
// goroutine that stopAndWait stops. It is owned by the goroutine of the client connection.
type bodyEndWatcher struct {
	conn      net.Conn
	remaining func() (n int64, known bool) // bytes of the body not read yet; known is false if it is chunked
	onEnd     func(arrived time.Time)      // called once, when the end has arrived

	stop      chan struct{}
	goroutine sync.WaitGroup
}

// watchBodyEnd starts a watcher that polls for the end of a body until it is found or stopAndWait is called.
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
		if known && socket.Unread(w.conn)+httpReaderBuffer >= remaining ||
			!known && chunkedEndArrived(w.conn, &peeked) {
			w.onEnd(time.Now())
			return
		}
	}
}

// stopAndWait stops the watcher and waits until its goroutine has ended.
func (w *bodyEndWatcher) stopAndWait() {
	close(w.stop)
	w.goroutine.Wait()
}

// chunkedEndArrived reports whether the unread bytes in the kernel's receive buffer contain the rest of a
// chunked body up to its end. It allocates buf on first use.
func chunkedEndArrived(c net.Conn, buf *[]byte) bool {
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
