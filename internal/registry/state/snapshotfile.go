package state

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"merlinpick/internal/atomicfile"
)

// A snapshot is an image as a sealed text (package durable). It is the same in the consensus's own snapshots, in what
// `roster snapshot save` writes and on the network, and Read alone reads it, so that no damage passes anywhere.

// One without configurations is byte for byte what builds before them write. One with some is of another kind, so that
// such a build refuses it by name instead of losing them.
const (
	snapshotKind            = "roster-snapshot"
	snapshotKindWithConfigs = "roster-snapshot-configs"
)

// FileMost bounds what is read of a snapshot, in bytes.
const MaxSnapshotBytes = 24 << 20

// ErrDamaged is a snapshot that is not what was written.
var ErrDamaged = atomicfile.ErrDamaged

// Write writes an image as a snapshot.
func (i Snapshot) Write(w io.Writer) error {
	body, err := json.Marshal(i)
	if err == nil {
		_, err = w.Write(atomicfile.Seal(i.kind(), body))
	}
	if err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

func (i *Snapshot) kind() string {
	if len(i.Configs) > 0 {
		return snapshotKindWithConfigs
	}
	return snapshotKind
}

// Read reads a snapshot whole, or says what is wrong with it.
func ReadSnapshot(r io.Reader) (i Snapshot, err error) {
	kind, in := snapshotKind, bufio.NewReader(r)
	if head, _ := in.Peek(len(snapshotKindWithConfigs)); string(head) == snapshotKindWithConfigs {
		kind = snapshotKindWithConfigs
	}
	body, err := atomicfile.Unseal(kind, in, MaxSnapshotBytes)
	if err != nil {
		return i, fmt.Errorf("a snapshot: %w", err)
	}
	if err := json.Unmarshal(body, &i); err != nil {
		return i, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	if i.kind() != kind {
		return i, fmt.Errorf("a snapshot: %w: a %s with %d configurations", ErrDamaged, kind, len(i.Configs))
	}
	if err := i.Check(); err != nil {
		return i, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	return i, nil
}
