package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"merlinpick/balancer"
)

// DefaultStreamBuffer is the size in bytes of a buffer that copies a streamed body, if none is set. A request's
// header and the start of its body are sent in one write.
const DefaultStreamBuffer = 32 << 10

// exchange sends the request and reads the response. reusable reports whether the connection can be reused.
func (a *Attempt) exchange(c *conn) (result Result, reusable bool) {
	// Cancelling the attempt aborts its reads and writes by a deadline in the past. The connection is then
	// closed.
	unhook := context.AfterFunc(a.ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if !unhook() {
			reusable = false
		}
	}()
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil { // cancelled; the new deadline may have overwritten the cancellation
		return Result{Status: balancer.StatusNotSent}, false
	}
	if a.pastSendWindow() {
		return Result{Status: balancer.StatusNotSent}, true
	}
	if limit := a.sendLimit(); limit.Before(a.deadline) {
		_ = c.SetWriteDeadline(limit)
		if a.ctx.Err() != nil {
			return Result{Status: balancer.StatusNotSent}, false
		}
	}
	if status, reusable := a.send(c); status != balancer.StatusOK {
		return Result{Status: status}, reusable
	}
	sent := time.Now()
	if a.pool.onForwarded != nil {
		a.pool.onForwarded()
	}
	c.responseStarted = false
	result, reusable, err := a.readResponse(c)
	switch {
	case err == nil:
		a.traceResponse(c, sent)
		return result, reusable
	case a.pastDeadline():
		return Result{Status: balancer.StatusTimedOut}, false
	case a.ctx.Err() != nil:
		return Result{Status: balancer.StatusCancelled}, false
	}
	a.pool.logBrokenResponse(a.backend, err)
	if !c.responseStarted && time.Since(sent) < staleConnWindow {
		a.pool.recordStaleReuse(c)
	}
	return Result{Status: balancer.StatusReset}, false
}

// traceResponse traces a response: how long its connection was idle before the request, and the time from the
// request's last byte to the response's end. A response sooner than the network allows is not this request's.
func (a *Attempt) traceResponse(c *conn, sent time.Time) {
	if a.pool.audit.IsTracing() {
		a.pool.audit.Trace(a.request.ID, "response read", "endpoint", a.server.Name,
			"conn_idle", c.idleFor, "latency", time.Since(sent))
	}
}

// send writes the whole request. If it returns neither StatusOK nor StatusCancelled, the backend cannot have
// started to execute the request. Unless it returns StatusOK, reusable reports whether the connection can be
// reused.
func (a *Attempt) send(c *conn) (status balancer.Status, reusable bool) {
	if a.bodyComplete != nil {
		return a.sendStreamed(c), false
	}
	text, err := a.encodeRequest()
	if err != nil {
		return balancer.StatusNotSent, true
	}
	a.checkFirstByte(time.Now())
	if _, err := c.Write(text); err != nil { // the last byte was not written
		if a.ctx.Err() != nil {
			return balancer.StatusNotSent, false // the connection did not fail
		}
		return balancer.StatusConnectFailed, false
	}
	return balancer.StatusOK, false
}

// encodeRequest encodes the whole request into one buffer, so that a single write shows whether its last byte
// was sent.
func (a *Attempt) encodeRequest() ([]byte, error) {
	out := a.outgoingRequest(time.Until(a.deadline))
	if body := a.request.Body; len(body) > 0 {
		out.ContentLength, out.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	}
	var buf bytes.Buffer
	if err := out.Write(&buf); err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return buf.Bytes(), nil
}

// sendStreamed writes a request whose body is still being received. It returns when the request has been
// written and the deadline for the response is known.
func (a *Attempt) sendStreamed(c *conn) balancer.Status {
	remaining := &remainingBody{Reader: a.request.BodyRemainder, request: a.request}
	timeout := a.request.Timeout
	if deadline := a.request.ClientDeadline.Load(); deadline != nil {
		timeout = time.Until(*deadline)
	}
	out := a.outgoingRequest(timeout)
	out.ContentLength = a.request.ContentLength
	out.Body = io.NopCloser(io.MultiReader(bytes.NewReader(a.request.Body), remaining))
	a.checkFirstByte(time.Now())
	w := bufio.NewWriterSize(stallTimeoutWriter{c, a.ctx, a.sendDeadline}, int(a.pool.streamBuffer.Load()))
	err := out.Write(w)
	if err == nil {
		err = w.Flush()
	}
	switch {
	case a.ctx.Err() != nil, remaining.readErr != nil:
		return balancer.StatusCancelled
	case err != nil: // the last byte was not written
		return balancer.StatusConnectFailed
	}
	select {
	case a.deadline = <-a.bodyComplete:
	case <-a.ctx.Done():
		return balancer.StatusCancelled
	}
	_ = c.SetDeadline(a.deadline)
	if a.ctx.Err() != nil {
		return balancer.StatusCancelled
	}
	return balancer.StatusOK
}

// outgoingRequest returns the request to send, without a body. timeout is how long the response is awaited.
func (a *Attempt) outgoingRequest(timeout time.Duration) http.Request {
	r := a.request
	r.Header.Set("Request-Timeout-Ms", strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	path, query, _ := strings.Cut(r.URI, "?")
	return http.Request{Method: r.Method, Host: r.Host, Header: r.Header,
		URL: &url.URL{Opaque: path, RawQuery: query, ForceQuery: strings.HasSuffix(r.URI, "?")}}
}

// remainingBody reads the part of a body that is not buffered.
type remainingBody struct {
	io.Reader
	request *Request
	readErr error // kept to distinguish a failed read of the body from a failed write to the backend
}

func (r *remainingBody) Read(p []byte) (int, error) {
	r.request.BodyConsumed = true
	n, err := r.Reader.Read(p)
	if err != nil && err != io.EOF {
		r.readErr = err
	}
	return n, err
}

// stallTimeoutWriter writes to a backend's connection, and fails if a write takes longer than StallTimeout.
type stallTimeoutWriter struct {
	conn     *conn
	ctx      context.Context
	deadline time.Time // writes after it fail; zero: no limit
}

func (w stallTimeoutWriter) Write(p []byte) (int, error) {
	deadline := time.Now().Add(StallTimeout)
	if !w.deadline.IsZero() && w.deadline.Before(deadline) {
		deadline = w.deadline
	}
	_ = w.conn.SetWriteDeadline(deadline)
	if w.ctx.Err() != nil { // cancelled; the new deadline may have overwritten the cancellation
		return 0, context.Cause(w.ctx)
	}
	return w.conn.Write(p)
}
