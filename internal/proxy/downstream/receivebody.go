package downstream

import (
	"context"
	"io"
	"net/http"
	"time"
)

// receiveBody reads a request's body and hands the request to the Handler: once the body is complete if it
// can be buffered, otherwise while the rest is still being received. If the returned Response has a status,
// it is the final response, and the Handler gives none. Otherwise the Handler delivers the response on the
// request's channel, and finish is to be called with its status once it is written.
func (srv *Server) receiveBody(w http.ResponseWriter, r *http.Request, req *Request, u *upload) (finish func(status int), _ Response) {
	body, complete, err := u.buffer()
	switch {
	case err != nil:
		return nil, u.reject(w, err)
	case req.Outbound.Method == http.MethodGet && (len(body) > 0 || !complete):
		if !complete {
			w.Header().Set("Connection", "close")
		}
		return nil, errorResponse(http.StatusBadRequest, "a body on a GET")
	}
	req.Outbound.Body = body
	if !complete {
		if err := u.reserveStream(); err != nil {
			return nil, u.reject(w, err)
		}
		return srv.streamBody(w, r, req, u)
	}
	u.markComplete()
	finish = srv.startInFlight(w, r, req)
	req.ClientDeadline = clientDeadline(req)
	srv.dispatch(req)
	return finish, Response{}
}

// dispatch hands a request to the Handler, or rejects it if more are in flight than the limit allows.
func (srv *Server) dispatch(req *Request) {
	if srv.exceedsInFlight() {
		if req.stopUpload != nil {
			req.stopUpload()
		}
		req.responses <- rejectedResponse(req)
		return
	}
	srv.handler.HandleRequest(req)
}

// streamBody forwards the rest of a body while it is being received. The response may be there before all of
// the body is.
func (srv *Server) streamBody(w http.ResponseWriter, r *http.Request, req *Request, u *upload) (func(status int), Response) {
	_ = http.NewResponseController(w).EnableFullDuplex()
	from, to := io.Pipe()
	req.Outbound.BodyRemainder, req.Outbound.ContentLength, req.BodyPending = from, u.contentLength, true
	req.stopUpload = func() { u.stop(errRequestEnded); from.CloseWithError(errRequestEnded) }
	stopWatching := context.AfterFunc(srv.handler.Stopped(), req.stopUpload)
	defer stopWatching()
	srv.dispatch(req)
	watcher := watchBodyEnd(u.conn, u.remaining, req.Outbound.Timeout, func(sent time.Time) {
		srv.markRequestComplete(u.conn)
		srv.handler.HandleBodyEndSeen(req, sent)
	})
	err := u.forwardTo(to)
	watcher.stopAndWait()
	if err == nil && u.markComplete() {
		finish, deadline := srv.startInFlight(w, r, req), clientDeadline(req)
		srv.handler.HandleBodyRead(req, deadline)
		to.Close()
		return finish, Response{}
	}
	w.Header().Set("Connection", "close")
	if u.isCancelled() { // the request already has its response
		return srv.requestStarted(req.ClassName), Response{}
	}
	to.CloseWithError(err)
	srv.handler.HandleClientGone(req)
	return nil, u.errorResponse(w, err)
}
