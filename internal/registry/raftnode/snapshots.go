package raftnode

import (
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
	"merlinpick/internal/registry/store"
)

const retainedSnapshots = 2

// openSnapshots opens raft's snapshot store and verifies each snapshot: raft itself would skip a damaged one
// and start from an older one, with a gap between it and the log. The result newest is the log index of the
// newest snapshot, 0 if there is none.
func openSnapshots(dir string, logger hclog.Logger) (snapshots *raft.FileSnapshotStore, newest uint64, err error) {
	if snapshots, err = raft.NewFileSnapshotStoreWithLogger(dir, retainedSnapshots, logger); err != nil {
		return nil, 0, fmt.Errorf("open the snapshots of %s: %w", dir, err)
	}
	entries, err := os.ReadDir(filepath.Join(dir, "snapshots"))
	if err != nil {
		return nil, 0, fmt.Errorf("open the snapshots of %s: %w", dir, err)
	}
	for _, entry := range entries {
		if !entry.IsDir() || strings.HasSuffix(entry.Name(), ".tmp") { // incomplete when the process ended
			continue
		}
		index, err := verifySnapshot(snapshots, entry.Name())
		if err != nil {
			return nil, 0, fmt.Errorf("%s: %w: %w; nothing was changed. If the other members serve, move the member's "+
				"directory away and start it empty", filepath.Join(dir, "snapshots", entry.Name()), store.ErrDamaged, err)
		}
		newest = max(newest, index)
	}
	return snapshots, newest, nil
}

// verifySnapshot reads a whole snapshot, which checks its checksum and content, and returns its log index.
func verifySnapshot(snapshots *raft.FileSnapshotStore, id string) (index uint64, err error) {
	meta, r, err := snapshots.Open(id)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	_, err = state.ReadSnapshot(r)
	return meta.Index, err
}

// Check verifies a member's directory, snapshots and log, without changing it. It reports empty if the
// directory holds no data.
func Check(dir, member string, logger *slog.Logger) (empty bool, err error) {
	if _, err := os.Stat(dir); errors.Is(err, fs.ErrNotExist) {
		return true, nil
	}
	_, newest, err := openSnapshots(dir, newLogger(logger))
	if err != nil {
		return false, err
	}
	return store.Check(dir, member, newest, logger)
}
