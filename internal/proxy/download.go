package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	wholeMost  = 64 << 10 // an answer up to this is taken whole before any of it is passed on
	wholeLeast = 4 << 10  // the same where memory is short
	wholeWait  = 100 * time.Millisecond

	// A peer that neither sends nor takes a byte for so long in the middle of an answer has hung.
	streamPatience = 10 * time.Second

	// A client waits no longer for its answer than its time and half a second. Only an answer beyond wholeMost, the
	// protocol's bound, may take longer. One that does not end otherwise is broken off so long after the client's time.
	lateMost   = 400 * time.Millisecond
	copyBuffer = 32 << 10
)

var errClientGone = errors.New("the client has gone")

// download is an answer that is passed on while it comes. The client's side reads it; the attempt waits until it
// says how that ended, and owns the connection.
type download struct {
	length int64 // -1: not told
	body   io.Reader
	due    time.Time  // when the client gives up; set by the loop as it hands the answer over
	ended  chan error // nil: passed on whole
	stop   context.CancelFunc
}

// end tells the attempt how the answer ended; only the first call counts.
func (d *download) end(err error) {
	select {
	case d.ended <- err:
	default:
	}
}

// patientReader reads from a backend's connection for as long as something comes.
type patientReader struct {
	io.Reader
	c   *conn
	ctx context.Context
}

func (r patientReader) Read(p []byte) (int, error) {
	_ = r.c.SetReadDeadline(time.Now().Add(streamPatience))
	if r.ctx.Err() != nil { // stopped, maybe before the deadline was set anew
		return 0, context.Cause(r.ctx)
	}
	return r.Reader.Read(p)
}

// prefetch reads on ahead of its reader, up to size bytes, so that an answer of untold length can be waited for
// without a read that has to be broken off: a chunked body does not survive that.
type prefetch struct {
	mu    sync.Mutex
	cond  sync.Cond
	buf   []byte
	got   int64     // bytes so far
	asked time.Time // when the source was asked for what has not come yet; zero: it is not asked
	size  int
	err   error // of the source; its end is io.EOF
	over  bool  // nobody reads any more

	some, full         chan struct{} // closed when a byte, or as much as may be, has come; both at the source's end
	someOnce, fullOnce sync.Once
}

func newPrefetch(src io.Reader, size int) *prefetch {
	p := &prefetch{size: size, asked: time.Now(), some: make(chan struct{}), full: make(chan struct{})}
	p.cond.L = &p.mu
	go p.fill(src)
	return p
}

// fill ends with its source, which the attempt that owns the connection sees to.
func (p *prefetch) fill(src io.Reader) {
	piece := make([]byte, min(p.size, copyBuffer/4))
	for {
		n, err := src.Read(piece)
		p.mu.Lock()
		p.asked = time.Time{}
		p.buf = append(p.buf, piece[:n]...)
		p.got += int64(n)
		p.err = err
		p.cond.Broadcast()
		if n > 0 || err != nil {
			p.someOnce.Do(func() { close(p.some) })
		}
		for len(p.buf) >= p.size && p.err == nil && !p.over {
			p.fullOnce.Do(func() { close(p.full) })
			p.cond.Wait()
		}
		p.asked = time.Now()
		done := p.err != nil || p.over
		p.mu.Unlock()
		if done {
			p.fullOnce.Do(func() { close(p.full) })
			return
		}
	}
}

func (p *prefetch) Read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.buf) == 0 && p.err == nil {
		p.cond.Wait()
	}
	if len(p.buf) == 0 {
		return 0, p.err
	}
	n := copy(b, p.buf)
	p.buf = append(p.buf[:0], p.buf[n:]...)
	p.cond.Broadcast()
	return n, nil
}

// still tells whether the source stands still after no more than most bytes: it has been asked for wholeWait and has given
// nothing, and all that came before has been read on. Where it was not asked, the client is the one that is waited for, and
// the answer may be a large one.
func (p *prefetch) still(most int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.asked.IsZero() && time.Since(p.asked) >= wholeWait && p.got <= most && len(p.buf) == 0 && p.err == nil
}

// whole returns the body if all of it is here.
func (p *prefetch) whole() (body []byte, err error, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		return nil, nil, false
	}
	if p.err != io.EOF {
		return nil, p.err, true
	}
	return p.buf, nil, true
}

// begin waits until the whole body is here or as much of it as is read ahead, and after wholeWait only for its first byte:
// an answer that has been passed on before that and then breaks off, or never goes on, reaches the client as a connection
// that ends without a word, which loses the request.
func (p *prefetch) begin(ctx context.Context) error {
	soon := time.NewTimer(wholeWait)
	defer soon.Stop()
	select {
	case <-p.full:
		return nil
	case <-soon.C:
	case <-ctx.Done():
	}
	select {
	case <-p.some: // before all else: what has come by the deadline has begun
		return nil
	default:
	}
	select {
	case <-p.some:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// close lets fill end though nobody reads on.
func (p *prefetch) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.over = true
	p.cond.Broadcast()
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// passOn writes an answer to its client as it comes. Where it breaks off so does the client's, in a way that shows:
// short of its length, or with no last chunk.
func (d *download) passOn(w http.ResponseWriter, r *http.Request) {
	unhook := context.AfterFunc(r.Context(), d.stop) // a client that goes takes the attempt along
	defer unhook()
	if err := d.copy(w); err != nil {
		d.end(err)
		if c, ok := r.Context().Value(connKey{}).(*framedConn); ok && d.length < 0 && !r.ProtoAtLeast(1, 1) {
			resetOnClose(c.Conn) // without chunks an end is all that such a client has to see the answer's end by
			c.end()              // with no shutdown first, which is such an end
		}
		panic(http.ErrAbortHandler)
	}
	d.end(nil)
}

func (d *download) copy(w http.ResponseWriter) error {
	rc := http.NewResponseController(w)
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := d.body.Read(*buf)
		if n > 0 {
			_ = rc.SetWriteDeadline(time.Now().Add(streamPatience))
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
