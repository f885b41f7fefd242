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

// AnswerTimeout is a proxy's time for an error or a close, including network delays.
const AnswerTimeout = 3*time.Second + 250*time.Millisecond

// Misbehavior is one way to violate the protocol.
type Misbehavior struct {
	Name   string
	chunks []string // sent with a pause after each
	pause  time.Duration
	resets bool // the connection is reset afterwards; no answer is expected
}

// ErrUnanswered is a proxy that gave neither an error nor a close in time.
var ErrUnanswered = errors.New("neither an error nor a close in time")

// ErrServed is a proxy that answered an invalid request with success.
var ErrServed = errors.New("it was served")

const request = "POST /%[1]s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016[2]x\r\nRequest-Class: %[1]s\r\nRequest-Timeout-Ms: 900\r\n"

// Draw draws a misbehavior; class is the name of a class of requests with a body.
func Draw(r *rand.Rand, class string) Misbehavior {
	head := fmt.Sprintf(request, class, r.Uint64())
	trickle := strings.Split(head, "")
	kinds := []Misbehavior{
		{Name: "sends nothing"},
		{Name: "half a head", chunks: []string{head[:r.IntN(len(head)-1)+1]}},
		{Name: "half a head, then goes", chunks: []string{head[:r.IntN(len(head)-1)+1]}, resets: true},
		{Name: "a head byte by byte", chunks: trickle[:min(len(trickle), 60)], pause: 50 * time.Millisecond},
		{Name: "half a body", chunks: []string{head + "Content-Length: 1000\r\n\r\n", strings.Repeat("x", 500)}},
		{Name: "half a body, then goes", chunks: []string{head + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 500)}, resets: true},
		{Name: "half a long body", chunks: []string{head + "Content-Length: 900000\r\n\r\n", strings.Repeat("x", 300_000+r.IntN(200_000))}},
		{Name: "half a long body, then goes", chunks: []string{head + "Content-Length: 900000\r\n\r\n", strings.Repeat("x", 300_000+r.IntN(200_000))}, resets: true},
		{Name: "half a chunk", chunks: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "40\r\nabc"}},
		{Name: "a chunk of no length", chunks: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "zz\r\nabc\r\n0\r\n\r\n"}},
		{Name: "two lengths", chunks: []string{head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"}},
		{Name: "no HTTP", chunks: []string{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 200)}},
		{Name: "an endless head", chunks: []string{head + strings.Repeat("X-Y: "+strings.Repeat("z", 1000)+"\r\n", 100)}},
		{Name: "an unknown class", chunks: []string{strings.ReplaceAll(head, class, "nobody") + "Content-Length: 2\r\n\r\nab"}},
	}
	return kinds[r.IntN(len(kinds))]
}

// Run misbehaves towards the proxy at addr. The error is ErrUnanswered, ErrServed, or of the connect.
func (m Misbehavior) Run(ctx context.Context, addr string) error {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_ = conn.SetDeadline(time.Now().Add(AnswerTimeout))
	for _, chunk := range m.chunks {
		if _, err := io.WriteString(conn, chunk); err != nil {
			break // the proxy has answered or closed
		}
		time.Sleep(m.pause)
	}
	if m.resets {
		_ = conn.(*net.TCPConn).SetLinger(0)
		return nil
	}
	reader := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(reader, nil)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("%s: %w", m.Name, ErrUnanswered)
		case err != nil:
			return nil // closed
		case response.StatusCode >= 400:
			return nil
		case response.StatusCode >= 200:
			return fmt.Errorf("%s: %w with %s", m.Name, ErrServed, response.Status)
		}
	}
}
