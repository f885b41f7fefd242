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
	handsFile = "fleet-hands"
	handsKind = "fleet-hands"
	handsMost = 4 << 20 // bytes; a view's 4,096 records take a quarter
)

// kept is the file's body. At is the wall clock's, since no other outlives a reboot: a clock that was set changes how
// long a resumption is remembered and nothing else.
type kept struct {
	At    int64                  `json:"at_ms"`
	Hands []state.OverrideRecord `json:"hands"`
}

// keeper puts what is suspended by hand on disk, in its own goroutine: a disk that hangs must not stop the owner.
type keeper struct {
	path string
	work chan keepTask
}

type keepTask struct {
	hands []state.OverrideRecord
	then  func(error)
}

func newKeeper(path string) *keeper { return &keeper{path: path, work: make(chan keepTask, 8)} }

func (k *keeper) run(ctx context.Context) {
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
func (k *keeper) add(t keepTask) bool {
	select {
	case k.work <- t:
		return true
	default:
		return false
	}
}

func (k *keeper) write(hands []state.OverrideRecord) error {
	body, err := json.Marshal(kept{time.Now().UnixMilli(), hands})
	if err == nil {
		err = atomicfile.WriteFile(k.path, atomicfile.Seal(handsKind, body))
	}
	if err != nil {
		return &StoreError{k.path, err}
	}
	return nil
}

// read gives what was kept, aged by the time since; nothing where there is no file.
func (k *keeper) read() ([]state.OverrideRecord, error) {
	f, err := os.Open(k.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &StoreError{k.path, err}
	}
	defer f.Close()
	body, err := atomicfile.Unseal(handsKind, f, handsMost)
	if err != nil {
		return nil, &StoreError{k.path, err}
	}
	var was kept
	if err := json.Unmarshal(body, &was); err != nil {
		return nil, &StoreError{k.path, err}
	}
	down := max(0, time.Now().UnixMilli()-was.At)
	for i := range was.Hands {
		was.Hands[i].Age += down
	}
	return was.Hands, nil
}

// restore takes in what the last process kept. A file that is damaged is put aside: the others know what it said.
func (l *Node) restore() error {
	hands, err := l.keep.read()
	if errors.Is(err, atomicfile.ErrDamaged) {
		aside := l.keep.path + ".damaged"
		l.cfg.Logger.Error("fleet: a damaged file is put aside, the other members tell what is suspended", "error", err, "as", aside)
		if err := os.Rename(l.keep.path, aside); err != nil {
			return &StoreError{l.keep.path, err}
		}
		return nil
	}
	if err != nil {
		return err
	}
	if n := l.own.view.RestoreOverrides(l.cfg.Now(), hands); n > 0 {
		l.cfg.Logger.Warn("fleet: suspensions by hand that are not taken up", "records", n, "file", l.keep.path)
	}
	return nil
}

// setHand carries a call out. It is the owner's. What it changes is spread once it is on disk, and taken back if it
// cannot be put there.
func (l *Node) setHand(nodo string, suspend bool, said chan<- error) {
	now := l.cfg.Now()
	do, undo := l.own.view.Suspend, l.own.view.Resume
	if !suspend {
		do, undo = undo, do
	}
	news, err := do(now, nodo)
	if err != nil {
		said <- err
		return
	}
	finish := func(err error) {
		l.own.moved = true
		if err != nil {
			l.cfg.Logger.Error("fleet: a call by hand is not carried out", "nodo", nodo, "error", err)
			if len(news) > 0 { // it was as the call would have it before
				if back, undone := undo(l.cfg.Now(), nodo); undone == nil {
					l.out.Add(back)
				}
			}
			said <- err
			return
		}
		l.out.Add(news)
		said <- nil
		l.poke()
	}
	if l.keep == nil {
		finish(nil)
		return
	}
	then := func(err error) { l.later(func() { finish(err) }) }
	if !l.keep.add(keepTask{l.own.view.OverrideRecords(now), then}) {
		finish(&StoreError{l.keep.path, errBehind})
	}
}

// later has the owner do something, unless it has ended.
func (l *Node) later(f func()) {
	select {
	case l.calls <- f:
	case <-l.done:
	}
}

// keepHands puts on disk what others told.
func (l *Node) keepHands(now int64) {
	if l.keep == nil || !l.own.unkept || now < l.own.keepAt {
		return
	}
	l.own.keepAt = now + keepEvery.Microseconds()
	then := func(err error) {
		if err != nil {
			l.later(func() {
				if !l.own.unkept {
					l.cfg.Logger.Error("fleet: suspensions by hand that others told of are not kept", "error", err)
				}
				l.own.unkept = true
			})
		}
	}
	if l.keep.add(keepTask{l.own.view.OverrideRecords(now), then}) {
		l.own.unkept = false
	}
}
