package upstream

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// MaxBufferedResponse is the size in bytes up to which a response is buffered completely before it is
	// forwarded.
	MaxBufferedResponse = 64 << 10
	minBufferedResponse = 4 << 10 // lower bound of that size when memory is short

	// ResponseBufferWait is how long a response is buffered before the part that has arrived is streamed.
	ResponseBufferWait = 100 * time.Millisecond

	// StallTimeout is how long a peer may neither send nor accept a byte in the middle of a request body or a
	// response before it is considered hung.
	StallTimeout = 10 * time.Second

	// MaxStreamOverrun is how long after its client's deadline a streamed response is aborted. A client waits
	// for half a second after its deadline. Only a response above MaxBufferedResponse, the limit in the
	// protocol, may take longer.
	MaxStreamOverrun = 400 * time.Millisecond
)

// ErrClientGone reports that a response was not forwarded completely, since the client stopped reading or
// disconnected.
var ErrClientGone = errors.New("the client disconnected or stopped reading the response")

// Stream is a response that is forwarded while it arrives. The client's side reads it and calls Finish. The
// attempt owns the connection and waits for Finish.
type Stream struct {
	ContentLength  int64 // -1: unknown
	ContentType    string
	ClientDeadline time.Time // set by Params.StartStream

	source        io.Reader
	done          chan error // buffers the result of the first Finish
	cancelAttempt context.CancelFunc
}

// Read reads the part of the response that has arrived. It blocks for at most StallTimeout.
func (s *Stream) Read(p []byte) (int, error) { return s.source.Read(p) }

// Finish tells the attempt how the response ended: nil if it was forwarded completely, ErrClientGone, or the
// error of Read. Only the first call has an effect.
func (s *Stream) Finish(err error) {
	select {
	case s.done <- err:
	default:
	}
}

// CancelAttempt stops the attempt, which makes Read fail.
func (s *Stream) CancelAttempt() { s.cancelAttempt() }

// stallTimeoutReader reads from a backend's connection, and fails if nothing arrives for StallTimeout.
type stallTimeoutReader struct {
	io.Reader
	conn *conn
	ctx  context.Context
}

func (r stallTimeoutReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(StallTimeout))
	if r.ctx.Err() != nil { // cancelled; the new deadline may have overwritten the cancellation
		return 0, context.Cause(r.ctx)
	}
	return r.Reader.Read(p)
}
