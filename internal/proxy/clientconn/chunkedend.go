package clientconn

import (
	"sync"
	"time"

	"merlinpick/internal/proxy/framing"
	"merlinpick/internal/proxy/socket"
)

// peekWindow is what the unread bytes are copied to for a look, one connection at a time. The kernel copies
// all bytes before them too, so a smaller window takes longer.
var peekWindow struct {
	sync.Mutex
	bytes []byte // allocated on first use
}

const peekWindowBytes = 256 << 10

// ChunkedEndFinder finds out whether the end of a connection's chunked body has arrived, although bytes before
// it are still unread in the kernel's receive buffer, however many. It remembers how far it has looked. One
// goroutine owns it, which may be another than the one that reads the connection.
type ChunkedEndFinder struct {
	conn     *Conn
	work     sideWork
	chunks   framing.ChunkScanner // of the body's first position bytes
	position int64

	arrived   int64     // bytes of the body that had arrived at the last call of Arrived
	unchanged time.Time // since when that number has been the same
}

// NewChunkedEndFinder returns a finder for the chunked body that the connection receives.
func NewChunkedEndFinder(c *Conn) *ChunkedEndFinder {
	return &ChunkedEndFinder{conn: c, work: c.newSideWork(), arrived: -1}
}

// Close is to be called when the finder is not needed any more.
func (f *ChunkedEndFinder) Close() { f.work.end() }

// Arrived reports whether the last byte of the body has arrived, and when it was first known to be there. It
// is to be called repeatedly: it looks only when no byte has arrived since the call before, since a body that
// still arrives has not ended.
func (f *ChunkedEndFinder) Arrived() (at time.Time, ok bool) {
	if arrived := f.conn.bodyArrived(); arrived != f.arrived {
		f.arrived, f.unchanged = arrived, time.Now()
		return time.Time{}, false
	}
	for !f.chunks.Ended() {
		f.work.awaitTurn()
		began := time.Now()
		more := f.scanMore()
		f.work.charge(time.Since(began))
		if !more {
			return time.Time{}, false
		}
	}
	return f.unchanged, true
}

// scanMore scans the next unread bytes. It returns false if there are none, or the kernel does not show them.
func (f *ChunkedEndFinder) scanMore() bool {
	c := f.conn
	c.mu.Lock() // no byte is read meanwhile
	defer c.mu.Unlock()
	if f.position < c.bodyReceived {
		f.chunks, f.position = c.chunks, c.bodyReceived
	}
	offset := f.position - c.bodyReceived
	unscanned := socket.Unread(c) - offset
	if c.discarding || unscanned <= 0 {
		return f.chunks.Ended()
	}
	if skipped := min(unscanned, f.chunks.DataLeft()); skipped > 0 {
		f.chunks.Skip(skipped)
		f.position += skipped
		return true
	}
	n := f.peekAndScan(offset)
	f.position += n
	return n > 0
}

// peekAndScan scans a window of unread bytes that begins behind the first offset ones. It returns how many it
// has scanned.
func (f *ChunkedEndFinder) peekAndScan(offset int64) int64 {
	peekWindow.Lock()
	defer peekWindow.Unlock()
	if peekWindow.bytes == nil {
		peekWindow.bytes = make([]byte, peekWindowBytes)
	}
	n := socket.PeekAt(f.conn, offset, peekWindow.bytes)
	f.chunks.Scan(peekWindow.bytes[:n])
	return int64(n)
}

// bodyArrived returns how many bytes of the chunked body have arrived, whether they have been read or not.
func (c *Conn) bodyArrived() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bodyReceived + socket.Unread(c)
}
