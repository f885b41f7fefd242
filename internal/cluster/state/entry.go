package state

import (
	"cmp"
	"math"
	"unicode/utf8"
)

// Kind is what an entry tells. The zero and the numbers from kinds on are unknown here.
type Kind uint8

// The numbers are the wire's: they are never given anew.
const (
	ServerUnhealthy Kind = 1 + iota // the observer's calls to a server fail
	ServerHealthy                   // its calls to a server that others call bad are answered
	ZoneUnhealthy                   // as seen from the observer's zone; the subject is the zone that is seen
	ZoneHealthy
	ServerFlap // transitions of a server's health
	ServerLoad // a summary of load and time
	Override   // a suspension by hand
	kinds
)

// A term is what holds for a kind. Times are in microseconds.
type term struct {
	name string
	life int64 // from Made to the end, at most
	pace int64 // numbers that moved are told no sooner after what was told before
	most int   // of one observer
}

var terms = [kinds]term{
	ServerUnhealthy: {"server-bad", 3 * second, 300 * milli, 256},
	ServerHealthy:   {"server-well", 3 * second, 300 * milli, 256},
	ZoneUnhealthy:   {"zone-bad", 3 * second, 300 * milli, 32},
	ZoneHealthy:     {"zone-well", 3 * second, second, 32}, // all tell it all the time; once bad it is another kind
	ServerFlap:      {"server-flap", 60 * second, 0, 128},
	ServerLoad:      {"server-load", 5 * second, 2 * second, 256}, // a round of tuning lasts 3 s
	Override:        {"hand", resumedLife, 0, 0},
}

const (
	milli  = 1000 // microseconds
	second = 1000 * milli

	mostAge    = 1 << 43 // ms: 279 years
	mostStamp  = 1 << 53 // of an Incarnation, a Start, a Seq, and a Hand's version
	mostNumber = 1 << 40 // of Calls and Value: a power of two, which rounding does not exceed
)

// Known says whether the kind is one of this version.
func (k Kind) Known() bool { return k > 0 && k < kinds }

// String is the kind's name in figures and logs.
func (k Kind) String() string {
	if !k.Known() {
		return "unknown"
	}
	return terms[k].name
}

// Life is the longest life of the kind's entries, in microseconds: for a Hand, of a resumption, since a suspension
// has no end.
func (k Kind) TTL() int64 {
	if !k.Known() {
		return 0
	}
	return terms[k].life
}

// Body is what an entry says of its subject. The numbers keep 11 bits: three bytes on the wire, and a last digit that
// moves is no news.
type Body struct {
	Fault       uint8   // as logic counts them; unknown ones are passed on
	SubjectZone string  // a zone's name, where the kind has a second one; else empty
	Calls       float64 // evidence: calls in the span that the entry rests on; 0 to 2^40
	BadFraction float64 // part of them that were bad, 0 to 1
	Value       float64 // by kind: microseconds, a penalty; 0 to 2^40
}

// Item is what this proxy says now.
type Observation struct {
	Kind           Kind
	Subject        string // a server's or a zone's name
	SubjectStartMs int64  // when the subject was launched, ms; 0 where it has none
	Body           Body
}

// Entry is an item as one observer told it. Times without a unit are microseconds on the local clock.
type Entry struct {
	Kind           Kind
	Withdrawn      bool // withdrawn: it beats what was said before, until that would have ended; of a Hand: resumed
	Subject        string
	SubjectStartMs int64  // when the subject was launched, ms
	Observer       string // of a Hand: who acted last
	ObserverZone   string // the observer's
	Incarnation    int64  // the observer's start, ms; of a Hand: 0
	Seq            uint64 // grows with all that the observer tells; of a Hand: its version
	ObservedAt     int64  // when it was last true; an age on the wire
	TTL            int64  // it ends at Made+Life; 0, and no end, for a suspension by hand
	Body           Body
}

// End is when the entry ends; the end of time for a suspension by hand.
func (e *Entry) ExpiresAt() int64 {
	if e.Kind == Override && !e.Withdrawn {
		return math.MaxInt64
	}
	return e.ObservedAt + e.TTL
}

// age is how old an entry is, in milliseconds, rounded up: a relayed one never gets younger.
func age(now int64, e *Entry) int64 { return max(0, (now-e.ObservedAt+milli-1)/milli) }

// compare orders what was told of one key: the greatest wins, of equal copies the oldest. Only one who tells two things
// under one number, a twin or a forger, gets beyond Seq (a Hand: beyond Observer); the rest of this total order makes
// even that come out alike everywhere.
func compare(a, b *Entry) int {
	if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Seq, b.Seq); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Observer, b.Observer); c != 0 {
		return c
	}
	if !a.same(b) {
		if a.Withdrawn != b.Withdrawn {
			if a.Withdrawn {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.SubjectStartMs, b.SubjectStartMs), cmp.Compare(a.TTL, b.TTL), cmp.Compare(a.ObserverZone, b.ObserverZone),
			cmp.Compare(a.Body.Fault, b.Body.Fault), cmp.Compare(a.Body.SubjectZone, b.Body.SubjectZone),
			cmp.Compare(a.Body.Calls, b.Body.Calls), cmp.Compare(a.Body.BadFraction, b.Body.BadFraction),
			cmp.Compare(a.Body.Value, b.Body.Value))
	}
	return cmp.Compare(b.ObservedAt, a.ObservedAt)
}

// same says whether two tellings of one number say the same.
func (e *Entry) same(o *Entry) bool {
	return e.Withdrawn == o.Withdrawn && e.SubjectStartMs == o.SubjectStartMs && e.TTL == o.TTL && e.Body == o.Body && e.ObserverZone == o.ObserverZone
}

// number keeps 11 significant bits, so that most numbers fit a half float.
func number(x float64) float64 {
	const drop = 52 - 10
	return math.Float64frombits((math.Float64bits(x) + 1<<(drop-1)) &^ (1<<drop - 1))
}

func within(x, most float64) bool { return x >= 0 && x <= most } // no NaN is

func (b *Body) valid(name int) bool {
	return len(b.SubjectZone) <= name && utf8.ValidString(b.SubjectZone) &&
		within(b.Calls, mostNumber) && within(b.BadFraction, 1) && within(b.Value, mostNumber)
}

func validName(s string, most int) bool { return s != "" && len(s) <= most && utf8.ValidString(s) }

// valid says whether an entry may be looked at further; its end is not part of that.
func (e *Entry) valid(now int64, name int) bool {
	if !e.Kind.Known() || e.ObservedAt > now || e.ObservedAt < now-mostAge*milli ||
		!validName(e.Subject, name) || !validName(e.Observer, name) || len(e.ObserverZone) > name || !utf8.ValidString(e.ObserverZone) || !e.Body.valid(name) ||
		e.SubjectStartMs < 0 || e.SubjectStartMs > mostStamp || e.Incarnation < 0 || e.Incarnation > mostStamp ||
		e.Seq == 0 || e.Seq > mostStamp {
		return false
	}
	if e.Kind == Override && (e.Incarnation != 0 || e.SubjectStartMs != 0) {
		return false
	}
	if e.Kind == Override && !e.Withdrawn {
		return e.TTL == 0
	}
	return e.TTL > 0 && e.TTL <= terms[e.Kind].life
}
