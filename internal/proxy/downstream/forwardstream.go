package downstream

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"merlinpick/internal/proxy/socket"
	"merlinpick/internal/proxy/upstream"
)

// forwardStream writes a streamed response to its client as it arrives from the backend. If the backend's
// response breaks off, so does the client's, in a way that the client can detect: it is shorter than its
// Content-Length or lacks the last chunk.
func (srv *Server) forwardStream(w http.ResponseWriter, r *http.Request, s *upstream.Stream) {
	stopWatching := context.AfterFunc(r.Context(), s.CancelAttempt) // if the client disconnects
	defer stopWatching()
	buf := srv.streamBuffers.get()
	err := copyStream(w, s, buf)
	srv.streamBuffers.put(buf)
	s.Finish(err)
	if err == nil {
		return
	}
	if c := clientConnOf(r); c != nil && s.ContentLength < 0 && !r.ProtoAtLeast(1, 1) {
		// Without chunks, an HTTP/1.0 client takes an orderly close for the end of the response, but not a
		// reset.
		socket.ResetOnClose(c.Conn)
		c.CloseNow()
	}
	panic(http.ErrAbortHandler)
}

func copyStream(w http.ResponseWriter, s *upstream.Stream, buf []byte) error {
	rc := http.NewResponseController(w)
	for {
		n, err := s.Read(buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(upstream.StallTimeout))
			if _, err := w.Write(buf[:n]); err != nil {
				return upstream.ErrClientGone
			}
			if err := rc.Flush(); err != nil {
				return upstream.ErrClientGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("forward the response: %w", err)
		}
	}
}
