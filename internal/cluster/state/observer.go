package state

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// An observer is what one proxy told.
type observer struct {
	name, zone  string
	incarnation int64
	entries     []*Entry // by kind and subject; kept for the kind's life, whether withdrawn or not
	countByKind [kindCount]int
	seqFloor    [kindCount]uint64 // the highest Seq forgotten: none at or under it is taken in as new
	nextSweep   int64             // nothing that is held is to be forgotten sooner
	lastHeard   int64
	lastReply   int64 // when last by answer
}

type entryKey struct {
	kind    Kind
	subject string
}

func compareKey(e *Entry, k entryKey) int {
	if e.Kind != k.kind {
		return cmp.Compare(e.Kind, k.kind)
	}
	return strings.Compare(e.Subject, k.subject)
}

func (o *observer) find(kind Kind, subject string) (int, bool) {
	return slices.BinarySearchFunc(o.entries, entryKey{kind, subject}, compareKey)
}

func (o *observer) insert(i int, e *Entry) {
	o.entries = slices.Insert(o.entries, i, e)
	o.countByKind[e.Kind]++
	o.nextSweep = min(o.nextSweep, e.retainedUntil())
}

// kept is until when an entry is kept: all that its observer told of the kind before it has ended by then.
func (e *Entry) retainedUntil() int64 {
	if e.Kind == Override {
		return e.ExpiresAt()
	}
	return e.ObservedAt + rulesByKind[e.Kind].ttl
}

func (o *observer) recordRemoval(e *Entry) {
	o.countByKind[e.Kind]--
	o.seqFloor[e.Kind] = max(o.seqFloor[e.Kind], e.Seq)
}

// sweep forgets what has been kept for long enough, and gives how many went and how many of these were not withdrawn. It
// looks at the entries only if one may be due.
func (o *observer) sweep(now int64) (went, ended int) {
	if now < o.nextSweep {
		return 0, 0
	}
	n := len(o.entries)
	o.nextSweep = math.MaxInt64
	o.entries = slices.DeleteFunc(o.entries, func(e *Entry) bool {
		if kept := e.retainedUntil(); kept > now {
			o.nextSweep = min(o.nextSweep, kept)
			return false
		}
		if !e.Withdrawn {
			ended++
		}
		o.recordRemoval(e)
		return true
	})
	if len(o.entries) == 0 {
		o.entries = nil
	}
	return n - len(o.entries), ended
}

// evict forgets the entry nearest its end, of a kind or (0) of any, and of those that pass, and gives it; nil if there
// is none.
func (o *observer) evict(kind Kind, pass func(*Entry) bool) *Entry {
	at := -1
	for i, e := range o.entries {
		if (kind != 0 && e.Kind != kind) || (pass != nil && !pass(e)) {
			continue
		}
		if at < 0 || cmp.Or(cmp.Compare(e.retainedUntil(), o.entries[at].retainedUntil()), cmp.Compare(e.Seq, o.entries[at].Seq)) < 0 {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	e := o.entries[at]
	o.entries = slices.Delete(o.entries, at, at+1)
	o.recordRemoval(e)
	return e
}

// reset forgets all that a former incarnation told.
func (o *observer) reset(incarnation int64) {
	*o = observer{name: o.name, zone: o.zone, incarnation: incarnation, lastHeard: o.lastHeard, lastReply: o.lastReply,
		nextSweep: math.MaxInt64}
}
