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
	held        []*Entry // by kind and subject; kept for the kind's life, whether withdrawn or not
	count       [kinds]int
	floor       [kinds]uint64 // the highest Seq forgotten: none at or under it is taken in as new
	due         int64         // nothing that is held is to be forgotten sooner
	heard       int64
	answered    int64 // when last by answer
}

type key struct {
	kind    Kind
	subject string
}

func byKey(e *Entry, k key) int {
	if e.Kind != k.kind {
		return cmp.Compare(e.Kind, k.kind)
	}
	return strings.Compare(e.Subject, k.subject)
}

func (o *observer) find(kind Kind, subject string) (int, bool) {
	return slices.BinarySearchFunc(o.held, key{kind, subject}, byKey)
}

func (o *observer) insert(i int, e *Entry) {
	o.held = slices.Insert(o.held, i, e)
	o.count[e.Kind]++
	o.due = min(o.due, e.kept())
}

// kept is until when an entry is kept: all that its observer told of the kind before it has ended by then.
func (e *Entry) kept() int64 {
	if e.Kind == Override {
		return e.ExpiresAt()
	}
	return e.ObservedAt + terms[e.Kind].life
}

func (o *observer) forget(e *Entry) {
	o.count[e.Kind]--
	o.floor[e.Kind] = max(o.floor[e.Kind], e.Seq)
}

// sweep forgets what has been kept for long enough, and gives how many went and how many of these were not withdrawn. It
// looks at the entries only if one may be due.
func (o *observer) sweep(now int64) (went, ended int) {
	if now < o.due {
		return 0, 0
	}
	n := len(o.held)
	o.due = math.MaxInt64
	o.held = slices.DeleteFunc(o.held, func(e *Entry) bool {
		if kept := e.kept(); kept > now {
			o.due = min(o.due, kept)
			return false
		}
		if !e.Withdrawn {
			ended++
		}
		o.forget(e)
		return true
	})
	if len(o.held) == 0 {
		o.held = nil
	}
	return n - len(o.held), ended
}

// evict forgets the entry nearest its end, of a kind or (0) of any, and of those that pass, and gives it; nil if there
// is none.
func (o *observer) evict(kind Kind, pass func(*Entry) bool) *Entry {
	at := -1
	for i, e := range o.held {
		if (kind != 0 && e.Kind != kind) || (pass != nil && !pass(e)) {
			continue
		}
		if at < 0 || cmp.Or(cmp.Compare(e.kept(), o.held[at].kept()), cmp.Compare(e.Seq, o.held[at].Seq)) < 0 {
			at = i
		}
	}
	if at < 0 {
		return nil
	}
	e := o.held[at]
	o.held = slices.Delete(o.held, at, at+1)
	o.forget(e)
	return e
}

// reset forgets all that a former incarnation told.
func (o *observer) reset(incarnation int64) {
	*o = observer{name: o.name, zone: o.zone, incarnation: incarnation, heard: o.heard, answered: o.answered,
		due: math.MaxInt64}
}
