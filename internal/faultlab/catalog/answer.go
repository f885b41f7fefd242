package catalog

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"merlinpick/internal/faultlab/referee"
)

// line is an entry on the wire.
type line struct {
	Entry
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// step tells what is due and answers the calls whose turn it is; the next one is due after the time that it returns.
func (c *Catalog) step(now time.Time) time.Duration {
	if now.Sub(c.synced) >= c.cfg.Sync {
		c.file.Sync()
		c.synced = now
	}
	next := c.cfg.Sync
	news := false
	for len(c.pending) > 0 && c.stale == 0 && c.down == 0 {
		if wait := c.pending[0].at.Sub(now); wait > 0 {
			next = min(next, wait)
			break
		}
		if !c.notify(c.pending[0].entry) {
			break
		}
		c.pending = c.pending[1:]
		news = true
	}
	kept := c.waiting[:0]
	for _, w := range c.waiting {
		if news || !now.Before(w.until) {
			w.since = now
			c.line = append(c.line, w)
		} else {
			kept = append(kept, w)
		}
	}
	c.waiting = kept
	next = min(next, c.serveLine(now))
	for _, w := range c.waiting {
		next = min(next, w.until.Sub(now))
	}
	return max(next, minWait)
}

// serveLine answers the calls whose turn it is, and returns how long it is until the next one is due. A watch that goes on
// takes no turn. A call that has waited too long fails then, and takes its turn all the same, as the platform's do.
func (c *Catalog) serveLine(now time.Time) time.Duration {
	next := c.cfg.Sync
	line := c.line
	c.line = nil
	for _, q := range line {
		waited := now.Sub(q.since)
		switch {
		case q.continues:
			c.answer(q, now)
		case c.busy.After(now):
			if waited > c.cfg.Wait {
				q.fail()
			} else {
				next = min(next, c.cfg.Wait-waited)
			}
			next = min(next, c.busy.Sub(now))
			c.line = append(c.line, q)
		case q.failed || waited > c.cfg.Wait:
			q.fail()
			c.busy = now.Add(c.cost(0))
		default:
			c.busy = now.Add(c.answer(q, now))
		}
	}
	return next
}

// cost is how long the service is busy with an answer of so many lines.
func (c *Catalog) cost(lines int) time.Duration {
	return time.Duration(c.slow * float64(c.cfg.Call+time.Duration(lines)*c.cfg.Line))
}

// answer answers a call and tells how long the service was busy with it.
func (c *Catalog) answer(q *call, now time.Time) time.Duration {
	var lines []line
	q.snapshot = q.from < 0 || q.from > c.index || c.index > q.from && (len(c.changes) == 0 || c.changes[0].Index > q.from+1)
	if q.snapshot {
		lines, q.lines = c.snapshot(q.proxy, c.entries)
	} else {
		if q.from == c.index && now.Before(q.until) {
			q.continues = true // it has had its turn
			c.waiting = append(c.waiting, q)
			return c.cost(0)
		}
		seen := map[string]bool{}
		for _, v := range slices.Backward(c.changes) {
			if v.Index > q.from && !seen[v.Entry.Name] {
				seen[v.Entry.Name] = true
				lines = append(lines, c.line1(q.proxy, v.Entry))
				q.lines = append(q.lines, noted(v.Entry))
			}
		}
	}
	c.answered++
	q.order, q.index = c.answered, c.index
	q.reply <- encode(c.index, q.snapshot, lines)
	c.ended[q.proxy] = now
	return c.cost(len(lines))
}

func (c *Catalog) line1(proxy string, e Entry) line { return line{e, c.cfg.Address(proxy, e.Name), 1} }

func noted(e Entry) referee.Entry {
	return referee.Entry{Server: e.Name, Serving: e.Status == Serving, Since: e.Since}
}

func (c *Catalog) snapshot(proxy string, entries map[string]Entry) ([]line, []referee.Entry) {
	var lines []line
	var told []referee.Entry
	for _, e := range entries {
		lines = append(lines, c.line1(proxy, e))
	}
	slices.SortFunc(lines, func(a, b line) int { return strings.Compare(a.Name, b.Name) })
	for _, l := range lines {
		told = append(told, noted(l.Entry))
	}
	return lines, told
}

func encode(index int64, whole bool, lines []line) []byte {
	if lines == nil {
		lines = []line{}
	}
	text, err := json.Marshal(struct {
		Index     int64  `json:"index"`
		Snapshot  bool   `json:"snapshot"`
		Endpoints []line `json:"endpoints"`
	}{index, whole, lines})
	if err != nil {
		panic(err)
	}
	return text
}

// drop ends all calls without an answer.
func (c *Catalog) drop() {
	for _, q := range append(c.line, c.waiting...) {
		q.fail()
	}
	c.line, c.waiting = nil, nil
}
