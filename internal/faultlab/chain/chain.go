// Package chain simulates a chain of tiers in virtual time: a real balancer before each tier, with simulated servers and callers.
// It counts how many attempts the last tier gets for each call that arrives, and compares them with the retry budgets. It opens
// no connections and reads no clock.
//
// As in the protocol, every server of a tier but the last owns a proxy of the next tier and is its only caller. A server answers
// a request by its own work and one call through that proxy, with the remaining deadline, and fails if that call fails. Calls
// arrive at front proxies before the first tier. All randomness comes from the seed; only work and network take time.
package chain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"merlinpick/balancer"
)

// All times are in microseconds, as the balancer's.
const (
	milli  = int64(1000)
	second = 1000 * milli

	networkDelay = milli / 4 // one way
)

// Fault is a fault of the last tier; the zero value is none.
type Fault struct {
	Slow   float64 // factor of the work's duration; 0 is 1
	Errors float64 // part of the calls that fail after their work
	Hang   bool    // calls are accepted and never answered
	Share  float64 // part of the servers with the fault; 0 is all
	Start  int64   // when it starts
}

// Config describes a chain and its load.
type Config struct {
	Tiers              int
	Width              int     // servers of each tier, and front proxies
	Rate               float64 // calls a second at each front proxy
	Seconds            int64   // of arrivals
	Slots              int     // of a server; its queue holds queuedPerSlot times as many calls
	MeanWork           int64   // at each tier
	CallerTimeout      int64   // of a caller of the first tier
	IgnoreCancellation bool    // servers continue calls whose caller has left
	Seed               uint64
	Fault              Fault

	// Settings are those of all proxies, but for their tier and replica.
	Settings balancer.Settings
}

// Result counts the calls and attempts of a run.
type Result struct {
	Arrived, Served, Rejected, Failed int       // at the front proxies
	ArrivedDuringFault                int       // calls since the fault's start
	LastTierAttempts                  int       // at the last tier since the fault's start
	Attempts                          []int     // at each tier
	RejectedBefore                    []int     // calls rejected before each tier
	AttemptBounds                     []float64 // the most attempts at each tier that the retry budgets allow
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
	scheduled int64 // events so far
	events    events
	random    *rand.Rand
	fronts    []*proxy
	proxies   []*proxy
	tiers     [][]*server
	result    Result
}

// after schedules an event.
func (w *simulation) after(delay int64, run func()) {
	w.scheduled++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.scheduled, run})
}

// Run simulates a chain until no event is left. The error is that of invalid settings.
func Run(config Config) (*Result, error) {
	w := &simulation{config: config, now: second, random: rand.New(rand.NewPCG(config.Seed, 5))}
	w.result = Result{Attempts: make([]int, config.Tiers), RejectedBefore: make([]int, config.Tiers)}
	if err := w.build(); err != nil {
		return nil, err
	}
	for _, front := range w.fronts {
		w.scheduleArrival(front, config.Seconds*second)
	}
	for len(w.events) > 0 {
		next := heap.Pop(&w.events).(event)
		w.now = next.time
		next.run()
	}
	w.checkBudgets()
	return &w.result, nil
}

// build creates the servers and their proxies from the last tier on, then the front proxies.
func (w *simulation) build() error {
	w.tiers = make([][]*server, w.config.Tiers)
	for tier := w.config.Tiers - 1; tier >= 0; tier-- {
		for i := range w.config.Width {
			s := &server{sim: w, tier: tier, number: i}
			if tier < w.config.Tiers-1 {
				var err error
				if s.downstream, err = w.newProxy(tier+1, i); err != nil {
					return err
				}
			}
			w.tiers[tier] = append(w.tiers[tier], s)
		}
	}
	for i := range w.config.Width {
		front, err := w.newProxy(0, i)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, front)
	}
	return nil
}

// scheduleArrival schedules the next call at a front proxy, as a Poisson process that stops at end.
func (w *simulation) scheduleArrival(front *proxy, end int64) {
	w.after(int64(w.random.ExpFloat64()/w.config.Rate*float64(second)), func() {
		if w.now > end {
			return
		}
		w.result.Arrived++
		if w.now >= w.config.Fault.Start {
			w.result.ArrivedDuringFault++
		}
		front.handle(w.config.CallerTimeout, func(result callResult) {
			switch result {
			case succeeded:
				w.result.Served++
			case rejected:
				w.result.Rejected++
			default:
				w.result.Failed++
			}
		})
		w.scheduleArrival(front, end)
	})
}

// checkBudgets calculates the most attempts that the retry budgets allow at each tier: in each window a proxy retries at most
// RetryBudgetMin and RetryBudgetRatio of the calls that it handled, and a tier handles what the one before it sends.
func (w *simulation) checkBudgets() {
	settings := w.config.Settings
	windows := float64((w.now-second)/settings.RetryBudgetWindow + 1)
	bound := float64(w.result.Arrived)
	for range w.config.Tiers {
		bound = (1+settings.RetryBudgetRatio)*bound + float64(w.config.Width)*settings.RetryBudgetMin*windows
		w.result.AttemptBounds = append(w.result.AttemptBounds, bound)
	}
	for _, p := range w.proxies {
		allowed := settings.RetryBudgetMin*windows + settings.RetryBudgetRatio*float64(p.handled)
		if float64(p.retries) > allowed {
			w.result.BudgetViolations = append(w.result.BudgetViolations,
				fmt.Sprintf("proxy %d before tier %d: %d retries for %d calls in %.0f windows, %.1f allowed",
					p.number, p.tier, p.retries, p.handled, windows, allowed))
		}
	}
}
