package proxy

import "time"

const (
	leaveIdle  = 100 * time.Millisecond // see drain
	leaveSoon  = 500 * time.Millisecond
	streamMost = time.Minute
	endMargin  = 150 * time.Millisecond // after the cutoff: SIGKILL comes killLeeway + 200 ms after the longest deadline
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
	f.log.Info("draining", "open", f.open())
	for time.Since(start) < stay && !succeeded() {
		time.Sleep(drainStep)
	}
	idleFor := time.Duration(0)
	if time.Since(start) < stay {
		f.log.Info("leaving to the successor", "open", f.open())
		idleFor = leaveIdle
	}
	f.closing.Store(true)
	// Connections that wait for a slot would be reset: they come in as those that are open are told to close.
	for calm := 0; calm < 2 && !succeeded() && time.Until(cutoff) > killMargin; calm++ {
		if f.listener.full() {
			calm = -1
		}
		f.closeIdle(idleFor, acceptAfter, false)
		time.Sleep(drainStep / 2)
	}
	f.listener.Close()
	for f.closeIdle(idleFor, acceptAfter, time.Until(cutoff) < killMargin) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainStep)
		if time.Since(start) > leaveSoon {
			idleFor = 0
		}
		if time.Until(cutoff) < killMargin {
			f.turnAway()
		}
	}
	// What the cutoff has ended is still being answered, and what was answered being received.
	for f.closeIdle(0, 0, true) > int(f.streams.Load()) || f.listener.lingers.open() > 0 {
		if time.Since(cutoff) > endMargin {
			break
		}
		f.turnAway()
		time.Sleep(drainStep)
	}
	// A long answer that a backend is still giving is owed to its client: it goes on until it ends or this process is
	// killed, which is better than to cut it off by ourselves.
	for f.streams.Load() > 0 && time.Since(start) < streamMost {
		time.Sleep(drainStep)
		f.closeIdle(0, 0, true)
	}
	f.log.Info("drained", "after", time.Since(start), "left", f.open())
	_ = f.server.Close() // not Shutdown, which drops a request that it has just read
}
