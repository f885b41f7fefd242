package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Skipped counts what was left out of packets that could be read.
type Skipped struct {
	UnknownKinds  int // entries
	UnknownFields int // packets, groups and entries with unknown fields, which were ignored
	Malformed     int // groups and entries of another shape, or with numbers out of range
	NewerVersion  int // packets of a newer version, whose known part was read
}

// Add adds the counts of other.
func (s *Skipped) Add(other Skipped) {
	s.UnknownKinds += other.UnknownKinds
	s.UnknownFields += other.UnknownFields
	s.Malformed += other.Malformed
	s.NewerVersion += other.NewerVersion
}

// Decode reads one packet of at most MaxPacketBytes. It is safe for untrusted bytes: it takes at most some 8 MB of memory
// and returns at most some 8,000 entries. The error is a *PacketError.
func Decode(now int64, data []byte) ([]Entry, Skipped, error) {
	if len(data) > MaxPacketBytes {
		return nil, Skipped{}, &PacketError{len(data), fmt.Sprintf("over %d bytes", MaxPacketBytes)}
	}
	d := decoder{now: now, size: len(data)}
	var p packet[group[wireEntry]]
	if strictMode.Unmarshal(data, &p) != nil {
		return d.decodeLenient(data)
	}
	if err := d.checkVersion(p.Version); err != nil {
		return nil, d.skipped, err
	}
	n := 0
	for i := range p.Groups {
		n += len(p.Groups[i].Entries)
	}
	d.entries = make([]Entry, 0, n)
	for i := range p.Groups {
		g := &p.Groups[i]
		for j := range g.Entries {
			d.add(g.Observer, g.ObserverZone, g.Incarnation, &g.Entries[j])
		}
	}
	return d.entries, d.skipped, nil
}

// decoder reads one packet.
type decoder struct {
	now     int64
	size    int // bytes of the packet
	entries []Entry
	skipped Skipped
}

func (d *decoder) checkVersion(version uint64) error {
	if version == 0 {
		return &PacketError{d.size, "no version"}
	}
	if version > wireVersion {
		d.skipped.NewerVersion++
	}
	return nil
}

func (d *decoder) add(observer, zone string, incarnation int64, w *wireEntry) {
	if !knownKind(w.Kind) {
		d.skipped.UnknownKinds++
		return
	}
	e, ok := w.toEntry(d.now, observer, zone, incarnation)
	if !ok {
		d.skipped.Malformed++
		return
	}
	d.entries = append(d.entries, e)
}

// decodeLenient reads a packet group by group and entry by entry, and skips those that do not have the known shape.
func (d *decoder) decodeLenient(data []byte) ([]Entry, Skipped, error) {
	var p packet[cbor.RawMessage]
	if err := d.unmarshal(data, &p); err != nil {
		return nil, Skipped{}, &PacketError{d.size, err.Error()}
	}
	if err := d.checkVersion(p.Version); err != nil {
		return nil, Skipped{}, err
	}
	for _, raw := range p.Groups {
		var g group[cbor.RawMessage]
		if d.unmarshal(raw, &g) != nil {
			d.skipped.Malformed++
			continue
		}
		for _, raw := range g.Entries {
			d.decodeLenientEntry(raw, &g)
		}
	}
	return d.entries, d.skipped, nil
}

func (d *decoder) decodeLenientEntry(raw cbor.RawMessage, g *group[cbor.RawMessage]) {
	var header struct {
		Kind uint64 `cbor:"1,keyasint"`
	}
	var w wireEntry
	switch {
	case lenientMode.Unmarshal(raw, &header) != nil:
		d.skipped.Malformed++
	case !knownKind(header.Kind): // its other fields may have other types
		d.skipped.UnknownKinds++
	case d.unmarshal(raw, &w) != nil:
		d.skipped.Malformed++
	default:
		d.add(g.Observer, g.ObserverZone, g.Incarnation, &w)
	}
}

// unmarshal reads into a zero value; unknown fields are counted and ignored.
func (d *decoder) unmarshal(data []byte, to any) error {
	err := strictMode.Unmarshal(data, to)
	if unknown := (*cbor.UnknownFieldError)(nil); errors.As(err, &unknown) {
		d.skipped.UnknownFields++
		err = lenientMode.Unmarshal(data, to)
	}
	return err
}

// DecodeAll reads the concatenated packets of a full exchange, of at most MaxSequenceBytes and some 32,000 entries. It
// also returns what came before an error. The error is a *PacketError.
func DecodeAll(now int64, sequence []byte) ([]Entry, Skipped, error) {
	var (
		skipped Skipped
		all     []Entry
		raw     cbor.RawMessage
	)
	if len(sequence) > MaxSequenceBytes {
		return nil, skipped, &PacketError{len(sequence), fmt.Sprintf("over %d bytes", MaxSequenceBytes)}
	}
	for rest := sequence; len(rest) > 0; {
		next, err := lenientMode.UnmarshalFirst(rest, &raw)
		if err != nil {
			return all, skipped, &PacketError{len(rest), err.Error()}
		}
		if len(all) > maxSequenceEntries {
			return all, skipped, &PacketError{len(rest), fmt.Sprintf("after %d entries", len(all))}
		}
		entries, packetSkipped, err := Decode(now, raw)
		if err != nil {
			return all, skipped, err
		}
		all = append(all, entries...)
		skipped.Add(packetSkipped)
		rest = next
	}
	return all, skipped, nil
}
