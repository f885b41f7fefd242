package path

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
)

// answer is what every stub server gives, at once: what is measured is the way there and back.
const response = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"

// Server is a stub server with a listener of its own on loopback.
type Server struct {
	Name string
	Zone int
	Addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// Servers are n of them, spread evenly over zones. They share a process with the callers.
type Servers struct {
	All     []*Server
	Zones   int
	running sync.WaitGroup
}

// ListenServers has n servers listen, each on a port of 127.0.0.1.
func StartServers(n, zones int) (*Servers, error) {
	s := &Servers{Zones: zones}
	for i := range n {
		nodo := &Server{Name: fmt.Sprintf("s%d", i), Zone: i % zones, Addr: "127.0.0.1:0"}
		if err := s.listen(nodo); err != nil {
			s.Close()
			return nil, err
		}
		s.All = append(s.All, nodo)
	}
	return s, nil
}

func (s *Servers) listen(n *Server) error {
	l, err := net.Listen("tcp", n.Addr)
	if err != nil {
		return fmt.Errorf("nodo %s of %d at %s: %w (a nodo takes a port and a descriptor)", n.Name, len(s.All), n.Addr, err)
	}
	n.mu.Lock()
	n.listener, n.Addr, n.conns = l, l.Addr().String(), map[net.Conn]bool{}
	n.mu.Unlock()
	s.running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n.mu.Lock()
			lives := n.listener == l
			if lives {
				n.conns[c] = true
			}
			n.mu.Unlock()
			if !lives {
				c.Close()
				continue
			}
			s.running.Go(func() { n.serve(c) })
		}
	})
	return nil
}

// one answers the requests of a connection. They have no body.
func (s *Server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	for r := bufio.NewReader(c); skipHead(r) == nil; {
		if _, err := c.Write([]byte(response)); err != nil {
			return
		}
	}
}

// skipHead reads up to the empty line.
func skipHead(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return nil
		}
	}
}

// down ends a server as a process's death does: connections are reset and new ones refused.
func (s *Server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.listener.Close()
	s.listener = nil
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Lose ends the servers of a zone.
func (s *Servers) StopZone(zone int) {
	for _, n := range s.All {
		if n.Zone == zone {
			n.stop()
		}
	}
}

// Return has them listen again where they did.
func (s *Servers) RestartZone(zone int) error {
	for _, n := range s.All {
		if n.Zone == zone {
			if err := s.listen(n); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close ends all and waits for that.
func (s *Servers) Close() {
	for _, n := range s.All {
		n.stop()
	}
	s.running.Wait()
}
