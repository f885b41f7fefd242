package downstream

import (
	"testing"
	"time"

	"merlinpick/balancer"
	"merlinpick/internal/proxy/proxytest"
)

// holdResponses makes requests wait before they are answered, until release is called.
func holdResponses(h *hooks) (release func()) {
	gate := make(chan struct{})
	wait := func() { <-gate }
	h.request.Store(&wait)
	return func() { h.request.Store(nil); close(gate) }
}

// startDrain starts a drain with no accept period and a cutoff after left, and returns once responses carry
// Connection: close. ended is closed when the drain has ended.
func startDrain(t *testing.T, srv *Server, untilCutoff time.Duration) (ended chan struct{}) {
	t.Helper()
	ended = make(chan struct{})
	go func() {
		defer close(ended)
		srv.Drain(0, time.Now().Add(untilCutoff), func() bool { return false })
	}()
	proxytest.WaitUntil(t, srv.closing.Load)
	return ended
}

// TestQueuedConnectionsAreAcceptedBeforeListenerCloses guards against a drain that closes the listener while
// connections wait in the kernel for a slot, which resets them.
func TestQueuedConnectionsAreAcceptedBeforeListenerCloses(t *testing.T) {
	srv, h, requests := startHooked(t, 2, "ok")
	release := holdResponses(h)
	var clients []*proxytest.Client
	for i := range 6 { // two are served, the others wait in the kernel
		c := connect(t, srv)
		c.Send(t, proxytest.LookRequest("1", 4000))
		clients = append(clients, c)
		proxytest.WaitUntil(t, func() bool { return int(requests.Load()) == min(i+1, 2) })
	}
	ended := startDrain(t, srv, proxytest.Timeout)
	time.Sleep(5 * drainPollInterval) // gives a listener that closes too early the time to do so
	release()
	for i, c := range clients {
		if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" || !resp.Close {
			t.Errorf("client %d: got %s %q, close %v; want a 200 \"ok\" with Connection: close",
				i, resp.Status, body, resp.Close)
		}
	}
	proxytest.Receive(t, "end of the drain", ended)
}

// TestResponsesAtCutoffAreWritten guards against a drain that closes the connections 20 ms after the cutoff,
// before the responses to the requests that the cutoff ended are written.
func TestResponsesAtCutoffAreWritten(t *testing.T) {
	srv, h, requests := startHooked(t, 2, "ok")
	release := holdResponses(h)
	c := connect(t, srv)
	c.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return requests.Load() == 1 })
	ended := startDrain(t, srv, 0)
	select {
	case <-ended:
		t.Error("the drain ended before a request in flight was answered")
	case <-time.After(responseFlushMargin / 2):
	}
	release()
	if resp, body := c.ReadResponse(t); resp.StatusCode != 200 || body != "ok" {
		t.Errorf("got %s %q, want a 200 \"ok\"", resp.Status, body)
	}
	proxytest.Receive(t, "end of the drain", ended)
}

// TestDrainEndsInTime checks that a request that is never answered, on a connection that the client does not
// close, does not extend a drain.
func TestDrainEndsInTime(t *testing.T) {
	srv, h, requests := startHooked(t, 4, "ok")
	release := holdResponses(h)
	defer release()
	c := connect(t, srv)
	c.Send(t, proxytest.LookRequest("1", 4000))
	proxytest.WaitUntil(t, func() bool { return requests.Load() == 1 })
	start := time.Now()
	proxytest.Receive(t, "end of the drain", startDrain(t, srv, 2*cutoffMargin))
	if took := time.Since(start); took > 2*cutoffMargin+responseFlushMargin+proxytest.Timeout/10 {
		t.Errorf("the drain took %v, want it to end soon after the cutoff", took)
	}
}

// TestDrainTimesOfAnySettings checks for any settings that new connections are accepted for 400 ms after
// SIGTERM, that the drain ends before SIGKILL, which follows the longest deadline (3 s at most) by 700 ms,
// and that between the listener's close and the cutoff there is time for the last requests.
func TestDrainTimesOfAnySettings(t *testing.T) {
	for _, deadline := range []time.Duration{time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
		250 * time.Millisecond, time.Second, 2999 * time.Millisecond, 3 * time.Second, 8 * time.Second, time.Minute} {
		for _, part := range []float64{0, 0.01, 0.3, 0.7, 1} {
			objective := time.Duration(part * float64(deadline))
			acceptFor, endWithin := DrainTimes([]balancer.Class{
				{Deadline: deadline.Microseconds(), LatencyObjective: objective.Microseconds()},
				{Deadline: 1, LatencyObjective: 1}})
			kill := min(deadline, 3*time.Second) + 700*time.Millisecond
			if acceptFor < 400*time.Millisecond || acceptFor > endWithin-cutoffMargin ||
				endWithin+responseFlushMargin+2*drainPollInterval > kill {
				t.Errorf("deadline %v, objective %v: listener closes at %v, cutoff at %v, SIGKILL at %v",
					deadline, objective, acceptFor, endWithin, kill)
			}
		}
	}
}

// TestClientsAreServedWhileDraining guards against a listener that closes at once on SIGTERM: before the next
// proxy has started, clients with a kept-alive connection would have no proxy to connect to.
func TestClientsAreServedWhileDraining(t *testing.T) {
	for _, c := range []struct{ deadline, objective, acceptFor, endWithin time.Duration }{
		{5 * time.Second, 2 * time.Second, 1500 * time.Millisecond, 3500 * time.Millisecond},
		{8 * time.Second, 4 * time.Second, minDrainAcceptPeriod, 3500 * time.Millisecond},
		{time.Second, 400 * time.Millisecond, 1100 * time.Millisecond, 1500 * time.Millisecond},
	} {
		acceptFor, endWithin := DrainTimes([]balancer.Class{
			{Deadline: c.deadline.Microseconds(), LatencyObjective: c.objective.Microseconds()},
			{Deadline: 1, LatencyObjective: 1}})
		if acceptFor != c.acceptFor || endWithin != c.endWithin {
			t.Errorf("deadline %v, objective %v: got accept period %v and cutoff %v, want %v and %v",
				c.deadline, c.objective, acceptFor, endWithin, c.acceptFor, c.endWithin)
		}
	}
}
