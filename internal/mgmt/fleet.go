package mgmt

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fleet is how a proxy stands with the others of its fleet. Counts are totals since the start.
type Fleet struct {
	Open         bool          // its address is bound
	Living, Near int           // members alive, this one included, and of them in its zone
	Alone        bool          // nobody is heard: it decides by itself
	TimesAlone   int64         // that this was so
	Entries      int           // of others, acted on now
	Oldest       time.Duration // age of the oldest of them
	Suspended    int           // nodos, by hand, at all members
	In, Out      int64         // bytes
	Sent         int64         // entries passed on
	Dropped      int64         // messages and entries for which there was no room
	Joined, Gone int64         // members that came, and that left or died
	Tried        int64         // calls to seeds and lost members
	Failed       int64         // of them, without an answer
	Refused      map[string]int64
}

// encode writes nothing for a proxy on its own.
func (f *Fleet) encode(b *bytes.Buffer) {
	if f == nil {
		return
	}
	bit := map[bool]int{true: 1}
	fmt.Fprintf(b, "app.fleet_open=%d\napp.fleet_living=%d\napp.fleet_near=%d\napp.fleet_alone=%d\napp.fleet_times_alone=%d\n"+
		"app.fleet_entries=%d\napp.fleet_oldest_ms=%d\napp.fleet_suspended=%d\n", bit[f.Open], f.Living, f.Near, bit[f.Alone],
		f.TimesAlone, f.Entries, f.Oldest.Milliseconds(), f.Suspended)
	fmt.Fprintf(b, "app.fleet_in_bytes=%d\napp.fleet_out_bytes=%d\napp.fleet_sent=%d\napp.fleet_dropped=%d\n"+
		"app.fleet_joined=%d\napp.fleet_gone=%d\napp.fleet_join_tried=%d\napp.fleet_join_failed=%d\n", f.In, f.Out, f.Sent,
		f.Dropped, f.Joined, f.Gone, f.Tried, f.Failed)
	for _, reason := range slices.Sorted(maps.Keys(f.Refused)) {
		fmt.Fprintf(b, "app.fleet_refused.%s=%d\n", reason, f.Refused[reason])
	}
}
