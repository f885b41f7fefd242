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
func (s *Server) Serve(conn *link.Conn) {
	defer conn.Close()
	s.mu.Lock()
	s.conns++
	over, incarnation := s.conns > s.spec.MaxConnections, s.incarnation
	s.mu.Unlock()
	defer s.locked(func() { s.conns-- })
	s.referee.RecordConnection(time.Now())
	r := bufio.NewReader(conn)
	for first := true; ; first = false {
		_ = conn.SetReadDeadline(time.Now().Add(s.spec.IdleTimeout))
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := conn.LastReadAt()
		_ = conn.SetReadDeadline(time.Now().Add(readTimeout))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		_ = conn.SetReadDeadline(time.Time{})
		if !s.handle(conn, req, body, begun, first, over, incarnation) || req.Close {
			return
		}
	}
}

const readTimeout = 30 * time.Second // for a whole request

// one answers one request; false ends the connection.
func (s *Server) handle(conn *link.Conn, req *http.Request, body []byte, begun time.Time, first, over bool, incarnation int) bool {
	id := req.Header.Get(wire.RequestID)
	what, known := s.lab.Job(id)
	attempt := s.referee.BeginAttempt(referee.Arrival{Server: s.spec.Name, ID: id, FirstByteAt: begun, LastByteAt: time.Now(), Method: req.Method,
		Path: req.URL.RequestURI(), Key: req.Header.Get(wire.IdempotencyKey), RequestDigest: wire.Digest(body)})
	if attempt == nil || !known {
		return s.respond(conn, nil, 400, nil, false)
	}
	work := what.Work
	if first {
		time.Sleep(s.spec.ConnectDelay)
		work += s.spec.ConnectWork
	}
	job, turned, fell := s.admit(work, what.Proxy, over, incarnation, requestDeadline(req))
	if fell != nil {
		s.referee.RecordOverload(s.spec.Name, s.startedAtMs(), fell, time.Now())
		s.lab.OverloadFailed(s.spec.Name)
		return false
	}
	if turned {
		s.referee.RecordRejected(attempt)
		return s.respond(conn, attempt, 503, nil, true) && !over
	}
	if job == nil { // ended meanwhile, or hanging
		conn.AwaitPeerClose(nil)
		s.referee.RecordCanceled(attempt, 0)
		return false
	}
	return s.execute(conn, job, attempt, id, what, incarnation)
}

func (s *Server) startedAtMs() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.startedAt.UnixMilli()
}

// patience is when the caller will have given up.
func requestDeadline(req *http.Request) time.Time {
	ms, err := strconv.ParseFloat(req.Header.Get(wire.Timeout), 64)
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(ms * float64(time.Millisecond)))
}

// work waits for a job's slot and its time, and answers. What its caller has left is dropped.
func (s *Server) execute(conn *link.Conn, job *queuedJob, attempt *referee.Attempt, id string, what Job, incarnation int) bool {
	stop := make(chan struct{})
	left := make(chan struct{})
	watch := make(chan struct{})
	go func() {
		defer close(watch)
		if conn.AwaitPeerClose(stop) {
			close(left)
		}
	}()
	end := func() {
		close(stop)
		<-watch
	}
	select {
	case ok := <-job.start:
		if !ok {
			end()
			s.referee.RecordCanceled(attempt, 0)
			return false
		}
	case <-left:
		s.locked(func() { job.canceled = true; s.removeCanceled() })
		select {
		case ok := <-job.start: // it had begun in that moment
			if ok {
				s.releaseSlot(incarnation, time.Now())
			}
		default:
		}
		end()
		s.referee.RecordCanceled(attempt, 0)
		return false
	}
	if !job.deadline.IsZero() && job.startedAt.After(job.deadline) { // over before it began
		s.releaseSlot(incarnation, job.startedAt)
		end()
		s.referee.RecordRejected(attempt)
		return s.respond(conn, attempt, 504, nil, true)
	}
	done := time.NewTimer(time.Until(job.startedAt.Add(job.duration)))
	defer done.Stop()
	gone := left
	if !s.spec.CancelsWork {
		gone = nil
	}
	select {
	case <-done.C:
	case <-gone:
		s.releaseSlot(incarnation, time.Now())
		end()
		s.referee.RecordCanceled(attempt, time.Since(job.startedAt))
		return false
	}
	s.releaseSlot(incarnation, job.startedAt.Add(job.duration))
	end()
	s.mu.Lock()
	alive := s.incarnation == incarnation && s.up && !s.fault.Hangs
	fails, spoils := s.rng.Float64() < s.fault.ErrorFraction, s.rng.Float64() < s.fault.GarbleFraction
	s.mu.Unlock()
	select {
	case <-left:
		s.referee.RecordCanceled(attempt, job.duration)
		return false
	default:
	}
	switch {
	case !alive:
		conn.AwaitPeerClose(nil)
		s.referee.RecordCanceled(attempt, job.duration)
		return false
	case fails:
		s.referee.RecordError(attempt, job.duration)
		return s.respond(conn, attempt, 500, nil, false)
	}
	made := wire.Make(id, s.spec.Name, what.ResponseBytes)
	s.referee.RecordServed(attempt, wire.Digest(made), job.duration)
	if spoils {
		s.garble(conn, attempt, made)
		return false
	}
	return s.respond(conn, attempt, 200, made, false)
}

func (s *Server) respond(conn *link.Conn, attempt *referee.Attempt, status int, body []byte, notStarted bool) bool {
	head := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nContent-Length: " +
		strconv.Itoa(len(body)) + "\r\n"
	if notStarted {
		head += wire.NotStarted + ": 1\r\n"
	}
	return conn.WriteAfter(append([]byte(head+"\r\n"), body...), func(time.Time) { s.referee.RecordOutcomeWritten(attempt) }) == nil
}

// spoil sends an answer that cannot be read as the protocol requires, and closes.
func (s *Server) garble(conn *link.Conn, attempt *referee.Attempt, body []byte) {
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
	_ = conn.WriteAfter([]byte(text), func(time.Time) { s.referee.RecordOutcomeWritten(attempt) })
}
