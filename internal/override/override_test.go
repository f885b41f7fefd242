package override

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// held notes the sets that a reader of Bans acts on.
type appliedSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *appliedSet) is(ids ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Equal(slices.Sorted(maps.Keys(h.ids)), ids)
}

// acting opens Bans in a bubble, follows them and acts on their sets, all until the test ends.
func startOverrides(t *testing.T, cfg Config) (*Overrides, *appliedSet) {
	t.Helper()
	ended := make(chan struct{})
	cfg.Stopped, cfg.Logger = ended, slog.New(slog.DiscardHandler)
	if cfg.KnownServers == nil {
		cfg.KnownServers = NewNameSet()
		cfg.KnownServers.Add("a", "b", "c")
	}
	b, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &appliedSet{ids: b.Current()}
	ctx, stop := context.WithCancel(t.Context())
	var parts sync.WaitGroup
	parts.Go(func() { b.Run(ctx) })
	parts.Go(func() {
		defer close(ended)
		for {
			select {
			case s := <-b.Sets():
				h.mu.Lock()
				h.ids = s.IDs
				h.mu.Unlock()
				s.Acknowledge()
			case <-ctx.Done():
				return
			}
		}
	})
	t.Cleanup(func() { stop(); parts.Wait() })
	return b, h
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// What holds is the union of what is kept here, by either process, and what comes from outside.
func TestTheUnionHolds(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		b, here := startOverrides(t, Config{Dir: dir})
		other, there := startOverrides(t, Config{Dir: dir})
		mustSucceed(t, b.SuspendServer("a"))
		if !here.is("a") {
			t.Errorf("after the answer: %v", here.ids)
		}
		time.Sleep(pollInterval + 1)
		synctest.Wait()
		if !there.is("a") {
			t.Errorf("at the other process: %v", there.ids)
		}
		b.SetRemote(map[string]bool{"a": true, "x": true, "c": false})
		synctest.Wait() // without a poll
		if !here.is("a", "x") || !there.is("a") {
			t.Errorf("with x from outside: %v, at the other process %v", here.ids, there.ids)
		}
		mustSucceed(t, other.ResumeServer("a"))
		mustSucceed(t, b.ResumeServer("x")) // it is out, and so no stranger; to end that is the others' part
		if !here.is("a", "x") {
			t.Errorf("a resumed here but out by others: %v", here.ids)
		}
		b.SetRemote(nil)
		synctest.Wait()
		if !here.is() || !there.is() {
			t.Errorf("all resumed: %v and %v", here.ids, there.ids)
		}
		again, err := Open(Config{Dir: dir})
		if err != nil || len(again.Current()) != 0 {
			t.Errorf("kept: %v, %v", again.Current(), err)
		}
	})
}

// A call is told once it is kept, and holds with what is set from outside meanwhile; others' silence is no reason to
// send on.
func TestCallsAreTold(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var b *Overrides
		var here *appliedSet
		var calls []string
		deaf := errors.New("deaf")
		b, here = startOverrides(t, Config{Dir: dir, Notify: func(nodo string, suspended bool) error {
			calls = append(calls, nodo+" "+strconv.FormatBool(suspended))
			if nodo == "c" {
				return deaf
			}
			b.SetRemote(map[string]bool{"y": suspended})
			return nil
		}})
		mustSucceed(t, b.SuspendServer("a"))
		if !here.is("a", "y") {
			t.Errorf("suspended: %v", here.ids)
		}
		mustSucceed(t, b.ResumeServer("a"))
		if !here.is() {
			t.Errorf("resumed: %v", here.ids)
		}
		if err := b.SuspendServer("c"); !errors.Is(err, deaf) || !here.is("c") {
			t.Errorf("untold: %v with %v", here.ids, err)
		}
		if mustSucceed(t, b.ClearLocal("c")); here.is("c") || len(calls) != 3 { // the others ended it: none is told
			t.Errorf("lifted: %v, told of %v", here.ids, calls)
		}
		if err := b.SuspendServer("stranger"); err == nil {
			t.Error("no error on a stranger")
		}
		if want := []string{"a true", "a false", "c true"}; !slices.Equal(calls, want) {
			t.Errorf("told of %v", calls)
		}
	})
}

func TestErrorsNameWhatIsWrong(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gone")
	synctest.Test(t, func(t *testing.T) {
		mustSucceed(t, os.Mkdir(dir, 0o700))
		b, here := startOverrides(t, Config{Dir: dir})
		mustSucceed(t, b.SuspendServer("b"))
		mustSucceed(t, os.RemoveAll(dir))
		b.SetRemote(map[string]bool{"x": true})
		synctest.Wait()
		if !here.is("b", "x") {
			t.Errorf("with the folder gone: %v", here.ids)
		}
		var lost *StoreError
		if err := b.SuspendServer("a"); !errors.As(err, &lost) || lost.Op != StoreOpAdd || lost.Path != filepath.Join(dir, "ban-a") ||
			!errors.Is(err, os.ErrNotExist) {
			t.Errorf("suspend: %v", err)
		}
		var unknown *UnknownServerError
		if err := b.ResumeServer("stranger"); !errors.As(err, &unknown) || unknown.Server != "stranger" {
			t.Errorf("a stranger: %v", err)
		}
		if _, err := Open(Config{Dir: dir}); !errors.As(err, &lost) || lost.Op != StoreOpRead || lost.Path != dir {
			t.Errorf("open: %v", err)
		}
	})
}

// A call that nobody acts on is a no in time, unless nothing is sent any more.
func TestACallThatNobodyActsOnIsANo(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		names, ended := NewNameSet(), make(chan struct{})
		names.Add("a")
		b, err := Open(Config{Dir: dir, KnownServers: names, Stopped: ended})
		mustSucceed(t, err)
		var late *NotAppliedError
		if err := b.SuspendServer("a"); !errors.As(err, &late) || late.After >= time.Second || !b.Current()["a"] {
			t.Errorf("got %v", err)
		}
		close(ended)
		mustSucceed(t, b.SuspendServer("a"))
	})
}

// Names of all kinds are kept, in the form that former versions read.
func TestBansKeepNamesOfAllKinds(t *testing.T) {
	s := store{dir: t.TempDir()}
	files := map[string]string{"..": "ban-..", "a": "ban-a", "a b": "ban-a%20b", "a/b": "ban-a%2Fb", "ü%2F": "ban-%C3%BC%252F"}
	for id, file := range files {
		mustSucceed(t, s.add(id))
		if info, err := os.Stat(filepath.Join(s.dir, file)); err != nil || info.Size() != 0 {
			t.Errorf("%q: %v", id, err)
		}
	}
	mustSucceed(t, os.WriteFile(filepath.Join(s.dir, "ban-%zz"), nil, 0o600)) // nobody's
	got, err := s.load()
	if err != nil || !maps.EqualFunc(got, files, func(is bool, _ string) bool { return is }) {
		t.Fatalf("got %v, %v", got, err)
	}
	for id := range files {
		mustSucceed(t, errors.Join(s.remove(id), s.remove(id)))
		if s.has(id) {
			t.Errorf("%q stays", id)
		}
	}
}

func TestNamesOfServersThatLeftAreBounded(t *testing.T) {
	s := NewNameSet()
	for i := range 2 * maxRememberedNames {
		s.Add("stays", strconv.Itoa(i))
	}
	ids := s.All()
	if len(ids) > maxRememberedNames || !slices.Contains(ids, "stays") || s.Has("0") {
		t.Errorf("%d names kept", len(ids))
	}
}
