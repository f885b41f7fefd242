package path

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"sync"
)

// response is the answer of every stub server. Servers answer at once, so that only the path is measured.
const response = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"

// Server is a stub server with a listener of its own on 127.0.0.1.
type Server struct {
	Name string
	Zone int
	Addr string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// Servers holds the stub servers, spread evenly over zones.
type Servers struct {
	All     []*Server
	Zones   int
	running sync.WaitGroup
}

// StartServers starts n servers.
func StartServers(n, zones int) (*Servers, error) {
	s := &Servers{Zones: zones}
	for i := range n {
		server := &Server{Name: fmt.Sprintf("s%d", i), Zone: i % zones, Addr: "127.0.0.1:0"}
		if err := s.listen(server); err != nil {
			s.Close()
			return nil, err
		}
		s.All = append(s.All, server)
	}
	return s, nil
}

// listen starts a server at its address. The port is 0 for the first start, which picks a free one.
func (s *Servers) listen(server *Server) error {
	listener, err := net.Listen("tcp", server.Addr)
	if err != nil {
		return fmt.Errorf("server %s of %d at %s: %w (each takes a port and a descriptor: see ulimit -n)", server.Name, len(s.All), server.Addr, err)
	}
	server.mu.Lock()
	server.listener, server.Addr, server.conns = listener, listener.Addr().String(), map[net.Conn]bool{}
	server.mu.Unlock()
	s.running.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			server.mu.Lock()
			current := server.listener == listener
			if current {
				server.conns[c] = true
			}
			server.mu.Unlock()
			if !current {
				c.Close()
				continue
			}
			s.running.Go(func() { server.serve(c) })
		}
	})
	return nil
}

// serve answers the requests of a connection, which have no body.
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

// skipHead reads a message's head up to and including the empty line.
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

// stop has the effect of the end of a server's process: connections are reset, and new ones refused.
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

// StopZone stops the servers of a zone.
func (s *Servers) StopZone(zone int) {
	for _, server := range s.All {
		if server.Zone == zone {
			server.stop()
		}
	}
}

// RestartZone restarts the servers of a zone at their addresses.
func (s *Servers) RestartZone(zone int) error {
	for _, server := range s.All {
		if server.Zone == zone {
			if err := s.listen(server); err != nil {
				return err
			}
		}
	}
	return nil
}

// Close stops all servers and waits for their connections.
func (s *Servers) Close() {
	for _, server := range s.All {
		server.stop()
	}
	s.running.Wait()
}
