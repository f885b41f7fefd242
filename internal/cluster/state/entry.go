package state

import (
	"cmp"
	"math"
	"unicode/utf8"
)

// Ranges of numbers that entries carry.
const (
	maxAgeMs      = 1 << 43
	maxStamp      = 1 << 53 // of an incarnation, a start in milliseconds, a sequence number and a Lamport version
	maxBodyNumber = 1 << 40 // of Calls and Value; a power of two, which rounding does not exceed
)

// Body is the content of an entry. Numbers are rounded to 11 bits, which is three bytes on the wire and keeps noise in
// the last digits from being published as a change.
type Body struct {
	Fault       uint8   // number on the wire (package adapter); unknown ones are relayed
	SubjectZone string  // the second zone of a kind that has one; else empty
	Calls       float64 // calls that the observation rests on, 0 to 2^40
	BadFraction float64 // of these calls, 0 to 1
	Value       float64 // by kind: latency in microseconds, or a flap penalty; 0 to 2^40
}

// Observation is what this proxy observes now.
type Observation struct {
	Kind           Kind
	Subject        string // a server's or a zone's name
	SubjectStartMs int64  // start of the subject's process; 0 if it has none
	Body           Body
}

// Entry is an observation as one observer published it.
type Entry struct {
	Kind           Kind
	Withdrawn      bool // a tombstone of the key's previous entry until that would have expired; of an Override: resumed
	Subject        string
	SubjectStartMs int64
	Observer       string // of an Override: the last actor
	ObserverZone   string
	Incarnation    int64  // start of the observer's process in Unix milliseconds, or later; of an Override: 0
	Seq            uint64 // sequence number in the incarnation; of an Override: the Lamport version
	ObservedAt     int64  // when it last held, microseconds on the local clock
	TTL            int64  // microseconds; 0 for a suspension, which does not expire
	Body           Body
}

// ExpiresAt returns when the entry expires in microseconds on the local clock, math.MaxInt64 for a suspension.
func (e *Entry) ExpiresAt() int64 {
	if e.Kind == Override && !e.Withdrawn {
		return math.MaxInt64
	}
	return e.ObservedAt + e.TTL
}

// ageMs returns the entry's age in milliseconds, rounded up so that a relayed copy never gets younger.
func ageMs(now int64, e *Entry) int64 {
	return max(0, (now-e.ObservedAt+millisecond-1)/millisecond)
}

// compareVersions orders entries of one key: the greater one is kept, and of equal copies the oldest. Only entries of two
// processes under one name, or forged ones, differ in more than (Incarnation, Seq), or for an Override (Seq, Observer);
// the rest of the order makes all members keep the same one of these too.
func compareVersions(a, b *Entry) int {
	version := cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Seq, b.Seq),
		cmp.Compare(a.Observer, b.Observer))
	if version != 0 {
		return version
	}
	if a.sameContent(b) {
		return cmp.Compare(b.ObservedAt, a.ObservedAt)
	}
	if a.Withdrawn != b.Withdrawn {
		if a.Withdrawn {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.SubjectStartMs, b.SubjectStartMs), cmp.Compare(a.TTL, b.TTL),
		cmp.Compare(a.ObserverZone, b.ObserverZone),
		cmp.Compare(a.Body.Fault, b.Body.Fault), cmp.Compare(a.Body.SubjectZone, b.Body.SubjectZone),
		cmp.Compare(a.Body.Calls, b.Body.Calls), cmp.Compare(a.Body.BadFraction, b.Body.BadFraction),
		cmp.Compare(a.Body.Value, b.Body.Value))
}

// sameContent reports whether two entries of one version say the same.
func (e *Entry) sameContent(other *Entry) bool {
	return e.Withdrawn == other.Withdrawn && e.SubjectStartMs == other.SubjectStartMs && e.TTL == other.TTL &&
		e.Body == other.Body && e.ObserverZone == other.ObserverZone
}

// roundNumber keeps 11 significant bits, so that most numbers fit a half-precision float.
func roundNumber(x float64) float64 {
	const droppedBits = 52 - 10
	return math.Float64frombits((math.Float64bits(x) + 1<<(droppedBits-1)) &^ (1<<droppedBits - 1))
}

// inRange is false for NaN too.
func inRange(x, maximum float64) bool { return x >= 0 && x <= maximum }

func (b *Body) valid(maxNameBytes int) bool {
	return len(b.SubjectZone) <= maxNameBytes && utf8.ValidString(b.SubjectZone) &&
		inRange(b.Calls, maxBodyNumber) && inRange(b.BadFraction, 1) && inRange(b.Value, maxBodyNumber)
}

func validName(name string, maxBytes int) bool {
	return name != "" && len(name) <= maxBytes && utf8.ValidString(name)
}

// valid reports whether all fields are in range; an expired entry may be valid.
func (e *Entry) valid(now int64, maxNameBytes int) bool {
	if !e.Kind.Known() || e.ObservedAt > now || e.ObservedAt < now-maxAgeMs*millisecond {
		return false
	}
	if !validName(e.Subject, maxNameBytes) || !validName(e.Observer, maxNameBytes) ||
		len(e.ObserverZone) > maxNameBytes || !utf8.ValidString(e.ObserverZone) || !e.Body.valid(maxNameBytes) {
		return false
	}
	if e.SubjectStartMs < 0 || e.SubjectStartMs > maxStamp || e.Incarnation < 0 || e.Incarnation > maxStamp ||
		e.Seq == 0 || e.Seq > maxStamp {
		return false
	}
	if e.Kind == Override {
		if e.Incarnation != 0 || e.SubjectStartMs != 0 {
			return false
		}
		if !e.Withdrawn {
			return e.TTL == 0
		}
	}
	return e.TTL > 0 && e.TTL <= paramsByKind[e.Kind].ttl
}
