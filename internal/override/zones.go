package override

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// zoneMark begins the name under which a zone is out. No server is let out by such a name, so that zones go the way
// of servers: one folder, one word to others, one set that holds.
const zoneKeyPrefix = "\x00zone/"

// OfZone is the name under which a zone is in sets.
func ZoneKey(zone string) string { return zoneKeyPrefix + zone }

// zoneOf is the zone that a name stands for, if any.
func zoneOfKey(id string) (zone string, ok bool) { return strings.CutPrefix(id, zoneKeyPrefix) }

// Split parts a set into servers and zones.
func SplitZones(ids map[string]bool) (nodos, zones map[string]bool) {
	nodos, zones = map[string]bool{}, map[string]bool{}
	for id, is := range ids {
		if zone, ok := zoneOfKey(id); ok {
			zones[zone] = is
		} else {
			nodos[id] = is
		}
	}
	return nodos, zones
}

// UnknownZoneError is the answer to a call on a zone that neither the settings nor a list have named.
type UnknownZoneError struct{ Zone string }

func (e *UnknownZoneError) Error() string {
	return fmt.Sprintf("neither settings nor lists have named this zone: %q; look for its name in GET /v1/zones", e.Zone)
}

// LastZoneError is the answer to a call that would leave no zone with servers.
type LastZoneError struct {
	Zone    string
	Drained []string // drained already
}

func (e *LastZoneError) Error() string {
	return fmt.Sprintf("drain zone %q: of those left no other has nodos that serve (drained now: %q); restore one first, or "+
		"suspend nodos one by one", e.Zone, e.Drained)
}

// Drain takes a zone out until Restore, as Suspend does a server. Its errors are *UnknownZoneError, *LastZoneError, and
// those of Suspend.
func (b *Overrides) DrainZone(zone string) error {
	b.drainMu.Lock() // two calls must not leave one zone each
	defer b.drainMu.Unlock()
	if !b.knownZone(zone) {
		return &UnknownZoneError{zone}
	}
	kept, err := b.store.load()
	if err != nil {
		return err
	}
	_, out := SplitZones(b.withRemote(kept))
	if !out[zone] && len(b.cfg.ServingZones()) > 0 {
		left := maps.Clone(b.cfg.ServingZones())
		maps.DeleteFunc(left, func(z string, _ bool) bool { return z == zone || out[z] })
		if len(left) == 0 {
			return &LastZoneError{zone, slices.Sorted(maps.Keys(out))}
		}
	}
	return b.change(ZoneKey(zone), true)
}

// Restore ends that. Its errors are *UnknownZoneError and those of Resume.
func (b *Overrides) RestoreZone(zone string) error {
	if !b.knownZone(zone) {
		return &UnknownZoneError{zone}
	}
	return b.change(ZoneKey(zone), false)
}

func (b *Overrides) knownZone(zone string) bool {
	return zone != "" && (b.cfg.KnownZones != nil && b.cfg.KnownZones.Has(zone) || b.isSet(ZoneKey(zone)))
}
