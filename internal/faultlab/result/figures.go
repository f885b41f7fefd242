package result

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"merlinpick/internal/faultlab/experiment"
	"merlinpick/internal/faultlab/plan"
	"merlinpick/internal/faultlab/referee"
)

const (
	windowWidth  = 500 * time.Millisecond
	stretch      = 4             // windows over which service is taken to be back or not
	beforeSpan   = 5.0           // seconds before a fault that say what service was
	backPart     = 0.95          // of it, to be back
	maxLatency   = 3_600_000_000 // µs
	latencyExact = 3             // metrics
)

// Input is what the metrics of a play are made of.
type Input struct {
	Exp    *experiment.Experiment
	Plan   *plan.Plan
	Start  time.Time // of the load
	Record referee.Record
	Events []Event
	Late   []time.Duration
	Stall  time.Duration
	Memory int64         // peak of a proxy's, bytes
	CPU    time.Duration // of all proxies
	List   *List         // of a list service with members; else nil
	Gossip *Gossip       // nil if the fleet is off

	Control *Control // nil without hollow ones
}

// Gossip is what the proxies sent each other.
type Gossip struct {
	Packets int   // datagrams that were handed on
	Bytes   int64 // of these and of connections
}

// List is what came of a list service.
type List struct {
	Checked int             // calls in its history
	Told    []time.Duration // from a change's being confirmed to its being told, sorted
	Lacks   int             // living servers that the list lacked, at most
	Refused int             // starts refused for a damaged directory
}

// client is an arrival with what came of all its tries.
type client struct {
	*plan.Arrival
	attempts []*referee.ClientAttempt
	end      referee.Outcome // Served, Refused, Failed, Unreached
	took     time.Duration   // from the planned moment, if served
	inTime   bool
}

// clients gathers the tries by arrival; arrivals that were not played are left out.
func (in *Input) clients() []client {
	byArrival := make([][]*referee.ClientAttempt, len(in.Plan.Arrivals))
	for _, t := range in.Record.ClientAttempts {
		byArrival[t.Arrival] = append(byArrival[t.Arrival], t)
	}
	var out []client
	for i := range in.Plan.Arrivals {
		a := &in.Plan.Arrivals[i]
		c := client{Arrival: a, attempts: byArrival[i]}
		if len(c.attempts) == 0 {
			continue
		}
		planned := in.Start.Add(a.At)
		aim := experiment.Millis(in.Exp.Classes[a.Class].ObjectiveMs)
		c.end = referee.Unreached
		for _, t := range c.attempts {
			switch {
			case t.Outcome == referee.Served:
				if took := t.EndedAt.Sub(planned); c.end != referee.Served || took < c.took {
					c.end, c.took = referee.Served, took
				}
			case c.end == referee.Served:
			case t.Outcome == referee.Rejected, t.Outcome == referee.Unreached:
				c.end = t.Outcome
			default:
				c.end = referee.Failed
			}
		}
		c.inTime = c.end == referee.Served && c.took <= aim
		out = append(out, c)
	}
	return out
}

// spanFigure is one of the metrics that can be asked of a span of arrivals and of a class (-1 for all).
func spanFigure(e *experiment.Experiment, cs []client, name string, class int, from, to float64) float64 {
	all, part := 0.0, 0.0
	for _, c := range cs {
		if at := c.At.Seconds(); at < from || at >= to || class >= 0 && c.Class != class {
			continue
		}
		weight := 1.0
		if name == "worth_in_time" {
			weight = e.Classes[c.Class].Weight
		}
		all += weight
		switch name {
		case "worth_in_time", "in_time":
			if !c.inTime {
				continue
			}
		case "served":
			if c.end != referee.Served {
				continue
			}
		case "refused":
			if c.end != referee.Rejected {
				continue
			}
		case "failed":
			if c.end != referee.Failed {
				continue
			}
		case "unreached":
			if c.end != referee.Unreached {
				continue
			}
		}
		part += weight
	}
	if all == 0 {
		return math.NaN()
	}
	return part / all
}

// Fill computes a play's metrics.
func (p *Play) Fill(in Input) {
	e, cs := in.Exp, in.clients()
	f := map[string]float64{}
	end := e.Seconds
	for _, name := range []string{"worth_in_time", "in_time", "served", "refused", "failed", "unreached"} {
		f[name] = spanFigure(e, cs, name, -1, e.Warmup, end)
		for k, class := range e.Classes {
			f[name+"."+class.Name] = spanFigure(e, cs, name, k, e.Warmup, end)
		}
	}
	p.traffic(in, cs, f)
	p.latency(in, cs, f)
	for _, rule := range experiment.Rules {
		n := in.Record.ViolationCounts[rule]
		f["broken."+rule] = float64(n)
		f["broken"] += float64(n)
	}
	p.Broken, p.Violations = in.Record.ViolationCounts, in.Record.Violations
	p.windows(in, cs)
	p.recovery(in, f)
	p.avoidance(in, cs, f)
	t := in.Record.Tally
	for name, n := range map[string]int{"handshakes": len(in.Record.ConnectTimes), "list_calls": t.ListCalls,
		"watch_breaks": t.WatchBreaks, "late_answers": t.LateResponses, "turned_back": t.Rejected, "resent": t.Resent,
		"tipped": t.Overloads, "crashed": t.Crashed} {
		f[name] = float64(n)
	}
	if l := in.List; l != nil {
		f["list_checked"], f["list_refused"], f["list_lacks"] = float64(l.Checked), float64(l.Refused), float64(l.Lacks)
		f["list_told_p50_ms"], f["list_told_p99_ms"] = quantile(l.Told, 0.5), quantile(l.Told, 0.99)
		f["list_told_max_ms"] = quantile(l.Told, 1)
	}
	if g := in.Gossip; g != nil {
		each := e.Seconds * float64(len(e.ProxyNodes()))
		f["gossip_packets_s"], f["gossip_kb_s"] = float64(g.Packets)/each, float64(g.Bytes)/1000/each
	}
	if c := in.Control; c != nil {
		maps.Copy(f, c.Figures(e, in.Start))
	}
	f["handshakes_per_request"] = over(f["handshakes"], f["requests"])
	f["proxy_memory_mb"], f["proxy_cpu_s"] = float64(in.Memory)/(1<<20), in.CPU.Seconds()
	p.Late = lateness(in.Late, in.Stall)
	for _, x := range e.Expect {
		p.Spans = append(p.Spans, p.expected(e, cs, f, x))
	}
	for name, v := range f { // JSON has no NaN: a share of nothing is left out
		if math.IsNaN(v) {
			delete(f, name)
		}
	}
	p.Metrics = f
}

func (p *Play) expected(e *experiment.Experiment, cs []client, f map[string]float64, x experiment.Expect) float64 {
	v, ok := f[x.Figure]
	if experiment.SpanFigure(x.Figure) {
		base, name, _ := strings.Cut(x.Figure, ".")
		class := slices.IndexFunc(e.Classes, func(k experiment.Class) bool { return k.Name == name })
		from, to := x.Span(e)
		v, ok = spanFigure(e, cs, base, class, from, to), true
	}
	if !ok || math.IsNaN(v) {
		return -1 // what did not come about holds no bound from below, and any from above
	}
	return v
}

func over(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// traffic counts requests, tries and attempts, by the zones that they went between.
func (p *Play) traffic(in Input, cs []client, f map[string]float64) {
	zoneOf := map[string]string{}
	for _, n := range in.Exp.ProxyNodes() {
		zoneOf[n.Name] = n.Zone
	}
	p.Zones = in.Exp.ZoneNames()
	p.Attempts = map[string][]int{}
	for _, z := range p.Zones {
		p.Attempts[z] = make([]int, len(p.Zones))
	}
	cross, waste := 0, time.Duration(0)
	var waits []time.Duration
	first := map[*referee.ClientAttempt]bool{}
	for _, a := range in.Record.Attempts {
		from := zoneOf[a.ClientAttempt().Proxy]
		if row, to := p.Attempts[from], slices.Index(p.Zones, a.Zone); row != nil && to >= 0 {
			row[to]++
		}
		if from != a.Zone {
			cross++
		}
		if !a.Served() || a.ClientAttempt().Outcome != referee.Served {
			waste += a.WorkDone
		}
		if t := a.ClientAttempt(); !first[t] && !t.WrittenAt.IsZero() {
			first[t] = true
			waits = append(waits, a.FirstByteAt.Sub(t.WrittenAt))
		}
	}
	f["requests"], f["tries"], f["attempts"] = float64(len(cs)), float64(len(in.Record.ClientAttempts)), float64(len(in.Record.Attempts))
	f["attempts_per_request"] = over(f["attempts"], f["requests"])
	f["cross_zone"], f["cross_zone_share"] = float64(cross), over(float64(cross), f["attempts"])
	f["waste_ms"] = float64(waste) / float64(time.Millisecond)
	f["overhead_p50_ms"] = quantile(waits, 0.5)
}

// latency is of all that was served, in time or not, from the planned moment of the first try.
func (p *Play) latency(in Input, cs []client, f map[string]float64) {
	p.Latency = map[string][]float64{}
	all := hdrhistogram.New(1, maxLatency, latencyExact)
	of := func(h *hdrhistogram.Histogram) (out []float64) {
		for _, q := range Percentiles {
			out = append(out, float64(h.ValueAtQuantile(q))/1000)
		}
		return out
	}
	for k, class := range in.Exp.Classes {
		h := hdrhistogram.New(1, maxLatency, latencyExact)
		for _, c := range cs {
			if c.Class == k && c.end == referee.Served && c.At.Seconds() >= in.Exp.Warmup {
				_ = h.RecordValue(min(max(c.took.Microseconds(), 1), maxLatency))
			}
		}
		if h.TotalCount() > 0 {
			p.Latency[class.Name] = of(h)
			all.Merge(h)
		}
	}
	if all.TotalCount() == 0 {
		return
	}
	for q, name := range map[float64]string{50: "p50_ms", 90: "p90_ms", 99: "p99_ms", 100: "max_ms"} {
		f[name] = float64(all.ValueAtQuantile(q)) / 1000
	}
}

func (p *Play) windows(in Input, cs []client) {
	n := int(math.Ceil(in.Exp.Seconds / windowWidth.Seconds()))
	p.Windows = make([]Window, n)
	for i := range p.Windows {
		p.Windows[i].At = float64(i) * windowWidth.Seconds()
	}
	for _, c := range cs {
		w := &p.Windows[min(int(c.At/windowWidth), n-1)]
		worth := in.Exp.Classes[c.Class].Weight
		w.Arrived++
		w.Weight += worth
		switch c.end {
		case referee.Served:
			w.Served++
		case referee.Rejected:
			w.Rejected++
		default:
			w.Failed++
		}
		if c.inTime {
			w.InTime += worth
		}
	}
	for _, at := range in.Record.ConnectTimes {
		if i := int(at.Sub(in.Start) / windowWidth); i >= 0 && i < n {
			p.Windows[i].Connects++
		}
	}
}

// share is the worth in time of the windows from one up to another.
func (p *Play) share(from, to int) float64 {
	worth, in := 0.0, 0.0
	to = min(to, len(p.Windows))
	for _, w := range p.Windows[min(max(from, 0), to):to] {
		worth, in = worth+w.Weight, in+w.InTime
	}
	return over(in, worth)
}

// recovery tells of each fault how long it took until service was back at 95 % of what it was: to the moment from which
// on every stretch of 2 s lay over that, up to the next fault. One that lies below to the end has not recovered.
func (p *Play) recovery(in Input, f map[string]float64) {
	p.Events = in.Events
	width := windowWidth.Seconds()
	for i := range p.Events {
		ev := &p.Events[i]
		until := in.Exp.Seconds
		for _, other := range p.Events {
			if other.From > ev.From+width && other.From < until {
				until = other.From
			}
		}
		first := int(ev.From / width)
		before := max(first-int(beforeSpan/width), int(in.Exp.Warmup/width))
		ev.Before = p.share(before, first)
		if math.IsNaN(ev.Before) {
			ev.Before = 1
		}
		last := int(until / width)
		for at := first; at+stretch <= last; at++ {
			if share := p.share(at, at+stretch); share < backPart*ev.Before {
				ev.Recovery = float64(at+1)*width - ev.From
				ev.Below = at+stretch == last
			}
		}
		if ev.Below {
			ev.Recovery = until - ev.From
		}
		f[fmt.Sprintf("recovery_s.%d", ev.N)] = ev.Recovery
		f["recovery_s"] = max(f["recovery_s"], ev.Recovery)
	}
}

func quantile(vs []time.Duration, q float64) float64 {
	if len(vs) == 0 {
		return math.NaN()
	}
	vs = slices.Clone(vs)
	slices.Sort(vs)
	return float64(vs[min(int(q*float64(len(vs))), len(vs)-1)]) / float64(time.Millisecond)
}

func lateness(late []time.Duration, stall time.Duration) Lateness {
	if len(late) == 0 {
		return Lateness{Stall: float64(stall) / float64(time.Millisecond)}
	}
	return Lateness{quantile(late, 0.5), quantile(late, 0.99), quantile(late, 1),
		float64(stall) / float64(time.Millisecond)}
}
