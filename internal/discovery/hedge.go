package discovery

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A call that waits in discovery's queue may have been lost. After the hedge delay another one is made beside it. A call is
// abandoned after two delays, so that two are in flight at most. The delays differ, so that a fleet whose calls were lost
// together does not leave discovery idle together.
const (
	hedgeDelayMin      = 1750 * time.Millisecond
	hedgeDelayJitter   = 500 * time.Millisecond
	hedgeDelayMax      = hedgeDelayMin + hedgeDelayJitter
	firstHedgeDelayMin = 2020 * time.Millisecond // of a first call: over 2 s, the queue's usual limit, when it may fail
	// busyHedgeDelayMin is for calls after a 503 until one succeeds: with shorter delays a fleet would be in the queue twice.
	busyHedgeDelayMin = 2600 * time.Millisecond
	// agentHedgeDelayMin is for a local agent, which has no queue and may lose all calls of a time in which it was down.
	agentHedgeDelayMin = 300 * time.Millisecond
)

// hedge is a call with others made beside it. Its methods are called from one goroutine.
type hedge struct {
	client  *Client
	url     string
	replies chan hedgeReply
	calls   sync.WaitGroup

	inFlight        int
	patientInFlight bool          // one of these has a patient timeout
	lastPatient     bool          // the latest call has
	postponed       time.Duration // of the first hedge, see firstDelay
}

// hedgeReply is the result of one of the calls.
type hedgeReply struct {
	list     *List
	err      error
	duration time.Duration
	patient  bool
}

// hedgedCall makes a call that waits in discovery's queue, and another one after each hedge delay without an answer. The
// first answer counts; hedgedCall fails once all calls in flight have failed.
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

// start makes a call and returns the timer of the next one. Of a local agent one call waits patiently for an answer, and
// the calls beside it last for one hedge delay.
func (h *hedge) start(ctx context.Context) (next <-chan time.Time) {
	delay, timeout := h.timing()
	patient := !h.client.cfg.Pushed || !h.patientInFlight
	if !patient {
		timeout = delay
	}
	next = time.After(delay)
	h.patientInFlight = h.patientInFlight || patient
	h.lastPatient = patient
	h.inFlight++
	h.calls.Go(func() {
		start := time.Now()
		list, err := h.client.fetchOnce(ctx, h.url, timeout)
		select {
		case h.replies <- hedgeReply{list, err, time.Since(start), patient}:
		case <-ctx.Done():
		}
	})
	return next
}

// finish records a reply and reports whether it is the result of the hedged call.
func (h *hedge) finish(reply hedgeReply) bool {
	if errors.Is(reply.err, errUnavailable) {
		h.client.platform.rejectedSinceSuccess = true
		h.client.platform.scheduler.rejectedAfter = reply.duration
	}
	h.patientInFlight = h.patientInFlight && !reply.patient
	h.inFlight--
	if reply.err == nil {
		return true
	}
	// A timeout of a call that was not patient says nothing: the next one is due.
	return h.inFlight == 0 && (h.lastPatient || !errors.Is(reply.err, context.DeadlineExceeded))
}

// timing returns the delay until the next call is made beside a call, and the timeout of the latter: two delays.
func (h *hedge) timing() (delay, timeout time.Duration) {
	c, first := h.client, h.inFlight == 0
	switch {
	case c.cfg.Pushed:
		return agentHedgeDelayMin + c.randomDelay(agentJitter), 2 * hedgeDelayMax
	case c.platform.rejectedSinceSuccess:
		delay = busyHedgeDelayMin + c.randomDelay(hedgeDelayJitter)
	case first && !c.platform.watchTimedOut:
		delay = firstHedgeDelayMin + c.randomDelay(hedgeDelayMax-firstHedgeDelayMin)
	case first:
		delay = h.firstDelay()
	default:
		delay = hedgeDelayMin + c.randomDelay(hedgeDelayJitter) - h.postponed
		h.postponed = 0
	}
	return delay, 2 * delay
}

// firstDelay returns the delay after the first call that follows a watch which timed out. A whole fleet may make that call
// at once, so the hedge waits until the call cannot be in the queue any more: served beside it, the hedge would take
// service time for nothing. The hedges after it keep their times, so that the fleet stays spread if nobody is answered.
func (h *hedge) firstDelay() time.Duration {
	delay := hedgeDelayMin + h.client.randomDelay(hedgeDelayJitter)
	h.postponed = max(0, firstHedgeDelayMin-delay)
	return delay + h.postponed
}
