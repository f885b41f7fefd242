package handover

import (
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

	"merlinpick/internal/listener"
)

// Hooks are what a Server calls, each from a goroutine of its own.
type Hooks struct {
	// ExportState gives the state for a successor that has connected. An error ends its connection.
	ExportState func() (State, error)
	// SuccessorDisconnected is called when the connection to a successor that ExportState gave a state for has closed; after
	// a failed handover the successor may still run.
	SuccessorDisconnected func()
}

// Server hands the clients' listener over to successor processes, one at a time. It owns its accept goroutine and one for
// the successor's connection; Close ends both.
type Server struct {
	listener       *net.UnixListener
	clientListener syscall.Conn
	hooks          Hooks
	logger         *slog.Logger

	mu         sync.Mutex
	conn       *net.UnixConn // to the successor, nil without one
	serving    bool          // the successor accepts clients
	closed     bool
	closing    chan struct{}
	goroutines sync.WaitGroup
}

// Start listens for successors in a state directory and serves them until Close. It takes the socket's name over from a
// predecessor, dead or alive, in one step.
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

// accept takes successors until Close.
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
		if !s.claim(conn) { // a successor that hangs keeps its place until its process ends
			s.logger.Warn("handover rejected", "reason", "a successor is connected already")
			conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.handOver(conn) })
	}
}

// claim makes a connection that of the successor; false if there is one already.
func (s *Server) claim(conn *net.UnixConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		return false
	}
	s.conn = conn
	return true
}

// handOver sends the socket and the state, and stays until the successor's connection has closed.
func (s *Server) handOver(conn *net.UnixConn) {
	s.logger.Info("successor connected")
	state, err := s.hooks.ExportState()
	if err == nil {
		defer s.hooks.SuccessorDisconnected()
		err = s.send(conn, state)
	}
	if err != nil {
		s.logger.Warn("handover failed", "error", err)
	} else {
		s.followSuccessor(conn)
	}
	conn.Close()
	s.mu.Lock()
	s.conn, s.serving = nil, false
	closed := s.closed
	s.mu.Unlock()
	if !closed { // otherwise it is this process that ends
		s.logger.Warn("successor connection closed")
	}
}

// followSuccessor returns when the successor's connection has closed.
func (s *Server) followSuccessor(conn *net.UnixConn) {
	var b [1]byte
	for {
		if _, err := conn.Read(b[:]); err != nil {
			return
		}
		s.logger.Info("successor serving")
		s.mu.Lock()
		s.serving = true
		s.mu.Unlock()
	}
}

// send writes the socket's descriptor with a byte, then the state's line.
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
	// Through Control, not File: a duplicate's Fd would make the shared socket a blocking one.
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(fd)), nil)
	}); err != nil || sent != nil {
		return fmt.Errorf("handover: send the listener: %w", errors.Join(err, sent))
	}
	if _, err = conn.Write(append(line, '\n')); err != nil {
		return fmt.Errorf("handover: send the state: %w", err)
	}
	return nil
}

// SuccessorServing reports whether there is a successor that accepts clients.
func (s *Server) SuccessorServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serving
}

// Close ends the listener and the connection to a successor, which then knows that this process has ended. It returns
// when the server's goroutines have ended.
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
