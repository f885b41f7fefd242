package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// MaxBufferedResponse is up to how many bytes a response is buffered whole before any of it is passed on.
	MaxBufferedResponse = 64 << 10
	minBufferedResponse = 4 << 10 // the same where memory is short

	// ResponseBufferWait is how long a response is buffered before what has come of it is streamed.
	ResponseBufferWait = 100 * time.Millisecond

	// StallTimeout is how long a peer may neither send nor take a byte in the middle of a request's body or a
	// response before it counts as hung.
	StallTimeout = 10 * time.Second

	// MaxStreamOverrun is how long after its client's deadline a streamed response is broken off. A client waits for half a
	// second after its deadline; only a response beyond MaxBufferedResponse, the protocol's bound, may take longer.
	MaxStreamOverrun = 400 * time.Millisecond
)

// ErrClientGone means that a response was not passed on completely since its client took no more of it.
var ErrClientGone = errors.New("the client has gone")

// Stream is a response that is passed on while it comes. The client's side reads it and calls Finish; the attempt waits for
// that, and owns the connection.
type Stream struct {
	ContentLength  int64 // -1: unknown
	ContentType    string
	ClientDeadline time.Time // set by Params.StartStream

	source        io.Reader
	done          chan error // takes the first Finish without a wait
	cancelAttempt context.CancelFunc
}

// Read gives what has come. It waits for StallTimeout at most.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Finish tells the attempt how the response ended: nil if it was passed on completely, ErrClientGone, or the error of Read. Only
// the first call counts.
func (s *Stream) Finish(err error) {
	select {
	case s.done <- err:
	default:
	}
}

// CancelAttempt stops the attempt: reads fail soon.
func (s *Stream) CancelAttempt() { s.cancelAttempt() }

// stallTimeoutReader reads from a backend's connection, and fails when nothing comes for StallTimeout.
type stallTimeoutReader struct {
	io.Reader
	conn *conn
	ctx  context.Context
}

func (r stallTimeoutReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(StallTimeout))
	if r.ctx.Err() != nil { // cancelled, maybe before the deadline was set anew
		return 0, context.Cause(r.ctx)
	}
	return r.Reader.Read(p)
}
