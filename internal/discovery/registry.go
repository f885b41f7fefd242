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
	LongPollTimeout    = 4 * time.Second
	registryWatchSlack = 1500 * time.Millisecond
	// Spread is over how long the callers of a member that dies come to the others.
	FailoverJitter     = failover.Jitter
	maxRegistryBackoff = 5 * time.Second
	epochWait          = failover.EpochWait
	missingRetention   = 30 * time.Second
)

// followed is what a client of several members knows. It is Run's alone.
type registryState struct {
	accepted      failover.AcceptedVersion
	endpoints     map[string]Endpoint // by name; nil before the first
	missingSince  map[string]time.Time
	sourceChanged bool // the operator has moved it: whatever line is there is taken
}

// Known has the client begin with a whole list that it did not hear itself: with Members one that it kept, else the one
// that the configuration came with, which the first call then goes on from. To be called before Run.
func (c *Client) SetInitialList(l *List) {
	if len(c.source.Members) > 0 {
		c.replaceEndpoints(l)
	} else if l.Full {
		c.version = l.Version
	}
}

func (c *Client) replaceEndpoints(l *List) {
	c.accepted, c.endpoints = failover.AcceptedVersion{Epoch: l.Epoch, Version: l.Version, ConfirmedAt: time.Now()}, map[string]Endpoint{}
	for _, e := range l.Endpoints {
		c.endpoints[e.Name] = e
	}
}

// follow follows the members until the context ends.
func (c *Client) followRegistry(ctx context.Context) {
	members := failover.NewRing(c.source.Members, c.rng, maxRegistryBackoff)
	whole := true
	for ctx.Err() == nil {
		asked, before := time.Now(), c.accepted.Version
		list, err := c.callMember(ctx, members.Current(), whole)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err == nil {
			err = c.accept(list, now)
		}
		if err == nil {
			c.lastSuccess.Store(int64(max(1, time.Since(c.startedAt))))
			c.expireMissing(now)
			// A member that holds no watch must not have this client ask without a pause.
			if !whole && c.accepted.Version == before && now.Sub(asked) < LongPollTimeout/2 {
				c.sleep(ctx, c.randomDelay(FailoverJitter))
			}
			members.RecordSuccess()
			whole = false
			continue
		}
		c.failures.Add(1)
		whole = whole || !errors.Is(err, errUnavailable) && !errors.Is(err, failover.ErrStaleVersion) && list != nil
		member := members.Current()
		f := members.RecordFailure()
		if f.ShouldLog {
			c.log.Warn("discovery: a member failed", "member", member, "next", f.Next, "in_a_row", f.Consecutive, "error", err)
		}
		if f.FailedOver {
			c.failovers.Add(1)
		}
		c.expireMissing(now)
		c.sleep(ctx, f.Backoff)
	}
}

func (c *Client) sleep(ctx context.Context, d time.Duration) { failover.Sleep(ctx, d) }

func (c *Client) randomDelay(below time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(below)))
}

// ask makes a call of one member: a watch, or with whole for the whole list.
func (c *Client) callMember(ctx context.Context, addr string, whole bool) (*List, error) {
	u, patience := "http://"+addr+"/catalog/members", registryCallTimeout
	if !whole && c.endpoints != nil {
		u += "?from=" + strconv.FormatInt(c.accepted.Version, 10) + "&hold_ms=" + strconv.FormatInt(LongPollTimeout.Milliseconds(), 10) + "&line=" +
			url.QueryEscape(c.accepted.Epoch)
		patience = LongPollTimeout + registryWatchSlack
	}
	return c.fetch(ctx, u, patience)
}

// take believes an answer, or says why not, and tells what is new in it.
func (c *Client) accept(l *List, now time.Time) error {
	first := c.endpoints == nil
	same := l.Epoch == c.accepted.Epoch && !first
	if !same && !l.Full {
		return fmt.Errorf("changes of line %q, and the list is of %q", l.Epoch, c.accepted.Epoch)
	}
	if !c.sourceChanged {
		if err := c.accepted.Check(l.Epoch, l.Version, now); err != nil {
			return err
		}
	}
	if same {
		c.accepted.ConfirmedAt = now
	}
	if !l.Full {
		c.applyChanges(l)
		return nil
	}
	told := *l
	told.Endpoints = c.retainMissing(l, now, !first && (l.Epoch != c.accepted.Epoch || c.sourceChanged))
	c.sourceChanged = false
	c.replaceEndpoints(&told)
	c.retained.Store(int64(len(c.missingSince)))
	c.saveCache()
	c.publish(Update{&told})
	return nil
}

// withMissing is a whole list, and after it what it lacks that stands for a while: all that another line lacks, and what
// one before it has lacked.
func (c *Client) retainMissing(l *List, now time.Time, another bool) []Endpoint {
	out := slices.Clone(l.Endpoints)
	has := map[string]bool{}
	for _, e := range out {
		has[e.Name] = true
	}
	missing := map[string]time.Time{}
	for _, name := range slices.Sorted(maps.Keys(c.endpoints)) {
		since, before := c.missingSince[name]
		if has[name] || !another && !before {
			continue
		}
		if !before { // lines that follow each other do not add up
			since = now
		}
		missing[name] = since
		out = append(out, c.endpoints[name])
	}
	if another {
		c.log.Warn("discovery: another line of versions", "line", l.Epoch, "index", l.Version, "former", c.accepted.Epoch,
			"former_index", c.accepted.Version, "nodos", len(l.Endpoints), "missing", len(missing), "kept_for", missingRetention)
	}
	c.missingSince = missing
	return out
}

// changes takes what has changed.
func (c *Client) applyChanges(l *List) {
	c.accepted.Version = l.Version
	if len(l.Endpoints) == 0 {
		return
	}
	for _, e := range l.Endpoints {
		delete(c.missingSince, e.Name)
		if e.Status == StatusDeleted {
			delete(c.endpoints, e.Name)
		} else {
			c.endpoints[e.Name] = e
		}
	}
	c.retained.Store(int64(len(c.missingSince)))
	c.saveCache()
	c.publish(Update{l})
}

// drop tells that what a line has lacked for long is gone.
func (c *Client) expireMissing(now time.Time) {
	var gone []Endpoint
	for _, name := range slices.Sorted(maps.Keys(c.missingSince)) {
		if now.Sub(c.missingSince[name]) >= missingRetention {
			gone = append(gone, Endpoint{Name: name, Status: StatusDeleted})
		}
	}
	if len(gone) > 0 {
		c.log.Warn("discovery: what the new line lacks is gone", "nodos", len(gone))
		c.applyChanges(&List{Version: c.accepted.Version, Epoch: c.accepted.Epoch, Endpoints: gone})
	}
}

func (c *Client) saveCache() {
	if c.cache == nil {
		return
	}
	l := &List{Version: c.accepted.Version, Epoch: c.accepted.Epoch}
	for _, name := range slices.Sorted(maps.Keys(c.endpoints)) {
		l.Endpoints = append(l.Endpoints, c.endpoints[name])
	}
	c.cache.Put(l.encode)
}
