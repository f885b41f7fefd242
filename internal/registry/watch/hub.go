// Package watch wakes and answers the clients that watch the endpoint list. It decides nothing about the list: it reads it
// from a Source.
//
// An answer is encoded once, however many clients wait for it: all clients at one version share its bytes. All are woken by
// one closed channel and each is written to on its own connection, so that a slow client delays nobody.
//
// A change wakes the clients at once if the last wake-up was at least CoalesceInterval ago, and otherwise together with all
// changes until then.
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"merlinpick/internal/registry/state"
)

// CoalesceInterval is the shortest time between two wake-ups, and the longest delay of a change.
const CoalesceInterval = 50 * time.Millisecond

const maxCachedResponses = 64 // encoded changes, each from another version

// Source is the list. Each call reads one version.
type Source interface {
	Version() (epoch string, version int64)
	Snapshot() (epoch string, version int64, endpoints []state.Endpoint)
	// Changes returns the versions after from; false: some are no longer retained, or from is not reached yet.
	Changes(from int64) (epoch string, version int64, changes []state.Change, retained bool)
}

// Hub wakes clients and encodes their answers. It is safe for concurrent use.
type Hub struct {
	source  Source
	pending chan struct{}

	mu           sync.Mutex
	changed      chan struct{} // closed at the next wake-up
	epoch        string        // of the cached responses
	version      int64
	snapshot     []byte
	changesSince map[int64][]byte // by the version that the client has
	encoded      int64
}

// New returns a hub. Its Run wakes clients.
func New(source Source) *Hub {
	return &Hub{source: source, pending: make(chan struct{}, 1), changed: make(chan struct{}), changesSince: map[int64][]byte{}}
}

// NotifyChange has Run wake the clients. It does not block.
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

// Encoded returns how many answers were encoded.
func (h *Hub) Encoded() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encoded
}

// Snapshot returns the encoded Response with the whole list.
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

// ChangesSince returns the encoded Response with what changed after a version, or with the whole list if those changes are
// no longer retained.
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

// dropOutdated drops cached responses of another version.
func (h *Hub) dropOutdated(epoch string, version int64) {
	if epoch != h.epoch || version != h.version {
		h.epoch, h.version, h.snapshot = epoch, version, nil
		clear(h.changesSince)
	}
}

// MergeChanges returns the last state of each endpoint that changed, in the order of these last changes.
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

// Response is an answer in the published form, with the epoch beside it.
type Response struct {
	Version   int64            `json:"index"`
	Snapshot  bool             `json:"snapshot"` // Endpoints are the whole list
	Epoch     string           `json:"line"`
	Endpoints []state.Endpoint `json:"endpoints"`
}

// Encode returns the answer's JSON.
func (r Response) Encode() []byte {
	if r.Endpoints == nil {
		r.Endpoints = []state.Endpoint{}
	}
	var text bytes.Buffer
	encoder := json.NewEncoder(&text)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(r); err != nil {
		panic(err) // strings and checked numbers
	}
	return text.Bytes()
}
