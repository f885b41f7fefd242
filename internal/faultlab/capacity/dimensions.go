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
	secondsPerDay    = 24 * 60 * 60
	minutesPerDay    = secondsPerDay / 60
	renewalsPerLease = 3 // as in internal/registry/registrar
)

// dimension is a quantity that a metric grows with.
type dimension struct {
	size              func(inputs *Inputs) Range
	scalesWithServers bool
	description       string // on the page
}

// dimensions are the known dimensions by the names that slopes give them.
var dimensions = map[string]dimension{
	"proxies":  {ofTarget(func(t TargetSize) float64 { return t.Servers }), true, "one beside each nodo"},
	"nodos":    {ofTarget(func(t TargetSize) float64 { return t.Servers }), true, "as the letter has it"},
	"services": {ofTarget(func(t TargetSize) float64 { return t.Services }), true, "as the letter has it"},
	"zones":    {ofTarget(func(t TargetSize) float64 { return t.Zones }), false, "as the letter has it"},
	"regions":  {ofTarget(func(t TargetSize) float64 { return t.Regions }), false, "as the letter has it"},
	"members":  {ofTarget(func(t TargetSize) float64 { return t.Machines }), false, "of the list service, one on each machine"},
	"changes":  {ofTarget(func(t TargetSize) float64 { return t.ChangesPerDay }), false, "of configuration, one after another: a day's"},
	"listed nodos": {listedServers, true,
		"in the list that a proxy follows: one list holds all today (likely, high); one service's alone (low)"},
	"changes a minute": {listChangesPerMinute, true,
		"of the list: an ordinary day's mean (low), one service released within a minute (likely), " +
			"the greatest release within one (high)"},
	"changes of configuration a minute": {configChangesPerMinute, false, "the day's mean (low), a busy minute"},
	"calls a second":                    {callsPerSecond, false, "of one proxy"},
	"watches":                           {watches, true, "held by one member, the proxies spread over those that live"},
	"renewals a second":                 {renewalsPerSecond, true, "at the leader, from all nodos: 3 in a lease; the longest lease is low"},
	"renewals a second of a nodo":       {serverRenewalsPerSecond, false, "3 in a lease; the longest lease is low"},
}

// ofTarget is the size of a dimension that depends on no assumption.
func ofTarget(value func(TargetSize) float64) func(*Inputs) Range {
	return func(inputs *Inputs) Range { return constantRange(value(inputs.Target)) }
}

func listedServers(inputs *Inputs) Range {
	servers := inputs.Target.Servers
	oneService := inputs.assumption("services_called").Low * servers / inputs.Target.Services
	return Range{min(oneService, servers), servers, servers}
}

func listChangesPerMinute(inputs *Inputs) Range {
	target, perRestart, released := inputs.Target, inputs.assumption("changes_per_restart"), inputs.assumption("release_part")
	return Range{
		Low:    (target.FailuresPerDay + target.RestartsPerDay) * perRestart.Likely / minutesPerDay,
		Likely: released.Low * target.Servers * perRestart.Likely,
		High:   released.High * target.Servers * perRestart.High,
	}
}

func configChangesPerMinute(inputs *Inputs) Range {
	burst := inputs.assumption("config_burst")
	return Range{inputs.Target.ChangesPerDay / minutesPerDay, burst.Likely, burst.High}
}

func callsPerSecond(inputs *Inputs) Range {
	target := inputs.Target
	return inputs.assumption("calls_peak").transform(func(peak float64) float64 { return peak * target.CallsPerSecond / target.Servers })
}

func watches(inputs *Inputs) Range {
	target := inputs.Target
	return inputs.assumption("members_lost").transform(func(lost float64) float64 { return target.Servers / (target.Machines - lost) })
}

func renewalsPerSecond(inputs *Inputs) Range {
	return shortestLeaseHigh(inputs).transform(func(lease float64) float64 { return renewalsPerLease * inputs.Target.Servers / lease })
}

func serverRenewalsPerSecond(inputs *Inputs) Range {
	return shortestLeaseHigh(inputs).transform(func(lease float64) float64 { return renewalsPerLease / lease })
}

// shortestLeaseHigh returns the lease in seconds with the longest as low, since it takes the fewest renewals.
func shortestLeaseHigh(inputs *Inputs) Range {
	lease := inputs.assumption("lease_s")
	return Range{lease.High, lease.Likely, lease.Low}
}

// Size returns a dimension at the target size, or at twice its servers if doubled is set. It panics on an unknown dimension.
func (n *Inputs) Size(name string, doubled bool) Range {
	d := dimensions[name]
	r := d.size(n)
	if doubled && d.scalesWithServers {
		r = r.transform(func(v float64) float64 { return 2 * v })
	}
	return r
}

// dimensionNames returns the names of all dimensions, sorted.
func dimensionNames() []string { return slices.Sorted(maps.Keys(dimensions)) }
