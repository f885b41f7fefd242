package state

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"merlinpick/internal/atomicfile"
)

// A snapshot is written with a checksum (package atomicfile), in the same form in raft's snapshots, in the files of
// `snapshot save` and on the network. ReadSnapshot alone reads it.
//
// Without configurations it is byte for byte that of builds before them. With configurations it is of another kind, so
// that such a build refuses it instead of losing them.
const (
	snapshotKind            = "roster-snapshot"
	snapshotKindWithConfigs = "roster-snapshot-configs"
)

// MaxSnapshotBytes bounds what is read of a snapshot.
const MaxSnapshotBytes = 24 << 20

// ErrDamaged is a snapshot that is not what was written.
var ErrDamaged = atomicfile.ErrDamaged

// Write writes the snapshot.
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

// ReadSnapshot reads and checks a snapshot. The error wraps ErrDamaged for one that is not what was written.
func ReadSnapshot(r io.Reader) (s Snapshot, err error) {
	kind, in := snapshotKind, bufio.NewReader(r)
	if head, _ := in.Peek(len(snapshotKindWithConfigs)); string(head) == snapshotKindWithConfigs {
		kind = snapshotKindWithConfigs
	}
	body, err := atomicfile.Decode(kind, in, MaxSnapshotBytes)
	if err != nil {
		return s, fmt.Errorf("a snapshot: %w", err)
	}
	if err := json.Unmarshal(body, &s); err != nil {
		return s, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	if s.kind() != kind {
		return s, fmt.Errorf("a snapshot: %w: a %s with %d configurations", ErrDamaged, kind, len(s.Configs))
	}
	if err := s.Check(); err != nil {
		return s, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	return s, nil
}
