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

// turns is a platform's list on a virtual clock: it answers calls in turn, turns away what would wait too long, and lets
// watches that go on pass. Server i changes with version i. It keeps the ages of what its callers hear.
type turns struct {
	mu      sync.Mutex
	ctx     context.Context // of the clients
	version int64
	made    []time.Time   // of each version, from 1
	moved   chan struct{} // closed at the next version
	free    time.Time     // when the call after those that wait has its turn
	fault   fate          // of every call
	up      time.Time     // since when every call is answered in its turn or turned away
	slow    time.Duration // a turn
	others  time.Duration // the turns of others, before each call's
	wait    time.Duration // what waits longer for its turn fails then, and yet takes the turn
	room    time.Duration // of turns that may wait; what comes beyond is turned away at once; 0: as wait
	lines   int
	clients int // that each is told of
	entries int // changed by each version, which cost as much as those of a whole list; 0: none
	calls   int // that took a turn or were turned away
	taken   int // turns
	fails   int // each so many-th turn ends in a 503, if not 0
	vain    int // turns of calls that were given up or had waited too long
	callers []*caller
	spared  int // strikes miss the callers of these numbers and above, if not 0
}

// A fate is what becomes of a call.
type fate int

const (
	answered fate = iota
	refused       // 503
	vainly        // 503 after the longest wait
	broken        // reset
	mute          // accepted and never answered
	dripping      // answered byte by byte, without end
	garbled
)

// caller is one client's part of it.
type caller struct {
	list   *turns
	n      int
	client *Client
	joined time.Time
	last   time.Time // of the last answer; a watch goes on from it for 200 ms
	open   *held     // the watch that is held
	fates  []fate    // of its next calls
	knows  int64
	heard  []time.Time // of each version
}

// held is a watch that waits for news.
type held struct {
	deaf bool
	cut  chan struct{}
}

const (
	modelServers = 200
	perTurn      = 38 // lines that cost as much as a call
)

func (c *caller) RoundTrip(r *http.Request) (*http.Response, error) {
	l := c.list
	from, hold := int64(-1), time.Duration(0)
	if q := r.URL.Query(); q.Has("from") {
		from, _ = strconv.ParseInt(q.Get("from"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("hold_ms"))
		hold = time.Duration(ms) * time.Millisecond
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	goes := from >= 0 && now.Sub(c.last) < 200*time.Millisecond
	c.open = nil
	if !goes {
		l.calls++
	}
	fate := l.fault
	if fate == answered && len(c.fates) > 0 {
		fate, c.fates = c.fates[0], c.fates[1:]
	}
	if !goes && fate == answered || fate == garbled {
		start := l.free
		if start.Before(now) {
			start = now
		}
		if start.Sub(now)+l.others > max(l.wait, l.room) {
			fate = refused
		} else {
			cost := l.slow
			if from < 0 {
				cost += l.slow * modelServers / perTurn
			} else {
				cost += l.slow * time.Duration(min(int(l.version-from)*l.entries, modelServers)) / perTurn
			}
			l.free = start.Add(cost)
			if l.taken++; l.room > 0 && l.free.Sub(now)+l.others > l.wait { // seen in the bench: issue 24
				l.vain++
				l.pause(r, l.wait, nil)
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
			}
			if l.fails > 0 && l.taken%l.fails == 0 {
				l.pause(r, l.free.Sub(now)+l.others+300*time.Millisecond, nil)
				return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
			}
			if !l.pause(r, l.free.Sub(now)+l.others, nil) {
				l.vain++
				return nil, r.Context().Err()
			}
		}
	}
	switch fate {
	case refused:
		l.pause(r, 30*time.Millisecond, nil)
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case vainly:
		l.pause(r, l.wait, nil)
		return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
	case broken:
		return nil, errors.New("connection reset")
	case mute:
		l.pause(r, time.Hour, nil)
		return nil, r.Context().Err()
	case dripping:
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(&drip{r.Context()})}, nil
	case garbled:
		c.last = time.Now()
		return answer(`{"index":9,"endpoints":[{}]}`), nil
	}
	end, own := time.Now().Add(hold), &held{cut: make(chan struct{})}
	c.open = own
	for from >= 0 && (l.version <= from || own.deaf) && (time.Now().Before(end) || own.deaf) {
		if !l.pause(r, time.Until(end), own) {
			return nil, cmp.Or(r.Context().Err(), errors.New("connection reset"))
		}
	}
	if c.open == own {
		c.open = nil
	}
	c.last = time.Now()
	n := l.version - from
	if from < 0 {
		n = modelServers
	}
	l.lines += int(n)
	return answer(fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[]}`, l.version, from < 0)), nil
}

// pause waits without the lock; a watch that is held ends with the next version too. It tells whether the call goes on.
func (l *turns) pause(r *http.Request, d time.Duration, own *held) bool {
	var moved, cut chan struct{}
	if own != nil {
		moved, cut = l.moved, own.cut
		if own.deaf {
			d = time.Hour
		}
	}
	l.mu.Unlock()
	defer l.mu.Lock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-moved:
	case <-cut:
		return false
	case <-r.Context().Done():
	}
	return r.Context().Err() == nil
}

// drip is a body that comes slowly and never ends.
type drip struct{ ctx context.Context }

func (d *drip) Read(p []byte) (int, error) {
	select {
	case <-time.After(300 * time.Millisecond):
		p[0] = ' '
		return 1, nil
	case <-d.ctx.Done():
		return 0, d.ctx.Err()
	}
}

func answer(text string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(text))}
}

// change makes a version.
func (l *turns) change() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	l.made = append(l.made, time.Now())
	close(l.moved)
	l.moved = make(chan struct{})
}

// strike does something to the open watches, and gives the next calls of each caller their fates.
func (l *turns) strike(what func(*held), next ...fate) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.callers {
		if l.spared > 0 && c.n >= l.spared {
			continue
		}
		if c.open != nil {
			what(c.open)
		}
		c.fates = next
	}
}

func silence(h *held) { h.deaf = true }
func reset(h *held)   { close(h.cut) }
func spare(*held)     {}

// trouble has calls meet a fate for some time, after which each is answered in its turn.
func (l *turns) trouble(f fate, what func(*held), d time.Duration) {
	l.strike(what)
	l.mu.Lock()
	l.fault = f
	l.mu.Unlock()
	time.Sleep(d)
	l.mu.Lock()
	l.fault, l.up = answered, time.Now()
	l.mu.Unlock()
}

func (c *caller) hears(version int64) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	for ; c.knows < version; c.knows++ {
		c.heard = append(c.heard, time.Now())
	}
}

// age is the longest time from a version's making, or from the discovery's return if that is later, until a caller had it.
func (l *turns) age(t *testing.T) (worst time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.callers {
		if len(c.heard) < len(l.made) {
			t.Fatalf("client %d heard of %d versions of %d", c.n, len(c.heard), len(l.made))
		}
		for v, made := range l.made {
			for _, since := range []time.Time{l.up, c.joined} {
				if made.Before(since) {
					made = since
				}
			}
			worst = max(worst, c.heard[v].Sub(made))
		}
	}
	return worst
}

// join starts a client that knows the list as it was at a version.
func (l *turns) join(ctx context.Context, pushed bool, seed uint64, version int64) {
	client := New(Config{Source: Source{Address: "127.0.0.1:1"}, Pushed: pushed, Callers: l.clients, Seed: seed, Logger: slog.New(slog.DiscardHandler)})
	l.mu.Lock()
	who := &caller{list: l, n: len(l.callers), client: client, joined: time.Now()}
	l.callers = append(l.callers, who)
	l.mu.Unlock()
	client.connect = func(Source) *http.Client { return &http.Client{Transport: who} }
	client.http = client.connect(Source{})
	client.SetInitialList(&List{Version: version, Full: true})
	who.hears(version)
	go client.Run(ctx)
	go func() {
		for {
			select {
			case n := <-client.Updates():
				who.hears(n.List.Version)
			case <-ctx.Done():
				return
			}
		}
	}()
}
