// Package plan draws everything random of a run from an experiment and a seed: arrivals with their classes,
// zones, work and sizes, and the targets and times of faults. A plan does not depend on the time or the
// machine: the same file and seed give the same plan, byte for byte, and the same Digest.
//
// Each part of a plan has a random source of its own, so that one more fault does not change the arrivals.
package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"merlinpick/internal/faultlab/experiment"
)

// Arrival is a client's request, with the properties that all its attempts share. Digest covers its JSON
// encoding, as that of the other types of this package.
type Arrival struct {
	Number         int           `json:"N"`
	At             time.Duration // since the load started
	Class          int
	Zone           int
	Work           time.Duration // time that the request takes on a slot of speed 1
	AttemptTimeout time.Duration `json:"Try"`    // deadline of each attempt
	ResponseBytes  int           `json:"Answer"` // bytes
	RequestBytes   int           `json:"Body"`
	Key            string        // idempotency key; empty unless the class is deduplicated
}

// ID returns the unique ID, 16 hexadecimal digits, of an attempt, with a number from 0, of an arrival.
func (p *Plan) ID(a *Arrival, attempt int) string {
	random := newSource(p.Seed, "id", uint64(a.Number)<<8|uint64(attempt))
	return fmt.Sprintf("%016x", random.Uint64())
}

// Target is a target of a fault, and the time at which the fault starts there.
type Target struct {
	At   time.Duration // since the load started
	Name string        `json:"Target"`
}

// PlannedFault is a fault with its drawn targets.
type PlannedFault struct {
	Number   int `json:"N"` // from 1, as in the file
	Fault    experiment.Fault
	At       time.Duration // since the load started
	Duration time.Duration `json:"For"`
	Targets  []Target      `json:"Turns"` // empty for kinds without individual targets
}

// Plan holds everything random of a run.
type Plan struct {
	Seed     uint64
	Arrivals []Arrival
	Faults   []PlannedFault `json:"Strikes"`
}

// newSource returns a random source that depends on the seed, a name and a number.
func newSource(seed uint64, name string, n uint64) *rand.Rand {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", name, n))
	var salt uint64
	for _, b := range sum[:8] {
		salt = salt<<8 | uint64(b)
	}
	return rand.New(rand.NewPCG(seed, salt))
}

// Source returns the random source for a part of the run, which is the same for the same seed and name.
func (p *Plan) Source(name string) *rand.Rand { return newSource(p.Seed, name, 0) }

// Draw draws the plan of an experiment for a seed.
func Draw(exp *experiment.Experiment, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	p.drawArrivals(exp)
	for i, fault := range exp.Faults {
		p.Faults = append(p.Faults, drawFault(exp, fault, i+1, newSource(seed, "fault", uint64(i))))
	}
	return p
}

// drawArrivals draws the arrivals as a Poisson process, by thinning one at the maximum rate, or places them
// at equal steps of the rate's integral if they are evenly spaced.
func (p *Plan) drawArrivals(exp *experiment.Experiment) {
	times, random := newSource(p.Seed, "arrivals", 0), newSource(p.Seed, "requests", 0)
	maxRate := 0.0
	for _, point := range exp.Load.Rate {
		maxRate = max(maxRate, point[1])
	}
	if maxRate == 0 {
		return
	}
	credit := 0.0
	for s := 0.0; ; {
		step := 1 / maxRate
		if !exp.Load.EvenlySpaced {
			step = times.ExpFloat64() / maxRate
		}
		if s += step; s >= exp.Seconds {
			return
		}
		share := exp.Load.RateAt(s) / maxRate
		if exp.Load.EvenlySpaced {
			if credit += share; credit < 1-1e-9 {
				continue
			}
			credit--
		} else if times.Float64() >= share {
			continue
		}
		p.Arrivals = append(p.Arrivals, drawArrival(exp, random, len(p.Arrivals), experiment.Seconds(s)))
	}
}

func drawArrival(exp *experiment.Experiment, random *rand.Rand, n int, at time.Duration) Arrival {
	arrival := Arrival{Number: n, At: at}
	arrival.Class = drawWeighted(random, len(exp.Classes), func(i int) float64 { return exp.Classes[i].Share })
	arrival.Zone = drawWeighted(random, len(exp.Zones), func(i int) float64 { return exp.Zones[i].Traffic })
	class := exp.Classes[arrival.Class]
	arrival.Work = experiment.Millis(uniform(random, class.WorkMs[0], class.WorkMs[1]))
	arrival.AttemptTimeout = experiment.Millis(class.DeadlineMs *
		uniform(random, exp.Clients.AttemptFraction[0], exp.Clients.AttemptFraction[1]))
	arrival.ResponseBytes = drawSize(random, class.ResponseBytes, 200)
	if class.RetryClass != "idempotent" {
		arrival.RequestBytes = drawSize(random, class.RequestBytes, 100)
	}
	if class.RetryClass == "deduplicated" {
		arrival.Key = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	}
	return arrival
}

// uniform draws a number from a uniform distribution.
func uniform(random *rand.Rand, from, to float64) float64 { return from + (to-from)*random.Float64() }

// drawSize draws a size from a span, or returns the default size without one.
func drawSize(random *rand.Rand, span []int, defaultSize int) int {
	if len(span) != 2 {
		return defaultSize
	}
	return span[0] + random.IntN(span[1]-span[0]+1)
}

// drawWeighted draws an index below n with a probability in proportion to its weight.
func drawWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	rest := random.Float64() * sum
	for i := range n {
		if rest -= weight(i); rest < 0 {
			return i
		}
	}
	return n - 1
}

// drawFault draws a fault's targets. Names that the fault gives are used in their order. Otherwise the
// fault's share of the possible targets in the zone, or in all zones, is drawn. The targets' times are spread
// evenly over the fault's spread; without a spread they are equal.
func drawFault(exp *experiment.Experiment, fault experiment.Fault, n int, random *rand.Rand) PlannedFault {
	planned := PlannedFault{Number: n, Fault: fault, At: experiment.Seconds(fault.At),
		Duration: experiment.Seconds(fault.Duration)}
	kind := experiment.FaultKinds[fault.Kind]
	var all []experiment.Node
	given := fault.Proxies
	switch {
	case kind.Proxies:
		all = exp.ProxyNodes()
	case kind.Servers:
		all, given = exp.ServerNodes(), fault.Servers
	case kind.Hollow:
		all, given = hollowServers(exp, fault), nil
	case kind.Configs:
		given = configServices(exp, fault)
	default:
		return planned
	}
	names := slices.Clone(given)
	if len(names) == 0 {
		for _, node := range all {
			if fault.Zone == "" || node.Zone == fault.Zone {
				names = append(names, node.Name)
			}
		}
		if fault.Share > 0 {
			random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			names = names[:max(1, int(math.Round(fault.Share*float64(len(names)))))]
		}
		if fault.Count > 0 {
			names = names[:min(fault.Count, len(names))]
		}
	}
	for i, name := range names {
		at := planned.At
		if len(names) > 1 {
			at += time.Duration(float64(experiment.Seconds(fault.Spread)) * float64(i) / float64(len(names)-1))
		}
		planned.Targets = append(planned.Targets, Target{at, name})
	}
	return planned
}

// configServices returns the services of a fault's configuration writes: always the fault's service, or all
// services in turn.
func configServices(exp *experiment.Experiment, fault experiment.Fault) (out []string) {
	for i := range fault.Count {
		service := fault.Service
		if service == 0 {
			service = i%exp.Hollow.ConfigServices() + 1
		}
		out = append(out, experiment.ServiceName(service))
	}
	return out
}

// hollowServers returns the possible targets of a fault: the hollow servers, only those of the fault's
// service if it has one.
func hollowServers(exp *experiment.Experiment, fault experiment.Fault) (out []experiment.Node) {
	for i, n := range exp.HollowServers() {
		if fault.Service == 0 || exp.Hollow.BelongsToService(i, fault.Service) {
			out = append(out, n)
		}
	}
	return out
}

// Digest returns a digest of the complete plan, in hexadecimal.
func (p *Plan) Digest() (string, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("digest of the plan: %w", err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8]), nil
}
