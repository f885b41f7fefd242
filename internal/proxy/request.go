package proxy

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/upstream"
)

const (
	// expiryGrace is how long after its deadline a request is failed whatever the balancer decides: an attempt's timeout at
	// the deadline is the balancer's to answer and to learn from.
	expiryGrace = 10 * time.Millisecond

	maxUploadTime = 30 * time.Minute // for a body to come; its rate is checked where it is read
)

// request is a client's request in the loop's table. It belongs to the loop.
type request struct {
	*downstream.Request
	rules            *invariant.Request
	recordedAttempts int      // that were started
	ended            bool     // it has its final response, or nobody waits for one
	attemptCount     int      // that the balancer decided on
	currentAttempt   *attempt // in flight, or nil
}

// attempt is one attempt that the balancer has decided on. It belongs to the loop.
type attempt struct {
	request     *request
	number      int
	decidedAt   int64 // of the loop's clock
	awaitsBody  bool  // the body was still coming when it was decided on
	started     bool
	outbound    *upstream.Attempt // nil unless started
	server      upstream.Server   // where it goes, if started
	recordIndex int               // among the started attempts of its request
}

// The loop is the client side's Handler: each call is an event.

// HandleRequest implements downstream.Handler.
func (l *eventLoop) HandleRequest(r *downstream.Request) { l.post(func() { l.handleRequest(r) }) }

// HandleBodyEndSeen implements downstream.Handler.
func (l *eventLoop) HandleBodyEndSeen(r *downstream.Request, arrived time.Time) {
	l.postFor(r, func(r *request) { l.handleBodyEndSeen(r, arrived) })
}

// HandleBodyRead implements downstream.Handler.
func (l *eventLoop) HandleBodyRead(r *downstream.Request, clientDeadline time.Time) {
	l.postFor(r, func(r *request) { l.handleBodyRead(r, l.clock.at(clientDeadline)) })
}

// HandleClientGone implements downstream.Handler.
func (l *eventLoop) HandleClientGone(r *downstream.Request) { l.postFor(r, l.handleClientGone) }

// Stopped implements downstream.Handler.
func (l *eventLoop) Stopped() context.Context { return l.stopped }

// postFor posts an event of a request, unless the loop did not take that or has forgotten it.
func (l *eventLoop) postFor(r *downstream.Request, event func(*request)) {
	l.post(func() {
		if own := l.requests[r.ID]; own != nil && own.Request == r {
			event(own)
		}
	})
}

// handleRequest gives a request to the balancer, which has until its deadline to end it. Two under one ID could not be
// distinguished: the second is rejected.
func (l *eventLoop) handleRequest(received *downstream.Request) {
	if l.requests[received.ID] != nil {
		received.Respond(downstream.Response{Status: http.StatusBadRequest})
		return
	}
	if received.IsClientGoneByContext() { // while the event was queued
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

// armDeadline has a request expire at its deadline.
func (l *eventLoop) armDeadline(r *request) {
	if l.drainDeadline > 0 {
		r.Deadline = min(r.Deadline, l.drainDeadline)
	}
	heap.Push(&l.timers, timer{moment: r.Deadline + expiryGrace.Microseconds(), request: r})
}

// handleBodyEndSeen notes when the last byte of a body came that is still being forwarded: the client's time runs from then
// on, however long the backend takes for what is left.
func (l *eventLoop) handleBodyEndSeen(r *request, arrived time.Time) {
	if r.ended || !r.BodyPending {
		return
	}
	deadline := arrived.Add(r.Outbound.Timeout)
	r.Outbound.ClientDeadline.Store(&deadline)
	r.rules.SetDeadline(deadline)
	r.Deadline = l.clock.at(deadline)
	l.armDeadline(r)
}

// handleBodyRead begins the time of a request whose body was still coming when it was taken. deadline is on the loop's
// clock.
func (l *eventLoop) handleBodyRead(r *request, deadline int64) {
	if r.ended {
		return
	}
	if arrived := r.Outbound.ClientDeadline.Load(); arrived != nil {
		deadline = min(deadline, l.clock.at(*arrived))
	}
	r.BodyPending, r.Deadline = false, deadline
	r.rules.SetDeadline(l.clock.time(deadline))
	l.armDeadline(r)
	now := l.clock.now()
	timeout := l.balancer.HandleBodyReceived(now, r.ID, r.Deadline)
	if a := r.currentAttempt; a != nil && a.awaitsBody {
		a.decidedAt = now
		a.outbound.CompleteBody(l.clock.time(min(r.Deadline, now+timeout)))
	}
}

// respond gives a request its final response, if it has none yet.
func (l *eventLoop) respond(r *request, resp downstream.Response) {
	if r.ended {
		return
	}
	r.ended = true
	l.auditResponse(r, resp)
	r.Respond(resp)
	l.forget(r)
}

// forget drops a request from the table once nothing of it is left.
func (l *eventLoop) forget(r *request) {
	if r.ended && r.currentAttempt == nil {
		delete(l.requests, r.ID)
		r.Outbound.Body, r.Outbound.Header = nil, nil // a timer may keep the rest for seconds
	}
}

// withdraw ends a request whatever the balancer would decide, and cancels its attempt.
func (l *eventLoop) withdraw(r *request, resp downstream.Response) {
	if r.ended {
		return
	}
	l.respond(r, resp)
	l.balancer.HandleClientGone(l.clock.now(), l, r.ID)
	r.cancelAttempt()
}

// handleClientGone ends a request whose client has gone, even in the middle of its response.
func (l *eventLoop) handleClientGone(r *request) {
	l.withdraw(r, downstream.Response{})
	r.cancelAttempt()
}

func (r *request) cancelAttempt() {
	if r.currentAttempt != nil {
		r.currentAttempt.outbound.Cancel()
	}
}

// expire fails a request that the balancer has not ended in its time.
func (l *eventLoop) expire(r *request) {
	l.withdraw(r, downstream.Response{Status: http.StatusGatewayTimeout})
}

// shortenDeadlines has all requests end by cutoff, a moment of the loop's clock: after SIGTERM the process may be killed
// soon.
func (l *eventLoop) shortenDeadlines(cutoff int64) {
	l.drainDeadline = cutoff
	for _, r := range l.requests {
		heap.Push(&l.timers, timer{moment: cutoff, request: r})
	}
}
