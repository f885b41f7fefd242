package upstream

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// chunkReader is a reader that returns the data sent to the channel, one element per Read, until the channel
// is closed.
type chunkReader chan []byte

func (s chunkReader) Read(p []byte) (int, error) {
	chunk, ok := <-s
	if !ok {
		return 0, io.EOF
	}
	return copy(p, chunk), nil
}

// TestUnreadSourceIsNotStalled checks that a source counts as stalled only while a read from it is pending.
// If the buffer was full, the source was not read and is not stalled, even though nothing arrived and the
// buffer is empty now.
func TestUnreadSourceIsNotStalled(t *testing.T) {
	const size = 1 << 10
	synctest.Test(t, func(t *testing.T) {
		source := make(chunkReader)
		p := newReadAhead(source, size)
		source <- make([]byte, size)
		synctest.Wait() // the buffer is full: the source is not read
		p.isStalled(MaxBufferedResponse)
		time.Sleep(ResponseBufferWait)
		if n, err := p.Read(make([]byte, size)); n != size || err != nil {
			t.Fatalf("got %d bytes and error %v, want %d bytes", n, err, size)
		}
		if p.isStalled(MaxBufferedResponse) {
			t.Error("the source counts as stalled although it was not read")
		}
		time.Sleep(2 * ResponseBufferWait)
		if !p.isStalled(MaxBufferedResponse) {
			t.Error("the source does not count as stalled although a read of it got nothing for too long")
		}
		close(source)
	})
}
