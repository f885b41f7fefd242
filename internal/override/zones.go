package override

import "strings"

// zoneKeyPrefix begins the id under which a zone is handled like a server: one directory, one announcement, one set. No
// server has such an id, since calls for it are rejected.
const zoneKeyPrefix = "\x00zone/"

// ZoneKey returns the id of a zone in sets.
func ZoneKey(zone string) string { return zoneKeyPrefix + zone }

// zoneOfKey returns the zone that an id stands for, if any.
func zoneOfKey(id string) (zone string, ok bool) { return strings.CutPrefix(id, zoneKeyPrefix) }

// SplitZones splits a set into servers and zones, the latter by name.
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
