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

// rejectReasonNames are the reasons' names in the metrics.
var rejectReasonNames = [...]string{balancer.RejectOverLimit: "over_count", balancer.RejectNoTimeLeft: "no_time",
	balancer.RejectNoServer: "no_server", balancer.RejectQueueTimeout: "no_turn",
	balancer.RejectRetriesExhausted: "no_further_attempt"}

// metrics holds the counts that the management address shows; it may be used from any goroutine. Each request is counted in
// when it has been taken and out when it ends, both by the client's goroutine.
type metrics struct {
	mu         sync.Mutex
	classes    map[string]*management.RequestCounts
	counts     management.Metrics // all but Classes, Events and Zones
	zones      zoneMetrics
	rejections map[balancer.RejectReason]int64
}

func newMetrics(classes []string) *metrics {
	m := &metrics{classes: map[string]*management.RequestCounts{}}
	m.setClasses(classes)
	return m
}

// setClasses has these classes shown, with zeros too. Others that have counts stay while there is room.
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

func (m *metrics) classCountsLocked(class string) *management.RequestCounts {
	counts := m.classes[class]
	if counts == nil {
		counts = &management.RequestCounts{}
		m.classes[class] = counts
	}
	return counts
}

// inFlightRequest is one request that has been taken and not ended. The goroutine that took it ends it.
type inFlightRequest struct {
	metrics *metrics
	class   string
	ended   bool
}

func (m *metrics) requestStarted(class string) *inFlightRequest {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.InFlight++
	return &inFlightRequest{metrics: m, class: class}
}

// finish counts the request by its response's status, 0 if it had none. Only the first call counts.
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

// attemptForwarded counts an attempt whose request was written completely.
func (m *metrics) attemptForwarded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Forwarded++
}

// setServers sets how many servers are listed, and how many of these get nothing or only trials.
func (m *metrics) setServers(listed, ejected int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.ListedServers, m.counts.EjectedServers = listed, ejected
}

// setRejections sets how many requests the balancer has rejected so far, by reason.
func (m *metrics) setRejections(byReason map[balancer.RejectReason]int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejections = byReason
}

// setZones sets how the zones stand.
func (m *metrics) setZones(zones zoneMetrics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.zones = zones
}

// recordReload counts a reload by whether its configuration was applied.
func (m *metrics) recordReload(applied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if applied {
		m.counts.ReloadsApplied++
	} else {
		m.counts.ReloadsRejected++
	}
}

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
