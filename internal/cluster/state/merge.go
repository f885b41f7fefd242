package state

import (
	"math"
	"slices"
	"strings"
)

// Merge takes entries of others and gives those that were new, to be spread on. With an entry under this proxy's name
// that it did not tell, it gives own entries that beat it.
func (v *Store) Merge(now int64, in []Entry) (news []Entry) {
	now = v.advance(now)
	var from *observer
	swept := false
	for i := range in {
		e := &in[i]
		var count *uint64
		switch {
		case !e.valid(now, v.limits.NameBytes):
			count = &v.counts.Invalid
		case e.ExpiresAt() <= now:
			count = &v.counts.ExpiredOnArrival
		case e.Kind == Override:
			count = v.mergeOverride(now, e)
		case e.Observer == v.identity.Name:
			count, news = v.mergeSelfNamed(now, e, news)
		default:
			if from == nil || from.name != e.Observer {
				if from = v.findOrAddObserver(now, e.Observer); from == nil {
					v.counts.DroppedAtLimit++
					continue
				}
			}
			if count = v.mergeEntry(now, from, e, &swept); e.Incarnation < from.incarnation {
				news = from.replyToOldIncarnation(now, e, news)
			}
		}
		*count++
		if count == &v.counts.Accepted {
			news = append(news, *e)
		}
	}
	return news
}

// take merges a valid entry of an observer, and gives what it is to be counted as.
func (v *Store) mergeEntry(now int64, o *observer, e *Entry, swept *bool) *uint64 {
	if e.Incarnation < o.incarnation {
		return &v.counts.Superseded
	}
	o.lastHeard = now
	if e.Incarnation > o.incarnation {
		v.peerEntryCount -= len(o.entries)
		o.reset(e.Incarnation)
	}
	i, known := o.find(e.Kind, e.Subject)
	if known {
		held := o.entries[i]
		newer, other := e.Seq > held.Seq, !e.sameContent(held)
		wins := compareVersions(e, held) > 0
		if wins {
			o.copyInterned(held, e)
			o.nextSweep = min(o.nextSweep, held.retainedUntil()) // an older copy
			v.nextSweep = min(v.nextSweep, o.nextSweep)
		}
		switch {
		case newer, wins && other:
			return &v.counts.Accepted
		case e.Seq < held.Seq:
			return &v.counts.Superseded
		}
		return &v.counts.Duplicates
	}
	if e.Seq <= o.seqFloor[e.Kind] {
		return &v.counts.ExpiredOnArrival
	}
	kept := new(Entry)
	o.copyInterned(kept, e)
	o.insert(i, kept)
	v.nextSweep = min(v.nextSweep, o.nextSweep)
	v.peerEntryCount++
	if v.enforceLimits(now, o, kept, swept) {
		return &v.counts.Accepted
	}
	return &v.counts.DroppedAtLimit
}

// answer tells one who may have begun anew with a start before its former one, by a clock set back, of what stands
// under its name: it has to outbid that to be heard (echo), and nobody else may hold a thing that has not ended.
func (o *observer) replyToOldIncarnation(now int64, e *Entry, news []Entry) []Entry {
	if now-o.lastReply < second {
		return news
	}
	o.lastReply = now
	for _, held := range o.entries {
		if held.ExpiresAt() > now {
			return append(news, *held)
		}
	}
	return append(news, Entry{Kind: e.Kind, Withdrawn: true, Subject: e.Subject, Observer: o.name, ObserverZone: e.ObserverZone,
		Incarnation: o.incarnation, Seq: 1, ObservedAt: now, TTL: e.Kind.TTL()})
}

// fill copies an entry, with strings that are held already where they are the same.
func (o *observer) copyInterned(to, e *Entry) {
	subject := to.Subject
	*to = *e
	if subject != "" {
		to.Subject = subject
	}
	to.Observer = o.name
	if o.zone != e.ObserverZone {
		o.zone = e.ObserverZone
	}
	to.ObserverZone = o.zone
}

// bound keeps the bounds after an entry was put in, and says whether that one stayed.
func (v *Store) enforceLimits(now int64, o *observer, put *Entry, swept *bool) bool {
	stays := true
	drop := func(from *observer, kind Kind) {
		v.peerEntryCount--
		if from.evict(kind, nil) == put {
			stays = false
		} else {
			v.counts.Evicted++
		}
	}
	if o.countByKind[put.Kind] > rulesByKind[put.Kind].maxPerObserver || len(o.entries) > v.limits.EntriesPerObserver {
		v.sweepObserver(now, o)
	}
	if o.countByKind[put.Kind] > rulesByKind[put.Kind].maxPerObserver {
		drop(o, put.Kind)
	}
	if len(o.entries) > v.limits.EntriesPerObserver {
		drop(o, 0)
	}
	if v.peerEntryCount > v.limits.Entries && !*swept {
		*swept = true
		for _, from := range v.peers {
			v.sweepObserver(now, from)
		}
	}
	if v.peerEntryCount > v.limits.Entries {
		drop(slices.MaxFunc(v.peers, func(a, b *observer) int { return len(a.entries) - len(b.entries) }), 0)
	}
	return stays
}

// observer gives an observer by name, a new one if need be; nil if there is no room for it.
func (v *Store) findOrAddObserver(now int64, name string) *observer {
	find := func() (int, bool) {
		return slices.BinarySearchFunc(v.peers, name, func(o *observer, name string) int { return strings.Compare(o.name, name) })
	}
	i, known := find()
	if known {
		return v.peers[i]
	}
	if len(v.peers) >= v.limits.Observers {
		v.sweep(now)
		longest := -1
		for j, o := range v.peers {
			if len(o.entries) == 0 && (longest < 0 || o.lastHeard < v.peers[longest].lastHeard) {
				longest = j
			}
		}
		if len(v.peers) >= v.limits.Observers {
			if longest < 0 {
				return nil
			}
			v.peers = slices.Delete(v.peers, longest, longest+1)
		}
		i, _ = find()
	}
	o := &observer{name: name, lastHeard: now, lastReply: now - second, nextSweep: math.MaxInt64}
	v.peers = slices.Insert(v.peers, i, o)
	v.nextSweep = min(v.nextSweep, now+observerRetention+1)
	return o
}

func (v *Store) sweepObserver(now int64, o *observer) {
	went, ended := o.sweep(now)
	v.peerEntryCount -= went
	v.counts.Expired += uint64(ended)
}

// sweep forgets what has been kept for long enough: entries, observers and resumptions by hand. It looks at nothing
// before one of them may be due: it is called several times a turn.
func (v *Store) sweep(now int64) {
	v.overrides.sweep(now)
	if now < v.nextSweep {
		return
	}
	v.nextSweep = math.MaxInt64
	v.peers = slices.DeleteFunc(v.peers, func(o *observer) bool {
		v.sweepObserver(now, o)
		if len(o.entries) > 0 {
			v.nextSweep = min(v.nextSweep, o.nextSweep)
			return false
		}
		v.nextSweep = min(v.nextSweep, o.lastHeard+observerRetention+1)
		return now-o.lastHeard > observerRetention
	})
}

// echo takes an entry under this proxy's own name. One that it told is no news. Any other is of a former life of this
// proxy, or a twin's: own entries of a higher incarnation drive it out wherever they come.
func (v *Store) mergeSelfNamed(now int64, e *Entry, news []Entry) (*uint64, []Entry) {
	o := &v.own
	if e.Incarnation == o.incarnation && e.Seq <= v.lastSeq {
		return &v.counts.Duplicates, news
	}
	if e.Incarnation >= o.incarnation {
		// Two that live under one name would answer each other without end.
		if now-v.incarnationRaisedAt < second || e.Incarnation >= maxStamp {
			return &v.counts.SelfConflicts, news
		}
		v.incarnationRaisedAt = now
		live := o.entries
		o.reset(e.Incarnation + 1)
		for _, own := range live {
			if !own.Withdrawn && own.ExpiresAt() > now {
				v.stamp(now, own)
				o.insert(len(o.entries), own)
				news = append(news, *own)
			}
		}
	}
	if len(o.entries) == 0 {
		gone := &Entry{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs, Withdrawn: true}
		v.stamp(now, gone)
		gone.TTL = withdrawalTTL(now, e)
		o.insert(0, gone)
		news = append(news, *gone)
	}
	return &v.counts.SelfConflicts, news
}
