package proxy

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"merlinpick/internal/proxy/handover"
)

const (
	// executedIDWindow is for how long at least an ID is remembered. Clients give up, and come again, sooner.
	executedIDWindow = 15 * time.Second
	// maxExecutedIDs is how many IDs are remembered at most in executedIDWindow.
	maxExecutedIDs = 1 << 16
)

// executedIDs remembers the IDs of requests that may have been executed and must not be executed twice, as hashes.
// It forgets each one or two windows after it was added. It has no clock: times are on the loop's clock. It is not
// safe for concurrent use.
type executedIDs struct {
	current, previous map[uint64]struct{}
	rotatedAt         int64 // when current was begun, in microseconds
}

func newExecutedIDs() *executedIDs { return &executedIDs{current: map[uint64]struct{}{}} }

// hashID returns the hash by which an ID is remembered.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// add remembers an ID by its hash.
func (e *executedIDs) add(now int64, hash uint64) {
	e.rotate(now)
	e.current[hash] = struct{}{}
}

// remove forgets an ID, whose request has turned out not to have been executed.
func (e *executedIDs) remove(hash uint64) {
	delete(e.current, hash)
	delete(e.previous, hash)
}

// contains reports whether an ID is remembered.
func (e *executedIDs) contains(now int64, hash uint64) bool {
	e.rotate(now)
	_, current := e.current[hash]
	_, previous := e.previous[hash]
	return current || previous
}

// all returns the hashes of all IDs that are remembered.
func (e *executedIDs) all(now int64) []uint64 {
	e.rotate(now)
	return slices.AppendSeq(slices.Collect(maps.Keys(e.previous)), maps.Keys(e.current))
}

// rotate forgets the IDs of the window before the last one.
func (e *executedIDs) rotate(now int64) {
	age := time.Duration(now-e.rotatedAt) * time.Microsecond
	if age < executedIDWindow && len(e.current) < maxExecutedIDs {
		return
	}
	e.previous = e.current
	if age >= 2*executedIDWindow {
		e.previous = nil
	}
	e.current, e.rotatedAt = map[uint64]struct{}{}, now
}

// executionRecord is what the loop knows of executed requests, and how it tells the proxy's other process.
type executionRecord struct {
	ids   *executedIDs
	share func(handover.Execution) // does not block; nil: there is no other process
}

// shareIfPossible tells the proxy's other process about a request, if there can be one.
func (e *executionRecord) shareIfPossible(update handover.Execution) {
	if e.share != nil {
		e.share(update)
	}
}

// noteAttempt tells the proxy's other process that a request is about to be executed.
func (l *eventLoop) noteAttempt(r *request) {
	if !isIdempotent(r.Request) {
		l.executions.shareIfPossible(handover.Execution{ID: hashID(r.ID), Executed: true})
	}
}

// noteEnd remembers the ID of a request that has ended, if it may have been executed and must not be again.
func (l *eventLoop) noteEnd(r *request) {
	if isIdempotent(r.Request) || r.recordedAttempts == 0 {
		return
	}
	hash := hashID(r.ID)
	if r.mayBeExecuted {
		l.executions.ids.add(l.clock.now(), hash)
	} else {
		l.executions.shareIfPossible(handover.Execution{ID: hash})
	}
}

// executedRequests returns the hashes of the IDs of all requests that may have been executed, or may be in a moment,
// and must not be executed twice.
func (l *eventLoop) executedRequests() []uint64 {
	hashes := l.executions.ids.all(l.clock.now())
	for id, r := range l.requests {
		if !isIdempotent(r.Request) && r.recordedAttempts > 0 {
			hashes = append(hashes, hashID(id))
		}
	}
	return hashes
}

// handleExecution applies an update of the proxy's other process.
func (l *eventLoop) handleExecution(e handover.Execution) {
	if e.Executed {
		l.executions.ids.add(l.clock.now(), e.ID)
	} else {
		l.executions.ids.remove(e.ID)
	}
}
