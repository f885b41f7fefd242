package discovery

import (
	"context"
	"errors"
	"time"
)

// Backoffs after consecutive failed calls double up to a maximum. Half of each backoff is random.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// maxAgentBackoff is for a local agent: it has a single caller, and its changes count as known at once.
	maxAgentBackoff = 200 * time.Millisecond
)

// Discovery serves calls one at a time. A call that waits in its queue for longer than W (freshness.go) is
// rejected with 503, but takes its service time all the same. So while the queue is longer than W no call is
// answered, and it stays that long if the fleet polls faster than discovery serves. Therefore, once the queue
// is overloaded, each client polls once in a period, at a random point of it:
//
//   - The base period is the time that discovery needs for one call of each caller, less the time for which
//     calls may still be queued at its end.
//   - After some timeouts in the queue the period doubles with each further one, and grows faster for a
//     client that has no list yet. It never exceeds the time for one call of each caller, so that discovery
//     is not idle after an outage while clients sleep.
const (
	// failuresUntilOverload is the number of consecutive failures after which the queue is assumed to be
	// overloaded.
	failuresUntilOverload = 6
	// longQueueWait is the time after which a 503 means that the call was rejected because of the queue.
	longQueueWait = time.Second
	// shortQueueWait replaces longQueueWait once calls fail repeatedly. A call with an earlier 503 was never
	// in the queue.
	shortQueueWait = 100 * time.Millisecond

	serviceTime          = 22 * time.Millisecond // of one call in discovery
	serviceTimeAtStart   = 35 * time.Millisecond // assumed while a fleet starts
	serviceTimeInRelease = 40 * time.Millisecond // with the changes of a release in the answer

	minPollPeriod = 2500 * time.Millisecond
	// maxWaitPlusPeriod bounds the sum of the wait until a 503 and the poll period, in a fleet small enough
	// to be served within one period.
	maxWaitPlusPeriod     = 5500 * time.Millisecond
	maxSmallFleetPeriod   = 3500 * time.Millisecond // bounds the poll period of such a fleet
	maxUnsyncedBasePeriod = NotifyDeadline          // bounds the base period of a client that has no list yet
	queueAtPeriodEnd      = 1900 * time.Millisecond // service time queued at the end of a period; below W
	notifyMargin          = 400 * time.Millisecond  // before NotifyDeadline, for the network and a busy machine

	// maxQueueDrain bounds the pause before the first poll: discovery also serves calls that have timed out.
	maxQueueDrain = 3 * time.Second

	timeoutsUntilBackoff         = 4 // timeouts in the queue after which the period grows
	timeoutsUntilBackoffUnsynced = 1 // the same for a client that has no list yet
	// maxFailedPollsWhileDown bounds the number of failed polls counted while connections fail, since
	// discovery then has no queue.
	maxFailedPollsWhileDown = 2
	maxPeriodDoublings      = 3

	defaultCallers = 700 // used if Config.Callers is unknown
)

// pollScheduler decides when a client of the platform list makes its next call after a failed one. It is not
// safe for concurrent use.
type pollScheduler struct {
	callers int  // clients that share discovery's queue
	agent   bool // the source is a local agent, which has no other callers
	// randomDelay returns a random duration in [0, limit), or 0 if limit is 0.
	randomDelay func(limit time.Duration) time.Duration

	rejectedAfter    time.Duration // time from the start of the last call to its 503; 0: none
	lastRejected     bool          // the last call ended with a 503
	longestRejection time.Duration // the longest rejectedAfter so far
	failedPolls      int           // consecutive failed polls since the queue is assumed to be overloaded
	queueTimeouts    int           // those of failedPolls that were rejected after waiting in the queue
	synced           bool          // the source has answered with a list before
}

// recordSuccess ends the periodic polling, since a call that was answered shows that the queue is short.
func (s *pollScheduler) recordSuccess() {
	s.synced = true
	s.failedPolls, s.queueTimeouts = 0, 0
}

// reset clears what was learned of the previous source's queue.
func (s *pollScheduler) reset() {
	s.lastRejected, s.synced = false, false
	s.failedPolls, s.queueTimeouts, s.longestRejection, s.rejectedAfter = 0, 0, 0, 0
}

// delayAfter returns the pause after a call that failed with err. failures is the number of consecutive
// failures.
func (s *pollScheduler) delayAfter(err error, failures int) time.Duration {
	s.lastRejected = errors.Is(err, errUnavailable)
	if s.queueIsOverloaded(err, failures) {
		return s.nextPollDelay()
	}
	return s.retryBackoff(failures)
}

// queueIsOverloaded reports whether the last call was rejected by a queue longer than W, or so many calls
// have failed that the queue will be that long as soon as connections succeed again.
func (s *pollScheduler) queueIsOverloaded(err error, failures int) bool {
	var malformed *malformedListError
	if s.agent || errors.As(err, &malformed) || errors.Is(err, context.DeadlineExceeded) {
		return false
	}
	if s.rejectedAfter >= longQueueWait ||
		s.rejectedAfter >= shortQueueWait && failures >= failuresUntilOverload-1 {
		s.longestRejection = max(s.longestRejection, s.rejectedAfter)
		return true
	}
	return s.failedPolls > 0 || failures >= failuresUntilOverload
}

// nextPollDelay returns the pause until the next poll of an overloaded or unreachable discovery.
func (s *pollScheduler) nextPollDelay() time.Duration {
	s.failedPolls++
	immediate := s.rejectedAfter < shortQueueWait
	if immediate && !s.lastRejected { // the connection failed: discovery is down and has no queue
		s.failedPolls, s.queueTimeouts = min(s.failedPolls, maxFailedPollsWhileDown), 0
	}
	if immediate && s.queueTimeouts == 0 { // the call was never queued and took no service time
		if s.failedPolls == 1 {
			return s.randomDelay(s.shortPollPeriod())
		}
		return s.shortPollPeriod() - s.rejectedAfter
	}
	if s.failedPolls > 1 && s.rejectedAfter >= shortQueueWait && s.rejectedAfter < longQueueWait {
		// The call was served in time and failed: the queue is short.
		s.failedPolls, s.queueTimeouts = 1, 0
		return s.randomDelay(s.shortPollPeriod())
	}
	return s.delayAfterQueueTimeout()
}

// shortPollPeriod returns the poll period while discovery has no queue, or a short one. A fleet whose calls
// take less time than minPollPeriod polls in that time, so that it hears of the end of an outage sooner.
func (s *pollScheduler) shortPollPeriod() time.Duration {
	return max(maxBackoff, min(minPollPeriod, s.queueTime(serviceTime)))
}

// delayAfterQueueTimeout returns the pause after a poll that was rejected after waiting in the queue. It is 0
// if the wait was as long as the poll period: the next poll is then due at once.
func (s *pollScheduler) delayAfterQueueTimeout() time.Duration {
	first := s.queueTimeouts == 0
	if s.queueTimeouts++; first {
		s.queueTimeouts = s.failedPolls // polls that failed immediately count too
	}
	period := s.basePollPeriod()
	backedOff := s.backedOffPeriod(period)
	restOfPeriod := max(period-s.rejectedAfter, 0)
	switch {
	case s.failedPolls == 1: // the whole fleet polled at the same time
		return s.delayAfterFirstTimeout(period)
	case first: // polls were spread over a period, so the queue drains soon
		return s.randomDelay(restOfPeriod)
	case backedOff > period: // at a new random point, so that polls spread over the whole longer period
		return max(backedOff*3/4+s.randomDelay(backedOff/2)-s.rejectedAfter, 0)
	}
	return restOfPeriod
}

// delayAfterFirstTimeout returns the pause after all callers have waited in the queue in vain at the same time:
// the time in which discovery serves these calls, and a random part of the time in which it serves as many
// again, so that a fleet does not fill the queue by itself. In a fleet whose calls take less than a period the
// first part is shorter if the next poll is then answered before NotifyDeadline, though it waits as long again.
func (s *pollScheduler) delayAfterFirstTimeout(period time.Duration) time.Duration {
	callsOfFleet := s.queueTime(serviceTime)
	drain := min(callsOfFleet, maxQueueDrain)
	if callsOfFleet > period {
		return drain + s.randomDelay(period)
	}
	if left := NotifyDeadline - notifyMargin - 2*s.rejectedAfter - callsOfFleet; left >= 0 {
		drain = min(drain, left)
	}
	return drain + s.randomDelay(callsOfFleet)
}

// basePollPeriod returns the period in which each caller polls once and all are served, the last one after a
// wait of W.
func (s *pollScheduler) basePollPeriod() time.Duration {
	smallFleet := min(max(maxWaitPlusPeriod-s.longestRejection, minPollPeriod), maxSmallFleetPeriod)
	wholeFleet := s.queueTime(serviceTime) - queueAtPeriodEnd
	if !s.synced {
		wholeFleet = min(wholeFleet, maxUnsyncedBasePeriod) // the period grows soon by backing off
	}
	return max(smallFleet, wholeFleet)
}

// backedOffPeriod returns the period after the timeouts so far. A client that has no list yet competes with a
// starting fleet, so its period grows early. A client that had one may be waiting for the end of an outage,
// and should be served soon after it.
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

// retryBackoff returns the pause after a number of consecutive failures, at least one.
func (s *pollScheduler) retryBackoff(failures int) time.Duration {
	limit := maxBackoff
	if s.agent {
		limit = maxAgentBackoff
	}
	backoff := min(initialBackoff<<min(failures-1, 8), limit)
	return backoff/2 + s.randomDelay(backoff/2)
}
