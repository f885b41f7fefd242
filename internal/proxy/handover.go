package proxy

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/listener"
)

// While a proxy serves, the platform may start its successor beside it. The two share one listening socket, so that
// no connection waits in a queue that is closed: the successor is handed the socket over a Unix socket in the
// proxy's own folder, with what the rules need it to know, and the connection between them tells each that the
// other lives. It ends with the process that holds it, however that ends.

const (
	handoverSocketName = "handover.sock"
	handoverTimeout    = 2 * time.Second // for the predecessor's word; it may have little of a core
	listSyncTimeout    = 3 * time.Second // for a list from discovery; the successor has 6 s to be ready in all
	maxHandoverBytes   = 1 << 20
)

// legacy is what a successor is told.
type handoverState struct {
	RetryBudget  retryBudgetUsage `json:"spent"` // of the allowance for further attempts
	KnownServers []string         `json:"seen"`  // servers that lists have named
	Now          int64            `json:"now"`   // by the predecessor's clock, when it told this; 0 from versions that do not
}

// spent is logic.Spent between processes.
type retryBudgetUsage struct {
	Requests []int64 `json:"Taken"`
	Retries  []int64 `json:"Further"`
}

// spentBy is what was spent, on the clock of a successor that shows now: each process's clock begins at the wall clock of
// its own start, which may have been set in between.
func (l handoverState) retryBudgetAt(now int64) balancer.RetryBudgetUsage {
	if l.Now == 0 {
		return balancer.RetryBudgetUsage{Requests: l.RetryBudget.Requests, Retries: l.RetryBudget.Retries}
	}
	shift := func(times []int64) []int64 {
		out := make([]int64, len(times))
		for i, t := range times {
			out[i] = t - l.Now + now
		}
		return out
	}
	return balancer.RetryBudgetUsage{Requests: shift(l.RetryBudget.Requests), Retries: shift(l.RetryBudget.Retries)}
}

// predecessor is the process of this proxy that served before and still lives.
type predecessor struct {
	conn     *net.UnixConn
	listener net.Listener
	state    handoverState
}

// findPredecessor asks a predecessor for its socket. There is none where nobody answers: a dead one's leftovers, or one
// that does not speak in time, must not keep this process from starting.
func connectPredecessor(dir string, log *slog.Logger) *predecessor {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Net: "unix", Name: filepath.Join(dir, handoverSocketName)})
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Info("no predecessor", "error", err)
		}
		return nil
	}
	p := &predecessor{conn: conn}
	if err := p.receive(); err != nil {
		log.Warn("the predecessor handed nothing over", "error", err)
		conn.Close()
		return nil
	}
	log.Info("the predecessor handed its listener over", "address", p.listener.Addr())
	return p
}

func (p *predecessor) receive() error {
	_ = p.conn.SetDeadline(time.Now().Add(handoverTimeout))
	oob := make([]byte, syscall.CmsgSpace(4))
	var mark [1]byte
	n, oobn, _, _, err := p.conn.ReadMsgUnix(mark[:], oob)
	if err != nil || n != 1 {
		return fmt.Errorf("no socket came: %w", cmp.Or(err, io.ErrUnexpectedEOF))
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return fmt.Errorf("no socket came: %w", err)
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return fmt.Errorf("no socket came: %w", err)
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "listener")
			if p.listener == nil {
				p.listener, err = net.FileListener(f)
			}
			f.Close()
			if err != nil {
				return fmt.Errorf("the socket that came: %w", err)
			}
		}
	}
	if p.listener == nil {
		return errors.New("no socket came")
	}
	line, err := bufio.NewReader(io.LimitReader(p.conn, maxHandoverBytes)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &p.state)
	}
	if err != nil {
		p.listener.Close()
		return fmt.Errorf("what the rules need: %w", err)
	}
	return p.conn.SetDeadline(time.Time{})
}

// serving tells the predecessor that clients are served here too.
func (p *predecessor) notifyServing() error {
	_, err := p.conn.Write([]byte{'s'})
	return err
}

// wait returns once the predecessor has ended.
func (p *predecessor) awaitExit() {
	_, _ = io.Copy(io.Discard, p.conn)
	p.conn.Close()
}

// successors takes successors, one at a time, and hands the listener over to them.
type handoverServer struct {
	listener        *net.UnixListener
	clientListener  syscall.Conn // the clients' listener
	logger          *slog.Logger
	exportState     func() (handoverState, error) // called when a successor has come
	onSuccessorExit func()                        // and, if that went well, when it has ended

	mu               sync.Mutex
	conn             *net.UnixConn // to the successor
	successorServing bool
	closed           bool
	closing          chan struct{} // closed by close
	goroutines       sync.WaitGroup
}

// openSuccessors listens for successors. The name is taken over from a predecessor, dead or alive, in one step.
func openHandoverServer(dir string, shared syscall.Conn, log *slog.Logger) (*handoverServer, error) {
	path := filepath.Join(dir, handoverSocketName)
	own := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(own)
	l, err := net.ListenUnix("unix", &net.UnixAddr{Net: "unix", Name: own})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	l.SetUnlinkOnClose(false)
	if err := os.Rename(own, path); err != nil {
		l.Close()
		_ = os.Remove(own)
		return nil, fmt.Errorf("handover: %w", err)
	}
	return &handoverServer{listener: l, clientListener: shared, logger: log, closing: make(chan struct{})}, nil
}

// serve takes successors until close.
func (s *handoverServer) serve() {
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
		s.mu.Lock()
		taken := s.conn != nil
		if !taken {
			s.conn = conn
		}
		s.mu.Unlock()
		if taken { // one that hangs has its connection ended by its end
			s.logger.Warn("a second successor was turned away")
			conn.Close()
			continue
		}
		s.goroutines.Go(func() { s.handOverTo(conn) })
	}
}

// attend hands over and stays until the successor has ended.
func (s *handoverServer) handOverTo(conn *net.UnixConn) {
	s.logger.Info("a successor has started")
	told, err := s.exportState()
	if err == nil {
		defer s.onSuccessorExit()
		err = s.sendState(conn, told)
	}
	if err != nil {
		s.logger.Warn("handover", "error", err)
	} else {
		var b [1]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				break
			}
			s.logger.Info("the successor serves")
			s.mu.Lock()
			s.successorServing = true
			s.mu.Unlock()
		}
	}
	conn.Close()
	s.mu.Lock()
	s.conn, s.successorServing = nil, false
	closed := s.closed
	s.mu.Unlock()
	if !closed { // else it is this process that ends
		s.logger.Warn("the successor has ended")
	}
}

func (s *handoverServer) sendState(conn *net.UnixConn, l handoverState) error {
	line, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("what the rules need: %w", err)
	}
	raw, err := s.clientListener.SyscallConn()
	if err != nil {
		return fmt.Errorf("listener: %w", err)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(handoverTimeout))
	// Through Control, not File: a duplicate's Fd would make the shared socket a blocking one.
	var sent error
	if err := raw.Control(func(fd uintptr) {
		_, _, sent = conn.WriteMsgUnix([]byte{0}, syscall.UnixRights(int(fd)), nil)
	}); err != nil || sent != nil {
		return fmt.Errorf("listener: %w", errors.Join(err, sent))
	}
	_, err = conn.Write(append(line, '\n'))
	return err
}

// served tells whether there is a successor that serves.
func (s *handoverServer) isSuccessorServing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.successorServing
}

// close ends the listener and the connection to a successor, which then knows that this process has ended.
func (s *handoverServer) close() {
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
