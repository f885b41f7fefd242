package state

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// observer holds the entries that one proxy published.
type observer struct {
	name, zone  string
	incarnation int64
	entries     []*Entry // sorted by kind and subject; retained for the kind's TTL, withdrawn or not
	countByKind [kindCount]int
	seqFloor    [kindCount]uint64 // highest Seq removed per kind: entries at or below it are not stored
	nextSweep   int64             // no entry becomes removable before this time
	lastHeard   int64
	lastReply   int64 // when replyToOldIncarnation last replied
}

// entryKey identifies an entry of one observer.
type entryKey struct {
	kind    Kind
	subject string
}

func compareKey(e *Entry, key entryKey) int {
	if e.Kind != key.kind {
		return cmp.Compare(e.Kind, key.kind)
	}
	return strings.Compare(e.Subject, key.subject)
}

func (o *observer) find(kind Kind, subject string) (int, bool) {
	return slices.BinarySearchFunc(o.entries, entryKey{kind, subject}, compareKey)
}

func (o *observer) insert(i int, e *Entry) {
	o.entries = slices.Insert(o.entries, i, e)
	o.countByKind[e.Kind]++
	o.nextSweep = min(o.nextSweep, e.retainedUntil())
}

// retainedUntil returns when an entry may be removed. All entries of its observer and kind with a lower Seq
// have expired by then.
func (e *Entry) retainedUntil() int64 {
	if e.Kind == Override {
		return e.ExpiresAt()
	}
	return e.ObservedAt + paramsByKind[e.Kind].ttl
}

// recordRemoval updates the counts and the sequence floor for an entry that was removed.
func (o *observer) recordRemoval(e *Entry) {
	o.countByKind[e.Kind]--
	o.seqFloor[e.Kind] = max(o.seqFloor[e.Kind], e.Seq)
}

// copyInterned copies e to an entry and reuses strings that are stored already, to save memory.
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

// sweep removes entries whose retention has ended, and returns how many were removed and how many of these
// were not withdrawn. It returns at once while nothing can be due.
func (o *observer) sweep(now int64) (removed, expired int) {
	if now < o.nextSweep {
		return 0, 0
	}
	before := len(o.entries)
	o.nextSweep = math.MaxInt64
	o.entries = slices.DeleteFunc(o.entries, func(e *Entry) bool {
		if until := e.retainedUntil(); until > now {
			o.nextSweep = min(o.nextSweep, until)
			return false
		}
		if !e.Withdrawn {
			expired++
		}
		o.recordRemoval(e)
		return true
	})
	if len(o.entries) == 0 {
		o.entries = nil
	}
	return before - len(o.entries), expired
}

// evict removes and returns the entry nearest the end of its retention, or returns nil if there is none. It
// considers entries of a kind, or of any kind if kind is 0, for which match returns true, or all if match is
// nil.
func (o *observer) evict(kind Kind, match func(*Entry) bool) *Entry {
	victim := -1
	for i, e := range o.entries {
		if (kind != 0 && e.Kind != kind) || (match != nil && !match(e)) {
			continue
		}
		if victim < 0 || cmp.Or(cmp.Compare(e.retainedUntil(), o.entries[victim].retainedUntil()),
			cmp.Compare(e.Seq, o.entries[victim].Seq)) < 0 {
			victim = i
		}
	}
	if victim < 0 {
		return nil
	}
	e := o.entries[victim]
	o.entries = slices.Delete(o.entries, victim, victim+1)
	o.recordRemoval(e)
	return e
}

// reset removes all entries and sequence floors of a previous incarnation.
func (o *observer) reset(incarnation int64) {
	*o = observer{name: o.name, zone: o.zone, incarnation: incarnation, lastHeard: o.lastHeard, lastReply: o.lastReply,
		nextSweep: math.MaxInt64}
}
