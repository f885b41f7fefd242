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
type List struct {
	Addr string

	http  *http.Server
	sent  atomic.Int64 // bytes of answers, heads not counted
	calls atomic.Int64

	mu       sync.Mutex
	index    int64
	snapshot int64 // a watch from below this version gets the whole list
	servers  []entry
	changed  []change
	next     chan struct{} // closed at the next version
}

type change struct {
	index int64
	entry entry
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// ListenList serves the list of these servers.
func ListenList(nodos *Servers) (*List, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("list: %w", err)
	}
	s := &List{Addr: l.Addr().String(), index: 1, next: make(chan struct{})}
	for _, n := range nodos.All {
		s.servers = append(s.servers, entry{Name: n.Name, Address: n.Addr, Zone: zoneName(n.Zone), Type: "m2", Group: n.Zone,
			Status: "SERVING", Weight: 1})
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }() // it ends with Close
	return s, nil
}

// Close ends the service and its watches.
func (s *List) Close() { s.http.Close() }

// Whole makes a new version that every watch gets as the whole list, though nothing has changed.
func (s *List) Whole() { s.turn(func() { s.snapshot = s.index }) }

// Zone lists the servers of a zone as there or as gone.
func (s *List) Zone(zone int, there bool) {
	s.turn(func() {
		for i := range s.servers {
			if e := &s.servers[i]; e.Zone == zoneName(zone) {
				if e.Status = "DELETED"; there {
					e.Status, e.SinceMs = "SERVING", time.Now().UnixMilli()
				}
				s.changed = append(s.changed, change{s.index, *e})
			}
		}
	})
}

// Touch makes a new version in which one server's entry is told anew with another start.
func (s *List) Touch(i int) {
	s.turn(func() {
		e := &s.servers[i%len(s.servers)]
		e.SinceMs++
		s.changed = append(s.changed, change{s.index, *e})
	})
}

func (s *List) turn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	f()
	close(s.next)
	s.next = make(chan struct{})
}

func (s *List) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.calls.Add(1)
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	s.mu.Lock()
	next := s.next
	waits := from == s.index
	s.mu.Unlock()
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
	body := s.since(from)
	s.sent.Add(int64(len(body)))
	_, _ = w.Write(body)
}

// since is what there is to tell one that holds a version.
func (s *List) since(from int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := struct {
		Index     int64   `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{s.index, from < s.snapshot || from < 0, []entry{}}
	for _, e := range s.servers {
		if out.Snapshot && e.Status != "DELETED" {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for _, c := range s.changed {
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
