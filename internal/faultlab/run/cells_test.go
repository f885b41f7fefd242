package run

import "testing"

// A cell number belongs to one zone only, since proxies identify a cell by its number alone.
func TestCellBelongsToOneZone(t *testing.T) {
	zoneOf := map[int]int{}
	for zone := range 9 {
		for number := range 50 {
			cell := cellOf(zone, number)
			if z, known := zoneOf[cell]; known && z != zone {
				t.Fatalf("cell %d is in zones %d and %d", cell, z, zone)
			}
			zoneOf[cell] = zone
		}
	}
	if len(zoneOf) != 9*zoneCells {
		t.Errorf("got %d cells, want zoneCells in each of 9 zones", len(zoneOf))
	}
}
