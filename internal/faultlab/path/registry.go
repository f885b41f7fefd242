package path

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// List is a stand-in list service: whole lists, and watches that wait for the next version.
type Registry struct {
	Addr string

	http      *http.Server
	bytesSent atomic.Int64 // bytes of answers, heads not counted
	calls     atomic.Int64

	mu       sync.Mutex
	index    int64
	snapshot int64 // a watch from below this version gets the whole list
	entries  []entry
	changes  []change
	updated  chan struct{} // closed at the next version
}

type change struct {
	index int64
	entry entry
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// ListenList serves the list of these servers.
func StartRegistry(nodos *Servers) (*Registry, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	s := &Registry{Addr: l.Addr().String(), index: 1, updated: make(chan struct{})}
	for _, n := range nodos.All {
		s.entries = append(s.entries, entry{Name: n.Name, Address: n.Addr, Zone: zoneName(n.Zone), Type: "m2", Group: n.Zone,
			Status: "SERVING", Weight: 1})
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // it ends with Close
	return s, nil
}

// Close ends the service and its watches.
func (l *Registry) Close() { l.http.Close() }

// Whole makes a new version that every watch gets as the whole list, though nothing has changed.
func (l *Registry) PublishSnapshot() { l.publish(func() { l.snapshot = l.index }) }

// Zone lists the servers of a zone as there or as gone.
func (l *Registry) SetZoneListed(zone int, there bool) {
	l.publish(func() {
		for i := range l.entries {
			if e := &l.entries[i]; e.Zone == zoneName(zone) {
				if e.Status = "DELETED"; there {
					e.Status, e.SinceMs = "SERVING", time.Now().UnixMilli()
				}
				l.changes = append(l.changes, change{l.index, *e})
			}
		}
	})
}

// Touch makes a new version in which one server's entry is told anew with another start.
func (l *Registry) TouchEntry(i int) {
	l.publish(func() {
		e := &l.entries[i%len(l.entries)]
		e.SinceMs++
		l.changes = append(l.changes, change{l.index, *e})
	})
}

func (l *Registry) publish(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	f()
	close(l.updated)
	l.updated = make(chan struct{})
}

func (l *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.calls.Add(1)
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	l.mu.Lock()
	next := l.updated
	waits := from == l.index
	l.mu.Unlock()
	if waits {
		over := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer over.Stop()
		select {
		case <-next:
		case <-over.C:
		case <-r.Context().Done():
			return
		}
	}
	body := l.changesSince(from)
	l.bytesSent.Add(int64(len(body)))
	_, _ = w.Write(body)
}

// since is what there is to tell one that holds a version.
func (l *Registry) changesSince(from int64) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := struct {
		Index     int64   `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{l.index, from < l.snapshot || from < 0, []entry{}}
	for _, e := range l.entries {
		if out.Snapshot && e.Status != "DELETED" {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for _, c := range l.changes {
		if !out.Snapshot && c.index > from {
			out.Endpoints = append(out.Endpoints, c.entry)
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // strings and numbers
	}
	return text
}
