package transport

import (
	"errors"
	"os"
	"time"

	"merlinpick/internal/atomicfile"
)

// overrideTimeout is how long Suspend and Resume wait for the owner goroutine and the disk.
const overrideTimeout = 800 * time.Millisecond

// Suspend suspends a server at all members. If there is a state directory, it returns once the override is on
// disk. After a *StoreError, ErrClosed, a *state.NameError or a *state.LimitError nothing has changed. After
// a *NotConfirmedError the override may still take effect.
func (n *Node) Suspend(server string) error { return n.setOverride(server, true) }

// Resume ends a suspension at all members. Its errors are those of Suspend.
func (n *Node) Resume(server string) error { return n.setOverride(server, false) }

func (n *Node) setOverride(server string, suspend bool) error {
	timeout := time.NewTimer(overrideTimeout)
	defer timeout.Stop()
	result := make(chan error, 1)
	select {
	case n.ownerCalls <- func() { n.applyOverride(server, suspend, result) }:
	case <-n.done:
		return ErrClosed
	case <-timeout.C:
		return &NotConfirmedError{overrideTimeout}
	}
	select {
	case err := <-result:
		return err
	case <-n.done:
		return ErrClosed
	case <-timeout.C:
		return &NotConfirmedError{overrideTimeout}
	}
}

// applyOverride sets an override in the owner goroutine. The override is gossiped once it is on disk, and
// reverted if it cannot be written.
func (n *Node) applyOverride(server string, suspend bool, result chan<- error) {
	now := n.cfg.Now()
	apply, revert := n.owner.store.Suspend, n.owner.store.Resume
	if !suspend {
		apply, revert = revert, apply
	}
	changed, err := apply(now, server)
	if err != nil {
		result <- err
		return
	}
	finish := func(err error) {
		n.owner.overridesChanged = true
		if err != nil {
			n.cfg.Logger.Error("override not stored", "endpoint", server, "error", err)
			if len(changed) > 0 { // otherwise it was already set
				if reverted, revertErr := revert(n.cfg.Now(), server); revertErr == nil {
					n.outbound.Add(reverted)
				}
			}
			result <- err
			return
		}
		n.outbound.Add(changed)
		result <- nil
		n.wakeOwner()
	}
	if n.overrideFile == nil {
		finish(nil)
		return
	}
	written := func(err error) { n.runInOwner(func() { finish(err) }) }
	if !n.overrideFile.enqueue(overrideWrite{n.owner.store.OverrideRecords(now), written}) {
		finish(&StoreError{n.overrideFile.path, errWritesPending})
	}
}

// runInOwner runs a function in the owner goroutine, unless the goroutine has ended.
func (n *Node) runInOwner(call func()) {
	select {
	case n.ownerCalls <- call:
	case <-n.done:
	}
}

// saveOverrides writes the overrides that other members set, at most once per overrideSaveInterval.
func (n *Node) saveOverrides(now int64) {
	if n.overrideFile == nil || !n.owner.overridesUnsaved || now < n.owner.nextOverrideSave {
		return
	}
	n.owner.nextOverrideSave = now + overrideSaveInterval.Microseconds()
	written := func(err error) {
		if err == nil {
			return
		}
		n.runInOwner(func() {
			if !n.owner.overridesUnsaved {
				n.cfg.Logger.Error("overrides of other members not stored", "error", err)
			}
			n.owner.overridesUnsaved = true
		})
	}
	if n.overrideFile.enqueue(overrideWrite{n.owner.store.OverrideRecords(now), written}) {
		n.owner.overridesUnsaved = false
	}
}

// restoreOverrides merges the overrides that the previous process stored. A damaged file is renamed: full
// exchanges restore its content from other members.
func (n *Node) restoreOverrides() error {
	path := n.overrideFile.path
	records, err := n.overrideFile.read()
	if errors.Is(err, atomicfile.ErrDamaged) {
		aside := path + ".damaged"
		n.cfg.Logger.Error("override file damaged", "error", err, "moved_to", aside)
		if err := os.Rename(path, aside); err != nil {
			return &StoreError{path, err}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if rejected := n.owner.store.RestoreOverrides(n.cfg.Now(), records); rejected > 0 {
		n.cfg.Logger.Warn("stored overrides rejected", "records", rejected, "file", path)
	}
	return nil
}
