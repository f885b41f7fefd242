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
	listenOn = 600 * time.Millisecond // to a connection whose request's time is over: what comes then is late, not lost
	// Clients that leave do so within this; half of it is before most answers.
	leaveWithin = 300 * time.Millisecond
	minTimeLeft = 20 * time.Millisecond // a try with less time is not made
	maxAnswer   = 64 << 20
)

// Client plays the arrivals of a plan.
type Client struct {
	exp   *experiment.Experiment
	plan  *plan.Plan
	front *Front
	ref   *referee.Referee
	pools map[string]*pool

	mu   sync.Mutex
	jobs map[string]stubserver.Job // by the id of a try that is out
	rng  *rand.Rand
	late []time.Duration // of each arrival
	open sync.WaitGroup
}

// New is the clients of a run.
func New(e *experiment.Experiment, p *plan.Plan, f *Front, ref *referee.Referee) *Client {
	c := &Client{exp: e, plan: p, front: f, ref: ref, pools: map[string]*pool{}, jobs: map[string]stubserver.Job{},
		rng: p.Source("clients")}
	for _, z := range e.Zones {
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
func (c *Client) leaves() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.exp.Clients.CancelFraction > 0 && c.rng.Float64() < c.exp.Clients.CancelFraction
}

// Run plays all arrivals from start on, and returns once every try has ended, or soon after the context has.
func (c *Client) Run(ctx context.Context, start time.Time) {
	swept, stop := context.WithCancel(context.Background())
	defer stop()
	go func() {
		for sleep.For(swept, sweepEvery) {
			for _, p := range c.pools {
				p.sweep(c.ref)
			}
		}
	}()
	for i := range c.plan.Arrivals {
		a := &c.plan.Arrivals[i]
		if !sleep.For(ctx, time.Until(start.Add(a.At))) {
			break
		}
		late := time.Since(start.Add(a.At))
		c.mu.Lock()
		c.late = append(c.late, late)
		c.mu.Unlock()
		c.open.Go(func() { c.arrive(ctx, a, start.Add(a.At)) })
	}
	c.open.Wait()
	for _, p := range c.pools {
		p.sweep(c.ref)
	}
}

// Late is how late each arrival began.
func (c *Client) Late() []time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Duration(nil), c.late...)
}

// outcome is what a client learned of a try by its end, and when it may come again.
type outcome struct {
	end   referee.Outcome
	after time.Duration
}

// arrive is one client from its first try to its last.
func (c *Client) arrive(ctx context.Context, a *plan.Arrival, planned time.Time) {
	class := c.exp.Classes[a.Class]
	giveUp := planned.Add(experiment.Millis(class.DeadlineMs))
	zone := c.exp.Zones[a.Zone].Name
	firstRun := time.Time{} // when a try first may have run
	for n := 0; n <= c.exp.Clients.Retries; n++ {
		left := time.Until(giveUp)
		if left < minTimeLeft && n > 0 {
			return
		}
		out := c.attempt(ctx, a, class, zone, n, min(a.Try, left))
		if out.end == referee.Served || ctx.Err() != nil {
			return
		}
		if firstRun.IsZero() && out.end != referee.Rejected && out.end != referee.Unreached {
			firstRun = time.Now()
		}
		harmless := out.end == referee.Rejected || out.end == referee.Unreached
		switch {
		case class.RetryClass == "idempotent":
		case class.RetryClass == "deduplicated" && class.KeyScope == "all" &&
			(firstRun.IsZero() || time.Since(firstRun) < experiment.Millis(class.KeyWindowMs)):
		case !harmless || !firstRun.IsZero():
			return
		}
		if !sleep.For(ctx, max(out.after, experiment.Millis(c.exp.Clients.WaitMs))) {
			return
		}
	}
}

// try makes one try. It returns at the try's deadline at the latest; its connection is listened to for longer.
func (c *Client) attempt(ctx context.Context, a *plan.Arrival, class experiment.Class, zone string, n int,
	patience time.Duration) outcome {
	now := time.Now()
	t := &referee.ClientAttempt{ID: c.plan.ID(a, n), Arrival: a.N, Number: n, Class: a.Class, Zone: zone, StartedAt: now,
		Deadline: now.Add(patience), Path: "/" + class.Name, Method: http.MethodPost, Key: a.Key}
	var body []byte
	if class.RetryClass == "idempotent" {
		t.Method = http.MethodGet
	} else {
		body = wire.MakeBody(t.ID, "client", a.Body)
	}
	t.RequestDigest = wire.Digest(body)
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: backend.local\r\n%s: %s\r\n%s: %s\r\n%s: %d\r\n", t.Method, t.Path,
		wire.RequestID, t.ID, wire.RequestClass, class.Name, wire.RequestTimeout, patience.Milliseconds())
	if t.Key != "" {
		head += wire.IdempotencyKey + ": " + t.Key + "\r\n"
	}
	if n > 0 && c.exp.Clients.MarkRetry {
		head += wire.ClientRetry + ": 1\r\n"
	}
	if t.Method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	ended := make(chan outcome, 1)
	c.open.Go(func() {
		ended <- c.exchange(ctx, t, append([]byte(head+"\r\n"), body...), stubserver.Job{Work: a.Work, ResponseBytes: a.Answer})
		c.mu.Lock()
		delete(c.jobs, t.ID)
		c.mu.Unlock()
	})
	over := time.NewTimer(time.Until(t.Deadline))
	defer over.Stop()
	select {
	case out := <-ended:
		return out
	case <-over.C:
		return outcome{end: referee.Unanswered}
	}
}

// exchange sends a request and waits for its answer. A connection that was closed between requests, or crossed this
// one on its way, is followed by a new one.
func (c *Client) exchange(ctx context.Context, t *referee.ClientAttempt, request []byte, job stubserver.Job) outcome {
	k := c.pools[t.Zone].take(c.intn, c.ref)
	fresh := k == nil
	for {
		if k == nil {
			var err error
			if k, err = c.dial(ctx, t); err != nil {
				c.ref.RecordSend(t, "")
				c.ref.RecordUnreachable(t, time.Now())
				return outcome{end: referee.Unreached}
			}
		}
		out, again := c.on(ctx, k, t, request, job, fresh)
		if !again {
			return out
		}
		c.ref.UpdateTally(func(y *referee.Tally) { y.Resent++ })
		k, fresh = nil, true
	}
}

func (c *Client) dial(ctx context.Context, t *referee.ClientAttempt) (*kept, error) {
	d, ok := c.front.choose(t.Zone)
	if !ok {
		return nil, errors.New("no proxy is admitted")
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	conn, err := d.dialers[t.Zone].Dial(ctx, d.Addr)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: conn, r: bufio.NewReader(conn), door: d}, nil
}

// on sends a request on a connection. Again asks for it to be sent on a new one: this one had ended before the proxy
// could read it.
func (c *Client) on(ctx context.Context, k *kept, t *referee.ClientAttempt, request []byte, job stubserver.Job, fresh bool) (out outcome,
	again bool) {
	job.Proxy = k.door.Name
	c.mu.Lock()
	c.jobs[t.ID] = job
	c.mu.Unlock()
	c.ref.RecordSend(t, k.door.Name)
	var mu sync.Mutex
	var taken time.Time
	if err := k.WriteThen(request, func(at time.Time) {
		mu.Lock()
		taken = at
		mu.Unlock()
		c.ref.RecordWritten(t, at)
	}); err != nil {
		return outcome{}, true
	}
	var left atomic.Bool
	if c.leaves() {
		after := time.Duration(c.intn(int(leaveWithin)))
		leave := time.AfterFunc(after, func() {
			if c.ref.RecordClientCancel(t, time.Now()) {
				left.Store(true)
				k.Reset()
			}
		})
		defer leave.Stop()
	}
	_ = k.SetReadDeadline(t.Deadline.Add(listenOn))
	if _, err := k.r.Peek(1); err != nil {
		defer k.Reset()
		now := time.Now()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.ref.RecordTimeout(t, now)
			return outcome{end: referee.Unanswered}, false
		}
		if left.Load() {
			return outcome{end: referee.Unanswered}, false
		}
		mu.Lock()
		unread := taken.IsZero() || k.LastReadAt().Before(taken) || link.IsReset(err)
		mu.Unlock()
		if !fresh && unread && ctx.Err() == nil && now.Before(t.Deadline) {
			c.ref.RecordWritten(t, time.Time{})
			return outcome{}, true
		}
		c.ref.RecordConnectionClosed(t, now, false, fresh)
		return outcome{end: referee.Unreached}, false
	}
	resp, made, err := answer(k.r)
	now := time.Now()
	if err != nil {
		k.Reset()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.ref.RecordTimeout(t, now)
			return outcome{end: referee.Unanswered}, false
		}
		c.ref.RecordConnectionClosed(t, now, true, false)
		return outcome{end: referee.Failed}, false
	}
	out.end = c.ref.RecordResponse(t, now, resp.StatusCode, made)
	if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && s > 0 {
		out.after = min(time.Duration(s*float64(time.Second)), experiment.Millis(c.exp.Proxy.MaxRetryAfterMs))
	}
	k.last = t
	switch {
	case resp.Close:
		if k.r.Buffered() > 0 {
			c.ref.RecordExtraBytes(t, now)
		}
		k.Close()
	case !k.over(c.ref):
		c.pools[t.Zone].put(k)
	}
	return out, false
}

// answer reads a whole final answer and digests its body.
func answer(r *bufio.Reader) (*http.Response, uint64, error) {
	for {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return nil, 0, err
		}
		if resp.StatusCode < 200 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
		if err != nil {
			return nil, 0, err
		}
		return resp, wire.Digest(body), nil
	}
}
