package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// class is a request class of the settings.
type class struct {
	name              string
	objective, giveUp time.Duration
	worth             float64
	repeat, scope     string
	window            time.Duration
}

// siteClasses are the classes of tarifas-norte.
var siteClasses = []class{
	{"alta-tarifa", 1500 * time.Millisecond, 4 * time.Second, 10, "at_most_once", "all", 5 * time.Second},
	{"lectura", 2 * time.Second, 5 * time.Second, 3, "deduplicated", "zone", 7500 * time.Millisecond},
}

var siteZones = []string{"monterrey", "queretaro", "guadalajara"}

// proxyPlan is the configuration of a proxy.
type proxyPlan struct {
	name      string
	listen    string
	mgmt      string
	discovery string
	known     *listMessage
	memoryMB  float64
	sockets   int
	zone      int
	ordinal   int
	replicas  int
	classes   []class
	extra     map[string]any // more keys of the configuration
	adjust    func(settings map[string]any)
	seed      string
}

// settings returns the settings object of a plan, with the figures of tarifas-norte.
func (p *proxyPlan) settings() map[string]any {
	var profiles []map[string]any
	for _, c := range p.classes {
		profiles = append(profiles, map[string]any{"name": c.name, "objective_us": c.objective.Microseconds(),
			"give_up_us": c.giveUp.Microseconds(), "worth": c.worth, "repeat": c.repeat, "dedup_scope": c.scope,
			"dedup_window_us": c.window.Microseconds(), "late_share": 0.0, "stream": false})
	}
	settings := map[string]any{
		"contract": map[string]any{"answer_slack_us": 50000, "ask_every_us": 10000000, "cold_us": 8800000,
			"drain_grace_us": 1000000, "fall_us": 2000000, "start_capacity": 0.32, "tip_multiple": 3.0},
		"counted_by":      "request",
		"failure_domains": siteZones,
		"kinds":           []string{"entrada-rapido", "entrada-medio", "entrada-lento"},
		"limits": map[string]any{"cancelling": true, "cpu_us_per_s": 8000, "dial_timeout_us": 250000, "idle_close_us": 5000000,
			"max_retry_after_us": 2000000, "retry_after": true, "second_copies": true, "streams_per_conn": 1, "try_limit": 3},
		"membership_mode": "subscribe", "my_zone": p.zone, "ordinal": p.ordinal, "siblings": p.replicas,
		"period_us": 5000, "profiles": profiles, "service_type": "chain", "stage": 0, "tenants": []any{},
		"tiers": []string{"entrada", "tarifas"}, "weights": "off",
	}
	if p.adjust != nil {
		p.adjust(settings)
	}
	return settings
}

// write writes the configuration to a file of the lab and returns its path.
func (p *proxyPlan) write(l *lab) string {
	config := map[string]any{"name": p.name, "listen": p.listen, "discovery": p.discovery, "seed": p.seed,
		"limits":   map[string]any{"cores": 1.0, "memory_mb": p.memoryMB, "sockets": p.sockets},
		"settings": p.settings()}
	if p.known != nil {
		config["known"] = p.known
	}
	if p.mgmt != "" {
		config["mgmt"] = p.mgmt
	}
	for key, value := range p.extra {
		config[key] = value
	}
	path := filepath.Join(l.tmp, p.name+".json")
	writeJSON(path+".new", config)
	must(os.Rename(path+".new", path))
	return path
}

// newPlan returns the plan of a proxy with a second address.
func newPlan(name string, zone, ordinal, replicas int) *proxyPlan {
	return &proxyPlan{name: name, listen: freeAddress(), mgmt: freeAddress(), memoryMB: 64, sockets: 384, zone: zone,
		ordinal: ordinal, replicas: replicas, classes: siteClasses, seed: fmt.Sprintf("8c1f30d27a5be96%d", ordinal)}
}

// startProxy starts the command of the deploy file, or another one, with a plan. The folder of TMPDIR stays for a
// further process of the same proxy.
func (l *lab) startProxy(p *proxyPlan, processName, command string) *process {
	folder := filepath.Join(l.tmp, "t-"+p.name)
	must(os.MkdirAll(folder, 0o700))
	config := p.write(l)
	own := filepath.Join(l.tmp, processName+".config.json") // a further process has another second address
	text, err := os.ReadFile(config)
	must(err)
	must(os.WriteFile(own, text, 0o600))
	return l.startProcess(processName, command, "LB_CONFIG="+own, "LB_NAME="+p.name, "TMPDIR="+folder,
		"LB_LOG_LEVEL="+os.Getenv("LB_LOG_LEVEL"))
}

// awaitReady waits until the second address says yes.
func (l *lab) awaitReady(mgmt string, limit time.Duration) bool {
	ready := await(limit, func() bool { status, _ := call("GET", mgmt, "/v1/readyz"); return status == 200 })
	l.log("%s: ready is %v", mgmt, ready)
	return ready
}
