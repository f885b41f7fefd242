package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Discovery serves calls one at a time, so the client prefers calls that cost discovery little:
//
//   - A watch that follows an answer at once takes no service time. A new watch takes some, and a full list
//     takes time in proportion to its length. So whatever ended a watch, the next call asks for the changes
//     since the held version.
//   - The full list is requested only if no version is held, once after a malformed answer, and after the
//     version went back. A new source may be another service with versions of its own. A lower version shows
//     in its first answer; any other difference is found by one request for the full list some time after the
//     change.
const (
	// Discovery may hold a watch that follows an answer for watchHoldMin plus a random part of
	// watchHoldJitter, so that the watches of a fleet do not end at the same time.
	watchHoldMin    = 500 * time.Millisecond
	watchHoldJitter = 300 * time.Millisecond
	watchSlack      = 400 * time.Millisecond // after the hold, until a watch counts as timed out
	pollHold        = 100 * time.Millisecond // hold of any other call for the changes since a version

	// The same for a local agent.
	agentWatchHold  = 400 * time.Millisecond
	agentJitter     = 100 * time.Millisecond
	agentWatchSlack = 250 * time.Millisecond

	// The full list is requested resyncDelayMin plus a random part of resyncDelayJitter after a change of
	// source, so that a fleet does not request it at the same time.
	resyncDelayMin    = 30 * time.Second
	resyncDelayJitter = 90 * time.Second
)

// watchTimeoutError means that a watch had no complete answer at the end of its hold and slack.
type watchTimeoutError struct {
	hold time.Duration
	err  error
}

func (e *watchTimeoutError) Error() string {
	return fmt.Sprintf("watch with a hold of %v timed out; the changes are requested again: %v", e.hold, e.err)
}
func (e *watchTimeoutError) Unwrap() error { return e.err }

// versionRegressedError means that an answer with changes has a version below the held one. The answer is
// discarded.
type versionRegressedError struct{ held, received int64 }

func (e *versionRegressedError) Error() string {
	return fmt.Sprintf("version went back from %d to %d; the full list is requested", e.held, e.received)
}

// platformState is what a client knows of the platform list. Only Run's goroutine uses it, but for version.
type platformState struct {
	version              int64     // of the held list; negative: none; Client.holding guards it
	watching             bool      // the last call succeeded: the next one is a watch
	watchTimedOut        bool      // the last call was a watch that timed out
	malformedChanges     bool      // the last call requested changes and got a malformed answer
	failures             int       // consecutive failed calls
	rejectedSinceSuccess bool      // a call ended with a 503 after the last one that succeeded
	resyncAt             time.Time // when the full list is requested; zero: not scheduled
	scheduler            pollScheduler
}

// needsFullList reports whether the next call, with the held version, has to request the full list.
func (s *platformState) needsFullList(held int64, now time.Time) bool {
	return held < 0 || s.malformedChanges || s.watching && !s.resyncAt.IsZero() && !now.Before(s.resyncAt)
}

// checkVersion returns a *versionRegressedError if an answer with changes has a version below the held one,
// or a *supersededError if the held version has changed after the call and the answer has changes to the former
// one, or an older list. Changes to a former version may lack an endpoint that has changed back since.
func (s *platformState) checkVersion(list *List, calledWith int64) error {
	superseded := s.version != calledWith && (!list.Snapshot || list.Version < s.version)
	switch {
	case superseded:
		return &supersededError{calledWith, s.version, list.Version}
	case !list.Snapshot && list.Version < s.version:
		return &versionRegressedError{s.version, list.Version}
	}
	return nil
}

// heldPlatformVersion returns the version of the held platform list; negative: none.
func (c *Client) heldPlatformVersion() int64 {
	c.holding.Lock()
	defer c.holding.Unlock()
	return c.platform.version
}

// discardPlatformVersion makes the next call request the full list.
func (c *Client) discardPlatformVersion() {
	c.holding.Lock()
	defer c.holding.Unlock()
	c.platform.version = -1
}

// followPlatform watches the platform list until the context ends. The next watch is started at once after an
// answer, so that no change in between arrives late.
func (c *Client) followPlatform(ctx context.Context) {
	state := &c.platform
	state.failures, state.malformedChanges = 0, false
	for ctx.Err() == nil {
		held := c.heldPlatformVersion()
		full := state.needsFullList(held, time.Now())
		list, err := c.callPlatform(ctx, held, full)
		if ctx.Err() != nil {
			return
		}
		state.malformedChanges, state.watchTimedOut = false, false
		if full {
			c.finishResync(err)
		}
		if err == nil {
			err = c.acceptPlatformList(list, held)
		}
		if state.watching = err == nil; state.watching {
			state.failures = 0
		} else {
			c.handleFailedCall(ctx, err, full)
		}
	}
}

// handleFailedCall records that a call failed or that its answer was discarded, and waits until the next one is
// due. The calls after a watch that timed out and after the first malformed answer are made at once too.
func (c *Client) handleFailedCall(ctx context.Context, err error, full bool) {
	var superseded *supersededError
	if errors.As(err, &superseded) {
		c.logSuperseded(err)
		return
	}
	state := &c.platform
	c.failures.Add(1)
	c.log.Warn("endpoint list call failed", "address", c.source, "attempt", state.failures+1, "error", err)
	var timedOut *watchTimeoutError
	var regressed *versionRegressedError
	var malformed *malformedListError
	switch {
	case errors.As(err, &timedOut): // no sign of overload, since a watch does not wait in the queue
		state.watchTimedOut = true
		return
	case errors.As(err, &regressed):
		c.discardPlatformVersion()
		return
	case errors.As(err, &malformed):
		state.malformedChanges = !full
		if state.failures == 0 {
			state.failures++
			return
		}
	}
	state.failures++
	c.signalUnreachable(err)
	c.sleep(ctx, state.scheduler.delayAfter(err, state.failures))
}

// acceptPlatformList publishes the answer to a call that was made with a held version, or returns an error of
// checkVersion that says why the answer is discarded.
func (c *Client) acceptPlatformList(list *List, calledWith int64) error {
	c.holding.Lock()
	defer c.holding.Unlock()
	if err := c.platform.checkVersion(list, calledWith); err != nil {
		return err
	}
	c.lastSuccess.Record()
	c.platform.version, c.heldFrom, c.confirmed = list.Version, c.source, true
	c.platform.rejectedSinceSuccess = false
	c.platform.scheduler.recordSuccess()
	c.publish(c.done, Update{List: list, Source: c.source})
	return nil
}

// signalUnreachable closes the channel of Unreachable at the first call whose connection failed or that was
// rejected without waiting in the queue.
func (c *Client) signalUnreachable(err error) {
	var malformed *malformedListError
	if errors.As(err, &malformed) || errors.Is(err, context.DeadlineExceeded) ||
		c.platform.scheduler.rejectedAfter >= shortQueueWait {
		return
	}
	select {
	case <-c.unreachable:
	default:
		close(c.unreachable)
	}
}

// scheduleResync schedules a request for the full list at a random later time.
func (c *Client) scheduleResync() {
	c.platform.resyncAt = time.Now().Add(resyncDelayMin + c.randomDelay(resyncDelayJitter))
}

// finishResync is called after a request for the full list. It clears a scheduled one, or schedules it again
// on failure.
func (c *Client) finishResync(err error) {
	switch {
	case err == nil:
		c.platform.resyncAt = time.Time{}
	case !c.platform.resyncAt.IsZero():
		c.scheduleResync()
	}
}

// callPlatform requests the full list, or the changes since the held version.
func (c *Client) callPlatform(ctx context.Context, held int64, full bool) (*List, error) {
	url := "http://" + c.source.Address + listPath
	if full {
		return c.hedgedCall(ctx, url)
	}
	watch := c.platform.watching
	hold, slack := pollHold, watchSlack
	switch {
	case watch && c.cfg.LocalAgent:
		hold, slack = agentWatchHold+c.randomDelay(agentJitter), agentWatchSlack
	case watch:
		hold = watchHoldMin + c.randomDelay(watchHoldJitter)
	}
	url += "?from=" + strconv.FormatInt(held, 10) +
		"&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
	if !watch {
		return c.hedgedCall(ctx, url)
	}
	c.platform.scheduler.rejectedAfter = 0 // a watch waits for changes, not in the queue
	list, err := c.fetchOnce(ctx, url, hold+slack)
	if errors.Is(err, context.DeadlineExceeded) {
		err = &watchTimeoutError{hold, err}
	}
	return list, err
}
