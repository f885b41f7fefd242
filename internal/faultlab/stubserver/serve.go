package stubserver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/wire"
)

// Serve serves one connection until it ends.
func (n *Server) Serve(c *link.Conn) {
	defer c.Close()
	n.mu.Lock()
	n.conns++
	over, life := n.conns > n.spec.MaxConns, n.incarnation
	n.mu.Unlock()
	defer n.with(func() { n.conns-- })
	n.ref.RecordConnection(time.Now())
	r := bufio.NewReader(c)
	for first := true; ; first = false {
		_ = c.SetReadDeadline(time.Now().Add(n.spec.IdleClose))
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := c.ReadAt()
		_ = c.SetReadDeadline(time.Now().Add(maxRead))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		if !n.one(c, req, body, begun, first, over, life) || req.Close {
			return
		}
	}
}

const maxRead = 30 * time.Second // for a whole request

// one answers one request; false ends the connection.
func (n *Server) one(c *link.Conn, req *http.Request, body []byte, begun time.Time, first, over bool, life int) bool {
	id := req.Header.Get(wire.RequestID)
	what, known := n.world.Job(id)
	at := n.ref.BeginAttempt(referee.Arrival{Server: n.spec.Name, ID: id, FirstByteAt: begun, LastByteAt: time.Now(), Method: req.Method,
		Path: req.URL.RequestURI(), Key: req.Header.Get(wire.IdempotencyKey), RequestDigest: wire.Digest(body)})
	if at == nil || !known {
		return n.answer(c, nil, 400, nil, false)
	}
	work := what.Work
	if first {
		time.Sleep(n.spec.ConnectDelay)
		work += n.spec.ConnectWork
	}
	j, turned, fell := n.admit(work, what.Proxy, over, life, patience(req))
	if fell != nil {
		n.ref.RecordOverload(n.spec.Name, n.sinceMs(), fell, time.Now())
		n.world.Fell(n.spec.Name)
		return false
	}
	if turned {
		n.ref.RecordRejected(at)
		return n.answer(c, at, 503, nil, true) && !over
	}
	if j == nil { // ended meanwhile, or hanging
		c.AwaitEnd(nil)
		n.ref.RecordCanceled(at, 0)
		return false
	}
	return n.work(c, j, at, id, what, life)
}

func (n *Server) sinceMs() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.since.UnixMilli()
}

// patience is when the caller will have given up.
func patience(req *http.Request) time.Time {
	ms, err := strconv.ParseFloat(req.Header.Get(wire.RequestTimeout), 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

// work waits for a job's slot and its time, and answers. What its caller has left is dropped.
func (n *Server) work(c *link.Conn, j *job, at *referee.Attempt, id string, what Job, life int) bool {
	stop := make(chan struct{})
	left := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		if c.AwaitEnd(stop) {
			close(left)
		}
	}()
	end := func() {
		close(stop)
		<-watch
	}
	select {
	case ok := <-j.start:
		if !ok {
			end()
			n.ref.RecordCanceled(at, 0)
			return false
		}
	case <-left:
		n.with(func() { j.gone = true; n.sweep() })
		select {
		case ok := <-j.start: // it had begun in that moment
			if ok {
				n.release(life, time.Now())
			}
		default:
		}
		end()
		n.ref.RecordCanceled(at, 0)
		return false
	}
	if !j.until.IsZero() && j.begun.After(j.until) { // over before it began
		n.release(life, j.begun)
		end()
		n.ref.RecordRejected(at)
		return n.answer(c, at, 504, nil, true)
	}
	done := time.NewTimer(time.Until(j.begun.Add(j.holdsSlot)))
	defer done.Stop()
	gone := left
	if !n.spec.Cancelling {
		gone = nil
	}
	select {
	case <-done.C:
	case <-gone:
		n.release(life, time.Now())
		end()
		n.ref.RecordCanceled(at, time.Since(j.begun))
		return false
	}
	n.release(life, j.begun.Add(j.holdsSlot))
	end()
	n.mu.Lock()
	alive := n.incarnation == life && n.up && !n.now.Hang
	fails, spoils := n.rng.Float64() < n.now.Errors, n.rng.Float64() < n.now.Garble
	n.mu.Unlock()
	select {
	case <-left:
		n.ref.RecordCanceled(at, j.holdsSlot)
		return false
	default:
	}
	switch {
	case !alive:
		c.AwaitEnd(nil)
		n.ref.RecordCanceled(at, j.holdsSlot)
		return false
	case fails:
		n.ref.RecordError(at, j.holdsSlot)
		return n.answer(c, at, 500, nil, false)
	}
	made := wire.MakeBody(id, n.spec.Name, what.Answer)
	n.ref.RecordServed(at, wire.Digest(made), j.holdsSlot)
	if spoils {
		n.spoil(c, at, made)
		return false
	}
	return n.answer(c, at, 200, made, false)
}

func (n *Server) answer(c *link.Conn, at *referee.Attempt, status int, body []byte, notStarted bool) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n"
	if notStarted {
		head += wire.NotStarted + ": 1\r\n"
	}
	return c.NoteThenWrite(append([]byte(head+"\r\n"), body...), func(time.Time) { n.ref.RecordOutcomeWritten(at) }) == nil
}

// spoil sends an answer that cannot be read as the protocol requires, and closes.
func (n *Server) spoil(c *link.Conn, at *referee.Attempt, body []byte) {
	n.mu.Lock()
	kind := n.rng.IntN(3)
	n.mu.Unlock()
	text := ""
	switch kind {
	case 0:
		text = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(2*len(body)+9) + "\r\n\r\n" + string(body)
	case 1:
		text = "HTTP/1.1\r\n\r\n" + string(body)
	default:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n" + string(body)
	}
	_ = c.NoteThenWrite([]byte(text), func(time.Time) { n.ref.RecordOutcomeWritten(at) })
}
