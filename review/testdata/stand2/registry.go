package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

func init() { cases["redrain"] = registryForgetsDrain }

// command runs one of the project's commands to its end and returns what it printed.
func (l *lab) command(name, command string) string {
	p := l.startProcess(name, command)
	require(l.awaitEnd(p, 10*time.Second) && p.err == nil, "%s failed: %v", command, p.err)
	text, err := os.ReadFile(p.logPath)
	must(err)
	l.log("%s printed: %s", name, strings.TrimSpace(string(text)))
	return string(text)
}

// registryForgetsDrain cuts a draining nodo off from the registry for longer than its lease.
func registryForgetsDrain(l *lab) bool {
	api, figures := freeAddress(), freeAddress()
	config := filepath.Join(l.tmp, "r1.toml")
	must(os.WriteFile(config, fmt.Appendf(nil, "name = \"r1\"\ndir = \"r1\"\nlisten = %q\nfigures = %q\n", api, figures), 0o600))
	l.startProcess("registry", "exec bin/merlinpick-registry serve --config "+config)
	require(await(15*time.Second, func() bool { status, _ := call("GET", figures, "/readyz"); return status == 200 }), "the registry is not ready")

	way := newRelay(api) // of the first nodo to the registry
	var nodos []*nodo
	for _, zone := range siteZones {
		for i := range 2 {
			n := l.newNodo(fmt.Sprintf("s-%s%d", zone[:1], i+1), zone, 60*time.Millisecond)
			at := api
			if len(nodos) == 0 {
				at = way.address
			}
			l.startProcess("keep-"+n.name, fmt.Sprintf("exec bin/merlinpick-registry nodos register %s %s --zone %s --group 1 --lease 5s --keep --at %s",
				n.name, n.addr, zone, at))
			nodos = append(nodos, n)
		}
	}
	list := func(name string) string {
		_, text := call("GET", api, "/catalog/members?consistent=1")
		for _, part := range strings.Split(text, "{") {
			if strings.Contains(part, fmt.Sprintf("%q:%q", "name", name)) {
				_, status, _ := strings.Cut(part, `"status":"`)
				status, _, _ = strings.Cut(status, `"`)
				return status
			}
		}
		return "not listed"
	}
	for _, n := range nodos {
		require(await(10*time.Second, func() bool { return list(n.name) == "SERVING" }), "%s has not registered", n.name)
	}
	plan := newPlan("n1", 0, 0, 1)
	plan.extra = map[string]any{"discovery_members": []string{api}}
	plan.discovery = api
	l.startProxy(plan, "n1", deployed("run"))
	require(l.awaitReady(plan.mgmt, 10*time.Second), "the proxy is not ready")
	ctx, stop := context.WithCancel(context.Background())
	clients := l.newClients()
	done := make(chan struct{})
	go func() {
		defer close(done)
		clients.load(ctx, 30, func() string { return plan.listen }, plan.classes, 200)
	}()
	time.Sleep(2 * time.Second)
	drained := nodos[0]
	require(len(drained.after(l.start)) > 0, "%s got no requests before", drained.name)
	l.command("drain", "exec bin/merlinpick-registry nodos drain "+drained.name+" --at "+api)
	drainedAt := time.Now()
	time.Sleep(3 * time.Second)
	require(len(drained.after(drainedAt.Add(1500*time.Millisecond))) == 0, "requests go to the draining nodo before the disruption")
	if l.trouble {
		l.log("%s is cut off from the registry", drained.name)
		way.setCut(true)
	}
	shown := ""
	watch := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if now := list(drained.name); now != shown {
				l.log("the registry's list: %s is %s", drained.name, now)
				shown = now
			}
		}
	}
	watch(6 * time.Second)
	way.setCut(false)
	l.log("the way of %s to the registry is whole", drained.name)
	watch(8 * time.Second)
	stop()
	<-done
	late := drained.after(drainedAt.Add(1500 * time.Millisecond))
	for i, a := range late {
		if i < 10 {
			l.log("%s got request %s %.3f s after it had been drained", drained.name, a.id, a.at.Sub(drainedAt).Seconds())
		}
	}
	l.log("clients: %s", clients.summary())
	l.log("requests to %s later than 1.5 s after its drain was confirmed: %d", drained.name, len(late))
	return len(late) == 0
}
