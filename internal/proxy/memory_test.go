package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"merlinpick/internal/discovery"
	"merlinpick/internal/proxy/clientconn"
	"merlinpick/internal/proxy/downstream"
	"merlinpick/internal/proxy/proxytest"
	"merlinpick/internal/proxy/socket"
)

// TestUnparsedInputIsBoundedAcrossConnections checks the limit on memory for all incomplete requests
// together: each connection could hold up to 20 KiB of a header and 32 KiB of a body, without a limit on the
// total. Connections beyond the limit are rejected at once, and the memory is released when the clients
// disconnect.
func TestUnparsedInputIsBoundedAcrossConnections(t *testing.T) {
	const peers, room = 40, 200 << 10
	for name, text := range map[string]string{
		"heads":  "GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", clientconn.MaxHeadBytes-1000),
		"bodies": proxytest.PostRequest("%d", "Content-Length: 60000") + strings.Repeat("x", 31<<10),
	} {
		t.Run(name, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
			p := startProxy(t, startDiscovery(t).addr, 400, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
			p.frontend.SetMemory(downstream.MemoryLimits{Bodies: room, Heads: room, Streams: room})
			answers := make(chan int, peers)
			var all []*proxytest.Client
			for i := range peers {
				c := connect(t, p)
				c.Send(t, strings.Replace(text, "%d", fmt.Sprint(i), 1))
				all = append(all, c)
				go func() {
					if resp, err := http.ReadResponse(c.Reader, nil); err == nil {
						answers <- resp.StatusCode
					}
				}()
			}
			for range peers - room/(16<<10) { // each accepted connection uses 16 KiB or more
				if got := proxytest.Receive(t, "rejection", answers); got != 503 {
					t.Errorf("got status %d, want 503", got)
				}
			}
			if n := bufferedHeads(p); n > room || n == 0 {
				t.Errorf("%d bytes are buffered, want 1 to %d", n, room)
			}
			for _, c := range all {
				c.Close()
			}
			proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
			c := connect(t, p)
			c.Send(t, strings.Replace(proxytest.PostRequest("n", "Content-Length: 31744"), "Host: h", "Host: h\r\nX: "+strings.Repeat("x", 8<<10), 1)+
				strings.Repeat("x", 31744))
			if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
				t.Errorf("request after the memory was released: got %s, want 200", resp.Status)
			}
			proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
		})
	}
}

// TestParsedHeadsAreBoundedAcrossConnections guards against memory that grows with the number of fields in the heads of
// requests in flight: what net/http makes of a very short field takes twenty times its length. Requests beyond the
// limit are rejected at once, and the memory is released with the response.
func TestParsedHeadsAreBoundedAcrossConnections(t *testing.T) {
	const peers, fields, room = 8, 2000, 1 << 20
	const fitting = room / (fields * 141) // requests
	var text strings.Builder
	for i := range fields {
		fmt.Fprintf(&text, "%03x:\r\n", i)
	}
	request := func(i int) string {
		return strings.Replace(proxytest.LookRequest(fmt.Sprint(i), 20000), "Host: h\r\n", "Host: h\r\n"+text.String(), 1)
	}
	release := make(chan struct{})
	b := proxytest.StartBackend(t, func(w io.Writer, _ *http.Request, _ int) bool {
		<-release
		_, _ = io.WriteString(w, proxytest.OKResponse)
		return true
	})
	p := startProxy(t, startDiscovery(t).addr, 400, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.frontend.SetMemory(downstream.MemoryLimits{Heads: room})
	answers := make(chan int, peers)
	for i := range peers {
		c := connect(t, p)
		c.Send(t, request(i))
		go func() {
			if resp, err := http.ReadResponse(c.Reader, nil); err == nil {
				answers <- resp.StatusCode
			}
		}()
	}
	for range peers - fitting {
		if got := proxytest.Receive(t, "rejection", answers); got != http.StatusServiceUnavailable {
			t.Errorf("got status %d while the memory is used up, want 503", got)
		}
	}
	if n := bufferedHeads(p); n > room || n < room/2 {
		t.Errorf("%d bytes are reserved for heads, want %d to %d", n, room/2, room)
	}
	close(release)
	for range fitting {
		if got := proxytest.Receive(t, "response", answers); got != http.StatusOK {
			t.Errorf("got status %d, want 200", got)
		}
	}
	proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
	c := connect(t, p)
	c.Send(t, request(peers))
	if resp, _ := c.ReadResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("request after the memory was released: got %s, want 200", resp.Status)
	}
	proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
}

// TestRequestOfGoneClientKeepsItsMemoryUntilHandled guards against memory beyond its limit when many clients leave at once:
// their requests wait in the loop's queue, with all their fields, and no longer counted.
func TestRequestOfGoneClientKeepsItsMemoryUntilHandled(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := startProxy(t, startDiscovery(t).addr, 200, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	blocked, end := blockLoop(t, p)
	proxytest.Receive(t, "block of the loop", blocked)
	cl := connect(t, p)
	cl.Send(t, strings.Replace(proxytest.LookRequest("1", 4000), "Host: h\r\n", "Host: h\r\n"+strings.Repeat("x:\r\n", 500), 1))
	proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) > 0 })
	conn := p.frontend.Conns()[0]
	cl.Close()
	proxytest.WaitUntil(t, func() bool { return socket.PeerClosed(conn) })
	time.Sleep(100 * time.Millisecond) // net/http has noticed it
	if bufferedHeads(p) == 0 || p.frontend.OpenConns() != 1 {
		t.Errorf("%d bytes are reserved and %d connections open while the request waits, want some and 1",
			bufferedHeads(p), p.frontend.OpenConns())
	}
	end()
	proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 && p.frontend.OpenConns() == 0 })
}

// TestStreamedBodiesAreBoundedAcrossConnections guards against memory that grows with the number of bodies that are
// streamed: the buffers that copy them were bounded by no limit. A request beyond the limit is rejected and its
// connection closed at once, even if its client sends no more of the body: the slot is needed for others.
func TestStreamedBodiesAreBoundedAcrossConnections(t *testing.T) {
	const size, buffer = 200 << 10, 8 << 10
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	p := startProxy(t, startDiscovery(t).addr, 400, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
	p.frontend.SetMemory(downstream.MemoryLimits{Heads: size, StreamBuffer: buffer,
		Streams: downstream.HTTPCopyBuffer + downstream.StreamBuffers*buffer})
	streams := func() int { _, _, reserved := p.frontend.BufferedBytes(); return reserved }
	half := strings.Repeat("x", size/2)
	first, second := connect(t, p), connect(t, p)
	first.Send(t, proxytest.PostRequest("1", fmt.Sprint("Content-Length: ", size))+half)
	proxytest.WaitUntil(t, func() bool { return streams() > 0 })
	sent := time.Now()
	second.Send(t, proxytest.PostRequest("2", fmt.Sprint("Content-Length: ", size))+half)
	if resp, _ := second.ReadResponse(t); resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("a second body: got %s, want 503", resp.Status)
	}
	if _, err := second.Reader.ReadByte(); err != io.EOF {
		t.Errorf("after the rejection: got error %v, want the end of the connection", err)
	}
	if took := time.Since(sent); took > clientconn.RequestReadTimeout/2 {
		t.Errorf("the connection of the second body ended after %v, want at once", took)
	}
	first.Send(t, half)
	if resp, _ := first.ReadResponse(t); resp.StatusCode != http.StatusOK {
		t.Errorf("the first body: got %s, want 200", resp.Status)
	}
	proxytest.WaitUntil(t, func() bool { return streams() == 0 })
}

// TestIdleClientsLeaveDescriptorsForOthers checks that calls to discovery and to backends, and health checks,
// have their own descriptors: they work although idle clients use up the limit of client connections while
// discovery is down.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 120, "")
	d.responses <- "" // breaks the connection of the first call
	most := connLimit(p)
	for i := range 2 * most {
		c := connect(t, p)
		if i%2 == 0 { // the others send nothing
			go func() { _, _ = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n") }()
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() >= most })
	// Now discovery works again.
	d.responses <- listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing))
	proxytest.WaitUntil(t, p.Ready)
	for i, want := range []string{"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", proxytest.LookRequest("1", 4000), "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"} {
		start := time.Now()
		c := connect(t, p)
		c.Send(t, want)
		if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
			t.Errorf("request %d: got %s, want 200", i, resp.Status)
		}
		if took := time.Since(start); took > downstream.MinKeepAlive+time.Second {
			t.Errorf("request %d took %v, want at most %v", i, took, downstream.MinKeepAlive+time.Second)
		}
	}
}

// TestDescriptorLimitsAddUp checks that the shares of the descriptor limit add up to no more than the limit,
// for a single process and for one that shares with another process of the proxy.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := 128; sockets <= 1024; sockets++ {
		for _, managed := range []bool{false, true} {
			for _, shared := range []bool{false, true} {
				cfg := Config{MaxDescriptors: sockets, Managed: managed}
				clients, backends, over := cfg.connLimits(shared)
				clients, backends = max(clients, minConns), max(backends, minConns)
				have, own := sockets, reservedDescriptors
				if shared {
					have, own = sockets/2, reservedDescriptorsShared
				}
				if managed {
					own += 17 // connections to the management address, and its listener
				}
				if clients+backends+over+own > have || over < minRejectConns {
					t.Errorf("limit %d, managed %v, shared %v: %d clients + %d backends + %d rejects + "+
						"%d reserved, want at most the limit",
						sockets, managed, shared, clients, backends, over, own)
				}
			}
		}
	}
}
