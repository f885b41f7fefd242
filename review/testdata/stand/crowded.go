package main

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

// Discovery is down for 8 s, and then has too many callers for a while.
const (
	downFor    = 8 * time.Second
	crowdedFor = 24 * time.Second
	proxies    = 5 // [scale] balancers of npc-main
)

func crowdedDiscovery(dir string, rec *record) (broken []string) {
	zones := []string{"cairo", "alexandria", "aswan", "hurghada"}
	var entries []endpoint
	for i := range 34 {
		n := startNodo(fmt.Sprintf("s-%02d", i), zones[i%len(zones)], 60*time.Millisecond, rec)
		entries = append(entries, n.endpoint("SERVING"))
	}
	p := startPlatform(entries)
	var all []*process
	var streams []*traffic
	for i := range proxies {
		site := siteConfig{name: fmt.Sprintf("n%d", i), listen: freeAddress(), discovery: p.address, base: npcSettingsText,
			memoryMB: 64, sockets: 384, settings: map[string]any{"ordinal": i, "my_zone": i % len(zones)}}
		all = append(all, startProxy(dir, site, p.whole()))
		streams = append(streams, startTraffic(site.listen, "browse"))
	}
	time.Sleep(2 * time.Second)
	if trouble {
		rec.add("discovery goes down for %v", downFor)
		p.down()
		time.Sleep(downFor)
		rec.add("discovery is up; for %v it has so many callers that a call waits in vain for %v", crowdedFor, maxWait)
		p.crowd(time.Now().Add(crowdedFor))
		p.up()
	} else {
		time.Sleep(downFor)
	}
	time.Sleep(crowdedFor)
	rec.add("discovery is no longer crowded; %d calls waited in vain", p.turnedAway)
	time.Sleep(4 * time.Second)
	for i, proxy := range all {
		if proxy.hasExited() {
			text, _ := os.ReadFile(proxy.log.Name())
			line := "no panic in its log"
			if at := bytes.Index(text, []byte("panic: ")); at >= 0 {
				line, _, _ = strings.Cut(string(text[at:]), "\n")
			}
			broken = append(broken, fmt.Sprintf("crash: proxy n%d ended by itself with %v (%s)", i, proxy.cmd.ProcessState, line))
		}
	}
	for i, stream := range streams {
		stream.stop()
		stream.answers.Range(func(status, count any) bool {
			rec.add("clients of n%d: %d requests ended with %v", i, count.(*atomic.Int64).Load(), status)
			return true
		})
	}
	return broken
}
