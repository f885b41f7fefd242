package balancer

// This file passes the outcome of each attempt, and each attempt that has been in flight for too long, to the
// rules that adapt to them.

// recordOutcome records the outcome of an attempt with every rule that adapts to outcomes.
func (b *Balancer) recordOutcome(now moment, request *request, attempt *attempt, outcome Outcome) {
	if outcome.Status == StatusCancelled || outcome.Status == StatusNotSent {
		return
	}
	server, class, failed := attempt.server, request.Class, outcome.Status != StatusOK
	b.listEvidence.record(server, attempt.sentAt, outcome.Status)
	attributed := b.outliers.attribute(server, class, outcome.Status)
	server.outlier.recordConnection(outcome.Status)
	if b.locality.zones != nil {
		b.recordEvidence(now, attempt, faultOfStatus[outcome.Status])
		if relative, ok := b.loads.record(now, server, class, outcome); ok {
			b.tuning.recordLatency(relative, b.settings.Classes[class].PriorityWeight)
		}
	}
	if !failed {
		recordLatency(&b.classes[class].latency, &server.latency, float64(outcome.Latency))
		server.outlier.recordAnswer()
	}
	latency := float64(now.since(attempt.sentAt))
	late := failed && !attributed || !failed && isLate(request.classRules(), latency)
	slow := late || !failed && latency > b.slowThreshold(class)
	b.admission.recordCall(now, class, attempt.sentAt, late)
	if !attempt.admission.countedSlow {
		b.applyBackpressure(now, class, attempt, slow, slow || failed)
	}
}

// slowThreshold returns the latency, in µs, above which a call of a class counts as slow now.
func (b *Balancer) slowThreshold(class int) float64 {
	return slowThreshold(b.settings, class, b.classes[class].latency, b.quotas.multiple)
}

// applyBackpressure records a call for preemption, quotas and spillover. slow is whether it was slow, bad
// whether it was slow or failed.
func (b *Balancer) applyBackpressure(now moment, class int, attempt *attempt, slow, bad bool) {
	b.admission.preempt(now, class, attempt.sentAt, slow)
	b.quotas.recordCall(now, attempt.sentAt, slow)
	if attempt.zone == b.settings.Zone {
		b.spillover.recordCall(now, attempt.sentAt, bad)
	}
}

// recordSlowAttempts records attempts that have been in flight for too long as slow, before they end.
func (b *Balancer) recordSlowAttempts(now moment) {
	for class := range b.classes {
		for _, attempt := range b.admission.slowInFlight(now, class, span(b.slowThreshold(class))) {
			b.applyBackpressure(now, class, attempt, true, true)
		}
	}
}

// logThrottling logs, at a limited rate, that traffic within the tenants' shares is being rejected.
func (b *Balancer) logThrottling(now moment, host Host) {
	b.quotas.logThrottling(now, host, TenantsThrottled{InFlight: b.admission.tier.inFlight,
		FailureRate: b.outliers.errorRate, SpilloverWeight: b.spillover.weight})
}

// recordEvidence records the outcome of an attempt as evidence of the health of its server and zone.
func (b *Balancer) recordEvidence(now moment, attempt *attempt, fault Fault) {
	attempt.server.outlier.recordCall(now, attempt, fault)
	b.locality.recordCall(now, attempt, fault)
}
