package downstream

import (
	"context"
	"net"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

// Request is one request that a client has sent. The client's goroutine sets its fields before it gives the request to the
// Handler, which owns them from then on; attempts use Outbound one after the other.
type Request struct {
	balancer.Request // Deadline is the Handler's to set
	ClassName        string
	Outbound         upstream.Request

	// ClientDeadline is when the client gives up, by the process's clock; zero while the body is still coming.
	ClientDeadline time.Time

	clientContext context.Context // ends once net/http has noticed that the client has gone
	clientConn    net.Conn
	stopUpload    func()        // of a body that is still coming: nobody wants the rest any more
	responses     chan Response // takes the one final response without a wait
}

// Response is a final response.
type Response struct {
	Status      int // 0: nobody waits for one
	ContentType string
	Body        []byte
	Stream      *upstream.Stream // in place of Body, for a response that is streamed
	RetryAfter  int64            // of a rejection, in microseconds; 0: none
}

// Respond gives a request its final response, once, and ends its upload. It does not wait.
func (r *Request) Respond(resp Response) {
	r.responses <- resp
	if r.stopUpload != nil {
		r.stopUpload()
	}
}

// IsClientGone reports whether the client has gone: nothing new is to begin for it. What net/http has noticed shows in the
// context; what it cannot have seen yet, or never will, at the socket. Any goroutine may call it.
func (r *Request) IsClientGone() bool {
	return r.IsClientGoneByContext() || socket.PeerClosed(r.clientConn)
}

// IsClientGoneByContext reports whether net/http has noticed that the client has gone; IsClientGone also asks the socket,
// a system call.
func (r *Request) IsClientGoneByContext() bool { return r.clientContext.Err() != nil }

// Handler decides on requests. Any goroutine may call its methods, which return before there is a response. After Stopped is
// done it gives none.
type Handler interface {
	// HandleRequest takes a request, which gets its response through Respond.
	HandleRequest(r *Request)
	// HandleBodyEndSeen is called when the last byte of a body that is being streamed is known to have come, though it has
	// not been read yet: the client's time runs from then on.
	HandleBodyEndSeen(r *Request, arrived time.Time)
	// HandleBodyRead is called when a body that was streamed has been read completely.
	HandleBodyRead(r *Request, clientDeadline time.Time)
	// HandleClientGone is called when nobody waits for the response any more, even in the middle of it.
	HandleClientGone(r *Request)
	// Stopped is done when the Handler has stopped.
	Stopped() context.Context
}
