package logic

import (
	"fmt"
	"testing"
)

// BenchmarkPick draws among a thousand servers, alone and with others that are heard, where all is well and where
// home is away, and alone where a third is cold.
func BenchmarkPick(b *testing.B) {
	for _, zones := range []int{3, 9, 30} {
		for _, how := range []string{"off", "on", "away", "cold"} {
			b.Run(fmt.Sprintf("zones=%d/%s", zones, how), func(b *testing.B) {
				set := testSettings()
				set.Zones, set.TipMultiple, set.FallSpan = zones, 3, 2*second
				bal, err := New(set, 1)
				if err != nil {
					b.Fatal(err)
				}
				var list []Server
				for i := range 1000 {
					list = append(list, Server{ID: fmt.Sprint("s", i), Zone: i % zones, State: Ready, Size: 1})
					if how == "cold" && i%3 == 0 {
						list[i].Launched = start
					}
				}
				h := &recorder{}
				bal.List(start, h, Full, list)
				for i := range 8 * 100 { // 100 requests a second
					bal.tier.pass.add(start + int64(i)*second/100)
				}
				if how == "on" || how == "away" {
					bal.open()
					bal.zones[0].fresh = evidence{calls: 6, last: start + 8*second}
					bal.Seen(start + 8*second)
					bal.Peers(start+8*second, h, Peers{Living: 30, Near: 10})
				}
				if how == "away" {
					bal.leaveZone(start+8*second, h, &bal.zones[0])
					bal.relist()
				}
				q := &request{s: bal.s, Request: Request{Class: 2}}
				for b.Loop() {
					if bal.draw(start+8*second, q) == nil {
						b.Fatal("nothing drawn")
					}
				}
			})
		}
	}
}
