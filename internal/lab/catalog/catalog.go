// Package catalog is the stand-in list service: the platform's discovery protocol, handled in turn, told late, kept in a
// file that a power loss tears.
//
// One goroutine, run, owns the list and answers all calls one after another; connections hand their calls to it and
// wait.
package catalog

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"fernlanding/internal/lab/disk"
	"fernlanding/internal/lab/link"
	"fernlanding/internal/lab/referee"
	"fernlanding/internal/lab/wire"
)

// Entry is a nodo as the list has it; its address is each proxy's own.
type Entry struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	Type   string `json:"type"`
	Group  int    `json:"group"`
	Status string `json:"status"`
	Since  int64  `json:"since_ms"`
}

// The words of Status.
const (
	Serving  = "SERVING"
	Draining = "DRAINING"
	Deleted  = "DELETED"
)

// line is an entry on the wire.
type line struct {
	Entry
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// Config is what the service is.
type Config struct {
	Lag    time.Duration // from a change to its being told
	Call   time.Duration // of the service for a call
	Line   time.Duration // and for a line of an answer
	Wait   time.Duration // in line, at most
	Sync   time.Duration // between syncs of the file
	Retain int           // changes kept for watches
	Most   int           // calls that are held, watches that wait included
	Seed   uint64
	// Address is where a proxy finds a nodo.
	Address func(proxy, nodo string) string
}

const (
	holdMost  = 60 * time.Second
	leastWait = 100 * time.Microsecond

	registerAgain = 3 * time.Second        // after a loss of versions
	continueTime  = 200 * time.Millisecond // a watch that comes later than this after the last answer is a new one
)

// change is one version of the list.
type change struct {
	Index int64 `json:"index"`
	Entry Entry `json:"entry"`
}

// call is a proxy's call.
type call struct {
	proxy string
	from  int64 // -1: the whole list
	until time.Time
	since time.Time // that it stands in line
	reply chan []byte
	lines []referee.Entry
	whole bool
}

// Catalog is the service.
type Catalog struct {
	cfg  Config
	ref  *referee.Referee
	do   chan func()
	done chan struct{}

	// What follows is run's alone.
	file    *disk.File
	index   int64
	entries map[string]Entry
	changes []change // of the last versions, in order
	pending []due    // changes not told yet
	waiting []*call  // watches with nothing to tell
	line    []*call  // calls in line
	busy    time.Time
	slow    float64
	down    int // faults that hold, as of the next
	stale   int
	full    int
	synced  time.Time
	ended   map[string]time.Time // when each proxy's last watch was answered
	rng     *rand.Rand
}

type due struct {
	at    time.Time
	entry Entry
}

// New is a service that holds these entries as versions of long ago.
func New(cfg Config, ref *referee.Referee, entries []Entry) *Catalog {
	c := &Catalog{cfg: cfg, ref: ref, do: make(chan func()), done: make(chan struct{}), file: &disk.File{},
		entries: map[string]Entry{}, slow: 1, ended: map[string]time.Time{}, rng: rand.New(rand.NewPCG(cfg.Seed, 11))}
	for _, e := range entries {
		c.tell(e)
	}
	c.file.Sync()
	return c
}

// Run serves until the context ends.
func (c *Catalog) Run(ctx context.Context) {
	defer close(c.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case f := <-c.do:
			f()
		case <-timer.C:
		case <-ctx.Done():
			c.drop()
			return
		}
		timer.Reset(c.step(time.Now()))
	}
}

func (c *Catalog) on(f func()) {
	did := make(chan struct{})
	select {
	case c.do <- func() { f(); close(did) }:
		<-did
	case <-c.done:
	}
}

// Change has the list hold an entry, and tells it after the lag.
func (c *Catalog) Change(e Entry) {
	c.on(func() { c.pending = append(c.pending, due{time.Now().Add(c.cfg.Lag), e}) })
}

// Down ends all calls, and has those that come end too, until end is called. Several add up, as do those below.
func (c *Catalog) Down() (end func()) {
	c.on(func() { c.down++; c.drop() })
	return func() { c.on(func() { c.down-- }) }
}

// Slow has calls take so many times as long until end is called.
func (c *Catalog) Slow(factor float64) (end func()) {
	c.on(func() { c.slow *= factor })
	return func() { c.on(func() { c.slow /= factor }) }
}

// Stale has it tell nothing new until end is called.
func (c *Catalog) Stale() (end func()) {
	c.on(func() { c.stale++ })
	return func() { c.on(func() { c.stale-- }) }
}

// Rollback takes the last versions back, with what they told. Watches end: the service was restored from a copy. The
// nodos that lost their entries by it register again some time later, under versions that were used before.
func (c *Catalog) Rollback(versions int) {
	c.on(func() { c.back(c.read(c.file.Bytes()), c.index-int64(versions)) })
}

// back begins again from these records, up to a version. What was told after that is told again.
func (c *Catalog) back(records []change, upTo int64) {
	former := c.changes
	c.restore(records, upTo)
	c.drop()
	again := time.Now().Add(registerAgain)
	for _, v := range former {
		if v.Index > c.index {
			c.pending = append(c.pending, due{again, v.Entry})
		}
	}
}

// PowerLoss loses what the file had not synced, and reads what is left. The versions go back by as much. It comes with
// Down. It tells how many versions were lost.
func (c *Catalog) PowerLoss() (lost int64) {
	c.on(func() {
		before := c.index
		c.file.PowerLoss(c.rng)
		c.back(c.read(c.file.Bytes()), before)
		lost = before - c.index
	})
	return lost
}

// Full has the disk of its file full until end is called: a change that cannot be kept is not told.
func (c *Catalog) Full() (end func()) {
	c.on(func() { c.full++; c.file.Full(true) })
	return func() { c.on(func() { c.full--; c.file.Full(c.full > 0) }) }
}

// Snapshot is the list as a proxy is told it at its start, with what the referee notes of it.
func (c *Catalog) Snapshot(proxy string, part float64, r *rand.Rand) (list json.RawMessage, told []referee.Entry) {
	c.on(func() {
		lines, noted := c.wholeList(proxy)
		whole, kept := len(lines), lines[:0]
		for i, l := range lines {
			if r.Float64() < part {
				kept = append(kept, l)
				told = append(told, noted[i])
			}
		}
		version := c.index
		if len(kept) < whole { // no version of the list looked so: a caller must not go on from it
			version = -1
		}
		list = encode(version, true, kept)
	})
	return list, told
}

// tell makes an entry the next version. A disk that takes no record of it keeps the version from coming about.
func (c *Catalog) tell(e Entry) bool {
	next := change{c.index + 1, e}
	text, err := json.Marshal(next)
	if err != nil {
		panic(err) // a struct of strings and numbers
	}
	if c.file.Append(fmt.Appendf(nil, "%08x %s\n", crc32.ChecksumIEEE(text), text)) != nil {
		return false
	}
	c.apply(next)
	return true
}

func (c *Catalog) apply(v change) {
	c.index = v.Index
	if v.Entry.Status == Deleted {
		delete(c.entries, v.Entry.Name)
	} else {
		c.entries[v.Entry.Name] = v.Entry
	}
	c.changes = append(c.changes, v)
	if over := len(c.changes) - c.cfg.Retain; over > 0 {
		c.changes = slices.Clone(c.changes[over:])
	}
}

// read takes the records of a file up to the first that is torn.
func (c *Catalog) read(data []byte) []change {
	var out []change
	whole := 0
	for len(data) > whole {
		text, _, ok := bytes.Cut(data[whole:], []byte("\n"))
		var v change
		if !ok || len(text) < 10 || fmt.Sprintf("%08x", crc32.ChecksumIEEE(text[9:])) != string(text[:8]) ||
			json.Unmarshal(text[9:], &v) != nil {
			break
		}
		out = append(out, v)
		whole += len(text) + 1
	}
	c.file.Truncate(whole)
	return out
}

// restore begins from these records, up to a version.
func (c *Catalog) restore(records []change, upTo int64) {
	c.index, c.entries, c.changes = 0, map[string]Entry{}, nil
	whole := 0
	for _, v := range records {
		if v.Index > upTo {
			break
		}
		c.apply(v)
		text, _ := json.Marshal(v)
		whole += len(text) + 10
	}
	c.file.Truncate(whole)
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
		if !c.tell(c.pending[0].entry) {
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
	for len(c.line) > 0 {
		if wait := c.busy.Sub(now); wait > 0 {
			next = min(next, wait)
			break
		}
		q := c.line[0]
		c.line = c.line[1:]
		if now.Sub(q.since) > c.cfg.Wait {
			close(q.reply)
			continue
		}
		c.busy = now.Add(c.answer(q, now))
	}
	for _, w := range c.waiting {
		next = min(next, w.until.Sub(now))
	}
	return max(next, leastWait)
}

// answer answers a call and tells how long the service was busy with it.
func (c *Catalog) answer(q *call, now time.Time) time.Duration {
	var lines []line
	q.whole = q.from < 0 || q.from > c.index || c.index > q.from && (len(c.changes) == 0 || c.changes[0].Index > q.from+1)
	if q.whole {
		lines, q.lines = c.wholeList(q.proxy)
	} else {
		if q.from == c.index && now.Before(q.until) {
			c.waiting = append(c.waiting, q)
			return time.Duration(float64(c.cfg.Call) * c.slow)
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
	q.reply <- encode(c.index, q.whole, lines)
	c.ended[q.proxy] = now
	return time.Duration(c.slow * float64(c.cfg.Call+time.Duration(len(lines))*c.cfg.Line))
}

func (c *Catalog) line1(proxy string, e Entry) line { return line{e, c.cfg.Address(proxy, e.Name), 1} }

func noted(e Entry) referee.Entry {
	return referee.Entry{Nodo: e.Name, Serving: e.Status == Serving, Since: e.Since}
}

func (c *Catalog) wholeList(proxy string) ([]line, []referee.Entry) {
	var lines []line
	var told []referee.Entry
	for _, e := range c.entries {
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
		close(q.reply)
	}
	c.line, c.waiting = nil, nil
}

// Serve serves one connection of a proxy until it ends.
func (c *Catalog) Serve(proxy string, conn *link.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		c.ref.Asks(proxy)
		status, body, q := c.handle(proxy, req, conn)
		told := func(at time.Time) {
			if q == nil {
				c.ref.Told(proxy, nil, false, true, at)
				return
			}
			c.ref.Told(proxy, q.lines, q.whole, false, at)
		}
		if err := conn.NoteThenWrite(wire.JSON(status, body), told); err != nil {
			c.ref.Told(proxy, nil, false, true, time.Now())
			return
		}
		if req.Close {
			return
		}
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
		q.from, q.until = n, now.Add(min(holdMost, time.Duration(hold)*time.Millisecond))
	}
	taken := false
	c.on(func() {
		if c.down > 0 || len(c.line)+len(c.waiting) >= c.cfg.Most {
			return
		}
		if last, ok := c.ended[proxy]; ok && q.from >= 0 && now.Sub(last) > continueTime {
			c.ref.Count(func(t *referee.Tally) { t.WatchBreaks++ })
		}
		taken = true
		c.line = append(c.line, q)
	})
	if !taken {
		return http.StatusServiceUnavailable, nil, nil
	}
	stop, gone := make(chan struct{}), make(chan struct{})
	go func() {
		if conn.AwaitEnd(stop) {
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
