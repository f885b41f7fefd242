package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/invariant"
)

// staleWithin is how soon a request on a kept connection that was closed breaks.
const staleConnWindow = 100 * time.Millisecond

// attempt is one Send of the module on its way.
type attempt struct {
	request      *request
	number       int
	decidedAt    int64 // when the module decided
	deadline     time.Time
	sendDeadline time.Time // its last byte goes out before this or never; zero: no limit
	pool         *backendPool
	backend      *backend
	address      string
	zone         string // of the backend, and its cell, as listed when the module decided
	cell         int
	generation   int
	recordIndex  int             // its number among the attempts of its request that began
	ctx          context.Context // its end stops the attempt
	cancel       context.CancelFunc

	bodyComplete chan time.Time // of a request whose body is still coming: the deadline, once that is known

	// stream hands an answer that is passed on as it comes to the client's side, and returns whether there is one.
	startStream func(response) bool
}

// result is how an attempt ended.
type result struct {
	status      balancer.Status
	body        []byte // of a backend's 200
	contentType string // and its Content-Type
}

// run carries the attempt out; it returns exactly one result, when nothing of the attempt is left.
func (a *attempt) run() result {
	c := a.pool.takeIdle(a.backend, a.generation, a.request.nonIdempotent)
	if c == nil {
		c = a.pool.awaitReusable(a.ctx, a.backend, a.generation)
	}
	if c == nil {
		if a.request.clientGone() {
			return result{status: balancer.StatusNotSent} // a connection costs the backend work
		}
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil || a.pastSendWindow() || isLocalShortage(err) || errors.Is(err, errGenerationChanged) {
				return result{status: balancer.StatusNotSent} // nothing was sent, by no fault of the backend's
			}
			return result{status: balancer.StatusConnectFailed}
		}
	}
	// A dial takes time, and so did the way here. What has ended, drained or gone meanwhile gets nothing new, nor does
	// a client that has left, which the context may hear of only later.
	if a.ctx.Err() != nil || a.pastDeadline() || !a.pool.isCurrent(a.backend, a.generation) || a.request.clientGone() {
		a.pool.putIdle(c)
		return result{status: balancer.StatusNotSent}
	}
	res, keep := a.exchange(c)
	switch {
	case keep:
		a.pool.putIdle(c)
	case res.status == balancer.StatusOK, res.status == balancer.StatusError, res.status == balancer.StatusRejected:
		a.pool.audit.Count(audit.BackendConnDone)
		a.pool.closeConn(c)
	default:
		a.pool.resetAndClose(c)
	}
	return res
}

func (a *attempt) pastDeadline() bool { return !time.Now().Before(a.deadline) }

// barred tells whether the time in which the request may go out is over: the connection came up too late.
func (a *attempt) pastSendWindow() bool {
	return !a.sendDeadline.IsZero() && !time.Now().Before(a.sendDeadline)
}

func (a *attempt) dial() (*backendConn, error) {
	end := a.deadline
	if !a.sendDeadline.IsZero() && a.sendDeadline.Before(end) {
		end = a.sendDeadline
	}
	ctx, cancel := context.WithDeadline(a.ctx, end)
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.address, a.generation)
}

// shortages are errors of a connect that say what this machine is short of: ports, memory or descriptors.
var localShortages = []error{errConnLimit, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN}

// ownFault tells whether a connect failed for a shortage of the proxy's own, which says nothing of the backend.
func isLocalShortage(err error) bool {
	return slices.ContainsFunc(localShortages, func(s error) bool { return errors.Is(err, s) })
}

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (a *attempt) exchange(c *backendConn) (res result, keep bool) {
	// Stopping the attempt ends its reads and writes; the connection is then closed, never used again.
	unhook := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !unhook() {
			keep = false
		}
	}()
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil { // stopped while the deadline was set
		return result{status: balancer.StatusNotSent}, false
	}
	if a.pastSendWindow() {
		return result{status: balancer.StatusNotSent}, true
	}
	if !a.sendDeadline.IsZero() && a.sendDeadline.Before(a.deadline) {
		_ = c.SetWriteDeadline(a.sendDeadline)
		if a.ctx.Err() != nil {
			return result{status: balancer.StatusNotSent}, false
		}
	}
	if a.bodyComplete != nil {
		if status, ok := a.sendStreamedBody(c); !ok {
			return result{status: status}, false
		}
	} else {
		head, err := a.encodeRequest()
		if err != nil {
			return result{status: balancer.StatusNotSent}, true
		}
		a.checkFirstByte(time.Now())
		if _, err := c.Write(head); err != nil {
			// The last byte was not written, so the backend cannot have begun.
			if a.ctx.Err() != nil {
				return result{status: balancer.StatusNotSent}, false // its connection was not at fault
			}
			return result{status: balancer.StatusConnectFailed}, false
		}
	}
	wrote := time.Now()
	a.pool.metrics.attemptForwarded()
	c.responseStarted = false
	res, keep, err := a.readResponse(c)
	switch {
	case err == nil:
		return res, keep
	case a.pastDeadline():
		return result{status: balancer.StatusTimedOut}, false
	case a.ctx.Err() != nil:
		return result{status: balancer.StatusCancelled}, false
	}
	a.pool.logBrokenResponse(a.backend, err)
	if !c.responseStarted && time.Since(wrote) < staleConnWindow {
		a.pool.recordStaleReuse(c)
	}
	return result{status: balancer.StatusReset}, false
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (a *attempt) encodeRequest() ([]byte, error) {
	out := a.outgoingRequest(time.Until(a.deadline))
	if body := a.request.bufferedBody; len(body) > 0 {
		out.ContentLength, out.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	var buf bytes.Buffer
	if err := out.Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// read takes the answer. A small one is taken whole: one that breaks off has not been given. A larger one is
// passed on as it comes, and so is one of untold length that is not here soon.
func (a *attempt) readResponse(c *backendConn) (res result, keep bool, err error) {
	resp, err := c.readResponse(a.request.method)
	if err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close()
	clean := func() bool { return !resp.Close && c.responseReader.Buffered() == 0 && c.reader.Buffered() == 0 }
	if resp.StatusCode != http.StatusOK {
		return a.readErrorResponse(c, resp, clean)
	}
	content := resp.Header.Get("Content-Type")
	switch n := resp.ContentLength; {
	case n > a.pool.maxBuffered.Load():
		if err = a.awaitBodyStart(c); err != nil {
			return res, false, fmt.Errorf("read body: %w", err)
		}
		return a.streamResponse(resp.Body, n, content, c, clean)
	case n >= 0:
		body := make([]byte, n)
		if _, err = io.ReadFull(resp.Body, body); err != nil {
			return res, false, fmt.Errorf("read body: %w", err)
		}
		return result{status: balancer.StatusOK, body: body, contentType: content}, clean(), nil
	}
	ahead := newReadAhead(stallTimeoutReader{resp.Body, c, a.ctx}, int(a.pool.maxBuffered.Load()))
	defer ahead.close()
	waits, cancel := context.WithDeadline(a.ctx, a.deadline)
	defer cancel()
	if err := ahead.awaitStart(waits); err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	body, err, ok := ahead.complete()
	switch {
	case !ok && a.ctx.Err() == nil:
		return a.streamResponse(ahead, -1, content, c, clean)
	case !ok:
		return res, false, context.Cause(a.ctx)
	case err != nil:
		return res, false, fmt.Errorf("read body: %w", err)
	}
	return result{status: balancer.StatusOK, body: body, contentType: content}, clean(), nil
}

// begun waits until a long answer's body has begun: for its first kilobyte, or wholeWait and whatever has come by then.
// Once an answer is passed on no other attempt can follow; one that breaks off before its first byte would even reach the
// client as a connection that ends without a word, which loses the request.
func (a *attempt) awaitBodyStart(c *backendConn) error {
	soon := time.Now().Add(responseBufferWait)
	if soon.After(a.deadline) {
		soon = a.deadline
	}
	_ = c.SetReadDeadline(soon)
	came, err := c.responseReader.Peek(c.responseReader.Size())
	_ = c.SetReadDeadline(a.deadline)
	if len(came) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil {
		_, err = c.responseReader.Peek(1)
	}
	switch {
	case a.ctx.Err() != nil: // stopped, maybe before a deadline was set anew
		return context.Cause(a.ctx)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(came) > 0:
		return nil
	}
	return err
}

// declined takes an answer that serves nobody: only its status counts. The body of one that proves nothing is waited for
// no longer than wholeWait, since what it says makes no difference, and another attempt may follow.
func (a *attempt) readErrorResponse(c *backendConn, resp *http.Response, clean func() bool) (result, bool, error) {
	proof := resp.Header.Get("Not-Started") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
	if soon := time.Now().Add(responseBufferWait); !proof && soon.Before(a.deadline) {
		_ = c.SetReadDeadline(soon)
		if a.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
			return result{}, false, context.Cause(a.ctx)
		}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBufferedResponse+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil && !a.pastDeadline():
		return result{status: balancer.StatusError}, false, nil
	case err != nil:
		return result{}, false, fmt.Errorf("read body: %w", err)
	case proof:
		return result{status: balancer.StatusRejected}, n <= maxBufferedResponse && clean(), nil
	}
	return result{status: balancer.StatusError}, n <= maxBufferedResponse && clean(), nil // it may have run
}

// passOn has the client's side read the answer, and waits until it has.
func (a *attempt) streamResponse(body io.Reader, length int64, content string, c *backendConn, clean func() bool) (result, bool, error) {
	if length >= 0 {
		body = stallTimeoutReader{body, c, a.ctx}
	}
	d := &responseStream{contentLength: length, source: body, done: make(chan error, 1), cancelAttempt: a.cancel}
	if !a.startStream(response{status: http.StatusOK, contentType: content, stream: d}) {
		return result{status: balancer.StatusCancelled}, false, nil
	}
	overdue := time.NewTimer(time.Until(d.clientDeadline.Add(maxStreamOverrun - responseBufferWait)))
	defer overdue.Stop()
	for {
		select {
		case err := <-d.done:
			switch {
			case err == nil:
				return result{status: balancer.StatusOK}, clean(), nil
			case errors.Is(err, errClientGone):
				return result{status: balancer.StatusCancelled}, false, nil
			}
			a.pool.logBrokenResponse(a.backend, err)
			return result{status: balancer.StatusReset}, false, nil
		case <-overdue.C:
			if length > maxBufferedResponse {
				continue // it takes as long as it takes
			}
			if ahead, ok := body.(*readAhead); ok && !ahead.isStalled(maxBufferedResponse) {
				overdue.Reset(responseBufferWait)
				continue
			}
			a.cancel()
			return result{status: balancer.StatusTimedOut}, false, nil
		case <-a.ctx.Done():
			return result{status: balancer.StatusCancelled}, false, nil
		}
	}
}

// checkFirstByte checks the rules at the moment in which the attempt's first byte is sent.
func (a *attempt) checkFirstByte(moment time.Time) {
	if a.pool.audit == nil {
		return
	}
	since, grace := a.pool.unavailableSince(a.backend)
	a.pool.audit.RecordViolations(invariant.CheckFirstByte(a.request.ID, a.backend.name, moment, a.deadline, since, grace)...)
}
