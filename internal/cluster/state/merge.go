package state

import (
	"math"
	"slices"
	"strings"
)

// Merge takes entries of others and gives those that were new, to be spread on. With an entry under this proxy's name
// that it did not tell, it gives own entries that beat it.
func (v *Store) Merge(now int64, in []Entry) (news []Entry) {
	now = v.tick(now)
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
			count = v.mergeHand(now, e)
		case e.Observer == v.self.Name:
			count, news = v.echo(now, e, news)
		default:
			if from == nil || from.name != e.Observer {
				if from = v.observer(now, e.Observer); from == nil {
					v.counts.DroppedAtLimit++
					continue
				}
			}
			if count = v.take(now, from, e, &swept); e.Incarnation < from.incarnation {
				news = from.answer(now, e, news)
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
func (v *Store) take(now int64, o *observer, e *Entry, swept *bool) *uint64 {
	if e.Incarnation < o.incarnation {
		return &v.counts.Superseded
	}
	o.heard = now
	if e.Incarnation > o.incarnation {
		v.entries -= len(o.held)
		o.reset(e.Incarnation)
	}
	i, known := o.find(e.Kind, e.Subject)
	if known {
		held := o.held[i]
		newer, other := e.Seq > held.Seq, !e.same(held)
		wins := compare(e, held) > 0
		if wins {
			o.fill(held, e)
			o.due = min(o.due, held.kept()) // an older copy
			v.due = min(v.due, o.due)
		}
		switch {
		case newer, wins && other:
			return &v.counts.Accepted
		case e.Seq < held.Seq:
			return &v.counts.Superseded
		}
		return &v.counts.Duplicates
	}
	if e.Seq <= o.floor[e.Kind] {
		return &v.counts.ExpiredOnArrival
	}
	kept := new(Entry)
	o.fill(kept, e)
	o.insert(i, kept)
	v.due = min(v.due, o.due)
	v.entries++
	if v.bound(now, o, kept, swept) {
		return &v.counts.Accepted
	}
	return &v.counts.DroppedAtLimit
}

// answer tells one who may have begun anew with a start before its former one, by a clock set back, of what stands
// under its name: it has to outbid that to be heard (echo), and nobody else may hold a thing that has not ended.
func (o *observer) answer(now int64, e *Entry, news []Entry) []Entry {
	if now-o.answered < second {
		return news
	}
	o.answered = now
	for _, held := range o.held {
		if held.ExpiresAt() > now {
			return append(news, *held)
		}
	}
	return append(news, Entry{Kind: e.Kind, Withdrawn: true, Subject: e.Subject, Observer: o.name, ObserverZone: e.ObserverZone,
		Incarnation: o.incarnation, Seq: 1, ObservedAt: now, TTL: e.Kind.TTL()})
}

// fill copies an entry, with strings that are held already where they are the same.
func (o *observer) fill(to, e *Entry) {
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
func (v *Store) bound(now int64, o *observer, put *Entry, swept *bool) bool {
	stays := true
	drop := func(from *observer, kind Kind) {
		v.entries--
		if from.evict(kind, nil) == put {
			stays = false
		} else {
			v.counts.Evicted++
		}
	}
	if o.count[put.Kind] > terms[put.Kind].most || len(o.held) > v.limits.EntriesPerObserver {
		v.sweepOne(now, o)
	}
	if o.count[put.Kind] > terms[put.Kind].most {
		drop(o, put.Kind)
	}
	if len(o.held) > v.limits.EntriesPerObserver {
		drop(o, 0)
	}
	if v.entries > v.limits.Entries && !*swept {
		*swept = true
		for _, from := range v.others {
			v.sweepOne(now, from)
		}
	}
	if v.entries > v.limits.Entries {
		drop(slices.MaxFunc(v.others, func(a, b *observer) int { return len(a.held) - len(b.held) }), 0)
	}
	return stays
}

// observer gives an observer by name, a new one if need be; nil if there is no room for it.
func (v *Store) observer(now int64, name string) *observer {
	find := func() (int, bool) {
		return slices.BinarySearchFunc(v.others, name, func(o *observer, name string) int { return strings.Compare(o.name, name) })
	}
	i, known := find()
	if known {
		return v.others[i]
	}
	if len(v.others) >= v.limits.Observers {
		v.sweep(now)
		longest := -1
		for j, o := range v.others {
			if len(o.held) == 0 && (longest < 0 || o.heard < v.others[longest].heard) {
				longest = j
			}
		}
		if len(v.others) >= v.limits.Observers {
			if longest < 0 {
				return nil
			}
			v.others = slices.Delete(v.others, longest, longest+1)
		}
		i, _ = find()
	}
	o := &observer{name: name, heard: now, answered: now - second, due: math.MaxInt64}
	v.others = slices.Insert(v.others, i, o)
	v.due = min(v.due, now+remembered+1)
	return o
}

func (v *Store) sweepOne(now int64, o *observer) {
	went, ended := o.sweep(now)
	v.entries -= went
	v.counts.Expired += uint64(ended)
}

// sweep forgets what has been kept for long enough: entries, observers and resumptions by hand. It looks at nothing
// before one of them may be due: it is called several times a turn.
func (v *Store) sweep(now int64) {
	v.hands.sweep(now)
	if now < v.due {
		return
	}
	v.due = math.MaxInt64
	v.others = slices.DeleteFunc(v.others, func(o *observer) bool {
		v.sweepOne(now, o)
		if len(o.held) > 0 {
			v.due = min(v.due, o.due)
			return false
		}
		v.due = min(v.due, o.heard+remembered+1)
		return now-o.heard > remembered
	})
}

// echo takes an entry under this proxy's own name. One that it told is no news. Any other is of a former life of this
// proxy, or a twin's: own entries of a higher incarnation drive it out wherever they come.
func (v *Store) echo(now int64, e *Entry, news []Entry) (*uint64, []Entry) {
	o := &v.own
	if e.Incarnation == o.incarnation && e.Seq <= v.seq {
		return &v.counts.Duplicates, news
	}
	if e.Incarnation >= o.incarnation {
		// Two that live under one name would answer each other without end.
		if now-v.raised < second || e.Incarnation >= mostStamp {
			return &v.counts.SelfConflicts, news
		}
		v.raised = now
		live := o.held
		o.reset(e.Incarnation + 1)
		for _, own := range live {
			if !own.Withdrawn && own.ExpiresAt() > now {
				v.stamp(now, own)
				o.insert(len(o.held), own)
				news = append(news, *own)
			}
		}
	}
	if len(o.held) == 0 {
		gone := &Entry{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs, Withdrawn: true}
		v.stamp(now, gone)
		gone.TTL = rest(now, e)
		o.insert(0, gone)
		news = append(news, *gone)
	}
	return &v.counts.SelfConflicts, news
}
