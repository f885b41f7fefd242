// Package chain is a model of a chain of tiers in virtual time: the real decision module before each tier, servers and
// callers between. It tells how many attempts the last tier gets for each call that came in.
//
// By the protocol every server of a tier but the last owns a proxy of the next one and is its only caller; a server answers
// a request by its own work and one call through that proxy, with the time that remains, and fails if that fails. Before
// the first tier stand some fronts. Nothing is random but what a seed draws, and nothing takes time but work and network.
package chain

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"merlinpick/balancer"
)

const (
	milli  = int64(1000) // all times are microseconds, as the module's
	second = 1000 * milli

	network = milli / 4 // one way
)

// Last is what is wrong with the last tier; the zero value is nothing.
type Fault struct {
	Slow   float64 // its work takes so many times as long; 0 is 1
	Errors float64 // part of what it works on that fails
	Hang   bool    // it takes calls and never answers
	Share  float64 // of its servers that this holds for; 0 is all
	Start  int64   // it begins then
}

// Config is a chain.
type Config struct {
	Tiers              int
	Width              int     // servers of each tier, and fronts before the first
	Rate               float64 // calls a second that come to each front
	Seconds            int64
	Slots              int   // of a server; its queue is ten times as long
	MeanWork           int64 // mean, at each tier
	CallerTimeout      int64 // of a caller of the first tier
	IgnoreCancellation bool  // a server whose caller has left goes on with its own call
	Seed               uint64
	Fault              Fault

	// Settings are those of all proxies but for their tier.
	Settings balancer.Settings
}

// Result is what came of it.
type Result struct {
	Arrived, Served, Rejected, Failed    int   // at the fronts
	ArrivedDuringFault, LastTierAttempts int   // calls that came since Last.From, and attempts that reached the last tier since
	Attempts                             []int // that reached each tier
	RejectedBefore                       []int // calls refused before each tier
	AttemptBounds                        []float64
	BudgetViolations                     []string // proxies that went over their allowance; none by the rules
}

// Amplification is attempts at the last tier for each call that came in, since the trouble there began.
func (r *Result) Amplification() float64 {
	return float64(r.LastTierAttempts) / float64(r.ArrivedDuringFault)
}

type event struct {
	time, sequence int64
	run            func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].time < h[j].time || h[i].time == h[j].time && h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type simulation struct {
	config         Config
	now, scheduled int64
	events         events
	random         *rand.Rand
	fronts         []*proxy
	proxies        []*proxy
	tiers          [][]*server
	result         Result
}

func (w *simulation) after(delay int64, do func()) {
	w.scheduled++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.scheduled, do})
}

// Play plays a chain to its end.
func Run(cfg Config) (*Result, error) {
	w := &simulation{config: cfg, now: second, random: rand.New(rand.NewPCG(cfg.Seed, 5))}
	w.result = Result{Attempts: make([]int, cfg.Tiers), RejectedBefore: make([]int, cfg.Tiers)}
	if err := w.build(); err != nil {
		return nil, err
	}
	for _, f := range w.fronts {
		w.arrive(f, cfg.Seconds*second)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.time
		e.run()
	}
	w.checkBudgets()
	return &w.result, nil
}

func (w *simulation) build() error {
	w.tiers = make([][]*server, w.config.Tiers)
	for tier := w.config.Tiers - 1; tier >= 0; tier-- {
		for i := range w.config.Width {
			n := &server{sim: w, tier: tier, number: i}
			if tier < w.config.Tiers-1 {
				var err error
				if n.downstream, err = w.newProxy(tier+1, i); err != nil {
					return err
				}
			}
			w.tiers[tier] = append(w.tiers[tier], n)
		}
	}
	for i := range w.config.Width {
		f, err := w.newProxy(0, i)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	return nil
}

// arrive has calls come to a front until the end, at random.
func (w *simulation) arrive(f *proxy, end int64) {
	w.after(int64(w.random.ExpFloat64()/w.config.Rate*float64(second)), func() {
		if w.now > end {
			return
		}
		w.result.Arrived++
		if w.now >= w.config.Fault.Start {
			w.result.ArrivedDuringFault++
		}
		f.handle(w.config.CallerTimeout, func(what callResult) {
			switch what {
			case succeeded:
				w.result.Served++
			case rejected:
				w.result.Rejected++
			default:
				w.result.Failed++
			}
		})
		w.arrive(f, end)
	})
}

// bound works out the most attempts that each tier may have had, from the calls that came and the allowance alone: in
// each span a proxy makes no more than the free part and its share of the calls that it took, and what a tier takes is
// what the one before was sent.
func (w *simulation) checkBudgets() {
	s := w.config.Settings
	spans := float64((w.now-second)/s.RetryBudgetWindow + 1)
	most := float64(w.result.Arrived)
	for range w.config.Tiers {
		most = (1+s.RetryBudgetRatio)*most + float64(w.config.Width)*s.RetryBudgetMin*spans
		w.result.AttemptBounds = append(w.result.AttemptBounds, most)
	}
	for _, p := range w.proxies {
		if most := s.RetryBudgetMin*spans + s.RetryBudgetRatio*float64(p.handled); float64(p.retries) > most {
			w.result.BudgetViolations = append(w.result.BudgetViolations, fmt.Sprintf("proxy %d before tier %d: %d further attempts for %d calls in %.0f spans, %.1f allowed",
				p.number, p.tier, p.retries, p.handled, spans, most))
		}
	}
}
