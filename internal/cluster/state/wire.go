package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of packets in bytes.
const (
	MaxPacketBytes   = 64 << 10 // that Decode reads
	MaxSequenceBytes = 4 << 20  // that DecodeAll reads
	MinPacketBytes   = 1024     // holds any entry whose names are within the default limit
)

const (
	wireVersion        = 1
	maxSequenceEntries = 1 << 15
	maxArrayElements   = 1 << 13 // a packet's groups, and a group's entries
	emptyPacketBytes   = 7       // at most
)

// packet is a map with small integer keys, so that later versions may add fields; entries of one observer share a group.
// Field numbers are never reused. Neither tags nor items of indefinite length are used, now or by later versions.
type packet[G any] struct {
	Version uint64 `cbor:"1,keyasint"`
	Groups  []G    `cbor:"2,keyasint"`
}

type group[E any] struct {
	Observer     string `cbor:"1,keyasint"`
	ObserverZone string `cbor:"2,keyasint,omitempty"`
	Incarnation  int64  `cbor:"3,keyasint,omitempty"`
	Entries      []E    `cbor:"4,keyasint"`
}

// wireEntry is an Entry as it is sent.
type wireEntry struct {
	Kind           uint64  `cbor:"1,keyasint"`
	Seq            uint64  `cbor:"2,keyasint"`
	Subject        string  `cbor:"3,keyasint"`
	AgeMs          int64   `cbor:"4,keyasint,omitempty"` // rounded up
	TTLMs          int64   `cbor:"5,keyasint,omitempty"` // 0 stands for the kind's
	Withdrawn      bool    `cbor:"6,keyasint,omitempty"`
	StartOffsetMs  int64   `cbor:"7,keyasint,omitempty"` // the subject's start after the observer's incarnation
	SubjectStartMs int64   `cbor:"8,keyasint,omitempty"` // in place of the offset where that would be 0
	Fault          uint8   `cbor:"9,keyasint,omitempty"`
	SubjectZone    string  `cbor:"10,keyasint,omitempty"`
	Calls          float64 `cbor:"11,keyasint,omitempty"`
	BadFraction    float64 `cbor:"12,keyasint,omitempty"`
	Value          float64 `cbor:"13,keyasint,omitempty"`
}

var (
	encMode     = mustMode(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode())
	strictMode  = newDecMode(cbor.ExtraDecErrorUnknownField)
	lenientMode = newDecMode(cbor.ExtraDecErrorNone)
)

func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newDecMode(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	return mustMode(cbor.DecOptions{
		MaxArrayElements: maxArrayElements, MaxMapPairs: 64, MaxNestedLevels: 16, ExtraReturnErrors: extra,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
}

// PacketError reports a packet that could not be read at all.
type PacketError struct {
	Size   int // bytes
	Reason string
}

// Error implements error.
func (e *PacketError) Error() string {
	return fmt.Sprintf("gossip packet of %d bytes dropped: %s: check that all members with this label run this program",
		e.Size, e.Reason)
}

func (w *wireEntry) fill(now int64, e *Entry) {
	*w = wireEntry{
		Kind: uint64(e.Kind), Seq: e.Seq, Subject: e.Subject, AgeMs: ageMs(now, e), Withdrawn: e.Withdrawn,
		Fault: e.Body.Fault, SubjectZone: e.Body.SubjectZone,
		Calls: e.Body.Calls, BadFraction: e.Body.BadFraction, Value: e.Body.Value,
	}
	if e.TTL != e.Kind.TTL() {
		w.TTLMs = e.TTL / millisecond
	}
	switch {
	case e.SubjectStartMs == 0:
	case e.SubjectStartMs == e.Incarnation:
		w.SubjectStartMs = e.SubjectStartMs
	default:
		w.StartOffsetMs = e.SubjectStartMs - e.Incarnation
	}
}

// expired reports whether a reader would find the entry expired.
func (w *wireEntry) expired(e *Entry) bool {
	return (e.Kind != Override || e.Withdrawn) && w.AgeMs*millisecond >= e.TTL
}

// toEntry converts a received toEntry; ok is false for numbers that would overflow. Merge checks the rest.
func (w *wireEntry) toEntry(now int64, observer, zone string, incarnation int64) (e Entry, ok bool) {
	e = Entry{
		Kind: Kind(w.Kind), Seq: w.Seq, Subject: w.Subject, ObservedAt: now - w.AgeMs*millisecond, Withdrawn: w.Withdrawn,
		SubjectStartMs: w.SubjectStartMs, Observer: observer, ObserverZone: zone, Incarnation: incarnation,
		TTL: w.TTLMs * millisecond,
		Body: Body{Fault: w.Fault, SubjectZone: w.SubjectZone, Calls: w.Calls, BadFraction: w.BadFraction,
			Value: w.Value},
	}
	if w.TTLMs == 0 && (e.Kind != Override || e.Withdrawn) {
		e.TTL = e.Kind.TTL()
	}
	if w.StartOffsetMs != 0 {
		e.SubjectStartMs = incarnation + w.StartOffsetMs
	}
	ok = w.AgeMs >= 0 && w.AgeMs <= maxAgeMs && w.TTLMs >= 0 && w.TTLMs <= maxAgeMs &&
		incarnation >= 0 && incarnation <= maxStamp && -maxStamp <= w.StartOffsetMs && w.StartOffsetMs <= maxStamp
	return e, ok
}

func knownKind(kind uint64) bool { return kind < uint64(kindCount) && Kind(kind).Known() }
