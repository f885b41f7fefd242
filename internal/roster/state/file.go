package state

import (
	"encoding/json"
	"fmt"
	"io"

	"fernlanding/internal/durable"
)

// A snapshot is an image as a sealed text (package durable). It is the same in the consensus's own snapshots, in what
// `roster snapshot save` writes and on the network, and Read alone reads it, so that no damage passes anywhere.

const fileKind = "roster-snapshot"

// FileMost bounds what is read of a snapshot, in bytes.
const FileMost = 16 << 20

// ErrDamaged is a snapshot that is not what was written.
var ErrDamaged = durable.ErrDamaged

// Write writes an image as a snapshot.
func (i Image) Write(w io.Writer) error {
	body, err := json.Marshal(i)
	if err == nil {
		_, err = w.Write(durable.Seal(fileKind, body))
	}
	if err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	return nil
}

// Read reads a snapshot whole, or says what is wrong with it.
func Read(r io.Reader) (i Image, err error) {
	body, err := durable.Unseal(fileKind, r, FileMost)
	if err != nil {
		return i, fmt.Errorf("a snapshot: %w", err)
	}
	if err := json.Unmarshal(body, &i); err != nil {
		return i, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	if err := i.Check(); err != nil {
		return i, fmt.Errorf("a snapshot: %w: %w", ErrDamaged, err)
	}
	return i, nil
}
