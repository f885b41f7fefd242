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
var rejectReasonNames = [...]string{balancer.RejectOverLimit: "over_count", balancer.RejectNoTimeLeft: "no_time", balancer.RejectNoServer: "no_server",
	balancer.RejectQueueTimeout: "no_turn", balancer.RejectRetriesExhausted: "no_further_attempt"}

// figures owns the counts that on-call staff see. Each request is counted in once, when it has been taken, and
// out once, by whoever took it.
type metrics struct {
	mu         sync.Mutex
	classes    map[string]*management.RequestCounts
	counts     management.Metrics // all but Classes and Zones
	zones      zoneMetrics
	rejections map[balancer.RejectReason]int64
}

func newMetrics(classes []string) *metrics {
	f := &metrics{classes: map[string]*management.RequestCounts{}}
	f.setClasses(classes)
	return f
}

// name shows the classes from now on, with zeros too; of others those that were counted stay while there is room.
func (f *metrics) setClasses(classes []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.classes)+len(classes) > maxClasses {
		clear(f.classes)
	}
	for _, c := range classes {
		f.classCounts(c)
	}
}

func (f *metrics) classCounts(class string) *management.RequestCounts {
	e := f.classes[class]
	if e == nil {
		e = &management.RequestCounts{}
		f.classes[class] = e
	}
	return e
}

// taken is one request that has been taken and not ended; its owner ends it.
type inFlightRequest struct {
	metrics *metrics
	class   string
	ended   bool
}

func (f *metrics) requestStarted(class string) *inFlightRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.InFlight++
	return &inFlightRequest{metrics: f, class: class}
}

// end counts the request by its answer's status, 0 if it had none. Only the first call counts.
func (t *inFlightRequest) finish(status int) {
	if t.ended {
		return
	}
	t.ended = true
	t.metrics.mu.Lock()
	defer t.metrics.mu.Unlock()
	t.metrics.counts.InFlight--
	switch e := t.metrics.classCounts(t.class); status {
	case http.StatusOK:
		e.Succeeded++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		e.Rejected++
	default:
		e.Failed++
	}
}

// forward counts an attempt that was written whole.
func (f *metrics) attemptForwarded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Forwarded++
}

// servers notes how many servers are listed, and how many of these get nothing or only trials.
func (f *metrics) setServers(listed, avoided int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.ListedServers, f.counts.EjectedServers = listed, avoided
}

// refusals notes how many requests the module has refused for each reason.
func (f *metrics) setRejections(by map[balancer.RejectReason]int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rejections = by
}

// reloaded counts a configuration that came with SIGHUP.
func (f *metrics) recordReload(taken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if taken {
		f.counts.ReloadsApplied++
	} else {
		f.counts.ReloadsRejected++
	}
}

func (f *metrics) snapshot() management.Metrics {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := f.counts
	out.Classes = map[string]management.RequestCounts{}
	for c, e := range maps.All(f.classes) {
		out.Classes[c] = *e
	}
	if f.zones.exported {
		out.Zones = f.zones.current()
	}
	out.Events = map[string]int64{}
	for why, n := range f.rejections {
		out.Events["refusals."+rejectReasonNames[why]] = n
	}
	return out
}
