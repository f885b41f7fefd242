package state

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Sizes of packets in bytes.
const (
	MaxPacketBytes   = 64 << 10 // largest packet that Decode accepts
	MaxSequenceBytes = 4 << 20  // longest sequence of packets that DecodeAll accepts
	MinPacketBytes   = 1024     // has room for any entry with names within the default limit
)

const (
	wireVersion        = 1
	maxSequenceEntries = 1 << 15
	maxArrayElements   = 1 << 13 // a packet's groups, and a group's entries
	emptyPacketBytes   = 7       // upper bound on the encoded size of a packet without groups
)

// packet is encoded as a CBOR map with small integer keys, so that later versions can add fields. Entries of
// one observer share a group. Field numbers are never reused. Neither this nor later versions use CBOR tags
// or items of indefinite length.
type packet[G any] struct {
	Version uint64 `cbor:"1,keyasint"`
	Groups  []G    `cbor:"2,keyasint"`
}

// group holds entries of one observer and incarnation. E is wireEntry, or cbor.RawMessage for encoded
// entries.
type group[E any] struct {
	Observer     string `cbor:"1,keyasint"`
	ObserverZone string `cbor:"2,keyasint,omitempty"`
	Incarnation  int64  `cbor:"3,keyasint,omitempty"`
	Entries      []E    `cbor:"4,keyasint"`
}

// wireEntry is the wire format of an Entry within its group.
type wireEntry struct {
	Kind           uint64  `cbor:"1,keyasint"`
	Seq            uint64  `cbor:"2,keyasint"`
	Subject        string  `cbor:"3,keyasint"`
	AgeMs          int64   `cbor:"4,keyasint,omitempty"` // rounded up
	TTLMs          int64   `cbor:"5,keyasint,omitempty"` // 0 stands for the kind's TTL
	Withdrawn      bool    `cbor:"6,keyasint,omitempty"`
	StartOffsetMs  int64   `cbor:"7,keyasint,omitempty"` // subject's start minus Incarnation
	SubjectStartMs int64   `cbor:"8,keyasint,omitempty"` // used instead of the offset if that would be 0
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

// PacketError reports a packet that could not be decoded at all.
type PacketError struct {
	Size   int // bytes
	Reason string
}

// Error returns a message with the packet's size, the reason and the likely remedy.
func (e *PacketError) Error() string {
	return fmt.Sprintf(
		"gossip packet of %d bytes dropped: %s: check that all members with its label run this program",
		e.Size, e.Reason)
}

// fill sets w to the wire format of an entry at the time now.
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

// expired reports whether a receiver would find the entry expired.
func (w *wireEntry) expired(e *Entry) bool {
	return (e.Kind != Override || e.Withdrawn) && w.AgeMs*millisecond >= e.TTL
}

// toEntry converts a received entry. ok is false if a number is so large that calculations could overflow;
// Merge checks the rest.
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
		incarnation >= 0 && incarnation <= maxWireInteger && -maxWireInteger <= w.StartOffsetMs &&
		w.StartOffsetMs <= maxWireInteger
	return e, ok
}

func knownKind(kind uint64) bool { return kind < uint64(kindCount) && Kind(kind).Known() }
