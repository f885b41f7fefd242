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
type Last struct {
	Slow   float64 // its work takes so many times as long; 0 is 1
	Errors float64 // part of what it works on that fails
	Hang   bool    // it takes calls and never answers
	Share  float64 // of its servers that this holds for; 0 is all
	From   int64   // it begins then
}

// Config is a chain.
type Config struct {
	Tiers   int
	Width   int     // servers of each tier, and fronts before the first
	Rate    float64 // calls a second that come to each front
	Seconds int64
	Slots   int   // of a server; its queue is ten times as long
	Work    int64 // mean, at each tier
	GiveUp  int64 // of a caller of the first tier
	Keeps   bool  // a server whose caller has left goes on with its own call
	Seed    uint64
	Last    Last

	// Settings are those of all proxies but for their tier.
	Settings balancer.Settings
}

// Result is what came of it.
type Result struct {
	Came, Served, Rejected, Failed int   // at the fronts
	CameSince, LastSince           int   // calls that came since Last.From, and attempts that reached the last tier since
	Attempts                       []int // that reached each tier
	Declined                       []int // calls refused before each tier
	Bound                          []float64
	Over                           []string // proxies that went over their allowance; none by the rules
}

// Amplification is attempts at the last tier for each call that came in, since the trouble there began.
func (r *Result) Amplification() float64 { return float64(r.LastSince) / float64(r.CameSince) }

type event struct {
	at, n int64
	do    func()
}
type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type world struct {
	cfg    Config
	now, n int64
	events events
	rnd    *rand.Rand
	fronts []*proxy
	all    []*proxy
	tiers  [][]*server
	res    Result
}

func (w *world) after(delay int64, do func()) {
	w.n++
	heap.Push(&w.events, event{w.now + max(delay, 0), w.n, do})
}

// Play plays a chain to its end.
func Play(cfg Config) (*Result, error) {
	w := &world{cfg: cfg, now: second, rnd: rand.New(rand.NewPCG(cfg.Seed, 5))}
	w.res = Result{Attempts: make([]int, cfg.Tiers), Declined: make([]int, cfg.Tiers)}
	if err := w.build(); err != nil {
		return nil, err
	}
	for _, f := range w.fronts {
		w.arrive(f, cfg.Seconds*second)
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.bound()
	return &w.res, nil
}

func (w *world) build() error {
	w.tiers = make([][]*server, w.cfg.Tiers)
	for tier := w.cfg.Tiers - 1; tier >= 0; tier-- {
		for i := range w.cfg.Width {
			n := &server{w: w, tier: tier, number: i}
			if tier < w.cfg.Tiers-1 {
				var err error
				if n.own, err = w.newProxy(tier+1, i); err != nil {
					return err
				}
			}
			w.tiers[tier] = append(w.tiers[tier], n)
		}
	}
	for i := range w.cfg.Width {
		f, err := w.newProxy(0, i)
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	return nil
}

// arrive has calls come to a front until the end, at random.
func (w *world) arrive(f *proxy, end int64) {
	w.after(int64(w.rnd.ExpFloat64()/w.cfg.Rate*float64(second)), func() {
		if w.now > end {
			return
		}
		w.res.Came++
		if w.now >= w.cfg.Last.From {
			w.res.CameSince++
		}
		f.take(w.cfg.GiveUp, func(what answer) {
			switch what {
			case ok:
				w.res.Served++
			case rejected:
				w.res.Rejected++
			default:
				w.res.Failed++
			}
		})
		w.arrive(f, end)
	})
}

// bound works out the most attempts that each tier may have had, from the calls that came and the allowance alone: in
// each span a proxy makes no more than the free part and its share of the calls that it took, and what a tier takes is
// what the one before was sent.
func (w *world) bound() {
	s := w.cfg.Settings
	spans := float64((w.now-second)/s.RetryBudgetWindow + 1)
	most := float64(w.res.Came)
	for range w.cfg.Tiers {
		most = (1+s.RetryBudgetRatio)*most + float64(w.cfg.Width)*s.RetryBudgetMin*spans
		w.res.Bound = append(w.res.Bound, most)
	}
	for _, p := range w.all {
		if most := s.RetryBudgetMin*spans + s.RetryBudgetRatio*float64(p.taken); float64(p.further) > most {
			w.res.Over = append(w.res.Over, fmt.Sprintf("proxy %d before tier %d: %d further attempts for %d calls in %.0f spans, %.1f allowed",
				p.number, p.tier, p.further, p.taken, spans, most))
		}
	}
}
