// Package misbehavingclient has clients that violate the protocol: they send incomplete or malformed requests. A proxy has to
// answer each with an error, or close its connection, within 3 s.
package misbehavingclient

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// Patience is how long a proxy has for an error or a close, with what the network may take.
const Patience = 3*time.Second + 250*time.Millisecond

// Visit is one way to misbehave.
type Visit struct {
	Name  string
	send  []string // pieces, with a pause between two
	pause time.Duration
	goes  bool // it resets the connection after that, and is owed nothing
}

// ErrUnanswered is a proxy that gave neither an error nor a close in time.
var ErrUnanswered = errors.New("neither an error nor a close in time")

const request = "POST /%[1]s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016[2]x\r\nRequest-Class: %[1]s\r\nRequest-Timeout-Ms: 900\r\n"

// Draw draws a visit; class names a class of requests that carries a body.
func Draw(r *rand.Rand, class string) Visit {
	head := fmt.Sprintf(request, class, r.Uint64())
	trickle := strings.Split(head, "")
	visits := []Visit{
		{Name: "sends nothing"},
		{Name: "half a head", send: []string{head[:r.IntN(len(head)-1)+1]}},
		{Name: "half a head, then goes", send: []string{head[:r.IntN(len(head)-1)+1]}, goes: true},
		{Name: "a head byte by byte", send: trickle[:min(len(trickle), 60)], pause: 50 * time.Millisecond},
		{Name: "half a body", send: []string{head + "Content-Length: 1000\r\n\r\n", strings.Repeat("x", 500)}},
		{Name: "half a body, then goes", send: []string{head + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 500)}, goes: true},
		{Name: "half a long body", send: []string{head + "Content-Length: 900000\r\n\r\n", strings.Repeat("x", 300_000+r.IntN(200_000))}},
		{Name: "half a long body, then goes", send: []string{head + "Content-Length: 900000\r\n\r\n", strings.Repeat("x", 300_000+r.IntN(200_000))}, goes: true},
		{Name: "half a chunk", send: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "40\r\nabc"}},
		{Name: "a chunk of no length", send: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "zz\r\nabc\r\n0\r\n\r\n"}},
		{Name: "two lengths", send: []string{head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"}},
		{Name: "no HTTP", send: []string{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 200)}},
		{Name: "an endless head", send: []string{head + strings.Repeat("X-Y: "+strings.Repeat("z", 1000)+"\r\n", 100)}},
		{Name: "an unknown class", send: []string{strings.ReplaceAll(head, class, "nobody") + "Content-Length: 2\r\n\r\nab"}},
	}
	return visits[r.IntN(len(visits))]
}

// Make makes the visit. The error is ErrUnanswered, one of making the connection, or nil.
func (v Visit) Make(ctx context.Context, addr string) error {
	c, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	_ = c.SetDeadline(time.Now().Add(Patience))
	for _, piece := range v.send {
		if _, err := io.WriteString(c, piece); err != nil {
			break // it has answered or closed
		}
		time.Sleep(v.pause)
	}
	if v.goes {
		_ = c.(*net.TCPConn).SetLinger(0)
		return nil
	}
	r := bufio.NewReader(c)
	for {
		resp, err := http.ReadResponse(r, nil)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%s: %w", v.Name, ErrUnanswered)
		case err != nil:
			return nil // closed
		case resp.StatusCode >= 400:
			return nil
		case resp.StatusCode >= 200:
			return fmt.Errorf("%s: it was served with %s", v.Name, resp.Status)
		}
	}
}
