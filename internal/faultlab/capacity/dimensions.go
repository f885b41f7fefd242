package capacity

import (
	"maps"
	"slices"
)

// Range is a value under the low, likely and high assumptions.
type Range struct{ Low, Likely, High float64 }

// constantRange is a value that depends on no assumption.
func constantRange(v float64) Range { return Range{v, v, v} }

// transform applies f to each of the three values.
func (r Range) transform(f func(float64) float64) Range {
	return Range{f(r.Low), f(r.Likely), f(r.High)}
}

func (r Range) values() [3]float64 { return [3]float64{r.Low, r.Likely, r.High} }

// isConstant reports whether the three values are equal.
func (r Range) isConstant() bool { return r.Low == r.Likely && r.Likely == r.High }

const (
	daySeconds       = 24 * 60 * 60
	renewalsPerLease = 3 // as in internal/registry/registrar
	minutesPerDay    = daySeconds / 60
)

// dimension is a quantity that a metric grows with.
type dimension struct {
	size              func(n *Inputs) Range
	scalesWithServers bool
	description       string
}

// dimensions are the known dimensions by the names that slopes give them; descriptions are texts of the page.
var dimensions = map[string]dimension{
	"proxies": {func(n *Inputs) Range { return constantRange(n.Target.Servers) }, true, "one beside each nodo"},
	"nodos":   {func(n *Inputs) Range { return constantRange(n.Target.Servers) }, true, "as the letter has it"},
	"listed nodos": {func(n *Inputs) Range {
		r := n.assumption("services_called").transform(func(v float64) float64 { return min(v*n.Target.Servers/n.Target.Services, n.Target.Servers) })
		return Range{r.Low, n.Target.Servers, n.Target.Servers}
	}, true, "in the list that a proxy follows: one list holds all today (likely, high); one service's alone (low)"},
	"changes a minute": {func(n *Inputs) Range {
		day := (n.Target.FailuresPerDay + n.Target.RestartsPerDay) * n.assumption("changes_per_restart").Likely / minutesPerDay
		part, each := n.assumption("release_part"), n.assumption("changes_per_restart")
		return Range{day, part.Low * n.Target.Servers * each.Likely, part.High * n.Target.Servers * each.High}
	}, true, "of the list: an ordinary day's mean (low), one service released within a minute (likely), the greatest release within one (high)"},
	"changes of configuration a minute": {func(n *Inputs) Range {
		r := n.assumption("config_burst")
		return Range{n.Target.ChangesPerDay / minutesPerDay, r.Likely, r.High}
	}, false, "the day's mean (low), a busy minute"},
	"changes": {func(n *Inputs) Range { return constantRange(n.Target.ChangesPerDay) }, false, "of configuration, one after another: a day's"},
	"calls a second": {func(n *Inputs) Range {
		return n.assumption("calls_peak").transform(func(v float64) float64 { return v * n.Target.CallsPerSecond / n.Target.Servers })
	}, false, "of one proxy"},
	"services": {func(n *Inputs) Range { return constantRange(n.Target.Services) }, true, "as the letter has it"},
	"zones":    {func(n *Inputs) Range { return constantRange(n.Target.Zones) }, false, "as the letter has it"},
	"regions":  {func(n *Inputs) Range { return constantRange(n.Target.Regions) }, false, "as the letter has it"},
	"members":  {func(n *Inputs) Range { return constantRange(n.Target.Machines) }, false, "of the list service, one on each machine"},
	"watches": {func(n *Inputs) Range {
		return n.assumption("members_lost").transform(func(v float64) float64 { return n.Target.Servers / (n.Target.Machines - v) })
	}, true, "held by one member, the proxies spread over those that live"},
	"renewals a second": {func(n *Inputs) Range {
		r := n.assumption("lease_s")
		return Range{r.High, r.Likely, r.Low}.transform(func(v float64) float64 { return renewalsPerLease * n.Target.Servers / v })
	}, true, "at the leader, from all nodos: 3 in a lease; the longest lease is low"},
	"renewals a second of a nodo": {func(n *Inputs) Range {
		r := n.assumption("lease_s")
		return Range{r.High, r.Likely, r.Low}.transform(func(v float64) float64 { return renewalsPerLease / v })
	}, false, "3 in a lease; the longest lease is low"},
}

// Size returns a dimension at the target size, or at twice its servers if doubled is set. of must be a known dimension.
func (n *Inputs) Size(of string, doubled bool) Range {
	d := dimensions[of]
	r := d.size(n)
	if doubled && d.scalesWithServers {
		r = r.transform(func(v float64) float64 { return 2 * v })
	}
	return r
}

// dimensionNames returns the names of all dimensions, sorted.
func dimensionNames() []string { return slices.Sorted(maps.Keys(dimensions)) }
