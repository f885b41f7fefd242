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

// The loop is the balancer's Host: it carries its decisions out. All of this file runs in the loop's goroutine, but for
// startStream.

// Send starts an attempt at a server. sendWindow (0: none) is how long its last byte may be sent, timeout (0: the client's
// deadline) how long its response is awaited, both in microseconds from now.
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

// attemptDeadline is when an attempt that begins now is given up, on the loop's clock. While the body is still coming the
// client's deadline is not known: it is set once the body is complete.
func (l *eventLoop) attemptDeadline(r *request, now, timeout int64) int64 {
	switch {
	case r.BodyPending:
		return now + maxUploadTime.Microseconds()
	case timeout != 0:
		return min(r.Deadline, now+timeout)
	}
	return r.Deadline
}

// start runs an attempt in a goroutine of its own, which posts the result. It returns false for a server that takes nothing
// new, for a client that has gone, and while another attempt of the request is in flight or it has its response.
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
	l.auditAttemptStart(a)
	l.auditListEvidence(a)
	l.attempts.goroutines.Go(func() {
		result := outbound.Run()
		outbound.Cancel()
		l.post(func() { l.handleOutcome(a, result) })
	})
	return true
}

// handleOutcome reports to the balancer how an attempt ended. A request that it has served gets its response first.
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
	l.forget(r)
}

// startStream gives a request a response that is streamed; false if the request has ended otherwise. The attempt's
// goroutine calls it, and goes on until the response has been passed on.
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

// Reject gives a request a 503 that tells its client to come again after so many microseconds; 0: without a time.
func (l *eventLoop) Reject(id string, retryAfter int64) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter})
	}
}

// Fail gives a request a 502.
func (l *eventLoop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.respond(r, downstream.Response{Status: http.StatusBadGateway})
	}
}

// SetTimer has HandleTimer called with a token after a delay in microseconds.
func (l *eventLoop) SetTimer(delay int64, token string) {
	heap.Push(&l.timers, timer{moment: l.clock.now() + delay, token: token})
}

// Watch does nothing: discovery's client watches from the start and retries by itself.
func (l *eventLoop) Watch() {}

// Log logs an event of the balancer's.
func (l *eventLoop) Log(event balancer.Event) {
	l.logger.LogAttrs(context.Background(), slog.LevelInfo, event.Message(), event.Attributes(l.zoneNumbers.name)...)
}
