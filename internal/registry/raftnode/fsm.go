package raftnode

import (
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// fsm implements raft.FSM on a node's replicated state.
type fsm Node

// Apply implements raft.FSM. It returns a state.Result, or an error for a command that cannot be decoded.
func (f *fsm) Apply(entry *raft.Log) any {
	command, err := state.Decode(entry.Data)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notifyStateChanged()
	if err != nil { // the checksum was right, so another build wrote it; all members of this build skip it
		f.logger.Error("unreadable command skipped", "index", entry.Index, "error", err)
		return err
	}
	result := f.state.Apply(command)
	if f.leaderReady && result.Code == state.ResultDone {
		f.updateLeases(command)
	}
	if result.Changed || command.Kind == state.CommandBegin {
		f.watches.NotifyChange()
	}
	return result
}

// updateLeases starts or removes the leases of the endpoints that an applied command registered or removed.
func (f *fsm) updateLeases(c state.Command) {
	switch c.Kind {
	case state.CommandRegister:
		if r, ok := f.state.Get(c.Record.Name); ok {
			f.leases.Put(time.Now(), r)
		}
	case state.CommandDeregister, state.CommandExpire:
		for _, ref := range c.Refs {
			if _, ok := f.state.Get(ref.Name); !ok {
				f.leases.Remove(ref.Name)
			}
		}
	}
}

func (f *fsm) notifyStateChanged() {
	close(f.stateChanged)
	f.stateChanged = make(chan struct{})
}

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fsmSnapshot(f.state.Snapshot()), nil
}

// Restore implements raft.FSM.
func (f *fsm) Restore(r io.ReadCloser) error {
	defer r.Close()
	snapshot, err := state.ReadSnapshot(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Load(snapshot); err != nil {
		return fmt.Errorf("%w: %w", state.ErrDamaged, err)
	}
	f.notifyStateChanged()
	f.watches.NotifyChange()
	return nil
}

// fsmSnapshot implements raft.FSMSnapshot.
type fsmSnapshot state.Snapshot

// Persist implements raft.FSMSnapshot.
func (s fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := state.Snapshot(s).Write(sink); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. There is nothing to release.
func (fsmSnapshot) Release() {}
