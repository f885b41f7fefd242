package state

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Skipped counts the parts of readable packets that were ignored.
type Skipped struct {
	UnknownKinds  int // entries of a kind that this version does not define
	UnknownFields int // packets, groups and entries with unknown fields, which were ignored
	Malformed     int // groups and entries with wrong field types, or with numbers out of range
	NewerVersion  int // packets of a newer version, of which the known part was read
}

// Add adds the counts of other.
func (s *Skipped) Add(other Skipped) {
	s.UnknownKinds += other.UnknownKinds
	s.UnknownFields += other.UnknownFields
	s.Malformed += other.Malformed
	s.NewerVersion += other.NewerVersion
}

// Decode decodes one packet of at most MaxPacketBytes. It is safe for untrusted input: it allocates at most
// about 8 MB and returns at most about 8,000 entries. The error is a *PacketError. now is in microseconds.
func Decode(now int64, data []byte) ([]Entry, Skipped, error) {
	if len(data) > MaxPacketBytes {
		return nil, Skipped{}, &PacketError{len(data), fmt.Sprintf("longer than %d bytes", MaxPacketBytes)}
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

// decoder holds the state of decoding one packet.
type decoder struct {
	now     int64
	size    int // of the packet, bytes
	entries []Entry
	skipped Skipped
}

// checkVersion rejects packets without a version and counts those of newer versions.
func (d *decoder) checkVersion(version uint64) error {
	if version == 0 {
		return &PacketError{d.size, "its version is missing or 0"}
	}
	if version > wireVersion {
		d.skipped.NewerVersion++
	}
	return nil
}

// add adds a decoded entry, or counts it as skipped.
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

// decodeLenient decodes a packet group by group and entry by entry, and skips those that are malformed.
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

// decodeLenientEntry decodes one entry of a group, or counts it as skipped.
func (d *decoder) decodeLenientEntry(raw cbor.RawMessage, g *group[cbor.RawMessage]) {
	var header struct {
		Kind uint64 `cbor:"1,keyasint"`
	}
	var w wireEntry
	switch {
	case lenientMode.Unmarshal(raw, &header) != nil:
		d.skipped.Malformed++
	case !knownKind(header.Kind): // its other fields may have types unknown to this version
		d.skipped.UnknownKinds++
	case d.unmarshal(raw, &w) != nil:
		d.skipped.Malformed++
	default:
		d.add(g.Observer, g.ObserverZone, g.Incarnation, &w)
	}
}

// unmarshal decodes data into target, a pointer to a zero value. Unknown fields are counted and ignored.
func (d *decoder) unmarshal(data []byte, target any) error {
	err := strictMode.Unmarshal(data, target)
	if unknown := (*cbor.UnknownFieldError)(nil); errors.As(err, &unknown) {
		d.skipped.UnknownFields++
		err = lenientMode.Unmarshal(data, target)
	}
	return err
}

// DecodeAll decodes the concatenated packets of a full exchange, of at most MaxSequenceBytes and about 32,000
// entries. On an error, a *PacketError, it also returns the entries of the packets before it.
func DecodeAll(now int64, sequence []byte) ([]Entry, Skipped, error) {
	var (
		skipped Skipped
		all     []Entry
		raw     cbor.RawMessage
	)
	if len(sequence) > MaxSequenceBytes {
		return nil, skipped, &PacketError{len(sequence),
			fmt.Sprintf("longer than %d bytes", MaxSequenceBytes)}
	}
	for rest := sequence; len(rest) > 0; {
		next, err := lenientMode.UnmarshalFirst(rest, &raw)
		if err != nil {
			return all, skipped, &PacketError{len(rest), err.Error()}
		}
		if len(all) > maxSequenceEntries {
			return all, skipped, &PacketError{len(rest),
				fmt.Sprintf("over the limit after %d entries", len(all))}
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
