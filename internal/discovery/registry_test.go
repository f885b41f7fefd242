package discovery

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/atomicfile"
)

// A client follows the list of the registry through failures of members and changes of epoch.
func TestRegistryFollowing(t *testing.T) {
	const epoch = "one"
	bubble(t, "updates come at once, also after a member's failure, without another full list", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 10, "a", "b")
		_, recorded := registry.client(t, 1, nil)
		sleep(time.Second)
		for i, state := range []string{"dead", "unavailable", "malformed", "silent"} {
			registry.set(func(name string, m *fakeMember) {
				if name == registry.lastAnswered {
					m.state = state
				} else {
					m.state = ""
				}
			})
			updatesBefore := recorded.current().updates
			sleep(LongPollTimeout + registryWatchSlack + 2*FailoverJitter)
			at := time.Since(registry.start)
			registry.set(func(_ string, m *fakeMember) { m.version++; m.names = []string{"a", "b", fmt.Sprint("c", i)} })
			sleep(FailoverJitter + time.Millisecond)
			if recorded.current().version != 11+int64(i) || recorded.current().at-at > FailoverJitter || recorded.current().updates != updatesBefore+1 {
				t.Errorf("after a member turned %q: got version %d after %v, with %d updates",
					state, recorded.current().version, recorded.current().at-at,
					recorded.current().updates-updatesBefore)
			}
		}
	})
	bubble(t, "nothing older is accepted within an epoch", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 10, "a", "b")
		_, recorded := registry.client(t, 1, nil)
		sleep(time.Second)
		registry.set(func(name string, m *fakeMember) {
			if name == registry.lastAnswered {
				m.state = "dead"
			} else { // both others are behind and answer nevertheless
				m.version, m.oldestKnown, m.names = 9, 0, []string{"a"}
			}
		})
		sleep(time.Minute)
		if recorded.current().list != "a b" || recorded.current().version != 10 {
			t.Errorf("got %q, version %d", recorded.current().list, recorded.current().version)
		}
	})
	bubble(t, "a wrong restore removes nothing at once, and what does not register again expires", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 10, "a", "b", "c")
		c, recorded := registry.client(t, 1, nil)
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.epoch, m.version, m.oldestKnown, m.names = "two", 1000, 1000, nil })
		sleep(time.Second)
		if recorded.current().list != "a b c" || recorded.current().version != 1000 || c.Metrics().RetainedEndpoints != 3 {
			t.Errorf("got %q, version %d, %+v", recorded.current().list, recorded.current().version, c.Metrics())
		}
		registry.set(func(_ string, m *fakeMember) { m.version, m.names = 1001, []string{"b"} }) // b registers again
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.version, m.oldestKnown, m.state = 1002, 1002, "dead" })
		sleep(time.Second)
		// The next answer is a full list of the same epoch.
		registry.set(func(_ string, m *fakeMember) { m.state = "" })
		sleep(missingRetention - 8*time.Second)
		if recorded.current().list != "a b c" {
			t.Errorf("got %q before %v", recorded.current().list, missingRetention)
		}
		sleep(8*time.Second + 2*LongPollTimeout)
		if recorded.current().list != "b" || c.Metrics().RetainedEndpoints != 0 {
			t.Errorf("got %q after %v, %+v", recorded.current().list, missingRetention, c.Metrics())
		}
	})
	bubble(t, "an epoch with lower versions is accepted once nobody confirms the former", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 1000, "a")
		_, recorded := registry.client(t, 1, nil)
		sleep(time.Second)
		registry.set(func(name string, m *fakeMember) {
			m.epoch, m.version, m.oldestKnown, m.names = "zero", 5, 5, []string{"a", "z"}
		})
		sleep(epochWait - 2*time.Second)
		if recorded.current().version != 1000 {
			t.Errorf("version %d of another epoch after %v", recorded.current().version, epochWait-2*time.Second)
		}
		sleep(2*time.Second + 2*maxRegistryBackoff)
		if recorded.current().version != 5 || recorded.current().list != "a z" {
			t.Errorf("version %d, %q", recorded.current().version, recorded.current().list)
		}
	})
	bubble(t, "the last list stays in use while nobody answers, and few calls are made", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 10, "a", "b")
		c, recorded := registry.client(t, 1, nil)
		sleep(time.Second)
		registry.set(func(_ string, m *fakeMember) { m.state = "dead" })
		sleep(time.Minute)
		before := len(registry.callTimes())
		sleep(time.Hour)
		if n := len(registry.callTimes()) - before; recorded.current().list != "a b" || n < 700 || n > 1500 || c.Metrics().Age < time.Hour {
			t.Errorf("got %q, %d calls in an hour, %+v", recorded.current().list, n, c.Metrics())
		}
		registry.set(func(_ string, m *fakeMember) { m.state, m.version, m.names = "", 11, []string{"a", "b", "c"} })
		sleep(maxRegistryBackoff + time.Millisecond)
		if recorded.current().version != 11 || c.Metrics().Age > maxRegistryBackoff {
			t.Errorf("version %d, %+v", recorded.current().version, c.Metrics())
		}
	})
	bubble(t, "a client continues from a cached list", func(t *testing.T) {
		registry := newFakeRegistry(epoch, 10, "a")
		_, recorded := registry.client(t, 1, &List{Version: 12, Snapshot: true, Epoch: epoch})
		sleep(time.Second)
		if recorded.current().updates != 0 {
			t.Errorf("got %q, which is older than the cached list", recorded.current().list)
		}
		registry.set(func(_ string, m *fakeMember) { m.version = 13 })
		sleep(2 * maxRegistryBackoff)
		if recorded.current().version != 13 {
			t.Errorf("version %d", recorded.current().version)
		}
	})
}

// The clients of a failed member spread their calls to other members over FailoverJitter.
func TestFailoverIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const clients = 300
		registry := newFakeRegistry("one", 10, "a")
		var all []*recordedList
		for i := range clients {
			_, recorded := registry.client(t, uint64(i+1), nil)
			all = append(all, recorded)
			sleep(10 * time.Millisecond)
		}
		sleep(time.Minute)
		before := len(registry.callTimes())
		sleep(10 * time.Second)
		rateBefore := maxCallRate(registry.callTimes()[before:])
		before = len(registry.callTimes())
		failedAt := time.Since(registry.start)
		registry.set(func(name string, m *fakeMember) {
			if name == "m2" {
				m.state = "dead"
			}
		})
		sleep(10 * time.Second)
		rateAfter := maxCallRate(registry.callTimes()[before:])
		registry.set(func(_ string, m *fakeMember) { m.version++ })
		sleep(FailoverJitter)
		for i, recorded := range all {
			if recorded.current().version != 11 {
				t.Fatalf("client %d is still at version %d, %v after the failure",
					i, recorded.current().version, time.Since(registry.start)-failedAt)
			}
		}
		t.Logf("%d clients: at most %d calls in 100 ms before the failure, %d after it",
			clients, rateBefore, rateAfter)
		// A third of the clients fails over. Of these a sixth is expected in 100 ms of the 600 ms, and by
		// chance up to twice as many.
		if rateAfter > rateBefore+clients/3/6*2 {
			t.Errorf("%d calls in 100 ms after the failure, %d before it", rateAfter, rateBefore)
		}
	})
}

// maxCallRate returns the largest number of calls in any 100 ms.
func maxCallRate(calls []time.Duration) (highest int) {
	for i := range calls {
		n := i
		for n < len(calls) && calls[n]-calls[i] < 100*time.Millisecond {
			n++
		}
		highest = max(highest, n-i)
	}
	return highest
}

// A cached list is read as it was written. A truncated file is reported as damaged.
func TestCachedList(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "state")
	if l, err := LoadCachedList(dir); l != nil || err != nil {
		t.Errorf("without a file: %+v, %v", l, err)
	}
	writer := newCacheWriter(dir, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	wait := writer.Run(ctx)
	writer.Put((&List{Version: 7, Epoch: "l",
		Endpoints: []Endpoint{{Name: "a", Address: "127.0.0.1:1", Status: StatusServing}}}).encode)
	writer.Put((&List{Version: 8, Epoch: "l",
		Endpoints: []Endpoint{{Name: "b", Address: "127.0.0.1:1", Status: StatusDraining,
			StartedAtMs: 5}}}).encode)
	stop()
	wait() // the latest list is written before the writer ends
	l, err := LoadCachedList(dir)
	if err != nil || l == nil || l.Version != 8 || l.Epoch != "l" || !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0].StartedAtMs != 5 {
		t.Fatalf("got %+v, %v", l, err)
	}
	path := filepath.Join(dir, cacheFile)
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for at := range text {
		if err := os.WriteFile(path, text[:at], 0o600); err != nil {
			t.Fatal(err)
		}
		if l, err := LoadCachedList(dir); l != nil || !errors.Is(err, atomicfile.ErrDamaged) {
			t.Fatalf("truncated at %d: %+v, %v", at, l, err)
		}
	}
}

// FuzzCachedList checks that any list that Parse accepts survives encoding and decoding, and that only data
// with a matching header is accepted.
func FuzzCachedList(f *testing.F) {
	f.Add((&List{Version: 8, Epoch: "l", Endpoints: []Endpoint{{Name: "b", Address: "127.0.0.1:1", Status: StatusDraining}}}).encode())
	f.Add([]byte(`{"index":1,"snapshot":false,"endpoints":[{"name":"n","status":"DELETED"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(l.encode())
		if err != nil || len(again.Endpoints) != len(l.Endpoints) || again.Version != l.Version || again.Epoch != l.Epoch {
			t.Fatalf("%s was decoded as %+v, and after encoding as %+v, %v", data, l, again, err)
		}
		encoded := atomicfile.Encode(cacheKind, data)
		if body, err := atomicfile.Decode(cacheKind, bytes.NewReader(encoded), maxCacheBytes); err != nil ||
			!bytes.Equal(body, data) {
			t.Fatalf("encoded %q, decoded %q, %v", data, body, err)
		}
		if _, err := atomicfile.Decode(cacheKind, bytes.NewReader(data), maxCacheBytes); err == nil &&
			!bytes.HasPrefix(data, []byte(cacheKind)) {
			t.Fatalf("%q was accepted without a header", data)
		}
	})
}
