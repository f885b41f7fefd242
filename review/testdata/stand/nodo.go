package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// nodo is a server of PROTOCOL. It reads a request to its last byte, works for some time, and answers 200 with
// a body that names the request.
type nodo struct {
	name, zone, address string
	work                time.Duration
	receiving           atomic.Int64 // requests whose body is not complete
	silent              atomic.Bool  // it neither reads nor writes, as a machine that is cut off
	record              *record
	answer              func(id string) []byte // the body of an answer; nil: the id

	mu   sync.Mutex
	runs map[string]int // by request id
}

func startNodo(name, zone string, work time.Duration, rec *record) *nodo {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &nodo{name: name, zone: zone, address: l.Addr().String(), work: work, record: rec, runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.serve(c)
		}
	}()
	return n
}

func (n *nodo) endpoint(status string) endpoint {
	return endpoint{Name: n.name, Address: n.address, Zone: n.zone, Type: "entrada-medio", Group: 0, Status: status, Weight: 1}
}

// awaitSound returns once the nodo is not silent.
func (n *nodo) awaitSound() {
	for n.silent.Load() {
		time.Sleep(2 * time.Millisecond)
	}
}

// silentReader reads from a connection, and takes nothing while the nodo is silent.
type silentReader struct {
	nodo *nodo
	conn net.Conn
}

func (r silentReader) Read(p []byte) (int, error) {
	for {
		r.nodo.awaitSound()
		_ = r.conn.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		n, err := r.conn.Read(p)
		if ne, ok := err.(net.Error); ok && ne.Timeout() && n == 0 {
			continue
		}
		return n, err
	}
}

func (n *nodo) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(silentReader{n, c})
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Request-Id")
		n.receiving.Add(1)
		size, err := io.Copy(io.Discard, request.Body)
		n.receiving.Add(-1)
		if err != nil {
			n.record.add("nodo %s: request %s broke off after %d bytes of its body: %v", n.name, id, size, err)
			return
		}
		n.mu.Lock()
		n.runs[id]++
		n.mu.Unlock()
		if size > 1 {
			n.record.add("nodo %s: runs %s (body %d bytes, told it has %s ms)", n.name, id, size, request.Header.Get("Request-Timeout-Ms"))
		}
		time.Sleep(n.work)
		n.awaitSound()
		body := []byte(id)
		if n.answer != nil {
			body = n.answer(id)
		}
		head := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		if _, err := (&net.Buffers{head, body}).WriteTo(c); err != nil {
			return
		}
	}
}

// ran returns how often a request has run.
func (n *nodo) ran(id string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.runs[id]
}
