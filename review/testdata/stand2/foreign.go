package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["foreign"] = foreignAnswers }

// The network between two zones takes 10 to 20 ms one way, by BRIEF 1.3; with the jitter of the site file, up to
// 0.3, all delays stay within that.
const (
	crossDelay  = 15 * time.Millisecond
	crossJitter = 0.3
)

// A second answer leaves its nodo some milliseconds after the first.
const leastSecondDelay, mostSecondDelay = 4 * time.Millisecond, 8 * time.Millisecond

// loadTime is how long clients send.
const loadTime = 95 * time.Second

// secondAnswers is the part of the answers to which a second one comes.
const secondAnswers = 0.2

// link is the network between a proxy and one nodo. It delays what passes, and keeps its order.
type link struct {
	address string
	target  string
}

func newLink(target string) *link {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	k := &link{address: listener.Addr().String(), target: target}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				out, err := net.Dial("tcp", k.target)
				if err != nil {
					in.Close()
					return
				}
				go delayed(out, in)
				delayed(in, out)
			}()
		}
	}()
	return k
}

// piece is data on its way; nil data is the end of the connection.
type piece struct {
	data []byte
	due  time.Time
}

// delayed passes what it reads on to another connection, each piece after the delay of the network.
func delayed(to, from net.Conn) {
	way := make(chan piece, 1024)
	go func() {
		for p := range way {
			time.Sleep(time.Until(p.due))
			if p.data == nil {
				to.Close()
				return
			}
			_, _ = to.Write(p.data)
		}
	}()
	last := time.Time{}
	for {
		data := make([]byte, 16<<10)
		n, err := from.Read(data)
		due := time.Now().Add(time.Duration(float64(crossDelay) * (1 + crossJitter*(2*rand.Float64()-1))))
		if due.Before(last) {
			due = last
		}
		last = due
		if n > 0 {
			way <- piece{data[:n], due}
		}
		if err != nil {
			way <- piece{nil, due}
			return
		}
	}
}

// spoilingNodo serves each request, and sends a second answer after some of the first ones: the same once more.
type spoilingNodo struct {
	name    string
	zone    string
	address string
	work    time.Duration
	part    float64 // of the answers, to which a second one comes
	seconds atomic.Int64
}

func newSpoilingNodo(name, zone string, work time.Duration, part float64) *spoilingNodo {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	n := &spoilingNodo{name: name, zone: zone, address: listener.Addr().String(), work: work, part: part}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go n.serve(conn)
		}
	}()
	return n
}

// serve answers the requests on a connection, one after the other, until it has been idle for 5 s.
func (n *spoilingNodo) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		time.Sleep(n.work)
		body := fmt.Sprintf("%s served %s", n.name, request.Header.Get("Request-Id"))
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
		if rand.Float64() < n.part {
			time.Sleep(leastSecondDelay + rand.N(mostSecondDelay-leastSecondDelay))
			n.seconds.Add(1)
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
		}
	}
}

// foreignAnswers has nodos send a second answer some milliseconds after some of their answers. The proxies are one
// in each zone; the nodos of other zones are behind the network between the zones.
func foreignAnswers(l *lab) bool {
	part := secondAnswers
	if !l.trouble {
		part = 0
	}
	var nodos []*spoilingNodo
	for _, zone := range siteZones {
		for i := range 3 {
			nodos = append(nodos, newSpoilingNodo(fmt.Sprintf("s-%s%d", zone[:1], i+1), zone, 100*time.Millisecond, part))
		}
	}
	var plans []*proxyPlan
	for z, zone := range siteZones {
		c := newCatalog(l) // each proxy reaches the nodos at addresses of its own
		var entries []entry
		for _, n := range nodos {
			address := n.address
			if n.zone != zone {
				address = newLink(n.address).address
			}
			entries = append(entries, entry{Name: n.name, Address: address, Zone: n.zone, Type: "entrada-medio", Group: 1, Status: "SERVING", Weight: 1})
		}
		c.put(entries...)
		plan := newPlan(fmt.Sprintf("n%d", z+1), z, z, len(siteZones))
		plan.known = c.whole()
		plan.discovery = c.newFront(plan.name).address
		l.startProxy(plan, plan.name, deployed("run"))
		plans = append(plans, plan)
	}
	for _, plan := range plans {
		require(l.awaitReady(plan.mgmt, 10*time.Second), "%s is not ready", plan.name)
	}
	ctx, stop := context.WithTimeout(context.Background(), loadTime)
	defer stop()
	clients := l.newClients()
	next := 0
	clients.load(ctx, 130, func() string { next++; return plans[next%len(plans)].listen }, siteClasses, 200)
	wrong, seconds := 0, int64(0)
	for _, o := range clients.outcomes {
		if o.status == http.StatusOK && !strings.HasSuffix(o.body, " served "+o.id) {
			if wrong++; wrong <= 20 {
				l.log("%s: the client of request %s got 200 with %q, %v after it had sent it", o.class, o.id, o.body, o.took.Round(time.Millisecond))
			}
		}
	}
	for _, n := range nodos {
		seconds += n.seconds.Load()
	}
	l.log("clients: %s; %d second answers were sent", clients.summary(), seconds)
	l.log("requests served with the answer to another request: %d", wrong)
	return wrong == 0
}
