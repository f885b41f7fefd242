package main

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Clients download 32 MB each while half-written connections arrive, at the least memory and the most descriptors
// that TERMS gives a proxy. The platform kills a proxy that has more memory than its limit.
const (
	leastMemoryMB   = 32
	mostDescriptors = 1024
	downloads       = mostDescriptors / 3 // the most that clients use for requests
	halfWritten     = 800
	memoryLoad      = 8 * time.Second

	// The limit is 32 MB. Over this the platform kills: a tenth more, so that the measure itself decides nothing.
	killedOverKB = leastMemoryMB << 10 * 11 / 10
)

var residentKB = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// resident returns how many kB of memory a process has.
func (p *process) resident() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	match := residentKB.FindSubmatch(text)
	if err != nil || match == nil {
		return 0
	}
	kB, _ := strconv.Atoi(string(match[1]))
	return kB
}

func memoryLimit(dir string, rec *record) (broken []string) {
	answer := bytes.Repeat([]byte("y"), 32<<20)
	var entries []endpoint
	for i := range nodos {
		n := startNodo(fmt.Sprintf("s-%02d", i), "monterrey", 60*time.Millisecond, rec)
		n.answer = func(string) []byte { return answer }
		entries = append(entries, n.endpoint("SERVING"))
	}
	p := startPlatform(entries)
	site := siteConfig{name: "n0", listen: freeAddress(), discovery: p.address, memoryMB: leastMemoryMB, sockets: mostDescriptors}
	proxy := startProxy(dir, site, p.whole())
	time.Sleep(time.Second)
	end := time.Now().Add(memoryLoad)
	var clients sync.WaitGroup
	var cut atomic.Int64
	if trouble {
		for i := range halfWritten {
			clients.Go(func() { time.Sleep(time.Duration(i) * time.Millisecond); writeHalf(site.listen, end) })
		}
	}
	for i := range downloads {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 2 * time.Millisecond)
			if download(site.listen, i, end) {
				cut.Add(1)
			}
		})
	}
	most := 0
	for ; time.Now().Before(end) && !proxy.hasExited(); time.Sleep(10 * time.Millisecond) {
		most = max(most, proxy.resident())
		if most > killedOverKB {
			rec.add("the proxy has %d kB of memory, and is killed over %d kB", most, killedOverKB)
			broken = append(broken, fmt.Sprintf("crash: the proxy has %d kB of memory, and is killed over %d kB", most, killedOverKB))
			proxy.kill()
		}
	}
	clients.Wait()
	rec.add("the proxy had %d kB of memory at most; its limit is %d kB; %d of %d downloads were cut off", most, leastMemoryMB<<10,
		cut.Load(), downloads)
	return broken
}

// writeHalf opens connections, one after the other, and writes a part of a head on each.
func writeHalf(address string, end time.Time) {
	for time.Now().Before(end) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "POST /alta-tarifa HTTP/1.1\r\nHost: backend.local\r\nX: %s", bytes.Repeat([]byte("h"), 12000))
		_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
		_, _ = c.Read(make([]byte, 1))
		c.Close()
	}
}

// download sends a small request and reads its answer at 320 kB/s. It reports whether the answer was cut off.
func download(address string, i int, end time.Time) (cut bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	fmt.Fprintf(c, "POST /alta-tarifa HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016x\r\nRequest-Class: alta-tarifa\r\n"+
		"Request-Timeout-Ms: 4000\r\nContent-Length: 1\r\n\r\nx", 0xc0000+i)
	buf := make([]byte, 64<<10)
	for time.Now().Before(end) {
		if _, err := c.Read(buf); err != nil {
			return time.Now().Before(end)
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}
