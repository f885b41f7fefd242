package byzantine

import (
	"context"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinpick/internal/cluster/state"
	"merlinpick/internal/cluster/transport"
)

// checkNoGoroutinesLeft checks that no goroutine outlives the test. It repeats the check, since a probe of
// memberlist ends up to a probe interval after its member, which is longer than goleak waits.
func checkNoGoroutinesLeft(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); ; {
		err := goleak.Find()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Error(err)
			return
		}
	}
}

// TestHonestMemberReceivesFalseReports checks that an honest member receives each false report, and none any
// more after the byzantine member has left and its reports have expired.
func TestHonestMemberReceivesFalseReports(t *testing.T) {
	defer checkNoGoroutinesLeft(t)
	log, begun := slog.New(slog.NewTextHandler(io.Discard, nil)), time.Now()
	honest, err := transport.Open(transport.Config{Name: "honest", Zone: "a", Bind: "127.0.0.1:0", Label: "t", Logger: log,
		StartedAtMs: begun.UnixMilli(), Now: func() int64 { return time.Since(begun).Microseconds() }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { honest.Run(ctx); close(ended) }()
	defer func() { stop(); <-ended }()
	member, err := Join(Config{Name: "liar", Zone: "b", Bind: "127.0.0.1:0", Label: "t",
		Seeds: []string{honest.Addr()}, Logger: log},
		func() []Target { return []Target{{"a-s1", 7}, {"b-s1", 0}} }, []string{"a", "b", "c"})
	if err != nil {
		t.Fatal(err)
	}
	want := []state.Observation{{Kind: state.ServerUnhealthy, Subject: "a-s1", SubjectStartMs: 7}, {Kind: state.ServerUnhealthy, Subject: "b-s1"},
		{Kind: state.ZoneUnhealthy, Subject: "a"}, {Kind: state.ZoneUnhealthy, Subject: "c"}}
	waitForReports := func(want []state.Observation) {
		t.Helper()
		var got []state.Observation
		for late := time.After(30 * time.Second); ; {
			select {
			case s := <-honest.Snapshots():
				got = nil
				for _, e := range s.PeerEntries {
					got = append(got, state.Observation{Kind: e.Kind, Subject: e.Subject, SubjectStartMs: e.SubjectStartMs})
					if e.Body.Fault != 1 || e.Body.BadFraction != 1 || e.Observer != "liar" || e.ObserverZone != "b" {
						t.Fatalf("received %+v, want a byzantine report that all calls failed", e)
					}
				}
				slices.SortFunc(got, func(a, b state.Observation) int { return slices.Compare([]byte(a.Subject), []byte(b.Subject)) })
				if slices.EqualFunc(got, want, func(a, b state.Observation) bool { return a == b }) {
					return
				}
			case <-late:
				t.Fatalf("the last received reports are %+v, want %+v", got, want)
			}
		}
	}
	slices.SortFunc(want, func(a, b state.Observation) int { return slices.Compare([]byte(a.Subject), []byte(b.Subject)) })
	waitForReports(want)
	member.Leave()
	waitForReports(nil)
}
