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
)

// ErrNoSocket reports that a predecessor's first message did not contain a listening socket.
var ErrNoSocket = errors.New("handover: no listening socket received")

// Predecessor is the connection to the process of this proxy that served before and still runs. The successor
// owns it.
type Predecessor struct {
	Listener net.Listener // shared with the predecessor
	State    State

	conn       *net.UnixConn
	executions *executionSender
	senders    sync.WaitGroup
	closeOnce  sync.Once
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
	p := &Predecessor{conn: conn, executions: newExecutionSender()}
	if err := p.receive(); err != nil {
		logger.Warn("handover from predecessor failed", "error", err)
		conn.Close()
		return nil
	}
	logger.Info("listener inherited from predecessor", "address", p.Listener.Addr())
	return p
}

// receive reads the listening socket, then the state.
func (p *Predecessor) receive() error {
	_ = p.conn.SetDeadline(time.Now().Add(ioTimeout))
	if err := p.receiveListener(); err != nil {
		return err
	}
	line, err := bufio.NewReader(io.LimitReader(p.conn, maxStateBytes)).ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, &p.State)
	}
	if err != nil {
		p.Listener.Close()
		return fmt.Errorf("handover: read the predecessor's state: %w", err)
	}
	return p.conn.SetDeadline(time.Time{})
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
		p.senders.Go(func() { p.executions.run(p.conn, nil) })
	}
	return nil
}

// ShareExecution sends an update to the predecessor, without blocking. Any goroutine may call it.
func (p *Predecessor) ShareExecution(e Execution) {
	if p.State.SharesExecutions {
		p.executions.add(e)
	}
}

// AwaitExit blocks until the predecessor has exited or Close was called, and passes its updates on.
func (p *Predecessor) AwaitExit(update func(Execution)) {
	defer p.Close()
	reader := bufio.NewReader(p.conn)
	for {
		kind, err := reader.ReadByte()
		if err != nil {
			return
		}
		e, err := readExecution(reader, kind)
		if err != nil {
			return
		}
		update(e)
	}
}

// Close closes the connection, which tells the predecessor that this process has ended.
func (p *Predecessor) Close() {
	p.closeOnce.Do(func() {
		close(p.executions.stop)
		p.conn.Close()
	})
	p.senders.Wait()
}
