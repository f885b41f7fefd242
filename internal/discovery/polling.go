package discovery

import (
	"context"
	"errors"
	"time"
)

// After a failed call the pauses double, up to a maximum; half of each is random.
const (
	initialBackoff  = 100 * time.Millisecond
	maxBackoff      = 800 * time.Millisecond
	maxAgentBackoff = 200 * time.Millisecond // a local agent has one caller, and its changes count as known at once
)

// Discovery serves calls one after another, and a call that waits in its queue for longer than W (freshness.go) is
// rejected with 503 but takes its service time all the same. A queue longer than W therefore answers nobody, and stays that
// long if the fleet polls faster than discovery serves. So once the queue is overloaded each client polls once in a period,
// at a random point of it:
//
//   - The base period is the time that discovery needs for one call of each caller, less what may be queued at its end.
//   - After some timeouts in the queue it doubles with each further one, and grows faster for a client without any list yet.
//     It never exceeds the time for one call of each caller, so that discovery is not idle while clients sleep after an
//     outage.
const (
	failuresUntilOverload = 6                      // consecutive failures after which the queue is taken for overloaded
	longQueueWait         = time.Second            // a 503 after this was rejected by the queue
	shortQueueWait        = 100 * time.Millisecond // the same once calls fail repeatedly; a 503 sooner was not queued

	serviceTime          = 22 * time.Millisecond // of one call in discovery
	serviceTimeAtStart   = 35 * time.Millisecond // as assumed while a fleet starts
	serviceTimeInRelease = 40 * time.Millisecond // with the changes of a release in the answer

	minPollPeriod         = 2500 * time.Millisecond
	maxWaitPlusPeriod     = 5500 * time.Millisecond // in a fleet that discovery serves within it
	maxSmallFleetPeriod   = 3500 * time.Millisecond // the same, whatever the wait
	maxUnsyncedBasePeriod = NotifyDeadline          // of a client without any list yet
	queueAtPeriodEnd      = 1900 * time.Millisecond // a little less than W of calls may be queued at the end of a period

	minQueueDrain = 2 * time.Second // before the first poll: discovery serves calls that have timed out too
	maxQueueDrain = 3 * time.Second

	timeoutsUntilBackoff         = 4 // in the queue, after which the period grows
	timeoutsUntilBackoffUnsynced = 1 // the same for a client without any list yet
	maxPollsCountedDown          = 2 // failed connections count as no more polls: there is no queue
	maxPeriodDoublings           = 3

	defaultCallers = 700 // if Config.Callers is not known
)

// pollScheduler decides when a client of the platform list makes its next call after a failed one. It is not safe for
// concurrent use.
type pollScheduler struct {
	callers     int  // clients that share discovery's queue
	agent       bool // a local agent, without other callers
	randomDelay func(limit time.Duration) time.Duration

	rejectedAfter    time.Duration // of the last call: until its 503; 0: none
	lastRejected     bool          // the last call ended with a 503
	longestRejection time.Duration // longest time until a 503
	failedPolls      int           // consecutive, since the queue was taken for overloaded
	queueTimeouts    int           // of these: rejected after waiting in the queue
	synced           bool          // discovery has answered with a list before
}

// recordSuccess ends the polling: the queue is short.
func (s *pollScheduler) recordSuccess() {
	s.synced = true
	s.failedPolls, s.queueTimeouts = 0, 0
}

// reset forgets the queue, which was that of another source.
func (s *pollScheduler) reset() {
	s.lastRejected, s.synced = false, false
	s.failedPolls, s.queueTimeouts, s.longestRejection, s.rejectedAfter = 0, 0, 0, 0
}

// delayAfter returns the pause after a call that failed with err, the last of some consecutive failures.
func (s *pollScheduler) delayAfter(err error, failures int) time.Duration {
	s.lastRejected = errors.Is(err, errUnavailable)
	if s.queueIsOverloaded(err, failures) {
		return s.nextPollDelay()
	}
	return s.retryBackoff(failures)
}

// queueIsOverloaded reports whether a queue longer than W rejected the last call, or so many calls have failed that the
// queue will be that long once they do not.
func (s *pollScheduler) queueIsOverloaded(err error, failures int) bool {
	var malformed *malformedListError
	if s.agent || errors.As(err, &malformed) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if s.rejectedAfter >= longQueueWait || s.rejectedAfter >= shortQueueWait && failures >= failuresUntilOverload-1 {
		s.longestRejection = max(s.longestRejection, s.rejectedAfter)
		return true
	}
	return s.failedPolls > 0 || failures >= failuresUntilOverload
}

// nextPollDelay returns the pause until the next poll of an overloaded or unreachable discovery.
func (s *pollScheduler) nextPollDelay() time.Duration {
	s.failedPolls++
	immediate := s.rejectedAfter < shortQueueWait
	if immediate && !s.lastRejected { // discovery is down: its queue is gone
		s.failedPolls, s.queueTimeouts = min(s.failedPolls, maxPollsCountedDown), 0
	}
	if immediate && s.queueTimeouts == 0 { // the call took no service time
		if s.failedPolls == 1 {
			return s.randomDelay(minPollPeriod)
		}
		return minPollPeriod - s.rejectedAfter
	}
	if s.failedPolls > 1 && s.rejectedAfter >= shortQueueWait && s.rejectedAfter < longQueueWait {
		// It was served in time and failed: the queue is short.
		s.failedPolls, s.queueTimeouts = 1, 0
		return s.randomDelay(minPollPeriod)
	}
	return s.delayAfterQueueTimeout()
}

// delayAfterQueueTimeout returns the pause after a poll that was rejected after waiting in the queue.
func (s *pollScheduler) delayAfterQueueTimeout() time.Duration {
	first := s.queueTimeouts == 0
	if s.queueTimeouts++; first {
		s.queueTimeouts = s.failedPolls // those that failed immediately count too
	}
	period := s.basePollPeriod()
	backedOff := s.backedOffPeriod(period)
	switch {
	case s.failedPolls == 1: // the whole fleet polled at once
		return s.queueDrainTime() + s.randomDelay(period)
	case first: // polls were spread over a period: the queue drains soon
		return s.randomDelay(max(period-s.rejectedAfter, 0))
	case backedOff > period: // a new random point: polls must not gather in a part of the longer period
		return backedOff*3/4 + s.randomDelay(backedOff/2) - s.rejectedAfter
	}
	return max(period-s.rejectedAfter, 0)
}

// queueDrainTime returns the time in which discovery serves the calls that have timed out.
func (s *pollScheduler) queueDrainTime() time.Duration {
	return min(maxQueueDrain, max(minQueueDrain, s.queueTime(serviceTime)))
}

// basePollPeriod returns the period in which each caller polls once and all are served, the last after W.
func (s *pollScheduler) basePollPeriod() time.Duration {
	smallFleet := min(max(maxWaitPlusPeriod-s.longestRejection, minPollPeriod), maxSmallFleetPeriod)
	wholeFleet := s.queueTime(serviceTime) - queueAtPeriodEnd
	if !s.synced {
		wholeFleet = min(wholeFleet, maxUnsyncedBasePeriod) // its period grows soon
	}
	return max(smallFleet, wholeFleet)
}

// backedOffPeriod returns the period after the timeouts so far. A client without any list competes with a starting fleet,
// so its period grows soon. One whose watch ended may be behind an outage and should be served soon after it.
func (s *pollScheduler) backedOffPeriod(period time.Duration) time.Duration {
	doublings, callTime := s.queueTimeouts-timeoutsUntilBackoff, serviceTimeInRelease
	if !s.synced {
		doublings = 2 * (s.queueTimeouts - timeoutsUntilBackoffUnsynced)
		if s.queueTimeouts <= timeoutsUntilBackoff {
			callTime = serviceTimeAtStart
		}
	}
	longer := period << max(0, min(doublings, maxPeriodDoublings))
	return max(period, min(longer, s.queueTime(callTime)))
}

// queueTime returns the time in which discovery serves one call of each caller.
func (s *pollScheduler) queueTime(callTime time.Duration) time.Duration {
	callers := s.callers
	if callers == 0 {
		callers = defaultCallers
	}
	return time.Duration(callers) * callTime
}

// retryBackoff returns the pause after some consecutive failures, at least one.
func (s *pollScheduler) retryBackoff(failures int) time.Duration {
	limit := maxBackoff
	if s.agent {
		limit = maxAgentBackoff
	}
	backoff := min(initialBackoff<<min(failures-1, 8), limit)
	return backoff/2 + s.randomDelay(backoff/2)
}
