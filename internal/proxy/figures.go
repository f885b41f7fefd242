package proxy

import (
	"maps"
	"net/http"
	"sync"

	"merlinpick/balancer"
	"merlinpick/internal/management"
)

// maxClasses bounds the classes that are counted: classes come and go with the settings.
const maxClasses = 256

// refusals are the names of the reasons among the counts.
var refusals = [...]string{balancer.RejectOverLimit: "over_count", balancer.RejectNoTimeLeft: "no_time", balancer.RejectNoServer: "no_server",
	balancer.RejectQueueTimeout: "no_turn", balancer.RejectRetriesExhausted: "no_further_attempt"}

// figures owns the counts that on-call staff see. Each request is counted in once, when it has been taken, and
// out once, by whoever took it.
type figures struct {
	mu      sync.Mutex
	classes map[string]*management.RequestCounts
	counts  management.Metrics // all but Classes and Zones
	zones   zonesShown
	refused map[balancer.RejectReason]int64
}

func newFigures(classes []string) *figures {
	f := &figures{classes: map[string]*management.RequestCounts{}}
	f.name(classes)
	return f
}

// name shows the classes from now on, with zeros too; of others those that were counted stay while there is room.
func (f *figures) name(classes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.classes)+len(classes) > maxClasses {
		clear(f.classes)
	}
	for _, c := range classes {
		f.of(c)
	}
}

func (f *figures) of(class string) *management.RequestCounts {
	e := f.classes[class]
	if e == nil {
		e = &management.RequestCounts{}
		f.classes[class] = e
	}
	return e
}

// taken is one request that has been taken and not ended; its owner ends it.
type taken struct {
	of    *figures
	class string
	ended bool
}

func (f *figures) take(class string) *taken {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.InFlight++
	return &taken{of: f, class: class}
}

// end counts the request by its answer's status, 0 if it had none. Only the first call counts.
func (t *taken) end(status int) {
	if t.ended {
		return
	}
	t.ended = true
	t.of.mu.Lock()
	defer t.of.mu.Unlock()
	t.of.counts.InFlight--
	switch e := t.of.of(t.class); status {
	case http.StatusOK:
		e.Succeeded++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		e.Rejected++
	default:
		e.Failed++
	}
}

// forward counts an attempt that was written whole.
func (f *figures) forward() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Forwarded++
}

// servers notes how many servers are listed, and how many of these get nothing or only trials.
func (f *figures) servers(listed, avoided int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.ListedServers, f.counts.EjectedServers = listed, avoided
}

// refusals notes how many requests the module has refused for each reason.
func (f *figures) refusals(by map[balancer.RejectReason]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = by
}

// reloaded counts a configuration that came with SIGHUP.
func (f *figures) reloaded(taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if taken {
		f.counts.ReloadsApplied++
	} else {
		f.counts.ReloadsRejected++
	}
}

func (f *figures) snapshot() management.Metrics {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.counts
	out.Classes = map[string]management.RequestCounts{}
	for c, e := range maps.All(f.classes) {
		out.Classes[c] = *e
	}
	if f.zones.told {
		out.Zones = f.zones.now()
	}
	out.Events = map[string]int64{}
	for why, n := range f.refused {
		out.Events["refusals."+refusals[why]] = n
	}
	return out
}
