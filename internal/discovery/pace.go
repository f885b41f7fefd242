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
	retryFirst  = 100 * time.Millisecond
	retryMost   = 800 * time.Millisecond
	retryPushed = 200 * time.Millisecond

	busyFirst = 6                      // failures in a row after which a queue is taken for long
	longWait  = time.Second            // from here on a 503 is of a call that waited
	someWait  = 100 * time.Millisecond // the same, of the fourth and later in a row

	turnUsual = 22 * time.Millisecond // that one call costs discovery
	turnEarly = 35 * time.Millisecond // the same, as a client takes it that was never answered
	turnMost  = 40 * time.Millisecond // the same, with the changes of a release in its answer

	turnPeriod  = 3500 * time.Millisecond // of a fleet whose turns take little more
	waitPart    = 1900 * time.Millisecond // of turns may wait at the end of a period
	plainMost   = NotifyDeadline
	periodLeast = 2500 * time.Millisecond // of discoveries with long waits: with the wait it is periodBoth at most
	periodBoth  = 5500 * time.Millisecond
	settleLeast = 2 * time.Second
	settle      = 3 * time.Second // more, before the first poll: turns of calls that waited in vain too
	pollsPlain  = 4
	pollsNew    = 1 // of a client that was never answered
	pollsDown   = 2 // those that nobody answered count for no more
	doublings   = 3

	callersUnknown = 700
)

// share is the time that a turn of each caller takes.
func (c *Client) share(turn time.Duration) time.Duration {
	callers := c.cfg.Callers
	if callers == 0 {
		callers = callersUnknown
	}
	return time.Duration(callers) * turn
}

// forgetQueue is for another discovery: what was seen of the former one's queue says nothing of it.
func (c *Client) forgetQueue() {
	c.busy, c.answeredBusy, c.fell, c.heard = false, false, false, false
	c.polls, c.vain, c.longest, c.turnedAway = 0, 0, 0, 0
}

// queueIsLong tells whether the last call was turned away by a queue that is longer than a call may wait, or calls fail so
// long that the queue will be as soon as they do not.
func (c *Client) queueIsLong(err error, failed int) bool {
	var garbled *garbledError
	if c.cfg.Pushed || errors.As(err, &garbled) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if c.turnedAway >= longWait || c.turnedAway >= someWait && failed >= busyFirst-1 {
		c.longest = max(c.longest, c.turnedAway)
		return true
	}
	return c.polls > 0 || failed >= busyFirst
}

// untilNextPoll is the pause after a call that was turned away by a long queue, or failed at once as others before it.
func (c *Client) untilNextPoll() time.Duration {
	c.polls++
	atOnce := c.turnedAway < someWait
	if atOnce && !c.answeredBusy { // nobody is there to keep a queue
		c.polls, c.vain = min(c.polls, pollsDown), 0
	}
	if atOnce && c.vain == 0 { // discovery may be down, and no turn was taken
		if c.polls == 1 {
			return c.draw(periodLeast)
		}
		return periodLeast - c.turnedAway
	}
	if c.polls > 1 && c.turnedAway >= someWait && c.turnedAway < longWait {
		c.polls, c.vain = 1, 0 // its turn came, and failed: the queue is short, and a longer period would be for nothing
		return c.draw(periodLeast)
	}
	first := c.vain == 0
	if c.vain++; first {
		c.vain = c.polls // those that were turned away at once too
	}
	period := c.plainPeriod()
	longer := c.longerPeriod(period)
	switch {
	case c.polls == 1: // all polled at once
		return c.settling() + c.draw(period)
	case first: // they polled spread over a period, and few too many: the queue is soon short
		return c.draw(max(period-c.turnedAway, 0))
	case longer > period:
		return longer*3/4 + c.draw(longer/2) - c.turnedAway // drawn anew, lest the polls of a longer period bunch in a part of it
	}
	return max(period-c.turnedAway, 0)
}

// settling is the time before the first poll in which turns of calls that waited in vain are taken: less where they are few.
func (c *Client) settling() time.Duration {
	return min(settle, max(settleLeast, c.share(turnUsual)))
}

// plainPeriod is the period in which each caller polls once, so that all are answered, the last after W.
func (c *Client) plainPeriod() time.Duration {
	small := min(max(periodBoth-c.longest, periodLeast), turnPeriod)
	all := c.share(turnUsual) - waitPart
	if !c.heard {
		all = min(all, plainMost) // its period grows soon
	}
	return max(small, all)
}

// longerPeriod is the period after some waits in vain. A client that discovery has never answered has the queue of a start
// before it, which it makes longer each time, so its period grows soon; one whose watch ended may have an outage before it, and
// is to hear soon after that. It is at most the share: few callers, which can fill no queue, never wait for longer, since what
// keeps these from an answer is an outage, however long.
func (c *Client) longerPeriod(period time.Duration) time.Duration {
	more, turn := c.vain-pollsPlain, turnMost
	if !c.heard {
		more = 2 * (c.vain - pollsNew)
		if c.vain <= pollsPlain {
			turn = turnEarly
		}
	}
	longer := period << max(0, min(more, doublings))
	return max(period, min(longer, c.share(turn)))
}

// retry is the pause after so many calls in a row that failed.
func (c *Client) retry(failed int) time.Duration {
	most := retryMost
	if c.cfg.Pushed {
		most = retryPushed
	}
	p := min(retryFirst<<min(failed-1, 8), most)
	return p/2 + c.draw(p/2)
}
