package raftnode

import (
	"bytes"
	"fmt"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// Restore replaces the state of all members by a snapshot, as a new epoch whose versions are above all
// earlier ones. Configurations that the snapshot lacks are kept. It fails with the errors of Propose and with
// *IncompatibleMemberError.
func (n *Node) Restore(snapshot state.Snapshot) (epoch string, version int64, err error) {
	if !n.isLeader() {
		return "", 0, ErrNotLeader
	}
	n.configWrites.Lock() // the configurations that are kept have to include all acknowledged writes
	defer n.configWrites.Unlock()
	current := n.configSnapshot()
	first := state.FirstVersion(time.Now(), max(snapshot.NewestVersion(), current.NewestVersion()))
	snapshot = snapshot.Rebase(newEpoch(), first, current.Configs)
	if len(snapshot.Configs) > 0 {
		if err := n.checkAllSupportConfigs(n.lifetime); err != nil {
			return "", 0, err
		}
	}
	if err := snapshot.Check(); err != nil {
		return "", 0, fmt.Errorf("snapshot with the current configurations added: %w", err)
	}
	var text bytes.Buffer
	if err := snapshot.Write(&text); err != nil {
		return "", 0, err
	}
	meta := raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(text.Len())}
	if err := n.raft.Restore(&meta, &text, restoreTimeout); err != nil {
		return "", 0, fmt.Errorf("%w (%w)", ErrUncertain, err)
	}
	n.mu.Lock()
	n.leases.Reset(time.Now(), n.state.Records())
	n.mu.Unlock()
	n.logger.Warn("state restored from a snapshot", "epoch", snapshot.Epoch, "version", snapshot.Version,
		"endpoints", len(snapshot.Records), "configurations", len(snapshot.Configs))
	return snapshot.Epoch, snapshot.Version, nil
}
