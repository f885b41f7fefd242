package proxytest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"
)

// SiteJSON holds a proxy's settings with the classes look (idempotent), rate (idempotent with a key) and post
// (not idempotent).
const SiteJSON = `{"contract":{"cold_us":1000000,"start_capacity":0.3},"failure_domains":["a"],"limits":{` +
	`"dial_timeout_us":5000000,"idle_close_us":30000000,"max_retry_after_us":2000000,"retry_after":true,"try_limit":3},` +
	`"membership_mode":"automatic","my_zone":0,"ordinal":0,"profiles":[` +
	`{"give_up_us":8000000,"name":"look","objective_us":4000000,"repeat":"idempotent","worth":1},` +
	`{"dedup_scope":"cell","dedup_window_us":9000000,"give_up_us":8000000,"name":"rate","objective_us":4000000,"repeat":"deduplicated","worth":1},` +
	`{"give_up_us":8000000,"name":"post","objective_us":4000000,"repeat":"at_most_once","worth":1}],` +
	`"siblings":1,"stage":0,"tenants":[{"name":"acme","portion":1,"quota_per_s":1000}],"weights":"off"}`

// Client is a client with one connection.
type Client struct {
	net.Conn
	Reader *bufio.Reader // reads from Conn
}

// Send writes a text to the connection.
func (c *Client) Send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// ReadResponse reads a response and its body.
func (c *Client) ReadResponse(t *testing.T) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(c.Reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// LookRequest returns a request of class look with a Request-Timeout-Ms of timeoutMs.
func LookRequest(id string, timeoutMs int) string {
	return fmt.Sprintf("GET /look/k HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Class: look\r\nTenant: acme\r\n"+
		"Request-Timeout-Ms: %d\r\n\r\n", id, timeoutMs)
}

// PostRequest returns the head of a request of class post, with framing as the header line that frames its
// body.
func PostRequest(id, framing string) string {
	return "POST /post/k HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nRequest-Class: post\r\n" + framing + "\r\n\r\n"
}

// NewClient returns a client on an open connection.
func NewClient(c net.Conn) *Client { return &Client{Conn: c, Reader: bufio.NewReader(c)} }

// TCP returns the client's TCP connection.
func (c *Client) TCP() *net.TCPConn { return c.Conn.(*net.TCPConn) }

// Fin closes the connection in order, with a FIN.
func (c *Client) Fin() { c.Close() }

// CloseWrite shuts down the sending side of the connection.
func (c *Client) CloseWrite() { _ = c.TCP().CloseWrite() }

// Reset closes the connection with a reset.
func (c *Client) Reset() { _ = c.TCP().SetLinger(0); c.Close() }

// Connect returns a client with a new connection to an address, which is closed when the test ends.
func Connect(t *testing.T, address string) *Client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(Timeout))
	return NewClient(c)
}

var dateLine = regexp.MustCompile(`Date: [^\r]* GMT`)

// RawExchange sends a text on a new connection and returns the bytes of the response, and of all that follows
// if the response closes the connection. The value of a Date header is replaced with D.
func RawExchange(t *testing.T, addr, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(Timeout))
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	var seen strings.Builder
	resp, err := http.ReadResponse(bufio.NewReaderSize(io.TeeReader(c, &seen), 16), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	if resp.Close {
		_, _ = io.Copy(&seen, c)
	}
	return dateLine.ReplaceAllString(seen.String(), "Date: D")
}
