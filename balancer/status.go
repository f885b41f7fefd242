package balancer

// Read access for operators and metrics. No decisions are made in this file. The methods may be called
// between any two events.

// Settings returns the current settings, in which Settings.Classes is indexed by the class numbers of
// requests. The caller must not change them.
func (b *Balancer) Settings() *Settings { return b.settings }

// ServerCounts returns how many servers are listed, and how many of them are avoided because they are
// suspended, damped, or limited to trials after failures.
func (b *Balancer) ServerCounts() (listed, avoided int) { return b.members.counts() }

// Rejections returns how many requests were rejected for each reason.
func (b *Balancer) Rejections() map[RejectReason]int64 {
	out := map[RejectReason]int64{}
	for reason, n := range b.admission.rejections {
		out[RejectReason(reason)] = n
	}
	return out
}

// ZoneStates returns the state of each zone by zone number; nil before reports are exchanged or a zone is
// drained.
func (b *Balancer) ZoneStates(nowMicros int64) []ZoneState { return b.locality.states() }

// EjectedServers returns the IDs of the ready servers that are limited to trials by the reports of other
// replicas.
func (b *Balancer) EjectedServers() (ids []string) { return b.outliers.ejected() }

// DampedServers returns the servers that are damped now, those that have been damped longest first.
func (b *Balancer) DampedServers(nowMicros int64) []DampedServer {
	return b.damping.damped(moment(nowMicros))
}

// ServerEvidence is the kind of evidence that a server is still listed while the list is stale.
type ServerEvidence int

// The kinds of evidence, see listEvidence.
const (
	EvidenceNone         ServerEvidence = iota // no evidence since the list was confirmed
	EvidenceConfirmed                          // the server keeps executing attempts
	EvidenceContradicted                       // the server did not execute its latest attempt
	EvidenceRecent                             // executes attempts, but may have been removed before
)

// String returns the name of the evidence in logs and metrics.
func (e ServerEvidence) String() string {
	return [...]string{EvidenceNone: "none", EvidenceConfirmed: "confirmed",
		EvidenceContradicted: "contradicted", EvidenceRecent: "recent"}[e]
}

// ListEvidence is the evidence that a server is still listed, on which attempts rely while the list is stale.
type ListEvidence struct {
	ListAge  int64 // µs since the list was confirmed
	Evidence ServerEvidence
	Since    int64 // µs since the attempt that is the evidence was sent (EvidenceRecent: the first); 0: none
}

// ListEvidence returns the evidence that a server is listed. It returns false for an unknown server, and
// while the list is not stale and therefore is the evidence itself.
func (b *Balancer) ListEvidence(nowMicros int64, serverID string) (ListEvidence, bool) {
	now, server := moment(nowMicros), b.members.byID[serverID]
	if server == nil || !b.listEvidence.isStale(now) {
		return ListEvidence{}, false
	}
	report := ListEvidence{ListAge: int64(now.since(b.listEvidence.confirmedAt)),
		Evidence: b.listEvidence.evidence(now, server)}
	switch report.Evidence {
	case EvidenceConfirmed:
		report.Since = int64(now.since(server.listEvidence.confirmedUntil.add(-b.listEvidence.ttl())))
	case EvidenceContradicted:
		report.Since = int64(now.since(server.listEvidence.contradictedAt))
	case EvidenceRecent:
		report.Since = int64(now.since(server.listEvidence.recentSince))
	}
	return report, true
}

// ConfirmedServers returns how many ready servers have EvidenceConfirmed, and the lowest number of attempts
// in flight among them. It takes time proportional to the number of servers.
func (b *Balancer) ConfirmedServers(nowMicros int64) (count, leastInFlight int) {
	for _, server := range b.members.ready {
		if b.listEvidence.evidence(moment(nowMicros), server) != EvidenceConfirmed {
			continue
		}
		if count++; count == 1 || server.inFlight < leastInFlight {
			leastInFlight = server.inFlight
		}
	}
	return count, leastInFlight
}
