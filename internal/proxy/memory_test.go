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
)

// Peers that send much and go, in the head or in the body: each held up to 20 KiB of a head and 32 KiB of a body,
// without a bound over all. Those beyond it are rejected at once, and all of it is released.
func TestUnparsedInputIsBoundedAcrossConnections(t *testing.T) {
	const peers, room = 40, 200 << 10
	for name, text := range map[string]string{
		"heads":  "GET /look/k HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", clientconn.MaxHeadBytes-1000),
		"bodies": proxytest.PostRequest("%d", "Content-Length: 60000") + strings.Repeat("x", 31<<10),
	} {
		t.Run(name, func(t *testing.T) {
			b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
			p := startProxy(t, startDiscovery(t).addr, 400, listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)))
			p.frontend.SetMemory(room)
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
			for range peers - room/(16<<10) { // a peer that is let in takes as much, or more
				if got := proxytest.Receive(t, "refusal", answers); got != 503 {
					t.Errorf("got %d", got)
				}
			}
			if n := bufferedHeads(p); n > room || n == 0 {
				t.Errorf("%d bytes are held", n)
			}
			for _, c := range all {
				c.Close()
			}
			proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
			c := connect(t, p)
			c.Send(t, strings.Replace(proxytest.PostRequest("n", "Content-Length: 31744"), "Host: h", "Host: h\r\nX: "+strings.Repeat("x", 8<<10), 1)+
				strings.Repeat("x", 31744))
			if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
				t.Errorf("then got %s", resp.Status)
			}
			proxytest.WaitUntil(t, func() bool { return bufferedHeads(p) == 0 })
		})
	}
}

// Idle clients in every slot while discovery is down: calls to it, to backends and for health have descriptors of their
// own.
func TestIdleClientsLeaveDescriptorsForOthers(t *testing.T) {
	b := proxytest.StartBackend(t, proxytest.RespondWith(proxytest.OKResponse, true))
	d := startDiscovery(t)
	p := startProxy(t, d.addr, 120, "")
	d.responses <- "" // a call that breaks
	most := connLimit(p)
	for i := range 2 * most {
		c := connect(t, p)
		if i%2 == 0 { // the others never say a word
			go func() { _, _ = io.WriteString(c, "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n") }()
		}
	}
	proxytest.WaitUntil(t, func() bool { return p.frontend.OpenConns() >= most })
	d.responses <- listJSON(1, true, endpointJSON("a", b.Addr, discovery.StatusServing)) // it is back
	proxytest.WaitUntil(t, p.Ready)
	for i, want := range []string{"GET /_health HTTP/1.1\r\nHost: h\r\n\r\n", proxytest.LookRequest("1", 4000), "GET /_health HTTP/1.1\r\nHost: h\r\n\r\n"} {
		start := time.Now()
		c := connect(t, p)
		c.Send(t, want)
		if resp, _ := c.ReadResponse(t); resp.StatusCode != 200 {
			t.Errorf("call %d: %s", i, resp.Status)
		}
		if took := time.Since(start); took > downstream.MinKeepAlive+time.Second {
			t.Errorf("call %d waited %v", i, took)
		}
	}
}

// All parts of the descriptors together are no more than there are, alone and beside another process of the proxy.
func TestDescriptorLimitsAddUp(t *testing.T) {
	for sockets := 128; sockets <= 1024; sockets++ {
		for _, watched := range []bool{false, true} {
			for _, shared := range []bool{false, true} {
				cfg := Config{MaxDescriptors: sockets, Managed: watched}
				clients, backends, over := cfg.connLimits(shared)
				clients, backends = max(clients, minConns), max(backends, minConns)
				have, own := sockets, reservedDescriptors
				if shared {
					have, own = sockets/2, reservedDescriptorsShared
				}
				if watched {
					own += 17 // callers of the management address, and its listener
				}
				if clients+backends+over+own > have || over < minRejectConns {
					t.Errorf("%d sockets, watched %v, shared %v: %d+%d+%d+%d", sockets, watched, shared, clients, backends, over, own)
				}
			}
		}
	}
}
