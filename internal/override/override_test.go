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

// appliedSet records the last set that a reader of Overrides has acknowledged.
type appliedSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (h *appliedSet) equals(ids ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Equal(slices.Sorted(maps.Keys(h.ids)), ids)
}

// startOverrides opens overrides, runs them and acknowledges their sets until the test ends.
func startOverrides(t *testing.T, cfg Config) (*Overrides, *appliedSet) {
	t.Helper()
	ended := make(chan struct{})
	cfg.Stopped, cfg.Logger = ended, slog.New(slog.DiscardHandler)
	if cfg.KnownServers == nil {
		cfg.KnownServers = NewNameSet()
		cfg.KnownServers.Add("a", "b", "c")
	}
	overrides, err := Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	applied := &appliedSet{ids: overrides.Current()}
	ctx, stop := context.WithCancel(t.Context())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { overrides.Run(ctx) })
	goroutines.Go(func() {
		defer close(ended)
		for {
			select {
			case s := <-overrides.Sets():
				applied.mu.Lock()
				applied.ids = s.IDs
				applied.mu.Unlock()
				s.Acknowledge()
			case <-ctx.Done():
				return
			}
		}
	})
	t.Cleanup(func() { stop(); goroutines.Wait() })
	return overrides, applied
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Stored overrides, of this process or another one with the same directory, and remote ones are in effect
// together.
func TestUnionOfLocalAndRemoteApplies(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		overrides, here := startOverrides(t, Config{Dir: dir})
		other, there := startOverrides(t, Config{Dir: dir})
		mustSucceed(t, overrides.SuspendServer("a"))
		if !here.equals("a") {
			t.Errorf("in effect when SuspendServer returned: %v", here.ids)
		}
		time.Sleep(pollInterval + 1)
		synctest.Wait()
		if !there.equals("a") {
			t.Errorf("in effect in the other process: %v", there.ids)
		}
		overrides.SetRemote(map[string]bool{"a": true, "x": true, "c": false})
		synctest.Wait() // takes effect before the next poll
		if !here.equals("a", "x") || !there.equals("a") {
			t.Errorf("with x suspended remotely: %v, in the other process %v", here.ids, there.ids)
		}
		mustSucceed(t, other.ResumeServer("a"))
		// x is known since it is suspended. Only other proxies can resume it.
		mustSucceed(t, overrides.ResumeServer("x"))
		if !here.equals("a", "x") {
			t.Errorf("with a resumed here but suspended remotely: %v", here.ids)
		}
		overrides.SetRemote(nil)
		synctest.Wait()
		if !here.equals() || !there.equals() {
			t.Errorf("after all were resumed: %v and %v", here.ids, there.ids)
		}
		again, err := Open(Config{Dir: dir})
		if err != nil || len(again.Current()) != 0 {
			t.Errorf("still stored after all were resumed: %v, %v", again.Current(), err)
		}
	})
}

// Notify is called once a change is stored. The change takes effect together with what SetRemote sets
// meanwhile, also if the notification fails.
func TestCallsAreNotified(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		var overrides *Overrides
		var here *appliedSet
		var calls []string
		unreachable := errors.New("not reachable")
		overrides, here = startOverrides(t, Config{Dir: dir, Notify: func(server string, suspended bool) error {
			calls = append(calls, server+" "+strconv.FormatBool(suspended))
			if server == "c" {
				return unreachable
			}
			overrides.SetRemote(map[string]bool{"y": suspended})
			return nil
		}})
		mustSucceed(t, overrides.SuspendServer("a"))
		if !here.equals("a", "y") {
			t.Errorf("in effect after a was suspended: %v", here.ids)
		}
		mustSucceed(t, overrides.ResumeServer("a"))
		if !here.equals() {
			t.Errorf("in effect after a was resumed: %v", here.ids)
		}
		if err := overrides.SuspendServer("c"); !errors.Is(err, unreachable) || !here.equals("c") {
			t.Errorf("after a failed notification: %v in effect, error %v", here.ids, err)
		}
		// ClearLocal makes no notification.
		if mustSucceed(t, overrides.ClearLocal("c")); here.equals("c") || len(calls) != 3 {
			t.Errorf("after ClearLocal: %v in effect, notified of %v", here.ids, calls)
		}
		if err := overrides.SuspendServer("unknown"); err == nil {
			t.Error("no error for an unknown server")
		}
		if want := []string{"a true", "a false", "c true"}; !slices.Equal(calls, want) {
			t.Errorf("notified of %v", calls)
		}
	})
}

// Failed calls return the documented error types, and remote overrides still apply without the directory.
func TestErrorsAreTyped(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "gone")
	synctest.Test(t, func(t *testing.T) {
		mustSucceed(t, os.Mkdir(dir, 0o700))
		overrides, here := startOverrides(t, Config{Dir: dir})
		mustSucceed(t, overrides.SuspendServer("b"))
		mustSucceed(t, os.RemoveAll(dir))
		overrides.SetRemote(map[string]bool{"x": true})
		synctest.Wait()
		if !here.equals("b", "x") {
			t.Errorf("in effect after the directory was removed: %v", here.ids)
		}
		var storeErr *StoreError
		if err := overrides.SuspendServer("a"); !errors.As(err, &storeErr) || storeErr.Op != StoreOpAdd ||
			storeErr.Path != filepath.Join(dir, "ban-a") ||
			!errors.Is(err, os.ErrNotExist) {
			t.Errorf("SuspendServer without the directory: %v", err)
		}
		var unknown *UnknownServerError
		if err := overrides.ResumeServer("unknown"); !errors.As(err, &unknown) || unknown.Server != "unknown" {
			t.Errorf("ResumeServer of an unknown server: %v", err)
		}
		if _, err := Open(Config{Dir: dir}); !errors.As(err, &storeErr) || storeErr.Op != StoreOpRead ||
			storeErr.Path != dir {
			t.Errorf("Open without the directory: %v", err)
		}
	})
}

// A call whose set the reader of Sets does not acknowledge fails in time, unless requests are no longer sent.
func TestUnacknowledgedCallFails(t *testing.T) {
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		names, ended := NewNameSet(), make(chan struct{})
		names.Add("a")
		overrides, err := Open(Config{Dir: dir, KnownServers: names, Stopped: ended})
		mustSucceed(t, err)
		var notApplied *NotAppliedError
		if err := overrides.SuspendServer("a"); !errors.As(err, &notApplied) ||
			notApplied.After >= time.Second ||
			!overrides.Current()["a"] {
			t.Errorf("SuspendServer without an acknowledgement: %v", err)
		}
		close(ended)
		mustSucceed(t, overrides.SuspendServer("a"))
	})
}

// Names with special characters are stored in the form that older builds read.
func TestStoreEscapesNames(t *testing.T) {
	store := store{dir: t.TempDir()}
	files := map[string]string{"..": "ban-..", "a": "ban-a", "a b": "ban-a%20b", "a/b": "ban-a%2Fb", "ü%2F": "ban-%C3%BC%252F"}
	for id, file := range files {
		mustSucceed(t, store.add(id))
		if info, err := os.Stat(filepath.Join(store.dir, file)); err != nil || info.Size() != 0 {
			t.Errorf("file of %q: %v", id, err)
		}
	}
	mustSucceed(t, os.WriteFile(filepath.Join(store.dir, "ban-%zz"), nil, 0o600)) // ignored
	got, err := store.load()
	if err != nil || !maps.EqualFunc(got, files, func(is bool, _ string) bool { return is }) {
		t.Fatalf("got %v, %v", got, err)
	}
	for id := range files {
		mustSucceed(t, errors.Join(store.remove(id), store.remove(id)))
		if store.has(id) {
			t.Errorf("%q is still stored after it was removed", id)
		}
	}
}

// A NameSet keeps the names of recent lists and drops the oldest others.
func TestNameSetIsBounded(t *testing.T) {
	s := NewNameSet()
	for i := range 2 * maxRememberedNames {
		s.Add("stays", strconv.Itoa(i))
	}
	ids := s.All()
	if len(ids) > maxRememberedNames || !slices.Contains(ids, "stays") || s.Has("0") {
		t.Errorf("%d names remembered", len(ids))
	}
}
