package handover

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/listener"
)

// Hooks holds the functions that a Server calls, on the goroutine of the successor's connection.
type Hooks struct {
	// ExportState returns the state for a successor that has connected. If it fails, the connection is
	// closed.
	ExportState func() (State, error)
	// SuccessorDisconnected is called when the connection to a successor has closed, if ExportState returned
	// a state for it. After a failed handover the successor may still run.
	SuccessorDisconnected func()
	// SuccessorServing is called when the successor accepts clients. It returns the hashes of the IDs of all
	// requests that may have been executed and must not be executed twice. Later ones go to ShareExecution.
	SuccessorServing func() []uint64
	// HeldList returns the endpoint list that this process holds, nil if it holds none. It is called on a
	// goroutine that sends to the successor.
	HeldList func() *discovery.HeldList
	// Receiver takes what the successor tells.
	Receiver Receiver
}

// Server hands over the client listener to successor processes, one at a time. It owns the goroutine that
// accepts successors and the one for the successor's connection; Close ends both.
type Server struct {
	listener       *net.UnixListener
	clientListener syscall.Conn
	hooks          Hooks
	logger         *slog.Logger

	mu         sync.Mutex
	conn       *net.UnixConn    // connection to the successor, nil if there is none
	serving    bool             // the successor accepts clients
	executions *executionSender // to the successor; nil unless it accepts clients
	lists      *listSender      // to the successor; nil unless it has asked for lists
	closed     bool
	closing    chan struct{}
	goroutines sync.WaitGroup
}

// Start listens for successors in a state directory and serves them until Close. It replaces a predecessor's
// socket file atomically, whether or not the predecessor is still running.
func Start(dir string, clientListener syscall.Conn, hooks Hooks, logger *slog.Logger) (*Server, error) {
	path := filepath.Join(dir, socketName)
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: temporary})
	if err != nil {
		return nil, fmt.Errorf("handover: listen for a successor: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Rename(temporary, path); err != nil {
		l.Close()
		_ = os.Remove(temporary)
		return nil, fmt.Errorf("handover: listen for a successor: %w", err)
	}
	s := &Server{listener: l, clientListener: clientListener, hooks: hooks, logger: logger, closing: make(chan struct{})}
	s.goroutines.Go(s.accept)
	return s, nil
}

// accept accepts connections from successors until Close.
func (s *Server) accept() {
	retrier := listener.NewRetrier(s.logger)
	for {
		conn, err := s.listener.AcceptUnix()
		if err != nil {
			if retrier.Failed(err, s.closing) != nil {
				return
			}
			continue
		}
		retrier.Succeeded()
		if !s.claim(conn) { // a hung successor blocks others until its process ends
			s.logger.Warn("handover rejected", "reason", "another successor is already connected")
			conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.handOver(conn) })
	}
}

// claim makes conn the connection to the successor. It returns false if a successor is already connected.
func (s *Server) claim(conn *net.UnixConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return false
	}
	s.conn = conn
	return true
}

// handOver sends the socket and the state to a successor, and returns once the connection has closed.
func (s *Server) handOver(conn *net.UnixConn) {
	s.logger.Info("successor connected")
	state, err := s.hooks.ExportState()
	if err == nil {
		defer s.hooks.SuccessorDisconnected()
		err = s.send(conn, state)
	}
	if err != nil {
		s.logger.Warn("handover to successor failed", "error", err)
	} else {
		s.followSuccessor(conn)
	}
	conn.Close()
	s.mu.Lock()
	s.conn, s.serving, s.executions, s.lists = nil, false, nil, nil
	closed := s.closed
	s.mu.Unlock()
	if !closed { // otherwise Close has closed it, since this process ends
		s.logger.Warn("successor connection closed")
	}
}

// followSuccessor reads what the successor sends, and sends it what it has asked for. It returns when the
// connection has closed.
func (s *Server) followSuccessor(conn *net.UnixConn) {
	executions, lists := newExecutionSender(), newListSender()
	var sending sync.WaitGroup
	defer sending.Wait()
	defer close(executions.stop)
	defer close(lists.stop)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		kind, err := reader.ReadByte()
		if err != nil {
			return
		}
		switch kind {
		case kindServing:
			s.markServing(executions)
			executed := s.hooks.SuccessorServing()
			sending.Go(func() { executions.run(conn, executed) })
		case kindListRequest:
			s.shareLists(lists)
			sending.Go(func() { lists.run(conn, s.hooks.HeldList) })
		default:
			if err := s.hooks.Receiver.receive(reader, kind); err != nil {
				s.logger.Warn("handover to successor failed", "error", err)
				return
			}
		}
	}
}

// markServing records that the successor accepts clients, and with what updates are sent to it from now on.
func (s *Server) markServing(sender *executionSender) {
	s.logger.Info("successor serving")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serving, s.executions = true, sender
}

// shareLists sends the successor the held endpoint list, and records with what later ones are sent.
func (s *Server) shareLists(sender *listSender) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = sender
	sender.notify()
}

// NotifyListChanged reports that discovery has changed the endpoint list of this process. It does not block, and
// any goroutine may call it.
func (s *Server) NotifyListChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lists != nil {
		s.lists.notify()
	}
}

// ShareExecution sends an update to the successor, if there is one that accepts clients, without blocking. Any
// goroutine may call it.
func (s *Server) ShareExecution(e Execution) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.executions != nil {
		s.executions.add(e)
	}
}

// send writes the descriptor of the client listener with one byte, then the state as one line.
func (s *Server) send(conn *net.UnixConn, state State) error {
	line, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("handover: encode the state: %w", err)
	}
	raw, err := s.clientListener.SyscallConn()
	if err != nil {
		return fmt.Errorf("handover: send the listener: %w", err)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(ioTimeout))
	// This uses Control instead of File, since calling Fd on the duplicate would make the shared socket
	// blocking.
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(fd)), nil)
	}); err != nil || sent != nil {
		return fmt.Errorf("handover: send the listener: %w", errors.Join(err, sent))
	}
	if _, err = conn.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("handover: send the state: %w", err)
	}
	return conn.SetWriteDeadline(time.Time{})
}

// SuccessorServing reports whether a connected successor accepts clients.
func (s *Server) SuccessorServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}

// Close closes the listener and the connection to a successor, which tells it that this process has ended. It
// returns when the server's goroutines have ended.
func (s *Server) Close() {
	close(s.closing)
	s.listener.Close()
	s.mu.Lock()
	s.closed = true
	if s.conn != nil {
		s.conn.Close()
	}
	s.mu.Unlock()
	s.goroutines.Wait()
}
