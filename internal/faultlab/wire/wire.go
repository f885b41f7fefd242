// Package wire holds what the lab's clients and servers share of the platform's protocol: header names, and bodies that
// say by themselves who made them.
package wire

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
)

// Headers of the protocol.
const (
	RequestID      = "Request-Id"
	RequestClass   = "Request-Class"
	RequestTimeout = "Request-Timeout-Ms"
	IdempotencyKey = "Idempotency-Key"
	ClientRetry    = "Client-Retry"
	NotStarted     = "Not-Started"
)

// Digest tells bodies apart.
func Digest(b []byte) uint64 {
	h := fnv.New64a()
	_, _ = h.Write(b)
	return h.Sum64()
}

// Make is the body of size bytes, or somewhat more, that maker gives for a request: no two makers give the same.
func MakeBody(id, maker string, size int) []byte {
	out := []byte(id + " " + maker + "\n")
	r := rand.New(rand.NewPCG(Digest([]byte(id)), Digest([]byte(maker))))
	for len(out) < size {
		out = append(out, byte('a'+r.IntN(26)))
	}
	return out
}

// JSON is a whole answer of the list's, head and body.
func JSONResponse(status int, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), len(body), body)
}
