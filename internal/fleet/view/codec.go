package view

import "fmt"

const (
	MostPacket   = 64 << 10 // bytes that Decode reads
	MostSequence = 4 << 20  // bytes that DecodeAll reads
	LeastPacket  = 1024     // bytes that hold any entry whose names are within the default bound
)

// Skipped counts what Decode left out of a packet that it could read.
type Skipped struct {
	Kinds  int // entries of an unknown kind
	Fields int // maps with unknown fields, that were read as far as known
	Bad    int // entries or groups that are not of the known shape
	Newer  int // packets of a newer version, that were read as far as known
}

// PacketError is a packet that was not read at all.
type PacketError struct {
	Size  int
	Cause string
}

func (e *PacketError) Error() string {
	return fmt.Sprintf("packet of %d bytes: %s: it was left out; see that all proxies with this label are this program",
		e.Size, e.Cause)
}

// Encode puts entries into packets of at most so many bytes. An entry that fits none is left out: that needs names
// over the default bound or most under LeastPacket.
func Encode(now int64, entries []Entry, most int) [][]byte { return nil }

// Decode reads one packet of at most MostPacket bytes. Any bytes are safe. The error is a *PacketError.
func Decode(now int64, packet []byte) ([]Entry, Skipped, error) { return nil, Skipped{}, nil }

// DecodeAll reads packets laid end to end, as a full exchange sends them, of at most MostSequence bytes together. It
// gives what came before an error too.
func DecodeAll(now int64, sequence []byte) ([]Entry, Skipped, error) { return nil, Skipped{}, nil }
