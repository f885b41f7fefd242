package downstream

import (
	"cmp"
	"sync"
	"sync/atomic"

	"merlinpick/internal/proxy/upstream"
)

const (
	// HTTPCopyBuffer is the size in bytes of the buffer that net/http takes for each request body that it
	// writes.
	HTTPCopyBuffer = 32 << 10
	// StreamBuffers is the number of buffers of MemoryLimits.StreamBuffer bytes that a streamed request takes:
	// one from the client, and one to the backend.
	StreamBuffers = 2
)

// streamBuffers holds buffers that copy bodies for reuse. All have the size that was set last. Any goroutine may
// use it; the zero value is ready to use.
type streamBuffers struct {
	size atomic.Int64 // 0: upstream.DefaultStreamBuffer
	pool sync.Pool    // of *[]byte
}

// setSize sets the size of the buffers that get returns.
func (b *streamBuffers) setSize(bytes int) { b.size.Store(int64(bytes)) }

// length returns the size of the buffers that get returns.
func (b *streamBuffers) length() int {
	return cmp.Or(int(b.size.Load()), upstream.DefaultStreamBuffer)
}

// get returns a buffer, to be given back with put.
func (b *streamBuffers) get() []byte {
	if buf, ok := b.pool.Get().(*[]byte); ok && len(*buf) == b.length() {
		return *buf
	}
	return make([]byte, b.length())
}

// put gives a buffer back, which must not be used afterwards.
func (b *streamBuffers) put(buf []byte) { b.pool.Put(&buf) }
