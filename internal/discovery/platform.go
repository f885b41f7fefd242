package discovery

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// Discovery serves calls one after another, so calls that cost it little come first:
//
//   - A watch that follows an answer at once takes no service time; a new watch takes some, a full list as much as its
//     length. So whatever ended a watch, the next call continues from the version held and brings only later changes.
//   - The full list is requested only if no version is held, once after a malformed answer, and after a version that went
//     back. A new source may be another service with other versions: one that is lower shows at its first answer, the rest
//     at one full list that is requested some time after the change.
const (
	watchHoldMin    = 500 * time.Millisecond // how long discovery may hold a watch that follows an answer, at least,
	watchHoldJitter = 300 * time.Millisecond // and up to this much longer: the watches of a fleet must not end together
	watchSlack      = 400 * time.Millisecond // after the hold, until a watch counts as timed out
	pollHold        = 100 * time.Millisecond // the hold of any other call that continues from a version

	agentWatchHold  = 400 * time.Millisecond // in place of the above for a local agent
	agentJitter     = 100 * time.Millisecond
	agentWatchSlack = 250 * time.Millisecond

	resyncDelayMin    = 30 * time.Second // after a change of source, until the full list is requested,
	resyncDelayJitter = 90 * time.Second // and up to this much later: a fleet must not request it together
)

// watchTimeoutError is a watch without a complete answer at the end of its hold and slack.
type watchTimeoutError struct {
	hold time.Duration
	err  error
}

func (e *watchTimeoutError) Error() string {
	return fmt.Sprintf("no answer to a watch with a hold of %v; it is repeated: %v", e.hold, e.err)
}
func (e *watchTimeoutError) Unwrap() error { return e.err }

// versionRegressedError is an incremental answer whose version is below the one held. It is discarded.
type versionRegressedError struct{ held, received int64 }

func (e *versionRegressedError) Error() string {
	return fmt.Sprintf("version went back from %d to %d; the full list is requested", e.held, e.received)
}

// platformState is what a client knows of the platform list. Only Run's goroutine uses it.
type platformState struct {
	version              int64     // held; negative: none
	watching             bool      // the last call succeeded: the next one is a watch
	watchTimedOut        bool      // the last call was a watch that timed out
	rejectedSinceSuccess bool      // a call ended with a 503 since one succeeded
	resyncAt             time.Time // when the full list is requested; zero: not scheduled
	scheduler            pollScheduler
}

// needsFullList reports whether the next call has to request the full list.
func (s *platformState) needsFullList(malformed bool, now time.Time) bool {
	return s.version < 0 || malformed || s.watching && !s.resyncAt.IsZero() && !now.Before(s.resyncAt)
}

// checkVersion returns a *versionRegressedError if an incremental answer lies below the version held.
func (s *platformState) checkVersion(list *List) error {
	if !list.Snapshot && list.Version < s.version {
		return &versionRegressedError{s.version, list.Version}
	}
	return nil
}

// followPlatform watches the platform list until the context ends. The next watch follows an answer at once, so that no
// change in between is received late; so does the call after a watch that timed out, and the first one after a malformed
// answer.
func (c *Client) followPlatform(ctx context.Context) {
	state := &c.platform
	failures := 0      // consecutive
	malformed := false // the last answer was, to a call that continued from a version
	for ctx.Err() == nil {
		full := state.needsFullList(malformed, time.Now())
		list, err := c.callPlatform(ctx, full)
		if ctx.Err() != nil {
			return
		}
		malformed, state.watchTimedOut = false, false
		if full {
			c.finishResync(err)
		}
		if err == nil {
			err = state.checkVersion(list)
		}
		state.watching = err == nil
		if err == nil {
			failures = 0
			c.acceptPlatformList(list)
			continue
		}
		c.failures.Add(1)
		c.log.Warn("endpoint list call failed", "address", c.source, "attempt", failures+1, "error", err)
		var timedOut *watchTimeoutError
		var regressed *versionRegressedError
		var badList *malformedListError
		switch {
		case errors.As(err, &timedOut): // a watch does not queue: no sign yet that discovery is overloaded
			state.watchTimedOut = true
			continue
		case errors.As(err, &regressed):
			state.version = -1
			continue
		case errors.As(err, &badList):
			if malformed = !full; failures == 0 {
				failures++
				continue
			}
		}
		failures++
		c.noteUnreachable(err)
		c.sleep(ctx, state.scheduler.delayAfter(err, failures))
	}
}

// acceptPlatformList publishes the list of a call that succeeded.
func (c *Client) acceptPlatformList(list *List) {
	c.lastSuccess.Record()
	c.platform.version, c.platform.rejectedSinceSuccess = list.Version, false
	c.platform.scheduler.recordSuccess()
	c.publish(Update{list})
}

// noteUnreachable closes the channel of Unreachable at the first call whose connection failed, or that was rejected without
// waiting in the queue.
func (c *Client) noteUnreachable(err error) {
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

// scheduleResync has the full list requested at a random time some time from now.
func (c *Client) scheduleResync() {
	c.platform.resyncAt = time.Now().Add(resyncDelayMin + c.randomDelay(resyncDelayJitter))
}

// finishResync follows a request of the full list: a scheduled one is done, or scheduled again if it failed.
func (c *Client) finishResync(err error) {
	switch {
	case err == nil:
		c.platform.resyncAt = time.Time{}
	case !c.platform.resyncAt.IsZero():
		c.scheduleResync()
	}
}

// callPlatform requests the full list, or the changes since the version held.
func (c *Client) callPlatform(ctx context.Context, full bool) (*List, error) {
	url := "http://" + c.source.Address + listPath
	if full {
		return c.hedgedCall(ctx, url)
	}
	watch := c.platform.watching
	hold, slack := pollHold, watchSlack
	switch {
	case watch && c.cfg.Pushed:
		hold, slack = agentWatchHold+c.randomDelay(agentJitter), agentWatchSlack
	case watch:
		hold = watchHoldMin + c.randomDelay(watchHoldJitter)
	}
	url += "?from=" + strconv.FormatInt(c.platform.version, 10) + "&hold_ms=" + strconv.FormatInt(hold.Milliseconds(), 10)
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
