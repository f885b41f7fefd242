package state

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

const (
	MaxPacketBytes   = 64 << 10 // bytes that Decode reads
	MaxSequenceBytes = 4 << 20  // bytes that DecodeAll reads
	MinPacketBytes   = 1024     // bytes that hold any entry whose names are within the default bound

	version     = 1
	mostEntries = 1 << 15 // of a sequence
	mostArray   = 1 << 13 // elements: of a packet's groups and of a group's entries
	bare        = 7       // bytes of a packet without groups, at most
)

// A packet is a map by small integers, so that a later version may add fields; entries share their observer's head.
// Numbers of fields are never given anew. A packet uses no tag and no item of indefinite length, nor may later ones.
type packet[G any] struct {
	Version uint64 `cbor:"1,keyasint"`
	Groups  []G    `cbor:"2,keyasint"`
}

type group[E any] struct {
	Observer    string `cbor:"1,keyasint"`
	Zone        string `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"` // ms
	Entries     []E    `cbor:"4,keyasint"`
}

type wire struct {
	Kind    uint64  `cbor:"1,keyasint"`
	Seq     uint64  `cbor:"2,keyasint"`
	Subject string  `cbor:"3,keyasint"`
	Age     int64   `cbor:"4,keyasint,omitempty"` // ms, rounded up
	Life    int64   `cbor:"5,keyasint,omitempty"` // ms; without: the kind's
	Gone    bool    `cbor:"6,keyasint,omitempty"`
	Since   int64   `cbor:"7,keyasint,omitempty"` // the subject's start, ms after the observer's
	Start   int64   `cbor:"8,keyasint,omitempty"` // the same as it is, where the two are one
	Cause   uint8   `cbor:"9,keyasint,omitempty"`
	Of      string  `cbor:"10,keyasint,omitempty"`
	Calls   float64 `cbor:"11,keyasint,omitempty"`
	Bad     float64 `cbor:"12,keyasint,omitempty"`
	Value   float64 `cbor:"13,keyasint,omitempty"`
}

var (
	encoding      = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.UserBufferEncMode())
	strict, loose = decoding(cbor.ExtraDecErrorUnknownField), decoding(cbor.ExtraDecErrorNone)
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options above are constants
	}
	return mode
}

func decoding(extra cbor.ExtraDecErrorCond) cbor.DecMode {
	return must(cbor.DecOptions{
		MaxArrayElements: mostArray, MaxMapPairs: 64, MaxNestedLevels: 16, ExtraReturnErrors: extra,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode())
}

// Skipped counts what Decode left out of a packet that it could read.
type Skipped struct {
	UnknownKinds  int // entries of an unknown kind
	UnknownFields int // packets, groups and entries with unknown fields, that were read as far as known
	Malformed     int // groups and entries that are not of the known shape, or over the bound
	NewerVersion  int // packets of a newer version, that were read as far as known
}

func (s *Skipped) add(o Skipped) {
	s.UnknownKinds, s.UnknownFields, s.Malformed, s.NewerVersion = s.UnknownKinds+o.UnknownKinds, s.UnknownFields+o.UnknownFields, s.Malformed+o.Malformed, s.NewerVersion+o.NewerVersion
}

// PacketError is a packet that was not read at all.
type PacketError struct {
	Size   int
	Reason string
}

func (e *PacketError) Error() string {
	return fmt.Sprintf("packet of %d bytes: %s: it was left out; see that all proxies with this label are this program",
		e.Size, e.Reason)
}

// packer fills one packet after the other.
type packer struct {
	most int // bytes of a packet
	size int // of the present one, at most
	body []byte
	one  bytes.Buffer
	w    wire
	p    packet[group[cbor.RawMessage]]
}

func newPacker(most int) *packer {
	most = min(most, MaxPacketBytes)
	// The body never grows: what lies in it is kept by reference.
	return &packer{most: most, size: bare, body: make([]byte, 0, max(most, 0)),
		p: packet[group[cbor.RawMessage]]{Version: version}}
}

// fit is what became of an entry.
type fit int

const (
	added fit = iota
	left      // out: it ends within a millisecond, or is not valid
	full      // no room in this packet
)

func (k *packer) put(now int64, e *Entry) fit {
	k.w.from(now, e)
	k.one.Reset()
	if !e.valid(now, k.most) || k.w.ended(e) || encoding.MarshalToBuffer(&k.w, &k.one) != nil {
		return left
	}
	g := group[cbor.RawMessage]{Observer: e.Observer, Zone: e.ObserverZone, Incarnation: e.Incarnation}
	head := 0
	if len(k.p.Groups) == 0 || !g.same(&k.p.Groups[len(k.p.Groups)-1]) {
		head = g.head()
	}
	if k.size+head+k.one.Len() > k.most {
		return full
	}
	if head > 0 {
		k.p.Groups = append(k.p.Groups, g)
	}
	k.size += head + k.one.Len()
	from := len(k.body)
	k.body = append(k.body, k.one.Bytes()...)
	last := &k.p.Groups[len(k.p.Groups)-1]
	last.Entries = append(last.Entries, k.body[from:len(k.body):len(k.body)])
	return added
}

// flush gives the packet, nil if nothing is in it, and begins the next.
func (k *packer) flush() (data []byte) {
	if len(k.p.Groups) > 0 {
		var err error
		if data, err = encoding.Marshal(&k.p); err != nil {
			data = nil
		}
	}
	k.p.Groups, k.body, k.size = nil, k.body[:0], bare
	return data
}

// Encode puts entries into packets of at most so many bytes, and never of more than MostPacket. Left out is what ends
// within a millisecond, what is not valid, and an entry that fits no packet: that needs names over the default bound, or
// most under LeastPacket.
func Encode(now int64, entries []Entry, most int) [][]byte {
	k := newPacker(most)
	var packets [][]byte
	flush := func() {
		if data := k.flush(); data != nil {
			packets = append(packets, data)
		}
	}
	for i := range entries {
		if k.put(now, &entries[i]) == full {
			flush()
			k.put(now, &entries[i])
		}
	}
	flush()
	return packets
}

// Pack gives the first packet that Encode would give, nil for none, and which of the entries it holds. It stops at the
// first that has no room.
func Pack(now int64, entries []Entry, most int) (data []byte, held []int) {
	k := newPacker(most)
	for i := range entries {
		switch k.put(now, &entries[i]) {
		case added:
			held = append(held, i)
			continue
		case left:
			continue
		}
		if len(held) > 0 { // else it fits no packet
			break
		}
	}
	if data = k.flush(); data == nil {
		held = nil
	}
	return data, held
}

func (g *group[E]) same(o *group[E]) bool {
	return g.Observer == o.Observer && g.Zone == o.Zone && g.Incarnation == o.Incarnation
}

// head is how many bytes a group without entries takes, at most.
func (g *group[E]) head() int {
	data, _ := encoding.Marshal(g)
	return len(data) + 2 // a longer array's head
}

func (w *wire) from(now int64, e *Entry) {
	*w = wire{
		Kind: uint64(e.Kind), Seq: e.Seq, Subject: e.Subject, Age: age(now, e), Gone: e.Withdrawn,
		Cause: e.Body.Fault, Of: e.Body.SubjectZone, Calls: e.Body.Calls, Bad: e.Body.BadFraction, Value: e.Body.Value,
	}
	if e.TTL != e.Kind.TTL() {
		w.Life = e.TTL / milli
	}
	switch {
	case e.SubjectStartMs == 0:
	case e.SubjectStartMs == e.Incarnation:
		w.Start = e.SubjectStartMs
	default:
		w.Since = e.SubjectStartMs - e.Incarnation
	}
}

// ended says whether a reader would find the entry ended.
func (w *wire) ended(e *Entry) bool {
	return (e.Kind != Override || e.Withdrawn) && w.Age*milli >= e.TTL
}

// entry is what a wire says, if its numbers can be held; whether they are valid is Merge's to say.
func (w *wire) entry(now int64, observer, zone string, incarnation int64) (Entry, bool) {
	e := Entry{
		Kind: Kind(w.Kind), Seq: w.Seq, Subject: w.Subject, ObservedAt: now - w.Age*milli, Withdrawn: w.Gone, SubjectStartMs: w.Start,
		Observer: observer, ObserverZone: zone, Incarnation: incarnation, TTL: w.Life * milli,
		Body: Body{Fault: w.Cause, SubjectZone: w.Of, Calls: w.Calls, BadFraction: w.Bad, Value: w.Value},
	}
	if w.Life == 0 && (e.Kind != Override || e.Withdrawn) {
		e.TTL = e.Kind.TTL()
	}
	if w.Since != 0 {
		e.SubjectStartMs = incarnation + w.Since
	}
	return e, w.Age >= 0 && w.Age <= mostAge && w.Life >= 0 && w.Life <= mostAge &&
		incarnation >= 0 && incarnation <= mostStamp && -mostStamp <= w.Since && w.Since <= mostStamp
}

func known(kind uint64) bool { return kind < uint64(kinds) && Kind(kind).Known() }

// Decode reads one packet of at most MostPacket bytes. Any bytes are safe: for a moment they take at most some 8 MB,
// and one packet gives at most some 8,000 entries. The error is a *PacketError.
func Decode(now int64, data []byte) ([]Entry, Skipped, error) {
	var s Skipped
	if len(data) > MaxPacketBytes {
		return nil, s, &PacketError{len(data), fmt.Sprintf("over %d bytes", MaxPacketBytes)}
	}
	var p packet[group[wire]]
	if strict.Unmarshal(data, &p) != nil {
		return decodeOdd(now, data)
	}
	if err := s.version(len(data), p.Version); err != nil {
		return nil, s, err
	}
	n := 0
	for i := range p.Groups {
		n += len(p.Groups[i].Entries)
	}
	entries := make([]Entry, 0, n)
	for i := range p.Groups {
		g := &p.Groups[i]
		for j := range g.Entries {
			entries = s.put(entries, now, g.Observer, g.Zone, g.Incarnation, &g.Entries[j])
		}
	}
	return entries, s, nil
}

func (s *Skipped) version(size int, of uint64) error {
	if of == 0 {
		return &PacketError{size, "it names no version"}
	}
	if of > version {
		s.NewerVersion++
	}
	return nil
}

func (s *Skipped) put(to []Entry, now int64, observer, zone string, incarnation int64, w *wire) []Entry {
	if !known(w.Kind) {
		s.UnknownKinds++
	} else if e, ok := w.entry(now, observer, zone, incarnation); ok {
		return append(to, e)
	} else {
		s.Malformed++
	}
	return to
}

// decodeOdd reads a packet that is not in full of the known shape, part by part.
func decodeOdd(now int64, data []byte) ([]Entry, Skipped, error) {
	var (
		s       Skipped
		p       packet[cbor.RawMessage]
		entries []Entry
	)
	if err := s.read(data, &p); err != nil {
		return nil, Skipped{}, &PacketError{len(data), err.Error()}
	}
	if err := s.version(len(data), p.Version); err != nil {
		return nil, Skipped{}, err
	}
	for _, raw := range p.Groups {
		var g group[cbor.RawMessage]
		if s.read(raw, &g) != nil {
			s.Malformed++
			continue
		}
		for _, raw := range g.Entries {
			var kind struct {
				Kind uint64 `cbor:"1,keyasint"`
			}
			var w wire
			switch {
			case loose.Unmarshal(raw, &kind) != nil:
				s.Malformed++
			case !known(kind.Kind):
				s.UnknownKinds++
			case s.read(raw, &w) != nil:
				s.Malformed++
			default:
				entries = s.put(entries, now, g.Observer, g.Zone, g.Incarnation, &w)
			}
		}
	}
	return entries, s, nil
}

// read reads into a zero value, and counts it if it has unknown fields.
func (s *Skipped) read(data []byte, to any) error {
	err := strict.Unmarshal(data, to)
	if unknown := (*cbor.UnknownFieldError)(nil); errors.As(err, &unknown) {
		s.UnknownFields++
		err = loose.Unmarshal(data, to)
	}
	return err
}

// DecodeAll reads packets laid end to end, as a full exchange sends them, of at most MostSequence bytes and some 32,000
// entries together. It gives what came before an error too. The error is a *PacketError.
func DecodeAll(now int64, sequence []byte) ([]Entry, Skipped, error) {
	var (
		s   Skipped
		all []Entry
		raw cbor.RawMessage
	)
	if len(sequence) > MaxSequenceBytes {
		return nil, s, &PacketError{len(sequence), fmt.Sprintf("over %d bytes", MaxSequenceBytes)}
	}
	for rest := sequence; len(rest) > 0; {
		next, err := loose.UnmarshalFirst(rest, &raw)
		if err != nil {
			return all, s, &PacketError{len(rest), err.Error()}
		}
		if len(all) > mostEntries {
			return all, s, &PacketError{len(rest), fmt.Sprintf("after %d entries", len(all))}
		}
		entries, skipped, err := Decode(now, raw)
		if err != nil {
			return all, s, err
		}
		all = append(all, entries...)
		s.add(skipped)
		rest = next
	}
	return all, s, nil
}
