package transport

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	maxStreamBytes = 2 << 20          // that one connection may bring
	streamLifetime = 10 * time.Second // of a connection, whatever passes
)

// stream is a connection that is counted, bounded and ended with the link.
type stream struct {
	net.Conn
	of   *network
	left int64     // bytes that it may still bring
	end  time.Time // no deadline goes beyond it
	once sync.Once
	gone func()
}

// keep has a connection end with the link; nil once the link has ended.
func (t *network) keep(c net.Conn, gone func()) *stream {
	s := &stream{Conn: c, of: t, left: maxStreamBytes, end: time.Now().Add(streamLifetime), gone: gone}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		c.Close()
		return nil
	}
	t.conns[s] = true
	_ = c.SetDeadline(s.end)
	return s
}

func (s *stream) Read(p []byte) (int, error) {
	if s.left <= 0 {
		s.of.refused.add(rejectLength)
		return 0, fmt.Errorf("a member sent over %d bytes", maxStreamBytes)
	}
	n, err := s.Conn.Read(p[:min(int64(len(p)), s.left)])
	s.left -= int64(n)
	s.of.in.Add(int64(n))
	return n, err
}

func (s *stream) Write(p []byte) (int, error) {
	n, err := s.Conn.Write(p)
	s.of.out.Add(int64(n))
	return n, err
}

func (s *stream) capped(t time.Time) time.Time {
	if t.IsZero() || t.After(s.end) {
		return s.end
	}
	return t
}

func (s *stream) SetDeadline(t time.Time) error      { return s.Conn.SetDeadline(s.capped(t)) }
func (s *stream) SetReadDeadline(t time.Time) error  { return s.Conn.SetReadDeadline(s.capped(t)) }
func (s *stream) SetWriteDeadline(t time.Time) error { return s.Conn.SetWriteDeadline(s.capped(t)) }

func (s *stream) Close() error {
	err := s.Conn.Close()
	s.once.Do(func() {
		s.of.mu.Lock()
		delete(s.of.conns, s)
		s.of.mu.Unlock()
		if s.gone != nil {
			s.gone()
		}
	})
	return err
}
