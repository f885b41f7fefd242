package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"merlinpick/balancer"
)

// incomingResponse is a response whose header has been read.
type incomingResponse struct {
	*http.Response
	conn *conn
}

func (r incomingResponse) contentType() string { return r.Header.Get("Content-Type") }

// reusable reports whether the connection can be reused. The response must have been read completely.
func (r incomingResponse) reusable() bool {
	return !r.Close && r.conn.responseReader.Buffered() == 0 && r.conn.reader.Buffered() == 0
}

// readResponse reads the response. A small one is buffered completely, so that the request can be retried if
// it breaks off. A larger one is streamed, and so is one without a length that is not complete within
// ResponseBufferWait.
func (a *Attempt) readResponse(c *conn) (result Result, reusable bool, err error) {
	head, err := c.readResponse(a.request.Method)
	if err != nil {
		return result, false, fmt.Errorf("read response: %w", err)
	}
	defer head.Body.Close()
	resp := incomingResponse{head, c}
	switch length := resp.ContentLength; {
	case resp.StatusCode != http.StatusOK:
		return a.readErrorResponse(resp)
	case length < 0:
		return a.readWithoutLength(resp)
	case length > a.pool.maxBuffered.Load():
		if err = a.awaitBodyStart(c); err != nil {
			return result, false, fmt.Errorf("read response body: %w", err)
		}
		return a.streamResponse(resp, stallTimeoutReader{resp.Body, c, a.ctx})
	}
	body := make([]byte, resp.ContentLength)
	if _, err = io.ReadFull(resp.Body, body); err != nil {
		return result, false, fmt.Errorf("read response body: %w", err)
	}
	return Result{Status: balancer.StatusOK, Body: body, ContentType: resp.contentType()}, resp.reusable(), nil
}

// readWithoutLength reads a response that is chunked or ends when the backend closes the connection.
func (a *Attempt) readWithoutLength(resp incomingResponse) (Result, bool, error) {
	ahead := newReadAhead(stallTimeoutReader{resp.Body, resp.conn, a.ctx}, int(a.pool.maxBuffered.Load()))
	defer ahead.close()
	ctx, cancel := context.WithDeadline(a.ctx, a.deadline)
	defer cancel()
	if err := ahead.awaitStart(ctx); err != nil {
		return Result{}, false, fmt.Errorf("read response body: %w", err)
	}
	body, err, complete := ahead.complete()
	switch {
	case !complete && a.ctx.Err() == nil:
		return a.streamResponse(resp, ahead)
	case !complete:
		return Result{}, false, context.Cause(a.ctx)
	case err != nil:
		return Result{}, false, fmt.Errorf("read response body: %w", err)
	}
	return Result{Status: balancer.StatusOK, Body: body, ContentType: resp.contentType()}, resp.reusable(), nil
}

// awaitBodyStart waits for the start of a large response's body: for its first kilobyte, and after
// ResponseBufferWait only for its first byte. Once a response is streamed, there can be no retry, and if it
// breaks off before its first byte, the client sees a connection that closes without a response.
func (a *Attempt) awaitBodyStart(c *conn) error {
	limit := time.Now().Add(ResponseBufferWait)
	if limit.After(a.deadline) {
		limit = a.deadline
	}
	_ = c.SetReadDeadline(limit)
	first, err := c.responseReader.Peek(c.responseReader.Size())
	_ = c.SetReadDeadline(a.deadline)
	if len(first) == 0 && errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil {
		_, err = c.responseReader.Peek(1)
	}
	switch {
	case a.ctx.Err() != nil: // cancelled; the cancellation may have been overwritten by a new deadline
		return context.Cause(a.ctx)
	case errors.Is(err, os.ErrDeadlineExceeded) && len(first) > 0:
		return nil
	}
	return err
}

// readErrorResponse reads a response other than 200. Only its status matters, so it waits for the body no
// longer than ResponseBufferWait, to leave time for a retry. If the backend declares that it executed
// nothing, it waits until the deadline.
func (a *Attempt) readErrorResponse(resp incomingResponse) (Result, bool, error) {
	notStarted := resp.Header.Get("Not-Started") == "1" &&
		(resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout)
	if limit := time.Now().Add(ResponseBufferWait); !notStarted && limit.Before(a.deadline) {
		_ = resp.conn.SetReadDeadline(limit)
		if a.ctx.Err() != nil { // cancelled; the new deadline may have overwritten the cancellation
			return Result{}, false, context.Cause(a.ctx)
		}
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, MaxBufferedResponse+1))
	status := balancer.StatusError // the request may have been executed
	if notStarted {
		status = balancer.StatusRejected
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && a.ctx.Err() == nil && !a.pastDeadline():
		return Result{Status: balancer.StatusError}, false, nil
	case err != nil:
		return Result{}, false, fmt.Errorf("read response body: %w", err)
	}
	return Result{Status: status}, n <= MaxBufferedResponse && resp.reusable(), nil
}

// streamResponse passes the response to the client's side, and waits until the client's side has read it. The
// time limit of a response of up to MaxBufferedResponse is the client's deadline plus MaxStreamOverrun minus
// ResponseBufferWait. With a known length, the response is aborted at this limit; without one, it is aborted
// after the limit as soon as it has stalled for ResponseBufferWait. Longer responses are limited only by
// StallTimeout.
func (a *Attempt) streamResponse(resp incomingResponse, source io.Reader) (Result, bool, error) {
	length := resp.ContentLength
	s := &Stream{ContentLength: length, ContentType: resp.contentType(), source: source, done: make(chan error, 1), cancelAttempt: a.cancel}
	if !a.startStream(s) {
		return Result{Status: balancer.StatusCancelled}, false, nil
	}
	overrun := time.NewTimer(time.Until(s.ClientDeadline.Add(MaxStreamOverrun - ResponseBufferWait)))
	defer overrun.Stop()
	for {
		select {
		case err := <-s.done:
			switch {
			case err == nil:
				return Result{Status: balancer.StatusOK}, resp.reusable(), nil
			case errors.Is(err, ErrClientGone):
				return Result{Status: balancer.StatusCancelled}, false, nil
			}
			a.pool.logBrokenResponse(a.backend, err)
			return Result{Status: balancer.StatusReset}, false, nil
		case <-overrun.C:
			if length > MaxBufferedResponse {
				continue // only StallTimeout applies
			}
			if ahead, ok := source.(*readAhead); ok && !ahead.isStalled(MaxBufferedResponse) {
				overrun.Reset(ResponseBufferWait)
				continue
			}
			a.cancel()
			return Result{Status: balancer.StatusTimedOut}, false, nil
		case <-a.ctx.Done():
			return Result{Status: balancer.StatusCancelled}, false, nil
		}
	}
}
