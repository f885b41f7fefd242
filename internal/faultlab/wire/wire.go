// Package wire holds the parts of the platform's protocol that the lab's clients and servers share: header
// names, and bodies that identify their sender. It does no I/O.
package wire

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
)

// Names of the protocol's headers.
const (
	RequestID      = "Request-Id"
	RequestClass   = "Request-Class"
	RequestTimeout = "Request-Timeout-Ms"
	IdempotencyKey = "Idempotency-Key"
	ClientRetry    = "Client-Retry"
	NotStarted     = "Not-Started"
)

// Digest returns a hash by which bodies are compared.
func Digest(b []byte) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(b)
	return hash.Sum64()
}

// MakeBody returns the body that a sender sends for a request id. It has at least size bytes, and is the same
// each time but different for each sender.
func MakeBody(id, sender string, size int) []byte {
	out := []byte(id + " " + sender + "\n")
	random := rand.New(rand.NewPCG(Digest([]byte(id)), Digest([]byte(sender))))
	for len(out) < size {
		out = append(out, byte('a'+random.IntN(26)))
	}
	return out
}

// JSONResponse returns a complete HTTP response with a JSON body.
func JSONResponse(status int, body []byte) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status,
		http.StatusText(status), len(body), body)
}
