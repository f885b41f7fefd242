package proxy

import (
	"maps"
	"net/http"
	"sync"

	"merlinpick/balancer"
	"merlinpick/internal/management"
)

// maxClasses limits how many classes are counted: every reload may bring new ones.
const maxClasses = 256

// rejectReasonNames maps the reasons for a rejection to their names in the metrics.
var rejectReasonNames = [...]string{balancer.RejectOverLimit: "over_count", balancer.RejectNoTimeLeft: "no_time",
	balancer.RejectNoServer: "no_server", balancer.RejectQueueTimeout: "no_turn",
	balancer.RejectRetriesExhausted: "no_further_attempt"}

// metrics holds the counters and gauges that the management address serves. It may be used from any
// goroutine. Each request is in flight from when it is accepted until it ends; the client's goroutine records
// both.
type metrics struct {
	mu         sync.Mutex
	classes    map[string]*management.RequestCounts
	counts     management.Metrics // all except Classes, Events and Zones
	zones      zoneMetrics
	rejections map[balancer.RejectReason]int64
}

func newMetrics(classes []string) *metrics {
	m := &metrics{classes: map[string]*management.RequestCounts{}}
	m.setClasses(classes)
	return m
}

// setClasses adds classes to the metrics, so that they are shown even with zero counts. Earlier classes keep
// their counts unless there would be more than maxClasses: then all counts are cleared.
func (m *metrics) setClasses(classes []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.classes)+len(classes) > maxClasses {
		clear(m.classes)
	}
	for _, class := range classes {
		m.classCountsLocked(class)
	}
}

// classCountsLocked returns the counts of a class, which it adds if it is new.
func (m *metrics) classCountsLocked(class string) *management.RequestCounts {
	counts := m.classes[class]
	if counts == nil {
		counts = &management.RequestCounts{}
		m.classes[class] = counts
	}
	return counts
}

// inFlightRequest is one request that was accepted. The goroutine that accepted it calls finish.
type inFlightRequest struct {
	metrics *metrics
	class   string
	ended   bool
}

// requestStarted counts a request as in flight until its finish is called.
func (m *metrics) requestStarted(class string) *inFlightRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.InFlight++
	return &inFlightRequest{metrics: m, class: class}
}

// finish counts the request by the status of its response, or 0 if it had none. Only the first call has an
// effect.
func (r *inFlightRequest) finish(status int) {
	if r.ended {
		return
	}
	r.ended = true
	r.metrics.mu.Lock()
	defer r.metrics.mu.Unlock()
	r.metrics.counts.InFlight--
	switch counts := r.metrics.classCountsLocked(r.class); status {
	case http.StatusOK:
		counts.Succeeded++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		counts.Rejected++
	default:
		counts.Failed++
	}
}

// attemptForwarded counts an attempt whose request was written to the backend completely.
func (m *metrics) attemptForwarded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Forwarded++
}

// setServers sets how many servers are listed, and how many of these are ejected: they get no requests, or
// only trial requests.
func (m *metrics) setServers(listed, ejected int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.ListedServers, m.counts.EjectedServers = listed, ejected
}

// setRejections sets how many requests the balancer has rejected since the start, by reason.
func (m *metrics) setRejections(byReason map[balancer.RejectReason]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejections = byReason
}

// setZones sets the latest sample of the zones.
func (m *metrics) setZones(zones zoneMetrics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zones = zones
}

// recordReload counts a reload as applied or rejected.
func (m *metrics) recordReload(applied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if applied {
		m.counts.ReloadsApplied++
	} else {
		m.counts.ReloadsRejected++
	}
}

// snapshot returns a copy of the current metrics.
func (m *metrics) snapshot() management.Metrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := m.counts
	all.Classes = map[string]management.RequestCounts{}
	for class, counts := range maps.All(m.classes) {
		all.Classes[class] = *counts
	}
	if m.zones.exported {
		all.Zones = m.zones.current()
	}
	all.Events = map[string]int64{}
	for reason, n := range m.rejections {
		all.Events["refusals."+rejectReasonNames[reason]] = n
	}
	return all
}
