package transport

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"time"

	"merlinpick/internal/atomicfile"
	"merlinpick/internal/cluster/state"
)

const (
	overrideFileName     = "fleet-hands"
	overrideFileKind     = "fleet-hands"
	maxOverrideFileBytes = 4 << 20 // bytes; a view's 4,096 records take a quarter
)

// kept is the file's body. At is the wall clock's, since no other outlives a reboot: a clock that was set changes how
// long a resumption is remembered and nothing else.
type overrideFileBody struct {
	At    int64                  `json:"at_ms"`
	Hands []state.OverrideRecord `json:"hands"`
}

// keeper puts what is suspended by hand on disk, in its own goroutine: a disk that hangs must not stop the owner.
type overrideFile struct {
	path string
	work chan keepTask
}

type keepTask struct {
	hands []state.OverrideRecord
	then  func(error)
}

func newOverrideFile(path string) *overrideFile {
	return &overrideFile{path: path, work: make(chan keepTask, 8)}
}

func (k *overrideFile) run(ctx context.Context) {
	for {
		select {
		case t := <-k.work:
			t.then(k.write(t.hands))
		case <-ctx.Done():
			return
		}
	}
}

var errBehind = errors.New("the disk is behind with earlier calls")

// add hands a task over without a wait; false if the disk is behind.
func (k *overrideFile) add(t keepTask) bool {
	select {
	case k.work <- t:
		return true
	default:
		return false
	}
}

func (k *overrideFile) write(hands []state.OverrideRecord) error {
	body, err := json.Marshal(overrideFileBody{time.Now().UnixMilli(), hands})
	if err == nil {
		err = atomicfile.WriteFile(k.path, atomicfile.Seal(overrideFileKind, body))
	}
	if err != nil {
		return &StoreError{k.path, err}
	}
	return nil
}

// read gives what was kept, aged by the time since; nothing where there is no file.
func (k *overrideFile) read() ([]state.OverrideRecord, error) {
	f, err := os.Open(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &StoreError{k.path, err}
	}
	defer f.Close()
	body, err := atomicfile.Unseal(overrideFileKind, f, maxOverrideFileBytes)
	if err != nil {
		return nil, &StoreError{k.path, err}
	}
	var was overrideFileBody
	if err := json.Unmarshal(body, &was); err != nil {
		return nil, &StoreError{k.path, err}
	}
	down := max(0, time.Now().UnixMilli()-was.At)
	for i := range was.Hands {
		was.Hands[i].AgeMs += down
	}
	return was.Hands, nil
}

// restore takes in what the last process kept. A file that is damaged is put aside: the others know what it said.
func (n *Node) restore() error {
	hands, err := n.overrideFile.read()
	if errors.Is(err, atomicfile.ErrDamaged) {
		aside := n.overrideFile.path + ".damaged"
		n.cfg.Logger.Error("fleet: a damaged file is put aside, the other members tell what is suspended", "error", err, "as", aside)
		if err := os.Rename(n.overrideFile.path, aside); err != nil {
			return &StoreError{n.overrideFile.path, err}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if rejected := n.own.view.RestoreOverrides(n.cfg.Now(), hands); rejected > 0 {
		n.cfg.Logger.Warn("fleet: suspensions by hand that are not taken up", "records", rejected, "file", n.overrideFile.path)
	}
	return nil
}

// setHand carries a call out. It is the owner's. What it changes is spread once it is on disk, and taken back if it
// cannot be put there.
func (n *Node) setHand(nodo string, suspend bool, said chan<- error) {
	now := n.cfg.Now()
	do, undo := n.own.view.Suspend, n.own.view.Resume
	if !suspend {
		do, undo = undo, do
	}
	news, err := do(now, nodo)
	if err != nil {
		said <- err
		return
	}
	finish := func(err error) {
		n.own.moved = true
		if err != nil {
			n.cfg.Logger.Error("fleet: a call by hand is not carried out", "nodo", nodo, "error", err)
			if len(news) > 0 { // it was as the call would have it before
				if back, undone := undo(n.cfg.Now(), nodo); undone == nil {
					n.outbound.Add(back)
				}
			}
			said <- err
			return
		}
		n.outbound.Add(news)
		said <- nil
		n.poke()
	}
	if n.overrideFile == nil {
		finish(nil)
		return
	}
	then := func(err error) { n.later(func() { finish(err) }) }
	if !n.overrideFile.add(keepTask{n.own.view.OverrideRecords(now), then}) {
		finish(&StoreError{n.overrideFile.path, errBehind})
	}
}

// later has the owner do something, unless it has ended.
func (n *Node) later(f func()) {
	select {
	case n.ownerCalls <- f:
	case <-n.done:
	}
}

// keepHands puts on disk what others told.
func (n *Node) keepHands(now int64) {
	if n.overrideFile == nil || !n.own.unkept || now < n.own.keepAt {
		return
	}
	n.own.keepAt = now + keepEvery.Microseconds()
	then := func(err error) {
		if err != nil {
			n.later(func() {
				if !n.own.unkept {
					n.cfg.Logger.Error("fleet: suspensions by hand that others told of are not kept", "error", err)
				}
				n.own.unkept = true
			})
		}
	}
	if n.overrideFile.add(keepTask{n.own.view.OverrideRecords(now), then}) {
		n.own.unkept = false
	}
}
