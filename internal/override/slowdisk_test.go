package override

import (
	"context"
	"log/slog"
	"testing"
	"time"
)

// A suspension is in effect and its call answered within a second even if the disk takes longer. The call
// then returns an error, and may be repeated.
func TestSuspensionAppliesWithSlowDisk(t *testing.T) {
	names := NewNameSet()
	names.Add("a", "b")
	overrides, err := Open(Config{Dir: t.TempDir(), KnownServers: names, Stopped: make(chan struct{}), Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	disk := make(chan struct{})
	overrides.store.delay = func() { <-disk }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	held := make(chan map[string]bool, 100)
	go func() {
		for {
			select {
			case s := <-overrides.Sets():
				held <- s.IDs
				s.Acknowledge()
			case <-ctx.Done():
				return
			}
		}
	}()
	go overrides.Run(ctx)
	began := time.Now()
	answered := make(chan error, 1)
	go func() { answered <- overrides.SuspendServer("a") }()
	for !(<-held)["a"] {
		if time.Since(began) > time.Second {
			t.Fatal("the suspension is not in effect after 1 s")
		}
	}
	select {
	case err := <-answered:
		if err == nil {
			t.Error("SuspendServer succeeded before the override was stored")
		}
	case <-time.After(time.Second - time.Since(began)):
		t.Error("SuspendServer did not return within 1 s")
	}
	for range 3 { // it stays in effect while the disk is blocked
		select {
		case ids := <-held:
			if !ids["a"] {
				t.Fatal("the suspension is no longer in effect")
			}
		case <-time.After(2 * pollInterval):
		}
	}
	close(disk)
	for !overrides.store.has("a") {
		time.Sleep(time.Millisecond)
	}
	if err := overrides.SuspendServer("a"); err != nil {
		t.Errorf("SuspendServer, repeated: %v", err)
	}
	if err := overrides.ResumeServer("a"); err != nil || overrides.Current()["a"] {
		t.Errorf("ResumeServer: %v, in effect: %v", err, overrides.Current())
	}
}
