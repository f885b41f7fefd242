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

// call is a proxy's call.
type pollCall struct {
	proxy     string
	from      int64 // -1: the whole list
	holdUntil time.Time
	queuedAt  time.Time // that it stands in line
	reply     chan []byte
	entries   []referee.Entry
	snapshot  bool
	version   int64 // that it was answered with
	order     int64 // in which it was answered

	continues bool // it goes on from the last answer, and takes no turn
	failed    bool // it has waited too long
}

// fail ends a call without an answer, once.
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
		told := func(at time.Time) { c.recordAnswer(proxy, process, call, at) }
		if err := conn.WriteAfter(wire.JSONResponse(status, body), told); err != nil {
			c.referee.RecordPollFailed(proxy, time.Now())
			return
		}
		if req.Close {
			return
		}
	}
}

// told notes an answer that goes to a process of a proxy, nil for the call if it failed. What a cut held back for a process
// that has been killed since tells the next one nothing.
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

// handle answers one call: nil for the call if it failed.
func (c *Catalog) handle(proxy string, req *http.Request, conn *link.Conn) (int, []byte, *pollCall) {
	if req.Method != http.MethodGet || req.URL.Path != "/catalog/members" {
		return http.StatusNotFound, nil, nil
	}
	now := time.Now()
	call := &pollCall{proxy: proxy, from: -1, queuedAt: now, reply: make(chan []byte, 1)}
	if from := req.URL.Query().Get("from"); from != "" {
		n, err := strconv.ParseInt(from, 10, 64)
		hold, err2 := strconv.ParseInt(req.URL.Query().Get("hold_ms"), 10, 64)
		if err != nil || err2 != nil || n < 0 || hold < 0 {
			return http.StatusBadRequest, nil, nil
		}
		call.from, call.holdUntil = n, now.Add(min(maxHoldTime, time.Duration(hold)*time.Millisecond))
	}
	taken := false
	c.run(func() {
		if c.downFaults > 0 || len(c.queue)+len(c.watches) >= c.config.MaxWaitingCalls {
			return
		}
		if last, ok := c.lastAnswers[proxy]; ok && call.from >= 0 {
			if call.continues = now.Sub(last) <= continueWindow; !call.continues {
				c.referee.UpdateTally(func(t *referee.Tally) { t.WatchBreaks++ })
			}
		}
		taken = true
		c.queue = append(c.queue, call)
	})
	if !taken {
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
	case body, ok := <-call.reply:
		if !ok {
			return http.StatusServiceUnavailable, nil, nil
		}
		return http.StatusOK, body, call
	case <-gone: // its caller has given up or died: the call leaves the line
		c.run(func() {
			c.queue = slices.DeleteFunc(c.queue, func(o *pollCall) bool { return o == call })
			c.watches = slices.DeleteFunc(c.watches, func(o *pollCall) bool { return o == call })
		})
		return http.StatusServiceUnavailable, nil, nil
	case <-c.done:
		return http.StatusServiceUnavailable, nil, nil
	}
}
