package transport

import (
	"context"
	"maps"
	"time"

	"merlinpick/internal/cluster/state"
)

const (
	keepEvery  = time.Second // what others suspend by hand is put on disk at most this often
	mergeAtMax = 64          // messages that are merged before anything else is looked at
)

// owner is the state of the one goroutine that owns the view.
type ownerState struct {
	view      *state.Store
	skipped   state.Skipped
	unread    int64 // packets that no entry could be read from
	moved     bool  // hands may have changed since the last snapshot
	hands     map[string]bool
	unkept    bool          // and some of them are not on disk
	keepAt    int64         // the next time to put them there
	others    []state.Entry // of the last snapshot
	published int64
	alone     bool
	aloneSaid bool
	times     int64 // that it was alone
}

// serve plays what comes until the context ends.
func (n *Node) serve(ctx context.Context) {
	o := &n.own
	o.alone, o.moved = true, true
	tick := time.NewTicker(snapshotInterval)
	defer tick.Stop()
	begun := n.cfg.Now()
	n.lastTick.Store(begun)
	for {
		select {
		case m := <-n.inbound:
			n.merge(m)
			for range mergeAtMax {
				select {
				case m := <-n.inbound:
					n.merge(m)
					continue
				default:
				}
				break
			}
		case f := <-n.ownerCalls:
			f()
		case <-n.wake:
		case <-tick.C:
			n.tick(begun)
		case <-ctx.Done():
			return
		}
		n.sayOwn()
		n.publish()
	}
}

// look is what each tick does.
func (n *Node) tick(begun int64) {
	o, now := &n.own, n.cfg.Now()
	if now-n.lastTick.Load() > maxKernelWait.Microseconds() { // stopped, or starved: see stalled
		n.staleUntil.Store(now + snapshotInterval.Microseconds())
	}
	n.lastTick.Store(now)
	n.mu.Lock()
	n.publishPending = true // what was said is renewed in time
	n.mu.Unlock()
	heard := n.lastHeard.Load()
	was := o.alone
	o.alone = heard == 0 || now-heard > isolationTimeout.Microseconds()
	living, _ := n.members.count("")
	expected := len(n.seeds) > 0 || living > 1 || heard != 0
	switch {
	case o.alone && !o.aloneSaid && expected && now-begun > isolationTimeout.Microseconds():
		o.aloneSaid = true
		o.times++
		n.cfg.Logger.Warn("fleet: nobody is heard; this proxy decides alone", "for", isolationTimeout, "seeds", n.seeds)
		select {
		case n.joinNow <- struct{}{}:
		default:
		}
	case !o.alone && o.aloneSaid:
		o.aloneSaid = false
		n.cfg.Logger.Info("fleet: others are heard again", "living", living)
	}
	if was != o.alone {
		o.published = 0
	}
	n.keepHands(now)
	n.note(now)
}

// sayOwn takes what is to be said, if it is new or may need renewal.
func (n *Node) sayOwn() {
	n.mu.Lock()
	items, fresh := n.observations, n.publishPending
	n.publishPending = false
	n.mu.Unlock()
	if fresh {
		n.outbound.Add(n.own.view.Publish(n.cfg.Now(), items))
	}
}

// merge takes a message in, as old as it is by now.
func (n *Node) merge(m incoming) {
	o := &n.own
	read := state.Decode
	if m.state {
		read = state.DecodeAll
	}
	entries, skipped, err := read(m.at, m.bytes)
	o.skipped.UnknownKinds += skipped.UnknownKinds
	o.skipped.UnknownFields += skipped.UnknownFields
	o.skipped.Malformed += skipped.Malformed
	o.skipped.NewerVersion += skipped.NewerVersion
	if err != nil {
		o.unread++
	}
	news := o.view.Merge(n.cfg.Now(), entries)
	for i := range news {
		if news[i].Kind == state.Override {
			o.moved, o.unkept = true, true
		}
	}
	n.outbound.Add(news)
}

// publish gives a snapshot, in the place of one that was not taken.
func (n *Node) publish() {
	o, now := &n.own, n.cfg.Now()
	changed := false
	if o.moved {
		hands := map[string]bool{}
		for _, h := range o.view.OverrideRecords(now) {
			hands[h.Subject] = h.Suspended
		}
		changed = o.hands == nil || !maps.Equal(hands, o.hands)
		o.hands, o.moved = hands, false
	}
	if !changed && o.published != 0 && now-o.published < snapshotInterval.Microseconds() {
		return
	}
	o.published = now
	o.others = n.members.ofLiveMembers(o.view.PeerEntries(now))
	s := Snapshot{Isolated: o.alone, PeerEntries: o.others, Overrides: o.hands}
	s.LiveMembers, s.LiveMembersInZone = n.members.count(n.cfg.Zone)
	select {
	case <-n.snapshots:
	default:
	}
	n.snapshots <- s // the owner alone puts any in
}
