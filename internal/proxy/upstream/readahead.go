package upstream

import (
	"context"
	"io"
	"sync"
	"time"
)

const maxReadAheadChunk = 8 << 10 // most bytes of one read from the source

// readAhead reads a source ahead of its reader, up to a capacity. This allows a wait with a timeout for a
// response without a length: interrupting a read of a chunked body would make the rest of it unreadable.
type readAhead struct {
	capacity int // in bytes

	mu          sync.Mutex
	cond        sync.Cond
	buffered    []byte
	received    int64     // bytes read from the source so far
	readStarted time.Time // when the pending read of the source started; zero: none is pending
	sourceErr   error     // error that ended the source; io.EOF at its regular end
	closed      bool      // the reader has stopped reading

	// firstByte is closed when the first byte has arrived, and filled when the buffer has reached capacity.
	// Both are closed at the source's end.
	firstByte, filled         chan struct{}
	firstByteOnce, filledOnce sync.Once
}

// newReadAhead starts the goroutine that reads the source. The goroutine ends with the source; the attempt
// that owns the connection makes sure that the source ends.
func newReadAhead(source io.Reader, capacity int) *readAhead {
	r := &readAhead{capacity: capacity, readStarted: time.Now(), firstByte: make(chan struct{}), filled: make(chan struct{})}
	r.cond.L = &r.mu
	go r.fill(source)
	return r
}

// fill reads the source until it ends or the readAhead is closed. It pauses while the buffer is full.
func (r *readAhead) fill(source io.Reader) {
	chunk := make([]byte, min(r.capacity, maxReadAheadChunk))
	for {
		n, err := source.Read(chunk)
		r.mu.Lock()
		r.readStarted = time.Time{}
		r.buffered = append(r.buffered, chunk[:n]...)
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

// Read returns data that has been read ahead, and blocks while there is none.
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

// isStalled reports whether a read of the source has been pending for ResponseBufferWait, after the source
// has returned at most maxReceived bytes and the reader has taken all of them. While no read of the source is
// pending, the response is waiting for the client, not for the backend, and may be a large one.
func (r *readAhead) isStalled(maxReceived int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.readStarted.IsZero() && time.Since(r.readStarted) >= ResponseBufferWait && r.received <= maxReceived &&
		len(r.buffered) == 0 && r.sourceErr == nil
}

// complete returns the whole body or the source's error; ok is false while the source has not ended.
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

// awaitStart waits until the whole body has arrived or the buffer is full; after ResponseBufferWait it waits
// only for the first byte. If a response were streamed before its first byte and then broke off, the client
// would see a connection that closes without a response.
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
	case <-r.firstByte: // checked first: a byte that arrived by the deadline counts even if ctx has ended
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

// close lets fill end when the buffer is full and is no longer read.
func (r *readAhead) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.cond.Broadcast()
}
