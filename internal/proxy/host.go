package proxy

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"merlinpick/balancer"
)

// outcome tells the module how an attempt ended; a served request has its answer first.
func (l *eventLoop) handleOutcome(a *attempt, res result) {
	r := a.request
	l.auditAttemptEnd(a, res.status)
	if r.currentAttempt == a {
		r.currentAttempt = nil
	}
	if res.status == balancer.StatusOK {
		l.respond(r, response{status: http.StatusOK, body: res.body, contentType: res.contentType})
	}
	if res.status != balancer.StatusOK && !r.ended && r.clientGone() {
		l.handleClientGone(r) // or a further attempt might follow
	}
	now := l.clock.now()
	l.balancer.HandleOutcome(now, l, balancer.Outcome{RequestID: r.ID, Attempt: a.number, Status: res.status, Latency: now - a.decidedAt,
		RequestDone: r.ended, NotReplayable: r.bodyConsumed})
	l.forget(r)
}

// stream ends a request with an answer that is passed on as it comes; false if it has ended otherwise. The
// attempt calls it and goes on until the answer has been passed on.
func (l *eventLoop) startStream(a *attempt, ans response) bool {
	begun := make(chan bool, 1)
	l.post(func() {
		if a.request.ended {
			begun <- false
			return
		}
		ans.stream.clientDeadline = l.clock.time(a.request.Deadline)
		l.balancer.HandleResponseStarted(l.clock.now(), a.request.ID)
		l.respond(a.request, ans)
		begun <- true
	})
	select {
	case ok := <-begun:
		return ok
	case <-l.done:
		return false
	}
}

// Send implements logic.Host.
func (l *eventLoop) Send(id, server string, within, timeout int64) {
	r := l.requests[id]
	if r == nil {
		l.logger.Error("send for an unknown request", "id", id)
		return
	}
	now := l.clock.now()
	until := r.Deadline
	if r.BodyPending {
		until = now + maxUploadTime.Microseconds()
	} else if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{request: r, number: r.attemptCount, decidedAt: now, deadline: l.clock.time(until), pool: l.pool}
	if within > 0 {
		a.sendDeadline = l.clock.time(now + within)
	}
	r.attemptCount++
	if r.BodyPending {
		a.bodyComplete = make(chan time.Time, 1)
	}
	ok := l.pool.assign(a, server)
	// Never two attempts of a request at once, and none for a client that has gone.
	if !ok || r.ended || r.currentAttempt != nil || r.clientContext != nil && r.clientContext.Err() != nil {
		l.unsentAttempts = append(l.unsentAttempts, a)
		return
	}
	a.ctx, a.cancel = context.WithCancel(l.attemptContext)
	a.startStream = func(ans response) bool { return l.startStream(a, ans) }
	r.currentAttempt = a
	l.auditAttemptStart(a)
	l.attemptGoroutines.Add(1)
	go func() {
		defer l.attemptGoroutines.Done()
		res := a.run()
		a.cancel()
		l.post(func() { l.handleOutcome(a, res) })
	}()
}

// Refuse implements logic.Host.
func (l *eventLoop) Reject(id string, after int64) {
	if r := l.requests[id]; r != nil {
		l.respond(r, response{status: http.StatusServiceUnavailable, retryAfter: after})
	}
}

// Fail implements logic.Host.
func (l *eventLoop) Fail(id string) {
	if r := l.requests[id]; r != nil {
		l.respond(r, response{status: http.StatusBadGateway})
	}
}

// SetTimer implements logic.Host.
func (l *eventLoop) SetTimer(delay int64, token string) {
	heap.Push(&l.timers, timer{at: l.clock.now() + delay, token: token})
}

// Watch implements logic.Host. The client of the list watches from its start, and knows itself when to try again.
func (l *eventLoop) Watch() {}

// Log implements logic.Host.
func (l *eventLoop) Log(event balancer.Event) { l.logger.Info(event.String()) }
