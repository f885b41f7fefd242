// Package plan draws, from an experiment and a seed, all that chance decides in a run: arrivals with their classes,
// zones, work and sizes, and what each fault is aimed at and when. The same file and seed give the same plan, byte for
// byte, whatever the machine does; Sum tells two plans apart.
//
// Each concern draws from a source of its own, so that one more fault does not change the arrivals.
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

// Arrival is a client's first try, with what its retries keep.
type Arrival struct {
	N      int
	At     time.Duration // from the start of the load
	Class  int
	Zone   int
	Work   time.Duration // on a slot of speed 1
	Try    time.Duration // what each try is given
	Answer int           // bytes
	Body   int
	Key    string // of a keyed class
}

// ID is the id of a try: fresh on every one, 16 hex digits.
func (p *Plan) ID(a *Arrival, try int) string {
	r := source(p.Seed, "id", uint64(a.N)<<8|uint64(try))
	return fmt.Sprintf("%016x", r.Uint64())
}

// Turn is the moment at which a fault meets one target.
type Turn struct {
	At     time.Duration
	Target string
}

// Strike is a fault with what it is aimed at.
type Strike struct {
	N     int // from 1, as in the file
	Fault experiment.Fault
	At    time.Duration
	For   time.Duration
	Turns []Turn // of faults that meet proxies or servers one by one
}

// Plan is what chance has decided.
type Plan struct {
	Seed     uint64
	Arrivals []Arrival
	Strikes  []Strike
}

func source(seed uint64, concern string, n uint64) *rand.Rand {
	sum := sha256.Sum256(fmt.Appendf(nil, "%s/%d", concern, n))
	var salt uint64
	for _, b := range sum[:8] {
		salt = salt<<8 | uint64(b)
	}
	return rand.New(rand.NewPCG(seed, salt))
}

// Source is a source of random numbers for a concern of the run, the same for the same seed.
func (p *Plan) Source(concern string) *rand.Rand { return source(p.Seed, concern, 0) }

// Draw draws a plan.
func Draw(e *experiment.Experiment, seed uint64) *Plan {
	p := &Plan{Seed: seed}
	p.drawArrivals(e)
	for i, f := range e.Faults {
		p.Strikes = append(p.Strikes, draw(e, f, i+1, source(seed, "fault", uint64(i))))
	}
	return p
}

// drawArrivals draws a Poisson process by thinning one at the highest rate, or places arrivals at even distances of
// the rate's integral.
func (p *Plan) drawArrivals(e *experiment.Experiment) {
	times, r := source(p.Seed, "arrivals", 0), source(p.Seed, "requests", 0)
	most := 0.0
	for _, point := range e.Load.Rate {
		most = max(most, point[1])
	}
	if most == 0 {
		return
	}
	owed := 0.0
	for s := 0.0; ; {
		step := 1 / most
		if !e.Load.EvenlySpaced {
			step = times.ExpFloat64() / most
		}
		if s += step; s >= e.Seconds {
			return
		}
		share := e.Load.RateAt(s) / most
		if e.Load.EvenlySpaced {
			if owed += share; owed < 1-1e-9 {
				continue
			}
			owed--
		} else if times.Float64() >= share {
			continue
		}
		p.Arrivals = append(p.Arrivals, arrival(e, r, len(p.Arrivals), experiment.Seconds(s)))
	}
}

func arrival(e *experiment.Experiment, r *rand.Rand, n int, at time.Duration) Arrival {
	a := Arrival{N: n, At: at}
	a.Class = weighted(r, len(e.Classes), func(i int) float64 { return e.Classes[i].Share })
	a.Zone = weighted(r, len(e.Zones), func(i int) float64 { return e.Zones[i].Traffic })
	class := e.Classes[a.Class]
	a.Work = experiment.Millis(between(r, class.WorkMs[0], class.WorkMs[1]))
	a.Try = experiment.Millis(class.DeadlineMs * between(r, e.Clients.AttemptFraction[0], e.Clients.AttemptFraction[1]))
	a.Answer = size(r, class.ResponseBytes, 200)
	if class.RetryClass != "idempotent" {
		a.Body = size(r, class.RequestBytes, 100)
	}
	if class.RetryClass == "deduplicated" {
		a.Key = fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64())
	}
	return a
}

func between(r *rand.Rand, from, to float64) float64 { return from + (to-from)*r.Float64() }

func size(r *rand.Rand, span []int, otherwise int) int {
	if len(span) != 2 {
		return otherwise
	}
	return span[0] + r.IntN(span[1]-span[0]+1)
}

func weighted(r *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	x := r.Float64() * sum
	for i := range n {
		if x -= weight(i); x < 0 {
			return i
		}
	}
	return n - 1
}

// draw picks a fault's targets. Given names are taken in their order; else a share of those in the zone, or of all,
// is drawn. Turns are spread evenly over the fault's spread: with none they come in the same instant.
func draw(e *experiment.Experiment, f experiment.Fault, n int, r *rand.Rand) Strike {
	s := Strike{N: n, Fault: f, At: experiment.Seconds(f.At), For: experiment.Seconds(f.Duration)}
	kind := experiment.Kinds[f.Kind]
	var all []experiment.Node
	given := f.Proxies
	switch {
	case kind.Proxies:
		all = e.ProxyNodes()
	case kind.Servers:
		all, given = e.ServerNodes(), f.Servers
	case kind.Hollow:
		all, given = hollow(e, f), nil
	case kind.Configs:
		given = services(e, f)
	default:
		return s
	}
	names := slices.Clone(given)
	if len(names) == 0 {
		for _, node := range all {
			if f.Zone == "" || node.Zone == f.Zone {
				names = append(names, node.Name)
			}
		}
		if f.Share > 0 {
			r.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
			names = names[:max(1, int(math.Round(f.Share*float64(len(names)))))]
		}
		if f.Count > 0 {
			names = names[:min(f.Count, len(names))]
		}
	}
	for i, name := range names {
		at := s.At
		if len(names) > 1 {
			at += time.Duration(float64(experiment.Seconds(f.Spread)) * float64(i) / float64(len(names)-1))
		}
		s.Turns = append(s.Turns, Turn{at, name})
	}
	return s
}

// services is whose configuration each put of a fault changes: the fault's, or all in turn.
func services(e *experiment.Experiment, f experiment.Fault) (out []string) {
	for i := range f.Count {
		service := f.Service
		if service == 0 {
			service = i%e.Hollow.ConfigServices() + 1
		}
		out = append(out, experiment.ServiceName(service))
	}
	return out
}

// hollow is the hollow servers that a fault may be aimed at: those of its service, if it names one.
func hollow(e *experiment.Experiment, f experiment.Fault) (out []experiment.Node) {
	for i, n := range e.HollowServers() {
		if f.Service == 0 || e.Hollow.BelongsToService(i, f.Service) {
			out = append(out, n)
		}
	}
	return out
}

// Sum is a digest of the whole plan.
func (p *Plan) Sum() (string, error) {
	text, err := json.Marshal(p)
	if err != nil {
		return "", fmt.Errorf("digest of the plan: %w", err)
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:8]), nil
}
