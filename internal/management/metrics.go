package management

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"time"
)

// Fleet is how a proxy stands with the others of its fleet. Counts are totals since the start.
type Cluster struct {
	Open                           bool          // its address is bound
	LiveMembers, LiveMembersInZone int           // members alive, this one included, and of them in its zone
	Isolated                       bool          // nobody is heard: it decides by itself
	Isolations                     int64         // that this was so
	Entries                        int           // of others, acted on now
	OldestEntry                    time.Duration // age of the oldest of them
	SuspendedServers               int           // nodos, by hand, at all members
	BytesIn, BytesOut              int64         // bytes
	Sent                           int64         // entries passed on
	Dropped                        int64         // messages and entries for which there was no room
	Joined, Left                   int64         // members that came, and that left or died
	JoinAttempts                   int64         // calls to seeds and lost members
	JoinFailures                   int64         // of them, without an answer
	Rejected                       map[string]int64
}

// encode writes nothing for a proxy on its own.
func (f *Cluster) encode(b *bytes.Buffer) {
	if f == nil {
		return
	}
	bit := map[bool]int{true: 1}
	fmt.Fprintf(b, "app.fleet_open=%d\napp.fleet_living=%d\napp.fleet_near=%d\napp.fleet_alone=%d\napp.fleet_times_alone=%d\n"+
		"app.fleet_entries=%d\napp.fleet_oldest_ms=%d\napp.fleet_suspended=%d\n", bit[f.Open], f.LiveMembers, f.LiveMembersInZone, bit[f.Isolated],
		f.Isolations, f.Entries, f.OldestEntry.Milliseconds(), f.SuspendedServers)
	fmt.Fprintf(b, "app.fleet_in_bytes=%d\napp.fleet_out_bytes=%d\napp.fleet_sent=%d\napp.fleet_dropped=%d\n"+
		"app.fleet_joined=%d\napp.fleet_gone=%d\napp.fleet_join_tried=%d\napp.fleet_join_failed=%d\n", f.BytesIn, f.BytesOut, f.Sent,
		f.Dropped, f.Joined, f.Left, f.JoinAttempts, f.JoinFailures)
	for _, reason := range slices.Sorted(maps.Keys(f.Rejected)) {
		fmt.Fprintf(b, "app.fleet_refused.%s=%d\n", reason, f.Rejected[reason])
	}
}
