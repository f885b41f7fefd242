// Package load runs the clients, which arrive as planned and make attempts, and the front, a load balancer
// that distributes their connections over the proxies. It records all events with the referee and never
// checks a rule itself.
//
// The load is an open loop: an arrival does not wait for earlier ones, and its latency counts from the
// planned time. The lateness of each arrival is recorded, so that a run in which the lab was late can be
// recognized.
package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/link"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
	"merlinpick/internal/faultlab/sleep"
	"merlinpick/internal/faultlab/stubserver"
	"merlinpick/internal/faultlab/wire"
)

const (
	// How long a client waits after its time, which counts from the last byte that it wrote, for a late response.
	lateResponseWindow = 600 * time.Millisecond
	// With this maximum, half of the cancellations come before most responses.
	maxCancelDelay   = 300 * time.Millisecond
	minAttemptTime   = 20 * time.Millisecond // there is no retry with less time before the deadline
	maxResponseBytes = 64 << 20
)

// Client makes the requests of all clients of a plan.
type Client struct {
	experiment *experiment.Experiment
	plan       *plan.Plan
	front      *Front
	referee    *referee.Referee
	pools      map[string]*pool // by the clients' zone

	mu       sync.Mutex
	jobs     map[string]stubserver.Job // by the ID of the attempt; of attempts in flight
	rng      *rand.Rand
	lateness []time.Duration // of each arrival
	running  sync.WaitGroup
}

// New returns a Client for the arrivals of a plan.
func New(exp *experiment.Experiment, p *plan.Plan, f *Front, ref *referee.Referee) *Client {
	c := &Client{experiment: exp, plan: p, front: f, referee: ref, pools: map[string]*pool{}, jobs: map[string]stubserver.Job{},
		rng: p.Source("clients")}
	for _, z := range exp.Zones {
		c.pools[z.Name] = &pool{}
	}
	return c
}

// Job returns the work of a request, for servers. It returns false if the request's ID is unknown.
func (c *Client) Job(id string) (stubserver.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

// intn returns a random number from 0 to n-1. It is safe for concurrent use.
func (c *Client) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// drawCancel draws whether a client cancels an attempt.
func (c *Client) drawCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.experiment.Clients.CancelFraction > 0 && c.rng.Float64() < c.experiment.Clients.CancelFraction
}

// Run runs all arrivals, whose planned times count from start. It returns when every attempt has ended, or
// soon after the context has ended.
func (c *Client) Run(ctx context.Context, start time.Time) {
	sweepCtx, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for sleep.For(sweepCtx, sweepInterval) {
			for _, p := range c.pools {
				p.sweep(c.referee)
			}
		}
	}()
	for i := range c.plan.Arrivals {
		arrival := &c.plan.Arrivals[i]
		if !sleep.For(ctx, time.Until(start.Add(arrival.At))) {
			break
		}
		late := time.Since(start.Add(arrival.At))
		c.mu.Lock()
		c.lateness = append(c.lateness, late)
		c.mu.Unlock()
		c.running.Go(func() { c.runClient(ctx, arrival, start.Add(arrival.At)) })
	}
	c.running.Wait()
	for _, p := range c.pools {
		p.sweep(c.referee)
	}
}

// Lateness returns the delay of each arrival so far.
func (c *Client) Lateness() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Duration(nil), c.lateness...)
}

// attemptResult is the outcome of an attempt as the client sees it, with the Retry-After of the response.
type attemptResult struct {
	outcome    referee.Outcome
	retryAfter time.Duration
}

// attemptRequest is an attempt with the bytes of its request and the work that it causes at a server.
type attemptRequest struct {
	attempt *referee.ClientAttempt
	bytes   []byte
	job     stubserver.Job
}

// runClient runs one client, from its first attempt to its last.
func (c *Client) runClient(ctx context.Context, arrival *plan.Arrival, planned time.Time) {
	class := c.experiment.Classes[arrival.Class]
	deadline := planned.Add(experiment.Millis(class.DeadlineMs))
	firstExecution := time.Time{} // earliest end of an attempt that may have been executed
	for number := 0; number <= c.experiment.Clients.Retries; number++ {
		left := time.Until(deadline)
		if left < minAttemptTime && number > 0 {
			return
		}
		result := c.attempt(ctx, arrival, number, min(arrival.AttemptTimeout, left))
		if result.outcome == referee.Served || ctx.Err() != nil {
			return
		}
		notExecuted := result.outcome == referee.Rejected || result.outcome == referee.Unreached
		if firstExecution.IsZero() && !notExecuted {
			firstExecution = time.Now()
		}
		if !mayRetry(class, firstExecution, notExecuted) {
			return
		}
		if !sleep.For(ctx, max(result.retryAfter, experiment.Millis(c.experiment.Clients.WaitMs))) {
			return
		}
	}
}

// mayRetry reports whether the class allows a retry. firstExecution is the end of the first attempt that may
// have been executed, or zero if there is none; notExecuted reports whether the last attempt certainly was
// not executed.
func mayRetry(class experiment.Class, firstExecution time.Time, notExecuted bool) bool {
	switch {
	case class.RetryClass == "idempotent":
		return true
	case class.RetryClass == "deduplicated" && class.KeyScope == "all" &&
		(firstExecution.IsZero() || time.Since(firstExecution) < experiment.Millis(class.KeyWindowMs)):
		return true
	}
	return notExecuted && firstExecution.IsZero()
}

// attempt makes one attempt. It returns no later than the attempt's deadline; late responses are read in the
// background.
func (c *Client) attempt(ctx context.Context, arrival *plan.Arrival, number int, timeout time.Duration) attemptResult {
	request := c.newRequest(arrival, number, timeout)
	ended := make(chan attemptResult, 1)
	c.running.Go(func() {
		ended <- c.exchange(ctx, request)
		c.mu.Lock()
		delete(c.jobs, request.attempt.ID)
		c.mu.Unlock()
	})
	deadline := time.NewTimer(time.Until(request.attempt.Deadline))
	defer deadline.Stop()
	select {
	case result := <-ended:
		return result
	case <-deadline.C:
		return attemptResult{outcome: referee.Unanswered}
	}
}

// newRequest returns the request of an attempt that starts now.
func (c *Client) newRequest(arrival *plan.Arrival, number int, timeout time.Duration) *attemptRequest {
	class, now := c.experiment.Classes[arrival.Class], time.Now()
	attempt := &referee.ClientAttempt{ID: c.plan.ID(arrival, number), Arrival: arrival.Number, Number: number,
		Class: arrival.Class, Zone: c.experiment.Zones[arrival.Zone].Name, StartedAt: now,
		Deadline: now.Add(timeout), Path: "/" + class.Name, Method: http.MethodPost, Key: arrival.Key}
	var body []byte
	if class.RetryClass == "idempotent" {
		attempt.Method = http.MethodGet
	} else {
		body = wire.MakeBody(attempt.ID, "client", arrival.RequestBytes)
	}
	attempt.RequestDigest = wire.Digest(body)
	header := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n",
		attempt.Method, attempt.Path, wire.RequestID, attempt.ID, wire.RequestClass, class.Name,
		wire.RequestTimeout, timeout.Milliseconds())
	if attempt.Key != "" {
		header += wire.IdempotencyKey + ": " + attempt.Key + "\r\n"
	}
	if number > 0 && c.experiment.Clients.MarkRetry {
		header += wire.ClientRetry + ": 1\r\n"
	}
	if attempt.Method == http.MethodPost {
		header += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	return &attemptRequest{attempt: attempt, bytes: append([]byte(header+"\r\n"), body...),
		job: stubserver.Job{Work: arrival.Work, ResponseBytes: arrival.ResponseBytes}}
}

// exchange sends a request and reads the response. If a reused connection was closed before the proxy could
// read the request, the request is sent again on a new connection.
func (c *Client) exchange(ctx context.Context, request *attemptRequest) attemptResult {
	attempt := request.attempt
	conn := c.pools[attempt.Zone].take(c.intn, c.referee)
	fresh := conn == nil
	for {
		if conn == nil {
			var err error
			if conn, err = c.dial(ctx, attempt); err != nil {
				c.referee.RecordSend(attempt, "")
				c.referee.RecordUnreachable(attempt, time.Now())
				return attemptResult{outcome: referee.Unreached}
			}
		}
		result, resend := c.sendOn(ctx, conn, request, fresh)
		if !resend {
			return result
		}
		c.referee.UpdateTally(func(tally *referee.Tally) { tally.Resent++ })
		conn, fresh = nil, true
	}
}

// errNoProxy is returned if the front has no admitted proxy for a zone.
var errNoProxy = errors.New("the front has no admitted proxy for the zone")

// dial opens a connection for an attempt, to a proxy that the front chooses.
func (c *Client) dial(ctx context.Context, attempt *referee.ClientAttempt) (*clientConn, error) {
	proxy, ok := c.front.choose(attempt.Zone)
	if !ok {
		return nil, errNoProxy
	}
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	conn, err := proxy.dialers[attempt.Zone].Dial(ctx, proxy.Address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), proxy: proxy}, nil
}

// sendOn sends a request on a connection and reads the response. It returns resend if the connection was a
// reused one, not a fresh one, and was closed before the proxy could read the request.
func (c *Client) sendOn(ctx context.Context, conn *clientConn, request *attemptRequest, fresh bool) (
	result attemptResult, resend bool) {
	attempt, job := request.attempt, request.job
	job.Proxy = conn.proxy.Name
	c.mu.Lock()
	c.jobs[attempt.ID] = job
	c.mu.Unlock()
	c.referee.RecordSend(attempt, conn.proxy.Name)
	_ = conn.SetReadDeadline(attempt.Deadline.Add(lateResponseWindow))
	var writtenAt atomic.Pointer[time.Time]
	if err := conn.WriteThen(request.bytes, func(at time.Time) {
		writtenAt.Store(&at)
		c.referee.RecordWritten(attempt, at)
		_ = conn.SetReadDeadline(at.Add(attempt.Deadline.Sub(attempt.StartedAt) + lateResponseWindow))
	}); err != nil {
		return attemptResult{}, true
	}
	var canceled atomic.Bool
	if c.drawCancel() {
		cancel := time.AfterFunc(time.Duration(c.intn(int(maxCancelDelay))), func() {
			if c.referee.RecordClientCancel(attempt, time.Now()) {
				canceled.Store(true)
				conn.Reset()
			}
		})
		defer cancel.Stop()
	}
	if _, err := conn.reader.Peek(1); err != nil {
		defer conn.Reset()
		now := time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.referee.RecordTimeout(attempt, now)
			return attemptResult{outcome: referee.Unanswered}, false
		}
		if canceled.Load() {
			return attemptResult{outcome: referee.Unanswered}, false
		}
		written := writtenAt.Load()
		unread := written == nil || conn.PeerClosedBeforeWrite() || conn.LastReadAt().Before(*written) ||
			link.IsReset(err)
		if !fresh && unread && ctx.Err() == nil && now.Before(attempt.Deadline) {
			c.referee.RecordWritten(attempt, time.Time{})
			return attemptResult{}, true
		}
		c.referee.RecordConnectionClosed(attempt, now, false, fresh)
		return attemptResult{outcome: referee.Unreached}, false
	}
	return c.finish(conn, attempt), false
}

// finish reads and records the response, whose first byte has arrived, and keeps the connection if it can be
// reused.
func (c *Client) finish(conn *clientConn, attempt *referee.ClientAttempt) (result attemptResult) {
	response, digest, err := readResponse(conn.reader)
	now := time.Now()
	if err != nil {
		conn.Reset()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.referee.RecordTimeout(attempt, now)
			return attemptResult{outcome: referee.Unanswered}
		}
		c.referee.RecordConnectionClosed(attempt, now, true, false)
		return attemptResult{outcome: referee.Failed}
	}
	c.referee.RecordReceived(attempt, conn.LastReadAt())
	result.outcome = c.referee.RecordResponse(attempt, now, response.StatusCode, digest)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 {
		result.retryAfter = min(time.Duration(seconds*float64(time.Second)),
			experiment.Millis(c.experiment.Proxy.MaxRetryAfterMs))
	}
	conn.lastAttempt = attempt
	switch {
	case response.Close:
		if conn.reader.Buffered() > 0 {
			c.referee.RecordExtraBytes(attempt, now)
		}
		conn.Close()
	case !conn.isUnusable(c.referee):
		c.pools[attempt.Zone].put(conn)
	}
	return result
}

// readResponse reads a complete final response, and returns it with the digest of its body.
func readResponse(r *bufio.Reader) (*http.Response, uint64, error) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, 0, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
		if err != nil {
			return nil, 0, err
		}
		return resp, wire.Digest(body), nil
	}
}
