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
	diskBlocked := make(chan struct{})
	overrides.store.delay = func() { <-diskBlocked }
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	applied := make(chan map[string]bool, 100)
	go func() {
		for {
			select {
			case s := <-overrides.Sets():
				applied <- s.IDs
				s.Acknowledge()
			case <-ctx.Done():
				return
			}
		}
	}()
	go overrides.Run(ctx)
	start := time.Now()
	answered := make(chan error, 1)
	go func() { answered <- overrides.SuspendServer("a") }()
	for !(<-applied)["a"] {
		if time.Since(start) > time.Second {
			t.Fatal("the suspension is not in effect after 1 s")
		}
	}
	select {
	case err := <-answered:
		if err == nil {
			t.Error("SuspendServer succeeded before the override was stored")
		}
	case <-time.After(time.Second - time.Since(start)):
		t.Error("SuspendServer did not return within 1 s")
	}
	for range 3 { // it stays in effect while the disk is blocked
		select {
		case ids := <-applied:
			if !ids["a"] {
				t.Fatal("the suspension is no longer in effect")
			}
		case <-time.After(2 * pollInterval):
		}
	}
	close(diskBlocked)
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
