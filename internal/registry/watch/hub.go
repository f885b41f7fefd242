// Package fanout tells callers of changes. An answer is encoded once, whoever and however many wait for it: all callers
// at one version share its bytes, and each is woken by the same closed channel and writes at its own speed, so that a
// slow reader delays nobody.
//
// A change wakes the callers at once if the last one did so at least Settle ago, and else with what else has changed by
// then: a list that changes a hundred times a second is told twenty times a second, and costs its callers that much.
package watch

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"merlinpick/internal/registry/state"
)

// Settle is the least time between two wake-ups; a change is told this much late at most.
const CoalesceInterval = 50 * time.Millisecond

// bodiesMost bounds the answers that are kept: callers at so many different versions share theirs.
const maxCachedResponses = 64

// Source is the list. Each call sees one version whole.
type Source interface {
	Version() (line string, index int64)
	Snapshot() (line string, index int64, entries []state.Endpoint)
	// Changes are the versions after from; false: not all are kept, or there is no such version.
	Changes(from int64) (line string, index int64, changes []state.Change, kept bool)
}

// Hub tells callers.
type Hub struct {
	source  Source
	pending chan struct{}

	mu           sync.Mutex
	changed      chan struct{} // closed at the next wake-up
	epoch        string        // of the kept answers
	version      int64
	snapshot     []byte
	changesSince map[int64][]byte
	encoded      int64
}

// New is a hub; its Run wakes callers.
func New(src Source) *Hub {
	return &Hub{source: src, pending: make(chan struct{}, 1), changed: make(chan struct{}), changesSince: map[int64][]byte{}}
}

// Changed has callers be woken. It never waits.
func (h *Hub) NotifyChange() {
	select {
	case h.pending <- struct{}{}:
	default:
	}
}

// Run wakes callers until the context ends.
func (h *Hub) Run(ctx context.Context) {
	for {
		select {
		case <-h.pending:
		case <-ctx.Done():
			h.wake()
			return
		}
		h.wake()
		select {
		case <-time.After(CoalesceInterval):
		case <-ctx.Done():
			h.wake()
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

// Await is closed when something has changed after this call: a version, or what a member knows of its own freshness.
func (h *Hub) Wait() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Encoded counts the answers that were encoded.
func (h *Hub) Encoded() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.encoded
}

// Whole is the whole list in the published form.
func (h *Hub) Snapshot() []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	line, index := h.source.Version()
	h.invalidate(line, index)
	if h.snapshot == nil {
		line, index, entries := h.source.Snapshot()
		h.invalidate(line, index)
		h.snapshot = Response{index, true, line, entries}.Encode()
		h.encoded++
	}
	return h.snapshot
}

// Since is what has changed after from, or the whole list where that is no longer known.
func (h *Hub) ChangesSince(from int64) []byte {
	h.mu.Lock()
	line, index := h.source.Version()
	h.invalidate(line, index)
	if body := h.changesSince[from]; body != nil {
		h.mu.Unlock()
		return body
	}
	line, index, changes, kept := h.source.Changes(from)
	if !kept {
		h.mu.Unlock()
		return h.Snapshot()
	}
	defer h.mu.Unlock()
	h.invalidate(line, index)
	body := Response{index, false, line, MergeChanges(changes)}.Encode()
	h.encoded++
	if len(h.changesSince) < maxCachedResponses {
		h.changesSince[from] = body
	}
	return body
}

// at forgets the answers of another version.
func (h *Hub) invalidate(line string, index int64) {
	if line != h.epoch || index != h.version {
		h.epoch, h.version, h.snapshot = line, index, nil
		clear(h.changesSince)
	}
}

// Merge is the last word on each nodo that changed, in the order of these words.
func MergeChanges(changes []state.Change) []state.Endpoint {
	last := map[string]int{}
	n := 0
	for _, c := range changes {
		for _, e := range c.Endpoints {
			last[e.Name] = n
			n++
		}
	}
	out := make([]state.Endpoint, 0, len(last))
	n = 0
	for _, c := range changes {
		for _, e := range c.Endpoints {
			if last[e.Name] == n {
				out = append(out, e)
			}
			n++
		}
	}
	return out
}

// Answer is an answer in the published form, with the line beside it.
type Response struct {
	Version   int64            `json:"index"`
	Snapshot  bool             `json:"snapshot"`
	Epoch     string           `json:"line"`
	Endpoints []state.Endpoint `json:"endpoints"`
}

// Encode is the answer's text.
func (a Response) Encode() []byte {
	if a.Endpoints == nil {
		a.Endpoints = []state.Endpoint{}
	}
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(a); err != nil {
		panic(err) // strings and checked numbers
	}
	return b.Bytes()
}
