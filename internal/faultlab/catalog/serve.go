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
type call struct {
	proxy    string
	from     int64 // -1: the whole list
	until    time.Time
	since    time.Time // that it stands in line
	reply    chan []byte
	lines    []referee.Entry
	snapshot bool
	index    int64 // that it was answered with
	order    int64 // in which it was answered

	continues bool // it goes on from the last answer, and takes no turn
	failed    bool // it has waited too long
}

// fail ends a call without an answer, once.
func (q *call) fail() {
	if !q.failed {
		q.failed = true
		close(q.reply)
	}
}

// Serve serves one connection of a proxy until it ends.
func (c *Catalog) Serve(proxy string, conn *link.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	process := c.ref.StartCount(proxy)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.ref.RecordPoll(proxy)
		status, body, q := c.handle(proxy, req, conn)
		told := func(at time.Time) { c.notified(proxy, process, q, at) }
		if err := conn.WriteAfter(wire.JSONResponse(status, body), told); err != nil {
			c.ref.RecordPollFailed(proxy, time.Now())
			return
		}
		if req.Close {
			return
		}
	}
}

// told notes an answer that goes to a process of a proxy, nil for the call if it failed. What a cut held back for a process
// that has been killed since tells the next one nothing.
func (c *Catalog) notified(proxy string, process int, q *call, at time.Time) {
	switch {
	case c.ref.StartCount(proxy) != process:
	case q == nil:
		c.ref.RecordPollFailed(proxy, at)
	default:
		c.note(proxy, q.index)
		c.ref.RecordUpdate(proxy, referee.ListUpdate{Entries: q.lines, Snapshot: q.snapshot, Order: q.order}, at)
	}
}

// handle answers one call: nil for the call if it failed.
func (c *Catalog) handle(proxy string, req *http.Request, conn *link.Conn) (int, []byte, *call) {
	if req.Method != http.MethodGet || req.URL.Path != "/catalog/members" {
		return http.StatusNotFound, nil, nil
	}
	now := time.Now()
	q := &call{proxy: proxy, from: -1, since: now, reply: make(chan []byte, 1)}
	if from := req.URL.Query().Get("from"); from != "" {
		n, err := strconv.ParseInt(from, 10, 64)
		hold, err2 := strconv.ParseInt(req.URL.Query().Get("hold_ms"), 10, 64)
		if err != nil || err2 != nil || n < 0 || hold < 0 {
			return http.StatusBadRequest, nil, nil
		}
		q.from, q.until = n, now.Add(min(maxHold, time.Duration(hold)*time.Millisecond))
	}
	taken := false
	c.on(func() {
		if c.down > 0 || len(c.line)+len(c.waiting) >= c.cfg.Most {
			return
		}
		if last, ok := c.ended[proxy]; ok && q.from >= 0 {
			if q.continues = now.Sub(last) <= continueTime; !q.continues {
				c.ref.UpdateTally(func(t *referee.Tally) { t.WatchBreaks++ })
			}
		}
		taken = true
		c.line = append(c.line, q)
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
	case body, ok := <-q.reply:
		if !ok {
			return http.StatusServiceUnavailable, nil, nil
		}
		return http.StatusOK, body, q
	case <-gone: // its caller has given up or died: the call leaves the line
		c.on(func() {
			c.line = slices.DeleteFunc(c.line, func(o *call) bool { return o == q })
			c.waiting = slices.DeleteFunc(c.waiting, func(o *call) bool { return o == q })
		})
		return http.StatusServiceUnavailable, nil, nil
	case <-c.done:
		return http.StatusServiceUnavailable, nil, nil
	}
}
