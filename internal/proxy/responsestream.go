package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"merlinpick/internal/proxy/socket"
	"net/http"
	"sync"
	"time"
)

const (
	maxBufferedResponse = 64 << 10 // an answer up to this is taken whole before any of it is passed on
	minBufferedResponse = 4 << 10  // the same where memory is short
	responseBufferWait  = 100 * time.Millisecond

	// A peer that neither sends nor takes a byte for so long in the middle of an answer has hung.
	streamStallTimeout = 10 * time.Second

	// A client waits no longer for its answer than its time and half a second. Only an answer beyond wholeMost, the
	// protocol's bound, may take longer. One that does not end otherwise is broken off so long after the client's time.
	maxStreamOverrun = 400 * time.Millisecond
	copyBufferBytes  = 32 << 10
)

var errClientGone = errors.New("the client has gone")

// download is an answer that is passed on while it comes. The client's side reads it; the attempt waits until it
// says how that ended, and owns the connection.
type responseStream struct {
	contentLength  int64 // -1: not told
	source         io.Reader
	clientDeadline time.Time  // when the client gives up; set by the loop as it hands the answer over
	done           chan error // nil: passed on whole
	cancelAttempt  context.CancelFunc
}

// end tells the attempt how the answer ended; only the first call counts.
func (d *responseStream) finish(err error) {
	select {
	case d.done <- err:
	default:
	}
}

// patientReader reads from a backend's connection for as long as something comes.
type stallTimeoutReader struct {
	io.Reader
	conn *backendConn
	ctx  context.Context
}

func (r stallTimeoutReader) Read(p []byte) (int, error) {
	_ = r.conn.SetReadDeadline(time.Now().Add(streamStallTimeout))
	if r.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
		return 0, context.Cause(r.ctx)
	}
	return r.Reader.Read(p)
}

// prefetch reads on ahead of its reader, up to size bytes, so that an answer of untold length can be waited for
// without a read that has to be broken off: a chunked body does not survive that.
type readAhead struct {
	mu          sync.Mutex
	cond        sync.Cond
	buffered    []byte
	received    int64     // bytes so far
	readStarted time.Time // when the source was asked for what has not come yet; zero: it is not asked
	capacity    int
	sourceErr   error // of the source; its end is io.EOF
	closed      bool  // nobody reads any more

	firstByte, filled         chan struct{} // closed when a byte, or as much as may be, has come; both at the source's end
	firstByteOnce, filledOnce sync.Once
}

func newReadAhead(src io.Reader, size int) *readAhead {
	p := &readAhead{capacity: size, readStarted: time.Now(), firstByte: make(chan struct{}), filled: make(chan struct{})}
	p.cond.L = &p.mu
	go p.fill(src)
	return p
}

// fill ends with its source, which the attempt that owns the connection sees to.
func (p *readAhead) fill(src io.Reader) {
	piece := make([]byte, min(p.capacity, copyBufferBytes/4))
	for {
		n, err := src.Read(piece)
		p.mu.Lock()
		p.readStarted = time.Time{}
		p.buffered = append(p.buffered, piece[:n]...)
		p.received += int64(n)
		p.sourceErr = err
		p.cond.Broadcast()
		if n > 0 || err != nil {
			p.firstByteOnce.Do(func() { close(p.firstByte) })
		}
		for len(p.buffered) >= p.capacity && p.sourceErr == nil && !p.closed {
			p.filledOnce.Do(func() { close(p.filled) })
			p.cond.Wait()
		}
		p.readStarted = time.Now()
		done := p.sourceErr != nil || p.closed
		p.mu.Unlock()
		if done {
			p.filledOnce.Do(func() { close(p.filled) })
			return
		}
	}
}

func (p *readAhead) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buffered) == 0 && p.sourceErr == nil {
		p.cond.Wait()
	}
	if len(p.buffered) == 0 {
		return 0, p.sourceErr
	}
	n := copy(b, p.buffered)
	p.buffered = append(p.buffered[:0], p.buffered[n:]...)
	p.cond.Broadcast()
	return n, nil
}

// still tells whether the source stands still after no more than most bytes: it has been asked for wholeWait and has given
// nothing, and all that came before has been read on. Where it was not asked, the client is the one that is waited for, and
// the answer may be a large one.
func (p *readAhead) isStalled(most int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.readStarted.IsZero() && time.Since(p.readStarted) >= responseBufferWait && p.received <= most && len(p.buffered) == 0 && p.sourceErr == nil
}

// whole returns the body if all of it is here.
func (p *readAhead) complete() (body []byte, err error, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sourceErr == nil {
		return nil, nil, false
	}
	if p.sourceErr != io.EOF {
		return nil, p.sourceErr, true
	}
	return p.buffered, nil, true
}

// begin waits until the whole body is here or as much of it as is read ahead, and after wholeWait only for its first byte:
// an answer that has been passed on before that and then breaks off, or never goes on, reaches the client as a connection
// that ends without a word, which loses the request.
func (p *readAhead) awaitStart(ctx context.Context) error {
	soon := time.NewTimer(responseBufferWait)
	defer soon.Stop()
	select {
	case <-p.filled:
		return nil
	case <-soon.C:
	case <-ctx.Done():
	}
	select {
	case <-p.firstByte: // before all else: what has come by the deadline has begun
		return nil
	default:
	}
	select {
	case <-p.firstByte:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// close lets fill end though nobody reads on.
func (p *readAhead) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.cond.Broadcast()
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// passOn writes an answer to its client as it comes. Where it breaks off so does the client's, in a way that shows:
// short of its length, or with no last chunk.
func (d *responseStream) forwardTo(w http.ResponseWriter, r *http.Request) {
	unhook := context.AfterFunc(r.Context(), d.cancelAttempt) // a client that goes takes the attempt along
	defer unhook()
	if err := d.copyBody(w); err != nil {
		d.finish(err)
		if c, ok := r.Context().Value(connKey{}).(*clientConn); ok && d.contentLength < 0 && !r.ProtoAtLeast(1, 1) {
			socket.ResetOnClose(c.Conn) // without chunks an end is all that such a client has to see the answer's end by
			c.closeNow()                // with no shutdown first, which is such an end
		}
		panic(http.ErrAbortHandler)
	}
	d.finish(nil)
}

func (d *responseStream) copyBody(w http.ResponseWriter) error {
	rc := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := d.source.Read(*buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(streamStallTimeout))
			if _, err := w.Write((*buf)[:n]); err != nil {
				return errClientGone
			}
			if err := rc.Flush(); err != nil {
				return errClientGone
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("pass the answer on: %w", err)
		}
	}
}
