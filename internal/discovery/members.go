package discovery

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"time"
)

// What a client of several members believes, and how long it takes:
//
//   - Each client goes through the members in an order of its own, so that a fleet spreads over them. A failure (refused,
//     silent, 503, nonsense) moves it to the next, after a pause drawn from 0 to Spread: the callers of a member that
//     dies do not arrive at the others together. Once all members have failed in a row the pauses double, each round,
//     to pauseMost, drawn from half of it to all.
//   - A silent member is given up Hold and callSlack after the watch began: a change reaches this client at most Hold +
//     callSlack + Spread + the service's own bound after it was confirmed, as long as some member answers.
//   - Within a line of versions nothing older is taken than what was taken before: a member that is behind is left.
//   - Another line (the service began anew, or was restored) is taken at once if its versions lie above, as the service
//     sees to. If they lie below, only when no member has answered for the former line for lineWait: two services
//     that both answer are not to be believed in turn.
//   - What another line lacks was not taken out by anybody. Such entries stand as they were for missingWait, in which
//     nodos that live register again, and are gone after that: a wrong restore takes no backend from the proxy that is
//     there, and one from another time does not keep dead ones for ever.
//   - While no member answers, the last list stands without limit.
const (
	// Hold is how long a watch waits for news.
	Hold      = 4 * time.Second
	callSlack = 1500 * time.Millisecond
	// Spread is over how long the callers of a member that dies come to the others.
	Spread      = 600 * time.Millisecond
	pauseMost   = 5 * time.Second
	lineWait    = 10 * time.Second
	missingWait = 30 * time.Second
	dialWait    = time.Second
)

// followed is what a client of several members knows. It is Run's alone.
type followed struct {
	line      string
	index     int64
	list      map[string]Endpoint // by name; nil before the first
	missing   map[string]time.Time
	lastOwn   time.Time // when a member last answered for the line
	elsewhere bool      // the operator has moved it: whatever line is there is taken
}

var errBehind = errors.New("a member is behind what another has told")

// Known has the client begin with a whole list that it did not hear itself: with Members one that it kept, else the one
// that the configuration came with, which the first call then goes on from. To be called before Run.
func (c *Client) Known(l *List) {
	if len(c.at.Members) > 0 {
		c.begin(l)
	} else if l.Full {
		c.version = l.Index
	}
}

func (c *Client) begin(l *List) {
	c.line, c.index, c.list = l.Line, l.Index, map[string]Endpoint{}
	for _, e := range l.Endpoints {
		c.list[e.Name] = e
	}
	c.lastOwn = time.Now()
}

// follow follows the members until the context ends.
func (c *Client) follow(ctx context.Context) {
	order := slices.Clone(c.at.Members)
	c.rng.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	at, failed, whole := 0, 0, true
	for ctx.Err() == nil {
		asked, before := time.Now(), c.index
		list, err := c.ask(ctx, order[at], whole)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err == nil {
			err = c.take(list, now)
		}
		if err == nil {
			c.answered.Store(int64(max(1, time.Since(c.start))))
			c.drop(now)
			// A member that holds no watch must not have this client ask without a pause.
			if !whole && c.index == before && now.Sub(asked) < Hold/2 {
				c.wait(ctx, c.draw(Spread))
			}
			failed, whole = 0, false
			continue
		}
		failed++
		c.failures.Add(1)
		whole = whole || !errors.Is(err, errBusy) && !errors.Is(err, errBehind) && list != nil
		next := (at + 1) % len(order)
		if failed == 1 || failed%len(order) == 0 {
			c.log.Warn("discovery: a member failed", "member", order[at], "next", order[next], "in_a_row", failed, "error", err)
		}
		if next != at {
			c.moves.Add(1)
		}
		at = next
		c.drop(now)
		c.wait(ctx, c.pause(failed, len(order)))
	}
}

func (c *Client) wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// pause is how long to wait after so many failures in a row.
func (c *Client) pause(failed, members int) time.Duration {
	if failed < members {
		return c.draw(Spread)
	}
	p := min(Spread<<min(failed/members, 8), pauseMost)
	return p/2 + c.draw(p/2)
}

func (c *Client) draw(below time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(below)))
}

// ask makes a call of one member: a watch, or with whole for the whole list.
func (c *Client) ask(ctx context.Context, addr string, whole bool) (*List, error) {
	u, patience := "http://"+addr+"/catalog/members", listPatience
	if !whole && c.list != nil {
		u += "?from=" + strconv.FormatInt(c.index, 10) + "&hold_ms=" + strconv.FormatInt(Hold.Milliseconds(), 10) + "&line=" +
			url.QueryEscape(c.line)
		patience = Hold + callSlack
	}
	return c.get(ctx, u, patience)
}

// take believes an answer, or says why not, and tells what is new in it.
func (c *Client) take(l *List, now time.Time) error {
	first := c.list == nil
	if l.Line == c.line && !first {
		if l.Index < c.index && !c.elsewhere {
			return fmt.Errorf("%w: version %d after %d", errBehind, l.Index, c.index)
		}
		c.lastOwn = now
	} else {
		if !l.Full {
			return fmt.Errorf("changes of line %q, and the list is of %q", l.Line, c.line)
		}
		if l.Index < c.index && !c.elsewhere && now.Sub(c.lastOwn) < lineWait {
			return fmt.Errorf("%w: line %q at version %d is below line %q at %d, which was told %v ago", errBehind, l.Line,
				l.Index, c.line, c.index, now.Sub(c.lastOwn).Round(time.Millisecond))
		}
	}
	if !l.Full {
		c.changes(l)
		return nil
	}
	told := *l
	told.Endpoints = c.withMissing(l, now, !first && (l.Line != c.line || c.elsewhere))
	c.elsewhere = false
	c.begin(&told)
	c.kept.Store(int64(len(c.missing)))
	c.save()
	c.tell(News{&told})
	return nil
}

// withMissing is a whole list, and after it what it lacks that stands for a while: all that another line lacks, and what
// one before it has lacked.
func (c *Client) withMissing(l *List, now time.Time, another bool) []Endpoint {
	out := slices.Clone(l.Endpoints)
	has := map[string]bool{}
	for _, e := range out {
		has[e.Name] = true
	}
	missing := map[string]time.Time{}
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		since, before := c.missing[name]
		if has[name] || !another && !before {
			continue
		}
		if !before { // lines that follow each other do not add up
			since = now
		}
		missing[name] = since
		out = append(out, c.list[name])
	}
	if another {
		c.log.Warn("discovery: another line of versions", "line", l.Line, "index", l.Index, "former", c.line,
			"former_index", c.index, "nodos", len(l.Endpoints), "missing", len(missing), "kept_for", missingWait)
	}
	c.missing = missing
	return out
}

// changes takes what has changed.
func (c *Client) changes(l *List) {
	c.index = l.Index
	if len(l.Endpoints) == 0 {
		return
	}
	for _, e := range l.Endpoints {
		delete(c.missing, e.Name)
		if e.Status == Deleted {
			delete(c.list, e.Name)
		} else {
			c.list[e.Name] = e
		}
	}
	c.kept.Store(int64(len(c.missing)))
	c.save()
	c.tell(News{l})
}

// drop tells that what a line has lacked for long is gone.
func (c *Client) drop(now time.Time) {
	var gone []Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.missing)) {
		if now.Sub(c.missing[name]) >= missingWait {
			gone = append(gone, Endpoint{Name: name, Status: Deleted})
		}
	}
	if len(gone) > 0 {
		c.log.Warn("discovery: what the new line lacks is gone", "nodos", len(gone))
		c.changes(&List{Index: c.index, Line: c.line, Endpoints: gone})
	}
}

func (c *Client) save() {
	if c.keep == nil {
		return
	}
	l := &List{Index: c.index, Line: c.line}
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		l.Endpoints = append(l.Endpoints, c.list[name])
	}
	c.keep.put(l)
}
