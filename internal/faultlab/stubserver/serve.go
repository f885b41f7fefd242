package stubserver

import (
	"bufio"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/wire"
)

// readTimeout limits the time in which a request must be complete.
const readTimeout = 30 * time.Second

// exchange is one request on a connection and its attempt.
type exchange struct {
	conn        *link.Conn
	request     *http.Request
	attempt     *referee.Attempt
	id          string
	job         Job
	firstOnConn bool
	overLimit   bool // whether the server had too many connections when this one was opened
	incarnation int  // of the server when the connection was opened
}

// Serve serves one connection until it ends.
func (s *Server) Serve(conn *link.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.conns++
	overLimit, incarnation := s.conns > s.spec.MaxConnections, s.incarnation
	s.mu.Unlock()
	defer s.locked(func() { s.conns-- })
	s.referee.RecordConnection(time.Now())
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		_ = conn.SetReadDeadline(time.Now().Add(s.spec.IdleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		firstByteAt := conn.LastReadAt()
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		x := &exchange{conn: conn, request: request, firstOnConn: first, overLimit: overLimit, incarnation: incarnation}
		if !s.handle(x, body, firstByteAt) || request.Close {
			return
		}
	}
}

// handle answers one request; it returns false if the connection must be closed.
func (s *Server) handle(x *exchange, body []byte, firstByteAt time.Time) bool {
	x.id = x.request.Header.Get(wire.RequestID)
	var known bool
	x.job, known = s.lab.Job(x.id)
	x.attempt = s.referee.BeginAttempt(referee.Arrival{Server: s.spec.Name, ID: x.id, FirstByteAt: firstByteAt, LastByteAt: time.Now(),
		Method: x.request.Method, Path: x.request.URL.RequestURI(), Key: x.request.Header.Get(wire.IdempotencyKey),
		RequestDigest: wire.Digest(body)})
	if x.attempt == nil || !known {
		x.attempt = nil
		return s.respond(x, http.StatusBadRequest, nil, false)
	}
	work := x.job.Work
	if x.firstOnConn {
		time.Sleep(s.spec.ConnectDelay)
		work += s.spec.ConnectWork
	}
	job, rejected, overload := s.admit(x, work, requestDeadline(x.request))
	if overload != nil {
		s.referee.RecordOverload(s.spec.Name, s.startedAtMs(), overload, time.Now())
		s.lab.OverloadFailed(s.spec.Name)
		return false
	}
	if rejected {
		s.referee.RecordRejected(x.attempt)
		return s.respond(x, http.StatusServiceUnavailable, nil, true) && !x.overLimit
	}
	if job == nil { // the server has stopped meanwhile, or hangs
		x.conn.AwaitPeerClose(nil)
		s.referee.RecordCanceled(x.attempt, 0)
		return false
	}
	return s.execute(x, job)
}

// startedAtMs returns the time of the last start in Unix milliseconds.
func (s *Server) startedAtMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt.UnixMilli()
}

// requestDeadline returns when the client gives up according to the request's timeout header, which may be in
// the past; zero if it is unknown.
func requestDeadline(request *http.Request) time.Time {
	ms, err := strconv.ParseFloat(request.Header.Get(wire.RequestTimeout), 64)
	if err != nil {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

// execute waits for a job's slot, waits while the job runs, and answers the request. A request whose client
// closes the connection is dropped. It returns false if the connection must be closed.
func (s *Server) execute(x *exchange, job *queuedJob) bool {
	canceled, stopWatch := watchCancel(x.conn)
	defer stopWatch()
	select {
	case started := <-job.start:
		if !started {
			s.referee.RecordCanceled(x.attempt, 0)
			return false
		}
	case <-canceled:
		s.leaveQueue(x, job)
		s.referee.RecordCanceled(x.attempt, 0)
		return false
	}
	if !job.deadline.IsZero() && job.startedAt.After(job.deadline) { // expired in the queue
		s.releaseSlot(x.incarnation, job.startedAt)
		stopWatch()
		s.referee.RecordRejected(x.attempt)
		return s.respond(x, http.StatusGatewayTimeout, nil, true)
	}
	done := time.NewTimer(time.Until(job.startedAt.Add(job.duration)))
	defer done.Stop()
	cancelsWork := canceled
	if !s.spec.CancelsWork {
		cancelsWork = nil
	}
	select {
	case <-done.C:
	case <-cancelsWork:
		s.releaseSlot(x.incarnation, time.Now())
		s.referee.RecordCanceled(x.attempt, time.Since(job.startedAt))
		return false
	}
	s.releaseSlot(x.incarnation, job.startedAt.Add(job.duration))
	stopWatch()
	return s.finish(x, job, canceled)
}

// watchCancel watches a connection and closes canceled when the peer closes it. stop ends the watch, so that
// the next request can be read; it may be called more than once.
func watchCancel(conn *link.Conn) (canceled <-chan struct{}, stop func()) {
	stopping, closed, ended := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		if conn.AwaitPeerClose(stopping) {
			close(closed)
		}
	}()
	return closed, sync.OnceFunc(func() {
		close(stopping)
		<-ended
	})
}

// leaveQueue removes a canceled job from the queue, or releases its slot if the job has started meanwhile.
func (s *Server) leaveQueue(x *exchange, job *queuedJob) {
	s.locked(func() { job.canceled = true; s.removeCanceled() })
	select {
	case started := <-job.start:
		if started {
			s.releaseSlot(x.incarnation, time.Now())
		}
	default:
	}
}

// finish answers a request whose work is done, subject to the server's faults, unless the request is
// canceled. It returns false if the connection must be closed.
func (s *Server) finish(x *exchange, job *queuedJob, canceled <-chan struct{}) bool {
	s.mu.Lock()
	alive := s.incarnation == x.incarnation && s.up && !s.fault.Hangs
	fails, garbles := s.rng.Float64() < s.fault.ErrorFraction, s.rng.Float64() < s.fault.GarbleFraction
	s.mu.Unlock()
	select {
	case <-canceled:
		s.referee.RecordCanceled(x.attempt, job.duration)
		return false
	default:
	}
	switch {
	case !alive:
		x.conn.AwaitPeerClose(nil)
		s.referee.RecordCanceled(x.attempt, job.duration)
		return false
	case fails:
		s.referee.RecordError(x.attempt, job.duration)
		return s.respond(x, http.StatusInternalServerError, nil, false)
	}
	body := wire.MakeBody(x.id, s.spec.Name, x.job.ResponseBytes)
	s.referee.RecordServed(x.attempt, wire.Digest(body), job.duration)
	if garbles {
		s.garble(x, body)
		return false
	}
	return s.respond(x, http.StatusOK, body, false)
}

// respond sends a response; it returns false if the connection is closed.
func (s *Server) respond(x *exchange, status int, body []byte, notStarted bool) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n"
	if notStarted {
		head += wire.NotStarted + ": 1\r\n"
	}
	written := func(time.Time) { s.referee.RecordOutcomeWritten(x.attempt) }
	return x.conn.WriteAfter(append([]byte(head+"\r\n"), body...), written) == nil
}

// garble sends a response that violates the protocol.
func (s *Server) garble(x *exchange, body []byte) {
	s.mu.Lock()
	kind := s.rng.IntN(3)
	s.mu.Unlock()
	text := ""
	switch kind {
	case 0:
		text = "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(2*len(body)+9) + "\r\n\r\n" + string(body)
	case 1:
		text = "HTTP/1.1\r\n\r\n" + string(body)
	default:
		text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 7\r\n\r\n" + string(body)
	}
	_ = x.conn.WriteAfter([]byte(text), func(time.Time) { s.referee.RecordOutcomeWritten(x.attempt) })
}
