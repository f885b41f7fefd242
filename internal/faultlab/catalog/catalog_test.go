package catalog

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"merlinpick/internal/faultlab/referee"
)

// newCatalog returns a catalog with n serving servers s0, s1, ...
func newCatalog(n int, seed uint64) *Catalog {
	var entries []Entry
	for i := range n {
		entries = append(entries, Entry{Name: fmt.Sprintf("s%d", i), Status: Serving})
	}
	return New(Config{NotificationDelay: time.Second, CallWork: time.Millisecond, QueueTimeout: 100 * time.Millisecond, SyncInterval: time.Minute,
		RetainedChanges: 4, MaxWaitingCalls: 3, Seed: seed, Address: func(_, nodo string) string { return nodo + ":1" }}, referee.New(referee.Config{Classes: []referee.Class{{}}, MaxAttempts: 3}), entries)
}

// TestPowerLossKeepsSyncedVersions checks that after a power loss the list is that of a version at or after
// the last sync, and that versions written afterwards can be read.
func TestPowerLossKeepsSyncedVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCatalog(2, rapid.Uint64().Draw(t, "seed"))
		synced := c.version
		states := map[int64]string{c.version: fmt.Sprint(c.entries)}
		for range rapid.IntRange(1, 40).Draw(t, "changes") {
			status := rapid.SampledFrom([]string{Serving, Draining, Deleted}).Draw(t, "status")
			c.commit(Entry{Name: rapid.SampledFrom([]string{"s0", "s1", "s2"}).Draw(t, "name"), Status: status})
			states[c.version] = fmt.Sprint(c.entries)
			if rapid.IntRange(0, 5).Draw(t, "sync") == 0 {
				c.file.Sync()
				synced = c.version
			}
		}
		before := c.version
		c.file.PowerLoss(c.rng)
		c.restore(c.readRecords(c.file.Bytes()), before)
		if c.version < synced || c.version > before {
			t.Fatalf("version %d after the power loss; %d was synced, %d written", c.version, synced, before)
		}
		if got := fmt.Sprint(c.entries); got != states[c.version] {
			t.Fatalf("after the power loss the list of version %d is %s, want %s", c.version, got,
				states[c.version])
		}
		c.commit(Entry{Name: "s9", Status: Serving})
		if again := c.readRecords(c.file.Bytes()); len(again) == 0 || again[len(again)-1].Version != c.version {
			t.Fatal("the version written after the power loss cannot be read")
		}
	})
}

// TestWatches checks when a call is answered, with which entries, and whether with the complete list.
func TestWatches(t *testing.T) {
	type answer struct {
		Index     int64
		Snapshot  bool
		Endpoints []wireEntry
	}
	for _, test := range []struct {
		name      string
		from      int64
		do        func(*Catalog)
		after     time.Duration // latest time of the answer
		notBefore time.Duration // earliest time of the answer
		whole     bool
		entries   int
		failed    bool
	}{
		{name: "whole list", from: -1, after: 2 * time.Millisecond, whole: true, entries: 3},
		{name: "a change, after its lag", from: 3, do: func(c *Catalog) { c.Change(Entry{Name: "s0", Status: Deleted}) },
			notBefore: time.Second, after: 1100 * time.Millisecond, entries: 1},
		{name: "nothing new", from: 3, notBefore: 5 * time.Second, after: 5100 * time.Millisecond},
		{name: "older than what is kept", from: 0, do: func(c *Catalog) {
			for range 6 {
				c.Change(Entry{Name: "s0", Status: Draining})
			}
			time.Sleep(2 * time.Second)
		}, after: time.Second, whole: true, entries: 3},
		{name: "newer than the service, which was rolled back", from: 3, do: func(c *Catalog) { c.Rollback(1) },
			after: time.Second, whole: true, entries: 2},
		{name: "down", from: 3, do: func(c *Catalog) { c.TakeDown() }, after: time.Second, failed: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				c := newCatalog(3, 1)
				go c.Run(ctx)
				if test.do != nil {
					test.do(c)
				}
				call := &pollCall{proxy: "p", from: test.from, queuedAt: time.Now(), holdUntil: time.Now().Add(5 * time.Second),
					reply: make(chan []byte, 1)}
				began := time.Now()
				c.runInLoop(func() {
					if c.downFaults > 0 {
						close(call.reply)
						return
					}
					c.queue = append(c.queue, call)
				})
				text, ok := <-call.reply
				took := time.Since(began)
				stop()
				<-c.done
				if ok == test.failed {
					t.Fatalf("the call was answered: %v, want it failed: %v", ok, test.failed)
				}
				if took < test.notBefore || took > test.after {
					t.Errorf("the call was answered after %v, want %v to %v",
						took, test.notBefore, test.after)
				}
				if test.failed {
					return
				}
				var a answer
				if err := json.Unmarshal(text, &a); err != nil {
					t.Fatal(err)
				}
				if a.Snapshot != test.whole || len(a.Endpoints) != test.entries {
					t.Errorf("complete list: %v with %d entries, want %v with %d",
						a.Snapshot, len(a.Endpoints), test.whole, test.entries)
				}
			})
		})
	}
}

// TestAnswerToDeadProcessDoesNotNotifyItsSuccessor checks that an answer that a cut delayed until its process
// was killed does not count as a notification of the next process, so that later requests of that process to
// a drained server break no rule. An answer to a process that is alive does count.
func TestAnswerToDeadProcessDoesNotNotifyItsSuccessor(t *testing.T) {
	for _, dead := range []bool{true, false} {
		c, began := newCatalog(1, 1), time.Unix(1000, 0)
		known := []referee.Entry{{Server: "s0", Serving: true}}
		c.referee.RecordProxyStart("p", known, began)
		process := c.referee.StartCount("p")
		if dead {
			c.referee.RecordProxyStart("p", known, began.Add(time.Second))
		}
		c.recordAnswer("p", process, &pollCall{entries: []referee.Entry{{Server: "s0", Serving: false}}}, began.Add(2*time.Second))
		try := &referee.ClientAttempt{ID: "1", Method: "GET", Path: "/", Deadline: began.Add(time.Hour)}
		c.referee.RecordSend(try, "p")
		c.referee.BeginAttempt(referee.Arrival{Server: "s0", ID: "1", Method: "GET", Path: "/", FirstByteAt: began.Add(time.Minute), LastByteAt: began.Add(time.Minute)})
		if broken := c.referee.Close().ViolationCounts["drain"]; (broken > 0) == dead {
			t.Errorf("answer to a dead process: %v; the drain rule was broken %d times", dead, broken)
		}
	}
}

// TestOvertakenAnswerIsIgnored checks that an answer that passes a slow link after a newer answer does not
// count as a notification of its proxy, which has given up that call.
func TestOvertakenAnswerIsIgnored(t *testing.T) {
	for _, overtaken := range []bool{true, false} {
		c, began := newCatalog(1, 1), time.Unix(1000, 0)
		c.referee.RecordProxyStart("p", []referee.Entry{{Server: "s0", Serving: true}}, began)
		process, fromVersion := c.referee.StartCount("p"), c.version
		answerChange := func(status string, since int64) *pollCall {
			c.commit(Entry{Name: "s0", Status: status, Since: since})
			call := &pollCall{proxy: "p", from: fromVersion, reply: make(chan []byte, 1)}
			c.answer(call, began)
			return call
		}
		drains, back := answerChange(Draining, 0), answerChange(Serving, 7)
		answered := []*pollCall{drains, back}
		if overtaken {
			answered = []*pollCall{back, drains}
		}
		for i, call := range answered {
			c.recordAnswer("p", process, call, began.Add(time.Duration(i+1)*time.Second))
		}
		try := &referee.ClientAttempt{ID: "1", Method: "GET", Path: "/", Deadline: began.Add(time.Hour)}
		c.referee.RecordSend(try, "p")
		c.referee.BeginAttempt(referee.Arrival{Server: "s0", ID: "1", Method: "GET", Path: "/", FirstByteAt: began.Add(time.Minute), LastByteAt: began.Add(time.Minute)})
		if broken := c.referee.Close().ViolationCounts["drain"]; broken != 0 {
			t.Errorf("answer overtaken: %v; the drain rule was broken %d times, want 0", overtaken, broken)
		}
	}
}

// TestTimedOutCallKeepsItsPlaceInTheQueue checks that a call that waits too long fails but keeps its place in
// the queue, and that a watch that continues does not wait in the queue.
func TestTimedOutCallKeepsItsPlaceInTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := newCatalog(1, 1)
		c.config.CallWork, c.config.QueueTimeout = 60*time.Millisecond, 100*time.Millisecond
		go c.Run(ctx)
		began := time.Now()
		ends := map[string]time.Duration{}
		var mu sync.Mutex
		var all sync.WaitGroup
		enqueue := func(name string, call *pollCall) {
			call.proxy, call.queuedAt, call.reply = name, time.Now(), make(chan []byte, 1)
			c.runInLoop(func() { c.queue = append(c.queue, call) })
			all.Go(func() {
				_, ok := <-call.reply
				mu.Lock()
				defer mu.Unlock()
				ends[fmt.Sprint(name, " ", ok)] = time.Since(began)
			})
		}
		for _, name := range []string{"a", "b", "c", "d"} {
			enqueue(name, &pollCall{from: -1})
		}
		enqueue("goes on", &pollCall{from: 0, continues: true})
		time.Sleep(150 * time.Millisecond)
		enqueue("e", &pollCall{from: -1})
		all.Wait()
		stop()
		<-c.done
		want := map[string]time.Duration{"a true": 0, "b true": 60 * time.Millisecond, "c false": 100 * time.Millisecond,
			"d false": 100 * time.Millisecond, "goes on true": 0, "e true": 240 * time.Millisecond}
		if len(ends) != len(want) {
			t.Errorf("the calls and their results are %v, want other ones", ends)
		}
		for name, at := range want {
			if d := ends[name] - at; d < 0 || d > 5*time.Millisecond {
				t.Errorf("call and result %s after %v, want %v", name, ends[name], at)
			}
		}
	})
}

// TestNewProcessStartsFromLastNotifiedList checks that a proxy's next process starts from the list that its
// former process received last, and a new proxy from the current list.
func TestNewProcessStartsFromLastNotifiedList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		c := newCatalog(2, 1)
		go c.Run(ctx)
		c.recordVersion("p", c.version)
		c.Change(Entry{Name: "s0", Status: Draining})
		time.Sleep(2 * time.Second)
		for proxy, want := range map[string]string{"p": Serving, "new": Draining} {
			text, known := c.Snapshot(proxy, 1, rand.New(rand.NewPCG(1, 1)))
			var list struct {
				Index     int64
				Endpoints []wireEntry
			}
			if err := json.Unmarshal(text, &list); err != nil {
				t.Fatal(err)
			}
			if got := list.Endpoints[0].Status; got != want ||
				known[0].Serving != (want == Serving) || (list.Index == 3) != (proxy == "new") {
				t.Errorf("proxy %s starts at version %d with s0 %s, want %s", proxy, list.Index, got, want)
			}
		}
		stop()
		<-c.done
	})
}
