package proxy

import (
	"context"
	"io"
	"net/http"
	"time"
)

// receiveBody reads a request's body and gives the request to the loop, whose response then comes on its channel: once the
// body is complete if it can be buffered, otherwise while the rest comes. With a response returned that is the request's
// own, and the loop has none to give.
func (f *Server) receiveBody(w http.ResponseWriter, r *http.Request, req *request, u *upload) (*inFlightRequest, Response) {
	body, complete, err := u.buffer()
	switch {
	case err != nil:
		return nil, u.errorResponse(w, err)
	case req.Outbound.Method == http.MethodGet && (len(body) > 0 || !complete):
		if !complete {
			w.Header().Set("Connection", "close")
		}
		return nil, errorResponse(http.StatusBadRequest, "a body on a GET")
	}
	req.Outbound.Body = body
	if !complete {
		return f.streamBody(w, r, req, u)
	}
	u.markComplete()
	inFlight := f.markComplete(w, r, req)
	req.Deadline = f.clientDeadline(req)
	f.dispatch(req)
	return inFlight, Response{}
}

// dispatch gives a request to the loop, or rejects it if more are in flight than there may be.
func (f *Server) dispatch(req *request) {
	if f.exceedsInFlight() {
		if req.StopUpload != nil {
			req.StopUpload()
		}
		req.responses <- rejectedResponse(req)
		return
	}
	f.loop.post(func() { f.loop.handleRequest(req) })
}

// streamBody forwards what is left of a body while it comes. The response may come before the rest of the body has.
func (f *Server) streamBody(w http.ResponseWriter, r *http.Request, req *request, u *upload) (*inFlightRequest, Response) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	from, to := io.Pipe()
	req.Outbound.BodyRemainder, req.Outbound.ContentLength, req.BodyPending = from, u.contentLength, true
	req.StopUpload = func() { u.stop(errRequestEnded); from.CloseWithError(errRequestEnded) }
	unhook := context.AfterFunc(f.loop.stopped, req.StopUpload)
	defer unhook()
	f.dispatch(req)
	watcher := watchBodyEnd(u.conn, u.remaining, func(arrived time.Time) {
		f.loop.post(func() { f.loop.handleBodyArrived(req, arrived) })
	})
	err := u.forwardTo(to)
	watcher.end()
	if err == nil && u.markComplete() {
		inFlight, deadline := f.markComplete(w, r, req), f.clientDeadline(req)
		f.loop.post(func() { f.loop.handleBodyReceived(req, deadline) })
		to.Close()
		return inFlight, Response{}
	}
	w.Header().Set("Connection", "close")
	if u.isCancelled() { // it has its response
		return f.loop.metrics.requestStarted(req.ClassName), Response{}
	}
	to.CloseWithError(err)
	f.loop.post(func() { f.loop.handleClientGone(req) })
	return nil, u.errorResponse(w, err)
}
