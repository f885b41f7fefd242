package run

import "testing"

// A cell's number is one zone's: proxies tell cells apart by it alone.
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
		t.Errorf("%d cells", len(zoneOf))
	}
}
