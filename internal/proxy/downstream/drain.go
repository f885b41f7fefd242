package downstream

import (
	"time"

	"merlinpick/balancer"
)

// The platform sends SIGKILL min(longest deadline, MaxDrainDeadline) + 700 ms after SIGTERM.
const (
	MaxDrainDeadline     = 3 * time.Second        // part of the longest deadline that a drain waits for at most
	drainMargin          = 500 * time.Millisecond // after that deadline every request has ended: the cutoff
	responseFlushMargin  = 150 * time.Millisecond // after the cutoff, for responses to be written and read
	cutoffMargin         = 100 * time.Millisecond // before the cutoff: a request that is not complete by then is rejected
	minDrainAcceptPeriod = 550 * time.Millisecond // for new connections, at least; also until a silent new one is closed
	drainPollInterval    = 20 * time.Millisecond

	handoverIdleTimeout     = 100 * time.Millisecond // for idle connections, once a successor serves
	handoverKeepAlivePeriod = 500 * time.Millisecond // after it idle ones are closed at once
	maxDrainStream          = time.Minute            // for responses that are being streamed
)

// DrainTimes returns for how long after SIGTERM clients are served on, and within what time all requests must have ended.
// The last requests still have as long as the longest latency objective. With a longest deadline under
// 150 ms acceptFor is endWithin - cutoffMargin, below minDrainAcceptPeriod.
func DrainTimes(classes []balancer.Class) (acceptFor, endWithin time.Duration) {
	deadline, objective := int64(0), int64(0)
	for _, c := range classes {
		deadline, objective = max(deadline, c.Deadline), max(objective, c.LatencyObjective)
	}
	endWithin = min(time.Duration(deadline)*time.Microsecond, MaxDrainDeadline) + drainMargin
	acceptFor = max(minDrainAcceptPeriod, endWithin-time.Duration(objective)*time.Microsecond)
	return min(acceptFor, endWithin-cutoffMargin), endWithin
}

// Drain ends the client side after SIGTERM. Clients still come for a while, and those that keep a connection may have
// nowhere else to go while the next proxy starts: all are served on for acceptFor. Then the listener closes, and connections as
// they fall idle, until none is left or the cutoff has come.
//
// Where a successor serves, new connections are its own at once. Kept ones get Connection: close by their next response; those
// that send nothing for handoverIdleTimeout are closed, and soon all that are idle: this process may not live to answer a
// request that comes late.
func (srv *Server) Drain(acceptFor time.Duration, cutoff time.Time, successorServing func() bool) {
	start := time.Now()
	srv.draining.Store(true)
	srv.logger.Info("draining", "open", srv.OpenConns())
	for time.Since(start) < acceptFor && !successorServing() {
		time.Sleep(drainPollInterval)
	}
	idleTimeout := time.Duration(0)
	if time.Since(start) < acceptFor {
		srv.logger.Info("draining to successor", "open", srv.OpenConns())
		idleTimeout = handoverIdleTimeout
	}
	srv.closing.Store(true)
	srv.acceptQueued(idleTimeout, cutoff, successorServing)
	srv.Listener.Close()
	srv.closeAsIdle(idleTimeout, start, cutoff)
	srv.flushResponses(cutoff)
	srv.finishStreams(start)
	srv.logger.Info("drained", "duration", time.Since(start), "open", srv.OpenConns())
	_ = srv.server.Close() // not Shutdown, which drops a request that it has just read
}

// acceptQueued takes the connections that wait for a slot, which a close of the listener would reset: they come in as those
// that are open get Connection: close. It ends once no slot has been short for two polls.
func (srv *Server) acceptQueued(idleTimeout time.Duration, cutoff time.Time, successorServing func() bool) {
	for unfilled := 0; unfilled < 2 && !successorServing() && time.Until(cutoff) > cutoffMargin; unfilled++ {
		if srv.Listener.IsFull() {
			unfilled = -1
		}
		srv.closeIdle(idleTimeout, minDrainAcceptPeriod, false)
		time.Sleep(drainPollInterval / 2)
	}
}

// closeAsIdle closes connections as they fall idle until all are or the cutoff has come. Shortly before it, requests that
// are not complete are rejected.
func (srv *Server) closeAsIdle(idleTimeout time.Duration, start, cutoff time.Time) {
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

// flushResponses waits, for responseFlushMargin after the cutoff at most, until what the cutoff has ended is answered and
// what was answered has been received.
func (srv *Server) flushResponses(cutoff time.Time) {
	for srv.closeIdle(0, 0, true) > int(srv.activeStreams.Load()) || srv.Listener.Lingering.Count() > 0 {
		if time.Since(cutoff) > responseFlushMargin {
			return
		}
		srv.rejectUploads()
		time.Sleep(drainPollInterval)
	}
}

// finishStreams goes on with long responses that backends are still giving, until they end or this process is killed: to
// cut them off here would be no better.
func (srv *Server) finishStreams(start time.Time) {
	for srv.activeStreams.Load() > 0 && time.Since(start) < maxDrainStream {
		time.Sleep(drainPollInterval)
		srv.closeIdle(0, 0, true)
	}
}
