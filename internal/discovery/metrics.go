package discovery

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// Metrics are a client's counters and gauges.
type Metrics struct {
	FromRegistry      bool          // the source is the registry: Failovers and RetainedEndpoints apply
	Age               time.Duration // since the last answer with a list; negative: no answer yet
	Failovers         int64         // switches from one registry member to another
	Failures          int64         // failed calls
	RetainedEndpoints int64         // endpoints that a new epoch lacks and that are still retained

	CallResults map[string]int64 // calls for the platform list, by result
}

// Metrics returns the current values. It may be called from any goroutine.
func (c *Client) Metrics() Metrics {
	return Metrics{FromRegistry: c.fromRegistry.Load(), Age: c.lastSuccess.Age(),
		Failovers: c.failovers.Load(), Failures: c.failures.Load(),
		RetainedEndpoints: c.retained.Load(), CallResults: c.callCounts.snapshot()}
}

// callResult is how a call for the platform list ended. The values are those of a metric label.
type callResult string

const (
	callSucceeded        callResult = "answered"
	callUnavailable      callResult = "busy" // 503: not served in time, or discovery is down
	callMalformed        callResult = "garbled"
	callTimedOut         callResult = "timed_out"
	callCanceled         callResult = "stopped" // another call succeeded first, or the client is stopping
	callConnectionFailed callResult = "broke"   // refused, reset or cut off
)

// resultOf returns how a call ended that returned err. ctx is the context of the call.
func resultOf(ctx context.Context, err error) callResult {
	var malformed *malformedListError
	switch {
	case err == nil:
		return callSucceeded
	case errors.Is(err, errUnavailable):
		return callUnavailable
	case errors.As(err, &malformed):
		return callMalformed
	case errors.Is(err, context.DeadlineExceeded):
		return callTimedOut
	case ctx.Err() != nil:
		return callCanceled
	}
	return callConnectionFailed
}

// callCounter counts calls by result. It is safe for concurrent use.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *callCounter) add(result callResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[string(result)]++
}

func (c *callCounter) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// countedCall makes a call, counts its result and logs it at debug level.
func (c *Client) countedCall(ctx context.Context, url string, call func() (*List, error)) (*List, error) {
	start := time.Now()
	list, err := call()
	result := resultOf(ctx, err)
	c.callCounts.add(result)
	attributes := []any{"url", url, "duration", time.Since(start), "result", string(result)}
	if list != nil {
		attributes = append(attributes, "version", list.Version, "full", list.Snapshot,
			"endpoints", len(list.Endpoints))
	}
	c.log.DebugContext(ctx, "endpoint list call", attributes...)
	return list, err
}
