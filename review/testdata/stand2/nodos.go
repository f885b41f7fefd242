package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that reached a nodo.
type arrival struct {
	at       time.Time
	id       string
	key      string
	executed bool
}

// nodo is a stand-in for a server. It serves each request after its work.
type nodo struct {
	lab  *lab
	name string
	zone string
	addr string
	work time.Duration
	// handle, if set, answers in place of the nodo after its work; it returns whether it has.
	handle func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu       sync.Mutex
	arrivals []arrival
	draining bool
	server   *http.Server
}

// newNodo starts a nodo.
func (l *lab) newNodo(name, zone string, work time.Duration) *nodo {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &nodo{lab: l, name: name, zone: zone, addr: listener.Addr().String(), work: work}
	n.server = &http.Server{Handler: n, IdleTimeout: 5 * time.Second}
	go func() { _ = n.server.Serve(listener) }()
	return n
}

// entry returns the nodo's entry in the list.
func (n *nodo) entry() entry {
	return entry{Name: n.name, Address: n.addr, Zone: n.zone, Type: "entrada-medio", Group: 1, Status: "SERVING", Weight: 1}
}

// ServeHTTP begins a request when its last byte has arrived.
func (n *nodo) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	n.mu.Lock()
	draining := n.draining
	n.arrivals = append(n.arrivals, arrival{at: at, id: r.Header.Get("Request-Id"), key: r.Header.Get("Idempotency-Key"), executed: !draining})
	n.mu.Unlock()
	if draining {
		w.Header().Set("Not-Started", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case <-time.After(n.work):
	case <-r.Context().Done():
		return
	}
	if n.handle != nil && n.handle(w, r, body) {
		return
	}
	fmt.Fprintf(w, "%s served %s", n.name, r.Header.Get("Request-Id"))
}

// drain makes the nodo turn away what is new. It stays up.
func (n *nodo) drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	n.lab.log("%s drains", n.name)
}

// after returns the requests that came to the nodo after a time.
func (n *nodo) after(t time.Time) (late []arrival) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.arrivals {
		if a.at.After(t) {
			late = append(late, a)
		}
	}
	return late
}

// startNodos starts so many nodos in each zone.
func (l *lab) startNodos(c *catalog, each int, work time.Duration) (nodos []*nodo) {
	var entries []entry
	for _, zone := range siteZones {
		for i := range each {
			n := l.newNodo(fmt.Sprintf("s-%s%d", zone[:1], i+1), zone, work)
			nodos = append(nodos, n)
			entries = append(entries, n.entry())
		}
	}
	c.put(entries...)
	return nodos
}
