package proxy

import (
	"context"
	"time"
)

const (
	leaveIdle  = 100 * time.Millisecond // see drain
	leaveSoon  = 500 * time.Millisecond
	streamMost = time.Minute
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
	f.listener.Close()
	for f.closeIdle(idleFor, acceptAfter) > 0 && time.Now().Before(cutoff) {
		time.Sleep(drainStep)
		if time.Since(start) > leaveSoon {
			idleFor = 0
		}
		if time.Until(cutoff) < killMargin {
			f.turnAway()
		}
	}
	// A long answer that a backend is still giving is owed to its client: it goes on until it ends or this process is
	// killed, which is better than to cut it off by ourselves.
	for f.streams.Load() > 0 && time.Since(start) < streamMost {
		time.Sleep(drainStep)
		f.closeIdle(0, 0)
	}
	f.log.Info("drained", "after", time.Since(start), "left", f.open())
	ctx, cancel := context.WithTimeout(context.Background(), drainStep)
	defer cancel()
	_ = f.server.Shutdown(ctx)
	_ = f.server.Close()
}
