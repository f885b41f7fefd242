package transport

import (
	"context"
	"maps"
	"time"

	"merlinpick/internal/cluster/state"
)

const (
	snapshotInterval     = 100 * time.Millisecond // also between ticks
	isolationTimeout     = 2 * time.Second        // without hearing from another member
	overrideSaveInterval = time.Second            // shortest time between writes of overrides that others set
	// maxInbound limits the queued messages. Each has 1.4 KB or, in an exchange, up to maxExchangeBytes.
	maxInbound    = 256
	maxMergeBatch = 64 // messages merged before the owner does anything else
)

// ownerState is the state of the owner goroutine, the only goroutine that uses the Store. Times are on
// Config.Now's clock.
type ownerState struct {
	store      *state.Store
	skipped    state.Skipped
	unreadable int64 // messages with a packet that could not be decoded

	peerEntries      []state.Entry // entries of the last snapshot
	lastSnapshot     int64         // when it was sent; 0: the next one is due now
	overrides        map[string]bool
	overridesChanged bool // the overrides may have changed since the last snapshot
	overridesUnsaved bool // some overrides of other members are not on disk
	nextOverrideSave int64

	isolated        bool
	isolationLogged bool
	isolations      int64
}

// ownerLoop handles messages, calls and ticks until the context ends.
func (n *Node) ownerLoop(ctx context.Context) {
	n.owner.isolated, n.owner.overridesChanged = true, true
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	started := n.cfg.Now()
	n.lastTick.Store(started)
	for {
		select {
		case m := <-n.inbound:
			n.merge(m)
			n.mergeWaiting()
		case call := <-n.ownerCalls:
			call()
		case <-n.wake:
		case <-ticker.C:
			n.tick(started)
		case <-ctx.Done():
			return
		}
		n.publishOwn()
		n.publishSnapshot()
	}
}

// mergeWaiting merges waiting messages, up to maxMergeBatch.
func (n *Node) mergeWaiting() {
	for range maxMergeBatch {
		select {
		case m := <-n.inbound:
			n.merge(m)
		default:
			return
		}
	}
}

// tick does the owner's periodic work.
func (n *Node) tick(started int64) {
	now := n.cfg.Now()
	// The process was stopped or got no CPU time, see receivedLate.
	if now-n.lastTick.Load() > maxInputDelay.Microseconds() {
		n.staleUntil.Store(now + snapshotInterval.Microseconds())
	}
	n.lastTick.Store(now)
	n.mu.Lock()
	n.publishPending = true // for renewals
	n.mu.Unlock()
	n.updateIsolation(started, now)
	n.saveOverrides(now)
	n.updateMetrics(now)
}

// updateIsolation determines whether this member is isolated. It logs a change only if other members are
// expected.
func (n *Node) updateIsolation(started, now int64) {
	owner := &n.owner
	lastHeard := n.lastHeard.Load()
	wasIsolated := owner.isolated
	owner.isolated = lastHeard == 0 || now-lastHeard > isolationTimeout.Microseconds()
	liveMembers, _ := n.members.liveCounts("")
	othersExpected := len(n.seeds) > 0 || liveMembers > 1 || lastHeard != 0
	switch {
	case owner.isolated && !owner.isolationLogged && othersExpected &&
		now-started > isolationTimeout.Microseconds():
		owner.isolationLogged = true
		owner.isolations++
		n.cfg.Logger.Warn("cluster isolated", "duration", isolationTimeout, "seeds", n.seeds)
		select {
		case n.joinNow <- struct{}{}:
		default:
		}
	case !owner.isolated && owner.isolationLogged:
		owner.isolationLogged = false
		n.cfg.Logger.Info("cluster isolation ended", "live_members", liveMembers)
	}
	if wasIsolated != owner.isolated {
		owner.lastSnapshot = 0
	}
}

// publishOwn publishes this member's observations if they changed or may be due for renewal.
func (n *Node) publishOwn() {
	n.mu.Lock()
	observations, pending := n.observations, n.publishPending
	n.publishPending = false
	n.mu.Unlock()
	if pending {
		n.outbound.Add(n.owner.store.Publish(n.cfg.Now(), observations))
	}
}

// merge decodes and merges a message, and gossips the entries that changed the Store. The ages of its entries
// count from the time at which the message was received.
func (n *Node) merge(m message) {
	decode := state.Decode
	if m.fullExchange {
		decode = state.DecodeAll
	}
	entries, skipped, err := decode(m.receivedAt, m.payload)
	n.owner.skipped.Add(skipped)
	if err != nil {
		n.owner.unreadable++
	}
	changed := n.owner.store.Merge(n.cfg.Now(), entries)
	for i := range changed {
		if changed[i].Kind == state.Override {
			n.owner.overridesChanged, n.owner.overridesUnsaved = true, true
		}
	}
	n.outbound.Add(changed)
}

// publishSnapshot sends a snapshot if one is due or an override changed. It replaces a snapshot that was not
// read yet.
func (n *Node) publishSnapshot() {
	owner, now := &n.owner, n.cfg.Now()
	changed := false
	if owner.overridesChanged {
		overrides := map[string]bool{}
		for _, record := range owner.store.OverrideRecords(now) {
			overrides[record.Subject] = record.Suspended
		}
		changed = owner.overrides == nil || !maps.Equal(overrides, owner.overrides)
		owner.overrides, owner.overridesChanged = overrides, false
	}
	if !changed && owner.lastSnapshot != 0 && now-owner.lastSnapshot < snapshotInterval.Microseconds() {
		return
	}
	owner.lastSnapshot = now
	owner.peerEntries = n.members.filterLive(owner.store.PeerEntries(now))
	snapshot := Snapshot{Isolated: owner.isolated, PeerEntries: owner.peerEntries, Overrides: owner.overrides}
	snapshot.LiveMembers, snapshot.LiveMembersInZone = n.members.liveCounts(n.cfg.Zone)
	select {
	case <-n.snapshots:
	default:
	}
	n.snapshots <- snapshot // does not block: no other goroutine sends
}
