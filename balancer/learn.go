package balancer

// What the rules take from the end of an attempt, and from one that has been in flight for too long.

// recordOutcome has the rules take what the end of an attempt shows.
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
	b.admission.learn(now, class, attempt.sentAt, late)
	if !attempt.admission.reportedSlow {
		b.applyBackpressure(now, class, attempt, slow, slow || failed)
	}
}

// slowThreshold is the latency, in µs, from which a call of a class counts as slow now.
func (b *Balancer) slowThreshold(class int) float64 {
	return slowThreshold(b.settings, class, b.classes[class].latency, b.quotas.multiple)
}

// applyBackpressure has quotas, priority and spillover take a call: whether it was slow, and whether it was
// slow or failed.
func (b *Balancer) applyBackpressure(now moment, class int, attempt *attempt, slow, bad bool) {
	b.admission.preempt(now, class, attempt.sentAt, slow)
	b.quotas.learn(now, attempt.sentAt, slow)
	if attempt.zone == b.settings.Zone {
		b.spillover.learn(now, attempt.sentAt, bad)
	}
}

// recordSlowAttempts takes attempts as slow that have been in flight for too long.
func (b *Balancer) recordSlowAttempts(now moment) {
	for class := range b.classes {
		for _, attempt := range b.admission.slowInFlight(now, class, span(b.slowThreshold(class))) {
			b.applyBackpressure(now, class, attempt, true, true)
		}
	}
}

// logThrottling logs, now and then, that traffic within the tenants' shares is rejected.
func (b *Balancer) logThrottling(now moment, host Host) {
	b.quotas.logThrottling(now, host, TenantsThrottled{InFlight: b.admission.tier.inFlight,
		FailureRate: b.outliers.errorRate, SpilloverWeight: b.spillover.weight})
}

// recordEvidence takes the end of an attempt as evidence on its server and zone.
func (b *Balancer) recordEvidence(now moment, attempt *attempt, fault Fault) {
	attempt.server.outlier.recordCall(now, attempt, fault)
	b.locality.recordCall(now, attempt, fault)
}
