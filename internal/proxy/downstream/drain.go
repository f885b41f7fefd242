package downstream

import (
	"time"

	"merlinpick/balancer"
)

// The times of a drain. The platform sends SIGKILL min(longest deadline, MaxDrainDeadline) + 700 ms after
// SIGTERM.
const (
	MaxDrainDeadline    = 3 * time.Second        // caps the longest deadline that a drain waits for
	drainMargin         = 500 * time.Millisecond // from that deadline to the cutoff, when all requests end
	responseFlushMargin = 150 * time.Millisecond // after the cutoff, to write responses and have them read
	cutoffMargin        = 100 * time.Millisecond // before the cutoff, when incomplete requests are rejected
	// minDrainAcceptPeriod is the least time for which new connections are accepted, and for which a new one
	// may send nothing before it is closed.
	minDrainAcceptPeriod = 550 * time.Millisecond
	drainPollInterval    = 20 * time.Millisecond

	// handoverIdleTimeout is how long connections may be idle before they close, once a successor serves.
	handoverIdleTimeout     = 100 * time.Millisecond
	handoverKeepAlivePeriod = 500 * time.Millisecond // from SIGTERM; then idle connections close at once
	maxDrainStream          = time.Minute            // from SIGTERM, for streamed responses to end
)

// DrainTimes returns for how long after SIGTERM clients are still served as before, and by when after SIGTERM
// all requests must have ended. Requests that arrive last still have as long as the longest latency
// objective. With a longest deadline under 150 ms, acceptFor is endWithin - cutoffMargin, which is below
// minDrainAcceptPeriod.
func DrainTimes(classes []balancer.Class) (acceptFor, endWithin time.Duration) {
	deadline, objective := int64(0), int64(0)
	for _, c := range classes {
		deadline, objective = max(deadline, c.Deadline), max(objective, c.LatencyObjective)
	}
	endWithin = min(time.Duration(deadline)*time.Microsecond, MaxDrainDeadline) + drainMargin
	acceptFor = max(minDrainAcceptPeriod, endWithin-time.Duration(objective)*time.Microsecond)
	return min(acceptFor, endWithin-cutoffMargin), endWithin
}

// Drain shuts the client side down after SIGTERM. Clients keep connecting for a while, and those with a
// kept-alive connection may have no other proxy to use until the next one has started: all are served for
// acceptFor. Then the listener is closed, and connections are closed as they become idle, until none is left
// or the cutoff is reached.
//
// If a successor serves, it accepts new connections at once. Kept-alive connections get Connection: close
// with their next response. They are closed if they send nothing for handoverIdleTimeout, and after
// handoverKeepAlivePeriod as soon as they are idle, since this process may be killed before it could answer a
// late request.
func (srv *Server) Drain(acceptFor time.Duration, cutoff time.Time, successorServing func() bool) {
	start := time.Now()
	srv.draining.Store(true)
	srv.logger.Info("draining client connections", "open", srv.OpenConns())
	for time.Since(start) < acceptFor && !successorServing() {
		time.Sleep(drainPollInterval)
	}
	idleTimeout := time.Duration(0)
	if time.Since(start) < acceptFor {
		srv.logger.Info("draining client connections to the successor process", "open", srv.OpenConns())
		idleTimeout = handoverIdleTimeout
	}
	srv.closing.Store(true)
	srv.acceptQueued(idleTimeout, cutoff, successorServing)
	srv.Listener.Close()
	srv.closeIdleUntilCutoff(idleTimeout, start, cutoff)
	srv.flushResponses(cutoff)
	srv.finishStreams(start)
	srv.logger.Info("client connections drained", "duration", time.Since(start), "open", srv.OpenConns())
	_ = srv.server.Close() // not Shutdown, which drops a request that it has just read
}

// acceptQueued accepts the connections that wait for a slot, which would be reset if the listener closed.
// Slots become free as the open connections get Connection: close. It returns once two polls in a row found a
// free slot, or when a successor serves or the cutoff is near.
func (srv *Server) acceptQueued(idleTimeout time.Duration, cutoff time.Time, successorServing func() bool) {
	for notFull := 0; notFull < 2 && !successorServing() && time.Until(cutoff) > cutoffMargin; notFull++ {
		if srv.Listener.IsFull() {
			notFull = -1
		}
		srv.closeIdle(idleTimeout, minDrainAcceptPeriod, false)
		time.Sleep(drainPollInterval / 2)
	}
}

// closeIdleUntilCutoff closes connections as they become idle, until all are closed or the cutoff is reached.
// From cutoffMargin before the cutoff, requests that are not complete are rejected.
func (srv *Server) closeIdleUntilCutoff(idleTimeout time.Duration, start, cutoff time.Time) {
	for srv.closeIdle(idleTimeout, minDrainAcceptPeriod, time.Until(cutoff) < cutoffMargin) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainPollInterval)
		if time.Since(start) > handoverKeepAlivePeriod {
			idleTimeout = 0
		}
		if time.Until(cutoff) < cutoffMargin {
			srv.rejectUploads()
		}
	}
}

// flushResponses waits until the requests that the cutoff ended are answered and the responses have been
// received, for at most responseFlushMargin after the cutoff. It does not wait for streamed responses.
func (srv *Server) flushResponses(cutoff time.Time) {
	for srv.closeIdle(0, 0, true) > int(srv.activeStreams.Load()) || srv.Listener.Lingering.Count() > 0 {
		if time.Since(cutoff) > responseFlushMargin {
			return
		}
		srv.rejectUploads()
		time.Sleep(drainPollInterval)
	}
}

// finishStreams waits for the responses that are still being streamed, until they end, maxDrainStream is over
// or this process is killed: aborting them here would be no better than the kill.
func (srv *Server) finishStreams(start time.Time) {
	for srv.activeStreams.Load() > 0 && time.Since(start) < maxDrainStream {
		time.Sleep(drainPollInterval)
		srv.closeIdle(0, 0, true)
	}
}
