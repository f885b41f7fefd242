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
	maxBody = 40 << 20 // of a request

	holdMost  = 256 << 10 // of a body is held, to be sent again, before the rest is passed on as it comes
	holdLeast = 32 << 10  // whatever memory is left: so much goes out with the head at once
	holdFirst = 4 << 10   // of a body, and of a head, is held without asking

	// A body is to come at this rate at least, from the end of requestPatience on, and not to stand still for
	// stillPatience. Slow clients send 64 kB a second.
	leastRate     = 32 << 10
	stillPatience = 1500 * time.Millisecond

	killMargin = 100 * time.Millisecond // before all is cut off: what has not come whole is turned away
)

var (
	errTooLarge    = errors.New("the body is too large")
	errDraining    = errors.New("the proxy ends before the body has come")
	errShort       = errors.New("connections run short and the body stands still")
	errNoMemory    = errors.New("too many bodies are held")
	errRequestOver = errors.New("the request is over")
)

// holds bounds the memory of what is held: one the bodies beyond holdLeast each, another the first bytes, which are heads
// and bodies beyond holdFirst each.
type holds struct {
	mu         sync.Mutex
	used, most int
}

func (h *holds) take(n int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.used+n > h.most {
		return false
	}
	h.used += n
	return true
}

func (h *holds) free(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.used -= n
}

func (h *holds) limit(most int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.most = most
}

// upload is a request's body on its way from the client. The client's goroutine alone reads it.
type upload struct {
	body     io.Reader
	length   int64 // -1: not told
	deadline func(time.Time) error
	began    time.Time // of the request
	last     time.Time // when something came
	got      atomic.Int64
	holds    *holds
	taken    int // of holds
	firsts   *holds
	first    int // of firsts
	conn     net.Conn

	mu    sync.Mutex
	done  bool // all has come
	cut   bool // nobody wants the rest
	late  bool // the process ends
	short bool // connections run short
}

func (f *frontend) newUpload(w http.ResponseWriter, r *http.Request, began time.Time) *upload {
	u := &upload{body: r.Body, length: r.ContentLength, deadline: http.NewResponseController(w).SetReadDeadline,
		began: began, last: time.Now(), holds: f.holds,
		firsts: f.firsts}
	u.conn, _ = r.Context().Value(connKey{}).(net.Conn)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uploads[u] = true
	return u
}

// endUpload gives back what an upload held.
func (f *frontend) endUpload(u *upload) {
	u.holds.free(u.taken)
	u.firsts.free(u.first)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.uploads, u)
}

// turnAway ends the uploads that are not done: the process ends before they can be.
func (f *frontend) turnAway() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for u := range f.uploads {
		u.end(&u.late)
	}
}

func (u *upload) Read(p []byte) (int, error) {
	patience := u.began.Add(requestPatience)
	until := u.last.Add(stillPatience)
	if until.Before(patience) {
		until = patience
	}
	if slow := patience.Add(time.Duration(u.got.Load()) * time.Second / leastRate); slow.Before(until) {
		until = slow
	}
	if err := u.wait(until); err != nil {
		return 0, err
	}
	n, err := u.body.Read(p)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = cmp.Or(u.wait(until), err)
	}
	if n > 0 {
		u.got.Add(int64(n))
		u.last = time.Now()
	}
	if u.got.Load() > maxBody {
		return n, errTooLarge
	}
	return n, err
}

// wait sets the deadline for the next read, or says why there is to be none.
func (u *upload) wait(until time.Time) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case u.cut:
		return errRequestOver
	case u.late:
		return errDraining
	case u.short:
		return errShort
	}
	_ = u.deadline(until)
	return nil
}

// end ends a read that waits, for the reason given, unless all has come.
func (u *upload) end(reason *bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.done {
		*reason = true
		_ = u.deadline(time.Unix(1, 0))
	}
}

// stop ends the upload of a request that has its answer. It may come from any goroutine, and at any time.
func (u *upload) stop() { u.end(&u.cut) }

// finish notes that all has come; false if nobody wanted it any more.
func (u *upload) finish() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.done = !u.cut // the cutoff itself may come later than its margin
	return u.done
}

// hold reads as much of the body as may be held; whole tells that this is all of it.
func (u *upload) hold() (body []byte, whole bool, err error) {
	if u.length == 0 {
		return nil, true, nil
	}
	if u.length > maxBody {
		return nil, false, errTooLarge
	}
	for {
		if len(body) == cap(body) {
			more := max(holdFirst, cap(body))
			if cap(body)+more > holdMost || cap(body)+more > holdLeast && !u.holds.take(more) {
				return body, false, nil
			}
			switch size := cap(body) + more; {
			case size > holdLeast:
				u.taken += more
			case size > holdFirst && !u.firsts.take(more):
				return nil, false, errNoMemory
			case size > holdFirst:
				u.first += more
			}
			body = append(make([]byte, 0, cap(body)+more), body...)
		}
		n, err := u.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF, err == nil && u.got.Load() == u.length:
			return body, true, nil
		case err != nil:
			return nil, false, err
		}
	}
}

// missing is how many bytes of the body have not been read; unknown where its length was not told.
func (u *upload) missing() (n int64, known bool) { return u.length - u.got.Load(), u.length >= 0 }

// passOn writes the rest of the body into the pipe that the attempt reads.
func (u *upload) passOn(to *io.PipeWriter) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := u.Read(*buf)
		if n > 0 && err != errTooLarge {
			if _, err := to.Write((*buf)[:n]); err != nil {
				return errRequestOver
			}
		}
		if err == io.EOF || err == nil && u.got.Load() == u.length {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// rest is what an attempt reads of a body beyond what is held.
type rest struct {
	io.Reader
	req *request
	err error // its own, to tell it from one of the connection that it is written to
}

func (r *rest) Read(p []byte) (int, error) {
	r.req.spent = true
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.err = err
	}
	return n, err
}

// patientWriter writes to a backend's connection for as long as something goes.
type patientWriter struct {
	c     *conn
	ctx   context.Context
	until time.Time // nothing goes after this; zero: no limit
}

func (w patientWriter) Write(p []byte) (int, error) {
	end := time.Now().Add(streamPatience)
	if !w.until.IsZero() && w.until.Before(end) {
		end = w.until
	}
	_ = w.c.SetWriteDeadline(end)
	if w.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
		return 0, context.Cause(w.ctx)
	}
	return w.c.Write(p)
}

// passOnBody writes a request whose body is still coming. It ends when all has been written, and the time for the
// answer has been told.
func (a *attempt) passOnBody(c *conn) (status balancer.Status, ok bool) {
	more := &rest{Reader: a.req.rest, req: a.req}
	left := a.req.wait
	if due := a.req.due.Load(); due != nil {
		left = time.Until(*due)
	}
	out := a.outgoing(left)
	out.ContentLength = a.req.length
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.req.body), more))
	a.firstByte(time.Now())
	w := bufio.NewWriterSize(patientWriter{c, a.ctx, a.until}, holdLeast)
	err := out.Write(w)
	if err == nil {
		err = w.Flush()
	}
	switch {
	case a.ctx.Err() != nil, more.err != nil:
		return balancer.StatusCancelled, false
	case err != nil: // the last byte was not written
		return balancer.StatusConnectFailed, false
	}
	select {
	case a.deadline = <-a.whole:
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
func (a *attempt) outgoing(left time.Duration) http.Request {
	r := a.req
	r.header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, left.Milliseconds()), 10))
	path, query, _ := strings.Cut(r.uri, "?")
	return http.Request{Method: r.method, Host: r.host, Header: r.header,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.uri, "?")}}
}

// stopped tells whether nobody wanted the rest of the body any more.
func (u *upload) stopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cut
}

// fault is the answer to a body that did not come as it should. What is left of it cannot be told from a next
// request, and is not waited for.
func (u *upload) fault(w http.ResponseWriter, err error) answer {
	w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, errTooLarge):
		return fault(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errDraining), errors.Is(err, errShort), errors.Is(err, errNoMemory): // it has not run, and may come again
		return fault(http.StatusServiceUnavailable, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return fault(http.StatusRequestTimeout, "the body came too slowly")
	}
	return fault(http.StatusBadRequest, "the body broke off")
}

// receive takes a request's body and hands the request over, whose answer then comes on its channel: with the body
// whole if that can be held, and else while the rest comes. With an answer returned the request is none.
func (f *frontend) receive(w http.ResponseWriter, r *http.Request, req *request, u *upload) (*taken, answer) {
	body, whole, err := u.hold()
	switch {
	case err != nil:
		return nil, u.fault(w, err)
	case req.method == http.MethodGet && (len(body) > 0 || !whole):
		if !whole {
			w.Header().Set("Connection", "close")
		}
		return nil, fault(http.StatusBadRequest, "a body on a GET")
	}
	req.body = body
	if whole {
		u.finish()
		own := f.cameWhole(w, r, req)
		req.Deadline = f.giveUp(req)
		if f.over() {
			req.answer <- full(req)
		} else {
			f.loop.post(func() { f.loop.take(req) })
		}
		return own, answer{}
	}
	// The answer may come before the rest of the body has.
	_ = http.NewResponseController(w).EnableFullDuplex()
	from, to := io.Pipe()
	req.rest, req.length, req.BodyPending = from, u.length, true
	req.stopBody = func() { u.stop(); from.CloseWithError(errRequestOver) }
	unhook := context.AfterFunc(f.loop.ended, req.stopBody)
	defer unhook()
	if f.over() {
		req.stopBody()
		req.answer <- full(req)
	} else {
		f.loop.post(func() { f.loop.take(req) })
	}
	came := watchArrival(u.conn, u.missing, func(at time.Time) {
		f.loop.post(func() { f.loop.arrived(req, at) })
	})
	err = u.passOn(to)
	came.end()
	if err == nil && u.finish() {
		own, giveUp := f.cameWhole(w, r, req), f.giveUp(req)
		f.loop.post(func() { f.loop.uploaded(req, giveUp) })
		to.Close()
		return own, answer{}
	}
	w.Header().Set("Connection", "close")
	if u.stopped() { // it has its answer
		return f.loop.figs.take(req.class), answer{}
	}
	to.CloseWithError(err)
	f.loop.post(func() { f.loop.gone(req) })
	return nil, u.fault(w, err)
}
