package discovery

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A call that waits in discovery's queue may have been lost. After the hedge delay a second call is made
// beside it. A call is abandoned after two delays, so at most two are in flight. The delays are random: if
// the calls of a whole fleet are lost at once, its clients must not all wait at the same time while discovery
// is idle.
const (
	hedgeDelayMin    = 1750 * time.Millisecond
	hedgeDelayJitter = 500 * time.Millisecond
	hedgeDelayMax    = hedgeDelayMin + hedgeDelayJitter
	// firstHedgeDelayMin is for the first call. It is above 2 s, the usual limit of discovery's queue, at
	// which the call may be rejected.
	firstHedgeDelayMin = 2020 * time.Millisecond
	// busyHedgeDelayMin is for calls after a 503, until one succeeds. With shorter delays each client of a
	// fleet would be in the queue twice.
	busyHedgeDelayMin = 2600 * time.Millisecond
	// agentHedgeDelayMin is for a local agent, which has no queue and may never answer calls made while it
	// was down.
	agentHedgeDelayMin = 300 * time.Millisecond
)

// hedge is a call and the hedged calls made beside it. Its methods must be called from one goroutine.
type hedge struct {
	client  *Client
	url     string
	replies chan hedgeReply
	calls   sync.WaitGroup

	inFlight            int
	longTimeoutInFlight bool          // a call with the long timeout is in flight
	lastHasLongTimeout  bool          // the latest call has the long timeout
	addedDelay          time.Duration // added to the delay of the first hedged call, see firstDelay
}

// hedgeReply is the result of one of the calls of a hedge.
type hedgeReply struct {
	list        *List
	err         error
	duration    time.Duration
	longTimeout bool
}

// hedgedCall makes a call that waits in discovery's queue, and another one after each hedge delay without an
// answer. It returns the first answer, and fails once all calls in flight have failed.
func (c *Client) hedgedCall(ctx context.Context, url string) (*List, error) {
	c.platform.scheduler.rejectedAfter = 0
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{client: c, url: url, replies: make(chan hedgeReply)}
	defer h.calls.Wait()
	defer cancel()
	for {
		hedgeTimer := h.start(ctx)
		for due := false; !due; {
			select {
			case reply := <-h.replies:
				if h.finish(reply) {
					return reply.list, reply.err
				}
				c.log.Warn("endpoint list call failed", "address", c.source, "error", reply.err)
			case <-hedgeTimer:
				due = true
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		}
	}
}

// start makes a call and returns a timer for the next one. To a local agent, only one call in flight has the
// long timeout; the calls beside it last for one hedge delay.
func (h *hedge) start(ctx context.Context) (next <-chan time.Time) {
	delay, timeout := h.timing()
	longTimeout := !h.client.cfg.LocalAgent || !h.longTimeoutInFlight
	if !longTimeout {
		timeout = delay
	}
	next = time.After(delay)
	h.longTimeoutInFlight = h.longTimeoutInFlight || longTimeout
	h.lastHasLongTimeout = longTimeout
	h.inFlight++
	h.calls.Go(func() {
		start := time.Now()
		list, err := h.client.fetchOnce(ctx, h.url, timeout)
		select {
		case h.replies <- hedgeReply{list, err, time.Since(start), longTimeout}:
		case <-ctx.Done():
		}
	})
	return next
}

// finish records a reply and reports whether it is the result of the whole hedged call.
func (h *hedge) finish(reply hedgeReply) bool {
	if errors.Is(reply.err, errUnavailable) {
		h.client.platform.rejectedSinceSuccess = true
		h.client.platform.scheduler.rejectedAfter = reply.duration
	}
	h.longTimeoutInFlight = h.longTimeoutInFlight && !reply.longTimeout
	h.inFlight--
	if reply.err == nil {
		return true
	}
	// If the latest call had the short timeout, a timeout does not end the hedge: the next call is due.
	return h.inFlight == 0 && (h.lastHasLongTimeout || !errors.Is(reply.err, context.DeadlineExceeded))
}

// timing returns the delay after which the next call is made beside the one being started, and the timeout of
// that one: two delays, or 2*hedgeDelayMax for a local agent.
func (h *hedge) timing() (delay, timeout time.Duration) {
	c, first := h.client, h.inFlight == 0
	switch {
	case c.cfg.LocalAgent:
		return agentHedgeDelayMin + c.randomDelay(agentJitter), 2 * hedgeDelayMax
	case c.platform.rejectedSinceSuccess:
		delay = busyHedgeDelayMin + c.randomDelay(hedgeDelayJitter)
	case first && !c.platform.watchTimedOut:
		delay = firstHedgeDelayMin + c.randomDelay(hedgeDelayMax-firstHedgeDelayMin)
	case first:
		delay = h.firstDelay()
	default:
		delay = hedgeDelayMin + c.randomDelay(hedgeDelayJitter) - h.addedDelay
		h.addedDelay = 0
	}
	return delay, 2 * delay
}

// firstDelay returns the delay after the first call that follows a watch that timed out. A whole fleet may
// make that call at the same time, so the hedged call waits until the first one cannot be in the queue any
// more: if both were served, the second would waste service time. The hedged calls after it keep their
// original times, so that a fleet without answers stays spread out.
func (h *hedge) firstDelay() time.Duration {
	delay := hedgeDelayMin + h.client.randomDelay(hedgeDelayJitter)
	h.addedDelay = max(0, firstHedgeDelayMin-delay)
	return delay + h.addedDelay
}
