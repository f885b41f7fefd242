package downstream

import (
	"net"
	"sync"
	"time"

	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/socket"
)

// The time that a client waits counts from the last byte of its request. A streamed body is read no faster
// than a backend accepts it, so the last byte may wait in the kernel's receive buffer for as long as a
// backend hangs or the connection to it is delayed. The bodyEndWatcher therefore asks the kernel whether the
// last byte has arrived, however many bytes are unread before it.

const (
	bodyEndPollInterval = 25 * time.Millisecond

	// httpReaderBuffer is the size in bytes of the read buffer of net/http, which may hold that much of a
	// body that is no longer in the kernel's receive buffer.
	httpReaderBuffer = 4 << 10
)

// bodyEndWatcher polls the kernel's receive buffer of a client connection for the end of a request body, in a
// goroutine that stopAndWait stops. It is owned by the goroutine of the client connection.
type bodyEndWatcher struct {
	conn       net.Conn
	remaining  func() (n int64, known bool) // bytes of the body not read yet; known is false if it is chunked
	chunkedEnd *clientconn.ChunkedEndFinder // nil if conn cannot be asked for the end of a chunked body
	onEnd      func(arrived time.Time)      // called once, when the end has arrived

	stop      chan struct{}
	goroutine sync.WaitGroup
}

// watchBodyEnd starts a watcher that polls for the end of a body until it is found or stopAndWait is called.
func watchBodyEnd(conn net.Conn, remaining func() (int64, bool), onEnd func(time.Time)) *bodyEndWatcher {
	w := &bodyEndWatcher{conn: conn, remaining: remaining, onEnd: onEnd, stop: make(chan struct{})}
	if c, ok := conn.(*clientconn.Conn); ok {
		w.chunkedEnd = clientconn.NewChunkedEndFinder(c)
	}
	w.goroutine.Go(w.run)
	return w
}

func (w *bodyEndWatcher) run() {
	tick := time.NewTicker(bodyEndPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-w.stop:
			return
		}
		if arrived, ok := w.endArrived(); ok {
			w.onEnd(arrived)
			return
		}
	}
}

// endArrived reports whether the end of the body has arrived, and when.
func (w *bodyEndWatcher) endArrived() (at time.Time, ok bool) {
	remaining, known := w.remaining()
	switch {
	case known:
		return time.Now(), socket.Unread(w.conn)+httpReaderBuffer >= remaining
	case w.chunkedEnd != nil:
		return w.chunkedEnd.Arrived()
	}
	return time.Time{}, false
}

// stopAndWait stops the watcher and waits until its goroutine has ended.
func (w *bodyEndWatcher) stopAndWait() {
	close(w.stop)
	w.goroutine.Wait()
}
