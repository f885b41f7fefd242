package proxy

import (
	"hash/fnv"
	"time"
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

// add remembers an ID.
func (e *executedIDs) add(now int64, id string) {
	e.rotate(now)
	e.current[hashID(id)] = struct{}{}
}

// remove forgets an ID, whose request has turned out not to have been executed.
func (e *executedIDs) remove(id string) {
	delete(e.current, hashID(id))
	delete(e.previous, hashID(id))
}

// contains reports whether an ID is remembered.
func (e *executedIDs) contains(now int64, id string) bool {
	e.rotate(now)
	hash := hashID(id)
	_, current := e.current[hash]
	_, previous := e.previous[hash]
	return current || previous
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
