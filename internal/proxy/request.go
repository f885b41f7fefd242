package proxy

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/audit"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/upstream"
)

const (
	// expiryGrace is how long after its deadline a request fails even if the balancer has not ended it. It
	// leaves the balancer time to handle the timeout of an attempt at the deadline itself, and to learn from
	// it.
	expiryGrace = 10 * time.Millisecond

	maxUploadTime = 30 * time.Minute // for a request body to arrive; downstream also checks its rate
)

// request is a client's request in the loop's table. Only the loop uses it.
type request struct {
	*downstream.Request
	rules            *invariant.Request
	mayBeExecuted    bool     // by an attempt that was started
	recordedAttempts int      // attempts that were started
	ended            bool     // it has its final response, or its client has disconnected
	attemptCount     int      // attempts that the balancer decided on
	currentAttempt   *attempt // in flight, or nil
}

// attempt is one attempt that the balancer has decided on. Only the loop uses it.
type attempt struct {
	request     *request
	number      int
	decidedAt   int64 // on the loop's clock, in microseconds
	awaitsBody  bool  // the body was still being received when the balancer decided
	started     bool
	outbound    *upstream.Attempt // nil unless started
	server      upstream.Server   // destination, if started
	recordIndex int               // among the started attempts of its request
}

// The event loop implements downstream.Handler. Each call posts an event.

// HandleRequest posts a new request.
func (l *eventLoop) HandleRequest(r *downstream.Request) { l.post(func() { l.handleRequest(r) }) }

// HandleBodyEndSeen posts since when the client of a body that is being forwarded may have sent all of it.
func (l *eventLoop) HandleBodyEndSeen(r *downstream.Request, sent time.Time) {
	l.postFor(r, func(r *request) { l.handleBodyEndSeen(r, sent) })
}

// HandleBodyRead posts that a request's body has been read completely.
func (l *eventLoop) HandleBodyRead(r *downstream.Request, clientDeadline time.Time) {
	l.postFor(r, func(r *request) { l.handleBodyRead(r, l.clock.at(clientDeadline)) })
}

// HandleClientGone posts that a request's client has disconnected.
func (l *eventLoop) HandleClientGone(r *downstream.Request) { l.postFor(r, l.handleClientGone) }

// Stopped returns a context that is cancelled when the loop has ended.
func (l *eventLoop) Stopped() context.Context { return l.stopped }

// postFor posts an event for a request. The loop ignores it if the request is not in its table.
func (l *eventLoop) postFor(r *downstream.Request, event func(*request)) {
	l.post(func() {
		if own := l.requests[r.ID]; own != nil && own.Request == r {
			event(own)
		}
	})
}

// handleRequest passes a request to the balancer, which must end it by its deadline. A request with the ID of
// one that is still in the table is rejected, since the two could not be told apart, and so is one with the ID
// of a request that may have been executed and must not be executed twice.
func (l *eventLoop) handleRequest(received *downstream.Request) {
	if l.requests[received.ID] != nil {
		received.Respond(downstream.Response{Status: http.StatusBadRequest})
		return
	}
	if !isIdempotent(received) && l.executions.ids.contains(l.clock.now(), hashID(received.ID)) {
		l.audit.Count(audit.RequestIDRepeated)
		received.Respond(downstream.Response{Status: http.StatusConflict})
		return
	}
	if received.IsClientGoneByContext() { // disconnected while the event was queued
		received.Respond(downstream.Response{})
		return
	}
	r := &request{Request: received}
	l.requests[r.ID] = r
	if !r.BodyPending {
		r.Deadline = l.clock.at(r.ClientDeadline)
	}
	l.auditRequest(r)
	if !r.BodyPending {
		l.armDeadline(r)
	}
	l.balancer.HandleRequest(l.clock.now(), l, r.Request.Request)
}

// armDeadline sets the timer that ends a request at its deadline, or at the drain's cutoff if that is sooner.
func (l *eventLoop) armDeadline(r *request) {
	if l.drainDeadline > 0 {
		r.Deadline = min(r.Deadline, l.drainDeadline)
	}
	heap.Push(&l.timers, timer{dueAt: r.Deadline + expiryGrace.Microseconds(), request: r})
}

// handleBodyEndSeen records when the last byte of a body was sent, while the body is still being forwarded.
// The client's timeout starts then, however long the backend takes to read the rest.
func (l *eventLoop) handleBodyEndSeen(r *request, sent time.Time) {
	if r.ended || !r.BodyPending {
		return
	}
	deadline := sent.Add(r.Outbound.Timeout)
	r.Outbound.ClientDeadline.Store(&deadline)
	l.auditBodySent(r, sent, deadline)
	r.Deadline = l.clock.at(deadline)
	l.armDeadline(r)
}

// handleBodyRead sets the deadline of a request whose body was still being received when it was accepted.
// deadline is on the loop's clock.
func (l *eventLoop) handleBodyRead(r *request, deadline int64) {
	if r.ended {
		return
	}
	if earlier := r.Outbound.ClientDeadline.Load(); earlier != nil {
		deadline = min(deadline, l.clock.at(*earlier))
	}
	r.BodyPending, r.Deadline = false, deadline
	l.auditBodyRead(r, l.clock.time(deadline))
	l.armDeadline(r)
	now := l.clock.now()
	timeout := l.balancer.HandleBodyReceived(now, r.ID, r.Deadline)
	if a := r.currentAttempt; a != nil && a.awaitsBody {
		a.decidedAt = now
		a.outbound.CompleteBody(l.clock.time(min(r.Deadline, now+timeout)))
	}
}

// respond sends a request's final response, unless the request has ended.
func (l *eventLoop) respond(r *request, resp downstream.Response) {
	if r.ended {
		return
	}
	r.ended = true
	l.auditResponse(r, resp)
	r.Respond(resp)
	l.removeIfDone(r)
}

// isIdempotent reports whether a request may be executed any number of times.
func isIdempotent(r *downstream.Request) bool {
	return r.Settings.Classes[r.Class].Idempotency == balancer.Idempotent
}

// removeIfDone removes a request from the table if it has ended and has no attempt in flight.
func (l *eventLoop) removeIfDone(r *request) {
	if r.ended && r.currentAttempt == nil {
		l.noteEnd(r)
		delete(l.requests, r.ID)
		r.Outbound.Body, r.Outbound.Header = nil, nil // its timer may keep the request for seconds
	}
}

// abort ends a request with a response, without a decision of the balancer, and cancels its attempt.
func (l *eventLoop) abort(r *request, resp downstream.Response) {
	if r.ended {
		return
	}
	l.respond(r, resp)
	l.balancer.HandleClientGone(l.clock.now(), l, r.ID)
	r.cancelAttempt()
}

// handleClientGone ends a request whose client has disconnected, even while its response is being streamed.
func (l *eventLoop) handleClientGone(r *request) {
	l.abort(r, downstream.Response{})
	r.cancelAttempt()
}

// cancelAttempt cancels the attempt in flight, if there is one.
func (r *request) cancelAttempt() {
	if r.currentAttempt != nil {
		r.currentAttempt.outbound.Cancel()
	}
}

// expire responds with a 504 to a request that the balancer has not ended by its deadline.
func (l *eventLoop) expire(r *request) {
	l.abort(r, downstream.Response{Status: http.StatusGatewayTimeout})
}

// shortenDeadlines makes all requests end by cutoff, a time on the loop's clock, since a process may be
// killed soon after SIGTERM.
func (l *eventLoop) shortenDeadlines(cutoff int64) {
	l.drainDeadline = cutoff
	for _, r := range l.requests {
		heap.Push(&l.timers, timer{dueAt: cutoff, request: r})
	}
}
