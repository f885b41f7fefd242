package upstream

import (
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// pieces is a source that gives what it is sent.
type pieces chan []byte

func (s pieces) Read(p []byte) (int, error) {
	piece, ok := <-s
	if !ok {
		return 0, io.EOF
	}
	return copy(p, piece), nil
}

// A source stalls when it was read from and gives nothing. One that was not read from, since nobody had taken what came
// before, has not stalled, though nothing came and all is read now.
func TestUnreadSourceIsNotStalled(t *testing.T) {
	const size = 1 << 10
	synctest.Test(t, func(t *testing.T) {
		source := make(pieces)
		p := newReadAhead(source, size)
		source <- make([]byte, size)
		synctest.Wait() // it is full: the source is not asked
		p.isStalled(MaxBufferedResponse)
		time.Sleep(ResponseBufferWait)
		if n, err := p.Read(make([]byte, size)); n != size || err != nil {
			t.Fatalf("%d bytes, %v", n, err)
		}
		if p.isStalled(MaxBufferedResponse) {
			t.Error("it stands still though it was not asked")
		}
		time.Sleep(2 * ResponseBufferWait)
		if !p.isStalled(MaxBufferedResponse) {
			t.Error("it does not stand still though it was asked and gave nothing")
		}
		close(source)
	})
}
