package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crowded"] = crowdedAfterReload }

// longestQueueWait is how long a call waits for its turn before it fails: timeout_ms of the site file.
const longestQueueWait = 2 * time.Second

// queue is discovery's queue: calls wait in turn. A watch that continues does not wait.
type queue struct {
	mu        sync.Mutex
	freeAt    time.Time            // when the calls that wait now are served
	continues map[string]time.Time // by caller, until when its next call continues its watch
}

// crowd puts calls of other callers into the queue, as much as discovery works off in a span.
func (q *queue) crowd(work time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.freeAt = time.Now().Add(work)
}

// wait waits for the turn of a call. It answers one that has waited too long and returns true.
func (q *queue) wait(w http.ResponseWriter, r *http.Request, caller string) (failed bool) {
	q.mu.Lock()
	turn := q.freeAt
	if until, ok := q.continues[caller]; ok && time.Now().Before(until) {
		turn = time.Time{}
	}
	q.mu.Unlock()
	wait := time.Until(turn)
	if failed = wait > longestQueueWait; failed {
		wait = longestQueueWait
	}
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
		return true
	}
	if failed {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return failed
}

// answered notes that the caller's next call continues its watch, if it comes within 200 ms.
func (q *queue) answered(caller string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.continues[caller] = time.Now().Add(200 * time.Millisecond)
}

// crowdedAfterReload gives three proxies a new configuration that moves discovery to another address, where too
// many callers wait. A second later a nodo goes in each zone.
func crowdedAfterReload(l *lab) bool {
	c := newCatalog(l)
	nodos := l.startNodos(c, 3, 60*time.Millisecond)
	q := &queue{continues: map[string]time.Time{}}
	var plans []*proxyPlan
	var fronts []*front
	var procs []*process
	for z := range siteZones {
		plan := newPlan(fmt.Sprintf("n%d", z+1), z, z, len(siteZones))
		plan.known = c.whole()
		fronts = append(fronts, c.newFront(plan.name))
		plan.discovery = fronts[z].address
		procs = append(procs, l.startProxy(plan, plan.name, deployed("run")))
		plans = append(plans, plan)
	}
	for _, plan := range plans {
		require(l.awaitReady(plan.mgmt, 10*time.Second), "%s is not ready", plan.name)
	}
	ctx, stop := context.WithCancel(context.Background())
	clients := l.newClients()
	next := 0
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.load(ctx, 130, func() string { next++; return plans[next%len(plans)].listen }, siteClasses, 200)
	}()
	time.Sleep(5 * time.Second)
	if l.trouble {
		l.log("discovery: 2.5 s of other callers' calls wait at the new address")
		q.crowd(2500 * time.Millisecond)
	}
	var moved []*front
	for z, plan := range plans {
		f := c.newFront(plan.name)
		f.answer = func(w http.ResponseWriter, r *http.Request) bool {
			return q.wait(w, r, plan.name)
		}
		f.onAnswered = func() { q.answered(plan.name) }
		moved = append(moved, f)
		plan.discovery = f.address
		must(os.Rename(plan.write(l), filepath.Join(l.tmp, plan.name+".config.json")))
		old := fronts[z]
		time.AfterFunc(1500*time.Millisecond, old.down)
	}
	signalled := time.Now()
	for _, p := range procs {
		l.signal(p, syscall.SIGHUP)
	}
	time.Sleep(time.Second)
	gone := []*nodo{nodos[1], nodos[4], nodos[7]}
	for _, n := range gone {
		c.setStatus(n.name, "DELETED")
	}
	time.Sleep(11 * time.Second)
	stop()
	<-done
	for z, plan := range plans {
		told := moved[z].toldAt(gone[0].name, "DELETED")
		require(!told.IsZero(), "%s was never told", plan.name)
		l.log("%s was told %.3f s after the signal; sighup_applied=%s", plan.name, told.Sub(signalled).Seconds(), metric(plan.mgmt, "app.sighup_applied"))
	}
	late := 0
	for _, n := range gone {
		for _, a := range n.after(signalled.Add(5050 * time.Millisecond)) {
			if late++; late <= 30 {
				l.log("%s got request %s %.3f s after the signal", n.name, a.id, a.at.Sub(signalled).Seconds())
			}
		}
	}
	l.log("clients: %s", clients.summary())
	l.log("requests to nodos that are gone later than 5.05 s after the signal: %d", late)
	return late == 0
}
