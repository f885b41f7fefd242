package raftnode

import (
	"fmt"
	"io"
	"time"

	"github.com/hashicorp/raft"

	"merlinpick/internal/registry/state"
)

// machine is the member as consensus feeds it.
type machine Node

// Apply implements raft.FSM.
func (f *machine) Apply(l *raft.Log) any {
	c, err := state.Decode(l.Data)
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.move()
	if err != nil { // the checksum held, so another version wrote it: all members pass over it alike
		f.log.Error("a command of the log is passed over", "index", l.Index, "error", err)
		return err
	}
	r := f.state.Apply(c)
	if f.leading && r.Code == state.ResultDone {
		f.lease(c)
	}
	if r.Changed || c.Kind == state.CommandBegin {
		f.hub.NotifyChange()
	}
	return r
}

// lease has the leases follow a command.
func (f *machine) lease(c state.Command) {
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
func (f *machine) move() {
	close(f.moved)
	f.moved = make(chan struct{})
}

// Snapshot implements raft.FSM.
func (f *machine) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return image(f.state.Snapshot()), nil
}

// Restore implements raft.FSM.
func (f *machine) Restore(r io.ReadCloser) error {
	defer r.Close()
	i, err := state.Read(r)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Load(i); err != nil {
		return fmt.Errorf("%w: %w", state.ErrDamaged, err)
	}
	f.move()
	f.hub.NotifyChange()
	return nil
}

type image state.Snapshot

// Persist implements raft.FSMSnapshot.
func (i image) Persist(sink raft.SnapshotSink) error {
	if err := state.Snapshot(i).Write(sink); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot.
func (image) Release() {}
