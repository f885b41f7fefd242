package stubserver

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/wire"
)

// fixedWorkLab is a Lab that gives every request the same work.
type fixedWorkLab struct {
	work       time.Duration
	overloaded chan string
}

func (w fixedWorkLab) Job(string) (Job, bool) {
	return Job{Work: w.work, ResponseBytes: 10, Proxy: "p"}, true
}
func (w fixedWorkLab) OverloadFailed(name string) { w.overloaded <- name }

// newServer returns a server behind a link, with its lab, referee and address.
func newServer(t testing.TB, spec Spec, work time.Duration) (*Server, fixedWorkLab, *referee.Referee,
	string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	ref := referee.New(referee.Config{Classes: []referee.Class{{Name: "c"}}, MaxAttempts: 9, HedgingAllowed: true})
	w := fixedWorkLab{work, make(chan string, 1)}
	spec.Name, spec.IdleTimeout = "s", time.Minute
	if spec.MaxConnections == 0 {
		spec.MaxConnections = 1000
	}
	server := New(spec, w, ref)
	lnk := link.New(1)
	if _, err := lnk.Listen(link.Ends{To: "s"}, addr, 0, server.Serve); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(lnk.Close)
	return server, w, ref, addr
}

// sendRequest sends a request on a new connection and returns the status of the response; 0 if there was
// none.
func sendRequest(ref *referee.Referee, addr, id string, timeout time.Duration) (status int, notStarted bool) {
	ref.RecordSend(&referee.ClientAttempt{ID: id, Method: "GET", Path: "/c", RequestDigest: wire.Digest(nil)}, "p")
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return 0, false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(c, "GET /c HTTP/1.1\r\nHost: x\r\n%s: %s\r\n%s: %d\r\n\r\n", wire.RequestID, id, wire.RequestTimeout, timeout.Milliseconds())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(wire.NotStarted) == "1"
}

// TestResponses checks that a server's response depends on its state and faults. Work takes forever where
// only its start matters.
func TestResponses(t *testing.T) {
	const forever = time.Hour
	one := Spec{Slots: 1, Speed: 1, Queue: 1}
	for _, test := range []struct {
		name       string
		spec       Spec
		work       time.Duration
		before     func(server *Server)
		hold       int // requests that are in flight before
		timeout    time.Duration
		status     int
		notStarted bool
	}{
		{name: "serves", spec: one, timeout: time.Minute, status: 200},
		{name: "fails", spec: one, before: func(server *Server) { server.ApplyFault(Fault{ErrorFraction: 1}) }, timeout: time.Minute, status: 500},
		{name: "two faults, one ended", spec: one, before: func(server *Server) {
			server.ApplyFault(Fault{ErrorFraction: 1})
			server.ApplyFault(Fault{ErrorFraction: 1})()
		},
			timeout: time.Minute, status: 500},
		{name: "no fault left", spec: one, before: func(server *Server) { server.ApplyFault(Fault{Hangs: true})() }, timeout: time.Minute, status: 200},
		{name: "hangs", spec: one, before: func(server *Server) { server.ApplyFault(Fault{Hangs: true}) }, timeout: 50 * time.Millisecond},
		{name: "draining", spec: one, before: func(server *Server) { server.Drain(true) }, timeout: time.Minute, status: 503, notStarted: true},
		{name: "queue full", spec: one, work: forever, hold: 2, timeout: time.Minute, status: 503, notStarted: true},
		{name: "waits in the queue", spec: one, work: forever, hold: 1, timeout: 50 * time.Millisecond},
		{name: "too many connections", spec: Spec{Slots: 9, Speed: 1, MaxConnections: 1}, work: forever, hold: 1, timeout: time.Minute,
			status: 503, notStarted: true},
		{name: "dead", spec: one, before: func(server *Server) { server.Stop() }, timeout: 50 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			server, _, ref, addr := newServer(t, test.spec, test.work)
			server.Start(time.Time{}, false)
			if test.before != nil {
				test.before(server)
			}
			for i := range test.hold {
				go sendRequest(ref, addr, fmt.Sprint("held", i), 10*time.Second)
			}
			for in := 0; in < test.hold; time.Sleep(time.Millisecond) {
				server.locked(func() { in = server.busy + len(server.queue) })
			}
			if status, notStarted := sendRequest(ref, addr, "x", test.timeout); status != test.status ||
				notStarted != test.notStarted {
				t.Errorf("got status %d, Not-Started %v; want %d, %v", status, notStarted, test.status,
					test.notStarted)
			}
		})
	}
}

// TestRequestWithoutTimeLeftIsNotExecuted checks that a request whose timeout is 0 on arrival is answered
// with 504 and Not-Started.
func TestRequestWithoutTimeLeftIsNotExecuted(t *testing.T) {
	server, _, ref, addr := newServer(t, Spec{Slots: 1, Speed: 1, Queue: 1}, time.Hour)
	server.Start(time.Time{}, false)
	ref.RecordSend(&referee.ClientAttempt{ID: "x", Method: "GET", Path: "/c", RequestDigest: wire.Digest(nil)}, "p")
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintf(c, "GET /c HTTP/1.1\r\nHost: x\r\n%s: x\r\n%s: 0\r\n\r\n", wire.RequestID, wire.RequestTimeout)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout || resp.Header.Get(wire.NotStarted) != "1" {
		t.Errorf("got response %v and error %v, want status 504 with Not-Started", resp, err)
	}
}

// TestCanceledRequestsFreeTheirPlaces checks that a canceled request frees its place in the queue, and its
// slot if the server cancels work.
func TestCanceledRequestsFreeTheirPlaces(t *testing.T) {
	server, _, ref, addr := newServer(t, Spec{Slots: 1, Speed: 1, Queue: 1, CancelsWork: true}, time.Hour)
	server.Start(time.Time{}, false)
	holding := func() (in int) { server.locked(func() { in = server.busy + len(server.queue) }); return in }
	var long sync.WaitGroup
	long.Go(func() { sendRequest(ref, addr, "long", 3*time.Second) })
	waitUntil := func(what string, holds func() bool) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("timed out waiting for ", what)
			}
		}
	}
	waitUntil("the slot to be taken", func() bool { return holding() == 1 })
	left := make(chan bool)
	go func() { long.Wait(); close(left) }()
	sendRequest(ref, addr, "queued", 50*time.Millisecond)
	waitUntil("the queue to be empty, while the slot is taken", func() bool {
		select {
		case <-left:
			t.Fatal("the place in the queue was not given back before the slot was")
		default:
		}
		return holding() <= 1
	})
	long.Wait()
	waitUntil("the slot to be free", func() bool { return holding() == 0 })
	for i := range 3 {
		var both sync.WaitGroup
		for j := range 2 {
			both.Go(func() {
				if status, _ := sendRequest(ref, addr, fmt.Sprint(i, j), 100*time.Millisecond); status == 503 {
					t.Errorf("round %d: the request was rejected, though both places should be free", i)
				}
			})
		}
		both.Wait()
		waitUntil("both places to be free", func() bool { return holding() == 0 })
	}
}

// TestOverloadBudget checks that a server in slow start fails if the work exceeds its budget and not below
// it, and that a server at full capacity never fails.
func TestOverloadBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name       string
		cold       bool
		age        time.Duration // at the last arrival
		work       time.Duration // total, in 20 equal requests over a second
		overloaded bool
	}{
		// 3 times (0.5 of capacity at the window's middle, 1 slot of speed 1) for 2 s: some 3.3 s of work at
		// first.
		{"within", true, time.Second, 3 * time.Second, false},
		{"over", true, time.Second, 5 * time.Second, true},
		{"over, but warmer", true, 8 * time.Second, 5 * time.Second, false},
		{"warm", false, time.Second, time.Hour, false},
	} {
		server := New(Spec{Slots: 1, Speed: 1, StartCapacity: 0.5, SlowStart: 10 * time.Second, OverloadMultiple: 3, OverloadWindow: 2 * time.Second}, nil, nil)
		server.Start(now, test.cold)
		overloaded := false
		for i := range 20 {
			at := now.Add(test.age - time.Second + time.Duration(i)*50*time.Millisecond)
			overloaded = server.detectOverload(at, test.work/20, "p") != nil || overloaded
		}
		if overloaded != test.overloaded {
			t.Errorf("%s: the server failed under overload: %v, want the opposite", test.name, overloaded)
		}
	}
}
