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
	// MaxRequestBodyBytes of a body are read; a longer one is rejected.
	MaxRequestBodyBytes = 40 << 20
	// MaxBufferedBody bytes of a body are buffered at most, to be sent again; the rest is streamed.
	MaxBufferedBody = 256 << 10

	// guaranteedBodyBuffer bytes are, however little memory is left, and go out with the head at once.
	guaranteedBodyBuffer = 32 << 10

	// A body must come at minUploadRate (bytes a second) from clientconn.RequestReadTimeout after its request's start, and must not
	// pause for uploadStallTimeout. Slow clients send 64 kB a second.
	minUploadRate      = 32 << 10
	uploadStallTimeout = 1500 * time.Millisecond
)

// Why a body is not read to its end. Clients are shown the text of errDraining, errConnShortage and errBodyMemory.
var (
	errBodyTooLarge = errors.New("the body is too large")
	errDraining     = errors.New("the proxy ends before the body has come")
	errConnShortage = errors.New("connections run short and the body stands still")
	errBodyMemory   = errors.New("too many bodies are held")
	errRequestEnded = errors.New("the request is over")
)

// upload is a request's body on its way from the client. The client's goroutine owns it and alone reads it; any goroutine
// may interrupt it.
type upload struct {
	source          io.Reader
	contentLength   int64 // -1: unknown
	setReadDeadline func(time.Time) error
	startedAt       time.Time // of the request
	lastReceived    time.Time
	received        atomic.Int64 // bytes
	bodyMemory      *clientconn.MemoryBudget
	bodyReserved    int // of bodyMemory
	headMemory      *clientconn.MemoryBudget
	headReserved    int // of headMemory
	conn            net.Conn

	mu        sync.Mutex
	complete  bool  // all of it has come
	interrupt error // why the rest is not read; nil: it is. See stop.
}

// newUpload registers an upload of a request that started at a moment.
func (srv *Server) newUpload(w http.ResponseWriter, r *http.Request, startedAt time.Time) *upload {
	u := &upload{source: r.Body, contentLength: r.ContentLength, setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		startedAt: startedAt, lastReceived: time.Now(), bodyMemory: srv.bodyMemory, headMemory: srv.headMemory}
	u.conn, _ = r.Context().Value(connKey{}).(net.Conn)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	srv.uploads[u] = true
	return u
}

// releaseUpload gives back the memory that an upload had reserved.
func (srv *Server) releaseUpload(u *upload) {
	u.bodyMemory.Release(u.bodyReserved)
	u.headMemory.Release(u.headReserved)
	srv.mu.Lock()
	defer srv.mu.Unlock()
	delete(srv.uploads, u)
}

// rejectUploads ends the uploads that are not complete: the process ends before they can be.
func (srv *Server) rejectUploads() {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	for u := range srv.uploads {
		u.stop(errDraining)
	}
}

// Read reads from the client. It fails with os.ErrDeadlineExceeded for a body that comes too slowly, or with one of the
// errors above.
func (u *upload) Read(p []byte) (int, error) {
	deadline := u.readDeadline()
	if err := u.armReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := u.source.Read(p)
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

// readDeadline is until when the next byte must come.
func (u *upload) readDeadline() time.Time {
	start := u.startedAt.Add(clientconn.RequestReadTimeout)
	stalled := u.lastReceived.Add(uploadStallTimeout)
	if stalled.Before(start) {
		stalled = start
	}
	slow := start.Add(time.Duration(u.received.Load()) * time.Second / minUploadRate)
	if slow.Before(stalled) {
		return slow
	}
	return stalled
}

// armReadDeadline sets the deadline for the next read, or returns why there is to be none.
func (u *upload) armReadDeadline(deadline time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.interrupt != nil {
		return u.interrupt
	}
	_ = u.setReadDeadline(deadline)
	return nil
}

// stop breaks a read off that waits and has later ones fail, unless all has come. Of several reasons errRequestEnded goes
// before errDraining and that before errConnShortage.
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

// markComplete notes that all has come; false if nobody wanted it any more.
func (u *upload) markComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = u.interrupt != errRequestEnded // a drain may reject it shortly before the cutoff: it is in time
	return u.complete
}

// isCancelled reports whether nobody wanted the rest of the body any more.
func (u *upload) isCancelled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.interrupt == errRequestEnded
}

// buffer reads as much of the body as may be buffered; complete reports that this is all of it. It fails with
// errBodyTooLarge, errBodyMemory, or an error of Read.
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

// reserve lets a buffer of a size grow; false if it may not. With errBodyMemory there is not even room for the first bytes.
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

// remaining is how many bytes of the body have not been read; unknown without a length.
func (u *upload) remaining() (n int64, known bool) {
	return u.contentLength - u.received.Load(), u.contentLength >= 0
}

// forwardTo writes the rest of the body into the pipe that the attempt reads.
func (u *upload) forwardTo(pipe *io.PipeWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := u.Read(*buf)
		if n > 0 && err != errBodyTooLarge {
			if _, err := pipe.Write((*buf)[:n]); err != nil {
				return errRequestEnded
			}
		}
		if err == io.EOF || err == nil && u.received.Load() == u.contentLength {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// errorResponse is the response to a body that did not come as it should. What is left of it cannot be distinguished from a next
// request, and is not read.
func (u *upload) errorResponse(w http.ResponseWriter, err error) Response {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyTooLarge):
		return errorResponse(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errDraining), errors.Is(err, errConnShortage), errors.Is(err, errBodyMemory): // never executed: it may come again
		return errorResponse(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errorResponse(http.StatusRequestTimeout, "the body came too slowly")
	}
	return errorResponse(http.StatusBadRequest, "the body broke off")
}
