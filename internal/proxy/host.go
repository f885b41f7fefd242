package proxy

import (
	"container/heap"
	"context"
	"log/slog"
	"net/http"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/upstream"
)

// The event loop implements balancer.Host, which carries out the balancer's decisions. Everything in this
// file runs in the loop's goroutine, except startStream.

// Send starts an attempt at a server. Both limits are in microseconds from now: the request's last byte must
// be sent within sendWindow (0: no limit), and the response must arrive within timeout (0: by the client's
// deadline).
func (l *eventLoop) Send(id, server string, sendWindow, timeout int64) {
	r := l.requests[id]
	if r == nil {
		l.logger.Error("attempt for an unknown request", "request", id, "endpoint", server)
		return
	}
	now := l.clock.now()
	a := &attempt{request: r, number: r.attemptCount, decidedAt: now, awaitsBody: r.BodyPending}
	r.attemptCount++
	params := upstream.Params{
		Request: &r.Outbound, Deadline: l.clock.time(l.attemptDeadline(r, now, timeout)), Uploading: r.BodyPending,
		StartStream: func(s *upstream.Stream) bool { return l.startStream(r, s) },
	}
	if sendWindow > 0 {
		params.SendDeadline = l.clock.time(now + sendWindow)
	}
	if !l.start(a, server, params) {
		l.attempts.unsent = append(l.attempts.unsent, a)
	}
}

// attemptDeadline returns when an attempt that starts now times out, on the loop's clock. While the body is
// still being received, the client's deadline is unknown: it is set once the body is complete.
func (l *eventLoop) attemptDeadline(r *request, now, timeout int64) int64 {
	switch {
	case r.BodyPending:
		return now + maxUploadTime.Microseconds()
	case timeout != 0:
		return min(r.Deadline, now+timeout)
	}
	return r.Deadline
}

// start runs an attempt in its own goroutine, which posts the result to the loop. It returns false if the
// server accepts no new requests, the client has disconnected, another attempt of the request is in flight,
// or the request has ended.
func (l *eventLoop) start(a *attempt, server string, params upstream.Params) bool {
	r := a.request
	if r.ended || r.currentAttempt != nil || r.IsClientGoneByContext() {
		return false
	}
	outbound, ok := l.pool.NewAttempt(l.attempts.ctx, server, params)
	if !ok {
		return false
	}
	a.started, a.outbound, a.server = true, outbound, outbound.Server()
	r.currentAttempt = a
	l.noteAttempt(r)
	l.auditAttemptStart(a)
	l.auditListEvidence(a)
	l.attempts.goroutines.Go(func() {
		result := outbound.Run()
		outbound.Cancel()
		l.post(func() { l.handleOutcome(a, result) })
	})
	return true
}

// handleOutcome reports the end of an attempt to the balancer. If the attempt succeeded, the request gets its
// response first.
func (l *eventLoop) handleOutcome(a *attempt, result upstream.Result) {
	r := a.request
	l.auditAttemptEnd(a, result.Status)
	if r.currentAttempt == a {
		r.currentAttempt = nil
	}
	if result.Status == balancer.StatusOK {
		l.respond(r, downstream.Response{Status: http.StatusOK, Body: result.Body, ContentType: result.ContentType})
	}
	if result.Status != balancer.StatusOK && !r.ended && r.IsClientGone() {
		l.handleClientGone(r) // otherwise the balancer might decide on a retry
	}
	now := l.clock.now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{RequestID: r.ID, Attempt: a.number, Status: result.Status,
		Latency: now - a.decidedAt, RequestDone: r.ended, NotReplayable: r.Outbound.BodyConsumed})
	l.removeIfDone(r)
}

// startStream responds to a request with a streamed response; it returns false if the request has already
// ended. It is called by the attempt's goroutine, which runs until the response has been forwarded.
func (l *eventLoop) startStream(r *request, s *upstream.Stream) bool {
	started := make(chan bool, 1)
	l.post(func() {
		if r.ended {
			started <- false
			return
		}
		s.ClientDeadline = l.clock.time(r.Deadline)
		l.balancer.HandleResponseStarted(l.clock.now(), r.ID)
		l.respond(r, downstream.Response{Status: http.StatusOK, ContentType: s.ContentType, Stream: s})
		started <- true
	})
	select {
	case ok := <-started:
		return ok
	case <-l.done:
		return false
	}
}

// Reject responds with a 503 that asks the client to retry after retryAfter microseconds; 0 sends no
// Retry-After.
func (l *eventLoop) Reject(id string, retryAfter int64) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
	}
}

// Fail responds to a request with a 502.
func (l *eventLoop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusBadGateway})
	}
}

// SetTimer schedules a call of the balancer's HandleTimer with a token, after a delay in microseconds.
func (l *eventLoop) SetTimer(delay int64, token string) {
	heap.Push(&l.timers, timer{dueAt: l.clock.now() + delay, token: token})
}

// Watch does nothing: the discovery client watches from the start and retries by itself.
func (l *eventLoop) Watch() {}

// Log logs an event that the balancer reports.
func (l *eventLoop) Log(event balancer.Event) {
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, event.Message(), event.Attributes(l.zoneNumbers.name)...)
}
