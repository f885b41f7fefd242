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
	"merlinpick/internal/faultlab/referee"
)

const (
	windowWidth       = 500 * time.Millisecond
	recoveryWindows   = 4             // windows over which service counts as recovered
	baselineSeconds   = 5.0           // before a fault; the level to recover to is measured over them
	recoveredFraction = 0.95          // of the level before the fault
	maxLatency        = 3_600_000_000 // µs
	latencyDigits     = 3             // significant digits
)

// selection is a span of arrivals, in seconds since the load started, and a class (-1: all).
type selection struct {
	class    int
	from, to float64
}

func (s selection) includes(request clientRequest) bool {
	at := request.At.Seconds()
	return at >= s.from && at < s.to && (s.class < 0 || request.Class == s.class)
}

// counts reports whether a request counts for a span metric.
func (c clientRequest) counts(metric string) bool {
	switch metric {
	case "worth_in_time", "in_time":
		return c.inTime
	case "served":
		return c.outcome == referee.Served
	case "refused":
		return c.outcome == referee.Rejected
	case "failed":
		return c.outcome == referee.Failed
	case "unreached":
		return c.outcome == referee.Unreached
	}
	return true
}

// spanMetric returns the fraction of the selected requests that count for a span metric, weighted for
// worth_in_time; NaN if no request is selected.
func spanMetric(exp *experiment.Experiment, requests []clientRequest, metric string, selected selection) float64 {
	all, counted := 0.0, 0.0
	for _, request := range requests {
		if !selected.includes(request) {
			continue
		}
		weight := 1.0
		if metric == "worth_in_time" {
			weight = exp.Classes[request.Class].Weight
		}
		all += weight
		if request.counts(metric) {
			counted += weight
		}
	}
	return ratio(counted, all)
}

// Fill computes the play's metrics from its observations.
func (p *Play) Fill(input Input) {
	exp, requests := input.Experiment, input.clientRequests()
	metrics := map[string]float64{}
	addService(exp, requests, metrics)
	p.addTraffic(input, requests, metrics)
	p.addLatency(input, requests, metrics)
	p.addViolations(input.Record, metrics)
	p.addWindows(input, requests)
	p.addRecovery(input, metrics)
	p.addAvoidance(input, requests, metrics)
	addTally(input.Record, metrics)
	input.List.addMetrics(metrics)
	input.Gossip.addMetrics(exp, metrics)
	if input.Control != nil {
		maps.Copy(metrics, input.Control.Metrics(exp, input.Start))
	}
	metrics["handshakes_per_request"] = ratio(metrics["handshakes"], metrics["requests"])
	metrics["proxy_memory_mb"], metrics["proxy_cpu_s"] = float64(input.Memory)/(1<<20), input.CPU.Seconds()
	p.Lateness = lateness(input.Lateness, input.Stall)
	for _, expect := range exp.Expect {
		p.ExpectedValues = append(p.ExpectedValues, p.expectedMetric(exp, requests, metrics, expect))
	}
	maps.DeleteFunc(metrics, func(_ string, value float64) bool { return math.IsNaN(value) }) // JSON has no NaN
	p.Metrics = metrics
}

// addService adds the span metrics after the warm-up, for all classes and for each.
func addService(exp *experiment.Experiment, requests []clientRequest, metrics map[string]float64) {
	for _, name := range []string{"worth_in_time", "in_time", "served", "refused", "failed", "unreached"} {
		metrics[name] = spanMetric(exp, requests, name, selection{-1, exp.Warmup, exp.Seconds})
		for i, class := range exp.Classes {
			metrics[name+"."+class.Name] = spanMetric(exp, requests, name, selection{i, exp.Warmup, exp.Seconds})
		}
	}
}

func (p *Play) addViolations(record referee.Record, metrics map[string]float64) {
	for _, rule := range experiment.Rules {
		n := float64(record.ViolationCounts[rule])
		metrics["broken."+rule] = n
		metrics["broken"] += n
	}
	p.ViolationCounts, p.Violations = record.ViolationCounts, record.Violations
}

func addTally(record referee.Record, metrics map[string]float64) {
	tally := record.Tally
	for name, n := range map[string]int{"handshakes": len(record.ConnectTimes), "list_calls": tally.ListCalls,
		"watch_breaks": tally.WatchBreaks, "late_answers": tally.LateResponses, "turned_back": tally.Rejected,
		"resent": tally.Resent, "tipped": tally.Overloads, "crashed": tally.Crashed} {
		metrics[name] = float64(n)
	}
}

func (l *List) addMetrics(metrics map[string]float64) {
	if l == nil {
		return
	}
	metrics["list_checked"], metrics["list_refused"] = float64(l.CheckedCalls), float64(l.RefusedStarts)
	metrics["list_lacks"] = float64(l.MissingServers)
	metrics["list_told_p50_ms"] = quantile(l.NotificationDelays, 0.5)
	metrics["list_told_p99_ms"] = quantile(l.NotificationDelays, 0.99)
	metrics["list_told_max_ms"] = quantile(l.NotificationDelays, 1)
}

func (g *Gossip) addMetrics(exp *experiment.Experiment, metrics map[string]float64) {
	if g == nil {
		return
	}
	proxySeconds := exp.Seconds * float64(len(exp.ProxyNodes()))
	metrics["gossip_packets_s"] = float64(g.Packets) / proxySeconds
	metrics["gossip_kb_s"] = float64(g.Bytes) / 1000 / proxySeconds
}

// expectedMetric returns the value that an expectation is checked against.
func (p *Play) expectedMetric(exp *experiment.Experiment, requests []clientRequest,
	metrics map[string]float64, expect experiment.Expect) float64 {
	v, ok := metrics[expect.Metric]
	if experiment.IsSpanMetric(expect.Metric) {
		base, name, _ := strings.Cut(expect.Metric, ".")
		class := slices.IndexFunc(exp.Classes, func(k experiment.Class) bool { return k.Name == name })
		from, to := expect.Span(exp)
		v, ok = spanMetric(exp, requests, base, selection{class, from, to}), true
	}
	if !ok || math.IsNaN(v) {
		return -1 // fails every minimum and meets every maximum
	}
	return v
}

// ratio returns a / b, or NaN if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return math.NaN()
	}
	return a / b
}

// addTraffic adds the counts of requests, client attempts and attempts, and the attempts by zone.
func (p *Play) addTraffic(input Input, requests []clientRequest, metrics map[string]float64) {
	zoneOf := map[string]string{}
	for _, n := range input.Experiment.ProxyNodes() {
		zoneOf[n.Name] = n.Zone
	}
	p.Zones = input.Experiment.ZoneNames()
	p.Attempts = map[string][]int{}
	for _, z := range p.Zones {
		p.Attempts[z] = make([]int, len(p.Zones))
	}
	cross, waste := 0, time.Duration(0)
	var waits []time.Duration
	first := map[*referee.ClientAttempt]bool{}
	for _, a := range input.Record.Attempts {
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
	metrics["requests"], metrics["tries"], metrics["attempts"] = float64(len(requests)), float64(len(input.Record.ClientAttempts)), float64(len(input.Record.Attempts))
	metrics["attempts_per_request"] = ratio(metrics["attempts"], metrics["requests"])
	metrics["cross_zone"], metrics["cross_zone_share"] = float64(cross), ratio(float64(cross), metrics["attempts"])
	metrics["waste_ms"] = float64(waste) / float64(time.Millisecond)
	metrics["overhead_p50_ms"] = quantile(waits, 0.5)
}

// addLatency adds the latencies of all served requests, in time or not, from their planned times.
func (p *Play) addLatency(input Input, requests []clientRequest, metrics map[string]float64) {
	p.Latency = map[string][]float64{}
	all := hdrhistogram.New(1, maxLatency, latencyDigits)
	of := func(h *hdrhistogram.Histogram) (out []float64) {
		for _, q := range Percentiles {
			out = append(out, float64(h.ValueAtQuantile(q))/1000)
		}
		return out
	}
	for k, class := range input.Experiment.Classes {
		h := hdrhistogram.New(1, maxLatency, latencyDigits)
		for _, request := range requests {
			if request.Class == k && request.outcome == referee.Served && request.At.Seconds() >= input.Experiment.Warmup {
				_ = h.RecordValue(min(max(request.latency.Microseconds(), 1), maxLatency))
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
		metrics[name] = float64(all.ValueAtQuantile(q)) / 1000
	}
}

// addWindows splits the load into windows of windowWidth and counts their requests and connections.
func (p *Play) addWindows(input Input, requests []clientRequest) {
	n := int(math.Ceil(input.Experiment.Seconds / windowWidth.Seconds()))
	p.Windows = make([]Window, n)
	for i := range p.Windows {
		p.Windows[i].Start = float64(i) * windowWidth.Seconds()
	}
	for _, request := range requests {
		w := &p.Windows[min(int(request.At/windowWidth), n-1)]
		weight := input.Experiment.Classes[request.Class].Weight
		w.Arrived++
		w.Weight += weight
		switch request.outcome {
		case referee.Served:
			w.Served++
		case referee.Rejected:
			w.Rejected++
		default:
			w.Failed++
		}
		if request.inTime {
			w.InTime += weight
		}
	}
	for _, at := range input.Record.ConnectTimes {
		if i := int(at.Sub(input.Start) / windowWidth); i >= 0 && i < n {
			p.Windows[i].Connects++
		}
	}
}

// weightInTime returns the fraction of the weight answered in time in the windows [from, to); NaN if they
// have none.
func (p *Play) weightInTime(from, to int) float64 {
	weight, inTime := 0.0, 0.0
	to = min(to, len(p.Windows))
	for _, w := range p.Windows[min(max(from, 0), to):to] {
		weight, inTime = weight+w.Weight, inTime+w.InTime
	}
	return ratio(inTime, weight)
}

// addRecovery adds, for each fault, the time until every span of recoveryWindows up to the next fault reaches
// recoveredFraction of the level before the fault.
func (p *Play) addRecovery(input Input, metrics map[string]float64) {
	p.Events = input.Events
	width := windowWidth.Seconds()
	for i := range p.Events {
		event := &p.Events[i]
		until := input.Experiment.Seconds
		for _, other := range p.Events {
			if other.Start > event.Start+width && other.Start < until {
				until = other.Start
			}
		}
		first := int(event.Start / width)
		before := max(first-int(baselineSeconds/width), int(input.Experiment.Warmup/width))
		event.WeightBefore = p.weightInTime(before, first)
		if math.IsNaN(event.WeightBefore) {
			event.WeightBefore = 1
		}
		last := int(until / width)
		for at := first; at+recoveryWindows <= last; at++ {
			if share := p.weightInTime(at, at+recoveryWindows); share < recoveredFraction*event.WeightBefore {
				event.Recovery = float64(at+1)*width - event.Start
				event.StillDegraded = at+recoveryWindows == last
			}
		}
		if event.StillDegraded {
			event.Recovery = until - event.Start
		}
		metrics[fmt.Sprintf("recovery_s.%d", event.Number)] = event.Recovery
		metrics["recovery_s"] = max(metrics["recovery_s"], event.Recovery)
	}
}

// quantile returns the quantile q of durations in ms, or NaN if there are none.
func quantile(values []time.Duration, q float64) float64 {
	if len(values) == 0 {
		return math.NaN()
	}
	values = slices.Clone(values)
	slices.Sort(values)
	return float64(values[min(int(q*float64(len(values))), len(values)-1)]) / float64(time.Millisecond)
}

// lateness summarizes how late the lab sent its arrivals, and its longest stall.
func lateness(late []time.Duration, stall time.Duration) Lateness {
	if len(late) == 0 {
		return Lateness{Stall: float64(stall) / float64(time.Millisecond)}
	}
	return Lateness{quantile(late, 0.5), quantile(late, 0.99), quantile(late, 1),
		float64(stall) / float64(time.Millisecond)}
}
