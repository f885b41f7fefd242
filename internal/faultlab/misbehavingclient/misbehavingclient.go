// Package misbehavingclient implements clients that violate the protocol: they send incomplete or malformed
// requests. A proxy has to answer each with an error, or close the connection, within 3 s.
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

// AnswerTimeout is the time in which a proxy must answer with an error or close the connection: 3 s and an
// allowance for network delays.
const AnswerTimeout = 3*time.Second + 250*time.Millisecond

// Misbehavior is one way to violate the protocol.
type Misbehavior struct {
	Name   string
	chunks []string      // sent one after another
	pause  time.Duration // after each chunk
	resets bool          // whether the client resets the connection afterwards and expects no answer
}

// ErrUnanswered is returned if the proxy neither answers with an error nor closes the connection in
// AnswerTimeout.
var ErrUnanswered = errors.New("the proxy neither answered with an error nor closed the connection in time")

// ErrServed is returned if the proxy answers an invalid request with success.
var ErrServed = errors.New("the proxy served an invalid request")

// request is the head of a request without its last headers, as a format of class and request id.
const request = "POST /%[1]s HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %016[2]x\r\nRequest-Class: %[1]s\r\nRequest-Timeout-Ms: 900\r\n"

// Draw returns a random misbehavior; class is the name of a class of requests with a body.
func Draw(r *rand.Rand, class string) Misbehavior {
	head := fmt.Sprintf(request, class, r.Uint64())
	headBytes := strings.Split(head, "")
	kinds := []Misbehavior{
		{Name: "sends nothing"},
		{Name: "incomplete head", chunks: []string{head[:r.IntN(len(head)-1)+1]}},
		{Name: "incomplete head, then a reset", chunks: []string{head[:r.IntN(len(head)-1)+1]}, resets: true},
		{Name: "head sent byte by byte", chunks: headBytes[:min(len(headBytes), 60)],
			pause: 50 * time.Millisecond},
		{Name: "incomplete body",
			chunks: []string{head + "Content-Length: 1000\r\n\r\n", strings.Repeat("x", 500)}},
		{Name: "incomplete body, then a reset",
			chunks: []string{head + "Content-Length: 1000\r\n\r\n" + strings.Repeat("x", 500)}, resets: true},
		{Name: "incomplete long body", chunks: []string{head + "Content-Length: 900000\r\n\r\n",
			strings.Repeat("x", 300_000+r.IntN(200_000))}},
		{Name: "incomplete long body, then a reset", chunks: []string{head + "Content-Length: 900000\r\n\r\n",
			strings.Repeat("x", 300_000+r.IntN(200_000))}, resets: true},
		{Name: "incomplete chunk",
			chunks: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "40\r\nabc"}},
		{Name: "invalid chunk size",
			chunks: []string{head + "Transfer-Encoding: chunked\r\n\r\n", "zz\r\nabc\r\n0\r\n\r\n"}},
		{Name: "conflicting content lengths",
			chunks: []string{head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"}},
		{Name: "TLS handshake",
			chunks: []string{"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + strings.Repeat("\x00", 200)}},
		{Name: "oversized head",
			chunks: []string{head + strings.Repeat("X-Y: "+strings.Repeat("z", 1000)+"\r\n", 100)}},
		{Name: "unknown class",
			chunks: []string{strings.ReplaceAll(head, class, "nobody") + "Content-Length: 2\r\n\r\nab"}},
	}
	return kinds[r.IntN(len(kinds))]
}

// Run connects to the proxy at addr and misbehaves. The error wraps ErrUnanswered or ErrServed, or is that of
// the connect.
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
			break // the proxy has closed the connection, perhaps after an answer
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
			return nil // the proxy has closed the connection
		case response.StatusCode >= 400:
			return nil
		case response.StatusCode >= 200:
			return fmt.Errorf("%s: %w with %s", m.Name, ErrServed, response.Status)
		}
	}
}
