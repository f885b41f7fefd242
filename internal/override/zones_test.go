package override

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"testing/synctest"
)

// drainedZones returns the drained zones of the last acknowledged set.
func (h *appliedSet) drainedZones() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, zones := SplitZones(h.ids)
	return slices.Sorted(maps.Keys(zones))
}

// DrainZone rejects unknown zones and the last zone that serves, also after a restart.
func TestDrainZoneKeepsLastZone(t *testing.T) {
	type calls = []struct {
		do   string // drain, restore, remote (drained by other proxies) or restart (of this process)
		zone string
		err  error // type of the expected error
	}
	unknown, last := &UnknownZoneError{}, &LastZoneError{}
	for _, c := range []struct {
		name  string
		calls calls
		want  []string
	}{
		{"an unknown zone", calls{{"drain", "x", unknown}, {"restore", "x", unknown}, {"drain", "", unknown}}, nil},
		{"drained twice", calls{{"drain", "a", nil}, {"drain", "a", nil}}, []string{"a"}},
		{"restored twice", calls{{"drain", "a", nil}, {"restore", "a", nil}, {"restore", "a", nil}}, nil},
		{"never drained", calls{{"restore", "a", nil}}, nil},
		{"the last", calls{{"drain", "a", nil}, {"drain", "b/c", last}, {"drain", "a", nil}}, []string{"a"}},
		{"the last that serves", calls{{"drain", "empty", nil}, {"drain", "a", nil}, {"drain", "b/c", last}}, []string{"a", "empty"}},
		{"the last beside a remote one", calls{{"remote", "b/c", nil}, {"drain", "a", last}}, []string{"b/c"}},
		{"after a restart", calls{{"drain", "b/c", nil}, {"restart", "", nil}, {"drain", "a", last}}, []string{"b/c"}},
		{"restored after a restart", calls{{"drain", "b/c", nil}, {"restart", "", nil}, {"restore", "b/c", nil}, {"restart", "", nil}}, nil},
		{"beside a remote one", calls{{"drain", "a", nil}, {"remote", "gone", nil}, {"restore", "a", nil}, {"restore", "gone", nil}}, []string{"gone"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			dir := t.TempDir()
			synctest.Test(t, func(t *testing.T) {
				cfg := Config{Dir: dir, KnownZones: NewNameSet(), ServingZones: func() map[string]bool { return map[string]bool{"a": true, "b/c": true} }}
				cfg.KnownZones.Add("a", "b/c", "empty")
				overrides, here := startOverrides(t, cfg)
				for _, call := range c.calls {
					var err error
					switch call.do {
					case "drain":
						err = overrides.DrainZone(call.zone)
					case "restore":
						err = overrides.RestoreZone(call.zone)
					case "remote":
						overrides.SetRemote(map[string]bool{ZoneKey(call.zone): true})
						synctest.Wait()
					case "restart":
						overrides, here = startOverrides(t, cfg)
					}
					var ok bool
					switch call.err {
					case nil:
						ok = err == nil
					case unknown:
						var e *UnknownZoneError
						ok = errors.As(err, &e) && e.Zone == call.zone
					default:
						var e *LastZoneError
						ok = errors.As(err, &e) && e.Zone == call.zone && len(e.Drained) > 0
					}
					if !ok {
						t.Errorf("%s %q: %v", call.do, call.zone, err)
					}
				}
				if got := here.drainedZones(); !slices.Equal(got, c.want) {
					t.Errorf("drained: %q, want %q", got, c.want)
				}
			})
		})
	}
}

// Zones are stored in files that older builds ignore, and are never taken for servers, whatever their names
// are.
func TestZonesAndServersAreSeparate(t *testing.T) {
	store := store{dir: t.TempDir()}
	mustSucceed(t, errors.Join(store.add("a"), store.add(ZoneKey("a/b"))))
	if _, err := os.Stat(filepath.Join(store.dir, "zone-a%2Fb")); err != nil {
		t.Error(err)
	}
	mustSucceed(t, os.WriteFile(filepath.Join(store.dir, "ban-%00zone%2Fc"), nil, 0o600)) // ignored
	got, err := store.load()
	servers, zones := SplitZones(got)
	if err != nil || !maps.Equal(servers, map[string]bool{"a": true}) || !maps.Equal(zones, map[string]bool{"a/b": true}) {
		t.Errorf("loaded servers %v, zones %v, %v", servers, zones, err)
	}
	names := NewNameSet()
	names.Add(ZoneKey("c"))
	overrides, err := Open(Config{Dir: store.dir, KnownServers: names})
	mustSucceed(t, err)
	var unknown *UnknownServerError
	if err := overrides.SuspendServer(ZoneKey("c")); !errors.As(err, &unknown) {
		t.Errorf("SuspendServer with the key of a zone: %v", err)
	}
}
