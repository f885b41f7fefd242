package discovery

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// serverModel simulates the platform's discovery on a virtual clock. It serves calls one at a time, rejects
// those that would wait too long, and serves watches that follow an answer at once. It records when its
// clients receive each version.
type serverModel struct {
	mu                sync.Mutex
	ctx               context.Context // the clients' context
	version           int64
	publishedAt       []time.Time   // when each version was published, from version 1 on
	changed           chan struct{} // closed when the next version is published
	queueFreeAt       time.Time     // when all calls in the queue will have been served
	fault             callFault     // applied to every call, if not noFault
	availableSince    time.Time     // end of the last outage
	serviceTime       time.Duration // time to serve one call
	otherLoad         time.Duration // service time of other callers' calls that are queued before each call
	maxWait           time.Duration // W: a call that waits longer fails, but takes its service time
	queueLimit        time.Duration // most service time queued; calls beyond it are rejected; 0: maxWait
	entriesSent       int
	assumedCallers    int // Config.Callers of each client
	entriesPerVersion int // entries changed by each version; each costs service time as in a full list
	calls             int // calls served or rejected
	served            int // calls served
	failEvery         int // one of this many served calls ends with a 503; 0: none
	wasted            int // calls served after they had been abandoned or had timed out
	clients           []*modelClient
	faultsBelow       int // inject skips clients with this number or a higher one; 0: it skips none
}

// callFault is a failure of a call.
type callFault int

const (
	noFault           callFault = iota
	rejected                    // 503
	rejectedAfterWait           // 503 after maxWait
	connectionReset
	neverAnswered // the call is accepted and never answered
	endlessBody   // the body arrives a byte at a time and never ends
	malformed
)

// modelClient is a client of a serverModel.
type modelClient struct {
	server     *serverModel
	number     int
	client     *Client
	joinedAt   time.Time
	lastAnswer time.Time   // a call within 200 ms after it is a watch that follows an answer
	openWatch  *heldWatch  // the watch in progress; nil: none
	nextFaults []callFault // applied to its next calls
	version    int64
	receivedAt []time.Time // when it received each version
}

// heldWatch is a watch that the server holds until there is a change.
type heldWatch struct {
	silenced bool          // it is never answered
	closed   chan struct{} // closed to reset its connection
}

const (
	modelEntries   = 200
	entriesPerCall = 38 // entries that take as much service time as a call without any
)

// RoundTrip serves a call of the client as discovery would, with the faults that apply to it.
func (c *modelClient) RoundTrip(r *http.Request) (*http.Response, error) {
	model := c.server
	from, hold := int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("from") {
		from, _ = strconv.ParseInt(q.Get("from"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("hold_ms"))
		hold = time.Duration(ms) * time.Millisecond
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	now := time.Now()
	watch := from >= 0 && now.Sub(c.lastAnswer) < 200*time.Millisecond
	c.openWatch = nil
	if !watch {
		model.calls++
	}
	fault := model.fault
	if fault == noFault && len(c.nextFaults) > 0 {
		fault, c.nextFaults = c.nextFaults[0], c.nextFaults[1:]
	}
	if !watch && fault == noFault || fault == malformed {
		start := model.queueFreeAt
		if start.Before(now) {
			start = now
		}
		if start.Sub(now)+model.otherLoad > max(model.maxWait, model.queueLimit) {
			fault = rejected
		} else {
			cost := model.serviceTime
			if from < 0 {
				cost += model.serviceTime * modelEntries / entriesPerCall
			} else {
				cost += model.serviceTime * time.Duration(
					min(int(model.version-from)*model.entriesPerVersion, modelEntries)) /
					entriesPerCall
			}
			model.queueFreeAt = start.Add(cost)
			if model.served++; model.queueLimit > 0 && model.queueFreeAt.Sub(now)+model.otherLoad > model.maxWait {
				model.wasted++
				model.pause(r, model.maxWait, nil)
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
			}
			if model.failEvery > 0 && model.served%model.failEvery == 0 {
				model.pause(r, model.queueFreeAt.Sub(now)+model.otherLoad+300*time.Millisecond, nil)
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
			}
			if !model.pause(r, model.queueFreeAt.Sub(now)+model.otherLoad, nil) {
				model.wasted++
				return nil, r.Context().Err()
			}
		}
	}
	switch fault {
	case rejected:
		model.pause(r, 30*time.Millisecond, nil)
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case rejectedAfterWait:
		model.pause(r, model.maxWait, nil)
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case connectionReset:
		return nil, errors.New("connection reset")
	case neverAnswered:
		model.pause(r, time.Hour, nil)
		return nil, r.Context().Err()
	case endlessBody:
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&slowBody{r.Context()})}, nil
	case malformed:
		c.lastAnswer = time.Now()
		return okResponse(`{"index":9,"endpoints":[{}]}`), nil
	}
	end, current := time.Now().Add(hold), &heldWatch{closed: make(chan struct{})}
	c.openWatch = current
	for from >= 0 && (model.version <= from || current.silenced) &&
		(time.Now().Before(end) || current.silenced) {
		if !model.pause(r, time.Until(end), current) {
			return nil, cmp.Or(r.Context().Err(), errors.New("connection reset"))
		}
	}
	if c.openWatch == current {
		c.openWatch = nil
	}
	c.lastAnswer = time.Now()
	entries := model.version - from
	if from < 0 {
		entries = modelEntries
	}
	model.entriesSent += int(entries)
	return okResponse(fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[]}`, model.version, from < 0)), nil
}

// pause unlocks the model and waits. A watch ends with the next version too. It reports whether the client
// still waits for the call.
func (m *serverModel) pause(r *http.Request, d time.Duration, watch *heldWatch) bool {
	var changed, closed chan struct{}
	if watch != nil {
		changed, closed = m.changed, watch.closed
		if watch.silenced {
			d = time.Hour
		}
	}
	m.mu.Unlock()
	defer m.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-closed:
		return false
	case <-r.Context().Done():
	}
	return r.Context().Err() == nil
}

// slowBody is a response body that arrives a byte at a time and never ends.
type slowBody struct{ ctx context.Context }

func (d *slowBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(300 * time.Millisecond):
		p[0] = ' '
		return 1, nil
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
}

func okResponse(text string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
}

// publishVersion publishes the next version.
func (m *serverModel) publishVersion() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	m.publishedAt = append(m.publishedAt, time.Now())
	close(m.changed)
	m.changed = make(chan struct{})
}

// inject applies a fault to the watches in progress, and sets the faults of each client's next calls.
func (m *serverModel) inject(watchFault func(*heldWatch), next ...callFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.clients {
		if m.faultsBelow > 0 && c.number >= m.faultsBelow {
			continue
		}
		if c.openWatch != nil {
			watchFault(c.openWatch)
		}
		c.nextFaults = next
	}
}

func silenceWatch(h *heldWatch) { h.silenced = true }
func resetWatch(h *heldWatch)   { close(h.closed) }
func keepWatch(*heldWatch)      {}

// outage applies a fault to the watches in progress, and another one to all calls for some time.
func (m *serverModel) outage(fault callFault, watchFault func(*heldWatch), d time.Duration) {
	m.inject(watchFault)
	m.mu.Lock()
	m.fault = fault
	m.mu.Unlock()
	time.Sleep(d)
	m.mu.Lock()
	m.fault, m.availableSince = noFault, time.Now()
	m.mu.Unlock()
}

// recordVersion records that the client has received a version.
func (c *modelClient) recordVersion(version int64) {
	c.server.mu.Lock()
	defer c.server.mu.Unlock()
	for ; c.version < version; c.version++ {
		c.receivedAt = append(c.receivedAt, time.Now())
	}
}

// worstAge returns the longest time from the publication of a version until a client received it. The time
// starts later if the version was published before the end of an outage or before the client joined.
func (m *serverModel) worstAge(t *testing.T) (worst time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range m.clients {
		if len(c.receivedAt) < len(m.publishedAt) {
			t.Fatalf("client %d received %d of %d versions", c.number, len(c.receivedAt), len(m.publishedAt))
		}
		for v, publishedAt := range m.publishedAt {
			for _, since := range []time.Time{m.availableSince, c.joinedAt} {
				if publishedAt.Before(since) {
					publishedAt = since
				}
			}
			worst = max(worst, c.receivedAt[v].Sub(publishedAt))
		}
	}
	return worst
}

// join starts a client that has the list of a version.
func (m *serverModel) join(ctx context.Context, localAgent bool, seed uint64, version int64) {
	client := New(Config{Source: Source{Address: "127.0.0.1:1"}, LocalAgent: localAgent,
		Callers: m.assumedCallers, Seed: seed, Logger: slog.New(slog.DiscardHandler)})
	m.mu.Lock()
	joined := &modelClient{server: m, number: len(m.clients), client: client, joinedAt: time.Now()}
	m.clients = append(m.clients, joined)
	m.mu.Unlock()
	client.makeHTTPClient = func(Source) *http.Client { return &http.Client{Transport: joined} }
	client.http = client.makeHTTPClient(Source{})
	client.SetInitialList(&List{Version: version, Snapshot: true})
	joined.recordVersion(version)
	go client.Run(ctx)
	go func() {
		for {
			select {
			case n := <-client.Updates():
				joined.recordVersion(n.List.Version)
			case <-ctx.Done():
				return
			}
		}
	}()
}
