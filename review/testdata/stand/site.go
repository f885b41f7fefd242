package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
)

// npcSettingsText holds the settings of a front proxy at npc-main, from the figures of its site file.
const npcSettingsText = `{"blend":{"whole":0.6,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.2},
"clients":{"marks_retry":true},
"contract":{"answer_slack_us":20000,"ask_every_us":10000000,"cold_us":8400000,"drain_grace_us":500000,"fall_us":1000000,"start_capacity":0.3,"tip_multiple":2.5},
"counted_by":"request","extra":{"passes_deadline":true},
"failure_domains":["cairo","alexandria","aswan","hurghada"],
"kinds":["api-fast"],
"limits":{"cancelling":true,"cpu_us_per_request":0.0,"cpu_us_per_s":400000,"dial_timeout_us":250000,"idle_close_us":10000000,"max_retry_after_us":2000000,"most_held":20000,"peers":false,"probes":false,"retry_after":false,"second_copies":false,"streams_per_conn":1,"try_limit":4},
"membership_mode":"subscribe","my_zone":0,"ordinal":0,"over_share_worth":0.1,"period_us":5000,
"profiles":[
{"dedup_scope":"all","dedup_window_us":10000000,"give_up_us":5000000,"late_share":0.0,"name":"plan-save","objective_us":2000000,"repeat":"idempotent","stream":false,"worth":12.0},
{"dedup_scope":"all","dedup_window_us":10000000,"give_up_us":2500000,"late_share":0.0,"name":"browse","objective_us":1000000,"repeat":"idempotent","stream":false,"worth":1.0},
{"dedup_scope":"cell","dedup_window_us":10000000,"give_up_us":6000000,"late_share":0.0,"name":"box-add","objective_us":2000000,"repeat":"deduplicated","stream":false,"worth":1.0}],
"report":{"fields":[],"how":"off"},"service_type":"chain","siblings":5,"stage":0,"tenants":[],"tiers":["member-api","box-stock"],"weights":"off"}`

// settingsText holds the settings of a front proxy at tarifas-norte, as WIRE gives them, with three zones.
const settingsText = `{"blend":{"whole":0.7,"worst_class":0.2,"worst_tenant":0.0,"worst_window":0.1},
"clients":{"marks_retry":true},
"contract":{"answer_slack_us":20000,"ask_every_us":10000000,"cold_us":8800000,"drain_grace_us":1000000,"fall_us":2000000,"start_capacity":0.32,"tip_multiple":3.0},
"counted_by":"request","extra":{"passes_deadline":false},
"failure_domains":["monterrey","queretaro","guadalajara"],
"kinds":["entrada-rapido","entrada-medio","entrada-lento"],
"limits":{"cancelling":true,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"dial_timeout_us":250000,"idle_close_us":5000000,"max_retry_after_us":2000000,"most_held":20000,"peers":false,"probes":false,"retry_after":true,"second_copies":true,"streams_per_conn":1,"try_limit":3},
"membership_mode":"subscribe","my_zone":0,"ordinal":0,"over_share_worth":0.1,"period_us":5000,
"profiles":[
{"dedup_scope":"all","dedup_window_us":5000000,"give_up_us":4000000,"late_share":0.0,"name":"alta-tarifa","objective_us":1500000,"repeat":"at_most_once","stream":false,"worth":10.0},
{"dedup_scope":"zone","dedup_window_us":7500000,"give_up_us":5000000,"late_share":0.0,"name":"lectura","objective_us":2000000,"repeat":"deduplicated","stream":false,"worth":3.0}],
"report":{"fields":[],"how":"off"},"service_type":"chain","siblings":3,"stage":0,"tenants":[],"tiers":["entrada","tarifas"],"weights":"off"}`

// siteConfig holds the addresses and limits of one proxy's configuration.
type siteConfig struct {
	name, listen, discovery string
	base                    string // the settings; empty: settingsText
	memoryMB, sockets       int
	settings                map[string]any // keys of the settings that differ
}

// encode returns the text of the configuration file.
func (c siteConfig) encode(known list) []byte {
	var settings map[string]any
	must(json.Unmarshal([]byte(cmp.Or(c.base, settingsText)), &settings))
	for key, value := range c.settings {
		settings[key] = value
	}
	config := map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known":    known,
		"settings": settings,
	}
	text, err := json.MarshalIndent(config, "", " ")
	must(err)
	return text
}

// write replaces the configuration file.
func (c siteConfig) write(dir string, known list) string {
	path := filepath.Join(dir, c.name+".json")
	must(os.WriteFile(path+".new", c.encode(known), 0o600))
	must(os.Rename(path+".new", path))
	return path
}

// freeAddress returns a loopback address with a port that is unused now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	defer l.Close()
	return l.Addr().String()
}
