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
	"syscall"
	"time"
)

// ErrNoSocket means that a predecessor's first message carried no listening socket.
var ErrNoSocket = errors.New("handover: no listening socket received")

// Predecessor is the process of this proxy that served before and still runs. The successor owns the connection to it.
type Predecessor struct {
	Listener net.Listener // shared with the predecessor
	State    State

	conn *net.UnixConn
}

// ConnectPredecessor asks the predecessor at a state directory for its socket and state. It returns nil if none answers
// within 2 s: what a dead process left behind, or one that hangs, must not keep this process from starting.
func ConnectPredecessor(dir string, logger *slog.Logger) *Predecessor {
	conn, err := net.DialUnix("unix", nil, &net.UnixAddr{Net: "unix", Name: filepath.Join(dir, socketName)})
	if err != nil {
		if !errors.Is(err, fs.ErrNotExist) {
			logger.Info("no predecessor process", "error", err)
		}
		return nil
	}
	p := &Predecessor{conn: conn}
	if err := p.receive(); err != nil {
		logger.Warn("handover from predecessor failed", "error", err)
		conn.Close()
		return nil
	}
	logger.Info("listener inherited from predecessor", "address", p.Listener.Addr())
	return p
}

// receive reads the socket, then the state.
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

// receiveListener takes the listening socket out of the first message. Other descriptors are closed.
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
				return fmt.Errorf("handover: use the predecessor's socket: %w", err)
			}
		}
	}
	if p.Listener == nil {
		return ErrNoSocket
	}
	return nil
}

// NotifyServing notifies the predecessor that this process accepts clients too.
func (p *Predecessor) NotifyServing() error {
	_, err := p.conn.Write([]byte{'s'})
	return err
}

// AwaitExit returns once the predecessor has ended, or Close was called.
func (p *Predecessor) AwaitExit() {
	_, _ = io.Copy(io.Discard, p.conn)
	p.conn.Close()
}

// Close ends the connection, which notifies the predecessor that this process has ended.
func (p *Predecessor) Close() { p.conn.Close() }
