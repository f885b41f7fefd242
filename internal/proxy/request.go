package proxy

import (
	"container/heap"
	"context"
	"net"
	"net/http"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

const (
	// expiryGrace is how long after its deadline a request is failed whatever the balancer decides: an attempt's timeout at
	// the deadline is the balancer's to answer and to learn from.
	expiryGrace = 10 * time.Millisecond

	maxUploadTime = 30 * time.Minute // for a body to come; its rate is checked where it is read
)

// request is one request that a client has sent. The client's goroutine sets the first group of fields before the loop gets
// it; the second group belongs to the loop. outbound is the attempt's while there is one, but for ClientDeadline.
type request struct {
	balancer.Request
	ClassName     string
	Outbound      upstream.Request
	ClientContext context.Context // ends once net/http has noticed that the client has gone; nil in a test without one
	ClientConn    net.Conn
	StopUpload    func()        // of a body that is still coming: nobody wants the rest any more
	responses     chan Response // takes the one final response without a wait

	rules            *invariant.Request // nil before the loop has taken it
	recordedAttempts int                // that were started
	ended            bool               // it has its final response, or nobody waits for one
	attemptCount     int                // that the balancer decided on
	currentAttempt   *attempt           // in flight, or nil
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

// response is a final response.
type Response struct {
	Status      int // 0: nobody waits for one
	ContentType string
	Body        []byte
	Stream      *upstream.Stream // in place of body, for a response that is streamed
	RetryAfter  int64            // of a rejection, in microseconds; 0: none
}

// clientGone reports whether the client has gone: nothing new is to begin for it. What net/http has noticed shows in the
// context; what it cannot have seen yet, or never will, at the socket. Any goroutine may call it.
func (r *request) IsClientGone() bool {
	return r.ClientContext != nil && (r.ClientContext.Err() != nil || socket.PeerClosed(r.ClientConn))
}

// handleRequest gives a request to the balancer, which has until its deadline to end it.
func (l *eventLoop) handleRequest(r *request) {
	if l.requests[r.ID] != nil { // two under one ID could not be distinguished
		r.endUntaken(Response{Status: http.StatusBadRequest})
		return
	}
	if r.ClientContext != nil && r.ClientContext.Err() != nil { // it left while the event was queued
		r.endUntaken(Response{})
		return
	}
	l.requests[r.ID] = r
	l.auditRequest(r)
	if !r.BodyPending {
		l.armDeadline(r)
	}
	l.balancer.HandleRequest(l.clock.now(), l, r.Request)
}

// endUntaken ends a request that neither the loop's table nor the balancer has.
func (r *request) endUntaken(resp Response) {
	r.ended = true
	r.responses <- resp
	if r.StopUpload != nil {
		r.StopUpload()
	}
}

// armDeadline has a request expire at its deadline.
func (l *eventLoop) armDeadline(r *request) {
	if l.drainDeadline > 0 {
		r.Deadline = min(r.Deadline, l.drainDeadline)
	}
	heap.Push(&l.timers, timer{moment: r.Deadline + expiryGrace.Microseconds(), request: r})
}

// handleBodyArrived notes when the last byte of a body came that is still being forwarded: the client's time runs from then
// on, however long the backend takes for what is left.
func (l *eventLoop) handleBodyArrived(r *request, arrived time.Time) {
	if r.ended || !r.BodyPending {
		return
	}
	deadline := arrived.Add(r.Outbound.Timeout)
	r.Outbound.ClientDeadline.Store(&deadline)
	if r.rules != nil {
		r.rules.SetDeadline(deadline)
	}
	r.Deadline = l.clock.at(deadline)
	l.armDeadline(r)
}

// handleBodyReceived begins the time of a request whose body was still coming when it was taken. deadline is on the loop's
// clock.
func (l *eventLoop) handleBodyReceived(r *request, deadline int64) {
	if r.ended {
		return
	}
	if arrived := r.Outbound.ClientDeadline.Load(); arrived != nil {
		deadline = min(deadline, l.clock.at(*arrived))
	}
	r.BodyPending, r.Deadline = false, deadline
	if r.rules != nil {
		r.rules.SetDeadline(l.clock.time(deadline))
	}
	l.armDeadline(r)
	now := l.clock.now()
	timeout := l.balancer.HandleBodyReceived(now, r.ID, r.Deadline)
	if a := r.currentAttempt; a != nil && a.awaitsBody {
		a.decidedAt = now
		a.outbound.CompleteBody(l.clock.time(min(r.Deadline, now+timeout)))
	}
}

// respond gives a request its final response, if it has none yet.
func (l *eventLoop) respond(r *request, resp Response) {
	if r.ended {
		return
	}
	r.ended = true
	l.auditResponse(r, resp)
	r.responses <- resp
	if r.StopUpload != nil {
		r.StopUpload()
	}
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
func (l *eventLoop) withdraw(r *request, resp Response) {
	if r.ended {
		return
	}
	l.respond(r, resp)
	l.balancer.HandleClientGone(l.clock.now(), l, r.ID)
	r.cancelAttempt()
}

// handleClientGone ends a request whose client has gone, even in the middle of its response.
func (l *eventLoop) handleClientGone(r *request) {
	l.withdraw(r, Response{})
	r.cancelAttempt()
}

func (r *request) cancelAttempt() {
	if r.currentAttempt != nil {
		r.currentAttempt.outbound.Cancel()
	}
}

// expire fails a request that the balancer has not ended in its time.
func (l *eventLoop) expire(r *request) {
	l.withdraw(r, Response{Status: http.StatusGatewayTimeout})
}

// shortenDeadlines has all requests end by cutoff, a moment of the loop's clock: after SIGTERM the process may be killed
// soon.
func (l *eventLoop) shortenDeadlines(cutoff int64) {
	l.drainDeadline = cutoff
	for _, r := range l.requests {
		heap.Push(&l.timers, timer{moment: cutoff, request: r})
	}
}
