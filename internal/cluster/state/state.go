// Package view is what the proxies of a fleet know of each other, as one proxy holds it: pure state, without clock,
// socket or goroutine. Events go in with the time, entries to spread come out. One goroutine owns a View.
//
// Each observer tells items (Say). Each view holds, for each (observer, kind, subject), the one with the highest
// (Incarnation, Seq), and of copies of one telling the oldest. A new incarnation of an observer takes the place of
// all that the former one told. Each is the greatest in a total order, so merging commutes, associates and is idempotent, and
// views that heard the same hold the same, in whatever order and however often they heard it.
//
// An entry ends at Made+Life on the clock of its reader, whatever is heard after. The wire carries its age, rounded up,
// so a relayed copy never gets younger, except by the time the packet was under way: a reader takes an entry for as
// much younger as the sum of its hops took, and holds it for so much longer. What is still true is told anew at half
// its life: unless packets are lost, what others know is at most half a life older than what this one said last, and
// nothing outlives its observer by more than a life and the time under way. Numbers that moved are told within the
// kind's pace.
//
// What ended does not come back. A key's last entry is kept for the kind's whole life, and when it is forgotten its Seq
// becomes the floor of that observer's kind: as Seq grows with Made, all of that kind at or under the floor was made
// earlier and has ended too. The floor and the incarnation are kept for ten minutes after the observer's last entry.
//
// Suspensions by hand are one register for each server, the last writer by (Lamport version, actor): no clock takes
// part. A suspension has no end; a resumption is kept for 24 hours, and a view that was cut off for longer than that
// may bring an older suspension back.
//
// All is bounded (Limits). Over a bound the entry nearest its end goes, of the observer that told the most, so that one
// who floods crowds out itself; own entries never go. Within the bounds no order of events matters; beyond them what
// went is told anew at half its life.
package state

import "math"

// Self is the proxy that holds the view.
type Identity struct {
	Name, Zone  string
	StartedAtMs int64 // ms; must grow from one start of the process to the next
}

// Limits bound a view. A zero is the default.
type Limits struct {
	Entries            int // of others, in all: 20,000
	EntriesPerObserver int // entries of one observer, and of this one: 512
	Observers          int // observers remembered: 1,024
	NameBytes          int // bytes of a name: 128
	Overrides          int // servers suspended or resumed by hand: 4,096
}

// Counts are totals since New, and below them what is held. All that comes in by Merge is counted once among New,
// Doubled, Late, Superseded, Foreign, Refused and Over.
type Counts struct {
	Advertised       uint64 // own entries told since they are new or moved
	Renewed          uint64 // own entries told again at half life
	Withdrawn        uint64 // own entries taken back
	Omitted          uint64 // own items not told: over a bound, doubled in one set, or not valid
	Accepted         uint64 // entries of others that were news
	Duplicates       uint64 // known already, own ones included
	ExpiredOnArrival uint64 // ended when they came
	Superseded       uint64 // beaten by what was known
	SelfConflicts    uint64 // under this one's name, and not told by it: of a former life of it, or a twin's
	Invalid          uint64 // not valid: a name, a number, an age or a life out of bounds, or a kind unknown
	DroppedAtLimit   uint64 // not taken in, for a bound
	Evicted          uint64 // had been taken in, and went for a bound
	Expired          uint64 // of others, ended without having been withdrawn

	Own       int // own entries, withdrawn ones included
	Entries   int // of others, with those kept after their end
	Observers int
	Suspended int // by hand
	Resumed   int // by hand, and remembered
}

// remembered is how long an observer without entries is kept, for its incarnation and its floors.
const remembered = 600 * second

// View is what one proxy knows of the fleet.
type Store struct {
	self   Identity
	limits Limits
	now    int64 // the latest time given: none before it counts
	counts Counts

	own    observer
	seq    uint64        // of the last own entry
	raised int64         // when a twin last made the own incarnation grow
	wanted []Observation // room for Say

	others  []*observer // by name
	entries int         // that others hold
	due     int64       // nothing of others is to be forgotten sooner

	hands   observer // kind Hand alone
	version uint64   // the highest of any Hand
}

// New makes an empty view.
func New(self Identity, limits Limits) *Store {
	self.StartedAtMs = min(max(self.StartedAtMs, 0), mostStamp-1)
	return &Store{self: self, limits: limits.orDefault(), raised: math.MinInt64 / 2,
		own: observer{name: self.Name, zone: self.Zone, incarnation: self.StartedAtMs}}
}

func (l Limits) orDefault() Limits {
	or := func(n *int, value int) {
		if *n <= 0 {
			*n = value
		}
	}
	or(&l.Entries, 20_000)
	or(&l.EntriesPerObserver, 512)
	or(&l.Observers, 1024)
	or(&l.NameBytes, 128)
	or(&l.Overrides, 4096)
	return l
}

func (v *Store) tick(now int64) int64 {
	v.now = max(v.now, now)
	return v.now
}

// Known gives what others say and has neither ended nor been withdrawn, without suspensions by hand, by observer, kind
// and subject.
func (v *Store) PeerEntries(now int64) []Entry {
	now = v.tick(now)
	v.sweep(now)
	known := make([]Entry, 0, v.entries)
	for _, o := range v.others {
		for _, e := range o.held {
			if !e.Withdrawn && e.ExpiresAt() > now {
				known = append(known, *e)
			}
		}
	}
	return known
}

// All gives all that has not ended, own, withdrawn and by hand included, for a full exchange.
func (v *Store) Entries(now int64) []Entry {
	now = v.tick(now)
	v.sweep(now)
	all := make([]Entry, 0, len(v.own.held)+v.entries+len(v.hands.held))
	add := func(o *observer) {
		for _, e := range o.held {
			if e.ExpiresAt() > now {
				all = append(all, *e)
			}
		}
	}
	add(&v.own)
	for _, o := range v.others {
		add(o)
	}
	add(&v.hands)
	return all
}

// Counts gives totals and what is held.
func (v *Store) Counts() Counts {
	c := v.counts
	c.Own, c.Entries, c.Observers = len(v.own.held), v.entries, len(v.others)
	for _, e := range v.hands.held {
		if e.Withdrawn {
			c.Resumed++
		} else {
			c.Suspended++
		}
	}
	return c
}
