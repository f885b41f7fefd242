package discovery

import (
	"context"
	"errors"
	"time"
)

// When a client of the platform's list makes its next call after one that failed.
//
// Discovery answers calls one after another, about turnUsual each, and a call that waits for its turn for W fails then and takes
// its turn all the same. So a queue that is longer than W answers nobody, and a fleet that polls faster than discovery takes
// turns keeps it so for ever; one that polls more slowly leaves discovery idle, while processes route by lists of any age. A
// client that waited in vain, or failed busyFirst times in a row, polls once in a period, at a point of it that it drew.
//
//   - The plain period is about the time that a turn of each caller takes (its share), less W of turns that may wait at the end.
//     300 clients with turns of 18 ms are all answered 5.6 s after an outage. For a client that was never answered it is at most
//     plainMost.
//   - It grows with the waits in vain: for a client whose watch ended from the fifth on, twice each time; for one that was
//     never answered from the second on, four times. It is never over the share, taken with turnEarly or turnMost. The share
//     bounds what a client sleeps while discovery is idle: waits in vain are alike in an outage and in a full queue, and two
//     of the first three were an outage's when processes of a fleet of 279 were not heard of for 22 s (idle_test.go).
//
// collapse_test.go, release_test.go and idle_test.go assert the sums.
const (
	// Pauses after calls that failed, one after another, double; half of each is drawn. An agent that pushes the list has one
	// caller, and what it has counts as told at once.
	initialBackoff  = 100 * time.Millisecond
	maxBackoff      = 800 * time.Millisecond
	maxAgentBackoff = 200 * time.Millisecond

	failuresUntilOverload = 6                      // failures in a row after which a queue is taken for long
	longQueueWait         = time.Second            // from here on a 503 is of a call that waited
	shortQueueWait        = 100 * time.Millisecond // the same, of the fourth and later in a row

	serviceTime          = 22 * time.Millisecond // that one call costs discovery
	serviceTimeAtStart   = 35 * time.Millisecond // the same, as a client takes it that was never answered
	serviceTimeInRelease = 40 * time.Millisecond // the same, with the changes of a release in its answer

	maxSmallFleetPeriod          = 3500 * time.Millisecond // of a fleet whose turns take little more
	queueAtPeriodEnd             = 1900 * time.Millisecond // of turns may wait at the end of a period
	maxUnsyncedBasePeriod        = NotifyDeadline
	minPollPeriod                = 2500 * time.Millisecond // of discoveries with long waits: with the wait it is periodBoth at most
	maxWaitPlusPeriod            = 5500 * time.Millisecond
	minQueueDrain                = 2 * time.Second
	maxQueueDrain                = 3 * time.Second // more, before the first poll: turns of calls that waited in vain too
	timeoutsUntilBackoff         = 4
	timeoutsUntilBackoffUnsynced = 1 // of a client that was never answered
	maxPollsCountedDown          = 2 // those that nobody answered count for no more
	maxPeriodDoublings           = 3

	defaultCallers = 700
)

// share is the time that a turn of each caller takes.
func (c *Client) queueTime(turn time.Duration) time.Duration {
	callers := c.cfg.Callers
	if callers == 0 {
		callers = defaultCallers
	}
	return time.Duration(callers) * turn
}

// forgetQueue is for another discovery: what was seen of the former one's queue says nothing of it.
func (c *Client) resetQueueEstimate() {
	c.rejectedSinceSuccess, c.lastRejected, c.watchTimedOut, c.synced = false, false, false, false
	c.failedPolls, c.queueTimeouts, c.longestRejection, c.rejectedAfter = 0, 0, 0, 0
}

// queueIsLong tells whether the last call was turned away by a queue that is longer than a call may wait, or calls fail so
// long that the queue will be as soon as they do not.
func (c *Client) queueIsOverloaded(err error, failed int) bool {
	var garbled *malformedListError
	if c.cfg.Pushed || errors.As(err, &garbled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if c.rejectedAfter >= longQueueWait || c.rejectedAfter >= shortQueueWait && failed >= failuresUntilOverload-1 {
		c.longestRejection = max(c.longestRejection, c.rejectedAfter)
		return true
	}
	return c.failedPolls > 0 || failed >= failuresUntilOverload
}

// untilNextPoll is the pause after a call that was turned away by a long queue, or failed at once as others before it.
func (c *Client) nextPollDelay() time.Duration {
	c.failedPolls++
	atOnce := c.rejectedAfter < shortQueueWait
	if atOnce && !c.lastRejected { // nobody is there to keep a queue
		c.failedPolls, c.queueTimeouts = min(c.failedPolls, maxPollsCountedDown), 0
	}
	if atOnce && c.queueTimeouts == 0 { // discovery may be down, and no turn was taken
		if c.failedPolls == 1 {
			return c.randomDelay(minPollPeriod)
		}
		return minPollPeriod - c.rejectedAfter
	}
	if c.failedPolls > 1 && c.rejectedAfter >= shortQueueWait && c.rejectedAfter < longQueueWait {
		c.failedPolls, c.queueTimeouts = 1, 0 // its turn came, and failed: the queue is short, and a longer period would be for nothing
		return c.randomDelay(minPollPeriod)
	}
	first := c.queueTimeouts == 0
	if c.queueTimeouts++; first {
		c.queueTimeouts = c.failedPolls // those that were turned away at once too
	}
	period := c.basePollPeriod()
	longer := c.backedOffPeriod(period)
	switch {
	case c.failedPolls == 1: // all polled at once
		return c.queueDrainTime() + c.randomDelay(period)
	case first: // they polled spread over a period, and few too many: the queue is soon short
		return c.randomDelay(max(period-c.rejectedAfter, 0))
	case longer > period:
		return longer*3/4 + c.randomDelay(longer/2) - c.rejectedAfter // drawn anew, lest the polls of a longer period bunch in a part of it
	}
	return max(period-c.rejectedAfter, 0)
}

// settling is the time before the first poll in which turns of calls that waited in vain are taken: less where they are few.
func (c *Client) queueDrainTime() time.Duration {
	return min(maxQueueDrain, max(minQueueDrain, c.queueTime(serviceTime)))
}

// plainPeriod is the period in which each caller polls once, so that all are answered, the last after W.
func (c *Client) basePollPeriod() time.Duration {
	small := min(max(maxWaitPlusPeriod-c.longestRejection, minPollPeriod), maxSmallFleetPeriod)
	all := c.queueTime(serviceTime) - queueAtPeriodEnd
	if !c.synced {
		all = min(all, maxUnsyncedBasePeriod) // its period grows soon
	}
	return max(small, all)
}

// longerPeriod is the period after some waits in vain. A client that discovery has never answered has the queue of a start
// before it, which it makes longer each time, so its period grows soon; one whose watch ended may have an outage before it, and
// is to hear soon after that. It is at most the share: few callers, which can fill no queue, never wait for longer, since what
// keeps these from an answer is an outage, however long.
func (c *Client) backedOffPeriod(period time.Duration) time.Duration {
	more, turn := c.queueTimeouts-timeoutsUntilBackoff, serviceTimeInRelease
	if !c.synced {
		more = 2 * (c.queueTimeouts - timeoutsUntilBackoffUnsynced)
		if c.queueTimeouts <= timeoutsUntilBackoff {
			turn = serviceTimeAtStart
		}
	}
	longer := period << max(0, min(more, maxPeriodDoublings))
	return max(period, min(longer, c.queueTime(turn)))
}

// retry is the pause after so many calls in a row that failed.
func (c *Client) retryBackoff(failed int) time.Duration {
	most := maxBackoff
	if c.cfg.Pushed {
		most = maxAgentBackoff
	}
	p := min(initialBackoff<<min(failed-1, 8), most)
	return p/2 + c.randomDelay(p/2)
}
