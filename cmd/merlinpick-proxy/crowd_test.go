package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// peer is a client of a crowd that costs a proxy memory. It uses one connection and returns when that has
// ended or the context ends.
type peer func(ctx context.Context, c net.Conn, i int)

var requestIDs atomic.Int64

// head returns the head of a sound request, without its last empty line.
func head(path string, fields ...string) string {
	lines := append([]string{"POST " + path + " HTTP/1.1", "Host: h", fmt.Sprintf("Request-Id: %016x", requestIDs.Add(1)),
		"Request-Class: enrol", fmt.Sprintf("Request-Timeout-Ms: %d", clientDeadline.Milliseconds())}, fields...)
	return strings.Join(lines, "\r\n") + "\r\n"
}

// awaitEnd reads until the connection ends.
func awaitEnd(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// differentFields are fields of six bytes with different names, 15 KB in all: nearly as much as a head may have.
var differentFields = func() string {
	var b strings.Builder
	for i := 0; b.Len() < 15<<10; i++ {
		fmt.Fprintf(&b, "%03x:\r\n", i)
	}
	return b.String()
}()

// manyFields are 12,288 fields of five bytes.
var manyFields = strings.Repeat("1f:\r\n", 12<<10)

// manyFieldsPeer sends a head of 60 KB of very short fields; every other one is left incomplete.
func manyFieldsPeer(_ context.Context, c net.Conn, i int) {
	text := head(shortPath, "Content-Length: 0") + manyFields
	if i%2 == 0 {
		text += "\r\n"
	}
	_, _ = io.WriteString(c, text)
	awaitEnd(c)
}

// differentFieldsPeer sends a request whose head is nearly as long as heads may be, of fields with different
// names.
func differentFieldsPeer(_ context.Context, c net.Conn, _ int) {
	r := bufio.NewReader(c)
	for range 20 {
		if _, err := io.WriteString(c, head(shortPath, "Content-Length: 0")+differentFields+"\r\n"); err != nil {
			return
		}
		response, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
}

// halfHeadPeer sends the first 12 KB of a head.
func halfHeadPeer(_ context.Context, c net.Conn, _ int) {
	_, _ = io.WriteString(c, head(shortPath)+"X: "+strings.Repeat("x", 12<<10))
	awaitEnd(c)
}

// slowReaderPeer reads a response of 32 MB at 320 kB a second.
func slowReaderPeer(ctx context.Context, c net.Conn, _ int) {
	_, _ = io.WriteString(c, head(longPath, "Content-Length: 1")+"\r\nx")
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		if _, err := c.Read(buf); err != nil {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// stoppedUploadPeer stops in the middle of a body of 64 KB to 8 MB.
func stoppedUploadPeer(_ context.Context, c net.Conn, i int) {
	size := 64 << 10 << (i % 8)
	_, err := io.WriteString(c, head(shortPath, fmt.Sprint("Content-Length: ", size))+"\r\n")
	if err != nil {
		return
	}
	go func() { _, _ = c.Write(make([]byte, size/2)) }()
	awaitEnd(c)
}

// slowWriterPeer writes a request of 20 KB in pieces of 200 bytes.
func slowWriterPeer(ctx context.Context, c net.Conn, _ int) {
	text := head(shortPath, "Content-Length: 16384", "X: "+strings.Repeat("x", 3<<10)) + "\r\n" + strings.Repeat("x", 16<<10)
	go func() {
		for len(text) > 0 && ctx.Err() == nil {
			n := min(200, len(text))
			if _, err := io.WriteString(c, text[:n]); err != nil {
				return
			}
			text = text[n:]
			time.Sleep(15 * time.Millisecond)
		}
	}()
	awaitEnd(c)
}

// idlePeer sends nothing.
func idlePeer(_ context.Context, c net.Conn, _ int) { awaitEnd(c) }

// mixed returns a peer that is each of the given ones in turn.
func mixed(peers ...peer) peer {
	return func(ctx context.Context, c net.Conn, i int) { peers[i%len(peers)](ctx, c, i/len(peers)) }
}

// runCrowd connects peers until the context ends, each of which connects again when its connection has ended.
func runCrowd(ctx context.Context, address string, size int, p peer) {
	var peers sync.WaitGroup
	for i := range size {
		peers.Go(func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for ctx.Err() == nil {
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					stop := context.AfterFunc(ctx, func() { c.Close() })
					p(ctx, c, i)
					stop()
					c.Close()
				}
				time.Sleep(10*time.Millisecond + rand.N(20*time.Millisecond))
			}
		})
	}
	peers.Wait()
}

// outcomes counts the sound requests by how they ended.
type outcomes struct {
	mu         sync.Mutex
	served     int
	rejected   int // 429 or 503
	failed     int // any other answer, or the connection was not established or closed without an answer
	late       int // answered over lateAfter after their time; among the others too
	unanswered int // neither an answer nor a close until then
	slowest    time.Duration
}

// lateAfter is how long after its time a request may be answered.
const lateAfter = 500 * time.Millisecond

func (o *outcomes) String() string {
	return fmt.Sprintf("%d served, %d rejected, %d failed, %d late, %d without answer, slowest %v",
		o.served, o.rejected, o.failed, o.late, o.unanswered, o.slowest.Round(time.Millisecond))
}

// sendSound sends sound requests at a rate, each on a connection of its own, until the context ends.
func sendSound(ctx context.Context, address string, perSecond int) *outcomes {
	o := &outcomes{}
	var requests sync.WaitGroup
	for tick := time.NewTicker(time.Second / time.Duration(perSecond)); ctx.Err() == nil; <-tick.C {
		requests.Go(func() { o.send(address) })
	}
	requests.Wait()
	return o
}

// send sends one request and counts how it ended.
func (o *outcomes) send(address string) {
	const giveUp = clientDeadline + lateAfter + 3*time.Second
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.failed++
		return
	}
	defer c.Close()
	_, _ = io.WriteString(c, head(shortPath, "Content-Length: 1")+"\r\nx")
	written := time.Now()
	_ = c.SetReadDeadline(written.Add(giveUp))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	took := time.Since(written)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slowest = max(o.slowest, took)
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		o.unanswered++
		return
	case err != nil:
		o.failed++
	case response.StatusCode == http.StatusOK:
		o.served++
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		o.rejected++
	default:
		o.failed++
	}
	if took > clientDeadline+lateAfter {
		o.late++
	}
}
