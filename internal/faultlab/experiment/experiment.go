// Package experiment defines the file format of the fault lab's experiments: the cluster, its load, the
// faults and the expected metrics. Times in files are in seconds, or in milliseconds for keys that end in
// _ms. The package reads and checks files and never runs anything.
//
// Read reports all problems of a file at once, each with its line and key.
package experiment

import (
	"fmt"
	"slices"
	"time"
)

// Experiment is the content of an experiment file.
type Experiment struct {
	Base    string  `toml:"base"` // path of a file whose keys are the defaults of this one
	Title   string  `toml:"title"`
	Seconds float64 `toml:"seconds"` // duration of the load
	Warmup  float64 `toml:"warmup"`  // seconds at the start that are left out of the metrics
	Seed    uint64  `toml:"seed"`
	Repeat  int     `toml:"repeat"` // number of plays, each with the next seed

	Lab     Lab      `toml:"lab"`
	Network Network  `toml:"network"`
	Zones   []Zone   `toml:"zone"`
	Classes []Class  `toml:"class"`
	Load    Load     `toml:"load"`
	Clients Clients  `toml:"clients"`
	Proxy   Proxy    `toml:"proxy"`
	Servers Servers  `toml:"nodos"`
	List    List     `toml:"list"`
	Cluster Cluster  `toml:"fleet"`
	Hollow  Hollow   `toml:"hollow"`
	Phases  []Phase  `toml:"phase"`
	Faults  []Fault  `toml:"fault"`
	Expect  []Expect `toml:"expect"`
}

// Lab holds the limits of the lab itself.
type Lab struct {
	LateMs    float64 `toml:"late_ms"`    // a higher 99th percentile of the arrivals' lateness voids the run
	StallMs   float64 `toml:"stall_ms"`   // a longer stall of the lab voids the run
	StartGap  float64 `toml:"start_gap"`  // maximum seconds between two starts of proxies; drawn at random
	ReadyWait float64 `toml:"ready_wait"` // timeout in seconds for all proxies to be healthy before the load
	Rules     string  `toml:"rules"`      // "enforce" or "report": whether a violation fails the run
}

// Network holds the one-way delays within and between zones.
type Network struct {
	LocalMs float64 `toml:"local_ms"`
	CrossMs float64 `toml:"cross_ms"`
}

// Zone is a zone with its proxies and servers.
type Zone struct {
	Name    string        `toml:"name"`
	Proxies int           `toml:"proxies"`
	Traffic float64       `toml:"traffic"` // weight among the zones' clients
	Servers []ServerGroup `toml:"nodos"`
}

// ServerGroup is a number of equal servers of a zone.
type ServerGroup struct {
	Count int     `toml:"count"`
	Kind  string  `toml:"kind"`
	Speed float64 `toml:"speed"` // of a slot; 1 is nominal
	Slots int     `toml:"slots"` // requests that a server works on at the same time
	Queue int     `toml:"queue"` // requests that wait for a slot
}

// Servers holds the settings of all servers.
type Servers struct {
	StartCapacity     float64 `toml:"start_capacity"` // fraction of the full capacity at a start
	SlowStartMs       float64 `toml:"cold_ms"`        // duration of slow start
	OverloadMultiple  float64 `toml:"tip_multiple"`   // of the current capacity; more work is an overload
	OverloadFailureMs float64 `toml:"fall_ms"`        // an overload of this duration fails the server
	MaxConnections    int     `toml:"max_conns"`
	ConnectMs         float64 `toml:"connect_ms"`   // delay of a new connection's first request
	ConnectWork       float64 `toml:"connect_work"` // work for a new connection, in ms
	CancelsWork       bool    `toml:"cancelling"`   // work stops when the connection closes
}

// Class is a class of requests.
type Class struct {
	Name          string    `toml:"name"`
	Share         float64   `toml:"share"`
	WorkMs        []float64 `toml:"work_ms"` // from, to: uniformly distributed
	ObjectiveMs   float64   `toml:"aim_ms"`
	DeadlineMs    float64   `toml:"give_up_ms"` // of all attempts together
	Weight        float64   `toml:"worth"`
	RetryClass    string    `toml:"repeat"`
	KeyScope      string    `toml:"scope"`
	KeyWindowMs   float64   `toml:"window_ms"`
	ResponseBytes []int     `toml:"answer_bytes"`
	RequestBytes  []int     `toml:"body_bytes"`
}

// Load is the rate of arrivals over time.
type Load struct {
	Rate         [][]float64 `toml:"rate"` // [second, arrivals a second]; linear between
	EvenlySpaced bool        `toml:"even"` // evenly spaced arrivals instead of a Poisson process
}

// RateAt returns the rate, in arrivals a second, s seconds after the start of the load: linear between the
// points and constant outside them.
func (l Load) RateAt(s float64) float64 {
	last := 0.0
	for i, p := range l.Rate {
		if len(p) != 2 {
			continue
		}
		if s <= p[0] {
			if i == 0 || len(l.Rate[i-1]) != 2 {
				return p[1]
			}
			a := l.Rate[i-1]
			return a[1] + (p[1]-a[1])*(s-a[0])/(p[0]-a[0])
		}
		last = p[1]
	}
	return last
}

// requests returns the expected number of arrivals, to about one percent.
func (l Load) requests(seconds float64) (n float64) {
	const steps = 1000
	for i := range steps {
		n += l.RateAt((float64(i)+0.5)*seconds/steps) * seconds / steps
	}
	return n
}

// Clients holds the settings of the clients.
type Clients struct {
	Retries            int       `toml:"retries"`
	WaitMs             float64   `toml:"wait_ms"`
	AttemptFraction    []float64 `toml:"try_part"` // of the class's deadline, for an attempt: from, to
	MarkRetry          bool      `toml:"mark_retry"`
	CancelFraction     float64   `toml:"leave_part"`  // fraction of the attempts that clients cancel early
	FailureDetectionMs float64   `toml:"notice_ms"`   // until the front detects a dead proxy
	OtherZones         bool      `toml:"other_zones"` // the front uses other zones when its own has no proxy
}

// Proxy holds the settings of the proxies.
type Proxy struct {
	Cores           float64        `toml:"cores"`
	MemoryMB        int            `toml:"memory_mb"`
	Sockets         int            `toml:"sockets"`
	MaxAttempts     int            `toml:"try_limit"`
	Hedging         bool           `toml:"second_copies"`
	DialTimeoutMs   float64        `toml:"dial_ms"`
	IdleTimeoutMs   float64        `toml:"idle_ms"`
	DrainGraceMs    float64        `toml:"drain_grace_ms"`
	PollIntervalMs  float64        `toml:"ask_every_ms"`
	DeadlineSlackMs float64        `toml:"slack_ms"`
	MaxRetryAfterMs float64        `toml:"retry_after_ms"` // maximum; 0: no Retry-After
	Membership      string         `toml:"membership"`
	Settings        map[string]any `toml:"settings"` // override keys of the settings object
	Config          map[string]any `toml:"config"`   // override keys of the configuration
	KnownFraction   *float64       `toml:"known"`    // fraction of the servers in a starting proxy's list; default all
}

// List holds the settings of the list service or of the catalog that replaces it.
type List struct {
	NotificationDelayMs float64 `toml:"lag_ms"`  // from a change until it is announced
	CallMs              float64 `toml:"call_ms"` // work for a call; calls are handled one after another
	EntryUs             float64 `toml:"line_us"` // work for an entry of an answer
	QueueTimeoutMs      float64 `toml:"wait_ms"` // a call that is queued for longer gets 503
	SyncIntervalMs      float64 `toml:"sync_ms"` // between two syncs of the catalog's file
	RetainedChanges     int     `toml:"retain"`  // for watches; older ones get the complete list
	MaxWaitingCalls     int     `toml:"most"`    // maximum number of queued calls; more get 503 at once
	Zone                string  `toml:"zone"`    // zone of the list; empty: in each zone

	// With members, real processes of the list service are used, and none of the settings above.
	Members      int     `toml:"members"`     // number of members; 0: the catalog
	LeaseMs      float64 `toml:"lease_ms"`    // of a server
	ElectionMs   float64 `toml:"election_ms"` // of the members
	MaxListAgeMs float64 `toml:"stale_ms"`    // maximum age of a list that is served
}

// Cluster holds the settings of the cluster that the proxies form by gossip.
type Cluster struct {
	Enabled bool   `toml:"on"`
	Label   string `toml:"label"`
	Seeds   int    `toml:"seeds"` // gossip seeds of each proxy, spread over the zones
}

// Fault is a fault to inject. Its JSON encoding is part of the digest of a plan.
type Fault struct {
	At       float64 `toml:"at"`
	Duration float64 `toml:"for" json:"For"` // seconds; 0: to the end, or none for kinds without duration
	Kind     string  `toml:"kind"`

	Zone    string   `toml:"zone"`
	Proxies []string `toml:"proxies"` // names; if empty, drawn from those of the zone, or from all
	Servers []string `toml:"nodos"`
	Members []string `toml:"members"` // of the list service: r1, r2..., leader, follower; empty: all
	Share   float64  `toml:"share"`   // fraction of the possible targets that is drawn; 0: all
	Spread  float64  `toml:"spread"`  // seconds over which the targets are spread

	// Link is client, nodo, list, lease (from servers to the list service) or gossip; empty: all.
	Link      string  `toml:"link"`
	Direction string  `toml:"direction"` // both, out (requests are lost) or back (responses are lost)
	FromZone  string  `toml:"from_zone"`
	ToZone    string  `toml:"to_zone"`
	DelayMs   float64 `toml:"ms" json:"Ms"`
	Fraction  float64 `toml:"part" json:"Part"`
	Factor    float64 `toml:"factor"`
	Versions  int     `toml:"versions"`
	// Service is the number, from 1, of the service of hollow servers or configurations; 0: all.
	Service          int  `toml:"service"`
	Count            int  `toml:"count"` // maximum number of hollow servers; number of configuration writes
	ByzantineMembers int  `toml:"liars" json:"Liars"`
	Clients          int  `toml:"clients"`              // idle or costly ones, at each proxy
	InvalidConfig    bool `toml:"faulty" json:"Faulty"` // writes a document that must be rejected
	KeepDirectory    bool `toml:"keep" json:"Keep"`     // a restarted proxy keeps its directory
}

// Expect holds the bounds of a metric.
type Expect struct {
	Metric string   `toml:"figure"`
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	From   float64  `toml:"from"` // span of the arrivals that count, in seconds; only for span metrics
	To     float64  `toml:"to"`
}

// Span returns the span of arrivals that count for an expectation, in seconds. A To of 0 is the end of the
// run.
func (expect Expect) Span(exp *Experiment) (from, to float64) {
	from, to = expect.From, expect.To
	if from == 0 && to == 0 {
		from = exp.Warmup
	}
	if to == 0 {
		to = exp.Seconds
	}
	return from, to
}

// Seconds converts a file's seconds to a duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Millis converts a file's milliseconds to a duration.
func Millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// Node is a proxy or a server of the cluster.
type Node struct {
	Name  string
	Zone  string
	Group ServerGroup // of a server
}

// ProxyNodes returns the proxies, named by zone and a number from 1.
func (e *Experiment) ProxyNodes() []Node {
	var out []Node
	for _, z := range e.Zones {
		for i := range z.Proxies {
			out = append(out, Node{Name: fmt.Sprintf("%s-p%d", z.Name, i+1), Zone: z.Name})
		}
	}
	return out
}

// ServerNodes returns the servers, named by zone and a number from 1 that counts over all groups of the zone.
func (e *Experiment) ServerNodes() []Node {
	var out []Node
	for _, z := range e.Zones {
		n := 0
		for _, g := range z.Servers {
			for range g.Count {
				n++
				out = append(out, Node{Name: fmt.Sprintf("%s-s%d", z.Name, n), Zone: z.Name, Group: g})
			}
		}
	}
	return out
}

// ZoneNames returns the names of the zones in the order of the file.
func (e *Experiment) ZoneNames() []string {
	var out []string
	for _, z := range e.Zones {
		out = append(out, z.Name)
	}
	return out
}

// MaxPairLinks is the maximum number of pairs of a proxy and a server for which each pair has a link of its
// own, since file descriptors are limited. With more pairs, the proxies of a zone share their links, which
// can then be selected by zone only.
const MaxPairLinks = 6000

// SharedLinks reports whether the proxies of a zone share their links to servers.
func (e *Experiment) SharedLinks() bool {
	return len(e.ProxyNodes())*len(e.ServerNodes()) > MaxPairLinks
}

// FaultKinds holds the kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	"kill": {Proxies: true,
		Effect: "SIGKILL; started again after `for`, with empty directories unless `keep` is set"},
	"stop": {Proxies: true, HasDuration: true, Effect: "SIGSTOP, and SIGCONT after `for`"},
	"restart": {Proxies: true,
		Effect: "planned: SIGTERM, `versions` signals, SIGKILL at the longest deadline, start after `for`"},
	"upgrade": {Proxies: true,
		Effect: "a successor is started, then the old process gets SIGTERM, as the on-call page describes"},
	"power_loss": {Proxies: true,
		Effect: "SIGKILL, and part of the latest writes to its files is lost; its directory is kept"},
	"reload": {Proxies: true,
		Effect: "SIGHUP, `versions` times in a row, with the configuration in force or a broken one"},
	"hold_up": {Proxies: true, HasDuration: true, Effect: "SIGSTOP for up to 0.15 s, repeatedly"},
	"crowd": {Proxies: true, HasDuration: true, RequiredKeys: []string{"clients"},
		Effect: "`clients` clients connect to each and send nothing"},
	"costly": {Proxies: true, HasDuration: true, RequiredKeys: []string{"clients"},
		Effect: "`clients` clients send unsound requests to each at full speed; no answer to others may be late"},
	"rude":      {Proxies: true, HasDuration: true, Effect: "clients connect that send no valid request"},
	"disk_full": {Proxies: true, HasDuration: true, Effect: "every write of at least a byte to a file fails"},

	"nodo_kill": {Servers: true, Effect: "the process ends; started again after `for`, with slow start"},
	"nodo_silent": {Servers: true, HasDuration: true,
		Effect: "the machine disappears: its links drop all data; connections are reset at the end"},
	"nodo_hang": {Servers: true, HasDuration: true,
		Effect: "accepts connections and requests, and never responds"},
	"nodo_slow": {Servers: true, HasDuration: true, RequiredKeys: []string{"factor"},
		Effect: "takes `factor` times as long"},
	"nodo_errors": {Servers: true, HasDuration: true, RequiredKeys: []string{"part"},
		Effect: "responds with 500 to a fraction `part` of its requests"},
	"nodo_garble": {Servers: true, HasDuration: true, RequiredKeys: []string{"part"},
		Effect: "corrupts a fraction `part` of its responses"},
	"nodo_drain": {Servers: true,
		Effect: "drains, and leaves the list 2 s later; started again after `for`, with slow start"},
	"nodo_replace": {Servers: true,
		Effect: "drains and ends, while one with slow start and a new name takes its place"},

	"zone_loss": {Zone: true, HasDuration: true,
		Effect: "its nodos disappear and its proxies are killed; all start again without their state"},
	"zone_cut": {Zone: true, HasDuration: true, Effect: "all links between it and other zones drop all data"},

	"cut": {Links: true, HasDuration: true,
		Effect: "links drop all data, in `direction`; open connections stay open"},
	"delay": {Links: true, HasDuration: true, RequiredKeys: []string{"ms"},
		Effect: "`ms` more delay each way"},
	"loss": {Links: true, HasDuration: true, RequiredKeys: []string{"part"},
		Effect: "a fraction `part` of the writes is late by a retransmission; of datagrams it is lost"},
	"reset": {Links: true,
		Effect: "open connections are reset; during `for`, new ones too, at their first byte"},

	"hollow_replace": {Hollow: true,
		Effect: "hollow nodos drain, end 2 s later, and are back at once as another process"},
	"hollow_die": {Hollow: true, Effect: "hollow nodos end without notice; back after `for`"},

	"config_put": {Configs: true,
		Effect: "`count` configurations are written over `spread` to services in turn; invalid if `faulty`"},

	"gossip_lie": {Servers: true, HasDuration: true, RequiredKeys: []string{"liars"},
		Effect: "`liars` more members join the fleet and report the nodos and all other zones as failing"},

	"member_kill": {Members: true,
		Effect: "members of the list service are killed at once; back after `for` with their directories"},
	"member_stop": {Members: true, HasDuration: true, Effect: "SIGSTOP, and SIGCONT after `for`"},
	"member_cut": {Members: true, HasDuration: true,
		Effect: "links between them and the other members drop all data, in `direction`"},
	"member_damage": {Members: true,
		Effect: "killed, a file of each truncated at a random byte; one that rejects the file starts empty"},

	"list_down": {HasDuration: true, Effect: "the list service refuses connections"},
	"list_slow": {HasDuration: true, RequiredKeys: []string{"factor"},
		Effect: "calls take `factor` times as long"},
	"list_stale": {HasDuration: true, Effect: "it announces no change that happens meanwhile"},
	"list_disk_full": {HasDuration: true,
		Effect: "it can store no change, and announces none that it cannot store"},
	"list_rollback": {RequiredKeys: []string{"versions"},
		Effect: "its version goes back by `versions`, with its content"},
	"list_power_loss": {Effect: "it goes down, loses changes that were not synced, and is back after `for`"},
}

// FaultKind describes a kind of fault.
type FaultKind struct {
	Proxies, Servers, Zone, Links, Members, Hollow bool     // the kinds of its targets
	Configs                                        bool     // it writes configurations
	HasDuration                                    bool     // it lasts for the key `for`
	RequiredKeys                                   []string // keys that must be greater than 0
	Effect                                         string   // in a few words
}

// FaultKindNames returns the names of the kinds in alphabetical order.
func FaultKindNames() []string {
	var out []string
	for k := range FaultKinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
