package downstream

import (
	"context"
	"net"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

// Request is one request of a client. The goroutine of the client's connection sets its fields before it
// hands the request to the Handler, which owns them from then on. Attempts use Outbound one after the other.
type Request struct {
	balancer.Request // the Handler sets Deadline
	ClassName        string
	Outbound         upstream.Request

	// ClientDeadline is when the client gives up, by this process's clock; zero until the body is complete.
	ClientDeadline time.Time

	clientContext context.Context // cancelled once net/http has detected that the client has gone
	clientConn    net.Conn
	stopUpload    func()        // stops the upload of a streamed body whose rest is not needed; else nil
	responses     chan Response // has room for the one final response
}

// Response is the final response to a request.
type Response struct {
	Status      int // 0: none is sent, since nobody waits for it
	ContentType string
	Body        []byte
	Stream      *upstream.Stream // in place of Body, for a response that is streamed
	RetryAfter  int64            // of a rejection, in microseconds; 0: no Retry-After header
}

// Respond delivers the final response of a request, once, and ends its upload. It does not block.
func (r *Request) Respond(resp Response) {
	r.responses <- resp
	if r.stopUpload != nil {
		r.stopUpload()
	}
}

// IsClientGone reports whether the client has disconnected, so that no new work is to begin for it. It checks
// the context, which shows what net/http has detected, and the socket, which also shows what net/http has not
// detected yet or never will. Any goroutine may call it.
func (r *Request) IsClientGone() bool {
	return r.IsClientGoneByContext() || socket.PeerClosed(r.clientConn)
}

// IsClientGoneByContext reports whether net/http has detected that the client has disconnected. Unlike
// IsClientGone it makes no system call.
func (r *Request) IsClientGoneByContext() bool { return r.clientContext.Err() != nil }

// Handler decides what response a request gets. Any goroutine may call its methods, which return before there
// is a response. After Stopped is done it gives no responses.
type Handler interface {
	// HandleRequest starts to handle a request, which gets its response through Respond.
	HandleRequest(r *Request)
	// HandleBodyEndSeen is called when the last byte of a streamed body is known to have arrived, though it
	// has not been read yet, or may have been sent so long ago that the client's time is over. That time
	// counts from sent.
	HandleBodyEndSeen(r *Request, sent time.Time)
	// HandleBodyRead is called when a streamed body has been read completely.
	HandleBodyRead(r *Request, clientDeadline time.Time)
	// HandleClientGone is called when nobody waits for the response any more, even while it is being sent. A
	// request that has had none then gets one, which is not sent.
	HandleClientGone(r *Request)
	// Stopped returns a context that is done once the Handler has stopped.
	Stopped() context.Context
}
