package proxy

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"fernlanding/internal/discovery"
)

// The ways in which a client goes; each with what it has sent behind its request.
var departures = []struct {
	name, behind string
	leave        func(*client)
}{
	{"closes", "", (*client).fin},
	{"resets", "", (*client).reset},
	{"ends its sending", "", (*client).half},
	{"closes behind a request", look("next", 4000), (*client).fin},
	{"resets behind a request", look("next", 4000), (*client).reset},
	{"closes behind half a request", look("next", 4000)[:20], (*client).fin},
	{"ends its sending behind much", strings.Repeat("x", 2*aheadMost), (*client).half},
}

func (c *client) tcp() *net.TCPConn { return c.Conn.(*net.TCPConn) }
func (c *client) fin()              { c.Close() }
func (c *client) half()             { _ = c.tcp().CloseWrite() }
func (c *client) reset()            { _ = c.tcp().SetLinger(0); c.Close() }

// nothingLeft checks the books once a client has gone: no request, attempt or connection that is in use.
func nothingLeft(t *testing.T, p *running) {
	t.Helper()
	waitUntil(t, func() bool {
		reqs := make(chan int, 1)
		p.loop.post(func() { reqs <- len(p.loop.reqs) })
		left := <-reqs
		pool := p.loop.pool
		pool.mu.Lock()
		defer pool.mu.Unlock()
		idle := 0
		for _, b := range pool.byName {
			idle += len(b.idle)
		}
		holds := p.front.holds
		holds.mu.Lock()
		defer holds.mu.Unlock()
		return left == 0 && pool.open == idle && p.Figures().Outstanding == 0 && holds.used == 0
	})
}

// A client that goes while its attempt is out takes that along, whatever it has sent behind its request.
func TestADepartureEndsTheAttemptThatIsOut(t *testing.T) {
	long := strings.NewReplacer("4000000", "60000000", "8000000", "90000000").Replace(siteText) // no attempt ends by itself
	for _, text := range []string{look("1", 60_000), post("1", "Transfer-Encoding: chunked") + "1\r\nx\r\n0\r\n\r\n"} {
		for _, d := range departures {
			if len(d.behind) > aheadMost {
				continue // not noticed: its attempt ends in its own time, and no other follows
			}
			t.Run(text[:5]+d.name, func(t *testing.T) {
				b := startBackend(t, hang(t))
				p := startSite(t, long, startDiscovery(t).addr, 200, listText(1, true, listed("a", b.addr, discovery.Serving)), t.TempDir())
				cl := connect(t, p)
				cl.send(t, text+d.behind)
				waitUntil(t, func() bool { return b.requests.Load() == 1 })
				d.leave(cl)
				nothingLeft(t, p)
			})
		}
	}
}

// A server that ends its sending has given its answer up: the attempt is over, and its connection is closed.
func TestAServerThatEndsItsSendingIsLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	closed := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_ = c.(*net.TCPConn).CloseWrite()
		_, err = c.Read(make([]byte, 1)) // the proxy's side of it
		closed <- err
	}()
	p := startProxy(t, startDiscovery(t).addr, 200, listText(1, true, listed("a", l.Addr().String(), discovery.Serving)))
	cl := connect(t, p)
	cl.send(t, post("1", "Content-Length: 0"))
	if resp, _ := cl.answer(t); resp.StatusCode != http.StatusBadGateway { // it may have run
		t.Errorf("got %s", resp.Status)
	}
	if err := wait(t, "end of the server's connection", closed); err == nil {
		t.Error("bytes came")
	}
	nothingLeft(t, p)
}
