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

// Package failover decides which member is called, when, and which versions are accepted. Endpoints that a
// new epoch of versions lacks were not removed by anybody, so they are retained for missingRetention, in
// which those that are alive register again. A snapshot that is older than intended, restored by mistake,
// thus removes no endpoint at once.
const (
	// LongPollTimeout is the longest time for which a member may hold a watch.
	LongPollTimeout = 4 * time.Second
	// FailoverJitter is the time over which the callers of a failed member spread their calls to other
	// members.
	FailoverJitter = failover.Jitter

	registryWatchSlack  = 1500 * time.Millisecond // after the hold, until a watch counts as timed out
	registryCallTimeout = 3 * time.Second         // of a call that does not wait for a change
	maxRegistryBackoff  = 5 * time.Second
	epochWait           = failover.EpochWait
	missingRetention    = 30 * time.Second
)

// epochMismatchError means that an answer has changes of another epoch than the held list. The client then
// requests the full list.
type epochMismatchError struct{ held, received string }

func (e *epochMismatchError) Error() string {
	return fmt.Sprintf("changes of epoch %q do not apply to a list of epoch %q; the full list is requested",
		e.received, e.held)
}

// registryState is what a client knows of the registry's list. Client.holding guards it.
type registryState struct {
	accepted      failover.AcceptedVersion
	endpoints     map[string]Endpoint  // by name; nil: no list yet
	missingSince  map[string]time.Time // retained endpoints, by name: when they were first missing
	sourceChanged bool                 // since the last full list: any epoch is accepted
}

// replaceEndpoints replaces the held list by a full one.
func (s *registryState) replaceEndpoints(list *List) {
	s.accepted = failover.AcceptedVersion{Epoch: list.Epoch, Version: list.Version, ConfirmedAt: time.Now()}
	s.endpoints = map[string]Endpoint{}
	list.ApplyTo(s.endpoints)
}

// registryVersion is the version of a held registry list.
type registryVersion struct {
	epoch   string
	version int64
	known   bool // false: no list is held
}

// heldRegistryVersion returns the version of the held registry list.
func (c *Client) heldRegistryVersion() registryVersion {
	c.holding.Lock()
	defer c.holding.Unlock()
	return c.registry.heldVersion()
}

func (s *registryState) heldVersion() registryVersion {
	return registryVersion{s.accepted.Epoch, s.accepted.Version, s.endpoints != nil}
}

// followRegistry follows the registry's list until the context ends, failing over between its members.
func (c *Client) followRegistry(ctx context.Context) {
	ring := failover.NewRing(c.source.Members, c.randomness, maxRegistryBackoff)
	full := true // the next call requests the full list
	for ctx.Err() == nil {
		calledAt, held := time.Now(), c.heldRegistryVersion()
		list, err := c.callMember(ctx, ring.Current(), full, held)
		if ctx.Err() != nil {
			return
		}
		now := time.Now()
		if err == nil {
			err = c.accept(list, held, now)
		}
		if err == nil {
			c.lastSuccess.Record()
			c.expireMissing(now)
			if !full && c.heldRegistryVersion().version == held.version {
				ring.PaceWatch(ctx, now.Sub(calledAt), LongPollTimeout)
			}
			ring.RecordSuccess()
			full = false
			continue
		}
		var superseded *supersededError
		if errors.As(err, &superseded) {
			c.logSuperseded(err)
			continue
		}
		c.failures.Add(1)
		if list != nil && !errors.Is(err, failover.ErrStaleVersion) {
			full = true // the changes do not apply to the held list
		}
		failure := ring.LogFailure(c.log, "endpoint list call failed", err)
		if failure.FailedOver {
			c.failovers.Add(1)
		}
		c.expireMissing(now)
		c.sleep(ctx, failure.Backoff)
	}
}

// callMember requests the full list from a member, or watches for changes since the held version.
func (c *Client) callMember(ctx context.Context, member string, full bool, held registryVersion) (*List, error) {
	target, timeout := "http://"+member+listPath, registryCallTimeout
	if !full && held.known {
		target += "?from=" + strconv.FormatInt(held.version, 10) +
			"&hold_ms=" + strconv.FormatInt(LongPollTimeout.Milliseconds(), 10) +
			"&line=" + url.QueryEscape(held.epoch)
		timeout = LongPollTimeout + registryWatchSlack
	}
	return c.fetch(ctx, target, timeout)
}

// accept publishes what is new in the answer to a call that was made with a held version, or returns an error
// that says why the answer is discarded.
func (c *Client) accept(list *List, calledWith registryVersion, now time.Time) error {
	c.holding.Lock()
	defer c.holding.Unlock()
	state := &c.registry
	if held := state.heldVersion(); !list.Snapshot && held != calledWith {
		return &supersededError{calledWith.version, held.version, list.Version}
	}
	first := state.endpoints == nil
	sameEpoch := list.Epoch == state.accepted.Epoch && !first
	if !sameEpoch && !list.Snapshot {
		return &epochMismatchError{held: state.accepted.Epoch, received: list.Epoch}
	}
	if !state.sourceChanged {
		if err := state.accepted.Check(list.Epoch, list.Version, now); err != nil {
			return err
		}
	}
	c.confirmed, c.heldFrom = true, c.source
	if sameEpoch {
		state.accepted.ConfirmedAt = now
	}
	if !list.Snapshot {
		c.applyChanges(list)
		return nil
	}
	complete := *list
	complete.Endpoints = c.retainMissing(list, now,
		!first && (list.Epoch != state.accepted.Epoch || state.sourceChanged))
	state.sourceChanged = false
	state.replaceEndpoints(&complete)
	c.retained.Store(int64(len(state.missingSince)))
	c.saveCache()
	c.publish(c.done, Update{List: &complete, Source: c.source})
	return nil
}

// retainMissing returns the endpoints of a full list, followed by the retained ones: held endpoints that the
// list lacks. If the list is of another epoch all of those are retained, otherwise only those that were
// retained before.
func (c *Client) retainMissing(list *List, now time.Time, otherEpoch bool) []Endpoint {
	state := &c.registry
	endpoints := slices.Clone(list.Endpoints)
	listed := map[string]bool{}
	for _, endpoint := range endpoints {
		listed[endpoint.Name] = true
	}
	missing := map[string]time.Time{}
	for _, name := range slices.Sorted(maps.Keys(state.endpoints)) {
		since, retained := state.missingSince[name]
		if listed[name] || !otherEpoch && !retained {
			continue
		}
		if !retained { // the retention time does not start again with each further epoch
			since = now
		}
		missing[name] = since
		endpoints = append(endpoints, state.endpoints[name])
	}
	if otherEpoch {
		c.log.Warn("endpoint list epoch changed", "epoch", list.Epoch, "version", list.Version,
			"previous_epoch", state.accepted.Epoch, "previous_version", state.accepted.Version,
			"endpoints", len(list.Endpoints), "retained", len(missing), "duration", missingRetention)
	}
	state.missingSince = missing
	return endpoints
}

// applyChanges applies changes to the held list and publishes them.
func (c *Client) applyChanges(changes *List) {
	state := &c.registry
	state.accepted.Version = changes.Version
	if len(changes.Endpoints) == 0 {
		return
	}
	for _, endpoint := range changes.Endpoints {
		delete(state.missingSince, endpoint.Name)
	}
	changes.ApplyTo(state.endpoints)
	c.retained.Store(int64(len(state.missingSince)))
	c.saveCache()
	c.publish(c.done, Update{List: changes, Source: c.source})
}

// expireMissing removes the endpoints that have been retained for missingRetention.
func (c *Client) expireMissing(now time.Time) {
	c.holding.Lock()
	defer c.holding.Unlock()
	state := &c.registry
	var expired []Endpoint
	for _, name := range slices.Sorted(maps.Keys(state.missingSince)) {
		if now.Sub(state.missingSince[name]) >= missingRetention {
			expired = append(expired, Endpoint{Name: name, Status: StatusDeleted})
		}
	}
	if len(expired) > 0 {
		c.log.Warn("removed endpoints retained since an epoch change",
			"endpoints", len(expired), "epoch", state.accepted.Epoch)
		c.applyChanges(&List{Version: state.accepted.Version, Epoch: state.accepted.Epoch,
			Endpoints: expired})
	}
}

// saveCache passes the held list to the writer of the cache, if there is one.
func (c *Client) saveCache() {
	if c.cache == nil {
		return
	}
	list := &List{Version: c.registry.accepted.Version, Epoch: c.registry.accepted.Epoch,
		Endpoints: SortedEndpoints(c.registry.endpoints)}
	c.cache.Put(list.encode)
}
