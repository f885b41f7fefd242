package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// A fifth of the nodos fall silent for 6 s, while clients send long bodies in chunks.
const (
	silentFor   = 6 * time.Second
	silentAfter = 300 * time.Millisecond // since the uploads began
	silentNodos = 2                      // of nodos
	nodos       = 10

	// A client sends its body in chunks and decides as it goes how long that is: it ends the body at longestBody,
	// and before that once the proxy's machine has held heldBytes unread for heldFor. So all of the body arrives
	// there, whatever the sizes of the buffers on the way.
	uploadCount = 36
	longestBody = 12 << 20
	heldBytes   = 128 << 10
	burstBytes  = 2 << 20 // are sent as fast as they go; the rest at 4 MB/s at most
	heldFor     = 300 * time.Millisecond
	chunkBytes  = 0x8000

	tryTimeout  = 2 * time.Second // a try: 40 to 55 % of the 4 s after which clients give up
	answerSlack = 500 * time.Millisecond
	judgeSlack  = 100 * time.Millisecond // the 50 ms of the page, and 50 ms for this program
)

// uploadResult is what the client of one upload saw.
type uploadResult struct {
	id       string
	size     int
	whole    bool          // its last byte has arrived at the proxy's machine
	answered time.Duration // since the last byte was written; 0: not within the time
	status   string
}

// unacknowledged returns how many bytes a connection's peer has not acknowledged (SIOCOUTQ).
func unacknowledged(c net.Conn) (n int32) {
	raw, err := c.(syscall.Conn).SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCOUTQ, uintptr(unsafe.Pointer(&n)))
	}))
	return n
}

// sendWindow returns how many bytes a connection's peer would take (tcpi_snd_wnd).
func sendWindow(c net.Conn) int {
	const tcpInfo, windowAt = 11, 228 // TCP_INFO, and the offset of the field in struct tcp_info
	var info [256]byte
	length := uint32(len(info))
	raw, err := c.(syscall.Conn).SyscallConn()
	must(err)
	must(raw.Control(func(fd uintptr) {
		_, _, _ = syscall.Syscall6(syscall.SYS_GETSOCKOPT, fd, syscall.IPPROTO_TCP, tcpInfo,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&length)), 0)
	}))
	if length < windowAt+4 {
		void("this machine does not tell a connection's window")
	}
	return int(binary.NativeEndian.Uint32(info[windowAt:]))
}

// sendChunks sends the chunks of a body, without the last one.
func sendChunks(c net.Conn) (size int, err error) {
	chunk := append(append(fmt.Appendf(nil, "%x\r\n", chunkBytes), bytes.Repeat([]byte("x"), chunkBytes)...), '\r', '\n')
	widest := 0
	for size < longestBody {
		if _, err := c.Write(chunk); err != nil {
			return size, err
		}
		if size += chunkBytes; size <= burstBytes {
			continue
		}
		time.Sleep(8 * time.Millisecond)
		widest = max(widest, sendWindow(c))
		for since := time.Now(); widest-sendWindow(c) >= heldBytes; time.Sleep(time.Millisecond) {
			if time.Since(since) > heldFor {
				return size, nil
			}
		}
	}
	return size, nil
}

// upload sends one request with a chunked body and waits for its answer.
func upload(address, id string, rec *record) (out uploadResult) {
	out = uploadResult{id: id}
	c, err := net.Dial("tcp", address)
	must(err)
	defer c.Close()
	fmt.Fprintf(c, "POST /alta-tarifa HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: alta-tarifa\r\n"+
		"Request-Timeout-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n", id, tryTimeout.Milliseconds())
	_ = c.SetWriteDeadline(time.Now().Add(silentFor))
	if out.size, err = sendChunks(c); err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	written := time.Now()
	if err != nil {
		rec.add("client: %s could not be written, %d bytes were: %v", id, out.size, err)
		return out
	}
	for end := written.Add(300 * time.Millisecond); !out.whole && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		out.whole = unacknowledged(c) == 0
	}
	rec.add("client: %s sent, %d bytes in chunks, all arrived at the proxy's machine: %v; its time is %v", id, out.size, out.whole, tryTimeout)
	_ = c.SetReadDeadline(written.Add(tryTimeout + answerSlack + judgeSlack))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		if err == nil && response.StatusCode == http.StatusOK && string(body) != id {
			err = fmt.Errorf("foreign answer %q", body)
		}
	}
	if err != nil {
		out.status = err.Error()
		rec.add("client: %s has no answer %v after its last byte: %v", id, time.Since(written).Round(time.Millisecond), err)
		return out
	}
	out.answered, out.status = time.Since(written), response.Status
	rec.add("client: %s answered %s after %v", id, response.Status, out.answered.Round(time.Millisecond))
	return out
}

func silentUpload(dir string, rec *record) (broken []string) {
	var all []*nodo
	var entries []endpoint
	for i := range nodos {
		zone := [...]string{"monterrey", "queretaro", "guadalajara"}[max(0, i-1)/3]
		n := startNodo(fmt.Sprintf("s-%02d", i), zone, 60*time.Millisecond, rec)
		all, entries = append(all, n), append(entries, n.endpoint("SERVING"))
	}
	p := startPlatform(entries)
	site := siteConfig{name: "n0", listen: freeAddress(), discovery: p.address, memoryMB: 64, sockets: 384}
	startProxy(dir, site, p.whole())
	traffic := startTraffic(site.listen, "alta-tarifa")
	time.Sleep(4 * time.Second)
	var mu sync.Mutex
	var uploads sync.WaitGroup
	results := []uploadResult{}
	for i := range uploadCount {
		uploads.Go(func() {
			r := upload(site.listen, fmt.Sprintf("%016x", 0xa000+i), rec)
			mu.Lock()
			defer mu.Unlock()
			results = append(results, r)
		})
	}
	time.Sleep(silentAfter)
	if trouble {
		// Of all the fifths that may fall silent, it is one that has work.
		slices.SortFunc(all, func(x, y *nodo) int { return cmp.Compare(y.receiving.Load(), x.receiving.Load()) })
		for _, n := range all[:silentNodos] {
			n.silent.Store(true)
			rec.add("nodo %s falls silent for %v, while it receives %d requests", n.name, silentFor, n.receiving.Load())
		}
		time.AfterFunc(silentFor, func() {
			for _, n := range all[:silentNodos] {
				n.silent.Store(false)
			}
			rec.add("the nodos are back")
		})
	}
	uploads.Wait()
	traffic.stop()
	taken := 0
	for _, r := range results {
		if !r.whole {
			continue
		}
		taken++
		if r.answered == 0 {
			broken = append(broken, fmt.Sprintf("lost: %s, whole at the proxy's machine, had no answer %v after its last byte, "+
				"its time of %v and %v more (%s)", r.id, tryTimeout+answerSlack, tryTimeout, answerSlack, r.status))
		}
	}
	rec.add("%d of %d uploads were whole at the proxy's machine", taken, len(results))
	return broken
}
