package state

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"merlinpick/internal/atomicfile"
)

// A snapshot is encoded with a checksum (package atomicfile). Raft's snapshots, the files of `snapshot save`
// and the HTTP API use the same encoding, and ReadSnapshot is its only reader.
//
// A snapshot without configurations is byte for byte what builds without configurations write. One with
// configurations is of another kind, so that such a build rejects it instead of losing them.
const (
	snapshotKind            = "roster-snapshot"
	snapshotKindWithConfigs = "roster-snapshot-configs"
)

// MaxSnapshotBytes is the maximum size of a snapshot that is read.
const MaxSnapshotBytes = 24 << 20

// ErrDamaged reports a snapshot that does not match its checksum or has invalid content.
var ErrDamaged = atomicfile.ErrDamaged

// Write writes the encoded snapshot and its checksum.
func (s Snapshot) Write(w io.Writer) error {
	body, err := json.Marshal(s)
	if err == nil {
		_, err = w.Write(atomicfile.Encode(s.kind(), body))
	}
	if err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

func (s *Snapshot) kind() string {
	if len(s.Configs) > 0 {
		return snapshotKindWithConfigs
	}
	return snapshotKind
}

// ReadSnapshot reads and checks a snapshot. The error wraps ErrDamaged if the checksum or the content is
// wrong.
func ReadSnapshot(r io.Reader) (s Snapshot, err error) {
	kind, in := snapshotKind, bufio.NewReader(r)
	if head, _ := in.Peek(len(snapshotKindWithConfigs)); string(head) == snapshotKindWithConfigs {
		kind = snapshotKindWithConfigs
	}
	body, err := atomicfile.Decode(kind, in, MaxSnapshotBytes)
	if err != nil {
		return s, fmt.Errorf("read a snapshot: %w", err)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("read a snapshot: %w: %w", ErrDamaged, err)
	}
	if s.kind() != kind {
		return s, fmt.Errorf("read a snapshot: %w: its kind is %s, but it has %d configurations", ErrDamaged,
			kind, len(s.Configs))
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("read a snapshot: %w: %w", ErrDamaged, err)
	}
	return s, nil
}
