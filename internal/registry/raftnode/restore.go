package raftnode

import (
	"fmt"
	"strings"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// Restore has all members hold an image in place of their list, as a new line of versions above all before it. A
// configuration that the image lacks stays.
func (m *Node) Restore(i state.Snapshot) (line string, index int64, err error) {
	if !m.isLeader() {
		return "", 0, ErrNotLeader
	}
	m.configWrites.Lock() // a put that was confirmed is in what stays
	defer m.configWrites.Unlock()
	configs, newest, _ := m.configurations()
	i = i.Rebase(newEpoch(), state.FirstVersion(time.Now(), max(i.NewestVersion(), newest)), configs)
	if len(i.Configs) > 0 {
		if err := m.checkAllSupportConfigs(m.lifetime); err != nil {
			return "", 0, err
		}
	}
	if err := i.Check(); err != nil {
		return "", 0, fmt.Errorf("with the configurations that it lacks: %w", err)
	}
	text := &strings.Builder{}
	if err := i.Write(text); err != nil {
		return "", 0, err
	}
	meta := raft.SnapshotMeta{Version: raft.SnapshotVersionMax, Size: int64(text.Len())}
	if err := m.raft.Restore(&meta, strings.NewReader(text.String()), 10*applyTimeout); err != nil {
		return "", 0, fmt.Errorf("%w (%w)", ErrUncertain, err)
	}
	m.mu.Lock()
	m.leases.Reset(time.Now(), m.state.Records())
	m.mu.Unlock()
	m.logger.Warn("the list was restored from a snapshot", "line", i.Epoch, "index", i.Version, "nodos", len(i.Records),
		"configurations", len(i.Configs))
	return i.Epoch, i.Version, nil
}
