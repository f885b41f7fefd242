package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// endpoint and list have the form of PROTOCOL.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

type list struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

// maxWait is how long a call may wait for its turn: [discovery] timeout_ms of npc-main.
const maxWait = 3 * time.Second

// platform is the discovery service: whole lists, and watches that are answered with the changes.
type platform struct {
	address string
	server  *http.Server

	mu      sync.Mutex
	index   int64
	now     map[string]endpoint
	order   []string
	changes []change
	changed chan struct{}

	// crowdedUntil is until when more calls wait for their turn than are served within maxWait.
	crowdedUntil time.Time
	turnedAway   int // calls that waited for maxWait
}

type change struct {
	index int64
	entry endpoint
}

func startPlatform(entries []endpoint) *platform {
	p := &platform{address: freeAddress(), index: 41, now: map[string]endpoint{}, changed: make(chan struct{})}
	for _, e := range entries {
		p.now[e.Name] = e
		p.order = append(p.order, e.Name)
	}
	p.up()
	return p
}

// up opens the address.
func (p *platform) up() {
	l, err := net.Listen("tcp", p.address)
	must(err)
	p.server = &http.Server{Handler: p}
	go func() { _ = p.server.Serve(l) }()
}

// down closes the address and all connections, as when the process has died.
func (p *platform) down() { _ = p.server.Close() }

// crowd lets calls wait in vain until the time.
func (p *platform) crowd(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crowdedUntil = until
}

// awaitTurn waits for a call's turn. It returns false if that has not come after maxWait. A watch that follows
// an answer at once needs none; the crowd begins after an outage, so that there are no such watches in it.
func (p *platform) awaitTurn() bool {
	p.mu.Lock()
	wait := time.Until(p.crowdedUntil)
	p.mu.Unlock()
	time.Sleep(min(wait, maxWait))
	if wait <= maxWait {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.turnedAway++
	return false
}

// set changes an entry of the list.
func (p *platform) set(e endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.index++
	p.now[e.Name] = e
	p.changes = append(p.changes, change{p.index, e})
	close(p.changed)
	p.changed = make(chan struct{})
}

// whole returns the whole list.
func (p *platform) whole() list {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := list{Index: p.index, Snapshot: true, Endpoints: []endpoint{}}
	for _, name := range p.order {
		out.Endpoints = append(out.Endpoints, p.now[name])
	}
	return out
}

func (p *platform) since(from int64) (out list, next <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out = list{Index: p.index, Endpoints: []endpoint{}}
	for _, c := range p.changes {
		if c.index > from {
			out.Endpoints = append(out.Endpoints, c.entry)
		}
	}
	return out, p.changed
}

func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if !p.awaitTurn() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	out := p.whole()
	if from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64); err == nil {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		end := time.After(time.Duration(min(hold, 60000)) * time.Millisecond)
		for waiting := true; waiting; {
			var next <-chan struct{}
			if out, next = p.since(from); len(out.Endpoints) > 0 {
				break
			}
			select {
			case <-next:
			case <-end:
				waiting = false
			case <-r.Context().Done():
				return
			}
		}
	}
	text, err := json.Marshal(out)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}
