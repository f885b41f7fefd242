package main

import (
	"context"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = upgradeForgetsList }

// upgradeForgetsList replaces the process of a proxy while discovery is down. Since its start a release has
// replaced all nodos, half of them at a time, and discovery has told the proxy so.
func upgradeForgetsList(l *lab) bool {
	c := newCatalog(l)
	former := l.startNodos(c, 2, 60*time.Millisecond)
	plan := newPlan("n1", 0, 0, 1)
	plan.known = c.whole() // of the start; it stays in the configuration
	f := c.newFront(plan.name)
	plan.discovery = f.address
	old := l.startProxy(plan, "n1-old", deployed("run"))
	require(l.awaitReady(plan.mgmt, 10*time.Second), "the proxy is not ready")

	ctx, stop := context.WithCancel(context.Background())
	clients := l.newClients()
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.load(ctx, 30, func() string { return plan.listen }, plan.classes, 200)
	}()
	for step := range 2 {
		time.Sleep(2 * time.Second)
		half := former[step*len(former)/2 : (step+1)*len(former)/2]
		var coming, draining, gone []entry
		for _, n := range half {
			coming = append(coming, l.newNodo("r"+n.name[1:], n.zone, n.work).entry())
			e := n.entry()
			e.Status = "DRAINING"
			draining = append(draining, e)
			e.Status = "DELETED"
			gone = append(gone, e)
		}
		c.put(coming...)
		time.Sleep(2 * time.Second)
		for _, n := range half {
			n.drain()
		}
		c.put(draining...)
		time.Sleep(2 * time.Second)
		c.put(gone...)
	}
	time.Sleep(2 * time.Second)
	for _, n := range former {
		require(!f.toldAt(n.name, "DRAINING").IsZero() && !f.toldAt(n.name, "DELETED").IsZero(), "the proxy was not told of %s", n.name)
		require(len(n.after(time.Now().Add(-900*time.Millisecond))) == 0, "the old process itself sends to %s", n.name)
	}

	before := time.Now()
	if l.trouble {
		f.down()
	}
	plan.mgmt = freeAddress()
	l.startProxy(plan, "n1-new", deployed("run"))
	require(l.awaitReady(plan.mgmt, 6*time.Second), "the new process has not said yes within 6 s")
	yesAt := time.Now()
	clients.http.CloseIdleConnections()
	l.signal(old, syscall.SIGTERM)
	time.Sleep(time.Until(before.Add(8 * time.Second)))
	backAt := time.Now()
	if l.trouble {
		f.up()
	}
	time.Sleep(4 * time.Second)
	stop()
	<-done
	l.awaitEnd(old, time.Second)
	l.log("clients: %s", clients.summary())
	total, beyond := 0, 0
	for _, n := range former {
		told := f.toldAt(n.name, "DRAINING")
		for _, a := range n.after(before) {
			if total++; total <= 40 {
				l.log("%s got request %s %.3f s after discovery had told the proxy that it drains, %.3f s after the yes", n.name, a.id,
					a.at.Sub(told).Seconds(), a.at.Sub(yesAt).Seconds())
			}
			if a.at.After(yesAt.Add(3050 * time.Millisecond)) {
				beyond++
			}
		}
	}
	l.log("requests to nodos of which discovery had told the proxy over 3 s before that they drain and that they are gone: %d, %d of them "+
		"later than 3.05 s after the yes; discovery was back %.1f s after it", total, beyond, backAt.Sub(yesAt).Seconds())
	return total == 0
}
