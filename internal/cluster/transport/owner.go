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
type owner struct {
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
func (l *Node) serve(ctx context.Context) {
	o := &l.own
	o.alone, o.moved = true, true
	tick := time.NewTicker(publishEvery)
	defer tick.Stop()
	begun := l.cfg.Now()
	l.ticked.Store(begun)
	for {
		select {
		case m := <-l.in:
			l.merge(m)
			for range mergeAtMax {
				select {
				case m := <-l.in:
					l.merge(m)
					continue
				default:
				}
				break
			}
		case f := <-l.calls:
			f()
		case <-l.wake:
		case <-tick.C:
			l.look(begun)
		case <-ctx.Done():
			return
		}
		l.sayOwn()
		l.publish()
	}
}

// look is what each tick does.
func (l *Node) look(begun int64) {
	o, now := &l.own, l.cfg.Now()
	if now-l.ticked.Load() > waitMost.Microseconds() { // stopped, or starved: see stalled
		l.late.Store(now + publishEvery.Microseconds())
	}
	l.ticked.Store(now)
	l.mu.Lock()
	l.fresh = true // what was said is renewed in time
	l.mu.Unlock()
	heard := l.heard.Load()
	was := o.alone
	o.alone = heard == 0 || now-heard > aloneAfter.Microseconds()
	living, _ := l.who.count("")
	expected := len(l.seeds) > 0 || living > 1 || heard != 0
	switch {
	case o.alone && !o.aloneSaid && expected && now-begun > aloneAfter.Microseconds():
		o.aloneSaid = true
		o.times++
		l.cfg.Logger.Warn("fleet: nobody is heard; this proxy decides alone", "for", aloneAfter, "seeds", l.seeds)
		select {
		case l.hurry <- struct{}{}:
		default:
		}
	case !o.alone && o.aloneSaid:
		o.aloneSaid = false
		l.cfg.Logger.Info("fleet: others are heard again", "living", living)
	}
	if was != o.alone {
		o.published = 0
	}
	l.keepHands(now)
	l.note(now)
}

// sayOwn takes what is to be said, if it is new or may need renewal.
func (l *Node) sayOwn() {
	l.mu.Lock()
	items, fresh := l.said, l.fresh
	l.fresh = false
	l.mu.Unlock()
	if fresh {
		l.out.Add(l.own.view.Publish(l.cfg.Now(), items))
	}
}

// merge takes a message in, as old as it is by now.
func (l *Node) merge(m incoming) {
	o := &l.own
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
	news := o.view.Merge(l.cfg.Now(), entries)
	for i := range news {
		if news[i].Kind == state.Override {
			o.moved, o.unkept = true, true
		}
	}
	l.out.Add(news)
}

// publish gives a snapshot, in the place of one that was not taken.
func (l *Node) publish() {
	o, now := &l.own, l.cfg.Now()
	changed := false
	if o.moved {
		hands := map[string]bool{}
		for _, h := range o.view.OverrideRecords(now) {
			hands[h.Subject] = h.Suspended
		}
		changed = o.hands == nil || !maps.Equal(hands, o.hands)
		o.hands, o.moved = hands, false
	}
	if !changed && o.published != 0 && now-o.published < publishEvery.Microseconds() {
		return
	}
	o.published = now
	o.others = l.who.tell(o.view.PeerEntries(now))
	s := Snapshot{Isolated: o.alone, PeerEntries: o.others, Overrides: o.hands}
	s.LiveMembers, s.LiveMembersInZone = l.who.count(l.cfg.Zone)
	select {
	case <-l.peers:
	default:
	}
	l.peers <- s // the owner alone puts any in
}
