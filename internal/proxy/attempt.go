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
)

// staleWithin is how soon a request on a kept connection that was closed breaks.
const staleWithin = 100 * time.Millisecond

// attempt is one Send of the module on its way.
type attempt struct {
	req      *request
	number   int
	sent     int64 // when the module decided
	deadline time.Time
	until    time.Time // its last byte goes out before this or never; zero: no limit
	pool     *backends
	backend  *backend
	addr     string
	zone     string // of the backend, and its cell, as listed when the module decided
	cell     int
	epoch    int
	record   int             // its number among the attempts of its request that began
	ctx      context.Context // its end stops the attempt
	stop     context.CancelFunc

	whole chan time.Time // of a request whose body is still coming: the deadline, once that is known

	// stream hands an answer that is passed on as it comes to the client's side, and returns whether there is one.
	stream func(answer) bool
}

// result is how an attempt ended.
type result struct {
	status  balancer.Status
	body    []byte // of a backend's 200
	content string // and its Content-Type
}

// run carries the attempt out; it returns exactly one result, when nothing of the attempt is left.
func (a *attempt) run() result {
	c := a.pool.reuse(a.backend, a.epoch, a.req.unsafe)
	if c == nil {
		c = a.pool.await(a.ctx, a.backend, a.epoch)
	}
	if c == nil {
		if a.req.left() {
			return result{status: balancer.StatusNotSent} // a connection costs the backend work
		}
		var err error
		if c, err = a.dial(); err != nil {
			if a.ctx.Err() != nil || a.barred() || ownFault(err) || errors.Is(err, errTurned) {
				return result{status: balancer.StatusNotSent} // nothing was sent, by no fault of the backend's
			}
			return result{status: balancer.StatusConnectFailed}
		}
	}
	// A dial takes time, and so did the way here. What has ended, drained or gone meanwhile gets nothing new, nor does
	// a client that has left, which the context may hear of only later.
	if a.ctx.Err() != nil || a.late() || !a.pool.current(a.backend, a.epoch) || a.req.left() {
		a.pool.keep(c)
		return result{status: balancer.StatusNotSent}
	}
	res, keep := a.exchange(c)
	switch {
	case keep:
		a.pool.keep(c)
	case res.status == balancer.StatusOK, res.status == balancer.StatusError, res.status == balancer.StatusRejected:
		a.pool.audit.count("closes.server.answered")
		a.pool.drop(c)
	default:
		a.pool.abandon(c)
	}
	return res
}

func (a *attempt) late() bool { return !time.Now().Before(a.deadline) }

// barred tells whether the time in which the request may go out is over: the connection came up too late.
func (a *attempt) barred() bool { return !a.until.IsZero() && !time.Now().Before(a.until) }

func (a *attempt) dial() (*conn, error) {
	end := a.deadline
	if !a.until.IsZero() && a.until.Before(end) {
		end = a.until
	}
	ctx, cancel := context.WithDeadline(a.ctx, end)
	defer cancel()
	return a.pool.dial(ctx, a.backend, a.addr, a.epoch)
}

// shortages are errors of a connect that say what this machine is short of: ports, memory or descriptors.
var shortages = []error{errNoSockets, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM, syscall.EMFILE, syscall.ENFILE,
	syscall.EAGAIN}

// ownFault tells whether a connect failed for a shortage of the proxy's own, which says nothing of the backend.
func ownFault(err error) bool {
	return slices.ContainsFunc(shortages, func(s error) bool { return errors.Is(err, s) })
}

// exchange writes the request and reads the answer; keep tells whether the connection can serve again.
func (a *attempt) exchange(c *conn) (res result, keep bool) {
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
	if a.barred() {
		return result{status: balancer.StatusNotSent}, true
	}
	if !a.until.IsZero() && a.until.Before(a.deadline) {
		_ = c.SetWriteDeadline(a.until)
		if a.ctx.Err() != nil {
			return result{status: balancer.StatusNotSent}, false
		}
	}
	if a.whole != nil {
		if status, ok := a.passOnBody(c); !ok {
			return result{status: status}, false
		}
	} else {
		head, err := a.encode()
		if err != nil {
			return result{status: balancer.StatusNotSent}, true
		}
		a.firstByte(time.Now())
		if _, err := c.Write(head); err != nil {
			// The last byte was not written, so the backend cannot have begun.
			if a.ctx.Err() != nil {
				return result{status: balancer.StatusNotSent}, false // its connection was not at fault
			}
			return result{status: balancer.StatusConnectFailed}, false
		}
	}
	wrote := time.Now()
	a.pool.figs.forward()
	c.came = false
	res, keep, err := a.read(c)
	switch {
	case err == nil:
		return res, keep
	case a.late():
		return result{status: balancer.StatusTimedOut}, false
	case a.ctx.Err() != nil:
		return result{status: balancer.StatusCancelled}, false
	}
	a.pool.broken(a.backend, err)
	if !c.came && time.Since(wrote) < staleWithin {
		a.pool.stale(c)
	}
	return result{status: balancer.StatusReset}, false
}

// encode writes the whole request into one buffer, so that one write tells whether its last byte went out.
func (a *attempt) encode() ([]byte, error) {
	out := a.outgoing(time.Until(a.deadline))
	if body := a.req.body; len(body) > 0 {
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
func (a *attempt) read(c *conn) (res result, keep bool, err error) {
	resp, err := c.response(a.req.method)
	if err != nil {
		return res, false, fmt.Errorf("read answer: %w", err)
	}
	defer resp.Body.Close()
	clean := func() bool { return !resp.Close && c.body.Buffered() == 0 && c.r.Buffered() == 0 }
	if resp.StatusCode != http.StatusOK {
		return a.declined(c, resp, clean)
	}
	content := resp.Header.Get("Content-Type")
	switch n := resp.ContentLength; {
	case n > a.pool.whole.Load():
		if err = a.begun(c); err != nil {
			return res, false, fmt.Errorf("read body: %w", err)
		}
		return a.passOn(resp.Body, n, content, c, clean)
	case n >= 0:
		body := make([]byte, n)
		if _, err = io.ReadFull(resp.Body, body); err != nil {
			return res, false, fmt.Errorf("read body: %w", err)
		}
		return result{status: balancer.StatusOK, body: body, content: content}, clean(), nil
	}
	ahead := newPrefetch(patientReader{resp.Body, c, a.ctx}, int(a.pool.whole.Load()))
	defer ahead.close()
	waits, cancel := context.WithDeadline(a.ctx, a.deadline)
	defer cancel()
	if err := ahead.begin(waits); err != nil {
		return res, false, fmt.Errorf("read body: %w", err)
	}
	body, err, ok := ahead.whole()
	switch {
	case !ok && a.ctx.Err() == nil:
		return a.passOn(ahead, -1, content, c, clean)
	case !ok:
		return res, false, context.Cause(a.ctx)
	case err != nil:
		return res, false, fmt.Errorf("read body: %w", err)
	}
	return result{status: balancer.StatusOK, body: body, content: content}, clean(), nil
}

// begun waits until a long answer's body has begun: for its first kilobyte, or wholeWait and whatever has come by then.
// Once an answer is passed on no other attempt can follow; one that breaks off before its first byte would even reach the
// client as a connection that ends without a word, which loses the request.
func (a *attempt) begun(c *conn) error {
	soon := time.Now().Add(wholeWait)
	if soon.After(a.deadline) {
		soon = a.deadline
	}
	_ = c.SetReadDeadline(soon)
	came, err := c.body.Peek(c.body.Size())
	_ = c.SetReadDeadline(a.deadline)
	if len(came) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil {
		_, err = c.body.Peek(1)
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
func (a *attempt) declined(c *conn, resp *http.Response, clean func() bool) (result, bool, error) {
	proof := resp.Header.Get("Not-Started") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
	if soon := time.Now().Add(wholeWait); !proof && soon.Before(a.deadline) {
		_ = c.SetReadDeadline(soon)
		if a.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
			return result{}, false, context.Cause(a.ctx)
		}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, wholeMost+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil && !a.late():
		return result{status: balancer.StatusError}, false, nil
	case err != nil:
		return result{}, false, fmt.Errorf("read body: %w", err)
	case proof:
		return result{status: balancer.StatusRejected}, n <= wholeMost && clean(), nil
	}
	return result{status: balancer.StatusError}, n <= wholeMost && clean(), nil // it may have run
}

// passOn has the client's side read the answer, and waits until it has.
func (a *attempt) passOn(body io.Reader, length int64, content string, c *conn, clean func() bool) (result, bool, error) {
	if length >= 0 {
		body = patientReader{body, c, a.ctx}
	}
	d := &download{length: length, body: body, ended: make(chan error, 1), stop: a.stop}
	if !a.stream(answer{status: http.StatusOK, content: content, stream: d}) {
		return result{status: balancer.StatusCancelled}, false, nil
	}
	overdue := time.NewTimer(time.Until(d.due.Add(lateMost - wholeWait)))
	defer overdue.Stop()
	for {
		select {
		case err := <-d.ended:
			switch {
			case err == nil:
				return result{status: balancer.StatusOK}, clean(), nil
			case errors.Is(err, errClientGone):
				return result{status: balancer.StatusCancelled}, false, nil
			}
			a.pool.broken(a.backend, err)
			return result{status: balancer.StatusReset}, false, nil
		case <-overdue.C:
			if length > wholeMost {
				continue // it takes as long as it takes
			}
			if ahead, ok := body.(*prefetch); ok && !ahead.still(wholeMost) {
				overdue.Reset(wholeWait)
				continue
			}
			a.stop()
			return result{status: balancer.StatusTimedOut}, false, nil
		case <-a.ctx.Done():
			return result{status: balancer.StatusCancelled}, false, nil
		}
	}
}
