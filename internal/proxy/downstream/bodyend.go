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
//
// While the receive buffer is full, the client's kernel holds more of the body, perhaps all of the rest: its
// client may have sent the last byte as soon as the buffer was full. So the time counts from then if the body
// turns out to have ended, and is over when the buffer has been full for as long as the client waits.

const (
	bodyEndPollInterval = 25 * time.Millisecond

	// maxUnreadWhileSending is how many bytes may be unread while the client's kernel can surely send more: the
	// receive buffer may be as small as 64 KiB, and a kernel may wait until much of it is free.
	maxUnreadWhileSending = 4 << 10
	// pollsWhileSending is in how many polls in a row there must be so few: the buffer of a slow backend's
	// upload runs empty for moments, too.
	pollsWhileSending = 2
	// maxClientSendBuffer is how many bytes a client's kernel holds at most: the default limit of Linux
	// (net.ipv4.tcp_wmem).
	maxClientSendBuffer = 4 << 20

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
	timeout    time.Duration                // how long the client waits after the last byte
	// mayHaveSentAll is since when the client may have sent the last byte: the last time at which it surely
	// had not.
	mayHaveSentAll time.Time
	lowPolls       int // polls in a row with at most maxUnreadWhileSending bytes unread
	// onEnd is called once, when the end has arrived or the client's time is over, with the time from which
	// the client's time counts.
	onEnd func(sent time.Time)

	stop      chan struct{}
	goroutine sync.WaitGroup
}

// watchBodyEnd starts a watcher that polls for the end of a body until it has called onEnd or stopAndWait is
// called.
func watchBodyEnd(conn net.Conn, remaining func() (int64, bool), timeout time.Duration, onEnd func(time.Time)) *bodyEndWatcher {
	w := &bodyEndWatcher{conn: conn, remaining: remaining, timeout: timeout, mayHaveSentAll: time.Now(), onEnd: onEnd,
		stop: make(chan struct{})}
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
		// In this order: bytes that are read in between count as missing, not as both read and unread.
		remaining, known := w.remaining()
		unread := socket.Unread(w.conn)
		if w.isClientSending(remaining, known, unread) {
			w.mayHaveSentAll = time.Now()
		}
		arrived, ended := w.endArrived(remaining, known, unread)
		if ended && arrived.Before(w.mayHaveSentAll) {
			w.mayHaveSentAll = arrived
		}
		if ended || time.Since(w.mayHaveSentAll) >= w.timeout {
			w.onEnd(w.mayHaveSentAll)
			return
		}
	}
}

// isClientSending reports whether the client has surely not sent the last byte yet, unless that byte has
// arrived: its kernel could send more, or holds less than is missing.
func (w *bodyEndWatcher) isClientSending(remaining int64, known bool, unread int64) bool {
	w.lowPolls++
	if unread > maxUnreadWhileSending {
		w.lowPolls = 0
	}
	return w.lowPolls >= pollsWhileSending || known && remaining-unread > maxClientSendBuffer
}

// endArrived reports whether the end of the body has arrived, and when.
func (w *bodyEndWatcher) endArrived(remaining int64, known bool, unread int64) (at time.Time, ok bool) {
	switch {
	case known:
		return time.Now(), unread+httpReaderBuffer >= remaining
	case w.chunkedEnd != nil:
		return w.chunkedEnd.Arrived()
	}
	return time.Time{}, false
}

// stopAndWait stops the watcher and waits until its goroutine has ended.
func (w *bodyEndWatcher) stopAndWait() {
	close(w.stop)
	w.goroutine.Wait()
	if w.chunkedEnd != nil {
		w.chunkedEnd.Close()
	}
}
