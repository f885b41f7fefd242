// Package watch wakes the watches of the endpoint list and encodes the responses to them. It reads the list
// from a Source and does not change it.
//
// A response is encoded once, however many clients wait for it: all clients at one version share its bytes.
// One closed channel wakes all clients, and each gets its response on its own connection, so that a slow
// client delays no other.
//
// A change wakes the clients at once if the last wake-up was at least CoalesceInterval ago. Otherwise the
// wake-up waits until then and covers all changes up to that time.
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"merlinpick/internal/registry/state"
)

// CoalesceInterval is the shortest time between two wake-ups, and so the longest time that a change is
// delayed.
const CoalesceInterval = 50 * time.Millisecond

const maxCachedResponses = 64 // encoded changes, each since another version

// Source provides the list. Each call returns the data of a single version.
type Source interface {
	// Version returns the list's epoch and newest version.
	Version() (epoch string, version int64)
	// Snapshot returns the whole list.
	Snapshot() (epoch string, version int64, endpoints []state.Endpoint)
	// Changes returns the versions after from. It returns false if some are no longer retained or the list
	// has not reached from yet.
	Changes(from int64) (epoch string, version int64, changes []state.Change, retained bool)
}

// Hub wakes clients and encodes the responses to them. It is safe for concurrent use.
type Hub struct {
	source  Source
	pending chan struct{}

	mu           sync.Mutex
	changed      chan struct{} // closed at the next wake-up
	epoch        string        // of the cached responses
	version      int64
	snapshot     []byte           // cached response with the whole list; nil: none
	changesSince map[int64][]byte // cached responses by the version that the client has
	encoded      int64            // number of responses encoded
}

// New returns a hub for the list of a source. Clients are woken while Run runs.
func New(source Source) *Hub {
	return &Hub{source: source, pending: make(chan struct{}, 1), changed: make(chan struct{}), changesSince: map[int64][]byte{}}
}

// NotifyChange makes Run wake the clients. It does not block.
func (h *Hub) NotifyChange() {
	select {
	case h.pending <- struct{}{}:
	default:
	}
}

// Run wakes clients until ctx ends, and then once more.
func (h *Hub) Run(ctx context.Context) {
	defer h.wake()
	for {
		select {
		case <-h.pending:
		case <-ctx.Done():
			return
		}
		h.wake()
		select {
		case <-time.After(CoalesceInterval):
		case <-ctx.Done():
			return
		}
	}
}

func (h *Hub) wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the first wake-up after the call.
func (h *Hub) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Encoded returns how many responses were encoded.
func (h *Hub) Encoded() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encoded
}

// Snapshot returns the encoded Response that holds the whole list.
func (h *Hub) Snapshot() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOutdated(h.source.Version())
	if h.snapshot == nil {
		epoch, version, endpoints := h.source.Snapshot()
		h.dropOutdated(epoch, version)
		h.snapshot = Response{version, true, epoch, endpoints}.Encode()
		h.encoded++
	}
	return h.snapshot
}

// ChangesSince returns the encoded Response that holds the changes after a version, or the whole list if
// those changes are no longer retained.
func (h *Hub) ChangesSince(from int64) []byte {
	if body, retained := h.encodedChanges(from); retained {
		return body
	}
	return h.Snapshot()
}

func (h *Hub) encodedChanges(from int64) (body []byte, retained bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dropOutdated(h.source.Version())
	if body := h.changesSince[from]; body != nil {
		return body, true
	}
	epoch, version, changes, retained := h.source.Changes(from)
	if !retained {
		return nil, false
	}
	h.dropOutdated(epoch, version)
	body = Response{version, false, epoch, MergeChanges(changes)}.Encode()
	h.encoded++
	if len(h.changesSince) < maxCachedResponses {
		h.changesSince[from] = body
	}
	return body, true
}

// dropOutdated drops the cached responses if they are of another epoch or version.
func (h *Hub) dropOutdated(epoch string, version int64) {
	if epoch != h.epoch || version != h.version {
		h.epoch, h.version, h.snapshot = epoch, version, nil
		clear(h.changesSince)
	}
}

// MergeChanges returns the last state of each endpoint that changed, in the order of each endpoint's last
// change.
func MergeChanges(changes []state.Change) []state.Endpoint {
	last := map[string]int{} // position of an endpoint's last change, by name
	position := 0
	for _, c := range changes {
		for _, e := range c.Endpoints {
			last[e.Name] = position
			position++
		}
	}
	merged := make([]state.Endpoint, 0, len(last))
	position = 0
	for _, c := range changes {
		for _, e := range c.Endpoints {
			if last[e.Name] == position {
				merged = append(merged, e)
			}
			position++
		}
	}
	return merged
}

// Response is the published form of the list or of its changes, with the epoch added.
type Response struct {
	Version   int64            `json:"index"`
	Snapshot  bool             `json:"snapshot"` // whether Endpoints is the whole list or only the changes
	Epoch     string           `json:"line"`
	Endpoints []state.Endpoint `json:"endpoints"`
}

// Encode returns the response's JSON.
func (r Response) Encode() []byte {
	if r.Endpoints == nil {
		r.Endpoints = []state.Endpoint{}
	}
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		panic(err) // cannot happen: all fields are strings and finite numbers
	}
	return text.Bytes()
}
