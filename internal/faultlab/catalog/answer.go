package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"merlinpick/internal/faultlab/referee"
)

// wireEntry is an entry of an answer, with the address at which the calling proxy reaches the server.
type wireEntry struct {
	Entry
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// advance commits the changes that are due and answers the calls that are due. It returns the time until it
// must be called again.
func (c *Catalog) advance(now time.Time) time.Duration {
	if now.Sub(c.syncedAt) >= c.config.SyncInterval {
		c.file.Sync()
		c.syncedAt = now
	}
	next := c.config.SyncInterval
	changed := false
	for len(c.pending) > 0 && c.staleFaults == 0 && c.downFaults == 0 {
		if wait := c.pending[0].dueAt.Sub(now); wait > 0 {
			next = min(next, wait)
			break
		}
		if !c.commit(c.pending[0].entry) {
			break
		}
		c.pending = c.pending[1:]
		changed = true
	}
	kept := c.watches[:0]
	for _, w := range c.watches {
		if changed || !now.Before(w.holdUntil) {
			w.queuedAt = now
			c.queue = append(c.queue, w)
		} else {
			kept = append(kept, w)
		}
	}
	c.watches = kept
	next = min(next, c.serveQueue(now))
	for _, w := range c.watches {
		next = min(next, w.holdUntil.Sub(now))
	}
	return max(next, minStepInterval)
}

// serveQueue answers the queued calls that are due and returns the time until the next one is due. A watch
// that continues is answered at once. A call that waits longer than QueueTimeout fails at that time but still
// keeps its place in the queue and costs service time, as on the platform.
func (c *Catalog) serveQueue(now time.Time) time.Duration {
	next := c.config.SyncInterval
	calls := c.queue
	c.queue = nil
	for _, call := range calls {
		waited := now.Sub(call.queuedAt)
		switch {
		case call.continues:
			c.answer(call, now)
		case c.busyUntil.After(now):
			if waited > c.config.QueueTimeout {
				call.fail()
			} else {
				next = min(next, c.config.QueueTimeout-waited)
			}
			next = min(next, c.busyUntil.Sub(now))
			c.queue = append(c.queue, call)
		case call.failed || waited > c.config.QueueTimeout:
			call.fail()
			c.busyUntil = now.Add(c.serviceTime(0))
		default:
			c.busyUntil = now.Add(c.answer(call, now))
		}
	}
	return next
}

// serviceTime returns the service time of an answer with a number of entries.
func (c *Catalog) serviceTime(entries int) time.Duration {
	return time.Duration(c.slowdown * float64(c.config.CallWork+time.Duration(entries)*c.config.EntryWork))
}

// answer answers a call, or adds it to the watches if there is no news for it. It returns the service time.
func (c *Catalog) answer(call *pollCall, now time.Time) time.Duration {
	var wireEntries []wireEntry
	call.snapshot = call.from < 0 || call.from > c.version || c.version > call.from && (len(c.changes) == 0 || c.changes[0].Version > call.from+1)
	if call.snapshot {
		wireEntries, call.entries = c.snapshot(call.proxy, c.entries)
	} else {
		if call.from == c.version && now.Before(call.holdUntil) {
			call.continues = true // a watch that was served once does not wait in the queue again
			c.watches = append(c.watches, call)
			return c.serviceTime(0)
		}
		seen := map[string]bool{}
		for _, record := range slices.Backward(c.changes) {
			if record.Version > call.from && !seen[record.Entry.Name] {
				seen[record.Entry.Name] = true
				wireEntries = append(wireEntries, c.toWireEntry(call.proxy, record.Entry))
				call.entries = append(call.entries, refereeEntry(record.Entry))
			}
		}
	}
	c.answeredCalls++
	call.order, call.version = c.answeredCalls, c.version
	call.reply <- encode(c.version, call.snapshot, wireEntries)
	c.lastAnswers[call.proxy] = now
	return c.serviceTime(len(wireEntries))
}

// toWireEntry converts an entry for an answer to a proxy.
func (c *Catalog) toWireEntry(proxy string, entry Entry) wireEntry {
	return wireEntry{entry, c.config.Address(proxy, entry.Name), 1}
}

// refereeEntry converts an entry for the referee.
func refereeEntry(entry Entry) referee.Entry {
	return referee.Entry{Server: entry.Name, Serving: entry.Status == Serving, Since: entry.Since}
}

// snapshot converts a list for an answer to a proxy, sorted by name, and for the referee, in the same order.
func (c *Catalog) snapshot(proxy string, entries map[string]Entry) ([]wireEntry, []referee.Entry) {
	var wireEntries []wireEntry
	var known []referee.Entry
	for _, entry := range entries {
		wireEntries = append(wireEntries, c.toWireEntry(proxy, entry))
	}
	slices.SortFunc(wireEntries, func(a, b wireEntry) int { return strings.Compare(a.Name, b.Name) })
	for _, l := range wireEntries {
		known = append(known, refereeEntry(l.Entry))
	}
	return wireEntries, known
}

// encode returns the JSON text of an answer.
func encode(version int64, snapshot bool, entries []wireEntry) []byte {
	if entries == nil {
		entries = []wireEntry{}
	}
	text, err := json.Marshal(struct {
		Index     int64       `json:"index"`
		Snapshot  bool        `json:"snapshot"`
		Endpoints []wireEntry `json:"endpoints"`
	}{version, snapshot, entries})
	if err != nil {
		panic(err)
	}
	return text
}

// failCalls fails all queued calls and all watches.
func (c *Catalog) failCalls() {
	for _, call := range append(c.queue, c.watches...) {
		call.fail()
	}
	c.queue, c.watches = nil, nil
}
