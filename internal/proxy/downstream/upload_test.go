package downstream

import (
	"bytes"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"merlinpick/internal/proxy/clientconn"
)

// slowReader gives pieces with pauses, and then nothing until its deadline.
type slowReader struct {
	piece    int
	pause    time.Duration
	left     int
	deadline time.Time
}

func (r *slowReader) Read(p []byte) (int, error) {
	if r.left == 0 || time.Now().Add(r.pause).After(r.deadline) {
		time.Sleep(time.Until(r.deadline))
		return 0, errors.New("deadline")
	}
	time.Sleep(r.pause)
	n := min(r.piece, r.left, len(p))
	r.left -= n
	return n, nil
}

// A client may be as slow as 64 kB a second, after a head that took 2 s; who stalls or drips is cut off in time.
func TestMinimumUploadRate(t *testing.T) {
	for _, c := range []struct {
		name     string
		r        slowReader
		complete bool
		most     time.Duration // until the end
	}{
		{"slow and steady", slowReader{piece: 640, pause: 10 * time.Millisecond, left: 200_000}, true, time.Minute},
		{"slow in large pieces", slowReader{piece: 16_000, pause: 250 * time.Millisecond, left: 200_000}, true, time.Minute},
		{"nothing", slowReader{}, false, clientconn.RequestReadTimeout},
		{"a stall after much", slowReader{piece: 1 << 20, left: 150_000}, false, clientconn.RequestReadTimeout},
		{"dripping", slowReader{piece: 10, pause: 200 * time.Millisecond, left: 200_000}, false, clientconn.RequestReadTimeout + time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				if c.complete {
					time.Sleep(2 * time.Second) // the head
				}
				u := &upload{source: &c.r, contentLength: 200_000, startedAt: began, lastReceived: time.Now(), bodyMemory: clientconn.NewMemoryBudget(1 << 20), headMemory: clientconn.NewMemoryBudget(MaxBufferedBody),
					setReadDeadline: func(at time.Time) error { c.r.deadline = at; return nil }}
				_, complete, err := u.buffer()
				if complete != c.complete || (err == nil) != c.complete {
					t.Errorf("complete %v, %v", complete, err)
				}
				if took := time.Since(began); took > c.most {
					t.Errorf("it took %v", took)
				}
			})
		})
	}
}

// Bodies are buffered while there is memory for it, and the guaranteed part of each in any case.
func TestBufferedBodiesAreBounded(t *testing.T) {
	h := clientconn.NewMemoryBudget(3 * guaranteedBodyBuffer)
	var all []*upload
	held := 0
	for range 10 {
		u := &upload{source: bytes.NewReader(make([]byte, 2*MaxBufferedBody)), contentLength: 2 * MaxBufferedBody, bodyMemory: h, headMemory: clientconn.NewMemoryBudget(MaxBufferedBody),
			setReadDeadline: func(time.Time) error { return nil }}
		body, complete, err := u.buffer()
		if err != nil || complete || len(body) < guaranteedBodyBuffer {
			t.Fatalf("%d bytes, complete %v, %v", len(body), complete, err)
		}
		held += cap(body)
		all = append(all, u)
	}
	if held > (10+3)*guaranteedBodyBuffer {
		t.Errorf("%d bytes are held", held)
	}
	for _, u := range all {
		h.Release(u.bodyReserved)
	}
	if h.Used() != 0 {
		t.Errorf("%d bytes counted after the end", h.Used())
	}
}
