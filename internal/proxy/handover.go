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

	"fernlanding/logic"
)

// While a proxy serves, the platform may start its successor beside it. The two share one listening socket, so that
// no connection waits in a queue that is closed: the successor is handed the socket over a Unix socket in the
// proxy's own folder, with what the rules need it to know, and the connection between them tells each that the
// other lives. It ends with the process that holds it, however that ends.

const (
	handoverName     = "handover.sock"
	handoverPatience = 2 * time.Second // for the elder's word; it may have little of a core
	freshPatience    = 3 * time.Second // for a list from discovery; the successor has 6 s to be ready in all
	maxHandover      = 1 << 20
)

// legacy is what a successor is told.
type legacy struct {
	Spent logic.Spent `json:"spent"` // of the allowance for further attempts
	Seen  []string    `json:"seen"`  // servers that lists have named
}

// elder is a predecessor that lives.
type elder struct {
	conn     *net.UnixConn
	listener net.Listener
	legacy   legacy
}

// findElder asks a predecessor for its socket. There is none where nobody answers: a dead one's leftovers, or one
// that does not speak in time, must not keep this process from starting.
func findElder(dir string, log *slog.Logger) *elder {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Net: "unix", Name: filepath.Join(dir, handoverName)})
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			log.Info("no predecessor", "error", err)
		}
		return nil
	}
	e := &elder{conn: conn}
	if err := e.receive(); err != nil {
		log.Warn("the predecessor handed nothing over", "error", err)
		conn.Close()
		return nil
	}
	log.Info("the predecessor handed its listener over", "address", e.listener.Addr())
	return e
}

func (e *elder) receive() error {
	_ = e.conn.SetDeadline(time.Now().Add(handoverPatience))
	oob := make([]byte, syscall.CmsgSpace(4))
	var mark [1]byte
	n, oobn, _, _, err := e.conn.ReadMsgUnix(mark[:], oob)
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
			if e.listener == nil {
				e.listener, err = net.FileListener(f)
			}
			f.Close()
			if err != nil {
				return fmt.Errorf("the socket that came: %w", err)
			}
		}
	}
	if e.listener == nil {
		return errors.New("no socket came")
	}
	line, err := bufio.NewReader(io.LimitReader(e.conn, maxHandover)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &e.legacy)
	}
	if err != nil {
		e.listener.Close()
		return fmt.Errorf("what the rules need: %w", err)
	}
	return e.conn.SetDeadline(time.Time{})
}

// serving tells the elder that clients are served here too.
func (e *elder) serving() error {
	_, err := e.conn.Write([]byte{'s'})
	return err
}

// wait returns once the elder has ended.
func (e *elder) wait() {
	_, _ = io.Copy(io.Discard, e.conn)
	e.conn.Close()
}

// heirs hands the listener over to a successor, one at a time.
type heirs struct {
	listener *net.UnixListener
	shared   syscall.Conn // the clients' listener
	log      *slog.Logger
	tell     func() (legacy, error) // called when a successor has come
	gone     func()                 // and, if that went well, when it has ended

	mu      sync.Mutex
	conn    *net.UnixConn // to the successor
	serving bool
	closed  bool
	done    sync.WaitGroup
}

// openHeirs listens for successors. The name is taken over from a predecessor, dead or alive, in one step.
func openHeirs(dir string, shared syscall.Conn, log *slog.Logger) (*heirs, error) {
	path := filepath.Join(dir, handoverName)
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
	return &heirs{listener: l, shared: shared, log: log}, nil
}

// serve takes successors until close.
func (h *heirs) serve() {
	for {
		conn, err := h.listener.AcceptUnix()
		if err != nil {
			return
		}
		h.mu.Lock()
		taken := h.conn != nil
		if !taken {
			h.conn = conn
		}
		h.mu.Unlock()
		if taken { // one that hangs has its connection ended by its end
			h.log.Warn("a second successor was turned away")
			conn.Close()
			continue
		}
		h.done.Go(func() { h.attend(conn) })
	}
}

// attend hands over and stays until the successor has ended.
func (h *heirs) attend(conn *net.UnixConn) {
	h.log.Info("a successor has started")
	told, err := h.tell()
	if err == nil {
		defer h.gone()
		err = h.send(conn, told)
	}
	if err != nil {
		h.log.Warn("handover", "error", err)
	} else {
		var b [1]byte
		for {
			if _, err := conn.Read(b[:]); err != nil {
				break
			}
			h.log.Info("the successor serves")
			h.mu.Lock()
			h.serving = true
			h.mu.Unlock()
		}
	}
	conn.Close()
	h.mu.Lock()
	h.conn, h.serving = nil, false
	closed := h.closed
	h.mu.Unlock()
	if !closed { // else it is this process that ends
		h.log.Warn("the successor has ended")
	}
}

func (h *heirs) send(conn *net.UnixConn, l legacy) error {
	line, err := json.Marshal(l)
	if err != nil {
		return fmt.Errorf("what the rules need: %w", err)
	}
	raw, err := h.shared.SyscallConn()
	if err != nil {
		return fmt.Errorf("listener: %w", err)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(handoverPatience))
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
func (h *heirs) served() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.serving
}

// close ends the listener and the connection to a successor, which then knows that this process has ended.
func (h *heirs) close() {
	h.listener.Close()
	h.mu.Lock()
	h.closed = true
	if h.conn != nil {
		h.conn.Close()
	}
	h.mu.Unlock()
	h.done.Wait()
}
