package misbehavingclient

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// TestRunReportsTheAnswer checks that Run reports a proxy that leaves a misbehaving client unanswered or
// serves it, and not one that rejects the request or closes the connection. It also checks that all
// misbehaviors are drawn.
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
			err = Misbehavior{Name: "incomplete head", chunks: []string{"GET / HT"}}.
				Run(t.Context(), l.Addr().String())
			if (err != nil) != c.bad {
				t.Errorf("Run returned the wrong result: %v", err)
			}
			if c.name == "keeps it" && !errors.Is(err, ErrUnanswered) {
				t.Errorf("Run returned %v, want %v", err, ErrUnanswered)
			}
		})
	}
	r := rand.New(rand.NewPCG(1, 2))
	seen := map[string]bool{}
	for range 500 {
		seen[Draw(r, "alta").Name] = true
	}
	if len(seen) < 14 {
		t.Errorf("%d different misbehaviors drawn, want at least 14", len(seen))
	}
}
