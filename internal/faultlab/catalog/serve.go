package catalog

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/wire"
)

// pollCall is a call of a proxy for the list or its changes.
type pollCall struct {
	proxy     string
	from      int64     // version that the proxy has; -1: it asks for the complete list
	holdUntil time.Time // end of the hold time of a watch
	queuedAt  time.Time
	reply     chan []byte     // receives the answer; closed without one if the call fails
	entries   []referee.Entry // of the answer
	snapshot  bool            // whether the answer is the complete list
	version   int64           // of the answer
	order     int64           // sequence number of the answer

	continues bool // a watch that continues from the last answer does not wait in the queue
	failed    bool
}

// fail ends a call without an answer; later calls of fail do nothing.
func (p *pollCall) fail() {
	if !p.failed {
		p.failed = true
		close(p.reply)
	}
}

// Serve serves one connection of a proxy until it ends.
func (c *Catalog) Serve(proxy string, conn *link.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	process := c.referee.StartCount(proxy)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.referee.RecordPoll(proxy)
		status, body, call := c.handle(proxy, req, conn)
		record := func(at time.Time) { c.recordAnswer(proxy, process, call, at) }
		if err := conn.WriteAfter(wire.JSONResponse(status, body), record); err != nil {
			c.referee.RecordPollFailed(proxy, time.Now())
			return
		}
		if req.Close {
			return
		}
	}
}

// recordAnswer records an answer that is written to a process of a proxy; call is nil if the call failed. An
// answer that a cut delayed until after the process was killed does not notify the proxy's next process.
func (c *Catalog) recordAnswer(proxy string, process int, call *pollCall, at time.Time) {
	switch {
	case c.referee.StartCount(proxy) != process:
	case call == nil:
		c.referee.RecordPollFailed(proxy, at)
	default:
		c.recordVersion(proxy, call.version)
		c.referee.RecordUpdate(proxy, referee.ListUpdate{Entries: call.entries, Snapshot: call.snapshot, Order: call.order}, at)
	}
}

// handle returns the answer to one request; poll is nil if the call failed.
func (c *Catalog) handle(proxy string, request *http.Request, conn *link.Conn) (status int, body []byte, poll *pollCall) {
	if request.Method != http.MethodGet || request.URL.Path != "/catalog/members" {
		return http.StatusNotFound, nil, nil
	}
	poll, ok := parsePoll(proxy, request)
	if !ok {
		return http.StatusBadRequest, nil, nil
	}
	if !c.enqueue(poll) {
		return http.StatusServiceUnavailable, nil, nil
	}
	stop, gone := make(chan struct{}), make(chan struct{})
	go func() {
		if conn.AwaitPeerClose(stop) {
			close(gone)
		}
	}()
	defer close(stop)
	select {
	case body, ok := <-poll.reply:
		if !ok {
			return http.StatusServiceUnavailable, nil, nil
		}
		return http.StatusOK, body, poll
	case <-gone: // the proxy has closed the connection
		c.runInLoop(func() {
			c.queue = slices.DeleteFunc(c.queue, func(other *pollCall) bool { return other == poll })
			c.watches = slices.DeleteFunc(c.watches, func(other *pollCall) bool { return other == poll })
		})
		return http.StatusServiceUnavailable, nil, nil
	case <-c.done:
		return http.StatusServiceUnavailable, nil, nil
	}
}

// parsePoll returns the call that a request makes; false if its parameters are invalid.
func parsePoll(proxy string, request *http.Request) (poll *pollCall, ok bool) {
	now := time.Now()
	poll = &pollCall{proxy: proxy, from: -1, queuedAt: now, reply: make(chan []byte, 1)}
	from := request.URL.Query().Get("from")
	if from == "" {
		return poll, true
	}
	version, err := strconv.ParseInt(from, 10, 64)
	hold, err2 := strconv.ParseInt(request.URL.Query().Get("hold_ms"), 10, 64)
	if err != nil || err2 != nil || version < 0 || hold < 0 {
		return nil, false
	}
	poll.from, poll.holdUntil = version, now.Add(min(maxHoldTime, time.Duration(hold)*time.Millisecond))
	return poll, true
}

// enqueue queues a call; false if the catalog is down or has too many waiting calls.
func (c *Catalog) enqueue(poll *pollCall) (queued bool) {
	c.runInLoop(func() {
		if c.downFaults > 0 || len(c.queue)+len(c.watches) >= c.config.MaxWaitingCalls {
			return
		}
		if last, ok := c.lastAnswers[poll.proxy]; ok && poll.from >= 0 {
			if poll.continues = poll.queuedAt.Sub(last) <= continueWindow; !poll.continues {
				c.referee.UpdateTally(func(tally *referee.Tally) { tally.WatchBreaks++ })
			}
		}
		queued = true
		c.queue = append(c.queue, poll)
	})
	return queued
}
