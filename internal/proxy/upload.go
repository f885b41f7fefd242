package proxy

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/balancer"
)

const (
	maxRequestBodyBytes = 40 << 20 // of a request

	maxBufferedBody      = 256 << 10 // of a body is held, to be sent again, before the rest is passed on as it comes
	guaranteedBodyBuffer = 32 << 10  // whatever memory is left: so much goes out with the head at once
	unmeteredBuffer      = 4 << 10   // of a body, and of a head, is held without asking

	// A body is to come at this rate at least, from the end of requestPatience on, and not to stand still for
	// stillPatience. Slow clients send 64 kB a second.
	minUploadRate      = 32 << 10
	uploadStallTimeout = 1500 * time.Millisecond
)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errDraining     = errors.New("the proxy ends before the body has come")
	errConnShortage = errors.New("connections run short and the body stands still")
	errBodyMemory   = errors.New("too many bodies are held")
	errRequestEnded = errors.New("the request is over")
)

// holds bounds the memory of what is held: one the bodies beyond holdLeast each, another the first bytes, which are heads
// and bodies beyond holdFirst each.
type memoryBudget struct {
	mu        sync.Mutex
	used, max int
}

func (h *memoryBudget) reserve(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+n > h.max {
		return false
	}
	h.used += n
	return true
}

func (h *memoryBudget) release(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used -= n
}

func (h *memoryBudget) setMax(most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.max = most
}

// upload is a request's body on its way from the client. The client's goroutine alone reads it.
type upload struct {
	source          io.Reader
	contentLength   int64 // -1: not told
	setReadDeadline func(time.Time) error
	startedAt       time.Time // of the request
	lastReceived    time.Time // when something came
	received        atomic.Int64
	bodyMemory      *memoryBudget
	bodyReserved    int // of holds
	headMemory      *memoryBudget
	headReserved    int // of firsts
	conn            net.Conn

	mu           sync.Mutex
	complete     bool // all has come
	cancelled    bool // nobody wants the rest
	draining     bool // the process ends
	connShortage bool // connections run short
}

func (f *frontend) newUpload(w http.ResponseWriter, r *http.Request, began time.Time) *upload {
	u := &upload{source: r.Body, contentLength: r.ContentLength, setReadDeadline: http.NewResponseController(w).SetReadDeadline,
		startedAt: began, lastReceived: time.Now(), bodyMemory: f.bodyMemory,
		headMemory: f.headMemory}
	u.conn, _ = r.Context().Value(connKey{}).(net.Conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uploads[u] = true
	return u
}

// endUpload gives back what an upload held.
func (f *frontend) releaseUpload(u *upload) {
	u.bodyMemory.release(u.bodyReserved)
	u.headMemory.release(u.headReserved)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.uploads, u)
}

// turnAway ends the uploads that are not done: the process ends before they can be.
func (f *frontend) rejectUploads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u := range f.uploads {
		u.interrupt(&u.draining)
	}
}

func (u *upload) Read(p []byte) (int, error) {
	patience := u.startedAt.Add(requestReadTimeout)
	until := u.lastReceived.Add(uploadStallTimeout)
	if until.Before(patience) {
		until = patience
	}
	if slow := patience.Add(time.Duration(u.received.Load()) * time.Second / minUploadRate); slow.Before(until) {
		until = slow
	}
	if err := u.armReadDeadline(until); err != nil {
		return 0, err
	}
	n, err := u.source.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = cmp.Or(u.armReadDeadline(until), err)
	}
	if n > 0 {
		u.received.Add(int64(n))
		u.lastReceived = time.Now()
	}
	if u.received.Load() > maxRequestBodyBytes {
		return n, errBodyTooLarge
	}
	return n, err
}

// wait sets the deadline for the next read, or says why there is to be none.
func (u *upload) armReadDeadline(until time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.cancelled:
		return errRequestEnded
	case u.draining:
		return errDraining
	case u.connShortage:
		return errConnShortage
	}
	_ = u.setReadDeadline(until)
	return nil
}

// end ends a read that waits, for the reason given, unless all has come.
func (u *upload) interrupt(reason *bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.complete {
		*reason = true
		_ = u.setReadDeadline(time.Unix(1, 0))
	}
}

// stop ends the upload of a request that has its answer. It may come from any goroutine, and at any time.
func (u *upload) cancel() { u.interrupt(&u.cancelled) }

// finish notes that all has come; false if nobody wanted it any more.
func (u *upload) markComplete() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.complete = !u.cancelled // the cutoff itself may come later than its margin
	return u.complete
}

// hold reads as much of the body as may be held; whole tells that this is all of it.
func (u *upload) buffer() (body []byte, whole bool, err error) {
	if u.contentLength == 0 {
		return nil, true, nil
	}
	if u.contentLength > maxRequestBodyBytes {
		return nil, false, errBodyTooLarge
	}
	for {
		if len(body) == cap(body) {
			more := max(unmeteredBuffer, cap(body))
			if cap(body)+more > maxBufferedBody || cap(body)+more > guaranteedBodyBuffer && !u.bodyMemory.reserve(more) {
				return body, false, nil
			}
			switch size := cap(body) + more; {
			case size > guaranteedBodyBuffer:
				u.bodyReserved += more
			case size > unmeteredBuffer && !u.headMemory.reserve(more):
				return nil, false, errBodyMemory
			case size > unmeteredBuffer:
				u.headReserved += more
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

// missing is how many bytes of the body have not been read; unknown where its length was not told.
func (u *upload) remaining() (n int64, known bool) {
	return u.contentLength - u.received.Load(), u.contentLength >= 0
}

// passOn writes the rest of the body into the pipe that the attempt reads.
func (u *upload) forwardTo(to *io.PipeWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := u.Read(*buf)
		if n > 0 && err != errBodyTooLarge {
			if _, err := to.Write((*buf)[:n]); err != nil {
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

// rest is what an attempt reads of a body beyond what is held.
type remainingBody struct {
	io.Reader
	request   *request
	readError error // its own, to tell it from one of the connection that it is written to
}

func (r *remainingBody) Read(p []byte) (int, error) {
	r.request.bodyConsumed = true
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.readError = err
	}
	return n, err
}

// patientWriter writes to a backend's connection for as long as something goes.
type stallTimeoutWriter struct {
	conn     *backendConn
	ctx      context.Context
	deadline time.Time // nothing goes after this; zero: no limit
}

func (w stallTimeoutWriter) Write(p []byte) (int, error) {
	end := time.Now().Add(streamStallTimeout)
	if !w.deadline.IsZero() && w.deadline.Before(end) {
		end = w.deadline
	}
	_ = w.conn.SetWriteDeadline(end)
	if w.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
		return 0, context.Cause(w.ctx)
	}
	return w.conn.Write(p)
}

// passOnBody writes a request whose body is still coming. It ends when all has been written, and the time for the
// answer has been told.
func (a *attempt) sendStreamedBody(c *backendConn) (status balancer.Status, ok bool) {
	more := &remainingBody{Reader: a.request.bodyRemainder, request: a.request}
	left := a.request.timeout
	if due := a.request.clientDeadline.Load(); due != nil {
		left = time.Until(*due)
	}
	out := a.outgoingRequest(left)
	out.ContentLength = a.request.contentLength
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.request.bufferedBody), more))
	a.checkFirstByte(time.Now())
	w := bufio.NewWriterSize(stallTimeoutWriter{c, a.ctx, a.sendDeadline}, guaranteedBodyBuffer)
	err := out.Write(w)
	if err == nil {
		err = w.Flush()
	}
	switch {
	case a.ctx.Err() != nil, more.readError != nil:
		return balancer.StatusCancelled, false
	case err != nil: // the last byte was not written
		return balancer.StatusConnectFailed, false
	}
	select {
	case a.deadline = <-a.bodyComplete:
	case <-a.ctx.Done():
		return balancer.StatusCancelled, false
	}
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil {
		return balancer.StatusCancelled, false
	}
	return balancer.StatusOK, true
}

// outgoing is the head of the request as it goes on, for an answer that is waited for so long.
func (a *attempt) outgoingRequest(left time.Duration) http.Request {
	r := a.request
	r.header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	path, query, _ := strings.Cut(r.uri, "?")
	return http.Request{Method: r.method, Host: r.host, Header: r.header,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.uri, "?")}}
}

// stopped tells whether nobody wanted the rest of the body any more.
func (u *upload) isCancelled() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cancelled
}

// fault is the answer to a body that did not come as it should. What is left of it cannot be told from a next
// request, and is not waited for.
func (u *upload) errorResponse(w http.ResponseWriter, err error) response {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errBodyTooLarge):
		return errorResponse(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errDraining), errors.Is(err, errConnShortage), errors.Is(err, errBodyMemory): // it has not run, and may come again
		return errorResponse(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errorResponse(http.StatusRequestTimeout, "the body came too slowly")
	}
	return errorResponse(http.StatusBadRequest, "the body broke off")
}

// receive takes a request's body and hands the request over, whose answer then comes on its channel: with the body
// whole if that can be held, and else while the rest comes. With an answer returned the request is none.
func (f *frontend) receiveBody(w http.ResponseWriter, r *http.Request, req *request, u *upload) (*inFlightRequest, response) {
	body, whole, err := u.buffer()
	switch {
	case err != nil:
		return nil, u.errorResponse(w, err)
	case req.method == http.MethodGet && (len(body) > 0 || !whole):
		if !whole {
			w.Header().Set("Connection", "close")
		}
		return nil, errorResponse(http.StatusBadRequest, "a body on a GET")
	}
	req.bufferedBody = body
	if whole {
		u.markComplete()
		own := f.markComplete(w, r, req)
		req.Deadline = f.clientDeadline(req)
		if f.exceedsInFlight() {
			req.responses <- rejectedResponse(req)
		} else {
			f.loop.post(func() { f.loop.handleRequest(req) })
		}
		return own, response{}
	}
	// The answer may come before the rest of the body has.
	_ = http.NewResponseController(w).EnableFullDuplex()
	from, to := io.Pipe()
	req.bodyRemainder, req.contentLength, req.BodyPending = from, u.contentLength, true
	req.stopUpload = func() { u.cancel(); from.CloseWithError(errRequestEnded) }
	unhook := context.AfterFunc(f.loop.stopped, req.stopUpload)
	defer unhook()
	if f.exceedsInFlight() {
		req.stopUpload()
		req.responses <- rejectedResponse(req)
	} else {
		f.loop.post(func() { f.loop.handleRequest(req) })
	}
	came := watchBodyEnd(u.conn, u.remaining, func(at time.Time) {
		f.loop.post(func() { f.loop.handleBodyArrived(req, at) })
	})
	err = u.forwardTo(to)
	came.end()
	if err == nil && u.markComplete() {
		own, giveUp := f.markComplete(w, r, req), f.clientDeadline(req)
		f.loop.post(func() { f.loop.handleBodyReceived(req, giveUp) })
		to.Close()
		return own, response{}
	}
	w.Header().Set("Connection", "close")
	if u.isCancelled() { // it has its answer
		return f.loop.metrics.requestStarted(req.className), response{}
	}
	to.CloseWithError(err)
	f.loop.post(func() { f.loop.handleClientGone(req) })
	return nil, u.errorResponse(w, err)
}
