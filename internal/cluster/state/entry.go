package state

import (
	"cmp"
	"math"
	"unicode/utf8"
)

// Limits of the numbers in entries.
const (
	maxAgeMs       = 1 << 43
	maxWireInteger = 1 << 53 // incarnations, start times (ms), sequence numbers, Lamport versions
	maxBodyNumber  = 1 << 40 // Calls and Value; a power of two, so that rounding does not exceed it
)

// Body is the content of an entry. Its floating-point numbers are rounded to 11 significant bits, which takes
// three bytes on the wire and keeps noise in the last digits from being published as a change.
type Body struct {
	Fault       uint8   // number on the wire, see package adapter; unknown numbers are relayed
	SubjectZone string  // the second zone, for kinds that have one; otherwise empty
	Calls       float64 // number of calls that the observation is based on, 0 to 2^40
	BadFraction float64 // fraction of these calls that were bad, 0 to 1
	Value       float64 // by kind: latency in microseconds, or a flap penalty; 0 to 2^40
}

// Observation is what this proxy currently observes about one server or zone.
type Observation struct {
	Kind           Kind
	Subject        string // name of the server or zone
	SubjectStartMs int64  // start of the subject's process, Unix milliseconds; 0 if it has none
	Body           Body
}

// Entry is an observation as published by one observer, or an operator's override (kind Override).
type Entry struct {
	Kind           Kind
	Withdrawn      bool // a tombstone until the key's previous entry would expire; for an Override: resumed
	Subject        string
	SubjectStartMs int64
	Observer       string // proxy that published it; for an Override: the proxy that set it
	ObserverZone   string
	Incarnation    int64  // start of the observer's process, Unix milliseconds, or later; for an Override: 0
	Seq            uint64 // sequence number within the incarnation; for an Override: the Lamport version
	ObservedAt     int64  // when the observation last held, microseconds on the local clock
	TTL            int64  // microseconds; 0 for a suspension, which does not expire
	Body           Body
}

// ExpiresAt returns when the entry expires, in microseconds on the local clock; math.MaxInt64 for a
// suspension.
func (e *Entry) ExpiresAt() int64 {
	if e.Kind == Override && !e.Withdrawn {
		return math.MaxInt64
	}
	return e.ObservedAt + e.TTL
}

// ageMs returns the entry's age in milliseconds, rounded up so that a relayed copy never appears younger.
func ageMs(now int64, e *Entry) int64 {
	return max(0, (now-e.ObservedAt+millisecond-1)/millisecond)
}

// compareVersions orders entries of one key. The greater one is kept, and of equal copies the oldest.
// (Incarnation, Seq), or (Seq, Observer) for an Override, decides between all entries but those of two
// processes with the same name and forged ones. The remaining comparisons make all members keep the same one
// of these too.
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

// sameContent reports whether two entries of the same version have the same content.
func (e *Entry) sameContent(other *Entry) bool {
	return e.Withdrawn == other.Withdrawn && e.SubjectStartMs == other.SubjectStartMs && e.TTL == other.TTL &&
		e.Body == other.Body && e.ObserverZone == other.ObserverZone
}

// roundNumber rounds x to 11 significant bits, so that most numbers fit into a half-precision float.
func roundNumber(x float64) float64 {
	const droppedBits = 52 - 10
	return math.Float64frombits((math.Float64bits(x) + 1<<(droppedBits-1)) &^ (1<<droppedBits - 1))
}

// inRange reports whether x is between 0 and maximum. It returns false for NaN.
func inRange(x, maximum float64) bool { return x >= 0 && x <= maximum }

func (b *Body) valid(maxNameBytes int) bool {
	return len(b.SubjectZone) <= maxNameBytes && utf8.ValidString(b.SubjectZone) &&
		inRange(b.Calls, maxBodyNumber) && inRange(b.BadFraction, 1) && inRange(b.Value, maxBodyNumber)
}

func validName(name string, maxBytes int) bool {
	return name != "" && len(name) <= maxBytes && utf8.ValidString(name)
}

// valid reports whether all fields are in range. An expired entry can be valid.
func (e *Entry) valid(now int64, maxNameBytes int) bool {
	if !e.Kind.Known() || e.ObservedAt > now || e.ObservedAt < now-maxAgeMs*millisecond {
		return false
	}
	if !validName(e.Subject, maxNameBytes) || !validName(e.Observer, maxNameBytes) ||
		len(e.ObserverZone) > maxNameBytes || !utf8.ValidString(e.ObserverZone) || !e.Body.valid(maxNameBytes) {
		return false
	}
	if e.SubjectStartMs < 0 || e.SubjectStartMs > maxWireInteger || e.Incarnation < 0 ||
		e.Incarnation > maxWireInteger || e.Seq == 0 || e.Seq > maxWireInteger {
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
