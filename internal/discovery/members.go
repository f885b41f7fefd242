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

	"merlinpick/internal/failover"
)

// What a client of several members believes, and how long it takes. Whom it asks, when, and which versions it takes is
// package failover's; beyond that:
//
//   - A silent member is given up Hold and callSlack after the watch began: a change reaches this client at most Hold +
//     callSlack + Spread + the service's own bound after it was confirmed, as long as some member answers.
//   - What another line lacks was not taken out by anybody. Such entries stand as they were for missingWait, in which
//     nodos that live register again, and are gone after that: a wrong restore takes no backend from the proxy that is
//     there, and one from another time does not keep dead ones for ever.
//   - While no member answers, the last list stands without limit.
const (
	// Hold is how long a watch waits for news.
	LongPollTimeout = 4 * time.Second
	callSlack       = 1500 * time.Millisecond
	// Spread is over how long the callers of a member that dies come to the others.
	FailoverJitter = failover.Jitter
	pauseMost      = 5 * time.Second
	lineWait       = failover.EpochWait
	missingWait    = 30 * time.Second
)

// followed is what a client of several members knows. It is Run's alone.
type followed struct {
	seen      failover.AcceptedVersion
	list      map[string]Endpoint // by name; nil before the first
	missing   map[string]time.Time
	elsewhere bool // the operator has moved it: whatever line is there is taken
}

// Known has the client begin with a whole list that it did not hear itself: with Members one that it kept, else the one
// that the configuration came with, which the first call then goes on from. To be called before Run.
func (c *Client) SetInitialList(l *List) {
	if len(c.at.Members) > 0 {
		c.begin(l)
	} else if l.Full {
		c.version = l.Version
	}
}

func (c *Client) begin(l *List) {
	c.seen, c.list = failover.AcceptedVersion{Epoch: l.Epoch, Version: l.Version, ConfirmedAt: time.Now()}, map[string]Endpoint{}
	for _, e := range l.Endpoints {
		c.list[e.Name] = e
	}
}

// follow follows the members until the context ends.
func (c *Client) follow(ctx context.Context) {
	members := failover.NewRing(c.at.Members, c.rng, pauseMost)
	whole := true
	for ctx.Err() == nil {
		asked, before := time.Now(), c.seen.Version
		list, err := c.ask(ctx, members.Current(), whole)
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
			if !whole && c.seen.Version == before && now.Sub(asked) < LongPollTimeout/2 {
				c.wait(ctx, c.draw(FailoverJitter))
			}
			members.RecordSuccess()
			whole = false
			continue
		}
		c.failures.Add(1)
		whole = whole || !errors.Is(err, errBusy) && !errors.Is(err, failover.ErrStaleVersion) && list != nil
		member := members.Current()
		f := members.RecordFailure()
		if f.ShouldLog {
			c.log.Warn("discovery: a member failed", "member", member, "next", f.Next, "in_a_row", f.Consecutive, "error", err)
		}
		if f.FailedOver {
			c.moves.Add(1)
		}
		c.drop(now)
		c.wait(ctx, f.Backoff)
	}
}

func (c *Client) wait(ctx context.Context, d time.Duration) { failover.Sleep(ctx, d) }

func (c *Client) draw(below time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(below)))
}

// ask makes a call of one member: a watch, or with whole for the whole list.
func (c *Client) ask(ctx context.Context, addr string, whole bool) (*List, error) {
	u, patience := "http://"+addr+"/catalog/members", listPatience
	if !whole && c.list != nil {
		u += "?from=" + strconv.FormatInt(c.seen.Version, 10) + "&hold_ms=" + strconv.FormatInt(LongPollTimeout.Milliseconds(), 10) + "&line=" +
			url.QueryEscape(c.seen.Epoch)
		patience = LongPollTimeout + callSlack
	}
	return c.get(ctx, u, patience)
}

// take believes an answer, or says why not, and tells what is new in it.
func (c *Client) take(l *List, now time.Time) error {
	first := c.list == nil
	same := l.Epoch == c.seen.Epoch && !first
	if !same && !l.Full {
		return fmt.Errorf("changes of line %q, and the list is of %q", l.Epoch, c.seen.Epoch)
	}
	if !c.elsewhere {
		if err := c.seen.Check(l.Epoch, l.Version, now); err != nil {
			return err
		}
	}
	if same {
		c.seen.ConfirmedAt = now
	}
	if !l.Full {
		c.changes(l)
		return nil
	}
	told := *l
	told.Endpoints = c.withMissing(l, now, !first && (l.Epoch != c.seen.Epoch || c.elsewhere))
	c.elsewhere = false
	c.begin(&told)
	c.kept.Store(int64(len(c.missing)))
	c.save()
	c.tell(Update{&told})
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
		c.log.Warn("discovery: another line of versions", "line", l.Epoch, "index", l.Version, "former", c.seen.Epoch,
			"former_index", c.seen.Version, "nodos", len(l.Endpoints), "missing", len(missing), "kept_for", missingWait)
	}
	c.missing = missing
	return out
}

// changes takes what has changed.
func (c *Client) changes(l *List) {
	c.seen.Version = l.Version
	if len(l.Endpoints) == 0 {
		return
	}
	for _, e := range l.Endpoints {
		delete(c.missing, e.Name)
		if e.Status == StatusDeleted {
			delete(c.list, e.Name)
		} else {
			c.list[e.Name] = e
		}
	}
	c.kept.Store(int64(len(c.missing)))
	c.save()
	c.tell(Update{l})
}

// drop tells that what a line has lacked for long is gone.
func (c *Client) drop(now time.Time) {
	var gone []Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.missing)) {
		if now.Sub(c.missing[name]) >= missingWait {
			gone = append(gone, Endpoint{Name: name, Status: StatusDeleted})
		}
	}
	if len(gone) > 0 {
		c.log.Warn("discovery: what the new line lacks is gone", "nodos", len(gone))
		c.changes(&List{Version: c.seen.Version, Epoch: c.seen.Epoch, Endpoints: gone})
	}
}

func (c *Client) save() {
	if c.keep == nil {
		return
	}
	l := &List{Version: c.seen.Version, Epoch: c.seen.Epoch}
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		l.Endpoints = append(l.Endpoints, c.list[name])
	}
	c.keep.Put(l.encode)
}
