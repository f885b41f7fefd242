package balancer

// What operators and figures see of a Balancer. Nothing here decides. The methods may be called between any two
// events.

// Settings returns the settings in force, with the classes by the numbers that requests have for them. The caller
// must not change them.
func (b *Balancer) Settings() *Settings { return b.settings }

// ServerCounts returns how many servers are listed, and how many of these are avoided: they are suspended, damped or,
// for their failures, get trials only.
func (b *Balancer) ServerCounts() (listed, avoided int) { return b.members.counts() }

// Rejections returns how many requests were rejected for each reason.
func (b *Balancer) Rejections() map[RejectReason]int64 {
	out := map[RejectReason]int64{}
	for reason, n := range b.admission.rejections {
		out[RejectReason(reason)] = n
	}
	return out
}

// ZoneStates returns the state of each zone by number; none before reports were exchanged or a zone was drained.
func (b *Balancer) ZoneStates(nowMicros int64) []ZoneState { return b.locality.states() }

// EjectedServers returns the IDs of the ready servers that get trials only by the reports of others.
func (b *Balancer) EjectedServers() (ids []string) { return b.outliers.ejected() }

// DampedServers returns the servers that get their steady, small weight now, the longest damped first.
func (b *Balancer) DampedServers(nowMicros int64) []DampedServer {
	return b.damping.damped(moment(nowMicros))
}

// ServerEvidence is what shows that a server is still listed.
type ServerEvidence int

// The kinds of evidence, see listEvidence.
const (
	EvidenceNone         ServerEvidence = iota // nothing since the list was confirmed
	EvidenceConfirmed                          // it goes on executing attempts
	EvidenceContradicted                       // it did not execute the last attempt
	EvidenceRecent                             // it executes attempts, but may have gone and come back before the first
)

// String is the evidence's name in logs and metrics.
func (e ServerEvidence) String() string {
	return [...]string{EvidenceNone: "none", EvidenceConfirmed: "confirmed", EvidenceContradicted: "contradicted",
		EvidenceRecent: "recent"}[e]
}

// ListEvidence is what an attempt to a server goes by while the list is stale.
type ListEvidence struct {
	ListAge  int64 // µs since the list was confirmed
	Evidence ServerEvidence
	Since    int64 // µs since the attempt was sent that shows it (EvidenceRecent: the first); 0: none
}

// ListEvidence returns what shows at a moment that a server is listed; false while the list is not stale, which then
// shows it.
func (b *Balancer) ListEvidence(nowMicros int64, serverID string) (ListEvidence, bool) {
	now, server := moment(nowMicros), b.members.byID[serverID]
	if server == nil || !b.listing.isStale(now) {
		return ListEvidence{}, false
	}
	report := ListEvidence{ListAge: int64(now.since(b.listing.confirmedAt)), Evidence: b.listing.evidence(now, server)}
	switch report.Evidence {
	case EvidenceConfirmed:
		report.Since = int64(now.since(server.listing.confirmedUntil.add(-b.listing.ttl())))
	case EvidenceContradicted:
		report.Since = int64(now.since(server.listing.contradictedAt))
	case EvidenceRecent:
		report.Since = int64(now.since(server.listing.recentSince))
	}
	return report, true
}

// ConfirmedServers returns how many ready servers have EvidenceConfirmed, and how many attempts the one of them holds that
// holds the fewest. It looks at all servers.
func (b *Balancer) ConfirmedServers(nowMicros int64) (count, leastInFlight int) {
	for _, server := range b.members.ready {
		if b.listing.evidence(moment(nowMicros), server) != EvidenceConfirmed {
			continue
		}
		if count++; count == 1 || server.inFlight < leastInFlight {
			leastInFlight = server.inFlight
		}
	}
	return count, leastInFlight
}
