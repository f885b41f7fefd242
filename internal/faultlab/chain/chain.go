// Package chain simulates a chain of tiers in virtual time: a real balancer before each tier, with simulated
// servers and callers. It counts how many attempts the last tier gets for each call that arrives, and
// compares them with the retry budgets. It opens no connections and reads no clock.
//
// As in the protocol, every server of a tier but the last owns a proxy of the next tier and is its only
// caller. To answer a request, a server does its own work and makes one call through that proxy, with the
// remaining deadline; it fails if that call fails. Calls arrive at front proxies before the first tier. All
// randomness comes from the seed; only work and the network take time.
package chain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"merlinpick/balancer"
)

// All times are in microseconds, as in the balancer.
const (
	milli  = int64(1000)
	second = 1000 * milli

	networkDelay = milli / 4 // one way
)

// Fault is a fault of the last tier; the zero value is none.
type Fault struct {
	Slow   float64 // factor by which work takes longer; 0 means 1
	Errors float64 // fraction of the calls that fail after their work
	Hang   bool    // calls are accepted and never answered
	Share  float64 // fraction of the servers with the fault; 0 means all
	Start  int64   // virtual time at which the fault starts
}

// Config describes a chain and its load.
type Config struct {
	Tiers              int
	Width              int     // servers of each tier, and front proxies
	Rate               float64 // calls a second at each front proxy
	Seconds            int64   // for which calls arrive
	Slots              int     // of a server; its queue holds queuedPerSlot times as many calls
	MeanWork           int64   // of a call at each tier
	CallerTimeout      int64   // of the callers of the first tier
	IgnoreCancellation bool    // servers continue the work on cancelled calls
	Seed               uint64
	Fault              Fault

	// Settings are the settings of all proxies, apart from their tier and replica.
	Settings balancer.Settings
}

// Result counts the calls and attempts of a run.
type Result struct {
	Arrived, Served, Rejected, Failed int       // at the front proxies
	ArrivedDuringFault                int       // calls since the fault's start
	LastTierAttempts                  int       // at the last tier since the fault's start
	Attempts                          []int     // at each tier
	RejectedBefore                    []int     // calls that the proxies before each tier rejected
	AttemptBounds                     []float64 // attempts at each tier that the retry budgets allow
	BudgetViolations                  []string  // proxies that exceeded their retry budget
}

// Amplification returns the attempts at the last tier for each call that arrived, since the fault's start.
func (r *Result) Amplification() float64 {
	return float64(r.LastTierAttempts) / float64(r.ArrivedDuringFault)
}

// simulation is the state of a run.
type simulation struct {
	config    Config
	now       int64
	scheduled int64 // number of events so far
	events    events
	random    *rand.Rand
	fronts    []*proxy
	proxies   []*proxy
	tiers     [][]*server
	result    Result
}

// after schedules an event after a delay in microseconds.
func (sim *simulation) after(delay int64, run func()) {
	sim.scheduled++
	heap.Push(&sim.events, event{sim.now + max(delay, 0), sim.scheduled, run})
}

// Run simulates a chain until no event is left. It returns an error if the settings are invalid.
func Run(config Config) (*Result, error) {
	sim := &simulation{config: config, now: second, random: rand.New(rand.NewPCG(config.Seed, 5))}
	sim.result = Result{Attempts: make([]int, config.Tiers), RejectedBefore: make([]int, config.Tiers)}
	if err := sim.build(); err != nil {
		return nil, err
	}
	for _, front := range sim.fronts {
		sim.scheduleArrival(front, config.Seconds*second)
	}
	for len(sim.events) > 0 {
		next := heap.Pop(&sim.events).(event)
		sim.now = next.time
		next.run()
	}
	sim.checkBudgets()
	return &sim.result, nil
}

// build creates the servers and their proxies from the last tier on, then the front proxies.
func (sim *simulation) build() error {
	sim.tiers = make([][]*server, sim.config.Tiers)
	for tier := sim.config.Tiers - 1; tier >= 0; tier-- {
		for i := range sim.config.Width {
			s := &server{sim: sim, tier: tier, number: i}
			if tier < sim.config.Tiers-1 {
				var err error
				if s.downstream, err = sim.newProxy(tier+1, i); err != nil {
					return err
				}
			}
			sim.tiers[tier] = append(sim.tiers[tier], s)
		}
	}
	for i := range sim.config.Width {
		front, err := sim.newProxy(0, i)
		if err != nil {
			return err
		}
		sim.fronts = append(sim.fronts, front)
	}
	return nil
}

// scheduleArrival schedules the next call at a front proxy, as a Poisson process that stops at end.
func (sim *simulation) scheduleArrival(front *proxy, end int64) {
	sim.after(int64(sim.random.ExpFloat64()/sim.config.Rate*float64(second)), func() {
		if sim.now > end {
			return
		}
		sim.result.Arrived++
		if sim.now >= sim.config.Fault.Start {
			sim.result.ArrivedDuringFault++
		}
		front.handle(sim.config.CallerTimeout, func(result callResult) {
			switch result {
			case succeeded:
				sim.result.Served++
			case rejected:
				sim.result.Rejected++
			default:
				sim.result.Failed++
			}
		})
		sim.scheduleArrival(front, end)
	})
}

// checkBudgets calculates the maximum number of attempts that the retry budgets allow at each tier, and
// compares each proxy with its budget: in each window a proxy makes at most RetryBudgetMin retries and
// RetryBudgetRatio retries for each call that it handled, and a tier handles the attempts of the one before
// it.
func (sim *simulation) checkBudgets() {
	settings := sim.config.Settings
	windows := float64((sim.now-second)/settings.RetryBudgetWindow + 1)
	bound := float64(sim.result.Arrived)
	for range sim.config.Tiers {
		bound = (1+settings.RetryBudgetRatio)*bound +
			float64(sim.config.Width)*settings.RetryBudgetMin*windows
		sim.result.AttemptBounds = append(sim.result.AttemptBounds, bound)
	}
	for _, p := range sim.proxies {
		allowed := settings.RetryBudgetMin*windows + settings.RetryBudgetRatio*float64(p.handled)
		if float64(p.retries) > allowed {
			sim.result.BudgetViolations = append(sim.result.BudgetViolations,
				fmt.Sprintf("proxy %d before tier %d: %d retries for %d calls in %.0f windows, %.1f allowed",
					p.number, p.tier, p.retries, p.handled, windows, allowed))
		}
	}
}
