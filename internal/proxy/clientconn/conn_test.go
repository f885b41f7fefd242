package clientconn

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
)

const getRequest = "GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: 1\r\nRequest-Class: look\r\nTenant: acme\r\n" +
	"Request-Timeout-Ms: 9\r\n\r\n"

// readConn is a connection whose Read reads from r. Its other methods are not used.
type readConn struct {
	net.Conn
	r io.Reader
}

func (c readConn) Read(p []byte) (int, error) { return c.r.Read(p) }

// TestPlainRequestsPassUnchanged checks that requests with unambiguous framing pass unchanged, however their
// bytes arrive.
func TestPlainRequestsPassUnchanged(t *testing.T) {
	text := getRequest + "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\na\nb\r\n\r\n" +
		"POST /b HTTP/1.1\r\nHost: h\r\ncontent-length:0\r\n\r\n" +
		"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
	for name, r := range map[string]io.Reader{
		"at once":      strings.NewReader(text),
		"byte by byte": iotest.OneByteReader(strings.NewReader(text)),
		"in halves":    iotest.HalfReader(strings.NewReader(text)),
	} {
		got, err := io.ReadAll(&Conn{Conn: readConn{r: r}})
		if err != nil || string(got) != text {
			t.Errorf("%s: error %v, got %q, want the input unchanged", name, err, got)
		}
	}
}

// FuzzFraming checks that no input makes a connection panic, and that each line that it passes is part of the
// input, except for MalformedHead in place of a bad head.
func FuzzFraming(f *testing.F) {
	f.Add(getRequest + getRequest)
	f.Add("\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 9223372036854775807\r\n\r\nx")
	f.Add("GET / HTTP/1.1\n\n")
	f.Add("\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		got, err := io.ReadAll(&Conn{Conn: readConn{r: iotest.HalfReader(strings.NewReader(text))}})
		if err != nil {
			t.Fatal(err)
		}
		passed := strings.TrimSuffix(string(got), MalformedHead)
		for _, part := range strings.Split(passed, "\r\n") {
			if !strings.Contains(text, part) {
				t.Errorf("passed %q, which is not in the input %q", part, text)
			}
		}
	})
}
