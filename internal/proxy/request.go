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
	"merlinpick/internal/proxy/guard"
)

const (
	// An attempt's time-out at the end of the request's time is the module's to answer and to learn from;
	// this much later the request is failed whatever the module says.
	expireAfter = 10 * time.Millisecond
	uploadMost  = 30 * time.Minute // for a body to come; its rate is watched where it is read
)

// request is one request that a client has handed over. The fields above answer are set before the loop
// gets it; those below belong to the loop.
type request struct {
	balancer.Request
	class  string // its name
	method string
	uri    string // path and query as they came
	host   string
	header http.Header   // what goes on to the backend
	wait   time.Duration // how long the client waits, from the last byte of the request on
	body   []byte        // what is held of it
	unsafe bool          // its class must never run twice
	answer chan answer   // takes the one final answer without a wait

	client context.Context // ends once net/http has noticed that the client has gone; nil in a test without one
	peer   net.Conn        // the client's connection

	// Of a body that is too large to be held. While Uploading the rest is still coming.
	rest     io.Reader                 // what comes after body
	length   int64                     // of all; -1: not told
	stopBody func()                    // nobody wants the rest any more
	spent    bool                      // some of the rest is gone: no other attempt can have it
	due      atomic.Pointer[time.Time] // when the client gives up, once its last byte is known to have come

	watched  *guard.Request // what the rules know of it; nil in a test that does not take it
	recorded int            // attempts that began

	over    bool
	sends   int
	current *attempt // the one that is out
}

// answer is a final answer.
type answer struct {
	status  int // 0: nobody is there to have one
	body    []byte
	stream  *download // in body's place: it is passed on as it comes
	content string
	after   int64 // of a refusal: come again after this, in microseconds; 0 for no word
}

// take hands a request to the module. It has until GiveUp to end it.
func (l *loop) take(r *request) {
	if l.reqs[r.ID] != nil { // two under one id could not be told apart
		r.turnAway(answer{status: http.StatusBadRequest})
		return
	}
	if r.client != nil && r.client.Err() != nil { // it left while this stood in the queue
		r.turnAway(answer{})
		return
	}
	l.reqs[r.ID] = r
	l.taken(r)
	if !r.BodyPending {
		l.limit(r)
	}
	l.bal.HandleRequest(l.clock.now(), l, r.Request)
}

// turnAway ends a request that the loop does not take: neither its table nor the module has it.
func (r *request) turnAway(ans answer) {
	r.over = true
	r.answer <- ans
	if r.stopBody != nil {
		r.stopBody()
	}
}

// limit has a request end when its client gives up, at the latest.
func (l *loop) limit(r *request) {
	if l.cutoff > 0 {
		r.Deadline = min(r.Deadline, l.cutoff)
	}
	heap.Push(&l.timers, timer{at: r.Deadline + expireAfter.Microseconds(), req: r})
}

// arrived notes when the last byte of a body came that is still being passed on: the client's time runs from then on,
// however long the backend takes for what is left.
func (l *loop) arrived(r *request, at time.Time) {
	if r.over || !r.BodyPending {
		return
	}
	due := at.Add(r.wait)
	r.due.Store(&due)
	if r.watched != nil {
		r.watched.Due(due)
	}
	r.Deadline = l.clock.at(due)
	l.limit(r)
}

// uploaded begins the time of a request whose body was still coming when it was taken.
func (l *loop) uploaded(r *request, giveUp int64) {
	if r.over {
		return
	}
	if due := r.due.Load(); due != nil {
		giveUp = min(giveUp, l.clock.at(*due))
	}
	r.BodyPending, r.Deadline = false, giveUp
	if r.watched != nil {
		r.watched.Due(l.clock.time(giveUp))
	}
	l.limit(r)
	now := l.clock.now()
	timeout := l.bal.HandleBodyReceived(now, r.ID, r.Deadline)
	if a := r.current; a != nil && a.whole != nil {
		a.sent = now
		a.whole <- l.clock.time(min(r.Deadline, now+timeout))
	}
}

// end gives a request its final answer, if it has none yet.
func (l *loop) end(r *request, ans answer) {
	if r.over {
		return
	}
	r.over = true
	l.answers(r, ans)
	r.answer <- ans
	if r.stopBody != nil {
		r.stopBody()
	}
	l.forget(r)
}

func (l *loop) forget(r *request) {
	if r.over && r.current == nil {
		delete(l.reqs, r.ID)
		r.body, r.header = nil, nil // a timer may hold on to the rest for seconds
	}
}

// withdraw ends a request that nobody waits for any more, and its attempt.
func (l *loop) withdraw(r *request, ans answer) {
	if r.over {
		return
	}
	l.end(r, ans)
	l.bal.HandleClientGone(l.clock.now(), l, r.ID)
	if r.current != nil {
		r.current.stop()
	}
}

// gone ends a request whose client has gone, even in the middle of its answer.
func (l *loop) gone(r *request) {
	l.withdraw(r, answer{})
	if r.current != nil {
		r.current.stop()
	}
}

// expire fails a request that the module has not ended in its time.
func (l *loop) expire(r *request) {
	l.withdraw(r, answer{status: http.StatusGatewayTimeout})
}

// hurry is for SIGTERM: all requests end by cutoff, since the process may be killed soon after.
func (l *loop) hurry(cutoff int64) {
	l.cutoff = cutoff
	for _, r := range l.reqs {
		heap.Push(&l.timers, timer{at: cutoff, req: r})
	}
}
