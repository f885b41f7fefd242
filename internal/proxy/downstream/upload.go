package downstream

import (
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/proxy/clientconn"
)

const (
	// MaxRequestBodyBytes is how long a request body may be, in bytes; a longer one is rejected.
	MaxRequestBodyBytes = 40 << 20
	// MaxBufferedBody is how many bytes of a body are buffered, at most, so that a retry can send them again.
	// The rest is streamed.
	MaxBufferedBody = 256 << 10

	// guaranteedBodyBuffer is how many bytes of a body are buffered even if bodyMemory is used up. They are
	// sent to the backend together with the head.
	guaranteedBodyBuffer = 32 << 10

	// From clientconn.RequestReadTimeout after the start of its request, a body must arrive at minUploadRate
	// (bytes a second) on average, and without a pause of uploadStallTimeout. Slow clients send 64 kB a
	// second.
	minUploadRate      = 32 << 10
	uploadStallTimeout = 1500 * time.Millisecond
)

// The reasons why a body is not read to its end. Clients are shown the text of errDraining, errConnShortage
// and errBodyMemory.
var (
	errBodyTooLarge = errors.New("the body is too large")
	errDraining     = errors.New("the proxy ends before the body has come")
	errConnShortage = errors.New("connections run short and the body stands still")
	errBodyMemory   = errors.New("too many bodies are held")
	errRequestEnded = errors.New("the request has ended before its body was read")
)

// upload is a request body that is being received from a client. The goroutine of the client's connection
// owns it and alone reads it; any goroutine may interrupt it with stop.
type upload struct {
	source          io.Reader
	contentLength   int64 // -1: unknown
	setReadDeadline func(time.Time) error
	startedAt       time.Time // start of the request
	lastReceived    time.Time
	received        atomic.Int64 // bytes
	bodyMemory      *clientconn.MemoryBudget
	bodyReserved    int // bytes reserved from bodyMemory
	headMemory      *clientconn.MemoryBudget
	headReserved    int // bytes reserved from headMemory
	streamMemory    *clientconn.MemoryBudget
	streamReserved  int // bytes reserved from streamMemory
	streamBuffers   *streamBuffers
	conn            net.Conn

	mu        sync.Mutex
	complete  bool  // all of the body has been read
	interrupt error // why the rest is not read; nil if it is. See stop.
}

// newUpload registers the upload of a request that started at startedAt.
func (srv *Server) newUpload(w http.ResponseWriter, r *http.Request, startedAt time.Time) *upload {
	u := &upload{source: r.Body, contentLength: r.ContentLength, setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		startedAt: startedAt, lastReceived: time.Now(), bodyMemory: srv.bodyMemory, headMemory: srv.headMemory,
		streamMemory: srv.streamMemory, streamBuffers: &srv.streamBuffers}
	u.conn, _ = r.Context().Value(connKey{}).(net.Conn)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.uploads[u] = true
	return u
}

// releaseUpload unregisters an upload and releases the memory that it reserved.
func (srv *Server) releaseUpload(u *upload) {
	u.bodyMemory.Release(u.bodyReserved)
	u.headMemory.Release(u.headReserved)
	u.streamMemory.Release(u.streamReserved)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.uploads, u)
}

// rejectUploads interrupts the uploads that are not complete, since the process ends before they can be.
func (srv *Server) rejectUploads() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for u := range srv.uploads {
		u.stop(errDraining)
	}
}

// Read reads from the client. It fails with os.ErrDeadlineExceeded if the body arrives too slowly, or with
// one of the errors above.
func (u *upload) Read(p []byte) (int, error) {
	deadline := u.readDeadline()
	if err := u.armReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := u.source.Read(p)
	if throttled := u.takeThrottled(); throttled > 0 {
		u.excludePause(throttled)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = cmp.Or(u.armReadDeadline(deadline), err)
	}
	if n > 0 {
		u.received.Add(int64(n))
		u.lastReceived = time.Now()
	}
	if u.received.Load() > MaxRequestBodyBytes {
		return n, errBodyTooLarge
	}
	return n, err
}

// takeThrottled returns for how long the proxy has throttled the reading of the body since the last call.
func (u *upload) takeThrottled() time.Duration {
	if c, ok := u.conn.(*clientconn.Conn); ok {
		return c.TakeBodyThrottled()
	}
	return 0
}

// excludePause keeps the time in which the backend took no bytes, or the client was throttled, so that none were read,
// from counting against the client.
func (u *upload) excludePause(pause time.Duration) {
	u.startedAt = u.startedAt.Add(pause)
	u.lastReceived = u.lastReceived.Add(pause)
}

// readDeadline returns the time by which the next byte must arrive.
func (u *upload) readDeadline() time.Time {
	graceEnd := u.startedAt.Add(clientconn.RequestReadTimeout)
	stallDeadline := u.lastReceived.Add(uploadStallTimeout)
	if stallDeadline.Before(graceEnd) {
		stallDeadline = graceEnd
	}
	rateDeadline := graceEnd.Add(time.Duration(u.received.Load()) * time.Second / minUploadRate)
	if rateDeadline.Before(stallDeadline) {
		return rateDeadline
	}
	return stallDeadline
}

// armReadDeadline sets the deadline of the next read, or returns the reason why the body is not read any
// further.
func (u *upload) armReadDeadline(deadline time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.interrupt != nil {
		return u.interrupt
	}
	_ = u.setReadDeadline(deadline)
	return nil
}

// stop interrupts a waiting read and makes later ones fail with the reason, unless the body is complete. Of
// several reasons, errRequestEnded takes precedence over errDraining, and errDraining over errConnShortage.
func (u *upload) stop(reason error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.complete {
		return
	}
	if u.interrupt == nil || reason == errRequestEnded || u.interrupt == errConnShortage {
		u.interrupt = reason
	}
	_ = u.setReadDeadline(time.Unix(1, 0))
}

// markComplete records that all of the body has been read. It returns false if the request had already ended.
func (u *upload) markComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	// A body that was read completely is in time, even if a drain has interrupted the upload meanwhile.
	u.complete = u.interrupt != errRequestEnded
	return u.complete
}

// isCancelled reports whether the request ended before its body was complete, so that nobody needs the rest.
func (u *upload) isCancelled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.interrupt == errRequestEnded
}

// buffer reads as much of the body as may be buffered; complete reports whether that is all of it. It fails
// with errBodyTooLarge, errBodyMemory, or an error of Read.
func (u *upload) buffer() (body []byte, complete bool, err error) {
	if u.contentLength == 0 {
		return nil, true, nil
	}
	if u.contentLength > MaxRequestBodyBytes {
		return nil, false, errBodyTooLarge
	}
	for {
		if len(body) == cap(body) {
			more := max(clientconn.UnmeteredBuffer, cap(body))
			if known := int(u.contentLength) - len(body); u.contentLength > 0 {
				more = min(more, known)
			}
			ok, err := u.reserve(cap(body), more)
			if !ok {
				return body, false, err
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := u.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF, err == nil && u.received.Load() == u.contentLength:
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// reserve reserves the memory for a buffer of size bytes to grow by more. It returns false if the buffer may
// not grow, with errBodyMemory if there is no memory even for the first guaranteedBodyBuffer bytes.
func (u *upload) reserve(size, more int) (bool, error) {
	switch size += more; {
	case size > MaxBufferedBody:
		return false, nil
	case size > guaranteedBodyBuffer:
		if !u.bodyMemory.Reserve(more) {
			return false, nil
		}
		u.bodyReserved += more
	case size > clientconn.UnmeteredBuffer:
		if !u.headMemory.Reserve(more) {
			return false, errBodyMemory
		}
		u.headReserved += more
	}
	return true, nil
}

// reserveStream reserves the memory for copying the rest of the body to a backend. It returns errBodyMemory if
// there is none.
func (u *upload) reserveStream() error {
	size := HTTPCopyBuffer + StreamBuffers*u.streamBuffers.length()
	if !u.streamMemory.Reserve(size) {
		return errBodyMemory
	}
	u.streamReserved = size
	return nil
}

// remaining returns how many bytes of the body have not been read; known is false without a Content-Length.
func (u *upload) remaining() (n int64, known bool) {
	return u.contentLength - u.received.Load(), u.contentLength >= 0
}

// forwardTo writes the rest of the body to the pipe that the attempt reads from.
func (u *upload) forwardTo(pipe *io.PipeWriter) error {
	buf := u.streamBuffers.get()
	defer u.streamBuffers.put(buf)
	for {
		n, err := u.Read(buf)
		if n > 0 && err != errBodyTooLarge {
			pause, err := u.writeTo(pipe, buf[:n])
			if err != nil {
				return errRequestEnded
			}
			u.excludePause(pause)
		}
		if err == io.EOF || err == nil && u.received.Load() == u.contentLength {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writeTo writes to the pipe, and returns how long the attempt that reads from it took.
func (u *upload) writeTo(pipe *io.PipeWriter, b []byte) (took time.Duration, err error) {
	began := time.Now()
	write := func() { _, err = pipe.Write(b) }
	if c, ok := u.conn.(*clientconn.Conn); ok {
		c.Charge(clientconn.ForwardCost)
		c.AwaitOthers(write)
	} else {
		write()
	}
	return time.Since(began), err
}

// reject returns the response to a request whose body is not read any further, and keeps net/http from waiting for
// more of it before it closes the connection.
func (u *upload) reject(w http.ResponseWriter, err error) Response {
	_ = u.setReadDeadline(time.Unix(1, 0))
	return u.errorResponse(w, err)
}

// errorResponse returns the response to a request whose body could not be read, for the error of Read or
// buffer. The connection closes, since the rest of the body could not be told from a next request.
func (u *upload) errorResponse(w http.ResponseWriter, err error) Response {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyTooLarge):
		return errorResponse(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errDraining), errors.Is(err, errConnShortage), errors.Is(err, errBodyMemory):
		// The request was never executed, so the client may send it again.
		return errorResponse(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errorResponse(http.StatusRequestTimeout, "the body came too slowly")
	}
	return errorResponse(http.StatusBadRequest, "the body broke off")
}
