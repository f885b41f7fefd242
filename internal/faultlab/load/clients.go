// Package load is the callers: clients that arrive by the plan, whatever came of earlier ones, with the tries that a
// client makes, and the front that spreads their connections over proxies.
//
// The loop is open: an arrival waits for nothing, and its time counts from the planned moment. How late the lab itself
// was at each arrival is measured, since a late lab measures itself.
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
	lateResponseWindow = 600 * time.Millisecond // to a connection whose request's time is over: what comes then is late, not lost
	// Clients that leave do so within this; half of it is before most answers.
	maxCancelDelay   = 300 * time.Millisecond
	minAttemptTime   = 20 * time.Millisecond // a try with less time is not made
	maxResponseBytes = 64 << 20
)

// Client plays the arrivals of a plan.
type Client struct {
	experiment *experiment.Experiment
	plan       *plan.Plan
	front      *Front
	referee    *referee.Referee
	pools      map[string]*pool

	mu       sync.Mutex
	jobs     map[string]stubserver.Job // by the id of a try that is out
	rng      *rand.Rand
	lateness []time.Duration // of each arrival
	running  sync.WaitGroup
}

// New is the clients of a run.
func New(exp *experiment.Experiment, p *plan.Plan, f *Front, ref *referee.Referee) *Client {
	c := &Client{experiment: exp, plan: p, front: f, referee: ref, pools: map[string]*pool{}, jobs: map[string]stubserver.Job{},
		rng: p.Source("clients")}
	for _, z := range exp.Zones {
		c.pools[z.Name] = &pool{}
	}
	return c
}

// Job tells servers what a request costs.
func (c *Client) Job(id string) (stubserver.Job, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	return j, ok
}

func (c *Client) intn(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.IntN(n)
}

// leaves draws whether the client of a try closes its connection before the answer.
func (c *Client) drawCancel() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.experiment.Clients.CancelFraction > 0 && c.rng.Float64() < c.experiment.Clients.CancelFraction
}

// Run plays all arrivals from start on, and returns once every try has ended, or soon after the context has.
func (c *Client) Run(ctx context.Context, start time.Time) {
	swept, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for sleep.For(swept, sweepInterval) {
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
		c.running.Go(func() { c.serveArrival(ctx, arrival, start.Add(arrival.At)) })
	}
	c.running.Wait()
	for _, p := range c.pools {
		p.sweep(c.referee)
	}
}

// Late is how late each arrival began.
func (c *Client) Lateness() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Duration(nil), c.lateness...)
}

// outcome is what a client learned of a try by its end, and when it may come again.
type attemptResult struct {
	outcome    referee.Outcome
	retryAfter time.Duration
}

// arrive is one client from its first try to its last.
func (c *Client) serveArrival(ctx context.Context, arrival *plan.Arrival, planned time.Time) {
	class := c.experiment.Classes[arrival.Class]
	giveUp := planned.Add(experiment.Millis(class.DeadlineMs))
	zone := c.experiment.Zones[arrival.Zone].Name
	firstRun := time.Time{} // when a try first may have run
	for n := 0; n <= c.experiment.Clients.Retries; n++ {
		left := time.Until(giveUp)
		if left < minAttemptTime && n > 0 {
			return
		}
		out := c.attempt(ctx, arrival, class, zone, n, min(arrival.Try, left))
		if out.outcome == referee.Served || ctx.Err() != nil {
			return
		}
		if firstRun.IsZero() && out.outcome != referee.Rejected && out.outcome != referee.Unreached {
			firstRun = time.Now()
		}
		harmless := out.outcome == referee.Rejected || out.outcome == referee.Unreached
		switch {
		case class.RetryClass == "idempotent":
		case class.RetryClass == "deduplicated" && class.KeyScope == "all" &&
			(firstRun.IsZero() || time.Since(firstRun) < experiment.Millis(class.KeyWindowMs)):
		case !harmless || !firstRun.IsZero():
			return
		}
		if !sleep.For(ctx, max(out.retryAfter, experiment.Millis(c.experiment.Clients.WaitMs))) {
			return
		}
	}
}

// try makes one try. It returns at the try's deadline at the latest; its connection is listened to for longer.
func (c *Client) attempt(ctx context.Context, arrival *plan.Arrival, class experiment.Class, zone string, n int,
	patience time.Duration) attemptResult {
	now := time.Now()
	attempt := &referee.ClientAttempt{ID: c.plan.ID(arrival, n), Arrival: arrival.N, Number: n, Class: arrival.Class, Zone: zone, StartedAt: now,
		Deadline: now.Add(patience), Path: "/" + class.Name, Method: http.MethodPost, Key: arrival.Key}
	var body []byte
	if class.RetryClass == "idempotent" {
		attempt.Method = http.MethodGet
	} else {
		body = wire.MakeBody(attempt.ID, "client", arrival.Body)
	}
	attempt.RequestDigest = wire.Digest(body)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", attempt.Method, attempt.Path,
		wire.RequestID, attempt.ID, wire.RequestClass, class.Name, wire.RequestTimeout, patience.Milliseconds())
	if attempt.Key != "" {
		head += wire.IdempotencyKey + ": " + attempt.Key + "\r\n"
	}
	if n > 0 && c.experiment.Clients.MarkRetry {
		head += wire.ClientRetry + ": 1\r\n"
	}
	if attempt.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	ended := make(chan attemptResult, 1)
	c.running.Go(func() {
		ended <- c.exchange(ctx, attempt, append([]byte(head+"\r\n"), body...), stubserver.Job{Work: arrival.Work, ResponseBytes: arrival.Answer})
		c.mu.Lock()
		delete(c.jobs, attempt.ID)
		c.mu.Unlock()
	})
	over := time.NewTimer(time.Until(attempt.Deadline))
	defer over.Stop()
	select {
	case out := <-ended:
		return out
	case <-over.C:
		return attemptResult{outcome: referee.Unanswered}
	}
}

// exchange sends a request and waits for its answer. A connection that was closed between requests, or crossed this
// one on its way, is followed by a new one.
func (c *Client) exchange(ctx context.Context, attempt *referee.ClientAttempt, request []byte, job stubserver.Job) attemptResult {
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
		out, again := c.sendOn(ctx, conn, attempt, request, job, fresh)
		if !again {
			return out
		}
		c.referee.UpdateTally(func(y *referee.Tally) { y.Resent++ })
		conn, fresh = nil, true
	}
}

func (c *Client) dial(ctx context.Context, attempt *referee.ClientAttempt) (*clientConn, error) {
	proxy, ok := c.front.choose(attempt.Zone)
	if !ok {
		return nil, errors.New("no proxy is admitted")
	}
	ctx, cancel := context.WithDeadline(ctx, attempt.Deadline)
	defer cancel()
	conn, err := proxy.dialers[attempt.Zone].Dial(ctx, proxy.Address)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn), proxy: proxy}, nil
}

// on sends a request on a connection. Again asks for it to be sent on a new one: this one had ended before the proxy
// could read it.
func (c *Client) sendOn(ctx context.Context, conn *clientConn, attempt *referee.ClientAttempt, request []byte, job stubserver.Job, fresh bool) (out attemptResult,
	again bool) {
	job.Proxy = conn.proxy.Name
	c.mu.Lock()
	c.jobs[attempt.ID] = job
	c.mu.Unlock()
	c.referee.RecordSend(attempt, conn.proxy.Name)
	var mu sync.Mutex
	var taken time.Time
	if err := conn.WriteThen(request, func(at time.Time) {
		mu.Lock()
		taken = at
		mu.Unlock()
		c.referee.RecordWritten(attempt, at)
	}); err != nil {
		return attemptResult{}, true
	}
	var left atomic.Bool
	if c.drawCancel() {
		after := time.Duration(c.intn(int(maxCancelDelay)))
		leave := time.AfterFunc(after, func() {
			if c.referee.RecordClientCancel(attempt, time.Now()) {
				left.Store(true)
				conn.Reset()
			}
		})
		defer leave.Stop()
	}
	_ = conn.SetReadDeadline(attempt.Deadline.Add(lateResponseWindow))
	if _, err := conn.reader.Peek(1); err != nil {
		defer conn.Reset()
		now := time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.referee.RecordTimeout(attempt, now)
			return attemptResult{outcome: referee.Unanswered}, false
		}
		if left.Load() {
			return attemptResult{outcome: referee.Unanswered}, false
		}
		mu.Lock()
		unread := taken.IsZero() || conn.LastReadAt().Before(taken) || link.IsReset(err)
		mu.Unlock()
		if !fresh && unread && ctx.Err() == nil && now.Before(attempt.Deadline) {
			c.referee.RecordWritten(attempt, time.Time{})
			return attemptResult{}, true
		}
		c.referee.RecordConnectionClosed(attempt, now, false, fresh)
		return attemptResult{outcome: referee.Unreached}, false
	}
	resp, made, err := readResponse(conn.reader)
	now := time.Now()
	if err != nil {
		conn.Reset()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.referee.RecordTimeout(attempt, now)
			return attemptResult{outcome: referee.Unanswered}, false
		}
		c.referee.RecordConnectionClosed(attempt, now, true, false)
		return attemptResult{outcome: referee.Failed}, false
	}
	out.outcome = c.referee.RecordResponse(attempt, now, resp.StatusCode, made)
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		out.retryAfter = min(time.Duration(s*float64(time.Second)), experiment.Millis(c.experiment.Proxy.MaxRetryAfterMs))
	}
	conn.lastAttempt = attempt
	switch {
	case resp.Close:
		if conn.reader.Buffered() > 0 {
			c.referee.RecordExtraBytes(attempt, now)
		}
		conn.Close()
	case !conn.isUnusable(c.referee):
		c.pools[attempt.Zone].put(conn)
	}
	return out, false
}

// answer reads a whole final answer and digests its body.
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
