package handover

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

	"merlinpick/internal/discovery"
)

// ErrNoSocket reports that a predecessor's first message did not contain a listening socket.
var ErrNoSocket = errors.New("handover: no listening socket received")

// Predecessor is the connection to the process of this proxy that served before and still runs. The successor
// owns it.
type Predecessor struct {
	Listener net.Listener // shared with the predecessor
	State    State
	// List is the endpoint list that the predecessor held when this process connected; nil if it had none, or
	// is of a version that does not tell it.
	List *discovery.HeldList

	conn       *net.UnixConn
	reader     *bufio.Reader // of what follows the state
	executions *executionSender
	lists      *listSender

	mu      sync.Mutex
	closed  bool
	senders sync.WaitGroup
}

// ConnectPredecessor gets the listening socket and the state from the predecessor that serves from a state
// directory. It returns nil if none answers within 2 s: the socket file of a dead process, or a hung process,
// must not keep this process from starting.
func ConnectPredecessor(dir string, logger *slog.Logger) *Predecessor {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Net: "unix", Name: filepath.Join(dir, socketName)})
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			logger.Info("no predecessor process", "error", err)
		}
		return nil
	}
	p := &Predecessor{conn: conn, reader: bufio.NewReader(conn), executions: newExecutionSender(), lists: newListSender()}
	if err := p.receive(); err != nil {
		logger.Warn("handover from predecessor failed", "error", err)
		conn.Close()
		return nil
	}
	logger.Info("listener inherited from predecessor", "address", p.Listener.Addr())
	return p
}

// receive reads the listening socket, the state, and the endpoint list.
func (p *Predecessor) receive() error {
	_ = p.conn.SetDeadline(time.Now().Add(ioTimeout))
	if err := p.receiveListener(); err != nil {
		return err
	}
	err := p.receiveState()
	if err == nil && p.State.SharesList {
		err = p.receiveList()
	}
	if err != nil {
		p.Listener.Close()
		return err
	}
	return p.conn.SetDeadline(time.Time{})
}

// receiveState reads the state. Nothing follows it before this process has sent a message.
func (p *Predecessor) receiveState() error {
	line, err := bufio.NewReader(io.LimitReader(p.conn, maxStateBytes)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &p.State)
	}
	if err != nil {
		return fmt.Errorf("handover: read the predecessor's state: %w", err)
	}
	return nil
}

// receiveList asks the predecessor for its endpoint lists, and reads the one that it holds now.
func (p *Predecessor) receiveList() error {
	if _, err := p.conn.Write([]byte{kindListRequest}); err != nil {
		return fmt.Errorf("handover: ask for the predecessor's endpoint list: %w", err)
	}
	kind, err := p.reader.ReadByte()
	if err != nil {
		return fmt.Errorf("handover: read the predecessor's endpoint list: %w", err)
	}
	if kind != kindList {
		return &unexpectedMessageError{kind}
	}
	p.List, err = readList(p.reader)
	return err
}

// receiveListener reads the first message and opens its first descriptor as the listener. It closes other
// descriptors.
func (p *Predecessor) receiveListener() error {
	oob := make([]byte, syscall.CmsgSpace(4))
	var mark [1]byte
	n, oobn, _, _, err := p.conn.ReadMsgUnix(mark[:], oob)
	if err != nil || n != 1 {
		return fmt.Errorf("%w: %w", ErrNoSocket, cmp.Or(err, io.ErrUnexpectedEOF))
	}
	messages, err := syscall.ParseSocketControlMessage(oob[:oobn])
	if err != nil {
		return fmt.Errorf("%w: %w", ErrNoSocket, err)
	}
	for _, message := range messages {
		descriptors, err := syscall.ParseUnixRights(&message)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNoSocket, err)
		}
		for _, descriptor := range descriptors {
			syscall.CloseOnExec(descriptor)
			f := os.NewFile(uintptr(descriptor), "listener")
			if p.Listener == nil {
				p.Listener, err = net.FileListener(f)
			}
			f.Close()
			if err != nil {
				return fmt.Errorf("handover: open the predecessor's socket as a listener: %w", err)
			}
		}
	}
	if p.Listener == nil {
		return ErrNoSocket
	}
	return nil
}

// NotifyServing tells the predecessor that this process accepts clients too. From then on ShareExecution sends.
func (p *Predecessor) NotifyServing() error {
	if _, err := p.conn.Write([]byte{kindServing}); err != nil {
		return err
	}
	if p.State.SharesExecutions {
		p.startSender(func() { p.executions.run(p.conn, nil) })
	}
	return nil
}

// ShareExecution sends an update to the predecessor, without blocking. Any goroutine may call it.
func (p *Predecessor) ShareExecution(e Execution) {
	if p.State.SharesExecutions {
		p.executions.add(e)
	}
}

// ShareLists sends the endpoint list that current returns to the predecessor after each NotifyListChanged. It is
// called once at most.
func (p *Predecessor) ShareLists(current func() *discovery.HeldList) {
	if p.State.SharesList {
		p.startSender(func() { p.lists.run(p.conn, current) })
	}
}

// NotifyListChanged reports that discovery has changed the endpoint list of this process. It does not block, and
// any goroutine may call it.
func (p *Predecessor) NotifyListChanged() { p.lists.notify() }

// startSender starts a goroutine that sends to the predecessor, unless Close was called.
func (p *Predecessor) startSender(send func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.senders.Go(send)
	}
}

// AwaitExit blocks until the predecessor has exited or Close was called, and passes on what it tells.
func (p *Predecessor) AwaitExit(to Receiver) {
	defer p.Close()
	for {
		kind, err := p.reader.ReadByte()
		if err != nil {
			return
		}
		if err := to.receive(p.reader, kind); err != nil {
			return
		}
	}
}

// Close closes the connection, which tells the predecessor that this process has ended.
func (p *Predecessor) Close() {
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.executions.stop)
		close(p.lists.stop)
		p.conn.Close()
	}
	p.mu.Unlock()
	p.senders.Wait()
}
