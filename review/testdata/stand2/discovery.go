package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an endpoint in the list, as PROTOCOL gives it.
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

// listMessage is an answer of discovery.
type listMessage struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []entry `json:"endpoints"`
}

// catalog is the list of nodos, with its versions.
type catalog struct {
	lab *lab

	mu      sync.Mutex
	index   int64
	entries map[string]entry
	order   []string
	changed map[string]int64 // index of the last change, by name; a deleted entry stays
	news    chan struct{}    // closed at the next change
}

func newCatalog(l *lab) *catalog {
	return &catalog{lab: l, index: 40, entries: map[string]entry{}, changed: map[string]int64{}, news: make(chan struct{})}
}

// put changes entries in one version.
func (c *catalog) put(entries ...entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index++
	for _, e := range entries {
		if _, known := c.entries[e.Name]; !known {
			c.order = append(c.order, e.Name)
		}
		c.entries[e.Name], c.changed[e.Name] = e, c.index
		c.lab.log("discovery: version %d, %s is %s at %s", c.index, e.Name, e.Status, e.Address)
	}
	close(c.news)
	c.news = make(chan struct{})
}

// setStatus changes the status of one nodo.
func (c *catalog) setStatus(name, status string) {
	c.mu.Lock()
	e := c.entries[name]
	c.mu.Unlock()
	e.Status = status
	c.put(e)
}

// since returns the changes after a version; a negative one asks for the whole list.
func (c *catalog) since(version int64) (list listMessage, news chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list = listMessage{Index: c.index, Snapshot: version < 0, Endpoints: []entry{}}
	for _, name := range c.order {
		e := c.entries[name]
		if version < 0 && e.Status != "DELETED" || version >= 0 && c.changed[name] > version {
			list.Endpoints = append(list.Endpoints, e)
		}
	}
	return list, c.news
}

// whole returns the whole list as it is now.
func (c *catalog) whole() *listMessage {
	list, _ := c.since(-1)
	return &list
}

// front is discovery at the address that one proxy has of it.
type front struct {
	catalog *catalog
	caller  string
	address string
	// answer, if set, may answer a call in place of the catalog; it returns whether it has.
	answer func(w http.ResponseWriter, r *http.Request) bool
	// onAnswered, if set, is called when an answer of the catalog has been written.
	onAnswered func()

	mu     sync.Mutex
	server *http.Server
	told   map[string]time.Time // by NAME STATUS, when it was first written
}

// newFront starts discovery for one proxy.
func (c *catalog) newFront(caller string) *front {
	f := &front{catalog: c, caller: caller, address: freeAddress(), told: map[string]time.Time{}}
	f.up()
	return f
}

// up makes discovery reachable.
func (f *front) up() {
	var listener net.Listener
	require(await(3*time.Second, func() (ok bool) {
		var err error
		listener, err = net.Listen("tcp", f.address)
		return err == nil
	}), "discovery's address is in use")
	server := &http.Server{Handler: f}
	f.mu.Lock()
	f.server = server
	f.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	f.catalog.lab.log("discovery for %s: up at %s", f.caller, f.address)
}

// down ends all calls, and refuses further ones.
func (f *front) down() {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.server.Close()
	f.catalog.lab.log("discovery for %s: down", f.caller)
}

// stop ends discovery at the end of a case.
func (f *front) stop() { _ = f.server.Shutdown(context.Background()) }

// ServeHTTP answers a call: the whole list, or a watch.
func (f *front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	if f.answer != nil && f.answer(w, r) {
		return
	}
	from := int64(-1)
	if text := r.URL.Query().Get("from"); text != "" {
		from, _ = strconv.ParseInt(text, 10, 64)
	}
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	hold := time.After(time.Duration(holdMs) * time.Millisecond)
	list, news := f.catalog.since(from)
	for from >= 0 && len(list.Endpoints) == 0 {
		select {
		case <-news:
			list, news = f.catalog.since(from)
			continue
		case <-hold:
		case <-r.Context().Done():
			return
		}
		break
	}
	text, err := json.Marshal(list)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(text)
	if err != nil {
		return
	}
	if f.onAnswered != nil {
		f.onAnswered()
	}
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range list.Endpoints {
		if key := e.Name + " " + e.Status; f.told[key].IsZero() {
			f.told[key] = now
			if e.Status != "SERVING" {
				f.catalog.lab.log("discovery told %s: %s is %s", f.caller, e.Name, e.Status)
			}
		}
	}
}

// toldAt returns when a proxy was first told of a status; zero: never.
func (f *front) toldAt(name, status string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.told[name+" "+status]
}
