// Package plan draws everything random of a run from an experiment and a seed: arrivals with their classes, zones, work and sizes, and
// the targets and times of faults. It never depends on time or machine: the same file and seed give the same plan, byte for byte, and
// the same Digest.
//
// Each concern has a random source of its own, so that one more fault does not change the arrivals.
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

// Arrival is a client's request, with the properties that all its attempts share. Its JSON keys are part of Digest, as are those of the
// other types.
type Arrival struct {
	Number         int           `json:"N"`
	At             time.Duration // since the load started
	Class          int
	Zone           int
	Work           time.Duration // on a slot of speed 1
	AttemptTimeout time.Duration `json:"Try"`    // deadline of each attempt
	ResponseBytes  int           `json:"Answer"` // bytes
	RequestBytes   int           `json:"Body"`
	Key            string        // idempotency key, of a deduplicated class
}

// ID is the unique id of an attempt, from 0: 16 hex digits.
func (p *Plan) ID(a *Arrival, attempt int) string {
	random := newSource(p.Seed, "id", uint64(a.Number)<<8|uint64(attempt))
	return fmt.Sprintf("%016x", random.Uint64())
}

// Target is a target of a fault, and when the fault reaches it.
type Target struct {
	At   time.Duration
	Name string `json:"Target"`
}

// PlannedFault is a fault with its targets.
type PlannedFault struct {
	Number   int `json:"N"` // from 1, as in the file
	Fault    experiment.Fault
	At       time.Duration
	Duration time.Duration `json:"For"`
	Targets  []Target      `json:"Turns"` // of faults with individual targets
}

// Plan is the result of all draws.
type Plan struct {
	Seed     uint64
	Arrivals []Arrival
	Faults   []PlannedFault `json:"Strikes"`
}

func newSource(seed uint64, concern string, n uint64) *rand.Rand {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", concern, n))
	var salt uint64
	for _, b := range sum[:8] {
		salt = salt<<8 | uint64(b)
	}
	return rand.New(rand.NewPCG(seed, salt))
}

// Source is the random source of a concern of the run, the same for the same seed.
func (p *Plan) Source(concern string) *rand.Rand { return newSource(p.Seed, concern, 0) }

// Draw draws a plan.
func Draw(exp *experiment.Experiment, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	p.drawArrivals(exp)
	for i, fault := range exp.Faults {
		p.Faults = append(p.Faults, drawFault(exp, fault, i+1, newSource(seed, "fault", uint64(i))))
	}
	return p
}

// drawArrivals draws a Poisson process, by thinning one at the maximum rate, or places arrivals at equal steps of the rate's integral.
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
	arrival.AttemptTimeout = experiment.Millis(class.DeadlineMs * uniform(random, exp.Clients.AttemptFraction[0], exp.Clients.AttemptFraction[1]))
	arrival.ResponseBytes = drawSize(random, class.ResponseBytes, 200)
	if class.RetryClass != "idempotent" {
		arrival.RequestBytes = drawSize(random, class.RequestBytes, 100)
	}
	if class.RetryClass == "deduplicated" {
		arrival.Key = fmt.Sprintf("%016x%016x", random.Uint64(), random.Uint64())
	}
	return arrival
}

func uniform(random *rand.Rand, from, to float64) float64 { return from + (to-from)*random.Float64() }

func drawSize(random *rand.Rand, span []int, otherwise int) int {
	if len(span) != 2 {
		return otherwise
	}
	return span[0] + random.IntN(span[1]-span[0]+1)
}

func drawWeighted(random *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := random.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// drawFault draws a fault's targets. Given names are used in their order; else a share of those in the zone, or of all, is drawn. The
// targets' times are spread evenly over the fault's spread; without one they are equal.
func drawFault(exp *experiment.Experiment, fault experiment.Fault, n int, random *rand.Rand) PlannedFault {
	planned := PlannedFault{Number: n, Fault: fault, At: experiment.Seconds(fault.At), Duration: experiment.Seconds(fault.Duration)}
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

// configServices are the services of a fault's configuration writes: the fault's service, or all in turn.
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

// hollowServers are the possible targets of a fault: the hollow servers, of the fault's service if it has one.
func hollowServers(exp *experiment.Experiment, fault experiment.Fault) (out []experiment.Node) {
	for i, n := range exp.HollowServers() {
		if fault.Service == 0 || exp.Hollow.BelongsToService(i, fault.Service) {
			out = append(out, n)
		}
	}
	return out
}

// Digest is a digest of the complete plan, in hexadecimal.
func (p *Plan) Digest() (string, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("digest of the plan: %w", err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8]), nil
}
