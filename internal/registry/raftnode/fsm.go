package raftnode

import (
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// machine is the member as consensus feeds it.
type fsm Node

// Apply implements raft.FSM.
func (f *fsm) Apply(l *raft.Log) any {
	c, err := state.Decode(l.Data)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.notifyStateChanged()
	if err != nil { // the checksum held, so another version wrote it: all members pass over it alike
		f.logger.Error("a command of the log is passed over", "index", l.Index, "error", err)
		return err
	}
	r := f.state.Apply(c)
	if f.leaderReady && r.Code == state.ResultDone {
		f.updateLeases(c)
	}
	if r.Changed || c.Kind == state.CommandBegin {
		f.watches.NotifyChange()
	}
	return r
}

// lease has the leases follow a command.
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

// move wakes those who wait for the state to move.
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
	i, err := state.ReadSnapshot(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Load(i); err != nil {
		return fmt.Errorf("%w: %w", state.ErrDamaged, err)
	}
	f.notifyStateChanged()
	f.watches.NotifyChange()
	return nil
}

type fsmSnapshot state.Snapshot

// Persist implements raft.FSMSnapshot.
func (i fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := state.Snapshot(i).Write(sink); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (fsmSnapshot) Release() {}
