package upstream

import (
	"context"
	"io"
	"sync"
	"time"
)

const readAheadPiece = 8 << 10 // bytes of one read, at most

// readAhead reads on ahead of its reader, up to a capacity, so that a response without a length can be awaited without a
// read that has to be broken off: a chunked body does not survive that.
type readAhead struct {
	capacity int // bytes

	mu          sync.Mutex
	cond        sync.Cond
	buffered    []byte
	received    int64     // bytes so far
	readStarted time.Time // of the read of the source that is under way; zero: there is none
	sourceErr   error     // the source's end is io.EOF
	closed      bool      // nobody reads any more

	firstByte, filled         chan struct{} // closed when a byte, or capacity, has come; both at the source's end
	firstByteOnce, filledOnce sync.Once
}

// newReadAhead starts the goroutine that reads the source. It ends with the source, which the attempt that owns the
// connection sees to.
func newReadAhead(source io.Reader, capacity int) *readAhead {
	r := &readAhead{capacity: capacity, readStarted: time.Now(), firstByte: make(chan struct{}), filled: make(chan struct{})}
	r.cond.L = &r.mu
	go r.fill(source)
	return r
}

func (r *readAhead) fill(source io.Reader) {
	piece := make([]byte, min(r.capacity, readAheadPiece))
	for {
		n, err := source.Read(piece)
		r.mu.Lock()
		r.readStarted = time.Time{}
		r.buffered = append(r.buffered, piece[:n]...)
		r.received += int64(n)
		r.sourceErr = err
		r.cond.Broadcast()
		if n > 0 || err != nil {
			r.firstByteOnce.Do(func() { close(r.firstByte) })
		}
		for len(r.buffered) >= r.capacity && r.sourceErr == nil && !r.closed {
			r.filledOnce.Do(func() { close(r.filled) })
			r.cond.Wait()
		}
		r.readStarted = time.Now()
		ended := r.sourceErr != nil || r.closed
		r.mu.Unlock()
		if ended {
			r.filledOnce.Do(func() { close(r.filled) })
			return
		}
	}
}

// Read gives what has been read ahead, and waits for a byte if there is none.
func (r *readAhead) Read(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.buffered) == 0 && r.sourceErr == nil {
		r.cond.Wait()
	}
	if len(r.buffered) == 0 {
		return 0, r.sourceErr
	}
	n := copy(p, r.buffered)
	r.buffered = append(r.buffered[:0], r.buffered[n:]...)
	r.cond.Broadcast()
	return n, nil
}

// isStalled reports whether the source has given nothing for ResponseBufferWait after no more than so many bytes, all of which
// have been read on. While the source is not being read it is the client that is waited for, and the response may be a
// large one.
func (r *readAhead) isStalled(maxReceived int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readStarted.IsZero() && time.Since(r.readStarted) >= ResponseBufferWait && r.received <= maxReceived &&
		len(r.buffered) == 0 && r.sourceErr == nil
}

// complete returns the whole body, or the source's error; ok is false while more is to come.
func (r *readAhead) complete() (body []byte, err error, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sourceErr == nil {
		return nil, nil, false
	}
	if r.sourceErr != io.EOF {
		return nil, r.sourceErr, true
	}
	return r.buffered, nil, true
}

// awaitStart waits until the whole body or capacity has come, and after ResponseBufferWait only for the first byte. A
// response that is streamed before that and then breaks off reaches the client as a connection that ends without a
// response.
func (r *readAhead) awaitStart(ctx context.Context) error {
	timeout := time.NewTimer(ResponseBufferWait)
	defer timeout.Stop()
	select {
	case <-r.filled:
		return nil
	case <-timeout.C:
	case <-ctx.Done():
	}
	select {
	case <-r.firstByte: // before all else: what has come by the deadline has begun
		return nil
	default:
	}
	select {
	case <-r.firstByte:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// close lets fill end though nobody reads on.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.cond.Broadcast()
}
