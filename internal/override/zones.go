package override

import "strings"

// zoneKeyPrefix begins the ID of a zone. With such IDs zones share the directory, announcements and sets of
// servers. No server has such an ID, since calls for it are rejected.
const zoneKeyPrefix = "\x00zone/"

// ZoneKey returns the ID of a zone in sets.
func ZoneKey(zone string) string { return zoneKeyPrefix + zone }

// zoneOfKey returns the zone that an ID stands for, if any.
func zoneOfKey(id string) (zone string, ok bool) { return strings.CutPrefix(id, zoneKeyPrefix) }

// SplitZones splits a set into servers and zones, the zones by name.
func SplitZones(ids map[string]bool) (servers, zones map[string]bool) {
	servers, zones = map[string]bool{}, map[string]bool{}
	for id, suspended := range ids {
		if zone, ok := zoneOfKey(id); ok {
			zones[zone] = suspended
		} else {
			servers[id] = suspended
		}
	}
	return servers, zones
}
