// Package experiment is the file format of the fault lab: the cluster, its load, the faults and what is expected of the metrics. Times
// in files are seconds (plain numbers) or milliseconds (keys ending in _ms). It reads and checks files and never runs anything.
//
// Read reports all problems of a file at once, each with its line and key.
package experiment

import (
	"fmt"
	"slices"
	"time"
)

// Experiment is the content of a file.
type Experiment struct {
	Base    string  `toml:"base"` // path of a file whose keys are the defaults of this one
	Title   string  `toml:"title"`
	Seconds float64 `toml:"seconds"` // duration of the load
	Warmup  float64 `toml:"warmup"`  // seconds at the start, left out of the metrics
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
	StallMs   float64 `toml:"stall_ms"`   // a longer pause of the lab voids the run
	StartGap  float64 `toml:"start_gap"`  // maximum seconds between the starts of two proxies, drawn at random
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

// ServerGroup is a number of equal servers.
type ServerGroup struct {
	Count int     `toml:"count"`
	Kind  string  `toml:"kind"`
	Speed float64 `toml:"speed"` // of a slot; 1 is nominal
	Slots int     `toml:"slots"`
	Queue int     `toml:"queue"`
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
	EvenlySpaced bool        `toml:"even"` // equal distances in place of a Poisson process
}

// RateAt is the number of arrivals a second at a second: linear between the points, constant outside them.
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

// requests is the expected number of arrivals, to about one percent.
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
	AttemptFraction    []float64 `toml:"try_part"` // deadline of an attempt, as a fraction of the class's: from, to
	MarkRetry          bool      `toml:"mark_retry"`
	CancelFraction     float64   `toml:"leave_part"`  // of the attempts that clients cancel before the response
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

// List holds the settings of the list service or of the catalog that stands in for it.
type List struct {
	NotificationDelayMs float64 `toml:"lag_ms"`  // from a change until it is announced
	CallMs              float64 `toml:"call_ms"` // of work for a call; calls are handled one after another
	EntryUs             float64 `toml:"line_us"` // of work for an entry of an answer
	QueueTimeoutMs      float64 `toml:"wait_ms"` // a call that is queued for longer gets 503
	SyncIntervalMs      float64 `toml:"sync_ms"` // between two syncs of its file
	RetainedChanges     int     `toml:"retain"`  // changes retained for watches; older ones get the complete list
	MaxWaitingCalls     int     `toml:"most"`    // queued calls; more get 503 at once
	Zone                string  `toml:"zone"`    // zone of the list; empty: in each zone

	// With members, real processes of the list service are used, and none of the settings above.
	Members      int     `toml:"members"`     // 0: the catalog
	LeaseMs      float64 `toml:"lease_ms"`    // of a server
	ElectionMs   float64 `toml:"election_ms"` // of the members
	MaxListAgeMs float64 `toml:"stale_ms"`    // maximum age of a list that is served
}

// Cluster says whether the proxies form a cluster, with gossip.
type Cluster struct {
	Enabled bool   `toml:"on"`
	Label   string `toml:"label"`
	Seeds   int    `toml:"seeds"` // gossip seeds of each proxy, spread over the zones
}

// Fault is a fault to inject. Its JSON keys are part of the digest of a plan.
type Fault struct {
	At       float64 `toml:"at"`
	Duration float64 `toml:"for" json:"For"` // seconds; 0: to the end, or none where the kind has no duration
	Kind     string  `toml:"kind"`

	Zone    string   `toml:"zone"`
	Proxies []string `toml:"proxies"` // names; if none, drawn among those of the zone, or of all
	Servers []string `toml:"nodos"`
	Members []string `toml:"members"` // of the list service: r1, r2..., leader, follower; none: all
	Share   float64  `toml:"share"`
	Spread  float64  `toml:"spread"` // seconds over which the targets are spread

	Link             string  `toml:"link"`      // client, server, list, lease (from servers to the list service) or gossip; empty: all
	Direction        string  `toml:"direction"` // both, out (requests are lost) or back (responses are)
	FromZone         string  `toml:"from_zone"`
	ToZone           string  `toml:"to_zone"`
	DelayMs          float64 `toml:"ms" json:"Ms"`
	Fraction         float64 `toml:"part" json:"Part"`
	Factor           float64 `toml:"factor"`
	Versions         int     `toml:"versions"`
	Service          int     `toml:"service"` // for hollow servers and configurations: number of the service, from 1; 0: all
	Count            int     `toml:"count"`   // maximum number of hollow servers; number of configuration writes
	ByzantineMembers int     `toml:"liars" json:"Liars"`
	IdleClients      int     `toml:"clients" json:"Clients"` // at each proxy
	InvalidConfig    bool    `toml:"faulty" json:"Faulty"`   // a document that must be rejected
	KeepDirectory    bool    `toml:"keep" json:"Keep"`       // a restarted proxy keeps its directory
}

// Expect is a bound on a metric.
type Expect struct {
	Metric string   `toml:"figure"`
	Min    *float64 `toml:"min"`
	Max    *float64 `toml:"max"`
	From   float64  `toml:"from"` // seconds of the arrivals; only for span metrics
	To     float64  `toml:"to"`
}

// Span is the span of arrivals, in seconds, of an expectation; a To of 0 is the end.
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

// Node is a proxy or server.
type Node struct {
	Name  string
	Zone  string
	Group ServerGroup // of a server
}

// ProxyNodes are the proxies, named by zone and a number from 1.
func (e *Experiment) ProxyNodes() []Node {
	var out []Node
	for _, z := range e.Zones {
		for i := range z.Proxies {
			out = append(out, Node{Name: fmt.Sprintf("%s-p%d", z.Name, i+1), Zone: z.Name})
		}
	}
	return out
}

// ServerNodes are the servers, named by zone and a number from 1 over all groups.
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

// ZoneNames are the zones in order.
func (e *Experiment) ZoneNames() []string {
	var out []string
	for _, z := range e.Zones {
		out = append(out, z.Name)
	}
	return out
}

// MaxPairLinks is the maximum number of links from proxies to servers with an address each, since descriptors are limited. With more,
// the proxies of a zone share their links, which can then be selected by zone only.
const MaxPairLinks = 6000

// SharedLinks reports whether the proxies of a zone share their links to servers.
func (e *Experiment) SharedLinks() bool {
	return len(e.ProxyNodes())*len(e.ServerNodes()) > MaxPairLinks
}

// Kinds are the kinds of faults by name.
var Kinds = map[string]Kind{
	"kill":       {Proxies: true, Text: "SIGKILL; started again after `for`, from nothing unless keep"},
	"stop":       {Proxies: true, HasDuration: true, Text: "SIGSTOP, and SIGCONT after `for`"},
	"restart":    {Proxies: true, Text: "planned: SIGTERM, `versions` more signals, SIGKILL after the longest deadline, start again `for` later"},
	"upgrade":    {Proxies: true, Text: "a successor beside it, SIGTERM to the old one, by the on-call page"},
	"power_loss": {Proxies: true, Text: "SIGKILL, and what its files got last is lost in part; directory kept"},
	"reload":     {Proxies: true, Text: "SIGHUP, `versions` times in a row, with the configuration in force or a broken one"},
	"hold_up":    {Proxies: true, HasDuration: true, Text: "SIGSTOP for up to 0.15 s, again and again"},
	"crowd":      {Proxies: true, HasDuration: true, Needs: []string{"clients"}, Text: "`clients` connect to each and send nothing"},
	"rude":       {Proxies: true, HasDuration: true, Text: "clients come that send no proper request"},
	"disk_full":  {Proxies: true, HasDuration: true, Text: "every write of a byte to a file fails"},

	"nodo_kill":    {Servers: true, Text: "the process dies; back cold after `for`"},
	"nodo_silent":  {Servers: true, HasDuration: true, Text: "the machine vanishes: a black hole; connections reset at the end"},
	"nodo_hang":    {Servers: true, HasDuration: true, Text: "connects and takes requests, never answers"},
	"nodo_slow":    {Servers: true, HasDuration: true, Needs: []string{"factor"}, Text: "takes `factor` times as long"},
	"nodo_errors":  {Servers: true, HasDuration: true, Needs: []string{"part"}, Text: "answers 500 to `part` of its requests"},
	"nodo_garble":  {Servers: true, HasDuration: true, Needs: []string{"part"}, Text: "spoils `part` of its answers"},
	"nodo_drain":   {Servers: true, Text: "drains, and is gone from the list 2 s later; back cold after `for`"},
	"nodo_replace": {Servers: true, Text: "drains and goes while a cold one under a new name takes its place"},

	"zone_loss": {Zone: true, HasDuration: true, Text: "its nodos vanish and its proxies are killed; all back cold"},
	"zone_cut":  {Zone: true, HasDuration: true, Text: "all links between it and other zones are silent"},

	"cut":   {Links: true, HasDuration: true, Text: "links fall silent, in `direction`; open connections stay open"},
	"delay": {Links: true, HasDuration: true, Needs: []string{"ms"}, Text: "`ms` more each way"},
	"loss":  {Links: true, HasDuration: true, Needs: []string{"part"}, Text: "`part` of the writes come a retransmission later; of datagrams, never"},
	"reset": {Links: true, Text: "open connections are reset; while it lasts new ones too, at their first byte"},

	"hollow_replace": {Hollow: true, Text: "hollow nodos drain, go 2 s later, and are back at once as another process"},
	"hollow_die":     {Hollow: true, Text: "hollow nodos die without a word; back after `for`"},

	"config_put": {Configs: true, Text: "`count` configurations are put over `spread`, at services in turn; `faulty`: such as no proxy could use"},

	"gossip_lie": {Servers: true, HasDuration: true, Needs: []string{"liars"}, Text: "so many more members join the fleet and say that the nodos and all other zones fail"},

	"member_kill":   {Members: true, Text: "members of the list service die in one instant; back after `for` with their directories"},
	"member_stop":   {Members: true, HasDuration: true, Text: "SIGSTOP, and SIGCONT after `for`"},
	"member_cut":    {Members: true, HasDuration: true, Text: "links between them and the other members fall silent, in `direction`"},
	"member_damage": {Members: true, Text: "they die, a file of each is cut off at a random byte; one that refuses it starts empty"},

	"list_down":       {HasDuration: true, Text: "the list service refuses connections"},
	"list_slow":       {HasDuration: true, Needs: []string{"factor"}, Text: "calls take `factor` times as long"},
	"list_stale":      {HasDuration: true, Text: "it tells nothing that happened since"},
	"list_disk_full":  {HasDuration: true, Text: "it can keep no change, and tells none that it cannot keep"},
	"list_rollback":   {Needs: []string{"versions"}, Text: "its versions go back by `versions`, contents too"},
	"list_power_loss": {Text: "it dies, loses what was not synced, and is back after `for`"},
}

// Kind describes a kind of fault.
type Kind struct {
	Proxies, Servers, Zone, Links, Members, Hollow bool // its targets
	Configs                                        bool // it writes configurations
	HasDuration                                    bool // it lasts for the key `for`
	Needs                                          []string
	Text                                           string // for docs and help
}

// KindNames are the names of the kinds in order.
func KindNames() []string {
	var out []string
	for k := range Kinds {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
