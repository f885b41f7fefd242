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
func (b *Balancer) ZoneStates(now int64) []ZoneState { return b.locality.states() }

// EjectedServers returns the IDs of the ready servers that get trials only by the reports of others.
func (b *Balancer) EjectedServers() (ids []string) { return b.outliers.ejected() }

// DampedServers returns the servers that get their steady, small weight now, the longest damped first.
func (b *Balancer) DampedServers(now int64) []DampedServer { return b.damping.damped(moment(now)) }
