package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["crowd"] = crowdHidesRequests }

const (
	crowdSize = 3000        // connections that are idle or half-written
	crowdTime = time.Second // in which they arrive
)

// crowd opens connections, one half of which send nothing and the other half a part of a head. Each is closed once
// the proxy has ended it.
func (l *lab) crowd(address string) {
	var mu sync.Mutex
	open, ended := 0, 0
	for i := range crowdSize {
		time.Sleep(crowdTime / crowdSize)
		go func() {
			conn, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			mu.Lock()
			open++
			mu.Unlock()
			if i%2 == 1 {
				_, _ = fmt.Fprintf(conn, "POST /alta-tarifa HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\n", newID(8))
			}
			_, _ = io.Copy(io.Discard, conn)
			mu.Lock()
			ended++
			mu.Unlock()
		}()
	}
	go func() {
		for range 15 {
			time.Sleep(time.Second)
			mu.Lock()
			l.log("of the crowd, %d have connected, and the proxy has ended %d", open, ended)
			mu.Unlock()
		}
	}()
}

// The ends of a request on a connection of its own.
const (
	endNotConnected = "not connected"
	endClosed       = "closed without an answer"
	endLost         = "open without an answer"
)

// single sends one request on a new connection, and waits for its answer until half a second after its time, and
// 50 ms more. It returns the status or how it ended otherwise.
func single(address string, c class) (id, end string, took time.Duration) {
	id = newID(8)
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return id, endNotConnected, 0
	}
	defer conn.Close()
	key := ""
	if c.repeat == "deduplicated" {
		key = "Idempotency-Key: " + newID(16) + "\r\n"
	}
	_, err = fmt.Fprintf(conn, "POST /%s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Class: %s\r\nRequest-Timeout-Ms: %d\r\n%s"+
		"Content-Length: 10\r\n\r\n0123456789", c.name, id, c.name, c.giveUp.Milliseconds(), key)
	written := time.Now()
	if err != nil {
		return id, endClosed, 0
	}
	_ = conn.SetReadDeadline(written.Add(c.giveUp + 550*time.Millisecond))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	took = time.Since(written)
	var timeout net.Error
	switch {
	case err == nil:
		return id, fmt.Sprint(response.StatusCode), took
	case errors.As(err, &timeout) && timeout.Timeout():
		return id, endLost, took
	}
	return id, endClosed, took
}

// crowdHidesRequests has thousands of idle and half-written connections arrive at a proxy, while clients send
// requests on new connections.
func crowdHidesRequests(l *lab) bool {
	c := newCatalog(l)
	l.startNodos(c, 3, 100*time.Millisecond)
	plan := newPlan("n1", 0, 0, 1)
	plan.memoryMB, plan.sockets = 48, 256 // as in the operators' third report
	plan.known = c.whole()
	plan.discovery = c.newFront(plan.name).address
	proxy := l.startProxy(plan, "n1", deployed("run"))
	require(l.awaitReady(plan.mgmt, 10*time.Second), "the proxy is not ready")

	var group sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	lost := 0
	begin := time.Now()
	if l.trouble {
		time.AfterFunc(3*time.Second, func() { l.log("the crowd arrives"); l.crowd(plan.listen) })
	}
	for i := 0; time.Since(begin) < 14*time.Second; i++ {
		group.Go(func() {
			began := time.Now()
			id, end, took := single(plan.listen, siteClasses[i%2])
			mu.Lock()
			defer mu.Unlock()
			counts[end]++
			if end == endLost {
				if lost++; lost <= 20 {
					l.log("request %s, %s: connected and sent whole at %.3f, no answer and no close in %.2f s", id, siteClasses[i%2].name,
						began.Sub(l.start).Seconds(), took.Seconds())
				}
			}
		})
		time.Sleep(time.Second / 30)
	}
	group.Wait()
	require(proxy.running(), "the proxy has ended")
	l.logLines(proxy, "client capacity is short")
	l.log("requests by their end: %v", counts)
	l.log("lost requests: %d", lost)
	return lost == 0
}
