package proxy

import (
	"container/heap"
	"context"
	"net/http"
	"time"

	"merlinpick/balancer"
)

// outcome tells the module how an attempt ended; a served request has its answer first.
func (l *loop) outcome(a *attempt, res result) {
	r := a.req
	l.ends(a, res.status)
	if r.current == a {
		r.current = nil
	}
	if res.status == balancer.StatusOK {
		l.end(r, answer{status: http.StatusOK, body: res.body, content: res.content})
	}
	if res.status != balancer.StatusOK && !r.over && r.left() {
		l.gone(r) // or a further attempt might follow
	}
	now := l.clock.now()
	l.bal.HandleOutcome(now, l, balancer.Outcome{RequestID: r.ID, Attempt: a.number, Status: res.status, Latency: now - a.sent,
		RequestDone: r.over, NotReplayable: r.spent})
	l.forget(r)
}

// stream ends a request with an answer that is passed on as it comes; false if it has ended otherwise. The
// attempt calls it and goes on until the answer has been passed on.
func (l *loop) stream(a *attempt, ans answer) bool {
	begun := make(chan bool, 1)
	l.post(func() {
		if a.req.over {
			begun <- false
			return
		}
		ans.stream.due = l.clock.time(a.req.Deadline)
		l.bal.HandleResponseStarted(l.clock.now(), a.req.ID)
		l.end(a.req, ans)
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
func (l *loop) Send(id, server string, within, timeout int64) {
	r := l.reqs[id]
	if r == nil {
		l.log.Error("send for an unknown request", "id", id)
		return
	}
	now := l.clock.now()
	until := r.Deadline
	if r.BodyPending {
		until = now + uploadMost.Microseconds()
	} else if timeout != 0 {
		until = min(until, now+timeout)
	}
	a := &attempt{req: r, number: r.sends, sent: now, deadline: l.clock.time(until), pool: l.pool}
	if within > 0 {
		a.until = l.clock.time(now + within)
	}
	r.sends++
	if r.BodyPending {
		a.whole = make(chan time.Time, 1)
	}
	ok := l.pool.find(a, server)
	// Never two attempts of a request at once, and none for a client that has gone.
	if !ok || r.over || r.current != nil || r.client != nil && r.client.Err() != nil {
		l.unsent = append(l.unsent, a)
		return
	}
	a.ctx, a.stop = context.WithCancel(l.ctx)
	a.stream = func(ans answer) bool { return l.stream(a, ans) }
	r.current = a
	l.sends(a)
	l.attempts.Add(1)
	go func() {
		defer l.attempts.Done()
		res := a.run()
		a.stop()
		l.post(func() { l.outcome(a, res) })
	}()
}

// Refuse implements logic.Host.
func (l *loop) Reject(id string, after int64) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusServiceUnavailable, after: after})
	}
}

// Fail implements logic.Host.
func (l *loop) Fail(id string) {
	if r := l.reqs[id]; r != nil {
		l.end(r, answer{status: http.StatusBadGateway})
	}
}

// SetTimer implements logic.Host.
func (l *loop) SetTimer(delay int64, token string) {
	heap.Push(&l.timers, timer{at: l.clock.now() + delay, token: token})
}

// Watch implements logic.Host. The client of the list watches from its start, and knows itself when to try again.
func (l *loop) Watch() {}

// Log implements logic.Host.
func (l *loop) Log(event balancer.Event) { l.log.Info(event.String()) }
