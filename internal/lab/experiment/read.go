package experiment

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/BurntSushi/toml"
)

// Problem is one fault of a file, with its place.
type Problem struct {
	File string
	Line int // 0: the file as a whole
	Key  string
	Text string
}

func (p Problem) Error() string {
	at := p.File
	if p.Line > 0 {
		at = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key != "" {
		at += ": " + p.Key
	}
	return at + ": " + p.Text
}

// Read reads a file. The error joins every Problem of it.
func Read(path string) (*Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, string(text), func(base string) ([]byte, error) {
		return os.ReadFile(filepath.Join(filepath.Dir(path), base))
	})
}

// maxBases bounds a chain of bases, and ends one that leads back to itself.
const maxBases = 4

// Parse reads a file's text; name stands for the file in errors, and open reads a file that is named as a base, by its
// path from this one's folder.
func Parse(name, text string, open func(base string) ([]byte, error)) (*Experiment, error) {
	return parse(name, text, open, maxBases)
}

func parse(name, text string, open func(base string) ([]byte, error), bases int) (*Experiment, error) {
	e := defaults()
	var first struct {
		Base string `toml:"base"`
	}
	if _, err := toml.Decode(text, &first); err != nil {
		return nil, parseProblem(name, err)
	}
	c := &checker{file: name, e: e, lines: lines(text)}
	if first.Base != "" {
		under, err := open(first.Base)
		if bases == 0 {
			err = fmt.Errorf("over %d bases, one on another", maxBases)
		}
		if err != nil {
			c.problem("base", "%v", err)
			return nil, errors.Join(c.found...)
		}
		from := func(base string) ([]byte, error) { return open(filepath.Join(filepath.Dir(first.Base), base)) }
		if e, err = parse(first.Base, string(under), from, bases-1); err != nil {
			c.problem("base", "it has faults itself")
			return nil, errors.Join(append(c.found, err)...)
		}
		c.e = e
	}
	if err := e.clearLists(text); err != nil {
		return nil, parseProblem(name, err)
	}
	meta, err := toml.Decode(text, e)
	if err != nil {
		return nil, parseProblem(name, err)
	}
	for _, key := range meta.Undecoded() {
		c.problem(c.undecoded(key), "unknown key; the format is in docs/lab.md")
	}
	c.check()
	return e, errors.Join(c.found...)
}

// clearLists empties the lists that a file gives anew, so that it replaces its base's rather than mixing with them.
func (e *Experiment) clearLists(text string) error {
	var keys map[string]any
	if _, err := toml.Decode(text, &keys); err != nil {
		return err
	}
	for key, empty := range map[string]func(){"zone": func() { e.Zones = nil }, "class": func() { e.Classes = nil },
		"fault": func() { e.Faults = nil }, "expect": func() { e.Expect = nil }} {
		if _, given := keys[key]; given {
			empty()
		}
	}
	if load, ok := keys["load"].(map[string]any); ok && load["rate"] != nil {
		e.Load.Rate = nil
	}
	return nil
}

func parseProblem(name string, err error) error {
	var parse toml.ParseError
	if errors.As(err, &parse) {
		return Problem{name, parse.Position.Line, parse.LastKey, parse.Message}
	}
	return Problem{File: name, Text: err.Error()}
}

// defaults are the figures that a file need not give: the platform's where it states one.
func defaults() *Experiment {
	return &Experiment{
		Seconds: 30, Warmup: 3, Seed: 1, Repeat: 1,
		Lab:     Lab{LateMs: 20, StallMs: 400, StartGap: 0.05, ReadyWait: 30, Rules: "enforce"},
		Network: Network{LocalMs: 0.5, CrossMs: 15},
		Clients: Clients{Retries: 3, TryPart: []float64{0.4, 0.55}, NoticeMs: 2000, MarkRetry: true},
		Proxy: Proxy{Cores: 1, MemoryMB: 64, Sockets: 512, TryLimit: 3, SecondCopies: true, DialMs: 250,
			IdleMs: 5000, DrainGraceMs: 1000, AskEveryMs: 10000, SlackMs: 20, RetryAfterMs: 2000,
			Membership: "subscribe"},
		Nodos: Nodos{StartCapacity: 0.32, ColdMs: 8800, TipMultiple: 3, FallMs: 2000, MaxConns: 64,
			ConnectMs: 2, ConnectWork: 1, Cancelling: true},
		List: List{LagMs: 1000, CallMs: 2, LineUs: 20, WaitMs: 2000, SyncMs: 500, RetainN: 200, MostN: 1000,
			LeaseMs: 5000, ElectionMs: 500, StaleMs: 2000},
	}
}

// lines maps each key of a file to its line: `fault[2].at`, counted from 1 as a person does. It reads headers and
// plain keys only, which is all that the format has; what it misses is told without a line.
func lines(text string) map[string]int {
	at, table, counts := map[string]int{}, "", map[string]int{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case strings.HasPrefix(line, "[["):
			name, _, _ := strings.Cut(line[2:], "]]")
			name = strings.TrimSpace(name)
			parent, child, nested := strings.Cut(name, ".")
			if nested {
				prefix := fmt.Sprintf("%s[%d].%s", parent, counts[parent], child)
				counts[prefix]++
				table = fmt.Sprintf("%s[%d]", prefix, counts[prefix])
			} else {
				counts[name]++
				table = fmt.Sprintf("%s[%d]", name, counts[name])
			}
			at[table] = i + 1
		case strings.HasPrefix(line, "["):
			name, _, _ := strings.Cut(line[1:], "]")
			table = strings.TrimSpace(name)
			at[table] = i + 1
		default:
			key, _, ok := strings.Cut(line, "=")
			if !ok || strings.HasPrefix(line, "#") {
				continue
			}
			key = strings.Trim(strings.TrimSpace(key), `"`)
			if table != "" {
				key = table + "." + key
			}
			if at[key] == 0 {
				at[key] = i + 1
			}
		}
	}
	return at
}

type checker struct {
	file  string
	e     *Experiment
	lines map[string]int
	found []error
}

func (c *checker) problem(key, format string, args ...any) {
	line := c.lines[key]
	for at := key; line == 0 && at != ""; line = c.lines[at] { // else the line of what it stands in
		i := strings.LastIndexByte(at, '.')
		at = at[:max(i, 0)]
	}
	c.found = append(c.found, Problem{c.file, line, key, fmt.Sprintf(format, args...)})
}

// undecoded finds which entry of a list an unknown key stands in: the library names the list only.
func (c *checker) undecoded(key toml.Key) string {
	plain := key.String()
	for at := range c.lines {
		if stripped := stripIndexes(at); stripped == plain {
			return at
		}
	}
	return plain
}

func stripIndexes(key string) string {
	var b strings.Builder
	inside := false
	for _, r := range key {
		switch {
		case r == '[':
			inside = true
		case r == ']':
			inside = false
		case !inside:
			b.WriteRune(r)
		}
	}
	return b.String()
}

func (c *checker) positive(key string, v float64) {
	if !(v > 0) {
		c.problem(key, "has to be over 0, not %v", v)
	}
}

func (c *checker) notNegative(key string, v float64) {
	if !(v >= 0) {
		c.problem(key, "has to be 0 or more, not %v", v)
	}
}

func (c *checker) part(key string, v float64) {
	if !(v >= 0 && v <= 1) {
		c.problem(key, "is a part, from 0 to 1, not %v", v)
	}
}

func (c *checker) oneOf(key, v string, of ...string) {
	if !slices.Contains(of, v) {
		c.problem(key, "%q is none of %s", v, strings.Join(of, ", "))
	}
}

const (
	maxSeconds  = 3600
	maxRate     = 20000
	maxRequests = 1_000_000
	maxProxies  = 400
	maxNodos    = 2000
	maxMembers  = 5
)

func (c *checker) check() {
	e := c.e
	c.positive("seconds", e.Seconds)
	if e.Seconds > maxSeconds {
		c.problem("seconds", "at most %d", maxSeconds)
	}
	c.notNegative("warmup", e.Warmup)
	if e.Warmup >= e.Seconds {
		c.problem("warmup", "leaves nothing of %v seconds", e.Seconds)
	}
	if e.Repeat < 1 {
		c.problem("repeat", "has to be 1 or more, not %d", e.Repeat)
	}
	c.positive("lab.late_ms", e.Lab.LateMs)
	c.positive("lab.stall_ms", e.Lab.StallMs)
	c.positive("lab.ready_wait", e.Lab.ReadyWait)
	c.notNegative("lab.start_gap", e.Lab.StartGap)
	c.oneOf("lab.rules", e.Lab.Rules, "enforce", "report")
	c.notNegative("network.local_ms", e.Network.LocalMs)
	c.notNegative("network.cross_ms", e.Network.CrossMs)
	c.checkFleet()
	c.checkClasses()
	c.checkLoad()
	p := e.Proxy
	for key, v := range map[string]float64{"cores": p.Cores, "memory_mb": float64(p.MemoryMB), "try_limit": float64(p.TryLimit),
		"sockets": float64(p.Sockets), "dial_ms": p.DialMs, "idle_ms": p.IdleMs, "drain_grace_ms": p.DrainGraceMs} {
		c.positive("proxy."+key, v)
	}
	c.oneOf("proxy.membership", p.Membership, "automatic", "subscribe")
	if p.KnownPart != nil {
		c.part("proxy.known", *p.KnownPart)
	}
	c.checkNodos()
	for i, f := range e.Faults {
		c.checkFault(fmt.Sprintf("fault[%d]", i+1), f)
	}
	for i, x := range e.Expect {
		c.checkExpect(fmt.Sprintf("expect[%d]", i+1), x)
	}
}

func (c *checker) checkFleet() {
	if len(c.e.Zones) == 0 {
		c.problem("zone", "there is none: a fleet has one zone at least")
	}
	seen := map[string]bool{}
	traffic := 0.0
	for i, z := range c.e.Zones {
		key := fmt.Sprintf("zone[%d]", i+1)
		if z.Name == "" || strings.ContainsAny(z.Name, " /,") {
			c.problem(key+".name", "%q: a name without spaces, slashes and commas is needed", z.Name)
		}
		if seen[z.Name] {
			c.problem(key+".name", "%q stands twice", z.Name)
		}
		seen[z.Name] = true
		c.notNegative(key+".traffic", z.Traffic)
		traffic += z.Traffic
		if z.Proxies < 0 {
			c.problem(key+".proxies", "has to be 0 or more")
		}
		for j, g := range z.Nodos {
			at := fmt.Sprintf("%s.nodos[%d]", key, j+1)
			for name, v := range map[string]float64{"count": float64(g.Count), "speed": g.Speed, "slots": float64(g.Slots)} {
				c.positive(at+"."+name, v)
			}
			c.notNegative(at+".queue", float64(g.Queue))
		}
	}
	if len(c.e.Zones) > 0 && traffic == 0 {
		c.problem("zone", "no zone has traffic over 0")
	}
	if n := len(c.e.ProxyNodes()); n < 1 || n > maxProxies {
		c.problem("zone", "%d proxies; from 1 to %d can be run", n, maxProxies)
	}
	if n := len(c.e.NodoNodes()); n < 1 || n > maxNodos {
		c.problem("zone", "%d nodos; from 1 to %d can be run", n, maxNodos)
	}
	if c.e.List.Zone != "" && !seen[c.e.List.Zone] {
		c.problem("list.zone", "no zone %q", c.e.List.Zone)
	}
}

func (c *checker) span(key string, n int, from, to float64) {
	if n != 2 || from < 0 || to < from {
		c.problem(key, "two figures are needed, from and to, the first not over the second")
	}
}

func (c *checker) checkClasses() {
	if len(c.e.Classes) == 0 {
		c.problem("class", "there is none")
	}
	seen := map[string]bool{}
	for i, k := range c.e.Classes {
		key := fmt.Sprintf("class[%d]", i+1)
		if k.Name == "" || seen[k.Name] || strings.ContainsAny(k.Name, " /?") {
			c.problem(key+".name", "%q is empty, given twice, or no path", k.Name)
		}
		seen[k.Name] = true
		c.positive(key+".share", k.Share)
		if len(k.WorkMs) == 2 {
			c.span(key+".work_ms", 2, k.WorkMs[0], k.WorkMs[1])
		} else {
			c.span(key+".work_ms", len(k.WorkMs), 0, 0)
		}
		for name, sizes := range map[string][]int{"answer_bytes": k.AnswerBytes, "body_bytes": k.BodyBytes} {
			if len(sizes) == 2 {
				c.span(key+"."+name, 2, float64(sizes[0]), float64(sizes[1]))
			} else if len(sizes) > 0 {
				c.span(key+"."+name, len(sizes), 0, 0)
			}
		}
		c.positive(key+".aim_ms", k.AimMs)
		c.positive(key+".give_up_ms", k.GiveUpMs)
		c.notNegative(key+".worth", k.Worth)
		c.oneOf(key+".repeat", k.Repeat, "idempotent", "deduplicated", "at_most_once")
		if k.Repeat == "deduplicated" {
			c.oneOf(key+".scope", k.Scope, "all", "zone", "cell")
			c.positive(key+".window_ms", k.WindowMs)
		}
	}
}

func (c *checker) checkLoad() {
	if len(c.e.Load.Rate) == 0 {
		c.problem("load.rate", "is missing: [[0, 50]] is 50 requests a second throughout")
	}
	last := -1.0
	for i, p := range c.e.Load.Rate {
		if len(p) != 2 || p[0] < 0 || p[0] <= last || p[1] < 0 || p[1] > maxRate {
			c.problem("load.rate", "point %d: [second, requests a second] is needed, seconds rising, at most %d a second",
				i+1, maxRate)
			continue
		}
		last = p[0]
	}
	if n := c.e.Load.requests(c.e.Seconds); n > maxRequests {
		c.problem("load.rate", "%.0f requests in all; at most %d, since the referee keeps each (2 kB)", n, maxRequests)
	}
	t := c.e.Clients.TryPart
	if len(t) != 2 || t[0] <= 0 || t[1] < t[0] || t[1] > 1 {
		c.problem("clients.try_part", "from and to are needed, over 0 and at most 1")
	}
	if c.e.Clients.Retries < 0 {
		c.problem("clients.retries", "has to be 0 or more")
	}
	c.notNegative("clients.wait_ms", c.e.Clients.WaitMs)
	c.notNegative("clients.notice_ms", c.e.Clients.NoticeMs)
}

func (c *checker) checkNodos() {
	n := c.e.Nodos
	if !(n.StartCapacity > 0 && n.StartCapacity <= 1) {
		c.problem("nodos.start_capacity", "is a part, over 0 and at most 1, not %v", n.StartCapacity)
	}
	c.notNegative("nodos.cold_ms", n.ColdMs)
	c.positive("nodos.tip_multiple", n.TipMultiple)
	c.positive("nodos.fall_ms", n.FallMs)
	c.positive("nodos.max_conns", float64(n.MaxConns))
	c.notNegative("nodos.connect_ms", n.ConnectMs)
	c.notNegative("nodos.connect_work", n.ConnectWork)
	l := c.e.List
	for key, v := range map[string]float64{"lag_ms": l.LagMs, "call_ms": l.CallMs, "line_us": l.LineUs} {
		c.notNegative("list."+key, v)
	}
	if l.Members < 0 || l.Members > maxMembers || l.Members > 0 && l.Members%2 == 0 {
		c.problem("list.members", "1, 3 or 5, or 0 for the stand-in, not %d", l.Members)
	}
	for key, v := range map[string]float64{"lease_ms": l.LeaseMs, "election_ms": l.ElectionMs, "stale_ms": l.StaleMs, "wait_ms": l.WaitMs, "sync_ms": l.SyncMs, "retain": float64(l.RetainN),
		"most": float64(l.MostN)} {
		c.positive("list."+key, v)
	}
}

func (c *checker) checkFault(key string, f Fault) {
	kind, ok := Kinds[f.Kind]
	if !ok {
		c.problem(key+".kind", "%q is none of %s", f.Kind, strings.Join(KindNames(), ", "))
		return
	}
	if f.At < 0 || f.At >= c.e.Seconds {
		c.problem(key+".at", "%v lies outside the %v seconds of the run", f.At, c.e.Seconds)
	}
	c.notNegative(key+".for", f.For)
	c.notNegative(key+".spread", f.Spread)
	c.part(key+".share", f.Share)
	needs := map[string]float64{"factor": f.Factor, "part": f.Part, "ms": f.Ms, "versions": float64(f.Versions)}
	for _, need := range kind.Needs {
		c.positive(key+"."+need, needs[need])
	}
	if slices.Contains(kind.Needs, "part") {
		c.part(key+".part", f.Part)
	}
	zones := c.e.ZoneNames()
	for name, zone := range map[string]string{"zone": f.Zone, "from_zone": f.FromZone, "to_zone": f.ToZone} {
		if zone != "" && !slices.Contains(zones, zone) {
			c.problem(key+"."+name, "no zone %q; there are %s", zone, strings.Join(zones, ", "))
		}
	}
	if kind.Zone && f.Zone == "" {
		c.problem(key+".zone", "%s needs the zone's name", f.Kind)
	}
	c.checkNames(key+".proxies", f.Proxies, c.e.ProxyNodes(), kind.Proxies || kind.Links, f.Kind)
	c.checkNames(key+".nodos", f.Nodos, c.e.NodoNodes(), kind.Nodos || kind.Links, f.Kind)
	c.checkMembers(key, f, kind)
	if kind.Links {
		if f.Link != "" {
			c.oneOf(key+".link", f.Link, "client", "nodo", "list", "lease")
		}
		if f.Direction != "" {
			c.oneOf(key+".direction", f.Direction, "both", "out", "back")
		}
		if c.e.SharedLinks() && (f.Link == "" || f.Link == "nodo") && (len(f.Proxies) > 0 || f.Share > 0) {
			c.problem(key+".proxies", "over %d pairs of proxy and nodo links are told apart by zone only: use from_zone",
				PairLinksMost)
		}
	} else if f.Link != "" || f.Direction != "" && f.Kind != "member_cut" || f.FromZone != "" || f.ToZone != "" {
		c.problem(key, "link, direction, from_zone and to_zone are for faults of links; %s is none", f.Kind)
	}
}

func (c *checker) checkNames(key string, names []string, of []Node, allowed bool, kind string) {
	if len(names) > 0 && !allowed {
		c.problem(key, "%s is not aimed at any", kind)
		return
	}
	for _, n := range names {
		if !slices.ContainsFunc(of, func(x Node) bool { return x.Name == n }) {
			c.problem(key, "no %q; names are ZONE-p1 for proxies and ZONE-s1 for nodos", n)
		}
	}
}

func (c *checker) checkMembers(key string, f Fault, kind Kind) {
	switch {
	case kind.Members && c.e.List.Members == 0:
		c.problem(key+".kind", "%s is for a list service with members: list.members", f.Kind)
	case !kind.Members && strings.HasPrefix(f.Kind, "list_") && c.e.List.Members > 0:
		c.problem(key+".kind", "%s is for the stand-in: the list service has member_kill, member_stop, member_cut, member_damage",
			f.Kind)
	case !kind.Members && len(f.Members) > 0:
		c.problem(key+".members", "%s is not aimed at any", f.Kind)
	}
	names := []string{"leader", "follower"}
	for i := range c.e.List.Members {
		names = append(names, fmt.Sprintf("r%d", i+1))
	}
	for _, m := range f.Members {
		c.oneOf(key+".members", m, names...)
	}
	if f.Kind == "member_cut" && f.Direction != "" {
		c.oneOf(key+".direction", f.Direction, "both", "out", "back")
	}
}

func (c *checker) checkExpect(key string, x Expect) {
	known := KnownFigure(x.Figure, c.e)
	if !known {
		c.problem(key+".figure", "%q is unknown; docs/lab.md lists the figures", x.Figure)
	}
	if x.Min == nil && x.Max == nil {
		c.problem(key, "neither min nor max: it cannot fail")
	}
	if x.Min != nil && x.Max != nil && *x.Min > *x.Max {
		c.problem(key+".min", "%v is over max %v", *x.Min, *x.Max)
	}
	if x.From != 0 || x.To != 0 {
		from, to := x.Span(c.e)
		if from < 0 || to <= from || to > c.e.Seconds {
			c.problem(key+".from", "%v to %v is no span of the run's %v seconds", from, to, c.e.Seconds)
		}
		if known && !SpanFigure(x.Figure) {
			c.problem(key+".from", "%s is a figure of the whole run", x.Figure)
		}
	}
}
