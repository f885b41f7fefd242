package proxy

import "time"

const (
	handoverIdleTimeout     = 100 * time.Millisecond // see drain
	handoverKeepAlivePeriod = 500 * time.Millisecond
	maxDrainStream          = time.Minute
	responseFlushMargin     = 150 * time.Millisecond // after the cutoff: SIGKILL comes killLeeway + 200 ms after the longest deadline
)

// drain closes the doors after SIGTERM. Clients still come for a while, and those that keep a connection may
// have nowhere else to go while the next proxy starts: all are served on for stay. Then the listener closes,
// and connections as they fall idle, until none is left or the cutoff has come.
//
// Where a successor serves, new connections are its own at once. Kept ones are told to close by their next answer;
// those that do not ask for leaveIdle are closed, and soon all that are idle: a request that comes late is one that
// this process may not live to answer.
func (f *frontend) drain(stay time.Duration, cutoff time.Time, succeeded func() bool) {
	start := time.Now()
	f.draining.Store(true)
	f.logger.Info("draining", "open", f.openConns())
	for time.Since(start) < stay && !succeeded() {
		time.Sleep(drainPollInterval)
	}
	idleFor := time.Duration(0)
	if time.Since(start) < stay {
		f.logger.Info("leaving to the successor", "open", f.openConns())
		idleFor = handoverIdleTimeout
	}
	f.closing.Store(true)
	// Connections that wait for a slot would be reset: they come in as those that are open are told to close.
	for calm := 0; calm < 2 && !succeeded() && time.Until(cutoff) > cutoffMargin; calm++ {
		if f.listener.isFull() {
			calm = -1
		}
		f.closeIdle(idleFor, drainAcceptPeriod, false)
		time.Sleep(drainPollInterval / 2)
	}
	f.listener.Close()
	for f.closeIdle(idleFor, drainAcceptPeriod, time.Until(cutoff) < cutoffMargin) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainPollInterval)
		if time.Since(start) > handoverKeepAlivePeriod {
			idleFor = 0
		}
		if time.Until(cutoff) < cutoffMargin {
			f.rejectUploads()
		}
	}
	// What the cutoff has ended is still being answered, and what was answered being received.
	for f.closeIdle(0, 0, true) > int(f.activeStreams.Load()) || f.listener.lingering.count() > 0 {
		if time.Since(cutoff) > responseFlushMargin {
			break
		}
		f.rejectUploads()
		time.Sleep(drainPollInterval)
	}
	// A long answer that a backend is still giving is owed to its client: it goes on until it ends or this process is
	// killed, which is better than to cut it off by ourselves.
	for f.activeStreams.Load() > 0 && time.Since(start) < maxDrainStream {
		time.Sleep(drainPollInterval)
		f.closeIdle(0, 0, true)
	}
	f.logger.Info("drained", "after", time.Since(start), "left", f.openConns())
	_ = f.server.Close() // not Shutdown, which drops a request that it has just read
}
