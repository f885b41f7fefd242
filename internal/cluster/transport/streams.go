package transport

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/sys/unix"
)

const (
	maxStreamBytes = 2 << 20          // received on one connection, at most
	streamLifetime = 10 * time.Second // after which a connection fails
)

// acceptStreams accepts connections until the network shuts down, up to maxInboundStreams at a time.
func (t *network) acceptStreams() {
	for {
		conn, err := t.tcp.AcceptTCP()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			t.pause()
			continue
		}
		select {
		case t.slots <- struct{}{}:
		default:
			t.rejected.add(rejectTooMany)
			conn.Close()
			continue
		}
		s := t.track(conn, func() { <-t.slots })
		if s == nil {
			return
		}
		t.tasks.Go(func() { t.checkStream(conn, s) })
	}
}

// checkStream passes a connection to memberlist if its first bytes are the cluster's label and did not wait
// too long. Otherwise it closes the connection.
func (t *network) checkStream(conn *net.TCPConn, s *stream) {
	_ = s.Conn.SetDeadline(time.Now().Add(labelTimeout))
	labelled, label, err := memberlist.RemoveLabelHeaderFromStream(s)
	late := sinceLastReceive(conn) > maxInputDelay
	switch {
	case err != nil || label != t.label:
		t.rejected.add(rejectLabel)
	case late:
		t.rejected.add(rejectLate)
	default:
		_ = s.Conn.SetDeadline(s.deadline)
		t.onReceive() // always another member: a node does not connect to itself
		select {
		case t.streams <- labelled:
			return
		case <-t.stop:
		}
	}
	s.Close()
}

// sinceLastReceive returns how long ago the last bytes of a connection arrived in the kernel, or 0 if the
// kernel does not report it.
func sinceLastReceive(conn *net.TCPConn) time.Duration {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return since
}

// stream is a connection with a limited lifetime and number of received bytes. It is closed with its network.
type stream struct {
	net.Conn
	network   *network
	bytesLeft int64     // bytes that may still be received
	deadline  time.Time // upper limit of all other deadlines
	closeOnce sync.Once
	onClose   func() // may be nil
}

// track wraps a connection and registers it for Shutdown. After Shutdown it closes the connection and returns
// nil.
func (t *network) track(conn net.Conn, onClose func()) *stream {
	s := &stream{Conn: conn, network: t, bytesLeft: maxStreamBytes, deadline: time.Now().Add(streamLifetime),
		onClose: onClose}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		conn.Close()
		return nil
	}
	t.open[s] = true
	_ = conn.SetDeadline(s.deadline)
	return s
}

// Read implements net.Conn. It fails after maxStreamBytes.
func (s *stream) Read(p []byte) (int, error) {
	if s.bytesLeft <= 0 {
		s.network.rejected.add(rejectLength)
		return 0, errStreamTooLong
	}
	n, err := s.Conn.Read(p[:min(int64(len(p)), s.bytesLeft)])
	s.bytesLeft -= int64(n)
	s.network.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn and counts the sent bytes.
func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.network.bytesOut.Add(int64(n))
	return n, err
}

// cap returns a deadline, but no later than the stream's own; a zero deadline means none.
func (s *stream) cap(deadline time.Time) time.Time {
	if deadline.IsZero() || deadline.After(s.deadline) {
		return s.deadline
	}
	return deadline
}

// SetDeadline implements net.Conn. The stream's own deadline still applies.
func (s *stream) SetDeadline(t time.Time) error { return s.Conn.SetDeadline(s.cap(t)) }

// SetReadDeadline implements net.Conn. The stream's own deadline still applies.
func (s *stream) SetReadDeadline(t time.Time) error { return s.Conn.SetReadDeadline(s.cap(t)) }

// SetWriteDeadline implements net.Conn. The stream's own deadline still applies.
func (s *stream) SetWriteDeadline(t time.Time) error { return s.Conn.SetWriteDeadline(s.cap(t)) }

// Close implements net.Conn. It also removes the connection from its network.
func (s *stream) Close() error {
	err := s.Conn.Close()
	s.closeOnce.Do(func() {
		s.network.mu.Lock()
		delete(s.network.open, s)
		s.network.mu.Unlock()
		if s.onClose != nil {
			s.onClose()
		}
	})
	return err
}
