package downstream

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/proxy/clientconn"
)

// slowReader returns pieces of a body with a pause before each, and then blocks until its deadline.
type slowReader struct {
	piece     int // bytes
	pause     time.Duration
	remaining int // bytes of the body
	deadline  time.Time
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.remaining == 0 || time.Now().Add(r.pause).After(r.deadline) {
		time.Sleep(time.Until(r.deadline))
		return 0, errors.New("deadline")
	}
	time.Sleep(r.pause)
	n := min(r.piece, r.remaining, len(p))
	r.remaining -= n
	return n, nil
}

// TestMinimumUploadRate checks that a client may be as slow as 64 kB a second, after a head that took 2 s,
// and that one that stalls or sends only a few bytes now and then times out.
func TestMinimumUploadRate(t *testing.T) {
	for _, c := range []struct {
		name        string
		r           slowReader
		complete    bool
		maxDuration time.Duration // until the end
	}{
		{"slow and steady", slowReader{piece: 640, pause: 10 * time.Millisecond, remaining: 200_000},
			true, time.Minute},
		{"slow in large pieces", slowReader{piece: 16_000, pause: 250 * time.Millisecond, remaining: 200_000},
			true, time.Minute},
		{"nothing", slowReader{}, false, clientconn.RequestReadTimeout},
		{"a stall after much", slowReader{piece: 1 << 20, remaining: 150_000},
			false, clientconn.RequestReadTimeout},
		{"dripping", slowReader{piece: 10, pause: 200 * time.Millisecond, remaining: 200_000},
			false, clientconn.RequestReadTimeout + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				if c.complete {
					time.Sleep(2 * time.Second) // time that the head took
				}
				u := &upload{source: &c.r, contentLength: 200_000, startedAt: start, lastReceived: time.Now(),
					bodyMemory:      clientconn.NewMemoryBudget(1 << 20),
					headMemory:      clientconn.NewMemoryBudget(MaxBufferedBody),
					setReadDeadline: func(at time.Time) error { c.r.deadline = at; return nil }}
				_, complete, err := u.buffer()
				if complete != c.complete || (err == nil) != c.complete {
					t.Errorf("the body was read with complete %v, error %v", complete, err)
				}
				if took := time.Since(start); took > c.maxDuration {
					t.Errorf("reading the body took %v, want no more than the case allows", took)
				}
			})
		})
	}
}

// TestBufferedBodiesAreBounded checks that bodies are buffered only while the memory budget allows it, except
// for the guaranteed part of each.
func TestBufferedBodiesAreBounded(t *testing.T) {
	budget := clientconn.NewMemoryBudget(3 * guaranteedBodyBuffer)
	var uploads []*upload
	buffered := 0
	for range 10 {
		u := &upload{source: bytes.NewReader(make([]byte, 2*MaxBufferedBody)),
			contentLength: 2 * MaxBufferedBody, bodyMemory: budget,
			headMemory:      clientconn.NewMemoryBudget(MaxBufferedBody),
			setReadDeadline: func(time.Time) error { return nil }}
		body, complete, err := u.buffer()
		if err != nil || complete || len(body) < guaranteedBodyBuffer {
			t.Fatalf("buffered %d bytes, complete %v, error %v; want the guaranteed part of a larger body",
				len(body), complete, err)
		}
		buffered += cap(body)
		uploads = append(uploads, u)
	}
	if buffered > (10+3)*guaranteedBodyBuffer {
		t.Errorf("%d bytes are buffered, more than the budget and the guaranteed parts", buffered)
	}
	for _, u := range uploads {
		budget.Release(u.bodyReserved)
	}
	if budget.Used() != 0 {
		t.Errorf("%d bytes are still reserved after all were released", budget.Used())
	}
}
