package misbehavingclient

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// A server that leaves a misbehaving client unanswered or serves it is reported; one that rejects it or closes is not.
func TestRunReportsTheAnswer(t *testing.T) {
	for _, c := range []struct {
		name string
		does func(net.Conn)
		bad  bool
	}{
		{"closes", func(c net.Conn) { c.Close() }, false},
		{"answers 400", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n") }, false},
		{"keeps it", func(net.Conn) { time.Sleep(AnswerTimeout + time.Second) }, true},
		{"serves it", func(c net.Conn) { _, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err == nil {
					defer conn.Close()
					c.does(conn)
				}
			}()
			err = Misbehavior{Name: "half a head", chunks: []string{"GET / HT"}}.Run(t.Context(), l.Addr().String())
			if (err != nil) != c.bad {
				t.Errorf("got %v", err)
			}
			if c.name == "keeps it" && !errors.Is(err, ErrUnanswered) {
				t.Errorf("got %v, want %v", err, ErrUnanswered)
			}
		})
	}
	r := rand.New(rand.NewPCG(1, 2))
	seen := map[string]bool{}
	for range 500 {
		seen[Draw(r, "alta").Name] = true
	}
	if len(seen) < 14 {
		t.Errorf("only %d ways are drawn", len(seen))
	}
}
