package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"
)

// floodTime is how long a client of a flood writes.
const floodTime = 3 * time.Second

// floods are requests that a client sends at full speed, each under a new name.
var floods = []struct {
	name string
	text func(n int) string
}{
	{"unknown classes", func(n int) string {
		return fmt.Sprintf("POST /c%d/x HTTP/1.1\r\nHost: h\r\nRequest-Id: %x\r\nRequest-Class: c%d\r\nContent-Length: 0\r\n\r\n", n, n, n)
	}},
	{"no time left", func(n int) string {
		return fmt.Sprintf("POST /enrol/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: %x\r\nRequest-Class: enrol\r\n"+
			"Request-Timeout-Ms: 0\r\nContent-Length: 0\r\n\r\n", n, n)
	}},
	{"sound requests with new keys", func(n int) string {
		return fmt.Sprintf("POST /read/k%d HTTP/1.1\r\nHost: h\r\nRequest-Id: k%x\r\nRequest-Class: read\r\nIdempotency-Key: %x\r\n"+
			"Request-Timeout-Ms: 2000\r\nContent-Length: 0\r\n\r\n", n, n, n)
	}},
}

// flood writes requests on one connection at full speed until the context ends, and connects again when the proxy
// has closed it.
func flood(ctx context.Context, address string, text func(n int) string) {
	for n := 0; ctx.Err() == nil; {
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		go awaitEnd(c)
		for err == nil {
			_, err = io.WriteString(c, text(n))
			n++
		}
		stop()
		c.Close()
	}
}

// TestFloodOnOneConnectionDelaysNobody guards against late answers to other clients, and against memory that grows
// without end, while one client sends small or unsound requests on one connection at full speed.
func TestFloodOnOneConnectionDelaysNobody(t *testing.T) {
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			l := limits{memoryMB: 48, descriptors: 256}
			p := startProxy(t, startServers(t), l)
			ctx, stop := context.WithTimeout(t.Context(), floodTime)
			defer stop()
			flooded := make(chan struct{})
			go func() { defer close(flooded); flood(ctx, p.address, f.text) }()
			sound := sendSound(ctx, p.address, soundPerSecond)
			<-flooded
			peak := p.peakKB(t)
			t.Logf("peak %.1f MiB; sound requests: %v", float64(peak)/1024, sound)
			if peak > l.memoryMB<<10 || sound.late > 0 || sound.unanswered > 0 {
				t.Errorf("got a peak of %d kB, and %v; want at most %d kB, and no request late or without answer",
					peak, sound, l.memoryMB<<10)
			}
		})
	}
}
