package state

import (
	"bytes"

	"github.com/fxamacker/cbor/v2"
)

// packer packs entries into packets, one packet at a time.
type packer struct {
	maxBytes int
	size     int // upper bound on the encoded size of the current packet, bytes
	buffer   []byte
	encoded  bytes.Buffer // encoding of the entry that is being added
	entry    wireEntry
	packet   packet[group[cbor.RawMessage]]
}

func newPacker(maxBytes int) *packer {
	maxBytes = min(maxBytes, MaxPacketBytes)
	// The buffer holds a whole packet, so append never reallocates it: the packet's entries are slices of it.
	return &packer{maxBytes: maxBytes, size: emptyPacketBytes, buffer: make([]byte, 0, max(maxBytes, 0)),
		packet: packet[group[cbor.RawMessage]]{Version: wireVersion}}
}

// packResult is the outcome of adding an entry to a packet.
type packResult int

const (
	packAdded   packResult = iota
	packSkipped            // the entry is invalid, or would be expired for its receiver
	packFull               // the entry does not fit into the current packet
)

// add adds an entry to the current packet if it fits.
func (p *packer) add(now int64, e *Entry) packResult {
	p.entry.fill(now, e)
	p.encoded.Reset()
	if !e.valid(now, p.maxBytes) || p.entry.expired(e) || encMode.MarshalToBuffer(&p.entry, &p.encoded) != nil {
		return packSkipped
	}
	next := group[cbor.RawMessage]{Observer: e.Observer, ObserverZone: e.ObserverZone, Incarnation: e.Incarnation}
	headerSize := 0
	if len(p.packet.Groups) == 0 || !next.sameObserver(&p.packet.Groups[len(p.packet.Groups)-1]) {
		headerSize = next.headerSize()
	}
	if p.size+headerSize+p.encoded.Len() > p.maxBytes {
		return packFull
	}
	if headerSize > 0 {
		p.packet.Groups = append(p.packet.Groups, next)
	}
	p.size += headerSize + p.encoded.Len()
	from := len(p.buffer)
	p.buffer = append(p.buffer, p.encoded.Bytes()...)
	current := &p.packet.Groups[len(p.packet.Groups)-1]
	current.Entries = append(current.Entries, p.buffer[from:len(p.buffer):len(p.buffer)])
	return packAdded
}

// flush returns the encoded current packet, or nil if it is empty, and starts the next one.
func (p *packer) flush() (data []byte) {
	if len(p.packet.Groups) > 0 {
		var err error
		if data, err = encMode.Marshal(&p.packet); err != nil {
			data = nil
		}
	}
	p.packet.Groups, p.buffer, p.size = nil, p.buffer[:0], emptyPacketBytes
	return data
}

func (g *group[E]) sameObserver(other *group[E]) bool {
	return g.Observer == other.Observer && g.ObserverZone == other.ObserverZone && g.Incarnation == other.Incarnation
}

// headerSize returns an upper bound on the encoded size of a group without its entries, in bytes.
func (g *group[E]) headerSize() int {
	data, _ := encMode.Marshal(g)
	return len(data) + 2 // an array of more than 23 entries has a longer CBOR header
}

// Encode packs entries into packets of at most maxBytes and MaxPacketBytes each. It omits entries that expire
// within a millisecond, invalid entries, and entries that do not fit into any packet, which requires names
// over the default limit or maxBytes below MinPacketBytes.
func Encode(now int64, entries []Entry, maxBytes int) [][]byte {
	p := newPacker(maxBytes)
	var packets [][]byte
	flush := func() {
		if data := p.flush(); data != nil {
			packets = append(packets, data)
		}
	}
	for i := range entries {
		if p.add(now, &entries[i]) == packFull {
			flush()
			p.add(now, &entries[i])
		}
	}
	flush()
	return packets
}

// Pack returns the first packet that Encode would return, or nil if there is none, and the indices of the
// entries in it.
func Pack(now int64, entries []Entry, maxBytes int) (data []byte, packed []int) {
	p := newPacker(maxBytes)
	for i := range entries {
		switch p.add(now, &entries[i]) {
		case packAdded:
			packed = append(packed, i)
			continue
		case packSkipped:
			continue
		}
		if len(packed) > 0 { // otherwise the entry does not fit into any packet and is skipped
			break
		}
	}
	if data = p.flush(); data == nil {
		packed = nil
	}
	return data, packed
}
