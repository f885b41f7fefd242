package proxy

import (
	"container/heap"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/invariant"
	"merlinpick/internal/proxy/socket"
)

const (
	// An attempt's time-out at the end of the request's time is the module's to answer and to learn from;
	// this much later the request is failed whatever the module says.
	expiryGrace   = 10 * time.Millisecond
	maxUploadTime = 30 * time.Minute // for a body to come; its rate is watched where it is read
)

// request is one request that a client has handed over. The fields above answer are set before the loop
// gets it; those below belong to the loop.
type request struct {
	balancer.Request
	className     string // its name
	method        string
	uri           string // path and query as they came
	host          string
	header        http.Header   // what goes on to the backend
	timeout       time.Duration // how long the client waits, from the last byte of the request on
	bufferedBody  []byte        // what is held of it
	nonIdempotent bool          // its class must never run twice
	responses     chan response // takes the one final answer without a wait

	clientContext context.Context // ends once net/http has noticed that the client has gone; nil in a test without one
	clientConn    net.Conn        // the client's connection

	// Of a body that is too large to be held. While Uploading the rest is still coming.
	bodyRemainder  io.Reader                 // what comes after body
	contentLength  int64                     // of all; -1: not told
	stopUpload     func()                    // nobody wants the rest any more
	bodyConsumed   bool                      // some of the rest is gone: no other attempt can have it
	clientDeadline atomic.Pointer[time.Time] // when the client gives up, once its last byte is known to have come

	rules            *invariant.Request // what the rules know of it; nil in a test that does not take it
	recordedAttempts int                // attempts that began

	ended          bool
	attemptCount   int
	currentAttempt *attempt // the one that is out
}

// answer is a final answer.
type response struct {
	status      int // 0: nobody is there to have one
	body        []byte
	stream      *responseStream // in body's place: it is passed on as it comes
	contentType string
	retryAfter  int64 // of a refusal: come again after this, in microseconds; 0 for no word
}

// take hands a request to the module. It has until GiveUp to end it.
func (l *eventLoop) handleRequest(r *request) {
	if l.requests[r.ID] != nil { // two under one id could not be told apart
		r.reject(response{status: http.StatusBadRequest})
		return
	}
	if r.clientContext != nil && r.clientContext.Err() != nil { // it left while this stood in the queue
		r.reject(response{})
		return
	}
	l.requests[r.ID] = r
	l.auditRequest(r)
	if !r.BodyPending {
		l.armDeadline(r)
	}
	l.balancer.HandleRequest(l.clock.now(), l, r.Request)
}

// turnAway ends a request that the loop does not take: neither its table nor the module has it.
func (r *request) reject(ans response) {
	r.ended = true
	r.responses <- ans
	if r.stopUpload != nil {
		r.stopUpload()
	}
}

// limit has a request end when its client gives up, at the latest.
func (l *eventLoop) armDeadline(r *request) {
	if l.drainDeadline > 0 {
		r.Deadline = min(r.Deadline, l.drainDeadline)
	}
	heap.Push(&l.timers, timer{moment: r.Deadline + expiryGrace.Microseconds(), request: r})
}

// arrived notes when the last byte of a body came that is still being passed on: the client's time runs from then on,
// however long the backend takes for what is left.
func (l *eventLoop) handleBodyArrived(r *request, at time.Time) {
	if r.ended || !r.BodyPending {
		return
	}
	due := at.Add(r.timeout)
	r.clientDeadline.Store(&due)
	if r.rules != nil {
		r.rules.SetDeadline(due)
	}
	r.Deadline = l.clock.at(due)
	l.armDeadline(r)
}

// uploaded begins the time of a request whose body was still coming when it was taken.
func (l *eventLoop) handleBodyReceived(r *request, giveUp int64) {
	if r.ended {
		return
	}
	if due := r.clientDeadline.Load(); due != nil {
		giveUp = min(giveUp, l.clock.at(*due))
	}
	r.BodyPending, r.Deadline = false, giveUp
	if r.rules != nil {
		r.rules.SetDeadline(l.clock.time(giveUp))
	}
	l.armDeadline(r)
	now := l.clock.now()
	timeout := l.balancer.HandleBodyReceived(now, r.ID, r.Deadline)
	if a := r.currentAttempt; a != nil && a.bodyComplete != nil {
		a.decidedAt = now
		a.bodyComplete <- l.clock.time(min(r.Deadline, now+timeout))
	}
}

// end gives a request its final answer, if it has none yet.
func (l *eventLoop) respond(r *request, ans response) {
	if r.ended {
		return
	}
	r.ended = true
	l.auditResponse(r, ans)
	r.responses <- ans
	if r.stopUpload != nil {
		r.stopUpload()
	}
	l.forget(r)
}

func (l *eventLoop) forget(r *request) {
	if r.ended && r.currentAttempt == nil {
		delete(l.requests, r.ID)
		r.bufferedBody, r.header = nil, nil // a timer may hold on to the rest for seconds
	}
}

// withdraw ends a request that nobody waits for any more, and its attempt.
func (l *eventLoop) withdraw(r *request, ans response) {
	if r.ended {
		return
	}
	l.respond(r, ans)
	l.balancer.HandleClientGone(l.clock.now(), l, r.ID)
	if r.currentAttempt != nil {
		r.currentAttempt.cancel()
	}
}

// gone ends a request whose client has gone, even in the middle of its answer.
func (l *eventLoop) handleClientGone(r *request) {
	l.withdraw(r, response{})
	if r.currentAttempt != nil {
		r.currentAttempt.cancel()
	}
}

// expire fails a request that the module has not ended in its time.
func (l *eventLoop) expire(r *request) {
	l.withdraw(r, response{status: http.StatusGatewayTimeout})
}

// hurry is for SIGTERM: all requests end by cutoff, since the process may be killed soon after.
func (l *eventLoop) shortenDeadlines(cutoff int64) {
	l.drainDeadline = cutoff
	for _, r := range l.requests {
		heap.Push(&l.timers, timer{moment: cutoff, request: r})
	}
}

// left tells whether the client has gone: nothing new is to begin for it. What net/http has noticed shows in the
// context; what it cannot have seen yet, or never will, shows at the socket.
func (r *request) clientGone() bool {
	return r.clientContext != nil && (r.clientContext.Err() != nil || socket.PeerClosed(r.clientConn))
}
