package link

import (
	"maps"
	"time"

	"fernlanding/internal/fleet/view"
)

// Figures are how a member stands with its fleet. Counts are totals since the start.
type Figures struct {
	Living, Near int           // members alive, this one included, and of them in its zone
	Alone        bool          // nobody is heard
	TimesAlone   int64         // that this was said
	Entries      int           // of others, acted on now
	Oldest       time.Duration // age of the oldest of them
	Suspended    int           // servers, by hand
	Waiting      int           // entries that are to be passed on
	Sent         int64         // entries passed on, each time
	In, Out      int64         // bytes, membership included
	Dropped      int64         // messages and entries for which there was no room
	Joined, Gone int64         // members that came, and that left or died
	Tried        int64         // calls to seeds and lost members
	Failed       int64         // of them, without an answer
	Refused      map[string]int64
	View         view.Counts
}

// Figures are as of the last publishEvery.
func (l *Link) Figures() Figures {
	l.mu.Lock()
	f := l.figs
	l.mu.Unlock()
	var dropped int64
	f.Waiting, f.Sent, dropped = l.out.Counts()
	f.Living, f.Near = l.who.count(l.cfg.Zone)
	f.In, f.Out, f.Dropped = l.net.in.Load(), l.net.out.Load(), l.drops.Load()+dropped
	f.Joined, f.Gone = l.who.moved()
	f.Tried, f.Failed = l.tried.Load(), l.failed.Load()
	l.refused.mu.Lock()
	defer l.refused.mu.Unlock()
	refused := maps.Clone(l.refused.counts)
	if refused == nil {
		refused = map[string]int64{}
	}
	maps.Copy(refused, f.Refused)
	f.Refused = refused
	return f
}

// note keeps what only the owner knows.
func (l *Link) note(now int64) {
	o := &l.own
	f := Figures{Alone: o.alone, TimesAlone: o.times, View: o.view.Counts(), Refused: map[string]int64{
		"unread": o.unread, "kind": int64(o.skipped.Kinds), "shape": int64(o.skipped.Bad), "newer": int64(o.skipped.Newer)}}
	f.Suspended = f.View.Suspended
	for i := range o.others {
		if e := &o.others[i]; e.End() > now {
			f.Entries++
			f.Oldest = max(f.Oldest, time.Duration(now-e.Made)*time.Microsecond)
		}
	}
	l.mu.Lock()
	l.figs = f
	l.mu.Unlock()
}
