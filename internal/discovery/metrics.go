package discovery

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"
)

// What counts as told to a client of the platform's list, whether it heard of it or not.
const (
	// ToldWithin is how long after discovery had a change, and could be reached, the change counts as told.
	NotifyDeadline = 6 * time.Second
	// PushedWithin is the same of an agent that has the list pushed to it: what it has counts as told at once, so a client that
	// has heard nothing for longer than its watches take does not know how things stand.
	PushNotifyDeadline = 1500 * time.Millisecond
	// MovedWithin is how long after the operator named another address what that one has counts as told.
	SourceChangeDeadline = 4 * time.Second
)

// evidenceMost bounds EvidenceSpan: a server that went and came back within it may be taken for one that stayed.
const maxEvidenceTTL = 2 * time.Second

// EvidenceSpan is how long an answer of the list, or a call that a server took, shows that the server is listed: what has
// changed since does not count as told, or is within the grace for sends to it.
func EvidenceTTL(pushed bool, grace time.Duration) time.Duration {
	counts := NotifyDeadline
	if pushed {
		counts = 0
	}
	return min(counts+grace, maxEvidenceTTL)
}

// levelTrace is the level at which each call is logged.
const levelTrace = slog.LevelDebug

// callEnd is how a call of the platform's list ended.
type callResult string

// The ends of a call.
const (
	callSucceeded        callResult = "answered"
	callUnavailable      callResult = "busy" // 503: its turn did not come in time, or discovery is down
	callMalformed        callResult = "garbled"
	callTimedOut         callResult = "timed_out"
	callCanceled         callResult = "stopped" // another call was answered first, or the client ends
	callConnectionFailed callResult = "broke"   // refused, reset or cut off
)

func resultOf(ctx context.Context, err error) callResult {
	var garbled *malformedListError
	switch {
	case err == nil:
		return callSucceeded
	case errors.Is(err, errUnavailable):
		return callUnavailable
	case errors.As(err, &garbled):
		return callMalformed
	case errors.Is(err, context.DeadlineExceeded):
		return callTimedOut
	case ctx.Err() != nil:
		return callCanceled
	}
	return callConnectionFailed
}

// callCounts counts calls by their ends. Any goroutine may use it.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *callCounter) add(end callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[string(end)]++
}

func (c *callCounter) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// traced makes a call, counts how it ended and logs it at the level for tracing.
func (c *Client) countedCall(ctx context.Context, url string, call func() (*List, error)) (*List, error) {
	start := time.Now()
	list, err := call()
	end := resultOf(ctx, err)
	c.callCounts.add(end)
	if !c.log.Enabled(ctx, levelTrace) {
		return list, err
	}
	more := []any{"url", url, "took", time.Since(start), "end", string(end)}
	if list != nil {
		more = append(more, "index", list.Version, "full", list.Full, "entries", len(list.Endpoints))
	}
	c.log.Debug("discovery call", more...)
	return list, err
}
