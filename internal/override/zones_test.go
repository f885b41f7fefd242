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

// zonesOut are the zones that the reader of Bans has out.
func (h *appliedSet) zonesOut() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, zones := SplitZones(h.ids)
	return slices.Sorted(maps.Keys(zones))
}

func TestDrainZoneKeepsLastZone(t *testing.T) {
	type calls = []struct {
		do   string // d: drain, r: restore, o: out by others, from then on, s: this process starts again
		zone string
		err  error // of this type
	}
	unknown, last := &UnknownZoneError{}, &LastZoneError{}
	for _, c := range []struct {
		name  string
		calls calls
		want  []string
	}{
		{"a stranger", calls{{"d", "x", unknown}, {"r", "x", unknown}, {"d", "", unknown}}, nil},
		{"given twice", calls{{"d", "a", nil}, {"d", "a", nil}}, []string{"a"}},
		{"ended twice", calls{{"d", "a", nil}, {"r", "a", nil}, {"r", "a", nil}}, nil},
		{"never out", calls{{"r", "a", nil}}, nil},
		{"the last", calls{{"d", "a", nil}, {"d", "b/c", last}, {"d", "a", nil}}, []string{"a"}},
		{"the last of those that serve", calls{{"d", "empty", nil}, {"d", "a", nil}, {"d", "b/c", last}}, []string{"a", "empty"}},
		{"the last with others' words", calls{{"o", "b/c", nil}, {"d", "a", last}}, []string{"b/c"}},
		{"over a restart", calls{{"d", "b/c", nil}, {"s", "", nil}, {"d", "a", last}}, []string{"b/c"}},
		{"ended over a restart", calls{{"d", "b/c", nil}, {"s", "", nil}, {"r", "b/c", nil}, {"s", "", nil}}, nil},
		{"beside others' words", calls{{"d", "a", nil}, {"o", "gone", nil}, {"r", "a", nil}, {"r", "gone", nil}}, []string{"gone"}},
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
					case "d":
						err = overrides.DrainZone(call.zone)
					case "r":
						err = overrides.RestoreZone(call.zone)
					case "o":
						overrides.SetRemote(map[string]bool{ZoneKey(call.zone): true})
						synctest.Wait()
					case "s":
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
				if got := here.zonesOut(); !slices.Equal(got, c.want) {
					t.Errorf("out: %q, not %q", got, c.want)
				}
			})
		})
	}
}

// A zone is kept where former versions do not look, and none goes for a server, whatever their names.
func TestZonesAndServersAreSeparate(t *testing.T) {
	store := store{dir: t.TempDir()}
	mustSucceed(t, errors.Join(store.add("a"), store.add(ZoneKey("a/b"))))
	if _, err := os.Stat(filepath.Join(store.dir, "zone-a%2Fb")); err != nil {
		t.Error(err)
	}
	mustSucceed(t, os.WriteFile(filepath.Join(store.dir, "ban-%00zone%2Fc"), nil, 0o600)) // nobody's
	got, err := store.load()
	nodos, zones := SplitZones(got)
	if err != nil || !maps.Equal(nodos, map[string]bool{"a": true}) || !maps.Equal(zones, map[string]bool{"a/b": true}) {
		t.Errorf("%v %v %v", nodos, zones, err)
	}
	names := NewNameSet()
	names.Add(ZoneKey("c"))
	overrides, err := Open(Config{Dir: store.dir, KnownServers: names})
	mustSucceed(t, err)
	var unknown *UnknownServerError
	if err := overrides.SuspendServer(ZoneKey("c")); !errors.As(err, &unknown) {
		t.Errorf("a server with a zone's mark: %v", err)
	}
}
