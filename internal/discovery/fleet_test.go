package discovery

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fernlanding/logic"
)

// turns is a platform's list on a virtual clock: it answers calls in turn, turns away what would wait too long, and lets
// watches that go on pass. Nodo i changes with version i. It keeps the clock by which news counts as told.
type turns struct {
	mu      sync.Mutex
	version int64
	made    []time.Time   // of each version, from 1
	moved   chan struct{} // closed at the next version
	free    time.Time     // when the call after those that wait has its turn
	down    bool
	slow    time.Duration // of a turn
	lines   int
	calls   int // that took a turn or were turned away
	callers []*caller
}

// caller is one client's part of it.
type caller struct {
	list    *turns
	last    time.Time // of the last answer; the next watch goes on for 200 ms
	deaf    bool
	over    time.Time // when the open watch's wait is over
	open    bool      // a watch is being held, or goes on
	until   time.Time // when news of a watch that fell silent counts as told
	heard   []time.Time
	told    []time.Time
	asked   time.Time // the last call
	refused bool
}

const (
	modelNodos = 200
	perTurn    = 38 // lines that cost as much as a call
	askEvery   = 10 * time.Second
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
	now := time.Now()
	goes := from >= 0 && now.Sub(c.last) < 200*time.Millisecond
	c.asked, c.refused = now, false
	if l.down {
		c.open, c.refused = false, true
		l.mu.Unlock()
		return nil, errors.New("connection reset")
	}
	if !goes {
		c.open = false
		l.calls++
		start := l.free
		if start.Before(now) {
			start = now
		}
		if start.Sub(now) > turnWait {
			c.refused = true
			l.mu.Unlock()
			time.Sleep(30 * time.Millisecond)
			return &http.Response{StatusCode: http.StatusServiceUnavailable, Body: http.NoBody}, nil
		}
		cost := l.slow
		if from < 0 {
			cost += l.slow * modelNodos / perTurn
		}
		l.free = start.Add(cost)
		turn := l.free.Sub(now)
		l.mu.Unlock()
		time.Sleep(turn)
		l.mu.Lock()
	}
	end := time.NewTimer(hold)
	c.deaf, c.over, c.until, c.open = false, now.Add(hold), time.Time{}, from >= 0
	for from >= 0 && (l.version <= from || c.deaf) {
		moved := l.moved
		l.mu.Unlock()
		over := false
		select {
		case <-moved:
		case <-end.C:
			over = true
		case <-r.Context().Done():
		}
		if r.Context().Err() != nil {
			l.mu.Lock()
			c.open = false
			l.mu.Unlock()
			return nil, r.Context().Err()
		}
		l.mu.Lock()
		if over && !c.deaf {
			break
		}
	}
	defer l.mu.Unlock()
	c.last = time.Now()
	n := l.version - from
	if from < 0 {
		n = modelNodos
	}
	l.lines += int(n)
	return answer(fmt.Sprintf(`{"index":%d,"snapshot":%t,"endpoints":[]}`, l.version, from < 0)), nil
}

// change makes a version, and notes for each caller when it counts as told.
func (l *turns) change() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.version++
	close(l.moved)
	l.moved = make(chan struct{})
	for _, c := range l.callers {
		told := now.Add(50 * time.Millisecond) // written at once
		switch {
		case c.until.After(now):
			told = c.until
		case !c.open && c.refused:
			told = c.asked.Add(4 * askEvery)
		case !c.open:
			told = now.Add(askEvery)
		}
		c.told, c.heard = append(c.told, told), append(c.heard, time.Time{})
	}
}

// silence has some open watches fall silent.
func (l *turns) silence(part float64, rng *rand.Rand) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.callers {
		if c.open && rng.Float64() < part {
			c.deaf, c.until = true, time.Now().Add(6*time.Second)
			if t := c.over.Add(2 * time.Second); t.After(c.until) {
				c.until = t
			}
		}
	}
}

func (c *caller) hears(version int64) {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	for i := range min(int(version), len(c.heard)) {
		if c.heard[i].IsZero() {
			c.heard[i] = time.Now()
		}
	}
}

// module is the decision module beside a client: it says when to ask again.
type module struct {
	logic.Host
	c     *Client
	timed chan string
}

func (m *module) Watch()     { m.c.Ask() }
func (m *module) Log(string) {}
func (m *module) SetTimer(delay int64, token string) {
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() { m.timed <- token })
}

// join starts a client that knows the list as it was at a version.
func (l *turns) join(ctx context.Context, t *testing.T, subscribe bool, seed uint64, version int64) {
	s := logic.Settings{Siblings: 300, Zones: 1, MaxAttempts: 1, Subscribe: subscribe, AskEvery: askEvery.Microseconds(),
		Classes: []logic.Class{{Aim: 1, Deadline: 1}}}
	bal, err := logic.New(s, seed)
	if err != nil {
		t.Fatal(err)
	}
	client := New(Config{Source: Source{Address: "127.0.0.1:1"}, Subscribe: subscribe, Seed: seed,
		Log: slog.New(slog.DiscardHandler)})
	who := &caller{list: l, asked: time.Now()}
	l.mu.Lock()
	for range l.version { // what came before it counts as told the asking time from now
		who.told, who.heard = append(who.told, time.Now().Add(askEvery)), append(who.heard, time.Time{})
	}
	l.callers = append(l.callers, who)
	l.mu.Unlock()
	client.http.Transport = who
	client.Known(&List{Index: version, Full: true})
	who.hears(version)
	m := &module{c: client, timed: make(chan string, 16)}
	start := time.Now()
	now := func() int64 { return time.Since(start).Microseconds() }
	go client.Run(ctx)
	go func() {
		bal.List(now(), m, logic.Cached, nil)
		for {
			select {
			case n := <-client.News():
				if n.List == nil {
					bal.List(now(), m, logic.Failed, nil)
					continue
				}
				who.hears(n.List.Index)
				bal.List(now(), m, logic.Delta, nil)
			case token := <-m.timed:
				bal.Timer(now(), m, token)
			case <-ctx.Done():
				return
			}
		}
	}()
}

// 300 clients of one list that answers in turn: whatever befalls the list or their watches, what is new is with each of
// them when it counts as told, and they take no more turns than the faults need.
func TestAFleetHasTheListWhenItCountsAsTold(t *testing.T) {
	const clients = 300
	tests := []struct {
		name   string
		pushed bool
		fault  func(l *turns, join func(int64), rng *rand.Rand) // 20 s into the run
		turns  int                                              // at most, beyond one for each client at its start
		spare  time.Duration                                    // at least, before what was missed counts as told
	}{
		{name: "nothing", turns: 0},
		{name: "a tenth of the watches fall silent", turns: clients / 5, spare: 1900 * time.Millisecond,
			fault: func(l *turns, _ func(int64), rng *rand.Rand) { l.silence(0.1, rng) }},
		{name: "all watches fall silent", turns: 3 * clients,
			fault: func(l *turns, _ func(int64), rng *rand.Rand) { l.silence(1, rng) }},
		{name: "watches fall silent as the list is busy with 130 that start", turns: 130 * 6, spare: 1500 * time.Millisecond,
			fault: func(l *turns, join func(int64), rng *rand.Rand) {
				for range 130 {
					join(0)
				}
				time.Sleep(500 * time.Millisecond)
				l.silence(0.1, rng)
			}},
		{name: "down for 8 s", turns: 8 * clients, fault: func(l *turns, _ func(int64), _ *rand.Rand) {
			l.mu.Lock()
			l.down = true
			for _, c := range l.callers {
				c.last = time.Time{}
			}
			l.mu.Unlock()
			l.change() // ends the watches
			time.Sleep(8 * time.Second)
			l.mu.Lock()
			l.down = false
			l.mu.Unlock()
		}},
		{name: "slow for 8 s as watches fall silent", turns: 3 * clients, spare: 1900 * time.Millisecond, fault: func(l *turns, _ func(int64), rng *rand.Rand) {
			l.mu.Lock()
			l.slow *= 3
			l.mu.Unlock()
			l.silence(0.1, rng)
			time.Sleep(8 * time.Second)
		}},
		{name: "pushed, a tenth fall silent", pushed: true, turns: clients / 5, spare: 1900 * time.Millisecond,
			fault: func(l *turns, _ func(int64), rng *rand.Rand) { l.silence(0.1, rng) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				spare := time.Hour
				ctx, stop := context.WithCancel(t.Context())
				rng := rand.New(rand.NewPCG(1, 2))
				l := &turns{moved: make(chan struct{}), slow: 18 * time.Millisecond}
				seed := uint64(0)
				join := func(version int64) {
					seed++
					l.join(ctx, t, !tt.pushed, seed, version)
				}
				for range clients {
					join(0)
				}
				time.Sleep(20 * time.Second)
				l.mu.Lock()
				before := l.calls
				l.mu.Unlock()
				go func() { // a release: a change each 700 ms
					for range 30 {
						time.Sleep(700 * time.Millisecond)
						l.change()
					}
				}()
				if tt.fault != nil {
					tt.fault(l, join, rng)
				}
				time.Sleep(60 * time.Second)
				stop()
				synctest.Wait()
				l.mu.Lock()
				defer l.mu.Unlock()
				if got := l.calls - before; got > tt.turns {
					t.Errorf("%d turns taken, want at most %d", got, tt.turns)
				}
				for i, c := range l.callers {
					for v, heard := range c.heard {
						switch late := heard.Sub(c.told[v]); {
						case heard.IsZero():
							t.Fatalf("client %d never heard of version %d", i, v+1)
						case late > 0:
							t.Fatalf("client %d heard of version %d %v after it counted as told", i, v+1, late)
						case late < -100*time.Millisecond: // it was not written at once
							spare = min(spare, -late)
						}
					}
				}
				if spare < tt.spare {
					t.Errorf("%v to spare, want %v", spare, tt.spare)
				}
				t.Logf("%d turns, %d lines; least to spare %v", l.calls-before, l.lines, spare)
			})
		})
	}
}
