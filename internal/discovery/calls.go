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
const evidenceMost = 2 * time.Second

// EvidenceSpan is how long an answer of the list, or a call that a server took, shows that the server is listed: what has
// changed since does not count as told, or is within the grace for sends to it.
func EvidenceTTL(pushed bool, grace time.Duration) time.Duration {
	counts := NotifyDeadline
	if pushed {
		counts = 0
	}
	return min(counts+grace, evidenceMost)
}

// levelTrace is the level at which each call is logged.
const levelTrace = slog.LevelDebug

// callEnd is how a call of the platform's list ended.
type callEnd string

// The ends of a call.
const (
	callAnswered callEnd = "answered"
	callBusy     callEnd = "busy" // 503: its turn did not come in time, or discovery is down
	callGarbled  callEnd = "garbled"
	callTimedOut callEnd = "timed_out"
	callStopped  callEnd = "stopped" // another call was answered first, or the client ends
	callBroke    callEnd = "broke"   // refused, reset or cut off
)

func endOf(ctx context.Context, err error) callEnd {
	var garbled *garbledError
	switch {
	case err == nil:
		return callAnswered
	case errors.Is(err, errBusy):
		return callBusy
	case errors.As(err, &garbled):
		return callGarbled
	case errors.Is(err, context.DeadlineExceeded):
		return callTimedOut
	case ctx.Err() != nil:
		return callStopped
	}
	return callBroke
}

// callCounts counts calls by their ends. Any goroutine may use it.
type callCounts struct {
	mu sync.Mutex
	by map[string]int64
}

func (c *callCounts) add(end callEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.by == nil {
		c.by = map[string]int64{}
	}
	c.by[string(end)]++
}

func (c *callCounts) all() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.by)
}

// traced makes a call, counts how it ended and logs it at the level for tracing.
func (c *Client) traced(ctx context.Context, url string, call func() (*List, error)) (*List, error) {
	start := time.Now()
	list, err := call()
	end := endOf(ctx, err)
	c.calls.add(end)
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
