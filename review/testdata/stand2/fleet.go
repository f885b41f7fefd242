package main

import (
	"context"
	"strings"
	"time"
)

func init() { cases["fleet"] = fleetLosesBan }

// metric returns a figure of a proxy's metrics, "" if it has none.
func metric(mgmt, name string) string {
	_, text := call("GET", mgmt, "/v1/metrics")
	for _, line := range strings.Split(text, "\n") {
		if value, ok := strings.CutPrefix(line, name+"="); ok {
			return value
		}
	}
	return ""
}

// fleetLosesBan cuts two proxies of a cluster off from each other for a few seconds. Meanwhile one is told to
// take a nodo back, and then the other is told to leave it out.
func fleetLosesBan(l *lab) bool {
	c := newCatalog(l)
	nodos := l.startNodos(c, 2, 40*time.Millisecond)
	var banned *nodo
	for _, n := range nodos {
		if n.zone == siteZones[1] {
			banned = n
		}
	}
	bind := []string{freeAddress(), freeAddress()}
	relays := []*relay{newRelay(bind[0]), newRelay(bind[1])}
	var plans []*proxyPlan
	for i := range 2 {
		plan := newPlan([]string{"n1", "n2"}[i], i, i, 2)
		plan.known = c.whole()
		plan.discovery = c.newFront(plan.name).address
		plan.extra = map[string]any{"fleet": map[string]any{"bind": bind[i], "advertise": relays[i].address, "label": "tarifas",
			"seeds": []string{relays[0].address, relays[1].address}}}
		plans = append(plans, plan)
		l.startProxy(plan, plan.name, "exec bin/merlinpick-cluster-proxy")
	}
	for _, plan := range plans {
		require(l.awaitReady(plan.mgmt, 10*time.Second), "%s is not ready", plan.name)
		require(await(15*time.Second, func() bool { return metric(plan.mgmt, "app.fleet_living") == "2" }), "%s has not joined", plan.name)
	}
	operator := func(plan *proxyPlan, verb string) {
		status, text := call("POST", plan.mgmt, "/v1/nodos/"+banned.name+"/"+verb)
		l.log("operator: %s %s at %s: %d %s", verb, banned.name, plan.name, status, text)
		require(status == 200, "the call was not answered with yes")
	}
	suspended := func(plan *proxyPlan, count string) {
		require(await(5*time.Second, func() bool { return metric(plan.mgmt, "app.fleet_suspended") == count }),
			"%s does not show %s suspensions", plan.name, count)
		l.log("%s shows fleet_suspended=%s", plan.name, count)
	}
	operator(plans[0], "suspend")
	suspended(plans[1], "1")

	ctx, stop := context.WithCancel(context.Background())
	viaSecond := l.newClients()
	done := make(chan struct{})
	go func() {
		defer close(done)
		viaSecond.load(ctx, 30, func() string { return plans[1].listen }, plans[1].classes, 200)
	}()
	time.Sleep(2 * time.Second)
	if l.trouble {
		l.log("the two proxies are cut off from each other")
		for _, r := range relays {
			r.setCut(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	operator(plans[0], "resume")
	if !l.trouble {
		suspended(plans[1], "0")
	}
	time.Sleep(500 * time.Millisecond)
	operator(plans[1], "suspend")
	yes := time.Now()
	time.Sleep(4 * time.Second)
	for _, r := range relays {
		r.setCut(false)
	}
	l.log("the way between the two proxies is whole")
	var lostAt time.Time // when n2 shows that it has dropped the ban
	for mended := time.Now(); time.Since(mended) < 60*time.Second && (lostAt.IsZero() || time.Since(lostAt) < 5*time.Second); {
		time.Sleep(200 * time.Millisecond)
		if value := metric(plans[1].mgmt, "app.fleet_suspended"); value != "1" && lostAt.IsZero() {
			lostAt = time.Now()
			l.log("n2 shows fleet_suspended=%s", value)
		}
	}
	stop()
	<-done
	late := banned.after(yes.Add(1050 * time.Millisecond))
	for i, a := range late {
		if i < 20 {
			l.log("%s got request %s %.3f s after n2 had said yes to its suspension", banned.name, a.id, a.at.Sub(yes).Seconds())
		}
	}
	l.log("clients of n2: %s", viaSecond.summary())
	l.log("requests to %s by n2 later than 1.05 s after the yes: %d", banned.name, len(late))
	return len(late) == 0
}
