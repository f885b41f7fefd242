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

// entry is an endpoint in the registry's protocol.
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

// Registry is a stub registry: it serves complete lists, and long polls that wait for the next version.
type Registry struct {
	Addr string

	http      *http.Server
	bytesSent atomic.Int64 // of response bodies
	calls     atomic.Int64

	mu       sync.Mutex
	index    int64 // the current version
	snapshot int64 // a watch from below this version gets the complete list
	entries  []entry
	changes  []change
	updated  chan struct{} // closed when the next version is published
}

// change is an entry that changed in a version.
type change struct {
	index int64
	entry entry
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i) }

// StartRegistry starts a registry with all servers on a port of 127.0.0.1.
func StartRegistry(servers *Servers) (*Registry, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start the registry: %w", err)
	}
	reg := &Registry{Addr: listener.Addr().String(), index: 1, updated: make(chan struct{})}
	for _, s := range servers.All {
		reg.entries = append(reg.entries,
			entry{Name: s.Name, Address: s.Addr, Zone: zoneName(s.Zone), Type: "m2", Group: s.Zone,
				Status: "SERVING", Weight: 1})
	}
	reg.http = &http.Server{Handler: reg}
	go func() { _ = reg.http.Serve(listener) }() // ends with Close
	return reg, nil
}

// Close stops the registry and its watches.
func (reg *Registry) Close() { reg.http.Close() }

// PublishSnapshot publishes a version without changes that every watch gets as the complete list.
func (reg *Registry) PublishSnapshot() { reg.publish(func() { reg.snapshot = reg.index }) }

// SetZoneListed publishes a version in which the servers of a zone are listed as serving or as deleted.
func (reg *Registry) SetZoneListed(zone int, listed bool) {
	reg.publish(func() {
		for i := range reg.entries {
			if e := &reg.entries[i]; e.Zone == zoneName(zone) {
				if e.Status = "DELETED"; listed {
					e.Status, e.SinceMs = "SERVING", time.Now().UnixMilli()
				}
				reg.changes = append(reg.changes, change{reg.index, *e})
			}
		}
	})
}

// TouchEntry publishes a version in which server i, modulo the number of servers, has another start time.
func (reg *Registry) TouchEntry(i int) {
	reg.publish(func() {
		e := &reg.entries[i%len(reg.entries)]
		e.SinceMs++
		reg.changes = append(reg.changes, change{reg.index, *e})
	})
}

// publish makes a new version, whose changes change makes, and wakes the watches.
func (reg *Registry) publish(change func()) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	reg.index++
	change()
	close(reg.updated)
	reg.updated = make(chan struct{})
}

// ServeHTTP answers a watch from a version. If that is the current one, it waits up to hold_ms for the next
// one.
func (reg *Registry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	reg.calls.Add(1)
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		from = -1
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	reg.mu.Lock()
	next := reg.updated
	isCurrent := from == reg.index
	reg.mu.Unlock()
	if isCurrent {
		timer := time.NewTimer(time.Duration(hold) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-next:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	body := reg.changesSince(from)
	reg.bytesSent.Add(int64(len(body)))
	_, _ = w.Write(body)
}

// changesSince returns the response to a watch from a version: the changes since then, or the complete list.
func (reg *Registry) changesSince(from int64) []byte {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	out := struct {
		Index     int64   `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []entry `json:"endpoints"`
	}{reg.index, from < reg.snapshot || from < 0, []entry{}}
	for _, e := range reg.entries {
		if out.Snapshot && e.Status != "DELETED" {
			out.Endpoints = append(out.Endpoints, e)
		}
	}
	for _, c := range reg.changes {
		if !out.Snapshot && c.index > from {
			out.Endpoints = append(out.Endpoints, c.entry)
		}
	}
	text, err := json.Marshal(out)
	if err != nil {
		panic(err) // impossible: the response has only strings and numbers
	}
	return text
}
